#ifndef SRC_FRONT_TIMER_QUEUE_H_
#define SRC_FRONT_TIMER_QUEUE_H_

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "ibishold/core.h"

namespace ibishold {

enum class TimerKind : std::uint8_t {
  kAnswer,           // the request must be answered
  kHedge,            // a hedge is due for a shard
  kRouteRetry,       // a request or shard without a route is tried again
  kAttemptExpiry,    // an attempt without a reply expires
  kCancel,           // a non-repeatable request without a result is cancelled
  kForwardRetry,     // a forwarded request that could not be sent is tried again
  kExecutionExpiry,  // an execution stops waiting for a late result
};

struct Timer {
  TimePoint due_at{};
  TimerKind kind = TimerKind::kAnswer;
  std::uint64_t id = 0;     // ID of a request, waiter or attempt
  std::uint32_t epoch = 0;  // number of the query plan
  std::size_t shard_index = 0;
  std::uint64_t attempt_id = 0;  // attempt that a hedge would duplicate
};

// Timers cannot be cancelled. The receiver ignores timers that no longer apply.
class TimerQueue {
 public:
  void Add(const Timer& timer) { this->timers.push(timer); }

  std::optional<TimePoint> GetNextDueTime() const {
    return this->timers.empty() ? std::nullopt : std::optional(this->timers.top().due_at);
  }

  std::optional<Timer> PopDue(TimePoint now) {
    if (this->timers.empty() || this->timers.top().due_at > now) {
      return std::nullopt;
    }
    Timer timer = this->timers.top();
    this->timers.pop();
    return timer;
  }

 private:
  struct IsDueLater {
    bool operator()(const Timer& a, const Timer& b) const { return a.due_at > b.due_at; }
  };
  std::priority_queue<Timer, std::vector<Timer>, IsDueLater> timers;
};

}  // namespace ibishold

#endif  // SRC_FRONT_TIMER_QUEUE_H_
