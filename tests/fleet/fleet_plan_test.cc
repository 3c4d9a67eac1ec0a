#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "ibishold/fleet.h"

namespace ibishold {

namespace {

std::vector<Peer> MakePeers(std::size_t count, double rate, std::size_t centres = 3) {
  std::vector<Peer> peers;
  for (std::size_t i = 0; i < count; ++i) {
    peers.push_back({.address = {.ip = static_cast<std::uint32_t>(i + 1), .port = 1},
                     .incarnation = 1,
                     .data_centre = DataCentre("dc" + std::to_string(i % centres)),
                     .processor_share = i % 5 == 0 ? 0.5 : 0.084,
                     .fan_out_rate = rate / static_cast<double>(count)});
  }
  return peers;
}

}  // namespace

TEST_CASE("in a small fleet all VMs are coordinators") {
  const auto peers = MakePeers(13, 100);
  const FleetPlan plan = MakeFleetPlan({}, peers[0], peers, 20);
  CHECK(plan.direct);
  CHECK(plan.self_coordinates);
  CHECK(plan.senders == 13);
  SUBCASE("this also holds before the first call") {
    const auto idle = MakePeers(15, 0);
    CHECK(MakeFleetPlan({}, idle[0], idle, 20).direct);
  }
}

TEST_CASE("in a large fleet with few calls only a few VMs are coordinators") {
  for (const std::size_t count : {std::size_t{117}, std::size_t{300}}) {
    CAPTURE(count);
    const auto peers = MakePeers(count, 45);
    std::set<PeerAddress> coordinating;
    for (const Peer& self : peers) {
      const FleetPlan plan = MakeFleetPlan({}, self, peers, 90);
      CHECK_FALSE(plan.direct);
      CHECK(plan.local_coordinator_count >= 1);
      CHECK(plan.senders <= 12);
      if (plan.self_coordinates) {
        coordinating.insert(self.address);
        CHECK(self.processor_share == 0.5);
      }
    }
    const FleetPlan plan = MakeFleetPlan({}, peers[1], peers, 90);
    CHECK(coordinating.size() == plan.senders);
    CHECK(std::set<PeerAddress>(plan.coordinators.begin(), plan.coordinators.end()) ==
          coordinating);
  }
}

TEST_CASE("at the target size and load all VMs are coordinators") {
  // 240,000 queries/s of 51 leaves on 1,100 VMs: every VM is needed.
  const auto peers = MakePeers(1100, 240000, 4);
  CHECK(MakeFleetPlan({}, peers[0], peers, 51).direct);
}

TEST_CASE("a coordinator that is gone is replaced and the others stay") {
  auto peers = MakePeers(117, 45);
  const FleetPlan before = MakeFleetPlan({}, peers[1], peers, 90);
  const PeerAddress lost = before.coordinators[0];
  SUBCASE("the coordinator is lost") {
    std::erase_if(peers, [&](const Peer& peer) { return peer.address == lost; });
  }
  SUBCASE("the coordinator is shutting down") {
    for (Peer& peer : peers) {
      peer.stopping = peer.address == lost;
    }
  }
  const FleetPlan after = MakeFleetPlan({}, peers[1], peers, 90);
  CHECK(after.senders == before.senders);
  const std::set<PeerAddress> now(after.coordinators.begin(), after.coordinators.end());
  CHECK_FALSE(now.contains(lost));
  for (std::size_t i = 1; i < before.coordinators.size(); ++i) {
    CHECK(now.contains(before.coordinators[i]));
  }
}

TEST_CASE("coordinators are in the data centres with leaves") {
  // 295 VMs in five data centres, leaves in three of them. With a coordinator in a data centre
  // without leaves, 180 partial answers cross between data centres instead of one merged answer.
  const auto peers = MakePeers(295, 48, 5);
  const LeafShares shares = {{"dc0", 1.0}, {"dc1", 0.98}, {"dc2", 1.0}};
  const auto centres_of = [&](const FleetPlan& plan) {
    std::set<std::string> centres;
    for (const Peer& peer : peers) {
      if (std::find(plan.coordinators.begin(), plan.coordinators.end(), peer.address) !=
          plan.coordinators.end()) {
        centres.insert(peer.data_centre.value);
      }
    }
    return centres;
  };
  const FleetPlan plan_with_local_leaves = MakeFleetPlan({}, peers[0], peers, 180, shares);
  CHECK(plan_with_local_leaves.local_coordinator_count >= 1);
  CHECK(centres_of(plan_with_local_leaves) == std::set<std::string>{"dc0", "dc1", "dc2"});
  SUBCASE("VMs in other data centres hand their calls over to them") {
    const FleetPlan plan_without_local_leaves = MakeFleetPlan({}, peers[3], peers, 180, shares);
    CHECK(plan_without_local_leaves.local_coordinator_count == 0);
    CHECK_FALSE(plan_without_local_leaves.self_coordinates);
    CHECK(plan_without_local_leaves.senders == plan_with_local_leaves.senders);
    CHECK(centres_of(plan_without_local_leaves) == centres_of(plan_with_local_leaves));
  }
  SUBCASE("an evacuation of leaves moves the coordinators") {
    const LeafShares evacuated = {{"dc1", 0.98}, {"dc2", 1.0}};
    CHECK(centres_of(MakeFleetPlan({}, peers[0], peers, 180, evacuated)) ==
          std::set<std::string>{"dc1", "dc2"});
  }
  SUBCASE("the loss of some leaves does not move them") {
    const LeafShares fewer = {{"dc0", 0.7}, {"dc1", 0.98}, {"dc2", 1.0}};
    CHECK(centres_of(MakeFleetPlan({}, peers[0], peers, 180, fewer)) ==
          centres_of(plan_with_local_leaves));
  }
  SUBCASE("all data centres have coordinators if no VM is near leaves or no leaves are known") {
    CHECK(centres_of(MakeFleetPlan({}, peers[0], peers, 180, {{"elsewhere", 1.0}})).size() == 5);
    CHECK(centres_of(MakeFleetPlan({}, peers[0], peers, 180)).size() == 5);
  }
}

TEST_CASE("the number of watchers does not grow with the fleet") {
  for (const std::size_t count : {std::size_t{13}, std::size_t{139}, std::size_t{1100}}) {
    const auto peers = MakePeers(count, 60, 4);
    std::size_t watching = 0;
    for (const Peer& self : peers) {
      const FleetPlan plan = MakeFleetPlan({}, self, peers, 50);
      watching += plan.self_watches ? 1 : 0;
      CHECK(plan.local_watcher_count >= 1);
    }
    CHECK(watching == 8);
  }
}

}  // namespace ibishold
