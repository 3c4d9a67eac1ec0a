#ifndef SRC_NODE_NODE_GOSSIP_H_
#define SRC_NODE_NODE_GOSSIP_H_

#include <utility>

#include "ibishold/node.h"
#include "node/node_peers.h"

namespace ibishold {

template <PlatformTranslation Platform>
void Node<Platform>::ReceiveGossip() {
  this->gossip.async_receive_from(
      boost::asio::buffer(this->gossip_input), this->gossip_sender,
      [this](boost::system::error_code error, std::size_t bytes) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          if (const auto message =
                  DecodeGossip(std::string_view(this->gossip_input.data(), bytes))) {
            this->OnGossip(*message, {.ip = this->gossip_sender.address().to_v4().to_uint(),
                                      .port = this->gossip_sender.port()});
          }
        }
        this->ReceiveGossip();
      });
}

template <PlatformTranslation Platform>
void Node<Platform>::OnGossip(const GossipMessage& message, const PeerAddress& from) {
  const TimePoint now = BootClock::now();
  bool joined = this->peer_table.Heard({.peer = message.sender}, now);
  if (joined) {
    this->log.Write("peer_found", {{"peer", AddressText(from)},
                                   {"data_centre", message.sender.data_centre.value}});
    this->SendGossipTo({from}, now);
  }
  for (const PeerReport& report : message.peers) {
    joined = this->peer_table.Heard(report, now) || joined;
  }
  this->feed.HeardOf(from, message.documents_as_of, this->mirror.as_of(), now);
  for (const std::uint64_t fingerprint : message.refused_calls) {
    this->coordinator.crash_guard().Refuse(fingerprint, now);
  }
  for (const SilentLeaf& silent : message.silent_leaves) {
    if (this->directory.Find(silent.leaf) != nullptr &&
        this->coordinator.tracker().HeardSilent(silent, now)) {
      this->LogSilentLeaf(silent, AddressText(from));
    }
  }
  if (joined) {
    this->UpdatePlan();
  }
}

template <PlatformTranslation Platform>
void Node<Platform>::LogSilentLeaf(const SilentLeaf& silent, const std::string& seen_by) {
  this->log.Write("leaf_silent", {{"leaf", silent.leaf.value},
                                  {"waited_ms", MillisecondText(silent.waited)},
                                  {"seen_by", seen_by}});
}

// Tells the VMs that send to the same leaves which of them do not answer.
template <PlatformTranslation Platform>
void Node<Platform>::TellSilentLeaves() {
  std::vector<SilentLeaf> silent_leaves = this->coordinator.tracker().TakeSilent();
  if (silent_leaves.empty()) {
    return;
  }
  // Those left out are told when a request meets them again.
  silent_leaves.resize(std::min(silent_leaves.size(), this->options.silent_leaves_told));
  this->metrics.AddCounter("ibishold_silent_leaves_total", "Leaves seen silent by this VM")
      .Add(silent_leaves.size());
  for (const SilentLeaf& silent : silent_leaves) {
    this->LogSilentLeaf(silent, "self");
  }
  const TimePoint now = BootClock::now();
  std::vector<PeerAddress> targets = this->plan.coordinators;
  if (this->plan.direct) {
    targets.clear();
    for (const Peer& peer : this->peer_table.Live(now)) {
      targets.push_back(peer.address);
    }
  }
  std::erase(targets, this->OwnAddress());
  // A constant number of receivers bounds the messages of each VM at any size of the fleet.
  for (std::size_t i = 0; i < std::min(targets.size(), this->options.silence_receivers); ++i) {
    std::swap(targets[i], targets[i + this->random.Below(targets.size() - i)]);
  }
  targets.resize(std::min(targets.size(), this->options.silence_receivers));
  this->SendMessage({.sender = this->peer_table.self(),
                     .documents_as_of = this->mirror.as_of(),
                     .silent_leaves = std::move(silent_leaves)},
                    targets);
}

template <PlatformTranslation Platform>
void Node<Platform>::SendGossipTo(const std::vector<PeerAddress>& targets, TimePoint now) {
  GossipMessage message = {
      .sender = this->peer_table.self(),
      .peers = this->peer_table.Sample(now),
      .refused_calls = this->coordinator.crash_guard().RefusedFingerprints(now)};
  message.documents_as_of = this->mirror.as_of();
  message.refused_calls.resize(std::min<std::size_t>(message.refused_calls.size(), 16));
  this->SendMessage(message, targets);
}

template <PlatformTranslation Platform>
void Node<Platform>::SendMessage(const GossipMessage& message,
                                 const std::vector<PeerAddress>& targets) {
  const std::string bytes = EncodeGossip(message);
  for (const PeerAddress& target : targets) {
    boost::system::error_code ignored;  // a lost datagram is made up for by the next one
    this->gossip.send_to(boost::asio::buffer(bytes),
                         {boost::asio::ip::address_v4(target.ip), target.port}, 0, ignored);
  }
}

template <PlatformTranslation Platform>
void Node<Platform>::SendGossip() {
  const TimePoint now = BootClock::now();
  this->SendGossipTo(this->peer_table.Targets(now), now);
  this->gossip_timer.expires_after(this->random.Jitter(this->peer_table.Interval(now), 0.2));
  this->gossip_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->SendGossip();
    }
  });
}

template <PlatformTranslation Platform>
void Node<Platform>::UpdatePlan() {
  const TimePoint now = BootClock::now();
  this->planned_at = now;
  constexpr Duration kRateWindow = std::chrono::seconds(2);
  if (now - this->rate_taken_at >= kRateWindow) {
    const double seconds = std::chrono::duration<double>(now - this->rate_taken_at).count();
    double& rate = this->peer_table.self().fan_out_rate;
    rate = 0.5 * rate + 0.5 * this->fan_out_calls / seconds;
    this->fan_out_calls = 0;
    this->rate_taken_at = now;
  }
  this->peer_table.self().stopping = this->stop_began.has_value();
  FleetPlan next = MakeFleetPlan(this->options.plan, this->peer_table.self(),
                                 this->peer_table.Live(now), this->WidestRoute());
  const bool settled = now - this->started_at > this->options.peers.first_time;
  next.vms = std::max(this->peer_table.LiveCount(now),
                      settled ? std::size_t{1} : this->options.assumed_vms);
  if (next.direct) {
    next.senders = next.vms;
  }
  if (next.direct != this->plan.direct || next.senders != this->plan.senders ||
      next.self_coordinates != this->plan.self_coordinates ||
      next.self_watches != this->plan.self_watches || next.vms != this->plan.vms) {
    this->log.Write("plan", {{"vms", std::to_string(next.vms)},
                             {"direct", next.direct ? "true" : "false"},
                             {"senders", std::to_string(next.senders)},
                             {"coordinates", next.self_coordinates ? "true" : "false"},
                             {"watches", next.self_watches ? "true" : "false"},
                             {"coordinators", std::to_string(next.coordinators.size())},
                             {"watchers", std::to_string(next.watchers.size())}});
  }
  this->plan = std::move(next);
  this->coordinator.SetSenders(this->plan.senders, this->plan.vms);
  this->hand_over.SetPlan(this->plan.coordinators, this->plan.near_coordinators);
}

}  // namespace ibishold

#endif  // SRC_NODE_NODE_GOSSIP_H_
