#include "broker/leaf_dispatcher.h"

#include <algorithm>
#include <utility>

namespace ibishold {

namespace {

// Share of the time left that an attempt may wait in the queue. Without this limit an attempt
// waited at a leaf that was warming up until just before its deadline, too late for another
// replica: after a cold restart the p99 latency was 490 ms with a deadline of 500 ms. Requests of a
// low class waited as long under overload.
constexpr double kQueueWaitShare = 0.25;

}  // namespace

LeafDispatcher::LeafDispatcher(LeafDispatcherOptions options, DispatchCounters& counters)
    : options(std::move(options)),
      counters(counters),
      random(this->options.seed),
      warm_up(this->options.warm_up),
      queue({.limit = this->options.queue_limit,
             .refuse_late = this->options.refuse_late,
             .wait_share = kQueueWaitShare}) {}

void LeafDispatcher::Submit(LeafWork work, TimePoint now) {
  if (this->leaf_removed || this->usable_slots == 0) {
    this->Refuse(work, wire::Outcome::NOT_OWNER, "no slot of this leaf is held here", now);
    return;
  }
  if (this->draining()) {
    this->Refuse(work, wire::Outcome::DRAINING, "leaf takes no new work", now);
    return;
  }
  if (!this->IsReachable()) {
    this->Refuse(work, wire::Outcome::UNREACHABLE, "no connection to the leaf", now);
    return;
  }
  if (this->warm_up.GetAllowance() == 0) {
    ++this->counters.sheds;
    this->Refuse(work, wire::Outcome::NOT_OWNER, "leaf is warming up at its other owner", now);
    return;
  }
  const std::uint64_t call_id = ++this->last_call_or_connection_id;
  const QueueItem item{
      .id = call_id, .request_class = work.request_class, .deadline = work.deadline};
  this->open_attempts[{work.link_id, work.attempt}] = call_id;
  this->queued_work.emplace(call_id, std::move(work));
  if (const auto refused_item = this->queue.Push(item, now, this->EstimateServiceSpeed())) {
    this->RefuseQueueItems({*refused_item}, now);
  }
  this->StartQueued(now);
}

void LeafDispatcher::Cancel(std::uint64_t link_id,
                            std::uint64_t correlation,
                            std::uint64_t attempt,
                            TimePoint now) {
  AnswerCancel answer{.link_id = link_id, .correlation = correlation, .attempt = attempt};
  const AttemptKey key{link_id, attempt};
  const auto found = this->open_attempts.find(key);
  if (found == this->open_attempts.end()) {
    const auto recent_verdict = this->recent_verdicts.find(key);
    // An attempt without a kept verdict may have been sent to the leaf long ago.
    answer.verdict = recent_verdict == this->recent_verdicts.end() ? Verdict::kMayHaveRun
                                                                   : recent_verdict->second;
    this->actions.emplace_back(answer);
    return;
  }
  const std::uint64_t call_id = found->second;
  if (this->queue.Remove(call_id)) {
    const std::optional<LeafWork> work = this->TakeQueuedWork(call_id);
    this->RecordVerdict(*work, Verdict::kNotRun);
    ++this->counters.cancelled_queued;
    answer.verdict = Verdict::kNotRun;
    this->actions.emplace_back(answer);
    return;
  }
  this->RecordVerdict(this->running_calls.at(call_id).work, Verdict::kMayHaveRun);
  this->AbandonCall(call_id, true);
  ++this->counters.cancelled_running;
  this->actions.emplace_back(answer);
  this->StartQueued(now);
}

bool LeafDispatcher::HasAttempt(std::uint64_t link_id, std::uint64_t attempt) const {
  const AttemptKey key{link_id, attempt};
  return this->open_attempts.contains(key) || this->recent_verdicts.contains(key);
}

void LeafDispatcher::DropWorkOfLink(std::uint64_t link_id, TimePoint now) {
  std::vector<std::uint64_t> calls_of_link;
  for (const auto& [key, call_id] : this->open_attempts) {
    if (key.first == link_id) {
      calls_of_link.push_back(call_id);
    }
  }
  for (const std::uint64_t call_id : calls_of_link) {
    if (this->queue.Remove(call_id)) {
      this->TakeQueuedWork(call_id);
      continue;
    }
    // An execute is not cancelled at the leaf: its caller can still get the result by the token.
    this->AbandonCall(call_id, this->running_calls.at(call_id).work.repeatable());
  }
  std::erase_if(this->recent_verdicts,
                [link_id](const auto& entry) { return entry.first.first == link_id; });
  this->StartQueued(now);
}

void LeafDispatcher::SetUsableSlots(std::uint32_t slots, TimePoint now) {
  const bool slots_gained = slots > this->usable_slots;
  this->usable_slots = slots;
  if (slots == 0) {
    this->RefuseQueued(wire::Outcome::NOT_OWNER, "slots of this leaf are no longer held here", now);
  }
  if (slots_gained) {
    this->MaintainConnections(now);
  }
}

void LeafDispatcher::SetTakenOut(bool new_taken_out, TimePoint now) {
  if (new_taken_out == this->taken_out) {
    return;
  }
  this->taken_out = new_taken_out;
  if (new_taken_out) {
    this->RefuseQueued(wire::Outcome::DRAINING, "leaf was taken out", now);
    this->CloseUnusedConnections();
    return;
  }
  // The leaf may have restarted while this broker had no connection to it.
  this->warm_up.MarkCold(ColdReason::kReconnect);
  this->UpdateColdCounter();
  this->MaintainConnections(now);
}

void LeafDispatcher::OnPeerLevel(const LeafLevel& level, TimePoint now) {
  this->warm_up.MergePeerLevel(level);
  this->UpdateColdCounter();
  this->StartQueued(now);
}

void LeafDispatcher::RefuseFingerprint(std::uint64_t fingerprint, TimePoint now) {
  std::vector<std::uint64_t> matching_calls;
  for (const auto& [call_id, work] : this->queued_work) {
    if (work.fingerprint == fingerprint) {
      matching_calls.push_back(call_id);
    }
  }
  for (const std::uint64_t call_id : matching_calls) {
    this->queue.Remove(call_id);
    const std::optional<LeafWork> work = this->TakeQueuedWork(call_id);
    this->Refuse(*work, wire::Outcome::QUARANTINED, "request is suspected of crashing leaves", now);
  }
}

void LeafDispatcher::RemoveLeaf(TimePoint now) {
  this->leaf_removed = true;
  this->usable_slots = 0;
  this->RefuseQueued(wire::Outcome::NOT_OWNER, "leaf left the topology", now);
  this->CloseUnusedConnections();
}

void LeafDispatcher::Tick(TimePoint now) {
  this->CheckDeadlines(now);
  std::vector<RefusedItem> refused_items;
  this->queue.Sweep(now, this->EstimateServiceSpeed(), refused_items);
  this->RefuseQueueItems(refused_items, now);
  this->MaintainConnections(now);
  this->StartQueued(now);
}

void LeafDispatcher::StartQueued(TimePoint now) {
  this->limiter.Expire(now);
  this->limiter.SetLimit(std::min(this->usable_slots, this->warm_up.GetAllowance()));
  this->SendCancels(now);
  while (this->queue.size() > 0 && this->limiter.free_slots() > 0 && !this->draining()) {
    std::vector<RefusedItem> refused_items;
    this->queue.Sweep(now, this->EstimateServiceSpeed(), refused_items);
    this->RefuseQueueItems(refused_items, now);
    const std::optional<QueueItem> next_item = this->queue.Peek();
    if (!next_item) {
      return;
    }
    const bool is_execute = !this->queued_work.at(next_item->id).repeatable();
    const std::optional<std::uint64_t> connection_id = this->PickConnection(is_execute, now);
    if (!connection_id) {
      return;
    }
    this->queue.Remove(next_item->id);
    this->StartCall(next_item->id, *connection_id, now);
  }
}

void LeafDispatcher::Refuse(const LeafWork& work,
                            wire::Outcome outcome,
                            std::string message,
                            TimePoint now) {
  LeafResult result;
  result.outcome = outcome;
  result.verdict = Verdict::kNotRun;
  result.message = std::move(message);
  result.queue_time = now - work.received_at;
  result.retry_after =
      this->queue_drain_rate.ComputeRetryAfter(this->queue.size(), now, this->random);
  this->AnswerAttempt(work, std::move(result));
}

void LeafDispatcher::RefuseQueued(wire::Outcome outcome,
                                  const std::string& message,
                                  TimePoint now) {
  for (const std::uint64_t call_id : this->queue.Clear()) {
    const std::optional<LeafWork> work = this->TakeQueuedWork(call_id);
    this->Refuse(*work, outcome, message, now);
  }
}

void LeafDispatcher::RefuseQueueItems(const std::vector<RefusedItem>& refused_items,
                                      TimePoint now) {
  for (const RefusedItem& item : refused_items) {
    const std::optional<LeafWork> work = this->TakeQueuedWork(item.id);
    if (item.reason != QueueRefusal::kLate) {
      ++this->counters.sheds;
      const bool queue_full = item.reason == QueueRefusal::kFull;
      this->Refuse(*work, wire::Outcome::SHED,
                   queue_full ? "queue of the leaf is full" : "the leaf's queue is too long", now);
    } else {
      ++this->counters.late_refusals;
      this->Refuse(*work, wire::Outcome::DEADLINE, "cannot finish before the deadline", now);
    }
  }
}

std::optional<LeafWork> LeafDispatcher::TakeQueuedWork(std::uint64_t call_id) {
  auto work_node = this->queued_work.extract(call_id);
  if (work_node.empty()) {
    return std::nullopt;
  }
  this->open_attempts.erase({work_node.mapped().link_id, work_node.mapped().attempt});
  return std::move(work_node.mapped());
}

void LeafDispatcher::AnswerAttempt(const LeafWork& work, LeafResult result) {
  this->RecordVerdict(work, result.verdict);
  this->actions.emplace_back(AnswerWork{.work = work, .result = std::move(result)});
}

void LeafDispatcher::RecordVerdict(const LeafWork& work, Verdict verdict) {
  const AttemptKey key{work.link_id, work.attempt};
  this->open_attempts.erase(key);
  this->recent_verdicts[key] = verdict;
  this->recent_verdicts_order.push_back(key);
  if (this->recent_verdicts_order.size() > this->options.remembered_verdict_limit) {
    this->recent_verdicts.erase(this->recent_verdicts_order.front());
    this->recent_verdicts_order.pop_front();
  }
}

ServiceSpeed LeafDispatcher::EstimateServiceSpeed() const {
  const std::uint32_t parallel_calls = std::min(this->usable_slots, this->warm_up.GetAllowance());
  return {.median_service_time = this->service_times.median(),
          .parallel_calls = std::max(1U, parallel_calls)};
}

void LeafDispatcher::UpdateColdCounter() {
  this->counters.cold_transitions += this->warm_up.cold_count() - this->counted_cold_transitions;
  this->counted_cold_transitions = this->warm_up.cold_count();
}

}  // namespace ibishold
