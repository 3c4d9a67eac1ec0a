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
  const auto rounds_ahead = this->CountAhead(item) / std::max(1U, speed.parallel_calls);
  if (const auto reason = this->FindRefusalReason(
          item, now, speed.median_service_time * rounds_ahead, speed.median_service_time)) {
    return RefusedItem{.id = item.id, .reason = *reason};
  }
  this->items.emplace(item.id, item);
  this->queues_by_class[static_cast<std::size_t>(item.request_class)].emplace(item.start_by,
                                                                              item.id);
  if (this->items.size() <= this->options.limit) {
    return std::nullopt;
  }
  // Evicts the item with the most time left among those of the lowest class present, because it has
  // the best chance to finish at another replica.
  for (std::size_t i = this->queues_by_class.size(); i-- > 0;) {
    if (this->queues_by_class[i].empty()) {
      continue;
    }
    const std::uint64_t evicted_id = std::prev(this->queues_by_class[i].end())->second;
    this->Remove(evicted_id);
    return RefusedItem{.id = evicted_id, .reason = QueueRefusal::kFull};
  }
  return std::nullopt;
}

std::optional<QueueItem> DeadlineQueue::Pop(TimePoint now,
                                            const ServiceSpeed& speed,
                                            std::vector<RefusedItem>& refused) {
  while (const std::optional<QueueItem> item = this->Peek()) {
    this->Remove(item->id);
    const std::optional<QueueRefusal> reason =
        this->FindRefusalReason(*item, now, {}, speed.median_service_time);
    if (!reason) {
      return item;
    }
    refused.push_back({.id = item->id, .reason = *reason});
  }
  return std::nullopt;
}

std::optional<QueueItem> DeadlineQueue::Peek() const {
  for (const std::set<Key>& class_queue : this->queues_by_class) {
    if (!class_queue.empty()) {
      return this->items.at(class_queue.begin()->second);
    }
  }
  return std::nullopt;
}

void DeadlineQueue::Sweep(TimePoint now,
                          const ServiceSpeed& speed,
                          std::vector<RefusedItem>& refused) {
  for (std::set<Key>& class_queue : this->queues_by_class) {
    while (!class_queue.empty()) {
      const QueueItem item = this->items.at(class_queue.begin()->second);
      const std::optional<QueueRefusal> reason =
          this->FindRefusalReason(item, now, {}, speed.median_service_time);
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
  this->queues_by_class[static_cast<std::size_t>(item.request_class)].erase({item.start_by, id});
  this->items.erase(found);
  return true;
}

std::vector<std::uint64_t> DeadlineQueue::Clear() {
  std::vector<std::uint64_t> ids;
  ids.reserve(this->items.size());
  for (std::set<Key>& class_queue : this->queues_by_class) {
    for (const Key& key : class_queue) {
      ids.push_back(key.second);
    }
    class_queue.clear();
  }
  this->items.clear();
  return ids;
}

std::optional<QueueRefusal> DeadlineQueue::FindRefusalReason(const QueueItem& item,
                                                             TimePoint now,
                                                             Duration wait,
                                                             Duration median_service_time) const {
  const TimePoint start_time = now + wait;
  if (item.deadline <= now ||
      (this->options.refuse_late && start_time + median_service_time > item.deadline)) {
    return QueueRefusal::kLate;
  }
  if (this->options.refuse_late && start_time > item.start_by) {
    return QueueRefusal::kLongWait;
  }
  return std::nullopt;
}

std::size_t DeadlineQueue::CountAhead(const QueueItem& item) const {
  std::size_t items_ahead = 0;
  const auto class_index = static_cast<std::size_t>(item.request_class);
  for (std::size_t i = 0; i < class_index; ++i) {
    items_ahead += this->queues_by_class[i].size();
  }
  const std::set<Key>& class_queue = this->queues_by_class[class_index];
  items_ahead += static_cast<std::size_t>(
      std::distance(class_queue.begin(), class_queue.lower_bound({item.start_by, item.id})));
  return items_ahead;
}

}  // namespace ibishold
