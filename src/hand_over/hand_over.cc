#include <algorithm>

#include "ibishold/hand_over.h"

namespace ibishold {

HandOver::HandOver(HandOverOptions options, std::uint64_t seed) : options(options), random(seed) {}

void HandOver::SetCoordinators(std::vector<PeerAddress> addresses, std::size_t preferred_count) {
  this->coordinators = std::move(addresses);
  this->preferred_coordinator_count = preferred_count;
}

void HandOver::Begin(std::uint64_t ticket,
                     const Call& call,
                     const Route& route,
                     TimePoint now,
                     std::vector<HandOverAction>& actions) {
  CallProgress& progress = this->calls[ticket];
  // The first coordinator may use one attempt of each shard before it fails.
  progress.coordinator_limit = route.repeatable && route.attempt_limit > 1 ? 2 : 1;
  progress.time_left_at = now;
  progress.time_left = call.time_left;
  progress.deadline = now + std::min(route.time_limit, call.time_left - call.external_latency) -
                      this->options.time_limit_margin;
  progress.probe_delay =
      std::max(this->options.min_probe_delay,
               Duration(static_cast<Duration::rep>(this->options.probe_delay_share *
                                                   static_cast<double>(route.objective.count()))));
  progress.retry_until =
      now + Duration(static_cast<Duration::rep>(this->options.retry_window_share *
                                                static_cast<double>(route.objective.count())));
  this->SendToCoordinator(ticket, progress, now, actions);
}

// Picks two random candidates and returns the one with fewer calls in flight. Coordinators that are
// not preferred are candidates only after all preferred ones have been tried.
std::optional<PeerAddress> HandOver::ChooseCoordinator(const CallProgress& progress) {
  const auto is_untried = [&](const PeerAddress& address) {
    return std::find(progress.tried_coordinators.begin(), progress.tried_coordinators.end(),
                     address) == progress.tried_coordinators.end();
  };
  std::vector<PeerAddress> candidates;
  const auto preferred_end =
      this->coordinators.begin() + static_cast<std::ptrdiff_t>(this->preferred_coordinator_count);
  std::copy_if(this->coordinators.begin(), preferred_end, std::back_inserter(candidates),
               is_untried);
  if (candidates.empty()) {
    std::copy_if(preferred_end, this->coordinators.end(), std::back_inserter(candidates),
                 is_untried);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const PeerAddress first = candidates[this->random.NextBelow(candidates.size())];
  const PeerAddress second = candidates[this->random.NextBelow(candidates.size())];
  return this->calls_in_flight[second] < this->calls_in_flight[first] ? second : first;
}

void HandOver::SendToCoordinator(std::uint64_t ticket,
                                 CallProgress& progress,
                                 TimePoint now,
                                 std::vector<HandOverAction>& actions) {
  const std::optional<PeerAddress> coordinator = this->ChooseCoordinator(progress);
  if (!coordinator || progress.connect_failures >= this->options.connect_failure_limit) {
    actions.push_back({.step = HandOverStep::kCoordinateLocally,
                       .ticket = ticket,
                       .may_have_been_sent = progress.possibly_started_count > 0});
    this->EndCall(ticket, actions);
    return;
  }
  const AttemptId attempt = ++this->last_attempt_id;
  this->tickets_by_attempt[attempt] = ticket;
  ++this->calls_in_flight[*coordinator];
  progress.running_attempts.push_back({.attempt = attempt, .coordinator = *coordinator});
  progress.tried_coordinators.push_back(*coordinator);
  ++progress.possibly_started_count;
  this->ScheduleTimer(ticket, progress, now + progress.probe_delay);
  const bool may_be_repeated = progress.possibly_started_count < progress.coordinator_limit;
  actions.push_back({.step = HandOverStep::kSend,
                     .ticket = ticket,
                     .attempt = attempt,
                     .coordinator = *coordinator,
                     .time_left = progress.time_left - (now - progress.time_left_at),
                     .may_have_been_sent = progress.possibly_started_count > 1,
                     .single_attempt_time =
                         may_be_repeated ? std::max(Duration::zero(), progress.retry_until - now)
                                         : Duration::zero()});
}

void HandOver::ScheduleTimer(std::uint64_t ticket, CallProgress& progress, TimePoint at) {
  this->timers.erase({progress.timer_at, ticket});
  progress.timer_at = std::min(at, progress.deadline);
  this->timers.emplace(progress.timer_at, ticket);
}

void HandOver::CancelProbe(CallProgress& progress,
                           std::uint64_t ticket,
                           std::vector<HandOverAction>& actions) {
  if (progress.probe != 0) {
    this->tickets_by_attempt.erase(progress.probe);
    actions.push_back({.step = HandOverStep::kCancel, .ticket = ticket, .attempt = progress.probe});
    progress.probe = 0;
  }
}

std::optional<std::uint64_t> HandOver::OnReply(AttemptId attempt,
                                               TimePoint now,
                                               std::vector<HandOverAction>& actions) {
  const auto found = this->tickets_by_attempt.find(attempt);
  if (found == this->tickets_by_attempt.end()) {
    return std::nullopt;
  }
  const std::uint64_t ticket = found->second;
  CallProgress& progress = this->calls.at(ticket);
  this->tickets_by_attempt.erase(found);
  if (progress.probe == attempt) {
    progress.probe = 0;
    this->ScheduleTimer(ticket, progress, now + progress.probe_delay);
    return std::nullopt;
  }
  std::erase_if(progress.running_attempts, [&](const RunningAttempt& running) {
    if (running.attempt == attempt) {
      --this->calls_in_flight[running.coordinator];
    }
    return running.attempt == attempt;
  });
  this->EndCall(ticket, actions);
  return ticket;
}

void HandOver::OnDeclined(AttemptId attempt, TimePoint now, std::vector<HandOverAction>& actions) {
  const auto found = this->tickets_by_attempt.find(attempt);
  if (found == this->tickets_by_attempt.end()) {
    return;
  }
  actions.push_back(
      {.step = HandOverStep::kCoordinateLocally,
       .ticket = found->second,
       .may_have_been_sent = this->calls.at(found->second).possibly_started_count > 1});
  this->OnReply(attempt, now, actions);
}

void HandOver::OnFailure(AttemptId attempt,
                         AttemptFailure failure,
                         TimePoint now,
                         std::vector<HandOverAction>& actions) {
  const auto found = this->tickets_by_attempt.find(attempt);
  if (found == this->tickets_by_attempt.end()) {
    return;
  }
  const std::uint64_t ticket = found->second;
  this->tickets_by_attempt.erase(found);
  CallProgress& progress = this->calls.at(ticket);
  if (progress.probe == attempt) {
    progress.probe = 0;
    this->FailUnresponsiveCall(ticket, progress, actions);
    return;
  }
  const auto failed_attempt =
      std::find_if(progress.running_attempts.begin(), progress.running_attempts.end(),
                   [&](const RunningAttempt& entry) { return entry.attempt == attempt; });
  const PeerAddress coordinator = failed_attempt->coordinator;
  --this->calls_in_flight[coordinator];
  progress.running_attempts.erase(failed_attempt);
  actions.push_back({.step = HandOverStep::kSuspect, .ticket = ticket, .coordinator = coordinator});
  if (failure == AttemptFailure::kNoConnection) {
    --progress.possibly_started_count;
    ++progress.connect_failures;
  }
  if (!progress.running_attempts.empty()) {
    return;
  }
  this->CancelProbe(progress, ticket, actions);
  const bool is_unsent = failure == AttemptFailure::kNoConnection;
  if (is_unsent || (progress.possibly_started_count < progress.coordinator_limit &&
                    now < progress.retry_until)) {
    this->SendToCoordinator(ticket, progress, now, actions);
    return;
  }
  this->FailCall(ticket, AnswerReason::kCoordinatorLost, actions);
}

void HandOver::FailCall(std::uint64_t ticket,
                        AnswerReason reason,
                        std::vector<HandOverAction>& actions) {
  actions.push_back({.step = HandOverStep::kAnswer,
                     .ticket = ticket,
                     .answer = {.kind = AnswerKind::kFailed, .reason = reason}});
  this->EndCall(ticket, actions);
}

void HandOver::EndAll(std::vector<HandOverAction>& actions) {
  std::vector<std::uint64_t> tickets;
  tickets.reserve(this->calls.size());
  for (const auto& [ticket, progress] : this->calls) {
    tickets.push_back(ticket);
  }
  for (const std::uint64_t ticket : tickets) {
    this->FailCall(ticket, AnswerReason::kStopping, actions);
  }
}

void HandOver::OnCallerLeft(std::uint64_t ticket, std::vector<HandOverAction>& actions) {
  if (this->calls.contains(ticket)) {
    this->EndCall(ticket, actions);
  }
}

void HandOver::OnTimer(TimePoint now, std::vector<HandOverAction>& actions) {
  while (!this->timers.empty() && this->timers.begin()->first <= now) {
    const std::uint64_t ticket = this->timers.begin()->second;
    this->timers.erase(this->timers.begin());
    CallProgress& progress = this->calls.at(ticket);
    if (now >= progress.deadline) {
      actions.push_back(
          {.step = HandOverStep::kAnswer,
           .ticket = ticket,
           .answer = {.kind = AnswerKind::kTimedOut, .reason = AnswerReason::kTimeLimit}});
      this->EndCall(ticket, actions);
      continue;
    }
    if (progress.probe != 0) {
      this->CancelProbe(progress, ticket, actions);
      this->FailUnresponsiveCall(ticket, progress, actions);
      continue;
    }
    progress.probe = ++this->last_attempt_id;
    this->tickets_by_attempt[progress.probe] = ticket;
    this->ScheduleTimer(ticket, progress, now + this->options.probe_timeout);
    actions.push_back({.step = HandOverStep::kProbe,
                       .ticket = ticket,
                       .attempt = progress.probe,
                       .coordinator = progress.running_attempts.back().coordinator});
  }
}

// Fails a call because its latest coordinator did not answer a probe.
void HandOver::FailUnresponsiveCall(std::uint64_t ticket,
                                    const CallProgress& progress,
                                    std::vector<HandOverAction>& actions) {
  actions.push_back({.step = HandOverStep::kSuspect,
                     .ticket = ticket,
                     .coordinator = progress.running_attempts.back().coordinator});
  this->FailCall(ticket, AnswerReason::kCoordinatorLost, actions);
}

std::optional<TimePoint> HandOver::NextTimer() const {
  if (this->timers.empty()) {
    return std::nullopt;
  }
  return this->timers.begin()->first;
}

void HandOver::EndCall(std::uint64_t ticket, std::vector<HandOverAction>& actions) {
  const auto found = this->calls.find(ticket);
  this->CancelProbe(found->second, ticket, actions);
  for (const RunningAttempt& running : found->second.running_attempts) {
    --this->calls_in_flight[running.coordinator];
    this->tickets_by_attempt.erase(running.attempt);
    actions.push_back(
        {.step = HandOverStep::kCancel, .ticket = ticket, .attempt = running.attempt});
  }
  this->timers.erase({found->second.timer_at, ticket});
  this->calls.erase(found);
}

}  // namespace ibishold
