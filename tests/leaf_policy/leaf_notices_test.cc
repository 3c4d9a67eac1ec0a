#include <doctest/doctest.h>

#include "ibishold/leaf_policy.h"

namespace ibishold {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a leaf announces that it is shutting down") {
  // Published entries lag behind: a leaf announces its shutdown to its callers first. An entry that
  // still says that the leaf is ready must not make it usable again.
  LeafNotices notices;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  const LeafEntry leaf = {.id = LeafId("i-1"), .started = 7, .revision = 1};
  notices.RecordLeaving(leaf.id, leaf.started, now);
  CHECK(notices.IsLeaving(leaf));

  SUBCASE("later entries of the same run do not make it usable") {
    LeafEntry later_entry = leaf;
    later_entry.revision = 9;
    CHECK(notices.RefusesRequests(later_entry, now + std::chrono::hours(2)));
  }
  SUBCASE("it is usable again after its restart") {
    LeafEntry restarted_entry = leaf;
    restarted_entry.started = 8;
    CHECK_FALSE(notices.RefusesRequests(restarted_entry, now));
    SUBCASE("late notices of the earlier run, own or from a peer, are ignored") {
      notices.RecordBackoff(leaf.id, 8, seconds(1), now);
      notices.RecordLeaving(leaf.id, 7, now);
      CHECK_FALSE(notices.RecordPeerLeaving({.leaf = leaf.id, .started = 7}, now));
      CHECK_FALSE(notices.IsLeaving(restarted_entry));
    }
  }
  SUBCASE("peers are told for a limited time, also those that start later") {
    REQUIRE(notices.ListLeavingLeaves(now + seconds(10)).size() == 1);
    CHECK(notices.ListLeavingLeaves(now + std::chrono::minutes(5)).empty());
  }
  SUBCASE("the notice is reported as new only once") {
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
  SUBCASE("a shorter wait does not shorten the first one") {
    notices.RecordBackoff(leaf.id, leaf.started, milliseconds(100), now);
    CHECK(notices.GetBackoffEnd(leaf, now) == now + seconds(2));
  }
  SUBCASE("peers are not told, because the request applies to this VM only") {
    CHECK(notices.ListLeavingLeaves(now).empty());
  }
  SUBCASE("a longer wait is shortened to the limit") {
    notices.RecordBackoff(leaf.id, leaf.started, std::chrono::hours(100), now);
    CHECK_FALSE(notices.RefusesRequests(leaf, now + LeafNoticeOptions{}.max_backoff));
  }
  SUBCASE("the number of remembered leaves is bounded") {
    LeafNotices small_notices({.max_leaves = 2});
    for (int i = 0; i < 5; ++i) {
      small_notices.RecordLeaving(LeafId(std::to_string(i)), 1, now + milliseconds(i));
    }
    CHECK(small_notices.ListLeavingLeaves(now).size() == 2);
  }
}

}  // namespace ibishold
