#include <doctest/doctest.h>

#include "ibishold/leaf_policy.h"

namespace ibishold {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a leaf announces that it is shutting down") {
  // A leaf announces its shutdown to its callers before its published entry changes. An entry that
  // still says that the leaf is ready must not make the leaf usable again.
  LeafNotices notices;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  const LeafEntry leaf = {.id = LeafId("i-1"), .started = 7, .revision = 1};
  notices.RecordLeaving(leaf.id, leaf.started, now);
  CHECK(notices.IsLeaving(leaf));

  SUBCASE("later published entries of the same run do not make the leaf usable again") {
    LeafEntry later_entry = leaf;
    later_entry.revision = 9;
    CHECK(notices.RefusesRequests(later_entry, now + std::chrono::hours(2)));
  }
  SUBCASE("the leaf is usable again after its restart") {
    LeafEntry restarted_entry = leaf;
    restarted_entry.started = 8;
    CHECK_FALSE(notices.RefusesRequests(restarted_entry, now));
    SUBCASE("delayed notices of the earlier run, from the leaf or from a peer, are ignored") {
      notices.RecordBackoff(leaf.id, 8, seconds(1), now);
      notices.RecordLeaving(leaf.id, 7, now);
      CHECK_FALSE(notices.RecordPeerLeaving({.leaf = leaf.id, .started = 7}, now));
      CHECK_FALSE(notices.IsLeaving(restarted_entry));
    }
  }
  SUBCASE("the shutdown is gossiped for a limited time, also to peers that start later") {
    REQUIRE(notices.ListLeavingLeaves(now + seconds(10)).size() == 1);
    CHECK(notices.ListLeavingLeaves(now + std::chrono::minutes(5)).empty());
  }
  SUBCASE("TakeNotices returns a repeated notice only once") {
    CHECK(notices.TakeNotices().size() == 1);
    notices.RecordLeaving(leaf.id, leaf.started, now);
    CHECK(notices.TakeNotices().empty());
    CHECK_FALSE(notices.RecordPeerLeaving({.leaf = leaf.id, .started = 7}, now));
  }
}

TEST_CASE("a leaf asks for a backoff") {
  LeafNotices notices;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  const LeafEntry leaf = {.id = LeafId("i-1"), .started = 7};
  notices.RecordBackoff(leaf.id, leaf.started, seconds(2), now);
  CHECK(notices.GetBackoffEnd(leaf, now) == now + seconds(2));
  CHECK(notices.RefusesRequests(leaf, now + milliseconds(1999)));
  CHECK_FALSE(notices.RefusesRequests(leaf, now + seconds(2)));
  SUBCASE("a later, shorter backoff does not shorten the current one") {
    notices.RecordBackoff(leaf.id, leaf.started, milliseconds(100), now);
    CHECK(notices.GetBackoffEnd(leaf, now) == now + seconds(2));
  }
  SUBCASE("a backoff is not gossiped to peers, because it applies to this VM only") {
    CHECK(notices.ListLeavingLeaves(now).empty());
  }
  SUBCASE("a backoff longer than max_backoff is shortened to it") {
    notices.RecordBackoff(leaf.id, leaf.started, std::chrono::hours(100), now);
    CHECK_FALSE(notices.RefusesRequests(leaf, now + LeafNoticeOptions{}.max_backoff));
  }
  SUBCASE("the number of leaves with a stored notice is bounded") {
    LeafNotices small_notices({.max_leaves = 2});
    for (int i = 0; i < 5; ++i) {
      small_notices.RecordLeaving(LeafId(std::to_string(i)), 1, now + milliseconds(i));
    }
    CHECK(small_notices.ListLeavingLeaves(now).size() == 2);
  }
}

}  // namespace ibishold
