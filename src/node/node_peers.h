#ifndef SRC_NODE_NODE_PEERS_H_
#define SRC_NODE_NODE_PEERS_H_

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/node.h"
#include "node/node_calls.h"
#include "node/node_documents.h"

namespace ibishold {

// Headers between VMs, on requests that are handed over.
inline constexpr const char* kHandOverHeader = "Ibishold-Hand-Over";  // "RTT_US,VERSION,SENT"
// Set in a reply: the call was not taken and nothing was sent for it.
inline constexpr const char* kDeclinedHeader = "Ibishold-Declined";
inline constexpr const char* kProbePath = "/ibishold/probe";

inline std::string AddressText(const PeerAddress& address) {
  return absl::StrCat(boost::asio::ip::address_v4(address.ip).to_string(), ":", address.port);
}

// A peer as a server of the connection pool.
inline LeafEntry PeerServer(const PeerAddress& address) {
  return {.id = LeafId(AddressText(address)),
          .address = boost::asio::ip::address_v4(address.ip).to_string(),
          .port = address.port};
}

template <PlatformTranslation Platform>
PeerAddress Node<Platform>::OwnAddress() const {
  return this->peer_table.self().address;
}

template <PlatformTranslation Platform>
std::size_t Node<Platform>::WidestRoute() const {
  std::size_t widest = 0;
  if (const auto& routes = this->coordinator.routes()) {
    for (const Route& route : routes->routes) {
      widest = std::max(widest, route.shards.size());
    }
  }
  return widest;
}

// ---- calls that are handed over -----------------------------------------------------------------

template <PlatformTranslation Platform>
void Node<Platform>::ExecuteHandOver(std::vector<HandOverAction> actions) {
  constexpr std::size_t kPeerConnections = 64;  // to one peer; calls beyond it wait for their turn
  for (HandOverAction& action : actions) {
    const auto found = this->handed_over.find(action.ticket);
    if (action.step == HandOverStep::kSend && found != this->handed_over.end()) {
      HandedOver& handed = found->second;
      handed.coordinator = AddressText(action.coordinator);
      HttpRequest request = Platform::WithTimeLeft(handed.request, action.time_left);
      const auto round_trip_us =
          std::chrono::duration_cast<std::chrono::microseconds>(handed.call.caller_round_trip)
              .count();
      const auto& routes = this->coordinator.routes();
      request.headers.push_back(
          {.name = kHandOverHeader,
           .value = absl::StrCat(round_trip_us, ",", routes ? routes->version : 0, ",",
                                 action.may_have_been_sent ? 1 : 0)});
      this->peer_pool.Send({.attempt = action.attempt,
                            .leaf = PeerServer(action.coordinator),
                            .repeatable = true,
                            .connection_limit = kPeerConnections},
                           std::move(request));
    } else if (action.step == HandOverStep::kProbe) {
      this->peer_pool.Send(
          {.attempt = action.attempt,
           .leaf = PeerServer(action.coordinator),
           .repeatable = true,
           .connection_limit = kPeerConnections},
          {.method = "GET", .target = kProbePath, .host = AddressText(action.coordinator)});
    } else if (action.step == HandOverStep::kCancel) {
      this->peer_pool.Cancel({.attempt = action.attempt});
    } else if (action.step == HandOverStep::kSuspect) {
      const TimePoint now = BootClock::now();
      this->peer_table.Suspect(action.coordinator, now + this->options.hand_over.suspect_time);
      this->log.Write("coordinator_suspected", {{"coordinator", AddressText(action.coordinator)}});
      this->UpdatePlan();
    } else if (action.step == HandOverStep::kRunHere && found != this->handed_over.end()) {
      HandedOver handed = std::move(found->second);
      this->EndHandOver(action.ticket, 0, "run_here");
      handed.call.time_left -= BootClock::now() - handed.arrived;
      handed.call.may_have_been_sent = action.may_have_been_sent;
      this->RunCall(this->callers, action.ticket, std::move(handed.request),
                    std::move(handed.call));
    } else if (action.step == HandOverStep::kAnswer && found != this->handed_over.end()) {
      CallerReply reply = Platform::EncodeAnswer(std::move(action.answer));
      this->EndHandOver(action.ticket, reply.status, "given_up");
      this->callers.Reply(action.ticket, reply);
    }
  }
  this->ScheduleHandOver();
}

template <PlatformTranslation Platform>
void Node<Platform>::EndHandOver(std::uint64_t ticket, int status, std::string_view outcome) {
  const auto found = this->handed_over.find(ticket);
  if (found == this->handed_over.end()) {
    return;
  }
  const HandedOver& handed = found->second;
  const Duration took = BootClock::now() - handed.arrived;
  this->metrics
      .AddCounter("ibishold_handed_over_total", "Calls that another VM coordinates",
                  {{"outcome", std::string(outcome)}})
      .Add();
  const bool sampled = static_cast<double>(StableHash(handed.call.request_id) >> 11U) * 0x1.0p-53 <
                       this->options.logged_share;
  if (sampled || outcome != "answered") {
    this->log.Write("handed_over", {{"request", handed.call.request_id},
                                    {"coordinator", handed.coordinator},
                                    {"outcome", std::string(outcome)},
                                    {"status", std::to_string(status)},
                                    {"took_ms", MillisecondText(took)}});
  }
  this->handed_over.erase(found);
}

template <PlatformTranslation Platform>
void Node<Platform>::OnPeerReply(AttemptId attempt, HttpReply reply) {
  std::vector<HandOverAction> actions;
  const TimePoint now = BootClock::now();
  if (!reply.header(kDeclinedHeader).empty()) {
    this->hand_over.OnDeclined(attempt, now, actions);
  } else if (const auto ticket = this->hand_over.OnReply(attempt, now, actions)) {
    this->EndHandOver(*ticket, reply.status, "answered");
    this->callers.Reply(*ticket, {.status = reply.status,
                                  .headers = std::move(reply.headers),
                                  .body = std::move(reply.body)});
  }
  this->ExecuteHandOver(std::move(actions));
}

template <PlatformTranslation Platform>
void Node<Platform>::OnPeerFailure(AttemptId attempt, AttemptFailure failure) {
  std::vector<HandOverAction> actions;
  this->hand_over.OnFailure(attempt, failure, BootClock::now(), actions);
  this->ExecuteHandOver(std::move(actions));
}

template <PlatformTranslation Platform>
void Node<Platform>::ScheduleHandOver() {
  const std::optional<TimePoint> next = this->hand_over.NextTimer();
  if (next == this->hand_over_timer_at) {
    return;
  }
  this->hand_over_timer_at = next;
  if (!next) {
    this->hand_over_timer.cancel();
    return;
  }
  this->hand_over_timer.expires_after(std::max(Duration::zero(), *next - BootClock::now()));
  this->hand_over_timer.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    this->hand_over_timer_at.reset();
    std::vector<HandOverAction> actions;
    this->hand_over.OnTimer(BootClock::now(), actions);
    this->ExecuteHandOver(std::move(actions));
  });
}

// ---- requests of other VMs ----------------------------------------------------------------------

template <PlatformTranslation Platform>
void Node<Platform>::OnPeerRequest(std::uint64_t ticket, HttpRequest request, Duration round_trip) {
  if (request.path() == kProbePath) {
    this->peer_port.Reply(ticket, {.status = 200});
    return;
  }
  if (request.path() == kDocumentsPath) {
    const auto numbers =
        SplitText(std::string_view(request.target)
                      .substr(std::min(request.target.size(), request.path().size() + 1)),
                  ',');
    const auto after = ParseNumber<std::uint64_t>(numbers[0]);
    const auto wait_ms = numbers.size() > 1 ? ParseNumber<std::uint32_t>(numbers[1]) : std::nullopt;
    if (!after || !wait_ms) {
      this->peer_port.Reply(ticket, {.status = 400});
      return;
    }
    this->waiting_peers.push_back(
        {.ticket = ticket,
         .after = *after,
         .until = BootClock::now() + std::chrono::milliseconds(*wait_ms)});
    this->AnswerWaitingPeers(false);
    return;
  }
  const auto numbers = SplitText(request.header(kHandOverHeader), ',');
  const auto round_trip_us = ParseNumber<std::int64_t>(numbers[0]);
  const auto version = numbers.size() > 1 ? ParseNumber<std::uint64_t>(numbers[1]) : std::nullopt;
  if (!round_trip_us || !version || numbers.size() != 3) {
    this->peer_port.Reply(ticket, {.status = 400});
    return;
  }
  const bool sent_before = numbers[2] == "1";
  std::erase_if(request.headers, [](const HeaderField& field) {
    return EqualsIgnoreCase(field.name, kHandOverHeader);
  });
  const auto& routes = this->coordinator.routes();
  // A front that has seen newer routes must not get an answer by older ones.
  if (!routes || routes->version < *version || this->directory.size() == 0) {
    this->peer_port.Reply(ticket, {.status = 503, .headers = {{kDeclinedHeader, "1"}}});
    return;
  }
  Call call = Platform::DecodeCall(request, round_trip + std::chrono::microseconds(*round_trip_us));
  call.may_have_been_sent = sent_before;
  this->RunCall(this->peer_port, ticket, std::move(request), std::move(call));
}

// Answers the peers for whom there is news or whose wait is over.
template <PlatformTranslation Platform>
void Node<Platform>::AnswerWaitingPeers(bool all) {
  const TimePoint now = BootClock::now();
  std::vector<WaitingPeer> due;
  std::erase_if(this->waiting_peers, [&](const WaitingPeer& waiting) {
    const bool ready_now = all || waiting.until <= now || this->mirror.as_of() > waiting.after;
    if (ready_now) {
      due.push_back(waiting);
    }
    return ready_now;
  });
  for (const WaitingPeer& waiting : due) {
    DocumentUpdate update = {.as_of = this->mirror.as_of(), .in_touch = this->feed.in_touch()};
    if (this->mirror.as_of() > waiting.after) {
      if (auto changes = this->mirror.ChangesAfter(waiting.after)) {
        update.changes = *std::move(changes);
      } else {
        update.complete = true;
        update.changes = this->mirror.Snapshot();
      }
    }
    this->peer_port.Reply(waiting.ticket, {.body = EncodeDocumentUpdate(update)});
  }
}

// ---- gossip -------------------------------------------------------------------------------------

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
  GossipMessage message = {.silent_leaves = this->coordinator.tracker().TakeSilent()};
  if (message.silent_leaves.empty()) {
    return;
  }
  message.silent_leaves.resize(
      std::min(message.silent_leaves.size(), this->options.silent_leaves_told));
  this->metrics.AddCounter("ibishold_silent_leaves_total", "Leaves seen silent by this VM")
      .Add(message.silent_leaves.size());
  for (const SilentLeaf& silent : message.silent_leaves) {
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
  message.sender = this->peer_table.self();
  message.documents_as_of = this->mirror.as_of();
  this->SendMessage(message, targets);
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

#endif  // SRC_NODE_NODE_PEERS_H_
