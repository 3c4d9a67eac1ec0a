#include <doctest/doctest.h>

#include "dispatch/dispatch_fixture.h"

namespace ibishold {

namespace {

LeafReply NotRunReply(bool leaving, std::optional<Duration> retry_after = std::nullopt) {
  return {.status = 503, .not_run = true, .leaving = leaving, .retry_after = retry_after};
}

}  // namespace

TEST_CASE("a leaf that announced its leaving gets no new requests") {
  DispatchFixture fixture;
  fixture.Begin("/one/1");
  REQUIRE(fixture.GetSendActions().size() == 1);
  const SendAction first = fixture.GetSendActions()[0];
  fixture.Clear();
  fixture.coordinator.OnReply(first.attempt, NotRunReply(true), fixture.now, fixture.actions);
  REQUIRE(fixture.GetSendActions().size() == 1);
  CHECK(fixture.GetSendActions()[0].leaf.id != first.leaf.id);
  const auto sends_to_it = [&] {
    int sends = 0;
    for (int i = 0; i < 20; ++i) {
      fixture.Clear();
      fixture.Begin("/one/1", 100 + static_cast<std::uint64_t>(i));
      for (const SendAction& send : fixture.GetSendActions()) {
        sends += send.leaf.id == first.leaf.id ? 1 : 0;
        fixture.Reply(send);
      }
    }
    return sends;
  };
  CHECK(sends_to_it() == 0);
  SUBCASE("also if its entry is published as ready again") {
    LeafEntry entry = first.leaf;
    entry.revision += 100;
    fixture.directory.Put(entry, fixture.now);
    CHECK(sends_to_it() == 0);
  }
  SUBCASE("also if its entry is removed and published again") {
    // Entries expire while the platform's store is unavailable and are published again afterwards.
    fixture.directory.Remove(first.leaf.id, first.leaf.revision + 100, fixture.now);
    fixture.coordinator.tracker().Forget(first.leaf.id);
    LeafEntry entry = first.leaf;
    entry.revision += 200;
    fixture.directory.Put(entry, fixture.now);
    CHECK(sends_to_it() == 0);
  }
  SUBCASE("until it has restarted") {
    LeafEntry entry = first.leaf;
    entry.revision += 100;
    entry.started += 1;
    fixture.directory.Put(entry, fixture.now);
    CHECK(sends_to_it() > 0);
  }
}

TEST_CASE("notices in a reply count even if no call waits for the reply") {
  DispatchFixture fixture;
  const LeafEntry leaf = *fixture.directory.UsableLeaves(ServiceName("single"))[0];
  fixture.coordinator.OnLeafNotice(leaf.id, leaf.started, {.status = 200, .leaving = true},
                                   fixture.now);
  CHECK(fixture.coordinator.notices().IsLeaving(leaf));
  SUBCASE("but not if the reply came from another leaf at the same address") {
    const LeafEntry other = *fixture.directory.UsableLeaves(ServiceName("single"))[1];
    fixture.coordinator.OnLeafNotice(
        other.id, other.started, {.status = 421, .wrong_leaf = true, .leaving = true}, fixture.now);
    CHECK_FALSE(fixture.coordinator.notices().IsLeaving(other));
  }
}

TEST_CASE("a leaf that sent Retry-After gets no requests for that time") {
  DispatchFixture fixture;
  const auto close_leaf = [&](const char* leaf, Duration wait) {
    fixture.coordinator.OnLeafNotice(LeafId(leaf), 1, NotRunReply(false, wait), fixture.now);
  };
  SUBCASE("the other leaf of the service gets all requests") {
    close_leaf("singlea", milliseconds(900));
    for (int i = 0; i < 20; ++i) {
      fixture.Clear();
      fixture.Begin("/one/1");
      REQUIRE(fixture.GetSendActions().size() == 1);
      CHECK(fixture.GetSendActions()[0].leaf.id == LeafId("singleb"));
      fixture.Reply(fixture.GetSendActions()[0]);
    }
  }
  SUBCASE("a call is refused with the shortest remaining wait if all leaves are closed") {
    // The call is not queued; Retry-After tells the caller when the first leaf opens.
    close_leaf("singlea", milliseconds(900));
    close_leaf("singleb", milliseconds(500));
    fixture.Begin("/one/1");
    CHECK(fixture.GetSendActions().empty());
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kRefused);
    CHECK(ToMilliseconds(fixture.GetAnswers()[0].retry_after) >= 350);  // 500 ms with jitter of 0.3
    CHECK(ToMilliseconds(fixture.GetAnswers()[0].retry_after) <= 650);
    SUBCASE("and is sent after that time") {
      fixture.Clear();
      fixture.RunUntil(milliseconds(510));
      fixture.Begin("/one/1");
      CHECK(fixture.GetSendActions().size() == 1);
    }
  }
  SUBCASE("a shard waits for a leaf that opens soon, while the others are sent at once") {
    close_leaf("shard-0a", milliseconds(30));
    close_leaf("shard-0b", milliseconds(800));
    fixture.Begin("/all/1");
    CHECK(fixture.GetSendActions().size() == 3);
    fixture.RunUntil(milliseconds(29));
    CHECK(fixture.GetSendActions().size() == 3);
    fixture.RunUntil(milliseconds(31));
    REQUIRE(fixture.GetSendActions().size() == 4);
    CHECK(fixture.GetSendActions()[3].leaf.id == LeafId("shard-0a"));
  }
  SUBCASE("a shard whose leaves open too late is reported as missing") {
    close_leaf("shard-0a", milliseconds(800));
    close_leaf("shard-0b", milliseconds(800));
    fixture.Begin("/all/1");
    for (const SendAction& send : fixture.GetSendActions()) {
      fixture.Reply(send);
    }
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].missing_shards == 1);
  }
}

}  // namespace ibishold
