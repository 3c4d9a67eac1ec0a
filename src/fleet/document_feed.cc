#include <algorithm>

#include "ibishold/fleet.h"

namespace ibishold {

namespace {

constexpr int kMostDoublings = 8;
constexpr double kBackoffJitter = 0.4;

}  // namespace

DocumentFeed::DocumentFeed(DocumentFeedOptions options, std::uint64_t seed)
    : options(options), random(seed) {}

FeedAction DocumentFeed::Next(std::uint64_t as_of, const FleetPlan& plan, TimePoint now) {
  if (this->busy) {
    return {.step = FeedStep::kWait, .at = TimePoint::max()};
  }
  const bool store_due = plan.self_watches || (as_of == 0 && this->options.ask_store_first);
  if (this->ask) {
    const PeerAddress peer = *this->ask;
    this->ask.reset();
    return {.step = FeedStep::kAskPeer, .at = now, .after = as_of, .peer = peer};
  }
  const bool store_ails = this->failures >= this->options.failures_before_peers;
  if (!store_due || (store_ails && !this->last_was_peer)) {
    if (const std::optional<PeerAddress> peer = this->ChoosePeer(plan, now)) {
      return {.step = FeedStep::kAskPeer, .at = now, .after = as_of, .peer = *peer};
    }
  }
  const bool list = this->list_needed || as_of == 0;
  if (as_of == 0) {
    this->not_before = std::min(this->not_before, this->failed_at + this->options.unknown_backoff);
  }
  const TimePoint at =
      list ? this->not_before
           : std::max(this->not_before, this->watch_started + this->options.watch_interval);
  if (now < at) {
    return {.step = FeedStep::kWait, .at = at};
  }
  return {.step = list ? FeedStep::kList : FeedStep::kWatch, .at = now, .after = as_of};
}

// The watchers of the own data centre in random order, then the others.
std::optional<PeerAddress> DocumentFeed::ChoosePeer(const FleetPlan& plan, TimePoint now) {
  std::erase_if(this->avoided, [&](const auto& item) { return item.second <= now; });
  std::vector<PeerAddress> usable;
  for (const PeerAddress& watcher : plan.watchers) {
    if (!this->avoided.contains(watcher)) {
      usable.push_back(watcher);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  const std::size_t near = std::min(usable.size(), plan.local_watcher_count);
  return usable[near > 0 ? this->random.Below(near) : this->random.Below(usable.size())];
}

void DocumentFeed::OnPeerRevision(const PeerAddress& peer,
                                  std::uint64_t their_as_of,
                                  std::uint64_t as_of,
                                  TimePoint now) {
  if (as_of == 0 || their_as_of <= as_of) {
    return;
  }
  if (!this->ahead || this->ahead->as_of <= as_of) {
    this->ahead = Ahead{.peer = peer, .as_of = their_as_of, .since = now};
  } else if (their_as_of >= this->ahead->as_of) {
    this->ahead->peer = peer;
    this->ahead->as_of = their_as_of;
  }
}

bool DocumentFeed::ShouldAbandonCall(std::uint64_t as_of, TimePoint now) {
  if (!this->ahead) {
    return false;
  }
  if (this->ahead->as_of <= as_of) {
    this->ahead.reset();
    return false;
  }
  if (!this->busy || this->current.step == FeedStep::kList ||
      now - this->ahead->since < this->options.behind_limit) {
    return false;
  }
  this->ask = this->ahead->peer;
  this->ahead.reset();
  return true;
}

void DocumentFeed::OnStarted(const FeedAction& action, TimePoint now) {
  this->busy = true;
  this->current = action;
  if (action.step == FeedStep::kWatch) {
    this->watch_started = now;
  }
}

void DocumentFeed::OnEnded(FeedOutcome outcome, bool peer_in_touch, TimePoint now) {
  this->busy = false;
  const bool served = outcome == FeedOutcome::kApplied || outcome == FeedOutcome::kHistoryGone;
  this->last_was_peer = this->current.step == FeedStep::kAskPeer;
  if (this->last_was_peer) {
    this->touched = served && peer_in_touch;
    if (!this->touched) {
      this->avoided[this->current.peer] = now + this->options.peer_avoidance;
    }
    return;
  }
  this->touched = served;
  if (served) {
    this->list_needed = outcome == FeedOutcome::kHistoryGone;
    this->failures = 0;
    this->succeeded = true;
    return;
  }
  const Duration backoff =
      std::min(this->options.last_backoff,
               this->options.first_backoff * (1 << std::min(this->failures, kMostDoublings)));
  ++this->failures;
  this->failed_at = now;
  this->not_before = now + this->random.Jitter(backoff, kBackoffJitter);
}

}  // namespace ibishold
