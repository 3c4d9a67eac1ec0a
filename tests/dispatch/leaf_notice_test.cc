#include <doctest/doctest.h>

#include "dispatch/dispatch_fixture.h"

namespace ibishold {

namespace {

LeafReply MakeNotRunReply(bool leaving, std::optional<Duration> retry_after = std::nullopt) {
  return {.status = 503, .not_run = true, .leaving = leaving, .retry_after = retry_after};
}

}  // namespace

TEST_CASE("a leaf that announced that it is leaving gets no new requests") {
  DispatchFixture fixture;
  fixture.Begin("/one/1");
  REQUIRE(fixture.GetSendActions().size() == 1);
  const SendAction first_send = fixture.GetSendActions()[0];
  fixture.Clear();
  fixture.coordinator.OnReply(first_send.attempt, MakeNotRunReply(true), fixture.now,
                              fixture.actions);
  REQUIRE(fixture.GetSendActions().size() == 1);
  CHECK(fixture.GetSendActions()[0].leaf.id != first_send.leaf.id);
  const auto count_sends_to_first_leaf = [&] {
    int send_count = 0;
    for (int i = 0; i < 20; ++i) {
      fixture.Clear();
      fixture.Begin("/one/1", 100 + static_cast<std::uint64_t>(i));
      for (const SendAction& send : fixture.GetSendActions()) {
        send_count += send.leaf.id == first_send.leaf.id ? 1 : 0;
        fixture.Reply(send);
      }
    }
    return send_count;
  };
  CHECK(count_sends_to_first_leaf() == 0);
  SUBCASE("even if its entry is published as ready again") {
    LeafEntry entry = first_send.leaf;
    entry.revision.number += 100;
    fixture.directory.Put(entry, fixture.now);
    CHECK(count_sends_to_first_leaf() == 0);
  }
  SUBCASE("even if its entry is removed and published again") {
    // Entries expire while the platform's store is unavailable and are published again afterwards.
    fixture.directory.Remove(first_send.leaf.id, first_send.leaf.revision.number + 100,
                             fixture.now);
    fixture.coordinator.tracker().Forget(first_send.leaf.id);
    LeafEntry entry = first_send.leaf;
    entry.revision.number += 200;
    fixture.directory.Put(entry, fixture.now);
    CHECK(count_sends_to_first_leaf() == 0);
  }
  SUBCASE("but gets requests again after a restart") {
    LeafEntry entry = first_send.leaf;
    entry.revision.number += 100;
    entry.started += 1;
    fixture.directory.Put(entry, fixture.now);
    CHECK(count_sends_to_first_leaf() > 0);
  }
}

TEST_CASE("leaf notices are recorded even if no call waits for the reply") {
  DispatchFixture fixture;
  const LeafEntry leaf = *fixture.directory.UsableLeaves(ServiceName("single"))[0];
  fixture.coordinator.OnLeafNotice(leaf.id, leaf.started, {.status = 200, .leaving = true},
                                   fixture.now);
  CHECK(fixture.coordinator.notices().IsLeaving(leaf));
  SUBCASE("except if the reply came from another leaf at the same address") {
    const LeafEntry other_leaf = *fixture.directory.UsableLeaves(ServiceName("single"))[1];
    fixture.coordinator.OnLeafNotice(other_leaf.id, other_leaf.started,
                                     {.status = 421, .wrong_leaf = true, .leaving = true},
                                     fixture.now);
    CHECK_FALSE(fixture.coordinator.notices().IsLeaving(other_leaf));
  }
}

TEST_CASE("a leaf that sent Retry-After gets no requests until that time has passed") {
  DispatchFixture fixture;
  const auto start_backoff = [&](const char* leaf, Duration retry_after) {
    fixture.coordinator.OnLeafNotice(LeafId(leaf), 1, MakeNotRunReply(false, retry_after),
                                     fixture.now);
  };
  SUBCASE("the other leaf of the service gets all requests") {
    start_backoff("singlea", milliseconds(900));
    for (int i = 0; i < 20; ++i) {
      fixture.Clear();
      fixture.Begin("/one/1");
      REQUIRE(fixture.GetSendActions().size() == 1);
      CHECK(fixture.GetSendActions()[0].leaf.id == LeafId("singleb"));
      fixture.Reply(fixture.GetSendActions()[0]);
    }
  }
  SUBCASE("a call is refused with the shortest remaining Retry-After if no leaf accepts requests") {
    // The call is not queued. Its Retry-After tells the caller when a leaf accepts requests again.
    start_backoff("singlea", milliseconds(900));
    start_backoff("singleb", milliseconds(500));
    fixture.Begin("/one/1");
    CHECK(fixture.GetSendActions().empty());
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kRefused);
    CHECK(ToMilliseconds(fixture.GetAnswers()[0].retry_after) >= 350);  // 500 ms with jitter of 0.3
    CHECK(ToMilliseconds(fixture.GetAnswers()[0].retry_after) <= 650);
    SUBCASE("a call after that time is sent") {
      fixture.Clear();
      fixture.RunUntil(milliseconds(510));
      fixture.Begin("/one/1");
      CHECK(fixture.GetSendActions().size() == 1);
    }
  }
  SUBCASE(
      "a shard's request waits for a leaf that soon accepts requests; the others are sent at "
      "once") {
    start_backoff("shard-0a", milliseconds(30));
    start_backoff("shard-0b", milliseconds(800));
    fixture.Begin("/all/1");
    CHECK(fixture.GetSendActions().size() == 3);
    fixture.RunUntil(milliseconds(29));
    CHECK(fixture.GetSendActions().size() == 3);
    fixture.RunUntil(milliseconds(31));
    REQUIRE(fixture.GetSendActions().size() == 4);
    CHECK(fixture.GetSendActions()[3].leaf.id == LeafId("shard-0a"));
  }
  SUBCASE("a shard whose leaves accept requests too late is reported as missing") {
    start_backoff("shard-0a", milliseconds(800));
    start_backoff("shard-0b", milliseconds(800));
    fixture.Begin("/all/1");
    for (const SendAction& send : fixture.GetSendActions()) {
      fixture.Reply(send);
    }
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].missing_shards == 1);
  }
}

}  // namespace ibishold
