#ifndef TESTS_MEMBERSHIP_EVENT_QUEUE_H_
#define TESTS_MEMBERSHIP_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

#include "ibishold/core.h"

namespace ibishold {

// Event queue in virtual time. Events with the same time run in the order in which they were added.
class EventQueue {
 public:
  void At(TimePoint at, std::function<void()> action) {
    this->events.push({at, ++this->last_order, std::move(action)});
  }

  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.top().at <= end) {
      Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.action();
    }
    this->now = end;
  }

  TimePoint now{std::chrono::hours(1000)};

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> action;
    friend bool operator<(const Event& left, const Event& right) {
      return left.at != right.at ? left.at > right.at : left.order > right.order;
    }
  };

  std::priority_queue<Event> events;
  std::uint64_t last_order = 0;
};

}  // namespace ibishold

#endif  // TESTS_MEMBERSHIP_EVENT_QUEUE_H_
