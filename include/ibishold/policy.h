#ifndef IBISHOLD_POLICY_H_
#define IBISHOLD_POLICY_H_

// Limits, warm-up and queueing of the calls of one leaf. The classes read no clock: the caller
// passes the time.
//
// Index of this header:
//   1. LeafLimiter     limit on the calls of this owner that the leaf may be running
//   2. WarmUp          limit on the calls sent to a cold leaf
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

// Counts the calls of this owner that a leaf may be running. A call that timed out or was cancelled
// keeps its slot until the leaf confirms the end of the call or a time limit passes, because the
// leaf may still be running the call.
class LeafLimiter {
 public:
  void SetLimit(std::uint32_t new_limit) { this->limit = new_limit; }  // calls; initially 0

  // Occupies a slot. Returns false without a change if no slot is free.
  bool Start(std::uint64_t call);

  // Frees the slot of a call that the leaf answered or confirmed not to be running.
  void Finish(std::uint64_t call) { this->calls.erase(call); }

  // Marks a call whose caller no longer waits. Its slot stays occupied until Finish or `expiry`.
  void Abandon(std::uint64_t call, TimePoint expiry);

  // Frees the slots of abandoned calls whose time limit has passed.
  void Expire(TimePoint now);

  // Frees all slots after a restart of the leaf, because it runs none of the earlier calls.
  void Clear() { this->calls.clear(); }

  std::uint32_t limit_in_force() const { return this->limit; }
  std::uint32_t busy_slots() const { return static_cast<std::uint32_t>(this->calls.size()); }
  std::uint32_t abandoned_calls() const;
  std::uint32_t free_slots() const {
    return this->busy_slots() < this->limit ? this->limit - this->busy_slots() : 0;
  }

 private:
  std::uint32_t limit = 0;
  // Maps a call to its time limit if it was abandoned, otherwise to nothing.
  std::unordered_map<std::uint64_t, std::optional<TimePoint>> calls;
};

// ---- 2. WarmUp ----------------------------------------------------------------------------------

enum class ColdReason : std::uint8_t {
  kNone,
  kUnknown,      // this owner has no information about the leaf
  kIncarnation,  // an answer stated another incarnation
  kUptime,       // an answer stated a low uptime
  kReset,        // all connections were reset
  // This owner reconnected to the leaf, or uses it again after it drained or was out of service.
  kReconnect,
  kLatency,  // latency far above the leaf's history, consecutive time-outs, or a shed request
  kPeer,     // the other owner reported that the leaf is cold
};

inline constexpr std::array<std::string_view, 8> kColdReasonNames = {
    "none", "unknown", "incarnation", "uptime", "reset", "reconnect", "latency", "peer"};

struct WarmUpOptions {
  bool enabled = true;                              // if false, every leaf counts as warm
  std::uint32_t successes_per_level = 8;            // successful calls that raise the level by one
  Duration uptime_limit = std::chrono::seconds(3);  // a lower uptime indicates a cold leaf
  std::uint32_t consecutive_timeout_limit = 4;  // consecutive time-outs that indicate a cold leaf
  // Number from which the cold reports of this owner count up. A later process of the same VM must
  // start at a higher number, so that it does not take a level sent to an earlier process for a
  // response to its own report.
  std::uint64_t first_report_number = 0;
};

// Division of a leaf's slots between its two owners: this process and the other owner.
struct WarmUpShare {
  bool primary = true;              // the primary raises the level, the secondary follows it
  std::uint32_t primary_slots = 0;  // held by the primary; the secondary holds the rest
  std::uint32_t total_slots = 0;    // held by both owners together

  friend bool operator==(const WarmUpShare&, const WarmUpShare&) = default;
};

struct LeafLevel {
  Incarnation incarnation = 0;  // run of the leaf that the level applies to; 0: unknown
  std::uint32_t level = 0;      // calls that the leaf may have from the whole fleet
  bool warm = false;            // if true, `level` is ignored and only the slots limit calls
  std::uint64_t report = 0;     // number of the sender's newest report that the leaf is cold
  std::uint64_t echo = 0;       // newest report number that the sender got from the receiver

  friend bool operator==(const LeafLevel&, const LeafLevel&) = default;
};

// Warm-up state of one leaf as seen by one owner. A leaf is cold at first. Its level, the number of
// calls that it may have from all VMs, rises with successful calls until the leaf is warm.
class WarmUp {
 public:
  explicit WarmUp(WarmUpOptions options = {})
      : options(options), own_report_number(options.first_report_number) {}

  // Sets the division of the slots. The state of the leaf is kept, except that a new primary
  // restarts the warm-up of a cold leaf at the first level.
  void SetShare(const WarmUpShare& new_share);

  // Returns the number of calls that this owner may have in flight at the leaf.
  std::uint32_t GetAllowance() const;

  // Evaluates the incarnation and uptime stated by an answer. Returns true if they show a restart.
  bool RecordAnswer(Incarnation incarnation, Duration uptime);

  // Restarts the warm-up, and reports the leaf as cold to the other owner, unless the other owner
  // reported it.
  void MarkCold(ColdReason new_reason);

  // Resets to the initial state, because this owner has not observed the leaf for a while. The
  // other owner does not treat this as evidence of a cold leaf, because no incarnation is stated.
  void Forget();

  // Number of the current stage. Each change of the level begins a new stage. The caller stores the
  // number at the start of a call and passes it back at the end, so that only calls started at the
  // current level change it.
  std::uint64_t stage() const { return this->current_stage; }
  void RecordSuccess(std::uint64_t stage_at_start);
  void RecordTimeout(std::uint64_t stage_at_start);
  void RecordShed(std::uint64_t stage_at_start);

  // Applies a level sent by the other owner. A secondary adopts a level only if the primary sent it
  // after receiving the secondary's newest report. An earlier level may predate a restart of the
  // leaf.
  void MergePeerLevel(const LeafLevel& peer);

  // Returns the level if it must be sent to the other owner. Each change is returned once.
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

// Compares the recent service times of one leaf with its own history.
class ServiceTimes {
 public:
  void Record(Duration service_time);
  void Forget();  // discards all samples after a restart of the leaf

  // Median service time of the last 32 calls; 0 if there are none.
  Duration median() const { return this->recent_median; }
  // True if the median of the last 8 calls is above 4 times the usual median and more than 20 ms
  // above the usual median.
  bool IsFarAboveHistory() const;

 private:
  std::array<Duration, 32> window{};
  std::size_t next_index = 0;
  std::size_t window_count = 0;
  Duration recent_median{};
  Duration usual_median{};  // moving average of recent_median
  std::uint64_t total_samples = 0;
};

// ---- 4. DeadlineQueue ---------------------------------------------------------------------------

struct QueueItem {
  std::uint64_t id = 0;  // unique in the queue
  RequestClass request_class = RequestClass::kStandard;
  TimePoint deadline{};
  TimePoint start_by{};  // set by Push; an item still waiting after this is refused
};

enum class QueueRefusal : std::uint8_t {
  kFull,      // shed: the queue is full and the item has the lowest priority
  kLate,      // cannot finish before its deadline
  kLongWait,  // shed: would wait, or has waited, longer than wait_share allows
};

struct RefusedItem {
  std::uint64_t id = 0;
  QueueRefusal reason = QueueRefusal::kFull;
};

struct DeadlineQueueOptions {
  std::size_t limit = 64;   // maximum number of waiting items
  bool refuse_late = true;  // refuse items that cannot finish in time
  // Share of the time between Push and the deadline that an item may wait. A smaller share refuses
  // items early enough for the caller to try another replica.
  double wait_share = 1.0;
};

// Service rate of the leaf, used to estimate waiting times.
struct ServiceSpeed {
  Duration median_service_time{};    // service time of one call
  std::uint32_t parallel_calls = 1;  // calls that may run at the same time
};

// Bounded queue ordered by class, and within a class by start_by. A refused item has
// never been returned by Pop.
class DeadlineQueue {
 public:
  explicit DeadlineQueue(DeadlineQueueOptions options = {}) : options(options) {}

  void SetLimit(std::size_t limit) { this->options.limit = limit; }

  // Adds an item. Returns the refused item, if any: the new item, or a waiting item that is evicted
  // to make room.
  std::optional<RefusedItem> Push(const QueueItem& new_item,
                                  TimePoint now,
                                  const ServiceSpeed& speed);

  // Removes and returns the next item that can finish in time. Removes the items before it and
  // appends them to `refused`.
  std::optional<QueueItem> Pop(TimePoint now,
                               const ServiceSpeed& speed,
                               std::vector<RefusedItem>& refused);

  // Returns the first item without removing it or checking its deadline.
  std::optional<QueueItem> Peek() const;

  // Removes all items that can no longer finish in time and appends them to `refused`.
  void Sweep(TimePoint now, const ServiceSpeed& speed, std::vector<RefusedItem>& refused);

  bool Remove(std::uint64_t id);       // false if not queued
  std::vector<std::uint64_t> Clear();  // returns the ids of the removed items

  std::size_t size() const { return this->items.size(); }

 private:
  using Key = std::pair<TimePoint, std::uint64_t>;  // start_by, id

  // Returns the reason to refuse an item that would start after `wait`; nothing if it is
  // acceptable.
  std::optional<QueueRefusal> FindRefusalReason(const QueueItem& item,
                                                TimePoint now,
                                                Duration wait,
                                                Duration median_service_time) const;
  // Returns the number of waiting items that run before this item.
  std::size_t CountAhead(const QueueItem& item) const;

  DeadlineQueueOptions options;
  std::array<std::set<Key>, kRequestClassNames.size()> queues_by_class;
  std::unordered_map<std::uint64_t, QueueItem> items;
};

// ---- 5. DrainRate -------------------------------------------------------------------------------

// Measures the rate at which a leaf completes calls, averaged over about 2 s.
class DrainRate {
 public:
  void RecordCompletion(TimePoint now);
  double GetCompletionsPerSecond(TimePoint now) const;

  // Returns the expected time until this many waiting items have completed, clamped to
  // 20 ms .. 5 s, with 25 % jitter so that refused callers do not all retry at the same time.
  Duration ComputeRetryAfter(std::size_t waiting_items, TimePoint now, Random& random) const;

 private:
  double decayed_completions = 0;  // with exponential decay
  TimePoint updated_at{};
};

}  // namespace ibishold

#endif  // IBISHOLD_POLICY_H_
