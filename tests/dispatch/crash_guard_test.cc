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
  for (std::size_t i = 0; i < fixture.Sends().size(); ++i) {
    const SendAction send = fixture.Sends()[i];
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

// Hands the crashes that one VM saw to another one, which knows the same leaves.
void ShareCrashes(DispatchFixture& from, DispatchFixture& to) {
  from.directory.ForEach([&](const LeafEntry& leaf) { to.directory.Put(leaf, to.now); });
  for (const LeafCrash& crash : from.coordinator.crash_guard().TakeReports()) {
    to.coordinator.crash_guard().Heard(crash, to.now);
  }
}

}  // namespace

TEST_CASE("a call that crashes each leaf that runs it") {
  DispatchFixture fixture;
  CHECK(RunCall(fixture, "/one/1", Always) == 2);
  SUBCASE("is refused as not run once three leaves have crashed in two requests") {
    CHECK(RunCall(fixture, "/one/1", Always) == 1);
    CHECK(RunCall(fixture, "/one/1", Always) == 0);
    REQUIRE(fixture.Answers().size() == 1);
    CHECK(fixture.Answers()[0].kind == AnswerKind::kRefused);
    CHECK(fixture.Answers()[0].reason == AnswerReason::kCrashesLeaves);
    SUBCASE("for longer than it takes to come back a few times") {
      fixture.RunUntil(std::chrono::minutes(5));
      CHECK(RunCall(fixture, "/one/1", Always) == 0);
    }
    SUBCASE("while other calls go on") {
      fixture.Clear();
      fixture.Begin("/one/1", kFingerprint + 1);
      CHECK(fixture.Sends().size() == 1);
    }
  }
  SUBCASE("counts on all VMs together") {
    // Pattern: the caller's retry reaches another VM.
    DispatchFixture other;
    other.vm = "vm-2";
    ShareCrashes(fixture, other);
    CHECK(RunCall(other, "/one/1", Always) == 1);
    ShareCrashes(other, fixture);
    CHECK(RunCall(fixture, "/one/1", Always) == 0);
  }
}

TEST_CASE("a call that fans out and crashes each leaf") {
  // Pattern: 180 leaves crash with each request; a count of failed calls lets three through on each
  // VM.
  DispatchFixture fixture(180);
  CHECK(RunCall(fixture, "/all/1", Always) >= 180);
  DispatchFixture other(180);
  other.vm = "vm-2";
  ShareCrashes(fixture, other);
  RunCall(other, "/all/1", Always);
  ShareCrashes(other, fixture);
  CHECK(RunCall(fixture, "/all/1", Always) == 0);
  CHECK(RunCall(other, "/all/1", Always) == 0);
  CHECK(fixture.Answers()[0].reason == AnswerReason::kCrashesLeaves);
  SUBCASE("what VMs tell of it is bounded") {
    CHECK(other.coordinator.crash_guard().TakeReports().size() <= 64);
  }
}

TEST_CASE("a call that crashes the leaves of one shard of 180") {
  // Pattern: each answer is a success without one shard, which used to clear the count.
  DispatchFixture fixture(180);
  const auto one_shard = [](const SendAction& send) {
    return send.leaf.service == ServiceName("shard-7");
  };
  std::size_t crashed = 0;
  for (int i = 0; i < 20; ++i) {
    crashed += RunCall(fixture, "/all/1", one_shard);
    REQUIRE(fixture.Answers().size() == 1);
    CHECK(fixture.Answers()[0].kind == AnswerKind::kMerged);
    CHECK(fixture.Answers()[0].missing_shards <= 1);
  }
  CHECK(crashed <= 4);
}

TEST_CASE("a call that crashes its leaves half of the time") {
  DispatchFixture fixture;
  Random random(5);
  std::size_t crashed = 0;
  for (int i = 0; i < 200; ++i) {
    crashed += RunCall(fixture, "/one/1", [&](const SendAction&) { return random.Below(2) == 0; });
  }
  CHECK(crashed <= 12);
}

TEST_CASE("calls in flight when leaves crash for another reason are not condemned") {
  DispatchFixture fixture(40);
  SUBCASE("many leaves at once") {
    const auto is_first_replica = [](const SendAction& send) {
      return send.leaf.id.value.ends_with("a");
    };
    RunCall(fixture, "/all/1", is_first_replica);
    CHECK(RunCall(fixture, "/all/1", [](const SendAction&) { return false; }) == 0);
    CHECK(fixture.Answers()[0].reason == AnswerReason::kComplete);
  }
  SUBCASE("a connection that broke now and then, with answers between") {
    for (int i = 0; i < 50; ++i) {
      RunCall(fixture, "/one/1", [i](const SendAction&) { return i % 10 == 0; });
      CHECK(fixture.Answers()[0].kind != AnswerKind::kRefused);
    }
  }
  SUBCASE("crashes that lie far apart") {
    for (int i = 0; i < 6; ++i) {
      RunCall(fixture, "/one/1", Always);
      CHECK(fixture.Answers()[0].kind != AnswerKind::kRefused);
      fixture.RunUntil(std::chrono::minutes(2 * (i + 1)));
    }
  }
}

TEST_CASE("a refusal that peers repeat to each other ends") {
  // Pattern: each VM tells what it refuses; two of them kept a refusal alive for ever.
  CrashGuard first;
  CrashGuard second;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  first.HeardRefusal({.fingerprint = 1, .left = std::chrono::seconds(10)}, now);
  for (int i = 0; i < 30; ++i) {
    for (const CallRefusal& refusal : first.Refusals(now)) {
      second.HeardRefusal(refusal, now);
    }
    for (const CallRefusal& refusal : second.Refusals(now)) {
      first.HeardRefusal(refusal, now);
    }
    now += std::chrono::seconds(1);
  }
  CHECK_FALSE(first.Refused(1, now));
  CHECK_FALSE(second.Refused(1, now));
}

}  // namespace ibishold
