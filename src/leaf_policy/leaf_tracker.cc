#include <algorithm>
#include <cmath>
#include <utility>

#include "ibishold/leaf_policy.h"

namespace ibishold {

namespace {

constexpr double kSlownessGain = 0.3;    // weight of a new sample of slowness
constexpr double kMeanLoadGain = 0.005;  // weight of a new sample of the leaves' mean load
constexpr double kMinSlowness = 0.5;     // keeps fast leaves from attracting ever more work
constexpr double kMaxSlowness = 20;
constexpr double kFailureWeight = 1.5;      // score added per new failure, in usual durations
constexpr double kStalledPenaltyMs = 1000;  // ms, far above any usual duration
constexpr double kTieShare = 0.05;          // relative difference below which scores are equal
constexpr double kWarmUpBurst = 1;          // requests that one VM may send to a cold leaf at once

double Decay(TimePoint since, TimePoint now, Duration half_life) {
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
                             Duration usual,
                             TimePoint now) {
  this->outstanding[attempt] = {.leaf = leaf.id, .usual = usual, .sent_at = now};
  this->conditions[leaf.id].attempts.insert(attempt);
}

std::optional<LeafTracker::OutstandingAttempt> LeafTracker::RemoveAttempt(AttemptId attempt) {
  const auto found = this->outstanding.find(attempt);
  if (found == this->outstanding.end()) {
    return std::nullopt;
  }
  const OutstandingAttempt taken = found->second;
  this->outstanding.erase(found);
  const auto condition = this->conditions.find(taken.leaf);
  if (condition != this->conditions.end()) {
    condition->second.attempts.erase(attempt);
  }
  return taken;
}

void LeafTracker::UpdateSlowness(Condition& condition, double measured, TimePoint now) const {
  const double decay = Decay(condition.slowness_at, now, this->options.slowness_half_life);
  const double old = 1 + (condition.slowness - 1) * decay;
  const double bounded = std::clamp(measured, kMinSlowness, kMaxSlowness);
  condition.slowness = old + kSlownessGain * (bounded - old);
  condition.slowness_at = now;
}

double LeafTracker::DiscountPause(Condition& condition,
                                  const OutstandingAttempt& ended,
                                  double measured,
                                  TimePoint now) const {
  if (measured <= this->options.max_pause_slowness) {
    condition.consecutive_slow = 0;
    return measured;
  }
  if (condition.consecutive_slow == 0 || ended.sent_at >= condition.last_slow_at) {
    ++condition.consecutive_slow;
    condition.last_slow_at = now;
  }
  return condition.consecutive_slow == 1 ? this->options.max_pause_slowness : measured;
}

void LeafTracker::RecordReply(AttemptId attempt, const LeafReply& reply, TimePoint now) {
  const std::optional<OutstandingAttempt> taken = this->RemoveAttempt(attempt);
  if (!taken) {
    return;
  }
  Condition& condition = this->conditions[taken->leaf];
  condition.replied_at = now;
  condition.silent_until = {};
  condition.consecutive_silences = 0;
  condition.silence_reported = false;
  if (reply.load) {
    const double total = reply.load->running + reply.load->waiting;
    const double slots = std::max<double>(1, reply.load->slots);
    const double load_of_others = std::clamp((total - 1) / slots, 0.0, 1.0);
    this->mean_load += kMeanLoadGain * (load_of_others - this->mean_load);
    condition.other_requests =
        std::max(0.0, total - static_cast<double>(condition.attempts.size()));
    condition.other_requests_at = now;
  }
  if (reply.success()) {
    if (taken->usual > Duration::zero()) {
      const double measured = static_cast<double>((now - taken->sent_at).count()) /
                              static_cast<double>(taken->usual.count());
      this->UpdateSlowness(condition, this->DiscountPause(condition, *taken, measured, now), now);
    }
    condition.failures *= 0.5 * Decay(condition.failures_at, now, this->options.failure_half_life);
    condition.failures_at = now;
    return;
  }
  condition.failures =
      condition.failures * Decay(condition.failures_at, now, this->options.failure_half_life) + 1;
  condition.failures_at = now;
}

void LeafTracker::RecordFailure(AttemptId attempt, AttemptFailure /*failure*/, TimePoint now) {
  const std::optional<OutstandingAttempt> taken = this->RemoveAttempt(attempt);
  if (!taken) {
    return;
  }
  Condition& condition = this->conditions[taken->leaf];
  condition.failures =
      condition.failures * Decay(condition.failures_at, now, this->options.failure_half_life) + 1;
  condition.failures_at = now;
}

void LeafTracker::RecordCancellation(AttemptId attempt, TimePoint now) {
  const std::optional<OutstandingAttempt> taken = this->RemoveAttempt(attempt);
  if (!taken || taken->usual <= Duration::zero()) {
    return;
  }
  // The time waited so far is a lower bound of the leaf's response time, so it is recorded only if
  // it exceeds the current slowness.
  const double waited = static_cast<double>((now - taken->sent_at).count()) /
                        static_cast<double>(taken->usual.count());
  Condition& condition = this->conditions[taken->leaf];
  if (waited > condition.slowness) {
    this->UpdateSlowness(condition, this->DiscountPause(condition, *taken, waited, now), now);
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

double LeafTracker::Score(const LeafEntry& leaf,
                          Duration usual,
                          TimePoint now,
                          Duration objective) const {
  const double usual_ms = std::max(0.1, ToMilliseconds(usual));
  double slowness = 1;
  double failures = 0;
  double queue = 0;
  double penalty = 0;
  const auto found = this->conditions.find(leaf.id);
  if (found != this->conditions.end()) {
    const Condition& condition = found->second;
    slowness = 1 + (condition.slowness - 1) *
                       Decay(condition.slowness_at, now, this->options.slowness_half_life);
    failures =
        condition.failures * Decay(condition.failures_at, now, this->options.failure_half_life);
    queue = static_cast<double>(condition.attempts.size()) +
            condition.other_requests *
                Decay(condition.other_requests_at, now, this->options.load_half_life);
    if (now < condition.silent_until || this->Stalled(leaf.id, now)) {
      penalty += kStalledPenaltyMs;
    }
  }
  const double slots = std::max<double>(1, leaf.slots);
  const double waiting = std::max(0.0, queue + 1 - slots) / slots;
  double score = usual_ms * (slowness * (1 + waiting) + kFailureWeight * failures) +
                 usual_ms * 0.1 * queue / slots + penalty;
  if (leaf.data_centre != this->options.data_centre) {
    score = std::max(
        score * this->options.remote_cost_factor + ToMilliseconds(this->options.remote_delay),
        score + this->options.remote_objective_share * ToMilliseconds(objective));
  }
  return score;
}

const LeafEntry* LeafTracker::Choose(const std::vector<const LeafEntry*>& candidates,
                                     Duration usual,
                                     TimePoint now,
                                     Duration objective) {
  const LeafEntry* best = nullptr;
  double best_score = 0;
  std::uint64_t ties = 1;
  for (const LeafEntry* candidate : candidates) {
    const double score = this->Score(*candidate, usual, now, objective);
    if (best != nullptr && score > best_score * (1 + kTieShare)) {
      continue;
    }
    if (best != nullptr && score >= best_score * (1 - kTieShare)) {
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

std::uint32_t LeafTracker::InFlight(const LeafId& leaf) const {
  const auto found = this->conditions.find(leaf);
  return found == this->conditions.end()
             ? 0
             : static_cast<std::uint32_t>(found->second.attempts.size());
}

bool LeafTracker::Stalled(const LeafId& leaf, TimePoint now) const {
  const auto found = this->conditions.find(leaf);
  if (found == this->conditions.end() || found->second.attempts.empty()) {
    return false;
  }
  const auto oldest = this->outstanding.find(*found->second.attempts.begin());
  if (oldest == this->outstanding.end()) {
    return false;
  }
  const auto limit = std::max(
      this->options.min_stall,
      Duration(static_cast<Duration::rep>(this->options.stall_factor *
                                          static_cast<double>(oldest->second.usual.count()))));
  return now - oldest->second.sent_at > limit;
}

void LeafTracker::RecordOverdue(AttemptId attempt, TimePoint now) {
  const auto found = this->outstanding.find(attempt);
  if (found == this->outstanding.end()) {
    return;
  }
  Condition& condition = this->conditions[found->second.leaf];
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
        {.leaf = found->second.leaf, .waited = now - found->second.sent_at});
  }
}

// Overdue requests of a silence that is already known extend it but do not count as another one.
void LeafTracker::MarkSilent(Condition& condition, TimePoint now) const {
  constexpr int kMaxDoublings = 16;
  if (now >= condition.silent_until) {
    condition.consecutive_silences = std::min(condition.consecutive_silences + 1, kMaxDoublings);
  }
  const Duration avoidance =
      this->options.silence_avoidance * (1 << (condition.consecutive_silences - 1));
  condition.silent_until = std::max(condition.silent_until,
                                    now + std::min(avoidance, this->options.max_silence_avoidance));
}

bool LeafTracker::RecordPeerSilence(const SilentLeaf& report, TimePoint now) {
  Condition& condition = this->conditions[report.leaf];
  if (condition.replied_at >= now - report.waited) {
    return false;
  }
  const bool known = now < condition.silent_until;
  this->MarkSilent(condition, now);
  condition.silence_reported = true;
  return !known;
}

std::vector<SilentLeaf> LeafTracker::TakeSilentLeaves() {
  return std::exchange(this->new_silent_leaves, {});
}

bool LeafTracker::TryTakeWarmUpToken(const LeafEntry& leaf,
                                     double rate,
                                     std::size_t sender_count,
                                     TimePoint now) {
  Condition& condition = this->conditions[leaf.id];
  if (rate <= 0 || now >= condition.cold_until) {
    return true;
  }
  const double share = rate / static_cast<double>(std::max<std::size_t>(sender_count, 1));
  const double seconds = std::chrono::duration<double>(now - condition.warm_up_tokens_at).count();
  condition.warm_up_tokens =
      std::min(kWarmUpBurst, condition.warm_up_tokens + std::max(0.0, seconds) * share);
  condition.warm_up_tokens_at = now;
  if (condition.warm_up_tokens < 1) {
    return false;
  }
  condition.warm_up_tokens -= 1;
  return true;
}

void LeafTracker::SetColdUntil(const LeafId& leaf, TimePoint until, TimePoint now) {
  Condition& condition = this->conditions[leaf];
  if (condition.cold_until <= now) {
    condition.warm_up_tokens_at = now;  // no tokens accrue for the time before
    condition.warm_up_tokens = 0;
  }
  condition.cold_until = std::max(condition.cold_until, until);
}

void LeafTracker::MarkMisplaced(const LeafId& leaf, std::uint64_t revision) {
  this->conditions[leaf].misplaced_revision = revision;
}

bool LeafTracker::misplaced(const LeafEntry& leaf) const {
  const auto found = this->conditions.find(leaf.id);
  return found != this->conditions.end() && found->second.misplaced_revision >= leaf.revision &&
         leaf.revision > 0;
}

}  // namespace ibishold
