#include <algorithm>

#include "ibishold/fleet.h"

namespace ibishold {

PeerTable::PeerTable(PeerTableOptions options,
                     Peer self,
                     std::vector<PeerAddress> seeds,
                     std::uint64_t seed,
                     TimePoint now)
    : options(options),
      own(std::move(self)),
      seeds(std::move(seeds)),
      random(seed),
      started_at(now) {}

bool PeerTable::ApplyReport(const PeerReport& report, TimePoint now) {
  if (report.peer.address == this->own.address || report.age > this->options.forget) {
    return false;
  }
  const TimePoint heard_at = now - report.age;
  const auto [found, inserted] = this->peers.try_emplace(report.peer.address);
  Known& known = found->second;
  const bool was_live = !inserted && this->live(known, now);
  const bool newer =
      inserted || report.peer.incarnation > known.peer.incarnation ||
      (report.peer.incarnation == known.peer.incarnation && heard_at > known.heard_at);
  if (!newer) {
    return false;
  }
  if (report.peer.incarnation > known.peer.incarnation) {
    known.suspect_until = {};
  }
  // A process that has begun to stop does not take work again.
  const bool stopping = report.peer.stopping ||
                        (known.peer.incarnation == report.peer.incarnation && known.peer.stopping);
  known.peer = report.peer;
  known.peer.stopping = stopping;
  known.heard_at = heard_at;
  return !was_live && this->live(known, now);
}

std::vector<PeerReport> PeerTable::SampleReports(TimePoint now) {
  std::erase_if(this->peers, [&](const auto& item) {
    return now - item.second.heard_at > this->options.forget;
  });
  std::vector<PeerReport> all;
  for (const auto& [address, known] : this->peers) {
    if (this->live(known, now)) {
      all.push_back({.peer = known.peer, .age = now - known.heard_at});
    }
  }
  const std::size_t kept = std::min(all.size(), this->options.sample);
  // Fresh news first, because they are news to most receivers; the rest by chance (a partial
  // Fisher-Yates shuffle), so that nothing is left out for long.
  const auto fresh =
      static_cast<std::size_t>(this->options.fresh_share * static_cast<double>(kept));
  std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(fresh), all.end(),
                    [](const PeerReport& a, const PeerReport& b) { return a.age < b.age; });
  for (std::size_t i = fresh; i < kept; ++i) {
    std::swap(all[i], all[i + this->random.Below(all.size() - i)]);
  }
  all.resize(kept);
  return all;
}

std::vector<PeerAddress> PeerTable::ChooseTargets(TimePoint now) {
  std::vector<PeerAddress> live_peers;
  for (const auto& [address, known] : this->peers) {
    if (this->live(known, now)) {
      live_peers.push_back(address);
    }
  }
  std::sort(live_peers.begin(), live_peers.end());
  std::vector<PeerAddress> targets;
  const auto add = [&](const PeerAddress& address) {
    if (!(address == this->own.address) &&
        std::find(targets.begin(), targets.end(), address) == targets.end()) {
      targets.push_back(address);
    }
  };
  if (live_peers.empty()) {
    std::for_each(this->seeds.begin(), this->seeds.end(), add);
    return targets;
  }
  for (std::size_t i = 0; i < this->options.targets; ++i) {
    add(live_peers[this->random.Below(live_peers.size())]);
  }
  // Seeds join parts of the fleet that have lost each other.
  if (!this->seeds.empty() && this->random.Unit() < this->options.seed_share) {
    add(this->seeds[this->random.Below(this->seeds.size())]);
  }
  return targets;
}

Duration PeerTable::Interval(TimePoint now) const {
  return now - this->started_at < this->options.startup_duration ? this->options.first_interval
                                                                 : this->options.interval;
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

bool PeerTable::live(const Known& known, TimePoint now) const {
  const Duration silence =
      this->options.silence +
      this->options.silence_per_peer * static_cast<std::int64_t>(this->peers.size());
  return now - known.heard_at < silence;
}

std::vector<Peer> PeerTable::UsablePeers(TimePoint now) const {
  std::vector<Peer> live_peers = {this->own};
  for (const auto& [address, known] : this->peers) {
    if (this->live(known, now) && known.suspect_until <= now) {
      live_peers.push_back(known.peer);
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

}  // namespace ibishold
