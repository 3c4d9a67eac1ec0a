#include <algorithm>
#include <utility>

#include "ibishold/fleet.h"

namespace ibishold {

namespace {

constexpr int kMaxDoublings = 8;
constexpr double kBackoffJitter = 0.4;

}  // namespace

FeedOutcome JudgeEpoch(std::uint64_t epoch, std::uint64_t known_epoch, bool continues) {
  if (epoch < known_epoch) {
    return FeedOutcome::kRefused;
  }
  return continues && epoch > known_epoch ? FeedOutcome::kHistoryGone : FeedOutcome::kApplied;
}

DocumentFeed::DocumentFeed(DocumentFeedOptions options, std::uint64_t random_seed)
    : options(options), random(random_seed) {}

FeedAction DocumentFeed::Next(Revision as_of, const FleetPlan& plan, TimePoint now) {
  if (this->call_in_progress) {
    return {.step = FeedStep::kWait, .at = TimePoint::max()};
  }
  const bool store_due = plan.self_watches || (as_of.none() && this->options.ask_store_first);
  if (this->next_peer) {
    const PeerAddress peer = *this->next_peer;
    this->next_peer.reset();
    return this->MakePeerCall(peer, as_of, now);
  }
  const bool store_failing = this->failures >= this->options.failures_before_peers;
  if (!store_due || (store_failing && !this->last_was_peer)) {
    if (const std::optional<PeerAddress> peer = this->ChoosePeer(plan, now)) {
      return this->MakePeerCall(*peer, as_of, now);
    }
  }
  const bool list = this->list_needed || as_of.none();
  if (as_of.none()) {
    this->store_not_before = std::min(this->store_not_before,
                                      this->store_failed_at + this->options.empty_mirror_backoff);
  }
  const TimePoint at =
      list ? this->store_not_before
           : std::max(this->store_not_before, this->watch_started + this->options.watch_interval);
  if (now < at) {
    return {.step = FeedStep::kWait, .at = at};
  }
  if (list) {
    return {.step = FeedStep::kList,
            .at = now,
            .after = as_of,
            .time_limit =
                as_of.none() ? this->options.initial_store_timeout : this->options.store_timeout};
  }
  const Duration wait =
      this->last_store_call_served ? this->options.watch_wait : this->options.recheck_wait;
  return {.step = FeedStep::kWatch,
          .at = now,
          .after = as_of,
          .wait = wait,
          .time_limit = wait + this->options.store_timeout};
}

FeedAction DocumentFeed::MakePeerCall(const PeerAddress& peer,
                                      Revision as_of,
                                      TimePoint now) const {
  return {.step = FeedStep::kAskPeer,
          .at = now,
          .after = as_of,
          .peer = peer,
          .wait = this->options.peer_wait,
          .time_limit = this->options.peer_wait + this->options.peer_timeout};
}

// Chooses a random watcher of the own data centre, or of another one if none of them is usable.
std::optional<PeerAddress> DocumentFeed::ChoosePeer(const FleetPlan& plan, TimePoint now) {
  std::erase_if(this->avoided_until, [&](const auto& item) { return item.second <= now; });
  std::vector<PeerAddress> usable;
  for (const PeerAddress& watcher : plan.watchers) {
    if (!this->avoided_until.contains(watcher)) {
      usable.push_back(watcher);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  const std::size_t local_count = std::min(usable.size(), plan.local_watcher_count);
  return usable[local_count > 0 ? this->random.NextBelow(local_count)
                                : this->random.NextBelow(usable.size())];
}

void DocumentFeed::OnPeerRevision(const PeerAddress& peer,
                                  Revision their_as_of,
                                  Revision as_of,
                                  TimePoint now) {
  if (as_of.none() || their_as_of <= as_of) {
    return;
  }
  if (!this->newer_peer || this->newer_peer->as_of <= as_of) {
    this->newer_peer = NewerPeer{.peer = peer, .as_of = their_as_of, .since = now};
  } else if (their_as_of >= this->newer_peer->as_of) {
    this->newer_peer->peer = peer;
    this->newer_peer->as_of = their_as_of;
  }
}

bool DocumentFeed::ShouldAbandonCall(Revision as_of, TimePoint now) {
  if (!this->newer_peer) {
    return false;
  }
  if (this->newer_peer->as_of <= as_of) {
    this->newer_peer.reset();
    return false;
  }
  if (!this->call_in_progress || this->current.step == FeedStep::kList ||
      now - this->newer_peer->since < this->options.stale_source_timeout) {
    return false;
  }
  this->next_peer = this->newer_peer->peer;
  this->newer_peer.reset();
  return true;
}

void DocumentFeed::OnStarted(const FeedAction& action, TimePoint now) {
  this->call_in_progress = true;
  this->current = action;
  if (action.step == FeedStep::kWatch) {
    this->watch_started = now;
  }
}

void DocumentFeed::OnEnded(FeedOutcome outcome, bool peer_in_touch, TimePoint now) {
  this->call_in_progress = false;
  const bool served = outcome == FeedOutcome::kApplied || outcome == FeedOutcome::kHistoryGone;
  this->last_was_peer = this->current.step == FeedStep::kAskPeer;
  if (this->last_was_peer) {
    this->newest_call_in_touch = served && peer_in_touch;
    if (!this->newest_call_in_touch) {
      this->avoided_until[this->current.peer] = now + this->options.peer_avoidance;
    }
    return;
  }
  this->newest_call_in_touch = served;
  const bool previous_call_served = std::exchange(this->last_store_call_served, served);
  if (served) {
    this->list_needed = outcome == FeedOutcome::kHistoryGone;
    this->failures = 0;
    this->store_succeeded = true;
    return;
  }
  if (previous_call_served && outcome == FeedOutcome::kFailed &&
      this->current.step == FeedStep::kWatch) {
    // The watch may have been lost at any time of its wait, so this failure does not show whether
    // the store answers now. The next watch does, and it is not delayed.
    return;
  }
  const Duration backoff =
      std::min(this->options.max_backoff,
               this->options.initial_backoff * (1 << std::min(this->failures, kMaxDoublings)));
  ++this->failures;
  this->store_failed_at = now;
  this->store_not_before = now + this->random.ApplyJitter(backoff, kBackoffJitter);
}

}  // namespace ibishold
