#include <algorithm>
#include <cmath>
#include <utility>

#include "ibishold/leaf_policy.h"

namespace ibishold {

namespace {

constexpr double kSlownessGain = 0.3;    // weight of a new slowness sample
constexpr double kMeanLoadGain = 0.005;  // weight of a new load sample in the mean
constexpr double kMinSlowness = 0.5;     // keeps fast leaves from attracting ever more work
constexpr double kMaxSlowness = 20;
constexpr double kFailureWeight = 1.5;      // score per recent failure, in usual durations
constexpr double kStalledPenaltyMs = 1000;  // added to the score; far above any usual duration
constexpr double kTieTolerance = 0.05;      // relative difference up to which scores tie
constexpr double kWarmUpBurstRequests = 1;  // requests one VM may send a cold leaf at once

double ComputeDecay(TimePoint since, TimePoint now, Duration half_life) {
  if (now <= since) {
    return 1;
  }
  return std::exp2(-static_cast<double>((now - since).count()) /
                   static_cast<double>(half_life.count()));
}

}  // namespace

LeafTracker::LeafTracker(LeafTrackerOptions options, std::uint64_t seed)
    : options(std::move(options)), random(seed) {}

void LeafTracker::RecordSend(AttemptId attempt,
                             const LeafEntry& leaf,
                             Duration usual_duration,
                             TimePoint now) {
  this->outstanding[attempt] = {.leaf = leaf.id, .usual_duration = usual_duration, .sent_at = now};
  this->conditions[leaf.id].attempts.insert(attempt);
}

std::optional<LeafTracker::OutstandingAttempt> LeafTracker::RemoveAttempt(AttemptId attempt) {
  const auto found = this->outstanding.find(attempt);
  if (found == this->outstanding.end()) {
    return std::nullopt;
  }
  const OutstandingAttempt ended_attempt = found->second;
  this->outstanding.erase(found);
  const auto condition = this->conditions.find(ended_attempt.leaf);
  if (condition != this->conditions.end()) {
    condition->second.attempts.erase(attempt);
  }
  return ended_attempt;
}

void LeafTracker::UpdateSlowness(LeafCondition& condition,
                                 double measured_slowness,
                                 TimePoint now) const {
  const double decay =
      ComputeDecay(condition.slowness_updated_at, now, this->options.slowness_half_life);
  const double decayed_slowness = 1 + (condition.slowness - 1) * decay;
  const double clamped_slowness = std::clamp(measured_slowness, kMinSlowness, kMaxSlowness);
  condition.slowness = decayed_slowness + kSlownessGain * (clamped_slowness - decayed_slowness);
  condition.slowness_updated_at = now;
}

double LeafTracker::LimitPauseSlowness(LeafCondition& condition,
                                       const OutstandingAttempt& attempt,
                                       double measured_slowness,
                                       TimePoint now) const {
  if (measured_slowness <= this->options.max_pause_slowness) {
    condition.consecutive_slow_requests = 0;
    return measured_slowness;
  }
  if (condition.consecutive_slow_requests == 0 || attempt.sent_at >= condition.last_slow_end) {
    ++condition.consecutive_slow_requests;
    condition.last_slow_end = now;
  }
  return condition.consecutive_slow_requests == 1 ? this->options.max_pause_slowness
                                                  : measured_slowness;
}

void LeafTracker::RecordReply(AttemptId attempt, const LeafReply& reply, TimePoint now) {
  const std::optional<OutstandingAttempt> ended_attempt = this->RemoveAttempt(attempt);
  if (!ended_attempt) {
    return;
  }
  LeafCondition& condition = this->conditions[ended_attempt->leaf];
  condition.replied_at = now;
  condition.silent_until = {};
  condition.consecutive_silences = 0;
  condition.silence_reported = false;
  if (reply.load) {
    const double total_requests = reply.load->running + reply.load->waiting;
    const double slots = std::max<double>(1, reply.load->slots);
    const double remaining_load = std::clamp((total_requests - 1) / slots, 0.0, 1.0);
    this->mean_load += kMeanLoadGain * (remaining_load - this->mean_load);
    condition.other_vm_requests =
        std::max(0.0, total_requests - static_cast<double>(condition.attempts.size()));
    condition.load_reported_at = now;
  }
  if (reply.success()) {
    if (ended_attempt->usual_duration > Duration::zero()) {
      const double measured_slowness = static_cast<double>((now - ended_attempt->sent_at).count()) /
                                       static_cast<double>(ended_attempt->usual_duration.count());
      this->UpdateSlowness(
          condition, this->LimitPauseSlowness(condition, *ended_attempt, measured_slowness, now),
          now);
    }
    condition.failure_count *=
        0.5 * ComputeDecay(condition.failures_updated_at, now, this->options.failure_half_life);
    condition.failures_updated_at = now;
    return;
  }
  condition.failure_count =
      condition.failure_count *
          ComputeDecay(condition.failures_updated_at, now, this->options.failure_half_life) +
      1;
  condition.failures_updated_at = now;
}

void LeafTracker::RecordFailure(AttemptId attempt, AttemptFailure /*failure*/, TimePoint now) {
  const std::optional<OutstandingAttempt> ended_attempt = this->RemoveAttempt(attempt);
  if (!ended_attempt) {
    return;
  }
  LeafCondition& condition = this->conditions[ended_attempt->leaf];
  condition.failure_count =
      condition.failure_count *
          ComputeDecay(condition.failures_updated_at, now, this->options.failure_half_life) +
      1;
  condition.failures_updated_at = now;
}

void LeafTracker::RecordCancellation(AttemptId attempt, TimePoint now) {
  const std::optional<OutstandingAttempt> ended_attempt = this->RemoveAttempt(attempt);
  if (!ended_attempt || ended_attempt->usual_duration <= Duration::zero()) {
    return;
  }
  // The time waited is only a lower bound of the attempt's duration, so its ratio to the usual
  // duration is recorded only if it exceeds the current slowness.
  const double slowness_so_far = static_cast<double>((now - ended_attempt->sent_at).count()) /
                                 static_cast<double>(ended_attempt->usual_duration.count());
  LeafCondition& condition = this->conditions[ended_attempt->leaf];
  if (slowness_so_far > condition.slowness) {
    this->UpdateSlowness(
        condition, this->LimitPauseSlowness(condition, *ended_attempt, slowness_so_far, now), now);
  }
}

void LeafTracker::Forget(const LeafId& leaf) {
  const auto found = this->conditions.find(leaf);
  if (found == this->conditions.end()) {
    return;
  }
  for (const AttemptId attempt : found->second.attempts) {
    this->outstanding.erase(attempt);
  }
  this->conditions.erase(found);
}

double LeafTracker::ComputeScore(const LeafEntry& leaf,
                                 Duration usual_duration,
                                 TimePoint now,
                                 Duration objective) const {
  const double usual_ms = std::max(0.1, ToMilliseconds(usual_duration));
  double slowness = 1;
  double failure_count = 0;
  double requests_at_leaf = 0;
  double penalty_ms = 0;
  const auto found = this->conditions.find(leaf.id);
  if (found != this->conditions.end()) {
    const LeafCondition& condition = found->second;
    slowness = 1 + (condition.slowness - 1) * ComputeDecay(condition.slowness_updated_at, now,
                                                           this->options.slowness_half_life);
    failure_count = condition.failure_count * ComputeDecay(condition.failures_updated_at, now,
                                                           this->options.failure_half_life);
    requests_at_leaf = static_cast<double>(condition.attempts.size()) +
                       condition.other_vm_requests * ComputeDecay(condition.load_reported_at, now,
                                                                  this->options.load_half_life);
    if (now < condition.silent_until || this->IsStalled(leaf.id, now)) {
      penalty_ms += kStalledPenaltyMs;
    }
  }
  const double slots = std::max<double>(1, leaf.slots);
  const double waiting_per_slot = std::max(0.0, requests_at_leaf + 1 - slots) / slots;
  double score = usual_ms * (slowness * (1 + waiting_per_slot) + kFailureWeight * failure_count) +
                 usual_ms * 0.1 * requests_at_leaf / slots + penalty_ms;
  if (leaf.data_centre != this->options.data_centre) {
    score = std::max(
        score * this->options.remote_cost_factor + ToMilliseconds(this->options.remote_delay),
        score + this->options.remote_objective_share * ToMilliseconds(objective));
  }
  return score;
}

const LeafEntry* LeafTracker::Choose(const std::vector<const LeafEntry*>& candidates,
                                     Duration usual_duration,
                                     TimePoint now,
                                     Duration objective) {
  const LeafEntry* best = nullptr;
  double best_score = 0;
  std::uint64_t ties = 1;
  for (const LeafEntry* candidate : candidates) {
    const double score = this->ComputeScore(*candidate, usual_duration, now, objective);
    if (best != nullptr && score > best_score * (1 + kTieTolerance)) {
      continue;
    }
    if (best != nullptr && score >= best_score * (1 - kTieTolerance)) {
      if (this->random.NextBelow(++ties) != 0) {
        continue;
      }
    } else {
      ties = 1;
    }
    best = candidate;
    best_score = score;
  }
  return best;
}

std::uint32_t LeafTracker::CountInFlight(const LeafId& leaf) const {
  const auto found = this->conditions.find(leaf);
  return found == this->conditions.end()
             ? 0
             : static_cast<std::uint32_t>(found->second.attempts.size());
}

bool LeafTracker::IsStalled(const LeafId& leaf, TimePoint now) const {
  const auto found = this->conditions.find(leaf);
  if (found == this->conditions.end() || found->second.attempts.empty()) {
    return false;
  }
  const auto oldest_attempt = this->outstanding.find(*found->second.attempts.begin());
  if (oldest_attempt == this->outstanding.end()) {
    return false;
  }
  const auto stall_limit =
      std::max(this->options.min_stall_duration,
               Duration(static_cast<Duration::rep>(
                   this->options.stall_factor *
                   static_cast<double>(oldest_attempt->second.usual_duration.count()))));
  return now - oldest_attempt->second.sent_at > stall_limit;
}

void LeafTracker::RecordOverdue(AttemptId attempt, TimePoint now) {
  const auto found = this->outstanding.find(attempt);
  if (found == this->outstanding.end()) {
    return;
  }
  LeafCondition& condition = this->conditions[found->second.leaf];
  if (condition.replied_at >= found->second.sent_at) {
    return;
  }
  if (now >= condition.silent_until) {
    condition.silence_reported = false;
  }
  this->MarkSilent(condition, now);
  if (!condition.silence_reported &&
      now - condition.replied_at <= this->options.silence_gossip_window) {
    condition.silence_reported = true;
    this->new_silent_leaves.push_back(
        {.leaf = found->second.leaf, .request_age = now - found->second.sent_at});
  }
}

// A further overdue request during a silence extends the avoidance of the leaf but does not count
// as another silence.
void LeafTracker::MarkSilent(LeafCondition& condition, TimePoint now) const {
  constexpr int kMaxDoublings = 16;
  if (now >= condition.silent_until) {
    condition.consecutive_silences = std::min(condition.consecutive_silences + 1, kMaxDoublings);
  }
  const Duration avoidance_duration =
      this->options.silence_avoidance * (1 << (condition.consecutive_silences - 1));
  condition.silent_until =
      std::max(condition.silent_until,
               now + std::min(avoidance_duration, this->options.max_silence_avoidance));
}

bool LeafTracker::RecordPeerSilence(const SilentLeaf& report, TimePoint now) {
  LeafCondition& condition = this->conditions[report.leaf];
  if (condition.replied_at >= now - report.request_age) {
    return false;
  }
  const bool was_silent = now < condition.silent_until;
  this->MarkSilent(condition, now);
  condition.silence_reported = true;
  return !was_silent;
}

std::vector<SilentLeaf> LeafTracker::TakeSilentLeaves() {
  return std::exchange(this->new_silent_leaves, {});
}

bool LeafTracker::TryTakeWarmUpToken(const LeafEntry& leaf,
                                     double fleet_rate,
                                     std::size_t sender_count,
                                     TimePoint now) {
  LeafCondition& condition = this->conditions[leaf.id];
  if (fleet_rate <= 0 || now >= condition.cold_until) {
    return true;
  }
  const double tokens_per_second =
      fleet_rate / static_cast<double>(std::max<std::size_t>(sender_count, 1));
  const double elapsed_seconds =
      std::chrono::duration<double>(now - condition.warm_up_tokens_updated_at).count();
  condition.warm_up_tokens =
      std::min(kWarmUpBurstRequests,
               condition.warm_up_tokens + std::max(0.0, elapsed_seconds) * tokens_per_second);
  condition.warm_up_tokens_updated_at = now;
  if (condition.warm_up_tokens < 1) {
    return false;
  }
  condition.warm_up_tokens -= 1;
  return true;
}

void LeafTracker::SetColdUntil(const LeafId& leaf, TimePoint until, TimePoint now) {
  LeafCondition& condition = this->conditions[leaf];
  if (condition.cold_until <= now) {
    condition.warm_up_tokens_updated_at = now;  // no tokens accrue for earlier times
    condition.warm_up_tokens = 0;
  }
  condition.cold_until = std::max(condition.cold_until, until);
}

void LeafTracker::MarkMisplaced(const LeafId& leaf, Revision revision) {
  this->conditions[leaf].misplaced_revision = revision;
}

bool LeafTracker::IsMisplaced(const LeafEntry& leaf) const {
  const auto found = this->conditions.find(leaf.id);
  return found != this->conditions.end() && found->second.misplaced_revision >= leaf.revision &&
         !leaf.revision.none();
}

}  // namespace ibishold
