#include <doctest/doctest.h>

#include "dispatch/dispatch_fixture.h"

namespace ibishold {

namespace {

constexpr std::uint64_t kFingerprint = 99;

// Sends the call, breaks the connection of each attempt to a leaf for which `crashes` holds, and
// answers the others. Returns how many leaves crashed.
template <typename Crashes>
std::size_t RunCall(DispatchFixture& fixture, const std::string& path, const Crashes& crashes) {
  fixture.Clear();
  fixture.Begin(path, kFingerprint);
  std::size_t crashed = 0;
  for (std::size_t i = 0; i < fixture.GetSendActions().size(); ++i) {
    const SendAction send = fixture.GetSendActions()[i];
    if (crashes(send)) {
      ++crashed;
      fixture.Fail(send, AttemptFailure::kBroken);
      fixture.RestartLeaf(send.leaf);
    } else {
      fixture.Reply(send);
    }
  }
  return crashed;
}

bool Always(const SendAction& /*send*/) {
  return true;
}

// Reports the crashes that one VM saw to another one, which gets the same leaves.
void ShareCrashes(DispatchFixture& from, DispatchFixture& to) {
  from.directory.ForEach([&](const LeafEntry& leaf) { to.directory.Put(leaf, to.now); });
  for (const LeafCrash& crash : from.coordinator.crash_guard().TakeReports()) {
    to.coordinator.crash_guard().RecordPeerCrash(crash, to.now);
  }
}

}  // namespace

TEST_CASE("a call that crashes every leaf that runs it") {
  DispatchFixture fixture;
  CHECK(RunCall(fixture, "/one/1", Always) == 2);
  SUBCASE("is refused as not run once three leaves have crashed in two requests") {
    CHECK(RunCall(fixture, "/one/1", Always) == 1);
    CHECK(RunCall(fixture, "/one/1", Always) == 0);
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kRefused);
    CHECK(fixture.GetAnswers()[0].reason == AnswerReason::kCrashesLeaves);
    SUBCASE("for at least 5 minutes, so that a few retries stay refused") {
      fixture.RunUntil(std::chrono::minutes(5));
      CHECK(RunCall(fixture, "/one/1", Always) == 0);
    }
    SUBCASE("while calls with other fingerprints are sent") {
      fixture.Clear();
      fixture.Begin("/one/1", kFingerprint + 1);
      CHECK(fixture.GetSendActions().size() == 1);
    }
  }
  SUBCASE("crashes on several VMs are counted together") {
    // The caller's retry may reach another VM.
    DispatchFixture other;
    other.vm = "vm-2";
    ShareCrashes(fixture, other);
    CHECK(RunCall(other, "/one/1", Always) == 1);
    ShareCrashes(other, fixture);
    CHECK(RunCall(fixture, "/one/1", Always) == 0);
  }
}

TEST_CASE("a fan-out call that crashes every leaf") {
  // Guards against counting failed calls instead of crashed leaves: each request crashes 180
  // leaves, and such a count lets three requests through on each VM.
  DispatchFixture fixture(180);
  CHECK(RunCall(fixture, "/all/1", Always) >= 180);
  DispatchFixture other(180);
  other.vm = "vm-2";
  ShareCrashes(fixture, other);
  RunCall(other, "/all/1", Always);
  ShareCrashes(other, fixture);
  CHECK(RunCall(fixture, "/all/1", Always) == 0);
  CHECK(RunCall(other, "/all/1", Always) == 0);
  CHECK(fixture.GetAnswers()[0].reason == AnswerReason::kCrashesLeaves);
  SUBCASE("the number of crash reports to other VMs is bounded") {
    CHECK(other.coordinator.crash_guard().TakeReports().size() <= 64);
  }
}

TEST_CASE("a fan-out call that crashes only the leaves of one of 180 shards") {
  // Guards against a count that is reset by partial answers: each call succeeds without one shard.
  DispatchFixture fixture(180);
  const auto one_shard = [](const SendAction& send) {
    return send.leaf.service == ServiceName("shard-7");
  };
  std::size_t crashed = 0;
  for (int i = 0; i < 20; ++i) {
    crashed += RunCall(fixture, "/all/1", one_shard);
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kMerged);
    CHECK(fixture.GetAnswers()[0].missing_shards <= 1);
  }
  CHECK(crashed <= 4);
}

TEST_CASE("a call that crashes its leaf with a probability of one half") {
  DispatchFixture fixture;
  Random random(5);
  std::size_t crashed = 0;
  for (int i = 0; i < 200; ++i) {
    crashed +=
        RunCall(fixture, "/one/1", [&](const SendAction&) { return random.NextBelow(2) == 0; });
  }
  CHECK(crashed <= 12);
}

TEST_CASE("a call is not refused because leaves crash for other reasons while they run it") {
  DispatchFixture fixture(40);
  SUBCASE("many leaves crash at once") {
    const auto is_first_replica = [](const SendAction& send) {
      return send.leaf.id.value.ends_with("a");
    };
    RunCall(fixture, "/all/1", is_first_replica);
    CHECK(RunCall(fixture, "/all/1", [](const SendAction&) { return false; }) == 0);
    CHECK(fixture.GetAnswers()[0].reason == AnswerReason::kComplete);
  }
  SUBCASE("some connections break, with successful replies in between") {
    for (int i = 0; i < 50; ++i) {
      RunCall(fixture, "/one/1", [i](const SendAction&) { return i % 10 == 0; });
      CHECK(fixture.GetAnswers()[0].kind != AnswerKind::kRefused);
    }
  }
  SUBCASE("crashes that are far apart in time") {
    for (int i = 0; i < 6; ++i) {
      RunCall(fixture, "/one/1", Always);
      CHECK(fixture.GetAnswers()[0].kind != AnswerKind::kRefused);
      fixture.RunUntil(std::chrono::minutes(2 * (i + 1)));
    }
  }
}

TEST_CASE("a refusal that peers report to each other expires") {
  // Guards against two VMs that renew a refusal forever because each reports it to the other.
  CrashGuard first;
  CrashGuard second;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  first.MergeRefusal({.fingerprint = 1, .left = std::chrono::seconds(10)}, now);
  for (int i = 0; i < 30; ++i) {
    for (const CallRefusal& refusal : first.ListRefusals(now)) {
      second.MergeRefusal(refusal, now);
    }
    for (const CallRefusal& refusal : second.ListRefusals(now)) {
      first.MergeRefusal(refusal, now);
    }
    now += std::chrono::seconds(1);
  }
  CHECK_FALSE(first.HasActiveRefusal(1, now));
  CHECK_FALSE(second.HasActiveRefusal(1, now));
}

}  // namespace ibishold
