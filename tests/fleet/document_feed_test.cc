#include <doctest/doctest.h>

#include "ibishold/fleet.h"

namespace ibishold {

namespace {

using std::chrono::milliseconds;

const PeerAddress kLocalWatcher = {.ip = 1, .port = 1};
const PeerAddress kRemoteWatcher = {.ip = 2, .port = 1};

}  // namespace

TEST_CASE("a VM that watches the store makes one call at a time") {
  DocumentFeed feed({}, 1);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  FleetPlan plan = {
      .watchers = {kLocalWatcher, kRemoteWatcher}, .local_watcher_count = 1, .self_watches = true};
  FeedAction action = feed.Next(0, plan, now);
  CHECK(action.step == FeedStep::kList);
  feed.OnStarted(action, now);
  CHECK(feed.Next(0, plan, now).step == FeedStep::kWait);
  feed.OnEnded(FeedOutcome::kApplied, false, now);
  action = feed.Next(7, plan, now);
  CHECK(action.step == FeedStep::kWatch);
  CHECK(action.after == 7);
  feed.OnStarted(action, now);

  SUBCASE("the next watch starts after a pause, so that a burst of changes costs one call") {
    now += milliseconds(1);
    feed.OnEnded(FeedOutcome::kApplied, false, now);
    action = feed.Next(8, plan, now);
    CHECK(action.step == FeedStep::kWait);
    CHECK(action.at - now <= milliseconds(500));
    now = action.at;
    CHECK(feed.Next(8, plan, now).step == FeedStep::kWatch);
  }
  SUBCASE("it reads the complete list if the store no longer holds the history") {
    feed.OnEnded(FeedOutcome::kHistoryGone, false, now);
    CHECK(feed.Next(7, plan, now).step == FeedStep::kList);
  }
  SUBCASE("after a refusal by the store, it alternates between its peers and the store") {
    feed.OnEnded(FeedOutcome::kRefused, false, now);
    CHECK_FALSE(feed.in_touch());
    action = feed.Next(7, plan, now);
    REQUIRE(action.step == FeedStep::kAskPeer);
    CHECK(action.peer == kLocalWatcher);
    feed.OnStarted(action, now);
    feed.OnEnded(FeedOutcome::kApplied, true, now);
    CHECK(feed.in_touch());
    CHECK_FALSE(feed.store_in_touch());
    action = feed.Next(7, plan, now);
    CHECK(action.step == FeedStep::kWait);
    now = action.at;
    CHECK(feed.Next(7, plan, now).step == FeedStep::kWatch);
  }
}

TEST_CASE("a VM that waits for changes at a watcher") {
  DocumentFeed feed({.ask_store_first = false}, 1);
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  const FleetPlan plan = {
      .watchers = {kLocalWatcher, kRemoteWatcher}, .local_watcher_count = 1, .self_watches = false};
  FeedAction action = feed.Next(0, plan, now);
  REQUIRE(action.step == FeedStep::kAskPeer);
  CHECK(action.peer == kLocalWatcher);
  feed.OnStarted(action, now);
  SUBCASE("it asks a watcher in another data centre if the local one cannot reach the store") {
    feed.OnEnded(FeedOutcome::kApplied, false, now);
    action = feed.Next(0, plan, now);
    REQUIRE(action.step == FeedStep::kAskPeer);
    CHECK(action.peer == kRemoteWatcher);
    feed.OnStarted(action, now);
    SUBCASE("it asks the store if no watcher can help") {
      feed.OnEnded(FeedOutcome::kFailed, false, now);
      CHECK(feed.Next(0, plan, now).step == FeedStep::kList);
    }
  }
}

TEST_CASE("a VM without documents asks the store again soon") {
  // Guards against a backoff that grows to 1 s. If all VMs were killed and the store does not
  // answer, a VM with such a backoff refuses callers for a second and longer.
  DocumentFeed feed({}, 1);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  const FleetPlan plan = {.self_watches = true};
  for (int i = 0; i < 8; ++i) {
    const FeedAction action = feed.Next(0, plan, now);
    REQUIRE(action.step == FeedStep::kList);
    feed.OnStarted(action, now);
    now += milliseconds(600);
    feed.OnEnded(FeedOutcome::kFailed, false, now);
    const FeedAction wait = feed.Next(0, plan, now);
    REQUIRE(wait.step == FeedStep::kWait);
    CHECK(wait.at - now <= milliseconds(250));
    now = wait.at;
  }
}

TEST_CASE("a call whose source does not deliver changes that other VMs know") {
  // Guards against a watcher whose store stops answering on an open connection: its data centre
  // kept the old configuration for 3 s after the new one was confirmed.
  DocumentFeed feed({}, 1);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  const FleetPlan plan = {
      .watchers = {kLocalWatcher}, .local_watcher_count = 1, .self_watches = true};
  feed.OnStarted(feed.Next(0, plan, now), now);
  feed.OnEnded(FeedOutcome::kApplied, false, now);
  feed.OnStarted(feed.Next(7, plan, now), now);
  feed.OnPeerRevision(kRemoteWatcher, 9, 7, now);
  CHECK_FALSE(feed.ShouldAbandonCall(7, now));
  now += milliseconds(500);
  // A peer that knows no newer revision does not reset the timeout.
  feed.OnPeerRevision(kLocalWatcher, 7, 7, now);
  CHECK_FALSE(feed.ShouldAbandonCall(7, now));
  SUBCASE("the call is abandoned, and the VM that knows the changes is asked") {
    now += milliseconds(300);
    REQUIRE(feed.ShouldAbandonCall(7, now));
    feed.OnEnded(FeedOutcome::kFailed, false, now);
    const FeedAction action = feed.Next(7, plan, now);
    CHECK(action.step == FeedStep::kAskPeer);
    CHECK(action.peer == kRemoteWatcher);
  }
  SUBCASE("the call is kept if the changes arrive in time") {
    now += milliseconds(300);
    CHECK_FALSE(feed.ShouldAbandonCall(9, now));
    feed.OnPeerRevision(kRemoteWatcher, 10, 9, now);
    CHECK_FALSE(feed.ShouldAbandonCall(9, now));
  }
}

TEST_CASE("answers of a store that was restored from an older copy are judged by their epoch") {
  // Guards against a watch that goes on across a restoration: the store has assigned the numbers
  // after the known revision again, so its answer lacks the changes up to there.
  for (const bool continues : {false, true}) {
    CAPTURE(continues);
    CHECK(JudgeEpoch(2, 2, continues) == FeedOutcome::kApplied);
    CHECK(JudgeEpoch(1, 2, continues) == FeedOutcome::kRefused);
  }
  CHECK(JudgeEpoch(3, 2, false) == FeedOutcome::kApplied);
  CHECK(JudgeEpoch(3, 2, true) == FeedOutcome::kHistoryGone);
}

TEST_CASE("a VM that knows an older epoch of the store than another VM") {
  DocumentFeed feed({}, 1);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  const FleetPlan plan = {
      .watchers = {kLocalWatcher}, .local_watcher_count = 1, .self_watches = true};
  feed.OnStarted(feed.Next({}, plan, now), now);
  feed.OnEnded(FeedOutcome::kApplied, false, now);
  const Revision known = {100, 1};
  feed.OnStarted(feed.Next(known, plan, now), now);
  SUBCASE("asks that VM, although its revision has a lower number") {
    feed.OnPeerRevision(kRemoteWatcher, {85, 2}, known, now);
    now += milliseconds(800);
    REQUIRE(feed.ShouldAbandonCall(known, now));
    feed.OnEnded(FeedOutcome::kFailed, false, now);
    const FeedAction action = feed.Next(known, plan, now);
    CHECK(action.peer == kRemoteWatcher);
    CHECK(action.after == known);
  }
  SUBCASE("is not asked for its higher number by a VM of the newer epoch") {
    feed.OnPeerRevision(kRemoteWatcher, {200, 0}, known, now);
    now += milliseconds(800);
    CHECK_FALSE(feed.ShouldAbandonCall(known, now));
  }
}

}  // namespace ibishold
