#include <doctest/doctest.h>

#include "ibishold/fleet.h"

namespace ibishold {

namespace {

using std::chrono::milliseconds;

const PeerAddress kLocalWatcher = {.ip = 1, .port = 1};
const PeerAddress kRemoteWatcher = {.ip = 2, .port = 1};

}  // namespace

TEST_CASE("a VM that watches the store") {
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

  SUBCASE("asks again only after a pause, so that events that come together cost one call") {
    now += milliseconds(1);
    feed.OnEnded(FeedOutcome::kApplied, false, now);
    action = feed.Next(8, plan, now);
    CHECK(action.step == FeedStep::kWait);
    CHECK(action.at - now <= milliseconds(500));
    now = action.at;
    CHECK(feed.Next(8, plan, now).step == FeedStep::kWatch);
  }
  SUBCASE("reads the whole list if the history is gone") {
    feed.OnEnded(FeedOutcome::kHistoryGone, false, now);
    CHECK(feed.Next(7, plan, now).step == FeedStep::kList);
  }
  SUBCASE("turns to its peers as well when the store refuses it, and keeps trying the store") {
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

TEST_CASE("a VM that waits at a watcher") {
  DocumentFeed feed({.ask_store_first = false}, 1);
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  const FleetPlan plan = {
      .watchers = {kLocalWatcher, kRemoteWatcher}, .local_watcher_count = 1, .self_watches = false};
  FeedAction action = feed.Next(0, plan, now);
  REQUIRE(action.step == FeedStep::kAskPeer);
  CHECK(action.peer == kLocalWatcher);
  feed.OnStarted(action, now);
  SUBCASE("goes to another data centre if the near one is out of touch") {
    feed.OnEnded(FeedOutcome::kApplied, false, now);
    action = feed.Next(0, plan, now);
    REQUIRE(action.step == FeedStep::kAskPeer);
    CHECK(action.peer == kRemoteWatcher);
    feed.OnStarted(action, now);
    SUBCASE("and to the store if no watcher helps") {
      feed.OnEnded(FeedOutcome::kFailed, false, now);
      CHECK(feed.Next(0, plan, now).step == FeedStep::kList);
    }
  }
}

TEST_CASE("a VM that knows nothing asks the store again soon") {
  // Guards against callers refused for a second and more after all VMs were killed while the store
  // was silent: the pause between two tries had grown to 1 s.
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

TEST_CASE("a source that is silent about news which others know") {
  // Guards against a watcher whose store answers nothing on an open connection: its data centre
  // kept an old configuration for 3 s after the confirmation of the new one.
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
  // Others that know no more do not reset the time.
  feed.OnPeerRevision(kLocalWatcher, 7, 7, now);
  CHECK_FALSE(feed.ShouldAbandonCall(7, now));
  SUBCASE("is given up for the VM that knows them") {
    now += milliseconds(300);
    REQUIRE(feed.ShouldAbandonCall(7, now));
    feed.OnEnded(FeedOutcome::kFailed, false, now);
    const FeedAction action = feed.Next(7, plan, now);
    CHECK(action.step == FeedStep::kAskPeer);
    CHECK(action.peer == kRemoteWatcher);
  }
  SUBCASE("is kept if the news arrive") {
    now += milliseconds(300);
    CHECK_FALSE(feed.ShouldAbandonCall(9, now));
    feed.OnPeerRevision(kRemoteWatcher, 10, 9, now);
    CHECK_FALSE(feed.ShouldAbandonCall(9, now));
  }
}

}  // namespace ibishold
