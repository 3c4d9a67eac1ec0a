#include <algorithm>
#include <cmath>
#include <map>

#include "ibishold/fleet.h"

namespace ibishold {

namespace {

// Ranks processor shares by powers of two, so that the choice does not follow measurement noise.
int ProcessorRank(const Peer& peer) {
  return peer.processor_share > 0 ? static_cast<int>(std::floor(std::log2(peer.processor_share)))
                                  : -100;
}

std::string AddressText(const PeerAddress& address) {
  return std::to_string(address.ip) + ":" + std::to_string(address.port);
}

// Sorts the best peers first. Peers of equal rank are ordered by a hash with `salt`, so that the
// roles are spread over different VMs.
void RankPeers(std::vector<Peer>& peers, std::string_view salt) {
  std::sort(peers.begin(), peers.end(), [&](const Peer& a, const Peer& b) {
    const int rank_a = ProcessorRank(a);
    const int rank_b = ProcessorRank(b);
    if (rank_a != rank_b) {
      return rank_a > rank_b;
    }
    return RendezvousScore(salt, AddressText(a.address)) >
           RendezvousScore(salt, AddressText(b.address));
  });
}

// Rounds up to 1, 2, 3, 4, 6, 8, 12, 16, ... so that a small change of the load does not change the
// number of coordinators.
std::size_t CoarseCount(double count) {
  std::size_t step = 1;
  for (;;) {
    if (count <= static_cast<double>(step)) {
      return step;
    }
    const std::size_t one_and_a_half_steps = step + step / 2;
    if (step >= 2 && count <= static_cast<double>(one_and_a_half_steps)) {
      return one_and_a_half_steps;
    }
    step *= 2;
  }
}

// True if the data centre's own leaves cover enough shards for it to have coordinators.
bool HasEnoughLeaves(const LeafShares& leaf_shares, const std::string& centre, double least) {
  double most = 0;
  for (const auto& [name, share] : leaf_shares) {
    most = std::max(most, share);
  }
  const auto found = leaf_shares.find(centre);
  return most <= 0 || (found != leaf_shares.end() && found->second >= least * most);
}

}  // namespace

FleetPlan MakeFleetPlan(const FleetPlanOptions& options,
                        const Peer& self,
                        const std::vector<Peer>& live,
                        std::size_t shards,
                        const LeafShares& leaf_shares) {
  FleetPlan plan;
  plan.vms = std::max<std::size_t>(1, live.size());
  std::map<std::string, std::vector<Peer>> centres;
  double rate = 0;
  for (const Peer& peer : live) {
    rate += peer.fan_out_rate;
    if (!peer.stopping) {
      centres[peer.data_centre.value].push_back(peer);
    }
  }
  rate = std::max(rate, options.min_planned_rate);
  const auto coordinating = [&](const std::string& centre) {
    return HasEnoughLeaves(leaf_shares, centre, options.min_leaf_share);
  };
  const auto with_leaves = std::count_if(centres.begin(), centres.end(), [&](const auto& centre) {
    return coordinating(centre.first);
  });
  // If no data centre with leaves has a VM, all data centres have coordinators.
  const bool all_centres_coordinate = with_leaves == 0;
  const double centre_count = std::max<double>(
      1, static_cast<double>(all_centres_coordinate ? centres.size()
                                                    : static_cast<std::size_t>(with_leaves)));
  const double coordinators_for_rate = rate / options.min_coordinator_rate;
  plan.direct = coordinators_for_rate >= options.direct_threshold * static_cast<double>(plan.vms);
  plan.self_coordinates = plan.direct;
  plan.self_watches = false;
  plan.senders = plan.direct ? plan.vms : 0;

  std::vector<PeerAddress> remote_coordinators;
  std::vector<PeerAddress> remote_watchers;
  const double core_demand = rate / centre_count * static_cast<double>(shards) /
                             options.sends_per_second / options.max_processor_use;
  for (auto& [centre, peers] : centres) {
    const bool is_local = centre == self.data_centre.value;
    RankPeers(peers, "coordinator");
    // Enough coordinators to carry the load, but few enough that each one's call rate suffices for
    // statistics on the leaves.
    double cores = 0;
    std::size_t coordinators_for_load = 0;
    while (coordinators_for_load < peers.size() && cores < core_demand) {
      cores += peers[coordinators_for_load].processor_share;
      ++coordinators_for_load;
    }
    const std::size_t count = std::min(
        peers.size(),
        std::max(coordinators_for_load, CoarseCount(coordinators_for_rate / centre_count / 4)));
    const bool coordinates = !plan.direct && (all_centres_coordinate || coordinating(centre));
    for (std::size_t i = 0; i < count && coordinates; ++i) {
      plan.self_coordinates = plan.self_coordinates || peers[i].address == self.address;
      (is_local ? plan.coordinators : remote_coordinators).push_back(peers[i].address);
      ++plan.senders;
    }
    RankPeers(peers, "watcher");
    for (std::size_t i = 0; i < std::min(peers.size(), options.watchers_per_data_centre); ++i) {
      if (peers[i].address == self.address) {
        plan.self_watches = true;
      } else {
        (is_local ? plan.watchers : remote_watchers).push_back(peers[i].address);
      }
    }
  }
  plan.local_coordinator_count = plan.coordinators.size();
  plan.local_watcher_count = plan.watchers.size();
  plan.coordinators.insert(plan.coordinators.end(), remote_coordinators.begin(),
                           remote_coordinators.end());
  plan.watchers.insert(plan.watchers.end(), remote_watchers.begin(), remote_watchers.end());
  plan.senders = std::max<std::size_t>(1, plan.senders);
  return plan;
}

}  // namespace ibishold
