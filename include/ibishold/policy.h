#ifndef IBISHOLD_POLICY_H_
#define IBISHOLD_POLICY_H_

// Limits, warm-up and queueing of the calls of one leaf. The classes read no clock: the caller
// passes the time.
//
// Index of this header:
//   1. LeafLimiter     limit on the calls that the leaf may be running for this owner
//   2. WarmUp          limit on the calls at a cold leaf
//   3. ServiceTimes    recent and usual service time of a leaf
//   4. DeadlineQueue   bounded queue, earliest deadline first
//   5. DrainRate       Retry-After computed from the measured completion rate

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "ibishold/core.h"

namespace ibishold {

// ---- 1. LeafLimiter -----------------------------------------------------------------------------

// Counts the calls that a leaf may be running for this owner. A call that timed out or was
// cancelled keeps its slot until the leaf confirms its end or a time limit has passed, because the
// leaf may still be running it.
class LeafLimiter {
 public:
  void SetLimit(std::uint32_t new_limit) { this->limit = new_limit; }  // default 0

  // Occupies a slot. Returns false without a change if no slot is free.
  bool Start(std::uint64_t call);

  // The leaf has answered the call or confirmed that it does not run.
  void Finish(std::uint64_t call) { this->calls.erase(call); }

  // The caller no longer waits for the call. Its slot stays occupied until Finish or `until`.
  void Abandon(std::uint64_t call, TimePoint expiry);

  // Frees the slots of abandoned calls whose time limit has passed.
  void Expire(TimePoint now);

  // The leaf has restarted, so none of its earlier calls is running.
  void Clear() { this->calls.clear(); }

  std::uint32_t limit_in_force() const { return this->limit; }
  std::uint32_t busy_slots() const { return static_cast<std::uint32_t>(this->calls.size()); }
  std::uint32_t abandoned_calls() const;
  std::uint32_t free_slots() const {
    return this->busy_slots() < this->limit ? this->limit - this->busy_slots() : 0;
  }

 private:
  std::uint32_t limit = 0;
  // The value is the time limit of an abandoned call, otherwise empty.
  std::unordered_map<std::uint64_t, std::optional<TimePoint>> calls;
};

// ---- 2. WarmUp ----------------------------------------------------------------------------------

enum class ColdReason : std::uint8_t {
  kNone,
  kUnknown,      // this owner has no information about the leaf
  kIncarnation,  // an answer stated another incarnation
  kUptime,       // an answer stated a low uptime
  kReset,        // all connections were reset
  // This owner reconnected to the leaf, or uses it again after it drained or was taken out.
  kReconnect,
  kLatency,  // latency far above its own history, or consecutive time-outs
  kPeer,     // the other owner reported one of these
};

inline constexpr std::array<std::string_view, 8> kColdReasonNames = {
    "none", "unknown", "incarnation", "uptime", "reset", "reconnect", "latency", "peer"};

struct WarmUpOptions {
  bool enabled = true;                              // if false, every leaf counts as warm
  std::uint32_t successes_per_level = 8;            // completed calls that raise the level by one
  Duration uptime_limit = std::chrono::seconds(3);  // a lower uptime indicates a cold leaf
  std::uint32_t consecutive_timeout_limit = 4;  // consecutive time-outs that indicate a cold leaf
  // Reports are numbered from here. A later process of this VM must use a higher number, so that a
  // level sent to an earlier process is not mistaken for a response to this one.
  std::uint64_t first_report_number = 0;
};

// Slots of a warm leaf that this owner and the other one may use.
struct WarmUpShare {
  bool primary = true;              // the primary raises the level, the secondary follows it
  std::uint32_t primary_slots = 0;  // held by the primary; the secondary holds the rest
  std::uint32_t total_slots = 0;    // of the leaf, held by both owners

  friend bool operator==(const WarmUpShare&, const WarmUpShare&) = default;
};

struct LeafLevel {
  Incarnation incarnation = 0;  // run of the leaf that the level applies to; 0: unknown
  std::uint32_t level = 0;      // calls that the leaf may have from the whole fleet
  bool warm = false;            // if true, `level` does not apply and only the slots limit
  std::uint64_t report = 0;     // number of the sender's newest report that the leaf is cold
  std::uint64_t echo = 0;       // newest report of the receiver that the sender has received

  friend bool operator==(const LeafLevel&, const LeafLevel&) = default;
};

// Warm-up state of one leaf as seen by one owner. The initial state is cold.
class WarmUp {
 public:
  explicit WarmUp(WarmUpOptions options = {})
      : options(options), own_report_number(options.first_report_number) {}

  // A change of the share keeps what is known about the leaf, but a new primary does not continue
  // the level that it received from the former one.
  void SetShare(const WarmUpShare& new_share);

  // Calls that this owner may have at the leaf.
  std::uint32_t GetAllowance() const;

  // Evaluates the incarnation and uptime stated by an answer. Returns true if they show a restart.
  bool RecordAnswer(Incarnation incarnation, Duration uptime);

  void MarkCold(ColdReason new_reason);

  // Resets to the initial state, because this owner has not observed the leaf for a while. Unlike
  // MarkCold this is no evidence for the other owner.
  void Forget();

  // Number of the current stage; it changes with each change of the level. The caller stores it at
  // the start of a call and passes it back at the end, so that only calls started at a level count
  // for it.
  std::uint64_t stage() const { return this->current_stage; }
  void RecordSuccess(std::uint64_t stage_at_start);
  void RecordTimeout(std::uint64_t stage_at_start);
  void RecordShed(std::uint64_t stage_at_start);

  // Applies a level sent by the other owner. A secondary follows a level only if the primary sent
  // it after it received the secondary's newest report; an earlier level may predate a restart.
  void MergePeerLevel(const LeafLevel& peer);

  // Returns the level to send to the other owner, once after each change that is relevant to it.
  std::optional<LeafLevel> TakeMessage();
  LeafLevel GetLevel() const;

  bool is_warm() const { return this->warm || !this->options.enabled; }
  ColdReason last_reason() const { return this->cold_reason; }
  std::uint64_t cold_count() const { return this->cold_transitions; }

 private:
  void SetLevel(std::uint32_t new_level);
  void HalveLevel(std::uint64_t stage_at_start);

  WarmUpOptions options;
  WarmUpShare share;
  Incarnation leaf_incarnation = 0;
  Duration leaf_uptime{};
  std::uint32_t level = 1;
  bool warm = false;
  bool peer_message_due = true;
  std::uint32_t successes_at_level = 0;
  std::uint32_t consecutive_timeouts = 0;
  std::uint64_t current_stage = 1;
  std::uint64_t cold_transitions = 0;
  std::uint64_t own_report_number = 0;   // newest report of this owner
  std::uint64_t peer_report_number = 0;  // newest report received from the other owner
  ColdReason cold_reason = ColdReason::kUnknown;
};

// ---- 3. ServiceTimes ----------------------------------------------------------------------------

// Recent service times of one leaf compared with its own history.
class ServiceTimes {
 public:
  void Record(Duration service_time);
  void Forget();  // the leaf has restarted

  // Median of the last 32 calls; 0 if there are none.
  Duration median() const { return this->recent_median; }
  // True if the median of the last 8 calls exceeds 4 times the usual median and is more than 20 ms
  // above it.
  bool IsFarAboveHistory() const;

 private:
  std::array<Duration, 32> window{};
  std::size_t next_index = 0;
  std::size_t window_count = 0;
  Duration recent_median{};
  Duration usual_median{};  // slow moving average of the medians
  std::uint64_t total_samples = 0;
};

// ---- 4. DeadlineQueue ---------------------------------------------------------------------------

struct QueueItem {
  std::uint64_t id = 0;  // unique in the queue
  RequestClass request_class = RequestClass::kStandard;
  TimePoint deadline{};
  TimePoint start_by{};  // set by Push; the item is refused if it still waits then
};

enum class QueueRefusal : std::uint8_t {
  kFull,      // shed: the queue is full and this item has the lowest priority
  kLate,      // cannot finish before its deadline
  kLongWait,  // shed: would wait, or has waited, longer than its share of the time left
};

struct RefusedItem {
  std::uint64_t id = 0;
  QueueRefusal reason = QueueRefusal::kFull;
};

struct DeadlineQueueOptions {
  std::size_t limit = 64;   // items waiting
  bool refuse_late = true;  // refuse items that cannot finish in time
  // Share of the time left at Push that an item may wait. A smaller share refuses items early, so
  // that the caller is told at once and another replica still has time.
  double wait_share = 1.0;
};

// Service rate of the leaf, used to estimate waiting times.
struct ServiceSpeed {
  Duration median_service_time{};    // service time of one call
  std::uint32_t parallel_calls = 1;  // calls that may run at the same time
};

// Items are ordered by class, and within a class by the time by which they must start. Refused
// items were never returned by Pop.
class DeadlineQueue {
 public:
  explicit DeadlineQueue(DeadlineQueueOptions options = {}) : options(options) {}

  void SetLimit(std::size_t limit) { this->options.limit = limit; }

  // Returns the item that is refused, if any: the new one or one that makes room for it.
  std::optional<RefusedItem> Push(const QueueItem& new_item,
                                  TimePoint now,
                                  const ServiceSpeed& speed);

  // Removes and returns the next item that can finish in time. Appends those that cannot to
  // `refused`.
  std::optional<QueueItem> Pop(TimePoint now,
                               const ServiceSpeed& speed,
                               std::vector<RefusedItem>& refused);

  // Returns the next item that Pop would consider without removing it.
  std::optional<QueueItem> Peek() const;

  // Removes all items that can no longer finish in time and appends them to `refused`.
  void Sweep(TimePoint now, const ServiceSpeed& speed, std::vector<RefusedItem>& refused);

  bool Remove(std::uint64_t id);  // false if not queued
  std::vector<std::uint64_t> Clear();

  std::size_t size() const { return this->items.size(); }

 private:
  using Key = std::pair<TimePoint, std::uint64_t>;  // start_by, id

  // Reason to refuse the item if it starts after `wait`; nothing if it can be accepted.
  std::optional<QueueRefusal> FindRefusalReason(const QueueItem& item,
                                                TimePoint now,
                                                Duration wait,
                                                Duration median_service_time) const;
  // Number of waiting items that run before this one.
  std::size_t CountAhead(const QueueItem& item) const;

  DeadlineQueueOptions options;
  std::array<std::set<Key>, kRequestClassNames.size()> queues_by_class;
  std::unordered_map<std::uint64_t, QueueItem> items;
};

// ---- 5. DrainRate -------------------------------------------------------------------------------

// Rate at which a leaf completes calls, averaged over about 2 s.
class DrainRate {
 public:
  void RecordCompletion(TimePoint now);
  double GetCompletionsPerSecond(TimePoint now) const;

  // Expected time until this many waiting items have completed, bounded to 20 ms .. 5 s, with 25 %
  // jitter so that refused callers do not all retry at the same time.
  Duration ComputeRetryAfter(std::size_t waiting_items, TimePoint now, Random& random) const;

 private:
  double decayed_completions = 0;  // completions, with exponential decay
  TimePoint updated_at{};
};

}  // namespace ibishold

#endif  // IBISHOLD_POLICY_H_
