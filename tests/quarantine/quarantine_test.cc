#include <doctest/doctest.h>

#include <string>

#include "ibishold/quarantine.h"

namespace ibishold {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kCrashingRequest = 1;
constexpr std::uint64_t kHarmlessRequest = 2;

LeafCrash MakeCrash(int leaf, std::vector<InFlightRequest> in_flight) {
  return {.leaf = LeafId("leaf-" + std::to_string(leaf)),
          .incarnation = 7,
          .in_flight = std::move(in_flight)};
}

}  // namespace

TEST_CASE("a suspect runs alone and is refused after two crashes") {
  Quarantine quarantine;
  TimePoint now{minutes(5)};
  CHECK(quarantine.Decide(kCrashingRequest, true, now).action == QuarantineAction::kRun);
  quarantine.RecordCrash(
      MakeCrash(1, {{.fingerprint = kCrashingRequest}, {.fingerprint = kHarmlessRequest}}), now);

  SUBCASE("only one run of a suspect is allowed at a time") {
    // Guards against a caller that sends the request many times at once and crashes one leaf with
    // each copy.
    CHECK(quarantine.Decide(kCrashingRequest, true, now).action == QuarantineAction::kRunAlone);
    const auto second_decision = quarantine.Decide(kCrashingRequest, true, now + seconds(1));
    CHECK(second_decision.action == QuarantineAction::kRefuse);
    CHECK(second_decision.retry_after == seconds(1));
    CHECK(quarantine.Decide(kCrashingRequest, true, now + seconds(10)).action ==
          QuarantineAction::kRunAlone);
  }
  SUBCASE("the second crash in a run alone leads to a refusal for 10 minutes") {
    CHECK(quarantine.Decide(kCrashingRequest, true, now).action == QuarantineAction::kRunAlone);
    quarantine.RecordCrash(MakeCrash(2, {{.fingerprint = kCrashingRequest, .alone = true}}), now);
    SUBCASE("a crash that is reported twice counts once") {
      quarantine.RecordCrash(MakeCrash(2, {{.fingerprint = kCrashingRequest, .alone = true}}), now);
      CHECK(quarantine.Decide(kCrashingRequest, true, now).action == QuarantineAction::kRunAlone);
    }
    SUBCASE("two different crashes lead to a refusal") {
      CHECK(quarantine.Decide(kCrashingRequest, true, now).action == QuarantineAction::kRunAlone);
      quarantine.RecordCrash(MakeCrash(3, {{.fingerprint = kCrashingRequest, .alone = true}}), now);
      const auto refused = quarantine.Decide(kCrashingRequest, false, now + minutes(3));
      CHECK(refused.action == QuarantineAction::kRefuse);
      CHECK(refused.retry_after == minutes(7));
      CHECK(quarantine.GetRefusalTimeLeft(kCrashingRequest, now + minutes(3)) == minutes(7));
      // After the refusal the request still runs alone, so that it crashes one leaf instead of all
      // leaves of a fan-out.
      CHECK(quarantine.Decide(kCrashingRequest, true, now + minutes(10)).action ==
            QuarantineAction::kRunAlone);
      quarantine.RecordCrash(MakeCrash(4, {{.fingerprint = kCrashingRequest, .alone = true}}),
                             now + minutes(10));
      CHECK(quarantine.Decide(kCrashingRequest, true, now + minutes(11)).action ==
            QuarantineAction::kRefuse);
    }
  }
  SUBCASE("one success clears a harmless request") {
    // Guards against refusing requests that happened to be in flight during a crash.
    CHECK(quarantine.Decide(kHarmlessRequest, true, now).action == QuarantineAction::kRunAlone);
    quarantine.RecordOutcome(kHarmlessRequest, true, now + milliseconds(5));
    CHECK(quarantine.Decide(kHarmlessRequest, true, now + milliseconds(6)).action ==
          QuarantineAction::kRun);
    SUBCASE("a peer's delayed report of the same crash does not make the request a suspect again") {
      QuarantineReport late_report{.fingerprint = kHarmlessRequest, .crash_age = seconds(1)};
      CHECK_FALSE(quarantine.Merge(late_report, now + seconds(2)));
      CHECK(quarantine.Decide(kHarmlessRequest, true, now + seconds(2)).action ==
            QuarantineAction::kRun);
      SUBCASE("a report of a newer crash makes the request a suspect again") {
        late_report.crash_age = Duration::zero();
        CHECK(quarantine.Merge(late_report, now + seconds(4)));
        CHECK(quarantine.Decide(kHarmlessRequest, true, now + seconds(4)).action ==
              QuarantineAction::kRunAlone);
      }
    }
  }
  SUBCASE("a success of a run that began before the newest crash does not clear the suspect") {
    CHECK(quarantine.Decide(kCrashingRequest, true, now).action == QuarantineAction::kRunAlone);
    quarantine.RecordCrash(MakeCrash(5, {{.fingerprint = kCrashingRequest}}),
                           now + milliseconds(1));
    quarantine.RecordOutcome(kCrashingRequest, true, now + milliseconds(2));
    CHECK(quarantine.Decide(kCrashingRequest, true, now + milliseconds(3)).action ==
          QuarantineAction::kRunAlone);
  }
  SUBCASE("a timeout does not clear the suspect") {
    CHECK(quarantine.Decide(kCrashingRequest, true, now).action == QuarantineAction::kRunAlone);
    quarantine.RecordOutcome(kCrashingRequest, false, now);
    CHECK(quarantine.Decide(kCrashingRequest, true, now).action == QuarantineAction::kRunAlone);
  }
  SUBCASE("a suspect expires an hour after its last crash") {
    CHECK(quarantine.Decide(kCrashingRequest, true, now + minutes(60)).action ==
          QuarantineAction::kRun);
  }
}

TEST_CASE("after a recent crash, fan-outs with an unknown fingerprint run a canary first") {
  Quarantine quarantine;
  const TimePoint now{minutes(5)};
  quarantine.RecordCrash(MakeCrash(1, {}), now);
  CHECK(quarantine.Decide(50, false, now).action == QuarantineAction::kRun);
  CHECK(quarantine.Decide(50, true, now).action == QuarantineAction::kCanaryFirst);
  CHECK(quarantine.Decide(50, true, now).action == QuarantineAction::kRefuse);
  SUBCASE("a successful canary lets the request run without restriction") {
    quarantine.RecordOutcome(50, true, now + milliseconds(4));
    CHECK(quarantine.Decide(50, true, now + milliseconds(5)).action == QuarantineAction::kRun);
    CHECK(quarantine.Export(now).empty());
  }
  SUBCASE("a crash of a leaf that runs the canary counts as a crash in a run alone") {
    quarantine.RecordCrash(MakeCrash(2, {{.fingerprint = 50, .alone = true}}), now);
    CHECK(quarantine.Decide(50, true, now).action == QuarantineAction::kRunAlone);
    quarantine.RecordCrash(MakeCrash(3, {{.fingerprint = 50, .alone = true}}), now);
    CHECK(quarantine.Decide(50, true, now).action == QuarantineAction::kRefuse);
  }
  SUBCASE("30 s after the newest crash, requests run without restriction") {
    CHECK(quarantine.Decide(51, true, now + seconds(30)).action == QuarantineAction::kRun);
  }
}

TEST_CASE("a peer that receives crash reports applies them to its decisions") {
  Quarantine first_vm;
  Quarantine second_vm;
  const TimePoint now{minutes(5)};
  const TimePoint second_vm_now{minutes(700)};  // clocks of VMs differ
  first_vm.RecordCrash(MakeCrash(1, {{.fingerprint = kCrashingRequest}}), now);
  first_vm.RecordCrash(MakeCrash(2, {{.fingerprint = kCrashingRequest, .alone = true}}), now);
  const auto reports = first_vm.ExportChanged(now + seconds(1));
  REQUIRE(reports.size() == 1);
  CHECK(first_vm.ExportChanged(now).empty());

  CHECK(second_vm.Merge(reports[0], second_vm_now));
  CHECK(second_vm.HasRecentCrash(second_vm_now));
  CHECK(second_vm.Decide(kCrashingRequest, true, second_vm_now).action ==
        QuarantineAction::kRunAlone);
  second_vm.RecordCrash(MakeCrash(3, {{.fingerprint = kCrashingRequest, .alone = true}}),
                        second_vm_now);
  CHECK(second_vm.Decide(kCrashingRequest, true, second_vm_now).action ==
        QuarantineAction::kRefuse);
  CHECK(first_vm.Merge(second_vm.Export(second_vm_now)[0], now + seconds(1)));
  CHECK(first_vm.GetRefusalTimeLeft(kCrashingRequest, now + seconds(1)) > Duration::zero());

  SUBCASE("repeated reports do not change or renew a refusal") {
    // Guards against VMs that extend a refusal for ever by exchanging reports of one crash.
    CHECK_FALSE(first_vm.Merge(second_vm.Export(second_vm_now)[0], now + seconds(1)));
    for (int i = 2; i < 900; ++i) {
      const TimePoint first_vm_time = now + seconds(i);
      const TimePoint second_vm_time = second_vm_now + seconds(i - 1);
      for (const auto& report : first_vm.Export(first_vm_time)) {
        second_vm.Merge(report, second_vm_time + milliseconds(20));
      }
      for (const auto& report : second_vm.Export(second_vm_time + milliseconds(20))) {
        first_vm.Merge(report, first_vm_time + milliseconds(40));
      }
    }
    CHECK(first_vm.GetRefusalTimeLeft(kCrashingRequest, now + minutes(10) + seconds(2)) ==
          Duration::zero());
    CHECK(second_vm.GetRefusalTimeLeft(
              kCrashingRequest, second_vm_now + minutes(10) + seconds(2)) == Duration::zero());
  }
  SUBCASE("reports with an invalid crash age are ignored") {
    CHECK_FALSE(second_vm.Merge({.fingerprint = 9, .crash_age = -seconds(1)}, second_vm_now));
    CHECK_FALSE(second_vm.Merge({.fingerprint = 9, .crash_age = Duration::max()}, second_vm_now));
  }
}

TEST_CASE("the number of stored fingerprints is bounded") {
  Quarantine quarantine({.max_fingerprints = 16});
  TimePoint now{minutes(5)};
  quarantine.RecordCrash(MakeCrash(1, {{.fingerprint = kCrashingRequest, .alone = true}}), now);
  quarantine.RecordCrash(MakeCrash(2, {{.fingerprint = kCrashingRequest, .alone = true}}), now);
  for (std::uint64_t i = 100; i < 200; ++i) {
    now += milliseconds(1);
    quarantine.RecordCrash(MakeCrash(static_cast<int>(i), {{.fingerprint = i}}), now);
    CHECK(quarantine.size() <= 16);
  }
  // Guards against a series of crashes that evicts the fingerprint of the request that causes it.
  CHECK(quarantine.Decide(kCrashingRequest, true, now).action == QuarantineAction::kRefuse);
  CHECK(quarantine.Decide(199, true, now).action == QuarantineAction::kRunAlone);
  SUBCASE("cleared fingerprints are evicted before suspects") {
    for (std::uint64_t i = 1000; i < 1100; ++i) {
      CHECK(quarantine.Decide(i, true, now).action == QuarantineAction::kCanaryFirst);
      quarantine.RecordOutcome(i, true, now);
    }
    CHECK(quarantine.size() <= 16);
    CHECK(quarantine.Decide(198, true, now).action == QuarantineAction::kRunAlone);
  }
}

}  // namespace ibishold
