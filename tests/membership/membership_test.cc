#include <doctest/doctest.h>

#include <set>
#include <vector>

#include "membership/fake_fleet.h"
#include "membership/hold_clock.h"
#include "membership/monitors.h"
#include "membership/silence_detector.h"

namespace ibishold {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// VMs in each data centre of the fleets below. The index of the first VM of each data centre is a
// multiple of this.
constexpr std::size_t kPerCentre = 8;

FakeFleet StartedFleet(std::uint64_t seed, double loss = 0.01) {
  return FakeFleet(
      {.centres = {kPerCentre, kPerCentre, kPerCentre}, .seed = seed, .datagram_loss = loss});
}

// Returns the indices of the monitors of a VM.
std::vector<std::size_t> Monitors(const FakeFleet& fleet, std::size_t index) {
  const auto& list = *fleet.nodes[index].membership->store().vms();
  std::vector<std::size_t> result;
  for (const VmId& vm :
       SelectMonitors(fleet.nodes[index].vm, fleet.nodes[index].data_centre, list, 5)) {
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
      if (fleet.nodes[i].vm == vm) {
        result.push_back(i);
      }
    }
  }
  return result;
}

}  // namespace

TEST_CASE("the hold time counts from the send of the acknowledged heartbeat") {
  // Guards against an old acknowledgement, read from the socket after a pause, that extends a hold.
  const TimePoint start{std::chrono::hours(5)};
  HoldClock hold(seconds(5));
  CHECK(hold.HoldUntil() == TimePoint::max());
  hold.SetMonitors({VmId("a"), VmId("b"), VmId("c")});
  hold.RecordSent(1, start);
  hold.RecordSent(2, start + seconds(1));
  hold.RecordAcknowledgement(VmId("a"), 1);
  CHECK(hold.HoldUntil() == TimePoint::min());
  hold.RecordAcknowledgement(VmId("stranger"), 2);
  CHECK(hold.HoldUntil() == TimePoint::min());
  hold.RecordAcknowledgement(VmId("b"), 2);
  CHECK(hold.HoldUntil() == start + seconds(5));
  hold.RecordAcknowledgement(VmId("a"), 2);
  hold.RecordAcknowledgement(VmId("a"), 1);
  CHECK(hold.HoldUntil() == start + seconds(6));
  // A changed list keeps the acknowledgements of the remaining monitors.
  hold.SetMonitors({VmId("a"), VmId("d"), VmId("e"), VmId("f")});
  CHECK(hold.HoldUntil() == TimePoint::min());
  hold.SetMonitors({VmId("a"), VmId("d")});
  CHECK(hold.HoldUntil() == start + seconds(6));
}

TEST_CASE("a monitor that reported a VM silent does not acknowledge that run again") {
  // Guards against reports that cause a VM to be declared lost just when the reporters hear from it
  // again.
  VmList list;
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
    list.vms.push_back({VmId(name), DataCentre("bole"), "127.0.0.1", 3, VmState::kLive});
  }
  const TimePoint start{std::chrono::hours(5)};
  const TimePoint silent = start + seconds(61);
  SilenceDetector detector(VmId("a"), seconds(60), seconds(5));
  detector.SetPublishedList(list, 5, start);
  CHECK(detector.SilentVms(start + seconds(59)).empty());
  REQUIRE(detector.SilentVms(silent).size() == 5);
  CHECK(detector.MayAcknowledge(VmId("b"), 3));
  CHECK_FALSE(detector.RecordReport(VmId("a"), {VmId("b"), 3}, silent));
  detector.RecordHeartbeat(VmId("b"), silent + seconds(1));
  // This run is never acknowledged again, because the reports may have made it lost without this VM
  // knowing.
  CHECK_FALSE(detector.MayAcknowledge(VmId("b"), 3));
  CHECK(detector.MayAcknowledge(VmId("b"), 4));

  SUBCASE("more than half of the monitors must report the same run at the same time") {
    detector.RecordReport(VmId("a"), {VmId("c"), 3}, silent);
    CHECK_FALSE(detector.RecordReport(VmId("b"), {VmId("c"), 3}, silent));
    CHECK_FALSE(detector.RecordReport(VmId("b"), {VmId("c"), 3}, silent));
    CHECK_FALSE(detector.RecordReport(VmId("d"), {VmId("c"), 2}, silent));
    CHECK_FALSE(detector.RecordReport(VmId("stranger"), {VmId("c"), 3}, silent));
    CHECK_FALSE(detector.RecordReport(VmId("e"), {VmId("c"), 3}, silent + seconds(6)));
    detector.RecordReport(VmId("a"), {VmId("c"), 3}, silent + seconds(6));
    CHECK(detector.RecordReport(VmId("f"), {VmId("c"), 3}, silent + seconds(7)));
  }
}

TEST_CASE("state changes of one VM in a fleet") {
  FakeFleet fleet = StartedFleet(3);
  const std::size_t total = fleet.nodes.size();
  fleet.StartAll();
  fleet.RunFor(seconds(10));
  REQUIRE(fleet.CountHolding() == total);

  SUBCASE("a VM that joins may hold slots only once the published list shows it") {
    // Guards against a VM that holds slots before its monitors know it, or that never may hold any.
    fleet.Stop(0);
    fleet.nodes[0].listed = false;
    fleet.PublishVms();
    fleet.RunFor(seconds(30));
    fleet.Start(0);
    CHECK_FALSE(fleet.MayHold(0));
    fleet.nodes[0].listed = true;
    fleet.PublishVms();
    CHECK(fleet.RunUntilTrue([&] { return fleet.MayHold(0); }, seconds(10)) <= seconds(3));
    CHECK(fleet.CountSeeing(0, VmState::kLive) == total - 1);
  }
  SUBCASE("a planned stop is known to all VMs before the published list shows it") {
    // Guards against assigning slots to a VM whose stop the platform's list does not show yet.
    fleet.Call(0, [&](Membership& membership, MembershipActions&) { membership.Leave(fleet.now); });
    const Duration took = fleet.RunUntilTrue(
        [&] { return fleet.CountSeeing(0, VmState::kLeaving) == total - 1; }, seconds(10));
    CHECK(took <= seconds(3));
    // An outdated list that still shows the VM as live does not revert its state.
    fleet.PublishVms();
    fleet.RunFor(seconds(5));
    CHECK(fleet.CountSeeing(0, VmState::kLeaving) == total - 1);
    // The next run of the VM is live.
    fleet.Stop(0);
    fleet.Start(0);
    fleet.RunFor(seconds(8));
    CHECK(fleet.CountSeeing(0, VmState::kLive) == total - 1);
  }
  SUBCASE("a crashed VM is lost after the loss limit even if the platform serves old documents") {
    // Guards against slots that stay unused while the platform cannot publish the loss, and against
    // a takeover before the old holder has certainly stopped.
    fleet.platform.stale = true;
    fleet.Stop(0);
    fleet.RunFor(seconds(55));
    CHECK(fleet.CountSeeing(0, VmState::kLost) == 0);
    fleet.RunFor(seconds(13));
    CHECK(fleet.CountSeeing(0, VmState::kLost) == total - 1);
    CHECK(fleet.CountHolding() == total - 1);
    fleet.Start(0);
    fleet.RunFor(seconds(8));
    CHECK(fleet.CountSeeing(0, VmState::kLive) == total - 1);
    CHECK(fleet.MayHold(0));
  }
  SUBCASE("an acknowledgement that shows a newer VM list does not extend the hold") {
    // Guards against a VM that returns, is acknowledged and is cut off again before it receives the
    // list that gave its slots to others. The new owners start to use the slots a certain
    // time after the hold has lapsed. A hold extended by the acknowledgement would last beyond that
    // start.
    const FakeVm& self = fleet.nodes[0];
    fleet.Call(0, [&](Membership& membership, MembershipActions&) {
      const TimePoint later = fleet.now + seconds(2);
      const TimePoint before = membership.HoldUntil();
      MembershipActions sent;
      membership.Tick(later, sent);
      const auto acknowledge = [&](const std::vector<Digest>& digests) {
        for (const MembershipAction& action : sent) {
          const auto* heartbeat = std::get_if<SendDatagram>(&action);
          if (heartbeat == nullptr || heartbeat->message.sequence == 0) {
            continue;
          }
          for (const FakeVm& peer : fleet.nodes) {
            if (peer.address == heartbeat->address && &peer != &self) {
              HeartbeatMessage message{.acknowledgement = true, .vm = peer.vm};
              message.incarnation = peer.incarnation;
              message.sequence = heartbeat->message.sequence;
              message.digests = digests;
              MembershipActions ignored;
              membership.OnDatagram(peer.address, message, later, ignored);
            }
          }
        }
      };
      acknowledge({{std::string(kVmsKey), 1000, 7}});
      CHECK(membership.HoldUntil() == before);
      acknowledge({});
      CHECK(membership.HoldUntil() > before);
    });
  }
  SUBCASE("a VM paused for less than the loss limit holds slots only after new acknowledgements") {
    // Guards against a process that resumes with an outdated view and sends leaf work at once.
    fleet.Freeze(0);
    fleet.RunFor(seconds(20));
    CHECK_FALSE(fleet.MayHold(0));
    fleet.Wake(0);
    // The acknowledgements queued in its socket are too old to count.
    CHECK_FALSE(fleet.MayHold(0));
    fleet.RunFor(seconds(3));
    CHECK(fleet.MayHold(0));
    CHECK(fleet.CountSeeing(0, VmState::kLive) == total - 1);
  }
  SUBCASE("a VM paused until others have taken over holds slots only as a new run") {
    // Guards against a VM that resumes using slots that others have taken over.
    const Incarnation before = fleet.nodes[0].membership->incarnation();
    fleet.Freeze(0);
    fleet.RunFor(seconds(75));
    CHECK(fleet.CountSeeing(0, VmState::kLost) == total - 1);
    fleet.Wake(0);
    CHECK_FALSE(fleet.MayHold(0));
    fleet.RunFor(seconds(8));
    CHECK(fleet.nodes[0].membership->incarnation() > before);
    CHECK(fleet.CountSeeing(0, VmState::kLive) == total - 1);
    CHECK(fleet.MayHold(0));
  }
  SUBCASE("a monitor that was paused reports no VM as silent") {
    // Guards against loss reports that count the reporter's own pause as silence.
    const Incarnation before = fleet.nodes[0].membership->incarnation();
    for (const std::size_t monitor : Monitors(fleet, 0)) {
      fleet.Freeze(monitor);
    }
    fleet.RunFor(seconds(90));
    for (const std::size_t monitor : Monitors(fleet, 0)) {
      fleet.Wake(monitor);
    }
    fleet.RunFor(seconds(20));
    CHECK(fleet.CountSeeing(0, VmState::kLive) == total - 1);
    // If the VM had been declared lost, it would have returned with a new incarnation by now.
    CHECK(fleet.nodes[0].membership->incarnation() == before);
  }
  SUBCASE("a replaced process no longer holds slots") {
    // Guards against two processes of one VM that both hold its slots.
    const Incarnation newer = fleet.nodes[0].incarnation + 1000;
    for (const std::size_t monitor : Monitors(fleet, 0)) {
      fleet.Call(monitor, [&](Membership& membership, MembershipActions& actions) {
        HeartbeatMessage message;
        message.vm = fleet.nodes[0].vm;
        message.incarnation = newer;
        membership.OnDatagram("10.9.9.9", message, fleet.now, actions);
      });
    }
    fleet.RunFor(seconds(8));
    CHECK_FALSE(fleet.MayHold(0));
  }
}

TEST_CASE("a partition within a data centre heals") {
  FakeFleet fleet = StartedFleet(5);
  const std::size_t total = fleet.nodes.size();
  fleet.StartAll();
  fleet.RunFor(seconds(10));
  // Two of eight VMs are cut off from the others and from the platform.
  for (const std::size_t index : {0, 1}) {
    fleet.nodes[index].partition = 1;
    fleet.nodes[index].cut_from_platform = true;
  }
  fleet.RunFor(seconds(6));
  // Guards against both sides holding the same slots. At most one of the five monitors of each VM
  // is on its side.
  CHECK_FALSE(fleet.MayHold(0));
  CHECK_FALSE(fleet.MayHold(1));
  fleet.RunFor(seconds(70));
  CHECK(fleet.CountSeeing(0, VmState::kLost) == total - 2);
  const std::uint64_t generation = fleet.platform.PublishTable("out");
  fleet.RunFor(seconds(5));
  CHECK(fleet.CountHaving("table", generation) == total - 2);
  for (const std::size_t index : {0, 1}) {
    fleet.nodes[index].partition = 0;
  }
  // They still cannot reach the platform and get the documents from peers.
  fleet.RunFor(seconds(15));
  CHECK(fleet.AllHave("table", generation));
  CHECK(fleet.CountHolding() == total);
  CHECK(fleet.CountSeeing(0, VmState::kLive) == total - 1);
}

TEST_CASE("two regions are partitioned for an hour") {
  FakeFleet fleet = StartedFleet(6);
  fleet.StartAll();
  fleet.RunFor(seconds(10));
  for (std::size_t i = 2 * kPerCentre; i < fleet.nodes.size(); ++i) {
    fleet.nodes[i].partition = 1;
    fleet.nodes[i].cut_from_platform = true;
  }
  const std::uint64_t generation = fleet.platform.PublishTable("out");
  fleet.RunFor(std::chrono::hours(1));
  // Guards against a region that gives up slots of its own leaves because the other region is
  // unreachable.
  CHECK(fleet.CountHolding() == fleet.nodes.size());
  CHECK(fleet.CountHaving("table", generation) == 2 * kPerCentre);
  for (auto& node : fleet.nodes) {
    node.partition = 0;
  }
  CHECK(fleet.RunUntilTrue([&] { return fleet.AllHave("table", generation); }, seconds(20)) <=
        seconds(6));
}

TEST_CASE("a run that others declared lost never holds slots") {
  // Guards against two holders of one slot under random pauses, partitions and datagram loss.
  std::size_t declared = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    FakeFleet fleet({.centres = {7}, .seed = seed, .datagram_loss = 0.05});
    fleet.StartAll();
    fleet.RunFor(seconds(10));
    fleet.platform.stale = true;
    Random random(seed);
    std::vector<TimePoint> until(fleet.nodes.size());
    bool overlap = false;
    for (int step = 0; step < 6000; ++step) {
      const std::size_t index = random.NextBelow(fleet.nodes.size());
      if (random.NextBelow(300) == 0 && until[index] <= fleet.now) {
        until[index] = fleet.now + seconds(random.NextBelow(100));
        if (random.NextBelow(2) == 0) {
          fleet.Freeze(index);
        } else {
          fleet.nodes[index].partition = 1 + static_cast<int>(random.NextBelow(2));
        }
      }
      for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
        if (until[i] != TimePoint{} && until[i] <= fleet.now) {
          until[i] = {};
          fleet.nodes[i].partition = 0;
          if (fleet.nodes[i].frozen) {
            fleet.Wake(i);
          }
        }
      }
      fleet.RunFor(milliseconds(100));
      for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
        for (std::size_t other = 0; other < fleet.nodes.size(); ++other) {
          if (i == other || !fleet.Running(other)) {
            continue;
          }
          const ControlView view = fleet.nodes[other].membership->BuildView(fleet.now);
          const VmEntry* entry = view.vms->Find(fleet.nodes[i].vm);
          if (entry->state != VmState::kLost) {
            continue;
          }
          ++declared;
          overlap = overlap || (fleet.MayHold(i) &&
                                fleet.nodes[i].membership->incarnation() <= entry->incarnation);
        }
      }
    }
    CAPTURE(seed);
    CHECK_FALSE(overlap);
  }
  CHECK(declared > 0);
}

TEST_CASE("token successors reach every VM") {
  // Guards against a token whose home has stopped and whose successor is known to only one VM.
  FakeFleet fleet = StartedFleet(9);
  fleet.StartAll();
  fleet.RunFor(seconds(10));
  const TokenHomeRun home{VmId("vm-0"), 77};
  const TokenHomeRun same_time{VmId("vm-1"), 77};
  const auto announce = [&](std::size_t index, const TokenHomeRun& run, const char* vm,
                            std::uint32_t hops) {
    fleet.Call(index, [&](Membership& membership, MembershipActions&) {
      membership.AddSuccessor(run, {VmId(vm), hops}, fleet.now);
    });
  };
  announce(0, home, "vm-5", 1);
  announce(1, same_time, "vm-6", 1);
  fleet.RunFor(seconds(6));
  // The successor stops as well, and its report replaces the first one on all VMs.
  announce(5, home, "vm-7", 2);
  announce(6, home, "vm-5", 1);
  fleet.RunFor(seconds(6));
  // A VM that starts later learns all successors.
  fleet.Stop(9);
  fleet.Start(9);
  fleet.RunFor(seconds(20));
  for (const auto& node : fleet.nodes) {
    const auto successors = node.membership->BuildView(fleet.now).successors;
    REQUIRE(successors.size() == 2);
    CHECK(successors.at(home) == TokenSuccessor{VmId("vm-7"), 2});
    // Guards against confusing runs of different VMs that share a start time.
    CHECK(successors.at(same_time) == TokenSuccessor{VmId("vm-6"), 1});
  }
}

}  // namespace ibishold
