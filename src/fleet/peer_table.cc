#include <algorithm>

#include "ibishold/fleet.h"

namespace ibishold {

PeerTable::PeerTable(PeerTableOptions options,
                     Peer self,
                     std::vector<PeerAddress> seeds,
                     std::uint64_t random_seed,
                     TimePoint now)
    : options(options),
      self_peer(std::move(self)),
      seeds(std::move(seeds)),
      random(random_seed),
      started_at(now) {}

bool PeerTable::ApplyReport(const PeerReport& report, TimePoint now) {
  if (report.peer.address == this->self_peer.address || report.age > this->options.forget_after) {
    return false;
  }
  const TimePoint stated_at = now - report.age;
  const auto [found, inserted] = this->peers.try_emplace(report.peer.address);
  PeerRecord& record = found->second;
  const bool was_live = !inserted && this->live(record, now);
  const bool newer =
      inserted || report.peer.incarnation > record.peer.incarnation ||
      (report.peer.incarnation == record.peer.incarnation && stated_at > record.stated_at);
  if (!newer) {
    return false;
  }
  if (report.peer.incarnation > record.peer.incarnation) {
    record.suspect_until = {};
  }
  // A process that has begun to stop never takes work again in the same incarnation.
  const bool stopping =
      report.peer.stopping ||
      (record.peer.incarnation == report.peer.incarnation && record.peer.stopping);
  record.peer = report.peer;
  record.peer.stopping = stopping;
  record.stated_at = stated_at;
  return !was_live && this->live(record, now);
}

std::vector<PeerReport> PeerTable::SampleReports(TimePoint now) {
  std::erase_if(this->peers, [&](const auto& item) {
    return now - item.second.stated_at > this->options.forget_after;
  });
  std::vector<PeerReport> all;
  for (const auto& [address, record] : this->peers) {
    if (this->live(record, now)) {
      all.push_back({.peer = record.peer, .age = now - record.stated_at});
    }
  }
  const std::size_t kept = std::min(all.size(), this->options.reports_per_message);
  // The most recent reports come first, because most receivers do not have them yet. The others are
  // chosen by a partial Fisher-Yates shuffle, so that no peer is left out for long.
  const auto fresh =
      static_cast<std::size_t>(this->options.recent_share * static_cast<double>(kept));
  std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(fresh), all.end(),
                    [](const PeerReport& a, const PeerReport& b) { return a.age < b.age; });
  for (std::size_t i = fresh; i < kept; ++i) {
    std::swap(all[i], all[i + this->random.NextBelow(all.size() - i)]);
  }
  all.resize(kept);
  return all;
}

std::vector<PeerAddress> PeerTable::ChooseTargets(TimePoint now) {
  std::vector<PeerAddress> live_peers;
  for (const auto& [address, record] : this->peers) {
    if (this->live(record, now)) {
      live_peers.push_back(address);
    }
  }
  std::sort(live_peers.begin(), live_peers.end());
  std::vector<PeerAddress> targets;
  const auto add = [&](const PeerAddress& address) {
    if (!(address == this->self_peer.address) &&
        std::find(targets.begin(), targets.end(), address) == targets.end()) {
      targets.push_back(address);
    }
  };
  if (live_peers.empty()) {
    std::for_each(this->seeds.begin(), this->seeds.end(), add);
    return targets;
  }
  for (std::size_t i = 0; i < this->options.targets_per_message; ++i) {
    add(live_peers[this->random.NextBelow(live_peers.size())]);
  }
  // Messages to seeds reconnect parts of the fleet that have lost contact with each other.
  if (!this->seeds.empty() && this->random.NextFraction() < this->options.seed_probability) {
    add(this->seeds[this->random.NextBelow(this->seeds.size())]);
  }
  return targets;
}

Duration PeerTable::Interval(TimePoint now) const {
  return now - this->started_at < this->options.startup_duration ? this->options.startup_interval
                                                                 : this->options.gossip_interval;
}

void PeerTable::Suspect(const PeerAddress& peer, TimePoint until) {
  const auto found = this->peers.find(peer);
  if (found != this->peers.end()) {
    found->second.suspect_until = until;
  }
}

bool PeerTable::suspected(const PeerAddress& peer, TimePoint now) const {
  const auto found = this->peers.find(peer);
  return found != this->peers.end() && found->second.suspect_until > now;
}

Duration PeerTable::ComputeLossTimeout() const {
  return this->options.loss_timeout +
         this->options.loss_timeout_per_peer * static_cast<std::int64_t>(this->peers.size());
}

bool PeerTable::live(const PeerRecord& record, TimePoint now) const {
  return now - record.stated_at < this->ComputeLossTimeout();
}

std::vector<Peer> PeerTable::UsablePeers(TimePoint now) const {
  std::vector<Peer> live_peers = {this->self_peer};
  for (const auto& [address, record] : this->peers) {
    if (this->live(record, now) && record.suspect_until <= now) {
      live_peers.push_back(record.peer);
    }
  }
  std::sort(live_peers.begin(), live_peers.end(),
            [](const Peer& a, const Peer& b) { return a.address < b.address; });
  return live_peers;
}

std::size_t PeerTable::LiveCount(TimePoint now) const {
  return 1 + static_cast<std::size_t>(
                 std::count_if(this->peers.begin(), this->peers.end(),
                               [&](const auto& item) { return this->live(item.second, now); }));
}

std::vector<PeerAddress> PeerTable::WorkingPeers(TimePoint now) const {
  std::vector<PeerAddress> working;
  if (!this->self_peer.stopping) {
    working.push_back(this->self_peer.address);
  }
  for (const auto& [address, record] : this->peers) {
    if (this->live(record, now) && !record.peer.stopping) {
      working.push_back(address);
    }
  }
  std::sort(working.begin(), working.end());
  return working;
}

double PeerTable::ComputeReach(TimePoint now) const {
  const Duration window = this->ComputeLossTimeout() + this->options.reach_window;
  double live_count = 1;
  double recent_count = 1;
  for (const auto& [address, record] : this->peers) {
    if (record.peer.stopping) {
      continue;
    }
    live_count += this->live(record, now) ? 1 : 0;
    recent_count += now - record.stated_at < window ? 1 : 0;
  }
  return live_count / recent_count;
}

}  // namespace ibishold
