#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <vector>

#include "ibishold/fleet.h"

namespace ibishold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kStoreLatency = milliseconds(4);
// Targets of the platform: a VM counts as in touch with a store that has been available for
// kContactTime, and must know a document kConfigurationTime after it was published.
constexpr Duration kContactTime = seconds(4);
constexpr Duration kConfigurationTime = seconds(3);

// VMs that all watch the store, on a virtual clock, without messages between them. While the store
// is silent, it loses the calls that it receives and the answers that it would send.
class SilentStoreFixture {
 public:
  explicit SilentStoreFixture(std::size_t vm_count) {
    for (std::size_t i = 0; i < vm_count; ++i) {
      this->vms.push_back({.feed = DocumentFeed({}, i + 1)});
    }
  }

  void RunUntil(Duration since_start) {
    while (this->now < this->start + since_start) {
      this->now += kStep;
      for (Vm& vm : this->vms) {
        this->Advance(vm);
      }
    }
  }

  void Publish() {
    ++this->revision;
    this->published_at[this->revision] = this->now;
  }

  // The VMs that lack a document which was published at least kConfigurationTime ago.
  std::size_t CountOutdatedVms() const {
    std::size_t outdated = 0;
    for (const Vm& vm : this->vms) {
      const auto missing = this->published_at.upper_bound(vm.as_of);
      outdated +=
          missing != this->published_at.end() && this->now - missing->second >= kConfigurationTime
              ? 1
              : 0;
    }
    return outdated;
  }

  std::size_t call_count = 0;
  bool silent = false;

 private:
  struct OpenCall {
    FeedAction action;
    TimePoint started_at{};
    bool lost = false;
  };
  struct Vm {
    DocumentFeed feed;
    std::uint64_t as_of = 0;
    std::optional<OpenCall> call;
  };

  void Advance(Vm& vm) {
    if (vm.call) {
      this->AdvanceCall(vm);
    }
    const FeedAction action = vm.feed.Next(vm.as_of, this->plan, this->now);
    if (action.step == FeedStep::kWait) {
      return;
    }
    vm.feed.OnStarted(action, this->now);
    vm.call = OpenCall{.action = action, .started_at = this->now, .lost = this->silent};
    ++this->call_count;
  }

  void AdvanceCall(Vm& vm) {
    OpenCall& call = *vm.call;
    const Duration age = this->now - call.started_at;
    const bool has_answer =
        age >= kStoreLatency && (call.action.step == FeedStep::kList ||
                                 this->revision > call.action.after || age >= call.action.wait);
    call.lost = call.lost || (has_answer && this->silent);
    if (has_answer && !call.lost) {
      vm.as_of = this->revision;
      vm.call.reset();
      vm.feed.OnEnded(FeedOutcome::kApplied, false, this->now);
    } else if (age >= call.action.time_limit) {
      vm.call.reset();
      vm.feed.OnEnded(FeedOutcome::kFailed, false, this->now);
    }
  }

  TimePoint start = TimePoint() + std::chrono::hours(1);
  TimePoint now = this->start;
  FleetPlan plan = {.self_watches = true};
  std::vector<Vm> vms;
  std::uint64_t revision = 1;
  std::map<std::uint64_t, TimePoint> published_at;  // by revision
};

}  // namespace

// Guards against watches that are lost in a silence of the store and block every VM until their
// full wait is over: no VM heard of changes for up to 30 s after the store was back.
TEST_CASE("documents that are published after a silence of the store reach all VMs in time") {
  for (const Duration silence : {milliseconds(300), milliseconds(1000), milliseconds(4500),
                                 milliseconds(9000), milliseconds(20000)}) {
    for (int offset_ms = 0; offset_ms < 1000; offset_ms += 170) {
      CAPTURE(ToMilliseconds(silence));
      CAPTURE(offset_ms);
      SilentStoreFixture fixture(6);
      Duration elapsed = seconds(5);
      fixture.RunUntil(elapsed);
      // Changes in quick succession, the last of them just before the silence, so that every VM
      // sends its next watch into it.
      for (int i = 0; i < 6; ++i) {
        fixture.Publish();
        elapsed += milliseconds(330);
        fixture.RunUntil(elapsed);
      }
      fixture.Publish();
      elapsed += milliseconds(offset_ms);
      fixture.RunUntil(elapsed);
      fixture.silent = true;
      elapsed += silence / 2;
      fixture.RunUntil(elapsed);
      fixture.Publish();
      elapsed += silence - silence / 2;
      fixture.RunUntil(elapsed);
      fixture.silent = false;
      // A change every 700 ms from then on. The bound holds once the store counts as stable.
      const Duration returned_at = elapsed;
      while (elapsed < returned_at + seconds(20)) {
        fixture.Publish();
        for (int i = 0; i < 7; ++i) {
          elapsed += milliseconds(100);
          fixture.RunUntil(elapsed);
          if (elapsed >= returned_at + kContactTime) {
            REQUIRE(fixture.CountOutdatedVms() == 0);
          }
        }
      }
    }
  }
}

// Guards against a silence without later changes, which only the end of the wait reveals.
TEST_CASE("a single document that is published long after a silence reaches all VMs in time") {
  for (int offset_ms = 0; offset_ms < 4000; offset_ms += 130) {
    CAPTURE(offset_ms);
    SilentStoreFixture fixture(6);
    fixture.RunUntil(seconds(5));
    // Two changes within the minimum interval between watches, so that the next watch of every VM
    // starts in the silence.
    fixture.Publish();
    fixture.RunUntil(milliseconds(5200));
    fixture.Publish();
    fixture.RunUntil(milliseconds(5300));
    fixture.silent = true;
    fixture.RunUntil(milliseconds(9520));
    fixture.silent = false;
    fixture.RunUntil(milliseconds(13520 + offset_ms));
    fixture.Publish();
    fixture.RunUntil(milliseconds(13520 + offset_ms) + kConfigurationTime);
    CHECK(fixture.CountOutdatedVms() == 0);
  }
}

}  // namespace ibishold
