#include <algorithm>

#include "ibishold/policy.h"

namespace ibishold {

std::optional<RefusedItem> DeadlineQueue::Push(const QueueItem& new_item,
                                               TimePoint now,
                                               const ServiceSpeed& speed) {
  QueueItem item = new_item;
  item.start_by =
      now + Duration(static_cast<Duration::rep>(static_cast<double>((item.deadline - now).count()) *
                                                this->options.wait_share));
  const auto rounds = this->CountAhead(item) / std::max(1U, speed.parallel);
  if (const auto reason = this->ReasonToRefuse(item, now, speed.median * rounds, speed.median)) {
    return RefusedItem{.id = item.id, .reason = *reason};
  }
  this->items.emplace(item.id, item);
  this->classes[static_cast<std::size_t>(item.request_class)].emplace(item.start_by, item.id);
  if (this->items.size() <= this->options.limit) {
    return std::nullopt;
  }
  // Evicts the item of the lowest class that has the most time left, because it has the best chance
  // at another replica.
  for (std::size_t i = this->classes.size(); i-- > 0;) {
    if (this->classes[i].empty()) {
      continue;
    }
    const std::uint64_t evicted = std::prev(this->classes[i].end())->second;
    this->Remove(evicted);
    return RefusedItem{.id = evicted, .reason = QueueRefusal::kFull};
  }
  return std::nullopt;
}

std::optional<QueueItem> DeadlineQueue::Pop(TimePoint now,
                                            const ServiceSpeed& speed,
                                            std::vector<RefusedItem>& refused) {
  while (const std::optional<QueueItem> item = this->Peek()) {
    this->Remove(item->id);
    const std::optional<QueueRefusal> reason = this->ReasonToRefuse(*item, now, {}, speed.median);
    if (!reason) {
      return item;
    }
    refused.push_back({.id = item->id, .reason = *reason});
  }
  return std::nullopt;
}

std::optional<QueueItem> DeadlineQueue::Peek() const {
  for (const std::set<Key>& waiting : this->classes) {
    if (!waiting.empty()) {
      return this->items.at(waiting.begin()->second);
    }
  }
  return std::nullopt;
}

void DeadlineQueue::Sweep(TimePoint now,
                          const ServiceSpeed& speed,
                          std::vector<RefusedItem>& refused) {
  for (std::set<Key>& waiting : this->classes) {
    while (!waiting.empty()) {
      const QueueItem item = this->items.at(waiting.begin()->second);
      const std::optional<QueueRefusal> reason = this->ReasonToRefuse(item, now, {}, speed.median);
      if (!reason) {
        break;
      }
      this->Remove(item.id);
      refused.push_back({.id = item.id, .reason = *reason});
    }
  }
}

bool DeadlineQueue::Remove(std::uint64_t id) {
  const auto found = this->items.find(id);
  if (found == this->items.end()) {
    return false;
  }
  const QueueItem& item = found->second;
  this->classes[static_cast<std::size_t>(item.request_class)].erase({item.start_by, id});
  this->items.erase(found);
  return true;
}

std::vector<std::uint64_t> DeadlineQueue::Clear() {
  std::vector<std::uint64_t> ids;
  ids.reserve(this->items.size());
  for (std::set<Key>& waiting : this->classes) {
    for (const Key& key : waiting) {
      ids.push_back(key.second);
    }
    waiting.clear();
  }
  this->items.clear();
  return ids;
}

std::optional<QueueRefusal> DeadlineQueue::ReasonToRefuse(const QueueItem& item,
                                                          TimePoint now,
                                                          Duration wait,
                                                          Duration median) const {
  const TimePoint start = now + wait;
  if (item.deadline <= now || (this->options.refuse_late && start + median > item.deadline)) {
    return QueueRefusal::kLate;
  }
  if (this->options.refuse_late && start > item.start_by) {
    return QueueRefusal::kLongWait;
  }
  return std::nullopt;
}

std::size_t DeadlineQueue::CountAhead(const QueueItem& item) const {
  std::size_t ahead = 0;
  const auto own = static_cast<std::size_t>(item.request_class);
  for (std::size_t i = 0; i < own; ++i) {
    ahead += this->classes[i].size();
  }
  const std::set<Key>& same = this->classes[own];
  ahead += static_cast<std::size_t>(
      std::distance(same.begin(), same.lower_bound({item.start_by, item.id})));
  return ahead;
}

}  // namespace ibishold
