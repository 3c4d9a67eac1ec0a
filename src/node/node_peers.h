#ifndef SRC_NODE_NODE_PEERS_H_
#define SRC_NODE_NODE_PEERS_H_

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/node.h"
#include "node/node_calls.h"
#include "node/node_documents.h"
#include "node/node_tenants.h"

namespace ibishold {

inline constexpr const char* kProbePath = "/ibishold/probe";

inline std::string FormatAddress(const PeerAddress& address) {
  return absl::StrCat(boost::asio::ip::address_v4(address.ip).to_string(), ":", address.port);
}

// The entry under which the connection pool knows a peer.
inline LeafEntry MakePeerEntry(const PeerAddress& address) {
  return {.id = LeafId(FormatAddress(address)),
          .address = boost::asio::ip::address_v4(address.ip).to_string(),
          .port = address.port};
}

template <PlatformTranslation Platform>
PeerAddress Node<Platform>::own_address() const {
  return this->peer_table.self().address;
}

// Returns the route with the most shards, or null if no route fans out.
template <PlatformTranslation Platform>
const Route* Node<Platform>::FindWidestRoute() const {
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
  const Route* route = this->FindWidestRoute();
  if (route == nullptr) {
    return shares;
  }
  const double share_per_shard = 1 / static_cast<double>(route->shards.size());
  std::unordered_set<std::string> data_centres;  // with usable leaves of the current shard
  for (const ServiceName& shard : route->shards) {
    data_centres.clear();
    for (const LeafEntry* leaf : this->directory.UsableLeaves(shard)) {
      if (data_centres.insert(leaf->data_centre.value).second) {
        shares[leaf->data_centre.value] += share_per_shard;
      }
    }
  }
  return shares;
}

// ---- calls handed over to a coordinator ---------------------------------------------------------

template <PlatformTranslation Platform>
void Node<Platform>::ExecuteHandOver(std::vector<HandOverAction> actions) {
  constexpr std::size_t kPeerConnections = 64;  // to one peer; further calls are queued
  for (HandOverAction& action : actions) {
    const auto found = this->handed_over_calls.find(action.ticket);
    if (action.step == HandOverStep::kSend && found != this->handed_over_calls.end()) {
      HandedOverCall& handed_over_call = found->second;
      handed_over_call.coordinator = FormatAddress(action.coordinator);
      HttpRequest request = Platform::CopyWithTimeLeft(handed_over_call.request, action.time_left);
      const auto cost = std::exchange(this->unreported_hand_over_cost, std::nullopt);
      handed_over_call.sent_at = BootClock::now();
      const auto& routes = this->coordinator.routes();
      request.headers.push_back(
          {.name = kHandOverHeader,
           .value =
               absl::StrCat(ToMicroseconds(handed_over_call.call.external_latency), ",",
                            routes ? routes->version : 0, ",", action.may_have_been_sent ? 1 : 0,
                            ",", cost ? std::to_string(ToMicroseconds(*cost)) : "")});
      if (action.single_attempt_time > Duration::zero()) {
        request.headers.push_back(
            {.name = kSingleAttemptHeader,
             .value = std::to_string(ToMicroseconds(action.single_attempt_time))});
      }
      if (handed_over_call.key) {
        request.headers.push_back(
            {.name = kKeyHashHeader, .value = FormatKeyHash(*handed_over_call.key)});
      }
      this->peer_pool.Send({.attempt = action.attempt,
                            .leaf = MakePeerEntry(action.coordinator),
                            .repeatable = handed_over_call.repeatable,
                            .connection_limit = kPeerConnections},
                           std::move(request));
    } else if (action.step == HandOverStep::kProbe) {
      this->peer_pool.Send(
          {.attempt = action.attempt,
           .leaf = MakePeerEntry(action.coordinator),
           .repeatable = true,
           .connection_limit = kPeerConnections},
          {.method = "GET", .target = kProbePath, .host = FormatAddress(action.coordinator)});
    } else if (action.step == HandOverStep::kCancel) {
      this->peer_pool.Cancel({.attempt = action.attempt});
    } else if (action.step == HandOverStep::kSuspect) {
      const TimePoint now = BootClock::now();
      this->peer_table.Suspect(action.coordinator, now + this->options.hand_over.suspect_duration);
      this->log.Write("coordinator_suspected",
                      {{"coordinator", FormatAddress(action.coordinator)}});
      this->UpdatePlan();
    } else if (action.step == HandOverStep::kCoordinateLocally &&
               found != this->handed_over_calls.end()) {
      this->RunHandedOverCall(action.ticket, action.may_have_been_sent);
    } else if (action.step == HandOverStep::kAnswer && found != this->handed_over_calls.end()) {
      const bool has_run = action.answer.kind != AnswerKind::kRefused;
      this->EndTenantCall(found->second.call.tenant, has_run,
                          BootClock::now() - found->second.arrived);
      CallerReply reply = Platform::EncodeAnswer(std::move(action.answer));
      this->EndHandOver(action.ticket, reply.status, "given_up");
      this->callers.Reply(action.ticket, reply);
    }
  }
  this->ScheduleHandOverTimer();
}

// Runs a call that no coordinator has taken. Its key may have been removed meanwhile.
template <PlatformTranslation Platform>
void Node<Platform>::RunHandedOverCall(std::uint64_t ticket, bool may_have_been_sent) {
  HandedOverCall handed_over_call = std::move(this->handed_over_calls.at(ticket));
  this->EndHandOver(ticket, 0, "run_here");
  Call& call = handed_over_call.call;
  call.time_left -= BootClock::now() - handed_over_call.arrived;
  call.may_have_been_sent = may_have_been_sent;
  const Route* route = this->coordinator.routes()->Find(call.host, call.path);
  const std::optional<AnswerReason> refusal =
      route == nullptr
          ? std::nullopt
          : this->Authorize(*route, handed_over_call.key, handed_over_call.request, call);
  if (refusal) {
    this->EndTenantCall(call.tenant, may_have_been_sent,
                        BootClock::now() - handed_over_call.arrived);
    this->callers.Reply(ticket, Platform::EncodeAnswer(MakeRefusal(
                                    *refusal, this->options.coordinator.retry_after_no_leaf)));
    return;
  }
  this->RunCall(this->callers, ticket, std::move(handed_over_call.request), std::move(call));
}

template <PlatformTranslation Platform>
void Node<Platform>::EndHandOver(std::uint64_t ticket, int status, std::string_view outcome) {
  const auto found = this->handed_over_calls.find(ticket);
  if (found == this->handed_over_calls.end()) {
    return;
  }
  const HandedOverCall& handed_over_call = found->second;
  const Duration took = BootClock::now() - handed_over_call.arrived;
  this->metrics
      .AddCounter("ibishold_handed_over_total", "Calls that another VM coordinates",
                  {{"outcome", std::string(outcome)}})
      .Add();
  const bool sampled =
      static_cast<double>(StableHash(handed_over_call.call.request_id) >> 11U) * 0x1.0p-53 <
      this->options.log_sample_rate;
  if (sampled || outcome != "answered") {
    this->log.Write("handed_over", {{"request", handed_over_call.call.request_id},
                                    {"coordinator", handed_over_call.coordinator},
                                    {"outcome", std::string(outcome)},
                                    {"status", std::to_string(status)},
                                    {"took_ms", FormatMilliseconds(took)}});
  }
  this->handed_over_calls.erase(found);
}

template <PlatformTranslation Platform>
void Node<Platform>::OnPeerReply(AttemptId attempt, HttpReply reply) {
  std::vector<HandOverAction> actions;
  const TimePoint now = BootClock::now();
  if (!reply.header(kDeclinedHeader).empty()) {
    this->hand_over.OnDeclined(attempt, now, actions);
  } else if (const auto ticket = this->hand_over.OnReply(attempt, now, actions)) {
    const HandedOverCall& handed_over_call = this->handed_over_calls.at(*ticket);
    this->caller_path.RecordAnswerSize(handed_over_call.route,
                                       EstimateReplyBytes(reply.headers, reply.body));
    if (const auto took_us = ParseNumber<std::int64_t>(reply.header(kCoordinatorTimeHeader))) {
      this->unreported_hand_over_cost =
          now - handed_over_call.sent_at - std::chrono::microseconds(*took_us);
    }
    this->EndTenantCall(handed_over_call.call.tenant, reply.header(kNotRunHeader).empty(),
                        now - handed_over_call.arrived);
    RemoveInternalHeaders(reply.headers);
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
void Node<Platform>::ScheduleHandOverTimer() {
  const std::optional<TimePoint> next = this->hand_over.NextTimer();
  if (next == this->hand_over_timer_expiry) {
    return;
  }
  this->hand_over_timer_expiry = next;
  if (!next) {
    this->hand_over_timer.cancel();
    return;
  }
  this->hand_over_timer.expires_after(std::max(Duration::zero(), *next - BootClock::now()));
  this->hand_over_timer.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    this->hand_over_timer_expiry.reset();
    std::vector<HandOverAction> actions;
    this->hand_over.OnTimer(BootClock::now(), actions);
    this->ExecuteHandOver(std::move(actions));
  });
}

// ---- requests from other VMs --------------------------------------------------------------------

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
    const auto epoch = numbers.size() > 2 ? ParseNumber<std::uint64_t>(numbers[2]) : 0;
    if (!after || !wait_ms || !epoch) {
      this->peer_port.Reply(ticket, {.status = 400});
      return;
    }
    this->peer_document_requests.push_back(
        {.ticket = ticket,
         .after = {*after, *epoch},
         .until = BootClock::now() + std::chrono::milliseconds(*wait_ms)});
    this->AnswerDocumentRequests(false);
    return;
  }
  const auto numbers = SplitText(request.header(kHandOverHeader), ',');
  const auto time_outside_us = ParseNumber<std::int64_t>(numbers[0]);
  const auto version = numbers.size() > 1 ? ParseNumber<std::uint64_t>(numbers[1]) : std::nullopt;
  if (!time_outside_us || !version || numbers.size() != 4) {
    this->peer_port.Reply(ticket, {.status = 400});
    return;
  }
  const bool may_have_been_sent = numbers[2] == "1";
  const std::chrono::microseconds single_attempt_time(
      ParseNumber<std::uint32_t>(request.header(kSingleAttemptHeader)).value_or(0));
  std::optional<KeyHash> key = ParseKeyHash(request.header(kKeyHashHeader));
  if (!key) {
    // The sender's configuration may not have tenants yet.
    key = Platform::FindKeyHash(request);
  }
  RemoveInternalHeaders(request.headers);
  const auto& routes = this->coordinator.routes();
  // A VM that knows newer routes must not get an answer computed with older ones.
  if (!routes || routes->version < *version || this->directory.size() == 0) {
    this->peer_port.Reply(ticket, {.status = 503, .headers = {{kDeclinedHeader, "1"}}});
    return;
  }
  const Route* route = routes->Find(request.host, request.path());
  if (route != nullptr && !this->coordinator.HasTimeBeforeStop(*route, BootClock::now())) {
    this->peer_port.Reply(ticket, {.status = 503, .headers = {{kDeclinedHeader, "1"}}});
    return;
  }
  if (const auto cost_us = ParseNumber<std::int64_t>(numbers[3])) {
    this->caller_path.RecordHandOverCost(std::chrono::microseconds(*cost_us));
  }
  Call call = Platform::DecodeCall(request, std::chrono::microseconds(*time_outside_us) +
                                                this->caller_path.EstimateHandOverCost());
  call.may_have_been_sent = may_have_been_sent;
  call.single_attempt_time = single_attempt_time;
  if (route != nullptr) {
    if (const auto refusal = this->Authorize(*route, key, request, call)) {
      CallerReply reply = Platform::EncodeAnswer(
          MakeRefusal(*refusal, this->options.coordinator.retry_after_no_leaf));
      reply.headers.push_back({.name = kNotRunHeader, .value = "1"});
      this->peer_port.Reply(ticket, reply);
      return;
    }
  }
  this->RunCall(this->peer_port, ticket, std::move(request), std::move(call));
}

// Answers the waiting peers that lack a change or whose wait is over; if `all` is true, answers
// every waiting peer.
template <PlatformTranslation Platform>
void Node<Platform>::AnswerDocumentRequests(bool all) {
  const TimePoint now = BootClock::now();
  std::vector<PeerDocumentRequest> due;
  std::erase_if(this->peer_document_requests, [&](const PeerDocumentRequest& waiting) {
    const bool is_due = all || waiting.until <= now || this->mirror.as_of() > waiting.after;
    if (is_due) {
      due.push_back(waiting);
    }
    return is_due;
  });
  for (const PeerDocumentRequest& waiting : due) {
    DocumentUpdate update = {.as_of = this->mirror.as_of(), .in_touch = this->feed.in_touch()};
    if (this->mirror.as_of() > waiting.after) {
      if (auto changes = this->mirror.ChangesAfter(waiting.after)) {
        update.changes = *std::move(changes);
      } else {
        update.complete = true;
        update.changes = this->mirror.AllDocuments();
      }
    }
    this->peer_port.Reply(waiting.ticket, {.body = EncodeDocumentUpdate(update)});
  }
}

}  // namespace ibishold

#endif  // SRC_NODE_NODE_PEERS_H_
