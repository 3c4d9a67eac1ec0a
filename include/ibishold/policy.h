#ifndef IBISHOLD_POLICY_H_
#define IBISHOLD_POLICY_H_

// Limits, warm-up and queueing of the work of one leaf. Pure decision code: time is an argument.
//
// Index of this header:
//   1. LeafLimiter     calls that the leaf may be running for this owner
//   2. WarmUp          how many calls a cold leaf may have
//   3. ServiceTimes    recent and usual service time of a leaf
//   4. DeadlineQueue   bounded queue, earliest deadline first
//   5. DrainRate       Retry-After from the measured rate of completion

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

  // False if no slot is free; then nothing changes.
  bool Start(std::uint64_t call);

  // The leaf has answered the call or confirmed that it does not run.
  void Finish(std::uint64_t call) { this->calls.erase(call); }

  // Nobody waits for the call any more; its slot stays occupied until Finish or `until`.
  void Abandon(std::uint64_t call, TimePoint until);

  // Frees the slots of abandoned calls whose time limit has passed.
  void Expire(TimePoint now);

  // The leaf has restarted: none of its former calls is running.
  void Clear() { this->calls.clear(); }

  std::uint32_t limit_in_force() const { return this->limit; }
  std::uint32_t busy() const { return static_cast<std::uint32_t>(this->calls.size()); }
  std::uint32_t abandoned() const;
  std::uint32_t free() const { return this->busy() < this->limit ? this->limit - this->busy() : 0; }

 private:
  std::uint32_t limit = 0;
  std::unordered_map<std::uint64_t, std::optional<TimePoint>> calls;  // value set: abandoned
};

// ---- 2. WarmUp ----------------------------------------------------------------------------------

enum class ColdReason : std::uint8_t {
  kNone,
  kUnknown,      // this owner knows nothing of the leaf
  kIncarnation,  // an answer stated another incarnation
  kUptime,       // an answer stated a low uptime
  kReset,        // all connections were reset
  kReconnect,    // connected again after absence
  kLatency,      // latency far above its own history, or time-outs in a row
  kPeer,         // the other owner saw one of these
};

inline constexpr std::array<std::string_view, 8> kColdReasonNames = {
    "none", "unknown", "incarnation", "uptime", "reset", "reconnect", "latency", "peer"};

struct WarmUpOptions {
  bool enabled = true;                              // false: every leaf counts as warm; true
  std::uint32_t successes_per_level = 8;            // 8 completed calls raise the level by one
  Duration uptime_limit = std::chrono::seconds(3);  // 3 s; a lower uptime is cold evidence
  std::uint32_t failures_in_row = 4;                // 4 time-outs in a row are cold evidence
  // Reports are numbered from here; higher for a later process, so that a level that was sent to a
  // former process of this VM is not taken for an answer to this one.
  std::uint64_t first_report = 0;
};

// What this owner and the other one may use of the leaf when it is warm.
struct WarmUpShare {
  bool primary = true;              // the primary raises the level, the secondary follows it
  std::uint32_t primary_slots = 0;  // slots of the primary
  std::uint32_t total_slots = 0;    // slots of the leaf

  friend bool operator==(const WarmUpShare&, const WarmUpShare&) = default;
};

struct LeafLevel {
  Incarnation incarnation = 0;  // run of the leaf that it is about; 0: never heard of it
  std::uint32_t level = 0;      // calls that the leaf may have over the whole fleet
  bool warm = false;            // no limit but the slots
  std::uint64_t report = 0;     // number of the sender's newest report that the leaf is cold
  std::uint64_t echo = 0;       // newest report of the receiver that the sender has received

  friend bool operator==(const LeafLevel&, const LeafLevel&) = default;
};

// Level of one leaf as one owner sees it. A fresh object is cold.
class WarmUp {
 public:
  explicit WarmUp(WarmUpOptions options = {})
      : options(options), own_report(options.first_report) {}

  // Knowledge of the leaf is kept when the share changes, but a level that was learned from
  // another primary is not continued.
  void SetShare(const WarmUpShare& new_share);

  // Calls that this owner may have at the leaf.
  std::uint32_t Allowance() const;

  // Facts stated by an answer. Returns true if they are evidence of a restart.
  bool RecordAnswer(Incarnation incarnation, Duration uptime);

  void MarkCold(ColdReason reason);

  // This owner has not watched the leaf for a while. Cold like a fresh object; unlike MarkCold it
  // is no evidence for the other owner.
  void Forget();

  // Number of the current level; taken at the start of a call and given back at its end, so that
  // only calls started at this level count for it.
  std::uint64_t stage() const { return this->current_stage; }
  void RecordSuccess(std::uint64_t started_stage);
  void RecordTimeout(std::uint64_t started_stage);
  void RecordShed(std::uint64_t started_stage);

  // Level sent by the other owner. A secondary follows a level only if the primary sent it after
  // it had received the secondary's newest report; an earlier one may be from before a restart.
  void MergePeerLevel(const LeafLevel& peer);

  // The level to send to the other owner, once after each change that concerns it.
  std::optional<LeafLevel> TakeMessage();
  LeafLevel Level() const;

  bool is_warm() const { return this->warm || !this->options.enabled; }
  ColdReason last_reason() const { return this->reason; }
  std::uint64_t cold_count() const { return this->transitions; }

 private:
  void SetLevel(std::uint32_t new_level);
  void Halve(std::uint64_t started_stage);

  WarmUpOptions options;
  WarmUpShare share;
  Incarnation known_incarnation = 0;
  Duration known_uptime{};
  std::uint32_t level = 1;
  bool warm = false;
  bool peer_message_due = true;
  std::uint32_t successes = 0;
  std::uint32_t timeouts_in_row = 0;
  std::uint64_t current_stage = 1;
  std::uint64_t transitions = 0;
  std::uint64_t own_report = 0;   // newest report of this owner
  std::uint64_t peer_report = 0;  // newest report received from the other owner
  ColdReason reason = ColdReason::kUnknown;
};

// ---- 3. ServiceTimes ----------------------------------------------------------------------------

// Recent service times of one leaf against its own history.
class ServiceTimes {
 public:
  void Record(Duration time);
  void Forget();  // the leaf has restarted

  Duration Median() const { return this->recent_median; }  // of the last 32; 0 before any
  // The last 8 are far above the usual time: 4 times the usual median and 20 ms above it.
  bool IsFarAboveHistory() const;

 private:
  std::array<Duration, 32> window{};
  std::size_t next = 0;
  std::size_t filled = 0;
  Duration recent_median{};
  Duration usual_median{};  // slow moving average of medians
  std::uint64_t samples = 0;
};

// ---- 4. DeadlineQueue ---------------------------------------------------------------------------

struct QueueItem {
  std::uint64_t id = 0;  // unique in the queue
  RequestClass request_class = RequestClass::kStandard;
  TimePoint deadline{};
  TimePoint start_by{};  // set by Push: refused if still waiting then
};

enum class QueueRefusal : std::uint8_t {
  kFull,      // shed: the queue is full and this is the least important item
  kLate,      // could not finish before its deadline
  kLongWait,  // shed: would wait, or has waited, longer than its share of the time left
};

struct RefusedItem {
  std::uint64_t id = 0;
  QueueRefusal reason = QueueRefusal::kFull;
};

struct DeadlineQueueOptions {
  std::size_t limit = 64;   // items waiting; 64
  bool refuse_late = true;  // refuse what cannot finish in time; true
  // Share of the time left at Push that an item may wait; 1. A smaller one refuses early, so that
  // the caller is told at once and another replica still has time.
  double wait_share = 1.0;
};

// Speed of the leaf as far as the queue is concerned.
struct ServiceSpeed {
  Duration median{};           // time of one call
  std::uint32_t parallel = 1;  // calls that may run at a time
};

// Items wait in order of class, within a class in order of the time by which they must start.
// Refused items were never handed out.
class DeadlineQueue {
 public:
  explicit DeadlineQueue(DeadlineQueueOptions options = {}) : options(options) {}

  void SetLimit(std::size_t limit) { this->options.limit = limit; }

  // The refused item may be the new one or one that makes room for it.
  std::optional<RefusedItem> Push(const QueueItem& new_item,
                                  TimePoint now,
                                  const ServiceSpeed& speed);

  // Next item that can finish in time; appends those that cannot to `refused`.
  std::optional<QueueItem> Pop(TimePoint now,
                               const ServiceSpeed& speed,
                               std::vector<RefusedItem>& refused);

  // Next item that Pop would consider, without removing it.
  std::optional<QueueItem> Peek() const;

  // Refuses everything that can no longer finish in time.
  void Sweep(TimePoint now, const ServiceSpeed& speed, std::vector<RefusedItem>& refused);

  bool Remove(std::uint64_t id);  // false if not queued
  std::vector<std::uint64_t> Clear();

  std::size_t size() const { return this->items.size(); }

 private:
  using Key = std::pair<TimePoint, std::uint64_t>;  // start_by, id

  // Why the item must be refused if it starts after `wait`, or nothing.
  std::optional<QueueRefusal> ReasonToRefuse(const QueueItem& item,
                                             TimePoint now,
                                             Duration wait,
                                             Duration median) const;
  std::size_t CountAhead(const QueueItem& item) const;

  DeadlineQueueOptions options;
  std::array<std::set<Key>, kRequestClassNames.size()> classes;
  std::unordered_map<std::uint64_t, QueueItem> items;
};

// ---- 5. DrainRate -------------------------------------------------------------------------------

// Rate at which a leaf completes calls, averaged over about 2 s.
class DrainRate {
 public:
  void RecordCompletion(TimePoint now);
  double PerSecond(TimePoint now) const;

  // Time after which this many waiting items will have been drained, within 20 ms .. 5 s, with
  // 25 % jitter so that refused callers do not return together.
  Duration RetryAfter(std::size_t waiting, TimePoint now, Random& random) const;

 private:
  double decayed_count = 0;  // decayed count of completions
  TimePoint updated{};
};

}  // namespace ibishold

#endif  // IBISHOLD_POLICY_H_
