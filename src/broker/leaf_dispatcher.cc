#include "broker/leaf_dispatcher.h"

#include <algorithm>
#include <utility>

namespace ibishold {

namespace {

// A quarter of the time left may be spent waiting. Without this limit a request waited at a leaf
// that warmed up until just before its deadline, too late for another replica (p99 of 490 ms of a
// 500 ms deadline after a cold restart), and a low class starved as long under overload.
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
  if (this->closed || this->usable_slots == 0) {
    this->Refuse(work, wire::Outcome::NOT_OWNER, "no slot of this leaf is held here", now);
    return;
  }
  if (this->draining()) {
    this->Refuse(work, wire::Outcome::DRAINING, "leaf takes no new work", now);
    return;
  }
  if (!this->Reachable()) {
    this->Refuse(work, wire::Outcome::UNREACHABLE, "no connection to the leaf", now);
    return;
  }
  if (this->warm_up.GetAllowance() == 0) {
    ++this->counters.sheds;
    this->Refuse(work, wire::Outcome::NOT_OWNER, "leaf is warming up at its other owner", now);
    return;
  }
  const std::uint64_t call = ++this->last_id;
  const QueueItem item{.id = call, .request_class = work.request_class, .deadline = work.deadline};
  this->calls[{work.link, work.attempt}] = call;
  this->waiting.emplace(call, std::move(work));
  if (const auto refused = this->queue.Push(item, now, this->Speed())) {
    this->RefuseItems({*refused}, now);
  }
  this->Pump(now);
}

void LeafDispatcher::Cancel(std::uint64_t link,
                            std::uint64_t correlation,
                            std::uint64_t attempt,
                            TimePoint now) {
  AnswerCancel answer{.link = link, .correlation = correlation, .attempt = attempt};
  const AttemptKey key{link, attempt};
  const auto found = this->calls.find(key);
  if (found == this->calls.end()) {
    const auto past = this->finished.find(key);
    // An attempt that is not remembered may have been sent long ago.
    answer.verdict = past == this->finished.end() ? Verdict::kMayHaveRun : past->second;
    this->actions.emplace_back(answer);
    return;
  }
  const std::uint64_t call = found->second;
  if (this->queue.Remove(call)) {
    const std::optional<LeafWork> work = this->TakeWaiting(call);
    this->Remember(*work, Verdict::kNotRun);
    ++this->counters.cancelled_queued;
    answer.verdict = Verdict::kNotRun;
    this->actions.emplace_back(answer);
    return;
  }
  this->Remember(this->running.at(call).work, Verdict::kMayHaveRun);
  this->AbandonRunning(call, true);
  ++this->counters.cancelled_running;
  this->actions.emplace_back(answer);
  this->Pump(now);
}

bool LeafDispatcher::Knows(std::uint64_t link, std::uint64_t attempt) const {
  const AttemptKey key{link, attempt};
  return this->calls.contains(key) || this->finished.contains(key);
}

void LeafDispatcher::DropLink(std::uint64_t link, TimePoint now) {
  std::vector<std::uint64_t> lost;
  for (const auto& [key, call] : this->calls) {
    if (key.first == link) {
      lost.push_back(call);
    }
  }
  for (const std::uint64_t call : lost) {
    if (this->queue.Remove(call)) {
      this->TakeWaiting(call);
      continue;
    }
    // An execute goes on: its caller may still learn the result from its token.
    this->AbandonRunning(call, this->running.at(call).work.repeatable());
  }
  std::erase_if(this->finished, [link](const auto& entry) { return entry.first.first == link; });
  this->Pump(now);
}

void LeafDispatcher::SetSlots(std::uint32_t usable, TimePoint now) {
  const bool gained = usable > this->usable_slots;
  this->usable_slots = usable;
  if (usable == 0) {
    this->RefuseQueued(wire::Outcome::NOT_OWNER, "slots of this leaf are no longer held here", now);
  }
  if (gained) {
    this->KeepConnections(now);
  }
}

void LeafDispatcher::SetTakenOut(bool out, TimePoint now) {
  if (out == this->taken_out) {
    return;
  }
  this->taken_out = out;
  if (out) {
    this->RefuseQueued(wire::Outcome::DRAINING, "leaf was taken out", now);
    this->CloseIdle();
    return;
  }
  // What happened to the leaf meanwhile is not known here.
  this->warm_up.MarkCold(ColdReason::kReconnect);
  this->CountCold();
  this->KeepConnections(now);
}

void LeafDispatcher::OnPeerLevel(const LeafLevel& level, TimePoint now) {
  this->warm_up.MergePeerLevel(level);
  this->CountCold();
  this->Pump(now);
}

void LeafDispatcher::RefuseFingerprint(std::uint64_t fingerprint, TimePoint now) {
  std::vector<std::uint64_t> found;
  for (const auto& [call, work] : this->waiting) {
    if (work.fingerprint == fingerprint) {
      found.push_back(call);
    }
  }
  for (const std::uint64_t call : found) {
    this->queue.Remove(call);
    const std::optional<LeafWork> work = this->TakeWaiting(call);
    this->Refuse(*work, wire::Outcome::QUARANTINED, "request is suspected of crashing leaves", now);
  }
}

void LeafDispatcher::Close(TimePoint now) {
  this->closed = true;
  this->usable_slots = 0;
  this->RefuseQueued(wire::Outcome::NOT_OWNER, "leaf left the topology", now);
  this->CloseIdle();
}

void LeafDispatcher::Tick(TimePoint now) {
  this->CheckDeadlines(now);
  std::vector<RefusedItem> refused;
  this->queue.Sweep(now, this->Speed(), refused);
  this->RefuseItems(refused, now);
  this->KeepConnections(now);
  this->Pump(now);
}

void LeafDispatcher::Pump(TimePoint now) {
  this->limiter.Expire(now);
  this->limiter.SetLimit(std::min(this->usable_slots, this->warm_up.GetAllowance()));
  this->SendCancels(now);
  while (this->queue.size() > 0 && this->limiter.free_slots() > 0 && !this->draining()) {
    std::vector<RefusedItem> refused;
    this->queue.Sweep(now, this->Speed(), refused);
    this->RefuseItems(refused, now);
    const std::optional<QueueItem> next = this->queue.Peek();
    if (!next) {
      return;
    }
    const bool execute = !this->waiting.at(next->id).repeatable();
    const std::optional<std::uint64_t> connection = this->PickConnection(execute, now);
    if (!connection) {
      return;
    }
    this->queue.Remove(next->id);
    this->Start(next->id, *connection, now);
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
  result.queue_time = now - work.received;
  result.retry_after = this->drain.ComputeRetryAfter(this->queue.size(), now, this->random);
  this->Answer(work, std::move(result));
}

void LeafDispatcher::RefuseQueued(wire::Outcome outcome,
                                  const std::string& message,
                                  TimePoint now) {
  for (const std::uint64_t call : this->queue.Clear()) {
    const std::optional<LeafWork> work = this->TakeWaiting(call);
    this->Refuse(*work, outcome, message, now);
  }
}

void LeafDispatcher::RefuseItems(const std::vector<RefusedItem>& refused, TimePoint now) {
  for (const RefusedItem& item : refused) {
    const std::optional<LeafWork> work = this->TakeWaiting(item.id);
    if (item.reason != QueueRefusal::kLate) {
      ++this->counters.sheds;
      const bool full = item.reason == QueueRefusal::kFull;
      this->Refuse(*work, wire::Outcome::SHED,
                   full ? "queue of the leaf is full" : "the leaf's queue is too long", now);
    } else {
      ++this->counters.late_refusals;
      this->Refuse(*work, wire::Outcome::DEADLINE, "cannot finish before the deadline", now);
    }
  }
}

std::optional<LeafWork> LeafDispatcher::TakeWaiting(std::uint64_t call) {
  auto node = this->waiting.extract(call);
  if (node.empty()) {
    return std::nullopt;
  }
  this->calls.erase({node.mapped().link, node.mapped().attempt});
  return std::move(node.mapped());
}

void LeafDispatcher::Answer(const LeafWork& work, LeafResult result) {
  this->Remember(work, result.verdict);
  this->actions.emplace_back(AnswerWork{.work = work, .result = std::move(result)});
}

void LeafDispatcher::Remember(const LeafWork& work, Verdict verdict) {
  const AttemptKey key{work.link, work.attempt};
  this->calls.erase(key);
  this->finished[key] = verdict;
  this->finished_order.push_back(key);
  if (this->finished_order.size() > this->options.finished_limit) {
    this->finished.erase(this->finished_order.front());
    this->finished_order.pop_front();
  }
}

ServiceSpeed LeafDispatcher::Speed() const {
  const std::uint32_t parallel = std::min(this->usable_slots, this->warm_up.GetAllowance());
  return {.median_service_time = this->times.median(), .parallel_calls = std::max(1U, parallel)};
}

void LeafDispatcher::CountCold() {
  this->counters.cold_transitions += this->warm_up.cold_count() - this->counted_cold;
  this->counted_cold = this->warm_up.cold_count();
}

}  // namespace ibishold
