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
  for (const CallRefusal& refusal : message.refusals) {
    this->coordinator.crash_guard().HeardRefusal(refusal, now);
  }
  for (const LeafCrash& crash : message.crashes) {
    this->coordinator.crash_guard().Heard(crash, now);
  }
  for (const SilentLeaf& silent : message.silent_leaves) {
    if (this->directory.Find(silent.leaf) != nullptr) {
      this->coordinator.tracker().HeardSilent(silent, now);
    }
  }
  for (const LeavingLeaf& leaving : message.leaving_leaves) {
    if (this->coordinator.notices().HeardLeaving(leaving, now)) {
      this->ActOnNotice({.leaf = leaving, .leaving = true}, AddressText(from));
    }
  }
  if (joined) {
    this->UpdatePlan();
  }
}

// Requests that were not sent yet go elsewhere.
template <PlatformTranslation Platform>
void Node<Platform>::ActOnNotice(const LeafNotice& notice, const std::string& seen_by) {
  this->pool.FailWaiting(notice.leaf.leaf);
  this->log.Write("leaf_notice", {{"leaf", notice.leaf.leaf.value},
                                  {"notice", notice.leaving ? "leaving" : "come_back_later"},
                                  {"wait_ms", MillisecondText(notice.wait)},
                                  {"seen_by", seen_by}});
}

// Some of the VMs that send to the same leaves as this one.
template <PlatformTranslation Platform>
std::vector<PeerAddress> Node<Platform>::SendersToLeaves() {
  std::vector<PeerAddress> targets = this->plan.coordinators;
  if (this->plan.direct) {
    targets.clear();
    for (const Peer& peer : this->peer_table.Live(BootClock::now())) {
      targets.push_back(peer.address);
    }
  }
  std::erase(targets, this->OwnAddress());
  // A constant number of receivers bounds the messages of each VM at any size of the fleet.
  for (std::size_t i = 0; i < std::min(targets.size(), this->options.silence_receivers); ++i) {
    std::swap(targets[i], targets[i + this->random.Below(targets.size() - i)]);
  }
  targets.resize(std::min(targets.size(), this->options.silence_receivers));
  return targets;
}

// Acts on what leaves told, and tells other VMs which leaves leave, crash or do not answer.
template <PlatformTranslation Platform>
void Node<Platform>::TellOfLeaves() {
  GossipMessage message = {.silent_leaves = this->coordinator.tracker().TakeSilent(),
                           .crashes = this->coordinator.crash_guard().TakeReports()};
  for (const LeafNotice& notice : this->coordinator.notices().TakeNews()) {
    this->ActOnNotice(notice, "self");
    if (notice.leaving) {
      message.leaving_leaves.push_back(notice.leaf);
    }
  }
  if (message.silent_leaves.empty() && message.leaving_leaves.empty() && message.crashes.empty()) {
    return;
  }
  this->metrics.AddCounter("ibishold_silent_leaves_total", "Leaves seen silent by this VM")
      .Add(message.silent_leaves.size());
  for (const SilentLeaf& silent : message.silent_leaves) {
    this->log.Write("leaf_silent",
                    {{"leaf", silent.leaf.value}, {"waited_ms", MillisecondText(silent.waited)}});
  }
  this->SendNews(std::move(message), this->SendersToLeaves());
}

// News of leaves beside the regular gossip. What does not fit is told when a request meets it
// again, or with the next gossip.
template <PlatformTranslation Platform>
void Node<Platform>::SendNews(GossipMessage message, const std::vector<PeerAddress>& targets) {
  const auto cut = [](auto& items, std::size_t most) {
    items.resize(std::min(items.size(), most));
  };
  cut(message.leaving_leaves, this->options.leaving_leaves_told);
  cut(message.crashes, this->options.crashes_told);
  cut(message.silent_leaves, message.crashes.empty() && message.leaving_leaves.empty()
                                 ? this->options.silent_leaves_told
                                 : this->options.silent_leaves_told / 2);
  message.sender = this->peer_table.self();
  message.documents_as_of = this->mirror.as_of();
  this->SendMessage(message, targets);
}

template <PlatformTranslation Platform>
void Node<Platform>::SendGossipTo(const std::vector<PeerAddress>& targets, TimePoint now) {
  GossipMessage message = {.sender = this->peer_table.self(),
                           .peers = this->peer_table.Sample(now),
                           .refusals = this->coordinator.crash_guard().Refusals(now)};
  message.documents_as_of = this->mirror.as_of();
  message.refusals.resize(std::min(message.refusals.size(), this->options.refusals_told));
  this->SendMessage(message, targets);
  std::vector<LeavingLeaf> leaving = this->coordinator.notices().RecentlyLeaving(now);
  if (!leaving.empty()) {
    this->SendNews({.leaving_leaves = std::move(leaving)}, targets);
  }
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
  const Route* widest = this->WidestRoute();
  FleetPlan next =
      MakeFleetPlan(this->options.plan, this->peer_table.self(), this->peer_table.Live(now),
                    widest == nullptr ? 0 : widest->shards.size(), this->MeasureLeafShares());
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
  this->coordinator.SetSenderCounts(this->plan.senders, this->plan.vms);
  this->hand_over.SetCoordinators(this->plan.coordinators, this->plan.near_coordinators);
}

}  // namespace ibishold

#endif  // SRC_NODE_NODE_GOSSIP_H_
