#ifndef SRC_NODE_NODE_PEERS_H_
#define SRC_NODE_NODE_PEERS_H_

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/node.h"
#include "node/node_calls.h"
#include "node/node_documents.h"

namespace ibishold {

// On requests that are handed over: "OUTSIDE_US,VERSION,SENT,COST_US", where OUTSIDE_US is
// Call::external_latency at the VM that hands over, SENT is 1 if leaves may have it already, and
// COST_US is the newest measured cost of a hand-over, or empty.
inline constexpr const char* kHandOverHeader = "Ibishold-Hand-Over";
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

// The route with most shards, or null.
template <PlatformTranslation Platform>
const Route* Node<Platform>::WidestRoute() const {
  const Route* widest = nullptr;
  if (const auto& routes = this->coordinator.routes()) {
    for (const Route& route : routes->routes) {
      if (route.fan_out() && (widest == nullptr || route.shards.size() > widest->shards.size())) {
        widest = &route;
      }
    }
  }
  return widest;
}

template <PlatformTranslation Platform>
LeafShares Node<Platform>::MeasureLeafShares() const {
  LeafShares shares;
  const Route* route = this->WidestRoute();
  if (route == nullptr) {
    return shares;
  }
  const double one = 1 / static_cast<double>(route->shards.size());
  std::unordered_set<std::string> centres;  // of one shard
  for (const ServiceName& shard : route->shards) {
    centres.clear();
    for (const LeafEntry* leaf : this->directory.Usable(shard)) {
      if (centres.insert(leaf->data_centre.value).second) {
        shares[leaf->data_centre.value] += one;
      }
    }
  }
  return shares;
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
      const auto cost = std::exchange(this->hand_over_cost, std::nullopt);
      handed.sent_at = BootClock::now();
      const auto& routes = this->coordinator.routes();
      request.headers.push_back(
          {.name = kHandOverHeader,
           .value =
               absl::StrCat(Microseconds(handed.call.external_latency), ",",
                            routes ? routes->version : 0, ",", action.may_have_been_sent ? 1 : 0,
                            ",", cost ? std::to_string(Microseconds(*cost)) : "")});
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
      this->peer_table.Suspect(action.coordinator, now + this->options.hand_over.suspect_duration);
      this->log.Write("coordinator_suspected", {{"coordinator", AddressText(action.coordinator)}});
      this->UpdatePlan();
    } else if (action.step == HandOverStep::kCoordinateLocally &&
               found != this->handed_over.end()) {
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
    const HandedOver& handed = this->handed_over.at(*ticket);
    this->caller_path.RecordAnswerSize(handed.route, ReplyBytes(reply.headers, reply.body));
    if (const auto took_us = ParseNumber<std::int64_t>(reply.header(kTookHeader))) {
      this->hand_over_cost = now - handed.sent_at - std::chrono::microseconds(*took_us);
    }
    std::erase_if(reply.headers, [](const HeaderField& field) {
      return EqualsIgnoreCase(field.name, kTookHeader);
    });
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
void Node<Platform>::OnPeerRequest(std::uint64_t ticket, HttpRequest request) {
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
  const auto outside_us = ParseNumber<std::int64_t>(numbers[0]);
  const auto version = numbers.size() > 1 ? ParseNumber<std::uint64_t>(numbers[1]) : std::nullopt;
  if (!outside_us || !version || numbers.size() != 4) {
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
  if (const auto cost_us = ParseNumber<std::int64_t>(numbers[3])) {
    this->caller_path.RecordHandOverCost(std::chrono::microseconds(*cost_us));
  }
  Call call = Platform::DecodeCall(
      request, std::chrono::microseconds(*outside_us) + this->caller_path.HandOverCost());
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

}  // namespace ibishold

#endif  // SRC_NODE_NODE_PEERS_H_
