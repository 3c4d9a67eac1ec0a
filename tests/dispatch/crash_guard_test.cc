#include <doctest/doctest.h>

#include "dispatch/dispatch_fixture.h"

namespace ibishold {

namespace {

constexpr std::uint64_t kFingerprint = 99;

// Runs a call. Attempts for which `should_crash` returns true end with a broken connection and a
// restart of the leaf; the others get a reply. Returns the number of crashed leaves.
template <typename ShouldCrash>
std::size_t RunCall(DispatchFixture& fixture,
                    const std::string& path,
                    const ShouldCrash& should_crash) {
  fixture.Clear();
  fixture.Begin(path, kFingerprint);
  std::size_t crashed_leaves = 0;
  for (std::size_t i = 0; i < fixture.GetSendActions().size(); ++i) {
    const SendAction send = fixture.GetSendActions()[i];
    if (should_crash(send)) {
      ++crashed_leaves;
      fixture.Fail(send, AttemptFailure::kBroken);
      fixture.RestartLeaf(send.leaf);
    } else {
      fixture.Reply(send);
    }
  }
  return crashed_leaves;
}

bool CrashAlways(const SendAction& /*send*/) {
  return true;
}

// Copies the leaf directory of one VM to another VM and reports the crashes that it saw.
void ShareCrashes(DispatchFixture& source, DispatchFixture& target) {
  source.directory.ForEach([&](const LeafEntry& leaf) { target.directory.Put(leaf, target.now); });
  for (const LeafCrash& crash : source.coordinator.crash_guard().TakeReports()) {
    target.coordinator.crash_guard().RecordPeerCrash(crash, target.now);
  }
}

}  // namespace

TEST_CASE("a call that crashes every leaf that runs it") {
  DispatchFixture fixture;
  CHECK(RunCall(fixture, "/one/1", CrashAlways) == 2);
  SUBCASE("is refused as not run once three leaves have crashed in two requests") {
    CHECK(RunCall(fixture, "/one/1", CrashAlways) == 1);
    CHECK(RunCall(fixture, "/one/1", CrashAlways) == 0);
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kRefused);
    CHECK(fixture.GetAnswers()[0].reason == AnswerReason::kCrashesLeaves);
    SUBCASE("stays refused for at least 5 minutes") {
      // The refusal must last long enough to cover a few retries of the caller.
      fixture.RunUntil(std::chrono::minutes(5));
      CHECK(RunCall(fixture, "/one/1", CrashAlways) == 0);
    }
    SUBCASE("does not affect calls with other fingerprints") {
      fixture.Clear();
      fixture.Begin("/one/1", kFingerprint + 1);
      CHECK(fixture.GetSendActions().size() == 1);
    }
  }
  SUBCASE("crashes that several VMs saw are counted together") {
    // A caller's retry may be coordinated by another VM.
    DispatchFixture other_vm;
    other_vm.request_id_prefix = "vm-2";
    ShareCrashes(fixture, other_vm);
    CHECK(RunCall(other_vm, "/one/1", CrashAlways) == 1);
    ShareCrashes(other_vm, fixture);
    CHECK(RunCall(fixture, "/one/1", CrashAlways) == 0);
  }
}

// Guards against crashes that are counted for each service: a call of one leaf whose route moved to
// another service, or is split over two, crashed three leaves of each.
TEST_CASE("a call of one leaf that crashes every leaf and may run at two services") {
  DispatchFixture fixture;
  const RouteTarget first = {.service = ServiceName("single")};
  const RouteTarget second = {.service = ServiceName("second")};
  fixture.AddLeaf(second.service, "a", "east");
  fixture.AddLeaf(second.service, "b", "west");
  SUBCASE("its route moves after three crashes") {
    CHECK(RunCall(fixture, "/one/1", CrashAlways) == 2);
    CHECK(RunCall(fixture, "/one/1", CrashAlways) == 1);
    fixture.SetTargets({second});
  }
  SUBCASE("its route moves between the crashes") {
    CHECK(RunCall(fixture, "/one/1", CrashAlways) == 2);
    fixture.SetTargets({second});
    CHECK(RunCall(fixture, "/one/1", CrashAlways) == 1);
  }
  SUBCASE("its route becomes split over both after three crashes") {
    CHECK(RunCall(fixture, "/one/1", CrashAlways) == 2);
    CHECK(RunCall(fixture, "/one/1", CrashAlways) == 1);
    fixture.SetTargets({first, second});
  }
  SUBCASE("another VM saw the crashes at the service before") {
    DispatchFixture other_vm;
    other_vm.request_id_prefix = "vm-2";
    CHECK(RunCall(other_vm, "/one/1", CrashAlways) == 2);
    ShareCrashes(other_vm, fixture);
    fixture.SetTargets({second});
    CHECK(RunCall(fixture, "/one/1", CrashAlways) == 1);
  }
  for (int i = 0; i < 4; ++i) {
    CHECK(RunCall(fixture, "/one/1", CrashAlways) == 0);
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kRefused);
    CHECK(fixture.GetAnswers()[0].reason == AnswerReason::kCrashesLeaves);
  }
}

TEST_CASE("a call of one leaf that crashes the leaves of one of two services runs at the other") {
  DispatchFixture fixture;
  const RouteTarget first = {.service = ServiceName("single")};
  const RouteTarget second = {.service = ServiceName("second")};
  fixture.AddLeaf(second.service, "a", "east");
  fixture.AddLeaf(second.service, "b", "west");
  fixture.SetTargets({first, second});
  const auto is_leaf_of_first = [&](const SendAction& send) {
    return send.leaf.service == first.service;
  };
  std::size_t crashed_leaves = 0;
  std::size_t answered_calls = 0;
  for (int i = 0; i < 40; ++i) {
    crashed_leaves += RunCall(fixture, "/one/1", is_leaf_of_first);
    answered_calls += fixture.GetAnswers()[0].kind == AnswerKind::kPassedThrough ? 1 : 0;
  }
  CHECK(crashed_leaves <= 4);
  CHECK(answered_calls >= 20);  // the share of the second service
}

TEST_CASE("a fan-out call that crashes every leaf is refused after one run on each of two VMs") {
  // Guards against a limit on crashed calls instead of crashed leaves. Each call crashes 180
  // leaves, and a limit on calls would let three of them through on each VM.
  DispatchFixture fixture(180);
  CHECK(RunCall(fixture, "/all/1", CrashAlways) >= 180);
  DispatchFixture other_vm(180);
  other_vm.request_id_prefix = "vm-2";
  ShareCrashes(fixture, other_vm);
  RunCall(other_vm, "/all/1", CrashAlways);
  ShareCrashes(other_vm, fixture);
  CHECK(RunCall(fixture, "/all/1", CrashAlways) == 0);
  CHECK(RunCall(other_vm, "/all/1", CrashAlways) == 0);
  CHECK(fixture.GetAnswers()[0].reason == AnswerReason::kCrashesLeaves);
  SUBCASE("the number of crash reports to other VMs is bounded") {
    CHECK(other_vm.coordinator.crash_guard().TakeReports().size() <= 64);
  }
}

TEST_CASE(
    "a fan-out call that crashes the leaves of one of 180 shards is soon blocked for that shard "
    "only") {
  // Guards against a crash count that partial answers reset. Each call here ends with an answer
  // that lacks one shard.
  DispatchFixture fixture(180);
  const auto is_leaf_of_shard_7 = [](const SendAction& send) {
    return send.leaf.service == ServiceName("shard-7");
  };
  std::size_t crashed_leaves = 0;
  for (int i = 0; i < 20; ++i) {
    crashed_leaves += RunCall(fixture, "/all/1", is_leaf_of_shard_7);
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kMerged);
    CHECK(fixture.GetAnswers()[0].missing_shards <= 1);
  }
  CHECK(crashed_leaves <= 4);
}

TEST_CASE("a call that crashes its leaf with a probability of one half crashes at most 12 leaves") {
  DispatchFixture fixture;
  Random random(5);
  std::size_t crashed_leaves = 0;
  for (int i = 0; i < 200; ++i) {
    crashed_leaves +=
        RunCall(fixture, "/one/1", [&](const SendAction&) { return random.NextBelow(2) == 0; });
  }
  CHECK(crashed_leaves <= 12);
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
  SUBCASE("some connections break, with successful replies between them") {
    for (int i = 0; i < 50; ++i) {
      RunCall(fixture, "/one/1", [i](const SendAction&) { return i % 10 == 0; });
      CHECK(fixture.GetAnswers()[0].kind != AnswerKind::kRefused);
    }
  }
  SUBCASE("crashes that are far apart in time") {
    for (int i = 0; i < 6; ++i) {
      RunCall(fixture, "/one/1", CrashAlways);
      CHECK(fixture.GetAnswers()[0].kind != AnswerKind::kRefused);
      fixture.RunUntil(std::chrono::minutes(2 * (i + 1)));
    }
  }
}

// Guards against refusals that are dropped because many other calls lost connections since.
TEST_CASE("a refusal stays in force while many other calls lose connections") {
  const CrashGuardOptions options;
  CrashGuard guard(options);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  std::uint64_t crash_count = 0;
  const auto record_crash = [&](std::uint64_t fingerprint) {
    ++crash_count;
    guard.RecordCrash({.fingerprint = fingerprint,
                       .part = CallPart::kWhole,
                       .request = crash_count,
                       .service = 7,
                       .leaf = crash_count},
                      now);
    now += std::chrono::milliseconds(1);
  };
  const auto refuse = [&](std::uint64_t fingerprint) {
    for (std::size_t i = 0; i < options.crash_limit; ++i) {
      record_crash(fingerprint);
    }
  };
  refuse(kFingerprint);
  REQUIRE(guard.HasActiveRefusal(kFingerprint, now));
  SUBCASE("with one crash each") {
    for (std::uint64_t i = 0; i < 2 * options.max_fingerprints; ++i) {
      record_crash(1000 + i);
    }
    CHECK(guard.HasActiveRefusal(kFingerprint, now));
  }
  SUBCASE("unless as many newer refusals are kept") {
    for (std::uint64_t i = 0; i < options.max_fingerprints; ++i) {
      refuse(1000 + i);
    }
    CHECK(!guard.HasActiveRefusal(kFingerprint, now));
    CHECK(guard.HasActiveRefusal(1000 + options.max_fingerprints - 1, now));
    CHECK(guard.ListNews(now).refusals.size() == options.max_fingerprints);
  }
}

TEST_CASE("a refusal that peers report to each other expires") {
  // Guards against two VMs that renew a refusal forever because each reports it to the other.
  CrashGuard first_guard;
  CrashGuard second_guard;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  first_guard.MergeRefusal({.fingerprint = 1, .time_left = std::chrono::seconds(10)}, now);
  for (int i = 0; i < 30; ++i) {
    for (const CallRefusal& refusal : first_guard.ListNews(now).refusals) {
      second_guard.MergeRefusal(refusal, now);
    }
    for (const CallRefusal& refusal : second_guard.ListNews(now).refusals) {
      first_guard.MergeRefusal(refusal, now);
    }
    now += std::chrono::seconds(1);
  }
  CHECK_FALSE(first_guard.HasActiveRefusal(1, now));
  CHECK_FALSE(second_guard.HasActiveRefusal(1, now));
}

}  // namespace ibishold
