#ifndef SRC_NODE_NODE_CALLS_H_
#define SRC_NODE_NODE_CALLS_H_

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "ibishold/node.h"
#include "node/internal_headers.h"

namespace ibishold {

inline std::string FormatMilliseconds(Duration duration) {
  return absl::StrFormat("%.1f", ToMilliseconds(duration));
}

inline std::int64_t ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

// Approximate size of a reply on the wire.
inline std::size_t EstimateReplyBytes(const std::vector<HeaderField>& headers,
                                      const std::string& body) {
  constexpr std::size_t kStatusLineBytes = 64;
  constexpr std::size_t kSeparatorBytes = 4;  // ": " and the end of the line
  std::size_t bytes = kStatusLineBytes + body.size();
  for (const HeaderField& field : headers) {
    bytes += field.name.size() + field.value.size() + kSeparatorBytes;
  }
  return bytes;
}

template <PlatformTranslation Platform>
void Node<Platform>::OnRequest(std::uint64_t ticket, HttpRequest request, Duration caller_time) {
  RemoveInternalHeaders(request.headers);
  Call call = Platform::DecodeCall(request, caller_time);
  const auto& routes = this->coordinator.routes();
  const Route* route = routes ? routes->Find(call.host, call.path) : nullptr;
  if (route != nullptr) {
    call.external_latency += this->caller_path.EstimateTransferTime(*route);
  }
  const TimePoint now = BootClock::now();
  const std::optional<KeyHash> key = Platform::FindKeyHash(request);
  if (route != nullptr) {
    if (const auto refusal = this->Authorize(*route, key, request, call)) {
      this->callers.Reply(ticket, Platform::EncodeAnswer(MakeRefusal(
                                      *refusal, this->options.coordinator.retry_after_no_leaf)));
      return;
    }
    if (!this->TakeAllowance(ticket, call, now)) {
      return;
    }
  }
  if (route == nullptr || !this->coordinator.HasTimeBeforeStop(*route, now)) {
    this->RunCall(this->callers, ticket, std::move(request), std::move(call));
    return;
  }
  this->fan_out_calls_in_window += route->fan_out() ? 1 : 0;
  if (!this->NeedsCoordinator(*route, now)) {
    this->RunCall(this->callers, ticket, std::move(request), std::move(call));
    return;
  }
  if (this->stop_started_at) {
    // The answer must arrive before this process ends.
    call.time_left =
        std::min(call.time_left, this->coordinator.stop_end() - now + call.external_latency);
  }
  std::vector<HandOverAction> actions;
  this->hand_over.Begin(ticket, call, *route, now, actions);
  this->handed_over_calls.emplace(ticket, HandedOverCall{.request = std::move(request),
                                                         .call = std::move(call),
                                                         .route = route->name,
                                                         .key = key,
                                                         .repeatable = route->repeatable,
                                                         .arrived = now});
  this->ExecuteHandOver(std::move(actions));
}

// True if another VM must coordinate a call on this route: it fans out, or the limits of its leaves
// are shared among the coordinators.
template <PlatformTranslation Platform>
bool Node<Platform>::NeedsCoordinator(const Route& route, TimePoint now) {
  return !this->plan.self_coordinates && this->hand_over.has_coordinators() &&
         (route.fan_out() || this->coordinator.LacksLimitShare(route, now));
}

template <PlatformTranslation Platform>
void Node<Platform>::RunCall(CallerPort& port,
                             std::uint64_t ticket,
                             HttpRequest&& request,
                             Call call) {
  Actions actions;
  OpenCall open = {.port = &port,
                   .ticket = ticket,
                   .request = std::move(request),
                   .request_id = call.request_id,
                   .tenant = &port == &this->callers ? call.tenant : 0,
                   .arrived = BootClock::now()};
  if (const auto& routes = this->coordinator.routes()) {
    const Route* route = routes->Find(call.host, call.path);
    open.route = route == nullptr ? "" : route->name;
  }
  const CallId id = this->coordinator.Begin(std::move(call), BootClock::now(), actions);
  this->open_calls.emplace(id, std::move(open));
  this->calls_by_ticket[{&port, ticket}] = id;
  this->Execute(std::move(actions));
}

template <PlatformTranslation Platform>
void Node<Platform>::OnCallerLeft(CallerPort& port, std::uint64_t ticket) {
  const auto found = this->calls_by_ticket.find({&port, ticket});
  if (found == this->calls_by_ticket.end()) {
    std::vector<HandOverAction> actions;
    if (&port == &this->callers && this->handed_over_calls.contains(ticket)) {
      this->hand_over.OnCallerLeft(ticket, actions);
      this->EndHandOver(ticket, 0, "caller_left");
    }
    this->ExecuteHandOver(std::move(actions));
    return;
  }
  const CallId id = found->second;
  Actions actions;
  this->coordinator.OnCallerLeft(id, BootClock::now(), actions);
  this->calls_by_ticket.erase(found);
  this->open_calls.erase(id);
  this->Execute(std::move(actions));
}

template <PlatformTranslation Platform>
void Node<Platform>::OnLeafReply(AttemptId attempt, HttpReply reply) {
  const TimePoint now = BootClock::now();
  Actions actions;
  RemoveInternalHeaders(reply.headers);
  this->calls_by_attempt.erase(attempt);
  this->coordinator.OnReply(attempt, Platform::DecodeLeafReply(std::move(reply)), now, actions);
  this->Execute(std::move(actions));
}

template <PlatformTranslation Platform>
void Node<Platform>::OnLeafFailure(AttemptId attempt, AttemptFailure failure) {
  Actions actions;
  this->calls_by_attempt.erase(attempt);
  this->coordinator.OnFailure(attempt, failure, BootClock::now(), actions);
  this->Execute(std::move(actions));
}

template <PlatformTranslation Platform>
void Node<Platform>::Execute(Actions actions) {
  for (Action& action : actions) {
    if (auto* send = std::get_if<SendAction>(&action)) {
      this->calls_by_attempt[send->attempt] = send->call;
      this->pool.Send(*send,
                      Platform::BuildLeafRequest(this->open_calls.at(send->call).request, *send));
    } else if (const auto* cancel = std::get_if<CancelAction>(&action)) {
      this->calls_by_attempt.erase(cancel->attempt);
      this->pool.Cancel(*cancel);
    } else {
      auto& answer = std::get<AnswerAction>(action);
      const auto found = this->open_calls.find(answer.call);
      CallerPort* port = found->second.port;
      const std::uint64_t ticket = found->second.ticket;
      const TimePoint arrived = found->second.arrived;
      const std::string route = std::move(found->second.route);
      const TenantKey tenant = found->second.tenant;
      const AnswerKind kind = answer.answer.kind;
      const bool has_run = kind != AnswerKind::kRefused && kind != AnswerKind::kNoRoute;
      this->calls_by_ticket.erase({port, ticket});
      this->open_calls.erase(found);
      const bool is_forwarded = port == &this->peer_port;
      const Duration took = BootClock::now() - arrived;
      CallerReply reply = Platform::EncodeAnswer(std::move(answer.answer));
      if (is_forwarded) {
        reply.headers.push_back(
            {.name = kCoordinatorTimeHeader, .value = std::to_string(ToMicroseconds(took))});
        if (!has_run) {
          reply.headers.push_back({.name = kNotRunHeader, .value = "1"});
        }
      }
      this->EndTenantCall(tenant, has_run, took);
      this->caller_path.RecordAnswerSize(route, EstimateReplyBytes(reply.headers, reply.body));
      port->Reply(ticket, reply);
    }
  }
  this->RecordFinishedCalls();
  this->ProcessLeafReports();
  this->ScheduleCallTimer();
}

template <PlatformTranslation Platform>
void Node<Platform>::ScheduleCallTimer() {
  const std::optional<TimePoint> next = this->coordinator.NextTimer();
  if (next == this->call_timer_expiry) {
    return;
  }
  this->call_timer_expiry = next;
  if (!next) {
    this->call_timer.cancel();
    return;
  }
  this->call_timer.expires_after(std::max(Duration::zero(), *next - BootClock::now()));
  this->call_timer.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    this->call_timer_expiry.reset();
    Actions actions;
    this->coordinator.OnTimer(BootClock::now(), actions);
    this->Execute(std::move(actions));
  });
}

template <PlatformTranslation Platform>
void Node<Platform>::RecordFinishedCalls() {
  for (const CallSummary& call : this->coordinator.TakeSummaries()) {
    const Labels labels = {{"route", call.route},
                           {"reason", std::string(ToName(kAnswerReasonNames, call.reason))}};
    this->metrics.AddCounter("ibishold_calls_total", "Calls answered", labels).Add();
    this->metrics
        .AddCounter("ibishold_leaf_sends_total", "Requests sent to leaves", {{"route", call.route}})
        .Add(call.attempts);
    this->metrics
        .AddCounter("ibishold_extra_sends_total", "Requests sent to a second leaf",
                    {{"route", call.route}})
        .Add(call.extra_attempts);
    this->metrics
        .AddCounter("ibishold_remote_sends_total", "Requests sent to leaves in other data centres",
                    {{"route", call.route}})
        .Add(call.remote_attempts);
    this->metrics.AddLatency("ibishold_call_seconds", "Time to answer", {{"route", call.route}})
        .Record(call.duration);
    const bool usual =
        (call.reason == AnswerReason::kComplete || call.reason == AnswerReason::kLeafAnswer) &&
        call.duration < call.objective && call.extra_attempts == 0;
    const bool sampled = static_cast<double>(StableHash(call.request_id) >> 11U) * 0x1.0p-53 <
                         this->options.log_sample_rate;
    if (usual && !sampled) {
      continue;
    }
    std::vector<LogField> fields = {
        {"request", call.request_id},
        {"fingerprint", absl::StrCat(absl::Hex(call.fingerprint))},
        {"route", call.route},
        {"routes_version", std::to_string(call.route_table_version)},
        {"documents_as_of", FormatRevision(this->mirror.as_of())},
        {"answer", std::string(ToName(kAnswerKindNames, call.kind))},
        {"reason", std::string(ToName(kAnswerReasonNames, call.reason))},
        {"took_ms", FormatMilliseconds(call.duration)},
        {"objective_ms", FormatMilliseconds(call.objective)},
        {"shards", absl::StrCat(call.shards - call.missing_shards, " of ", call.shards)},
        {"sends", std::to_string(call.attempts)},
        {"extra_sends", std::to_string(call.extra_attempts)},
        {"remote_sends", std::to_string(call.remote_attempts)}};
    std::string steps;
    for (const CallEvent& note : call.events) {
      absl::StrAppend(&steps, steps.empty() ? "" : "; ", FormatMilliseconds(note.elapsed), " ",
                      std::string(note.event), " ", note.service, " ", note.leaf,
                      note.detail.empty() ? "" : " ", note.detail);
    }
    if (!steps.empty()) {
      fields.push_back({"steps", std::move(steps)});
    }
    const bool failed = call.kind != AnswerKind::kPassedThrough &&
                        call.kind != AnswerKind::kMerged &&
                        call.reason != AnswerReason::kNoConfiguration;
    if (failed) {
      // Exempt from the limit of log lines, because operators search for failed calls.
      this->log.WriteUnthrottled("call", fields);
    } else {
      this->log.Write("call", fields);
    }
  }
}

template <PlatformTranslation Platform>
void Node<Platform>::OnStatusRequest(CallerPort& port,
                                     std::uint64_t ticket,
                                     const HttpRequest& request) {
  const std::string_view path = request.path();
  if (path == Platform::kReadinessPath) {
    port.Reply(ticket, {.status = this->ready() ? 200 : 503});
  } else if (path == "/metrics") {
    port.Reply(ticket, {.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                        .body = this->metrics.SerializeText()});
  } else if (path == "/debug/state") {
    port.Reply(ticket,
               {.headers = {{"Content-Type", "application/json"}}, .body = this->DebugState()});
  } else {
    port.Reply(ticket, {.status = 404});
  }
}

template <PlatformTranslation Platform>
std::string Node<Platform>::DebugState() const {
  const auto& routes = this->coordinator.routes();
  return absl::StrCat(
      "{\"vm\":\"", this->settings.vm.value, "\",\"ready\":", this->ready() ? "true" : "false",
      ",\"routes_version\":", routes ? routes->version : 0,
      ",\"documents_as_of\":", this->mirror.as_of().number,
      ",\"documents_epoch\":", this->mirror.as_of().epoch,
      ",\"store_in_touch\":", this->store_in_touch ? "true" : "false", ",\"feed_step\":\"",
      std::string(ToName(kFeedStepNames, this->feed_action.step)),
      "\",\"feed_waited_ms\":", FormatMilliseconds(BootClock::now() - this->feed_started_at),
      ",\"leaves\":", this->directory.size(),
      ",\"limited_leaves\":", this->coordinator.limits().ListReports(BootClock::now()).size(),
      ",\"tenants\":", routes ? routes->tenants.all().size() : 0,
      ",\"limited_tenants\":", this->FormatLimitedTenants(),
      ",\"calls\":", this->coordinator.in_progress(),
      ",\"connections_opened\":", this->pool.counts().opened,
      ",\"connections_reused\":", this->pool.counts().reused,
      ",\"log_dropped\":", this->log.dropped(), "}");
}

}  // namespace ibishold

#endif  // SRC_NODE_NODE_CALLS_H_
