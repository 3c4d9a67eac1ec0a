#ifndef SRC_NODE_NODE_TENANTS_H_
#define SRC_NODE_NODE_TENANTS_H_

#include <boost/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "ibishold/node.h"
#include "node/internal_headers.h"
#include "node/node_calls.h"

namespace ibishold {

inline std::uint64_t ToVmNumber(const PeerAddress& address) {
  return std::uint64_t{address.ip} << 16U | address.port;
}

inline PeerAddress FromVmNumber(std::uint64_t number) {
  return {.ip = static_cast<std::uint32_t>(number >> 16U),
          .port = static_cast<std::uint16_t>(number & 0xffffU)};
}

// Checks the caller's key and states its tenant in the request and the call. Returns the reason for
// a refusal, if the call must be refused.
template <PlatformTranslation Platform>
std::optional<AnswerReason> Node<Platform>::Authorize(const Route& route,
                                                      const std::optional<KeyHash>& key,
                                                      HttpRequest& request,
                                                      Call& call) {
  const TenantTable& tenants = this->coordinator.routes()->tenants;
  if (!tenants.required()) {
    return std::nullopt;
  }
  if (route.anonymous) {
    Platform::SetTenant(request, nullptr);
    return std::nullopt;
  }
  if (this->settings.strict_revocation &&
      BootClock::now() - this->documents_confirmed_at > this->settings.revocation_time) {
    return AnswerReason::kNoConfiguration;
  }
  const Tenant* tenant = key ? tenants.FindTenant(*key) : nullptr;
  if (tenant == nullptr) {
    this->metrics.AddCounter("ibishold_unknown_keys_total", "Calls without the key of a tenant")
        .Add();
    return AnswerReason::kUnknownKey;
  }
  Platform::SetTenant(request, &tenant->name);
  call.tenant = StableHash(tenant->name.value);
  call.priority = tenant->priority;
  return std::nullopt;
}

// Returns the answer to a call that Authorize() refused.
inline Answer MakeRefusal(AnswerReason reason, Duration retry_after) {
  return {
      .kind = reason == AnswerReason::kUnknownKey ? AnswerKind::kUnknownKey : AnswerKind::kRefused,
      .reason = reason,
      .retry_after = retry_after};
}

// Refuses the call if its tenant is over its allowance. Returns false if it did.
template <PlatformTranslation Platform>
bool Node<Platform>::TakeAllowance(std::uint64_t ticket, const Call& call, TimePoint now) {
  if (call.tenant == 0) {
    return true;
  }
  const AllowanceDecision decision = this->allowance_gate.TryAdmit(call.tenant, now);
  this->metrics
      .AddCounter("ibishold_tenant_calls_total", "Calls of a tenant that this VM took",
                  {{"tenant", this->FormatTenant(call.tenant)},
                   {"outcome", decision.admitted ? "admitted" : "over_allowance"}})
      .Add();
  this->SendUsageReports(now);
  if (decision.admitted) {
    return true;
  }
  this->callers.Reply(ticket, Platform::EncodeAnswer({.kind = AnswerKind::kOverAllowance,
                                                      .reason = AnswerReason::kOverAllowance,
                                                      .retry_after = decision.retry_after}));
  return false;
}

// Records the end of a call that this VM took from a caller.
template <PlatformTranslation Platform>
void Node<Platform>::EndTenantCall(TenantKey tenant, bool has_run, Duration took) {
  if (tenant == 0) {
    return;
  }
  this->metrics
      .AddLatency("ibishold_tenant_call_seconds", "Time to answer the calls of a tenant",
                  {{"tenant", this->FormatTenant(tenant)}})
      .Record(took);
  if (!has_run) {
    this->allowance_gate.ReturnToken(tenant, BootClock::now());
  }
}

template <PlatformTranslation Platform>
std::string Node<Platform>::FormatTenant(TenantKey key) const {
  const auto& routes = this->coordinator.routes();
  const Tenant* tenant = routes ? routes->tenants.FindByHash(key) : nullptr;
  return tenant == nullptr ? absl::StrCat(absl::Hex(key)) : tenant->name.value;
}

// ---- accounting over the fleet ------------------------------------------------------------------

// Sends the reports that are due to the tenants' home VMs.
template <PlatformTranslation Platform>
void Node<Platform>::SendUsageReports(TimePoint now) {
  constexpr Duration kMinInterval = std::chrono::milliseconds(20);
  if (now - this->usage_reported_at < kMinInterval) {
    return;
  }
  this->usage_reported_at = now;
  for (const AllowanceGate::OutgoingReport& outgoing : this->allowance_gate.TakeReports(now)) {
    const PeerAddress home = FromVmNumber(outgoing.home);
    if (home == this->own_address()) {
      this->OnUsageMessage(outgoing.report, home);
    } else {
      this->SendDatagram(EncodeUsage(outgoing.report), home);
    }
  }
}

template <PlatformTranslation Platform>
void Node<Platform>::OnUsageMessage(const UsageMessage& message, const PeerAddress& from) {
  const TimePoint now = BootClock::now();
  if (const auto* report = std::get_if<UsageReport>(&message)) {
    if (this->stop_started_at) {
      return;  // without an acknowledgement, the report goes to the next home VM
    }
    const UsageAcknowledgement acknowledgement =
        this->usage_ledger.OnReport(ToVmNumber(from), *report, now);
    if (from == this->own_address()) {
      this->OnUsageMessage(acknowledgement, from);
    } else {
      this->SendDatagram(EncodeUsage(acknowledgement), from);
    }
    return;
  }
  const auto& acknowledgement = std::get<UsageAcknowledgement>(message);
  this->allowance_gate.OnAcknowledgement(ToVmNumber(from), acknowledgement.sequence);
  this->MergeTenantStates(acknowledgement.states, now);
}

template <PlatformTranslation Platform>
void Node<Platform>::MergeTenantStates(const std::vector<TenantState>& states, TimePoint now) {
  for (TenantState state : states) {
    state.age += this->pause_detector.EstimateWait(now);
    this->tenant_states.Merge(state, now);
  }
}

// Logs the tenants whose limiting has begun or ended, and tells other VMs of them.
template <PlatformTranslation Platform>
void Node<Platform>::UpdateTenantStates(TimePoint now) {
  this->SendUsageReports(now);
  this->usage_ledger.Update(now);
  std::vector<TenantState> own;
  std::vector<TenantState> of_peers;
  for (const TenantState& state : this->tenant_states.TakeNews(now)) {
    const bool is_own = this->usage_ledger.counts(state.tenant);
    (is_own ? own : of_peers).push_back(state);
    this->log.Write("tenant_allowance",
                    {{"tenant", this->FormatTenant(state.tenant)},
                     {"outcome", state.limited ? "over" : "within"},
                     {"demand_per_s", absl::StrFormat("%.2f", state.demand)},
                     {"admitted_share", absl::StrFormat("%.3f", state.fraction)},
                     {"age_ms", FormatMilliseconds(state.age)},
                     {"seen_by", is_own ? "self" : "peer"}});
  }
  if (!own.empty()) {
    this->SendLeafReports({.tenant_states = std::move(own)},
                          this->PickRandomPeers(this->options.leaf_report_targets));
  }
  if (!of_peers.empty()) {
    this->SendLeafReports({.tenant_states = std::move(of_peers)},
                          this->PickRandomPeers(this->options.tenant_news_targets));
  }
}

template <PlatformTranslation Platform>
void Node<Platform>::UpdateTenantSharers(TimePoint now) {
  RateSharers sharers = {.self = ToVmNumber(this->own_address())};
  const std::vector<PeerAddress> vms = this->peer_table.WorkingPeers(now);
  std::transform(vms.begin(), vms.end(), std::back_inserter(sharers.vms), ToVmNumber);
  // Sooner than for limits of leaves: while homes are not known, allowances are kept loosely.
  const bool peers_known = now - this->started_at > this->options.peers.startup_duration / 2;
  sharers.reach = peers_known ? this->peer_table.ComputeReach(now) : 0;
  this->usage_ledger.SetSharers(sharers);
  this->allowance_gate.SetSharers(std::move(sharers));
}

// Passes the accounts of this VM on to the VMs that become the homes of its tenants.
template <PlatformTranslation Platform>
void Node<Platform>::HandOverAccounts() {
  const TimePoint now = BootClock::now();
  this->UpdateTenantSharers(now);
  for (const TenantUsage& usage : this->usage_ledger.TakeOpenUsage(now)) {
    this->allowance_gate.AddUsage(usage, now);
  }
  this->usage_reported_at = {};
  this->SendUsageReports(now);
}

template <PlatformTranslation Platform>
void Node<Platform>::SetTenants(const RouteTablePtr& routes) {
  // Shares the ownership of the whole table.
  const std::shared_ptr<const TenantTable> tenants(routes, &routes->tenants);
  this->allowance_gate.SetTenants(tenants);
  this->usage_ledger.SetTenants(tenants);
}

// Shares of the platform's tolerance for calls beyond an allowance: what home VMs grant to all
// tenants, what the parts of a divided fleet may use, and the demand in a window up to which other
// VMs need not hear at once that a tenant is limited.
inline constexpr double kAllowanceSlackUsed = 0.2;
inline constexpr double kAllowanceExcessUsed = 0.3;
inline constexpr double kDividedToleranceUsed = 0.4;
inline constexpr double kNewsToleranceUsed = 0.75;

template <PlatformTranslation Platform>
UsageLedgerOptions Node<Platform>::MakeLedgerOptions() const {
  UsageLedgerOptions ledger = this->options.usage_ledger;
  ledger.margin = kAllowanceSlackUsed * this->settings.allowance_slack;
  // A tenant's burst is about the calls of 1 s at its rate.
  ledger.margin_time = FromSeconds(kAllowanceExcessUsed * this->settings.allowance_excess *
                                   ToSeconds(this->settings.allowance_window));
  ledger.divided_rate = kDividedToleranceUsed * this->settings.allowance_slack /
                        ToSeconds(this->settings.allowance_window);
  return ledger;
}

template <PlatformTranslation Platform>
TenantStateOptions Node<Platform>::MakeTenantStateOptions() const {
  TenantStateOptions state_options = this->options.tenant_states;
  state_options.min_news_demand = kNewsToleranceUsed * this->settings.allowance_slack /
                                  ToSeconds(this->settings.allowance_window);
  return state_options;
}

// JSON array of the limited tenants, for operators.
template <PlatformTranslation Platform>
std::string Node<Platform>::FormatLimitedTenants() const {
  constexpr std::size_t kMaxListed = 32;
  std::string text;
  std::size_t listed = 0;
  const auto& routes = this->coordinator.routes();
  for (const TenantState& state : this->tenant_states.List(BootClock::now())) {
    const Tenant* tenant = routes ? routes->tenants.FindByHash(state.tenant) : nullptr;
    if (!state.limited || tenant == nullptr || tenant->rate <= 0 || ++listed > kMaxListed) {
      continue;
    }
    absl::StrAppend(&text, text.empty() ? "" : ",",
                    "{\"tenant\":", boost::json::serialize(boost::json::value(tenant->name.value)),
                    ",\"admitted_share\":", absl::StrFormat("%.3f", state.fraction),
                    ",\"demand_per_s\":", absl::StrFormat("%.2f", state.demand),
                    ",\"rate_per_s\":", absl::StrFormat("%.2f", tenant->rate), "}");
  }
  return absl::StrCat("[", text, "]");
}

}  // namespace ibishold

#endif  // SRC_NODE_NODE_TENANTS_H_
