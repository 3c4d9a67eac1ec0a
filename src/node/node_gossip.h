#ifndef SRC_NODE_NODE_GOSSIP_H_
#define SRC_NODE_NODE_GOSSIP_H_

#include <utility>

#include "ibishold/node.h"
#include "node/node_peers.h"
#include "node/node_tenants.h"

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
          const std::string_view datagram(this->gossip_input.data(), bytes);
          const PeerAddress from = {.ip = this->gossip_sender.address().to_v4().to_uint(),
                                    .port = this->gossip_sender.port()};
          if (const auto usage = DecodeUsage(datagram)) {
            this->OnUsageMessage(*usage, from);
          } else if (const auto message = DecodeGossip(datagram)) {
            this->OnGossip(*message, from);
          }
        }
        this->ReceiveGossip();
      });
}

template <PlatformTranslation Platform>
void Node<Platform>::OnGossip(const GossipMessage& message, const PeerAddress& from) {
  const TimePoint now = BootClock::now();
  bool joined = this->peer_table.ApplyReport({.peer = message.sender}, now);
  if (joined) {
    this->log.Write("peer_found", {{"peer", FormatAddress(from)},
                                   {"data_centre", message.sender.data_centre.value}});
    this->SendGossipTo({from}, now);
  }
  for (const PeerReport& report : message.peers) {
    joined = this->peer_table.ApplyReport(report, now) || joined;
  }
  this->feed.OnPeerRevision(from, message.documents_as_of, this->mirror.as_of(), now);
  for (const CallRefusal& refusal : message.refusals) {
    this->coordinator.crash_guard().MergeRefusal(refusal, now);
  }
  for (const LeafCrash& crash : message.crashes) {
    this->coordinator.crash_guard().RecordPeerCrash(crash, now);
  }
  for (LeafLimitReport limit : message.limits) {
    limit.age += this->pause_detector.EstimateWait(now);
    if (this->coordinator.limits().RecordPeerReport(limit, now)) {
      this->LogLeafLimit(limit, FormatAddress(from));
    }
  }
  this->MergeTenantStates(message.tenant_states, now);
  for (const SilentLeaf& silent_leaf : message.silent_leaves) {
    if (this->directory.Find(silent_leaf.leaf) != nullptr) {
      this->coordinator.tracker().RecordPeerSilence(silent_leaf, now);
    }
  }
  for (const LeavingLeaf& leaving : message.leaving_leaves) {
    if (this->coordinator.notices().RecordPeerLeaving(leaving, now)) {
      this->ApplyLeafNotice({.leaf = leaving, .leaving = true}, FormatAddress(from));
    }
  }
  if (joined) {
    this->UpdatePlan();
  }
}

// Fails the requests that still wait for a connection to the leaf, so that they are sent to another
// leaf.
template <PlatformTranslation Platform>
void Node<Platform>::ApplyLeafNotice(const LeafNotice& notice, const std::string& seen_by) {
  this->pool.FailWaiting(notice.leaf.leaf);
  this->log.Write("leaf_notice", {{"leaf", notice.leaf.leaf.value},
                                  {"notice", notice.leaving ? "leaving" : "come_back_later"},
                                  {"wait_ms", FormatMilliseconds(notice.wait)},
                                  {"seen_by", seen_by}});
}

// Reduces `items` to a random choice of at most `count`.
template <typename Item>
void KeepRandom(std::vector<Item>& items, std::size_t count, Random& random) {
  for (std::size_t i = 0; i < std::min(items.size(), count); ++i) {
    std::swap(items[i], items[i + random.NextBelow(items.size() - i)]);
  }
  items.resize(std::min(items.size(), count));
}

// Random choice of the VMs that send fan-out requests to the same leaves as this one.
template <PlatformTranslation Platform>
std::vector<PeerAddress> Node<Platform>::PickLeafReportTargets() {
  if (this->plan.direct) {
    return this->PickRandomPeers(this->options.leaf_report_targets);
  }
  std::vector<PeerAddress> targets = this->plan.coordinators;
  std::erase(targets, this->own_address());
  // The number of receivers is constant, so that the messages of each VM don't grow with the fleet.
  KeepRandom(targets, this->options.leaf_report_targets, this->random);
  return targets;
}

template <PlatformTranslation Platform>
std::vector<PeerAddress> Node<Platform>::PickRandomPeers(std::size_t count) {
  std::vector<PeerAddress> targets;
  for (const Peer& peer : this->peer_table.UsablePeers(BootClock::now())) {
    targets.push_back(peer.address);
  }
  std::erase(targets, this->own_address());
  KeepRandom(targets, count, this->random);
  return targets;
}

// Applies the notices that leaves sent in their replies, and tells other VMs which leaves are about
// to stop, have crashed or do not answer.
template <PlatformTranslation Platform>
void Node<Platform>::ProcessLeafReports() {
  GossipMessage message = {.silent_leaves = this->coordinator.tracker().TakeSilentLeaves(),
                           .crashes = this->coordinator.crash_guard().TakeReports()};
  for (const LeafNotice& notice : this->coordinator.notices().TakeNotices()) {
    this->ApplyLeafNotice(notice, "self");
    if (notice.leaving) {
      message.leaving_leaves.push_back(notice.leaf);
    }
  }
  this->SendLimitReports(this->coordinator.limits().TakeReports(BootClock::now()));
  if (message.silent_leaves.empty() && message.leaving_leaves.empty() && message.crashes.empty()) {
    return;
  }
  this->metrics.AddCounter("ibishold_silent_leaves_total", "Leaves seen silent by this VM")
      .Add(message.silent_leaves.size());
  for (const SilentLeaf& silent_leaf : message.silent_leaves) {
    this->log.Write("leaf_silent", {{"leaf", silent_leaf.leaf.value},
                                    {"waited_ms", FormatMilliseconds(silent_leaf.request_age)}});
  }
  for (const LeafCrash& crash : message.crashes) {
    this->log.Write(
        "leaf_crash",
        {{"fingerprint", absl::StrCat(absl::Hex(crash.fingerprint))},
         {"service", absl::StrCat(absl::Hex(crash.service))},
         {"known_crashes",
          std::to_string(this->coordinator.crash_guard().CountCrashes(crash.fingerprint))}});
  }
  std::vector<LeafCrash> crashes = message.crashes;
  this->SendLeafReports(std::move(message), this->PickLeafReportTargets());
  if (!crashes.empty() && !this->plan.direct) {
    // Calls of one leaf are run by the VM that gets them, whatever the plan, so any VM may get the
    // next request of the call.
    this->SendLeafReports({.crashes = std::move(crashes)},
                          this->PickRandomPeers(this->options.leaf_report_targets));
  }
}

// Tells other VMs what leaves have newly stated to this one. Any VM may send to these leaves, and
// the coordinators send most.
template <PlatformTranslation Platform>
void Node<Platform>::SendLimitReports(const std::vector<LeafLimitReport>& reports) {
  if (reports.empty()) {
    return;
  }
  for (const LeafLimitReport& report : reports) {
    this->LogLeafLimit(report, "self");
  }
  std::vector<PeerAddress> targets = this->PickRandomPeers(this->options.leaf_report_targets);
  if (!this->plan.direct) {
    const std::vector<PeerAddress> coordinators = this->PickLeafReportTargets();
    targets.insert(targets.end(), coordinators.begin(), coordinators.end());
  }
  this->SendLeafReports({.limits = reports}, targets);
}

template <PlatformTranslation Platform>
void Node<Platform>::LogLeafLimit(const LeafLimitReport& report, const std::string& seen_by) {
  std::string leaf = absl::StrCat(absl::Hex(report.leaf));
  this->directory.ForEach([&](const LeafEntry& entry) {
    if (HashLeafRun(entry.id, entry.started) == report.leaf) {
      leaf = entry.id.value;
    }
  });
  this->log.Write("leaf_notice", {{"leaf", std::move(leaf)},
                                  {"notice", report.rate ? "rate_limit" : "rate_limit_ended"},
                                  {"per_s", absl::StrFormat("%.2f", report.rate.value_or(0))},
                                  {"age_ms", FormatMilliseconds(report.age)},
                                  {"seen_by", seen_by}});
}

// Passes on the limits of leaves that this VM has just learned of from peers.
template <PlatformTranslation Platform>
void Node<Platform>::ForwardLimitNews() {
  std::vector<LeafLimitReport> news = this->coordinator.limits().TakeNews(BootClock::now());
  if (!news.empty()) {
    this->SendLeafReports({.limits = std::move(news)},
                          this->PickRandomPeers(this->options.news_targets));
  }
}

// Passes on what this VM has just learned about calls that crash leaves.
template <PlatformTranslation Platform>
void Node<Platform>::ForwardCrashNews() {
  CrashNews news = this->coordinator.crash_guard().TakeNews(BootClock::now());
  if (news.empty()) {
    return;
  }
  for (const CallRefusal& refusal : news.refusals) {
    this->log.Write("call_refusal", {{"fingerprint", absl::StrCat(absl::Hex(refusal.fingerprint))},
                                     {"service", absl::StrCat(absl::Hex(refusal.service))},
                                     {"left_ms", FormatMilliseconds(refusal.time_left)}});
  }
  this->SendLeafReports({.refusals = std::move(news.refusals), .crashes = std::move(news.crashes)},
                        this->PickRandomPeers(this->options.news_targets));
}

// Sends reports about leaves right away, outside the regular gossip. Entries that don't fit into
// the datagram are sent when a request meets the same leaf again, or with the next gossip.
template <PlatformTranslation Platform>
void Node<Platform>::SendLeafReports(GossipMessage message,
                                     const std::vector<PeerAddress>& targets) {
  const auto limit_size = [](auto& items, std::size_t max_size) {
    items.resize(std::min(items.size(), max_size));
  };
  limit_size(message.leaving_leaves, this->options.max_leaving_leaves);
  KeepRandom(message.crashes, this->options.max_crashes, this->random);
  KeepRandom(message.refusals, this->options.max_refusals, this->random);
  KeepRandom(message.limits, this->options.max_limits, this->random);
  KeepRandom(message.tenant_states, this->options.max_tenant_states, this->random);
  limit_size(message.silent_leaves, message.crashes.empty() && message.leaving_leaves.empty()
                                        ? this->options.max_silent_leaves
                                        : this->options.max_silent_leaves / 2);
  message.sender = this->peer_table.self();
  message.documents_as_of = this->mirror.as_of();
  this->SendMessage(message, targets);
}

template <PlatformTranslation Platform>
void Node<Platform>::SendGossipTo(const std::vector<PeerAddress>& targets, TimePoint now) {
  GossipMessage message = {.sender = this->peer_table.self(),
                           .peers = this->peer_table.SampleReports(now)};
  message.documents_as_of = this->mirror.as_of();
  this->SendMessage(message, targets);
  std::vector<LeavingLeaf> leaving = this->coordinator.notices().ListLeavingLeaves(now);
  CrashNews news = this->coordinator.crash_guard().ListNews(now);
  std::vector<LeafLimitReport> limits = this->coordinator.limits().ListReports(now);
  if (!leaving.empty() || !news.empty() || !limits.empty()) {
    this->SendLeafReports({.refusals = std::move(news.refusals),
                           .leaving_leaves = std::move(leaving),
                           .crashes = std::move(news.crashes),
                           .limits = std::move(limits)},
                          targets);
  }
  // In a datagram of their own, so that neither exceeds one Ethernet frame.
  if (std::vector<TenantState> tenants = this->tenant_states.List(now); !tenants.empty()) {
    this->SendLeafReports({.tenant_states = std::move(tenants)}, targets);
  }
}

template <PlatformTranslation Platform>
void Node<Platform>::SendMessage(const GossipMessage& message,
                                 const std::vector<PeerAddress>& targets) {
  const std::string bytes = EncodeGossip(message);
  for (const PeerAddress& target : targets) {
    this->SendDatagram(bytes, target);
  }
}

template <PlatformTranslation Platform>
void Node<Platform>::SendDatagram(const std::string& bytes, const PeerAddress& target) {
  boost::system::error_code ignored;  // a later message repeats what a lost datagram held
  this->gossip.send_to(boost::asio::buffer(bytes),
                       {boost::asio::ip::address_v4(target.ip), target.port}, 0, ignored);
}

template <PlatformTranslation Platform>
void Node<Platform>::SendGossip() {
  const TimePoint now = BootClock::now();
  this->SendGossipTo(this->peer_table.ChooseTargets(now), now);
  this->gossip_timer.expires_after(this->random.ApplyJitter(this->peer_table.Interval(now), 0.2));
  this->gossip_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->SendGossip();
    }
  });
}

template <PlatformTranslation Platform>
void Node<Platform>::UpdatePlan() {
  const TimePoint now = BootClock::now();
  this->plan_updated_at = now;
  constexpr Duration kRateWindow = std::chrono::seconds(2);
  if (now - this->rate_measured_at >= kRateWindow) {
    const double seconds = std::chrono::duration<double>(now - this->rate_measured_at).count();
    double& rate = this->peer_table.self().fan_out_rate;
    rate = 0.5 * rate + 0.5 * this->fan_out_calls_in_window / seconds;
    this->fan_out_calls_in_window = 0;
    this->rate_measured_at = now;
  }
  this->peer_table.self().stopping = this->stop_started_at.has_value();
  const Route* widest = this->FindWidestRoute();
  FleetPlan next =
      MakeFleetPlan(this->options.plan, this->peer_table.self(), this->peer_table.UsablePeers(now),
                    widest == nullptr ? 0 : widest->shards.size(), this->MeasureLeafShares());
  const bool peers_known = now - this->started_at > this->options.peers.startup_duration;
  next.vms = std::max(this->peer_table.LiveCount(now),
                      peers_known ? std::size_t{1} : this->options.initial_vm_count);
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
  this->UpdateLimitSenders(now);
  this->UpdateTenantSharers(now);
  this->hand_over.SetCoordinators(this->plan.coordinators, this->plan.local_coordinator_count);
}

// In a large fleet the coordinators share the limits of leaves, else all VMs.
template <PlatformTranslation Platform>
void Node<Platform>::UpdateLimitSenders(TimePoint now) {
  const std::vector<PeerAddress> vms =
      this->plan.direct ? this->peer_table.WorkingPeers(now) : this->plan.coordinators;
  RateSharers senders = {.self = ToVmNumber(this->own_address())};
  std::transform(vms.begin(), vms.end(), std::back_inserter(senders.vms), ToVmNumber);
  // A VM that has just started does not know yet how many others send.
  const bool peers_known = now - this->started_at > this->options.peers.startup_duration;
  senders.reach = peers_known ? this->peer_table.ComputeReach(now) : 0;
  this->coordinator.SetLimitSenders(std::move(senders), now);
}

}  // namespace ibishold

#endif  // SRC_NODE_NODE_GOSSIP_H_
