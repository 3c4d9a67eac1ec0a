#include <algorithm>

#include "ibishold/hand_over.h"

namespace ibishold {

HandOver::HandOver(HandOverOptions options, std::uint64_t seed) : options(options), random(seed) {}

void HandOver::SetCoordinators(std::vector<PeerAddress> addresses, std::size_t near) {
  this->coordinators = std::move(addresses);
  this->near_count = near;
}

void HandOver::Begin(std::uint64_t ticket,
                     const Call& call,
                     const Route& route,
                     TimePoint now,
                     std::vector<HandOverAction>& actions) {
  Progress& progress = this->calls[ticket];
  progress.time_left_at = now;
  progress.time_left = call.time_left;
  progress.deadline = now + std::min(route.time_limit, call.time_left - call.external_latency) -
                      this->options.limit_margin;
  progress.probe_delay =
      std::max(this->options.min_probe_delay,
               Duration(static_cast<Duration::rep>(this->options.probe_delay_share *
                                                   static_cast<double>(route.objective.count()))));
  progress.retry_until =
      now + Duration(static_cast<Duration::rep>(this->options.retry_window_share *
                                                static_cast<double>(route.objective.count())));
  this->Send(ticket, progress, now, actions);
}

// Returns the one with fewer calls in flight of two random candidates; near ones come first.
std::optional<PeerAddress> HandOver::ChooseCoordinator(const Progress& progress) {
  const auto untried = [&](const PeerAddress& address) {
    return std::find(progress.tried.begin(), progress.tried.end(), address) == progress.tried.end();
  };
  std::vector<PeerAddress> candidates;
  const auto near_end = this->coordinators.begin() + static_cast<std::ptrdiff_t>(this->near_count);
  std::copy_if(this->coordinators.begin(), near_end, std::back_inserter(candidates), untried);
  if (candidates.empty()) {
    std::copy_if(near_end, this->coordinators.end(), std::back_inserter(candidates), untried);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const PeerAddress first = candidates[this->random.NextBelow(candidates.size())];
  const PeerAddress second = candidates[this->random.NextBelow(candidates.size())];
  return this->in_flight[second] < this->in_flight[first] ? second : first;
}

void HandOver::Send(std::uint64_t ticket,
                    Progress& progress,
                    TimePoint now,
                    std::vector<HandOverAction>& actions) {
  const std::optional<PeerAddress> chosen = this->ChooseCoordinator(progress);
  if (!chosen || progress.connect_failures >= this->options.connect_failure_limit) {
    actions.push_back({.step = HandOverStep::kCoordinateLocally,
                       .ticket = ticket,
                       .may_have_been_sent = progress.possibly_started > 0});
    this->End(ticket, actions);
    return;
  }
  const AttemptId attempt = ++this->last_attempt;
  this->attempts[attempt] = ticket;
  ++this->in_flight[*chosen];
  progress.running.push_back({.attempt = attempt, .coordinator = *chosen});
  progress.tried.push_back(*chosen);
  ++progress.possibly_started;
  this->ScheduleTimer(ticket, progress, now + progress.probe_delay);
  actions.push_back({.step = HandOverStep::kSend,
                     .ticket = ticket,
                     .attempt = attempt,
                     .coordinator = *chosen,
                     .time_left = progress.time_left - (now - progress.time_left_at),
                     .may_have_been_sent = progress.possibly_started > 1});
}

void HandOver::ScheduleTimer(std::uint64_t ticket, Progress& progress, TimePoint at) {
  this->timers.erase({progress.wake_at, ticket});
  progress.wake_at = std::min(at, progress.deadline);
  this->timers.emplace(progress.wake_at, ticket);
}

void HandOver::CancelProbe(Progress& progress,
                           std::uint64_t ticket,
                           std::vector<HandOverAction>& actions) {
  if (progress.probe != 0) {
    this->attempts.erase(progress.probe);
    actions.push_back({.step = HandOverStep::kCancel, .ticket = ticket, .attempt = progress.probe});
    progress.probe = 0;
  }
}

std::optional<std::uint64_t> HandOver::OnReply(AttemptId attempt,
                                               TimePoint now,
                                               std::vector<HandOverAction>& actions) {
  const auto found = this->attempts.find(attempt);
  if (found == this->attempts.end()) {
    return std::nullopt;
  }
  const std::uint64_t ticket = found->second;
  Progress& progress = this->calls.at(ticket);
  this->attempts.erase(found);
  if (progress.probe == attempt) {
    progress.probe = 0;
    this->ScheduleTimer(ticket, progress, now + progress.probe_delay);
    return std::nullopt;
  }
  std::erase_if(progress.running, [&](const RunningAttempt& running) {
    if (running.attempt == attempt) {
      --this->in_flight[running.coordinator];
    }
    return running.attempt == attempt;
  });
  this->End(ticket, actions);
  return ticket;
}

void HandOver::OnDeclined(AttemptId attempt, TimePoint now, std::vector<HandOverAction>& actions) {
  const auto found = this->attempts.find(attempt);
  if (found == this->attempts.end()) {
    return;
  }
  actions.push_back({.step = HandOverStep::kCoordinateLocally,
                     .ticket = found->second,
                     .may_have_been_sent = this->calls.at(found->second).possibly_started > 1});
  this->OnReply(attempt, now, actions);
}

void HandOver::OnFailure(AttemptId attempt,
                         AttemptFailure failure,
                         TimePoint now,
                         std::vector<HandOverAction>& actions) {
  const auto found = this->attempts.find(attempt);
  if (found == this->attempts.end()) {
    return;
  }
  const std::uint64_t ticket = found->second;
  this->attempts.erase(found);
  Progress& progress = this->calls.at(ticket);
  if (progress.probe == attempt) {
    progress.probe = 0;
    this->FailUnresponsive(ticket, progress, actions);
    return;
  }
  const auto running =
      std::find_if(progress.running.begin(), progress.running.end(),
                   [&](const RunningAttempt& entry) { return entry.attempt == attempt; });
  const PeerAddress coordinator = running->coordinator;
  --this->in_flight[coordinator];
  progress.running.erase(running);
  actions.push_back({.step = HandOverStep::kSuspect, .ticket = ticket, .coordinator = coordinator});
  if (failure == AttemptFailure::kNoConnection) {
    --progress.possibly_started;
    ++progress.connect_failures;
  }
  if (!progress.running.empty()) {
    return;
  }
  this->CancelProbe(progress, ticket, actions);
  const bool unsent = failure == AttemptFailure::kNoConnection;
  if (unsent ||
      (progress.possibly_started < this->options.coordinator_limit && now < progress.retry_until)) {
    this->Send(ticket, progress, now, actions);
    return;
  }
  this->Fail(ticket, AnswerReason::kCoordinatorLost, actions);
}

void HandOver::Fail(std::uint64_t ticket,
                    AnswerReason reason,
                    std::vector<HandOverAction>& actions) {
  actions.push_back({.step = HandOverStep::kAnswer,
                     .ticket = ticket,
                     .answer = {.kind = AnswerKind::kFailed, .reason = reason}});
  this->End(ticket, actions);
}

void HandOver::EndAll(std::vector<HandOverAction>& actions) {
  std::vector<std::uint64_t> open;
  open.reserve(this->calls.size());
  for (const auto& [ticket, progress] : this->calls) {
    open.push_back(ticket);
  }
  for (const std::uint64_t ticket : open) {
    this->Fail(ticket, AnswerReason::kStopping, actions);
  }
}

void HandOver::OnCallerLeft(std::uint64_t ticket, std::vector<HandOverAction>& actions) {
  if (this->calls.contains(ticket)) {
    this->End(ticket, actions);
  }
}

void HandOver::OnTimer(TimePoint now, std::vector<HandOverAction>& actions) {
  while (!this->timers.empty() && this->timers.begin()->first <= now) {
    const std::uint64_t ticket = this->timers.begin()->second;
    this->timers.erase(this->timers.begin());
    Progress& progress = this->calls.at(ticket);
    if (now >= progress.deadline) {
      actions.push_back(
          {.step = HandOverStep::kAnswer,
           .ticket = ticket,
           .answer = {.kind = AnswerKind::kTimedOut, .reason = AnswerReason::kTimeLimit}});
      this->End(ticket, actions);
      continue;
    }
    if (progress.probe != 0) {
      this->CancelProbe(progress, ticket, actions);
      this->FailUnresponsive(ticket, progress, actions);
      continue;
    }
    progress.probe = ++this->last_attempt;
    this->attempts[progress.probe] = ticket;
    this->ScheduleTimer(ticket, progress, now + this->options.probe_timeout);
    actions.push_back({.step = HandOverStep::kProbe,
                       .ticket = ticket,
                       .attempt = progress.probe,
                       .coordinator = progress.running.back().coordinator});
  }
}

// Fails a call whose newest coordinator did not answer a probe.
void HandOver::FailUnresponsive(std::uint64_t ticket,
                                const Progress& progress,
                                std::vector<HandOverAction>& actions) {
  actions.push_back({.step = HandOverStep::kSuspect,
                     .ticket = ticket,
                     .coordinator = progress.running.back().coordinator});
  this->Fail(ticket, AnswerReason::kCoordinatorLost, actions);
}

std::optional<TimePoint> HandOver::NextTimer() const {
  if (this->timers.empty()) {
    return std::nullopt;
  }
  return this->timers.begin()->first;
}

void HandOver::End(std::uint64_t ticket, std::vector<HandOverAction>& actions) {
  const auto found = this->calls.find(ticket);
  this->CancelProbe(found->second, ticket, actions);
  for (const RunningAttempt& running : found->second.running) {
    --this->in_flight[running.coordinator];
    this->attempts.erase(running.attempt);
    actions.push_back(
        {.step = HandOverStep::kCancel, .ticket = ticket, .attempt = running.attempt});
  }
  this->timers.erase({found->second.wake_at, ticket});
  this->calls.erase(found);
}

}  // namespace ibishold
