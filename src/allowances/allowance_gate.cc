#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "ibishold/allowances.h"

namespace ibishold {

AllowanceGate::AllowanceGate(AllowanceGateOptions options,
                             Incarnation incarnation,
                             const TenantStates& states,
                             std::uint64_t random_seed)
    : options(options), incarnation(incarnation), states(states), random(random_seed) {}

void AllowanceGate::SetTenants(std::shared_ptr<const TenantTable> new_tenants) {
  this->tenants = std::move(new_tenants);
}

void AllowanceGate::SetSharers(RateSharers new_sharers) {
  if (!(new_sharers == this->sharers)) {
    this->sharers = std::move(new_sharers);
    ++this->sharers_version;
  }
}

// ---- calls --------------------------------------------------------------------------------------

AllowanceDecision AllowanceGate::TryAdmit(TenantKey tenant, TimePoint now) {
  const Tenant* limit = this->tenants ? this->tenants->FindByHash(tenant) : nullptr;
  if (limit == nullptr || limit->rate <= 0) {
    return {};
  }
  Usage& usage = this->FindOrInsert(tenant, *limit, now);
  const double smoothing_s = ToSeconds(this->options.demand_time);
  usage.demand =
      usage.demand * std::exp(-ToSeconds(now - usage.called_at) / smoothing_s) + 1 / smoothing_s;
  usage.called_at = now;
  ++usage.asked;
  this->MarkDirty(tenant, usage);

  const std::optional<TenantState> state = this->states.FindLimited(tenant, now);
  if (state) {
    usage.credit += state->fraction;
  }
  bool admitted = !state || usage.credit >= 1;
  if (!this->FindHome(tenant, usage, now)) {
    usage.own_bucket.Refill(this->ComputeOwnShare(*limit), now);
    admitted = admitted && usage.own_bucket.tokens >= 1;
    usage.own_bucket.tokens -= admitted ? 1 : 0;
  }
  if (!admitted) {
    usage.credit = std::min(usage.credit, 1.0);
    return {.admitted = false, .retry_after = this->ComputeReturnWait(*limit, usage, state, now)};
  }
  usage.credit -= state ? 1 : 0;
  ++usage.admitted;
  return {};
}

void AllowanceGate::AddUsage(const TenantUsage& usage, TimePoint now) {
  const Tenant* limit = this->tenants ? this->tenants->FindByHash(usage.tenant) : nullptr;
  if (limit == nullptr || limit->rate <= 0) {
    return;
  }
  Usage& added = this->FindOrInsert(usage.tenant, *limit, now);
  added.asked += usage.asked;
  added.admitted += usage.admitted;
  this->MarkDirty(usage.tenant, added);
}

void AllowanceGate::ReturnToken(TenantKey tenant, TimePoint now) {
  const auto found = this->usages.find(tenant);
  const Tenant* limit = this->tenants ? this->tenants->FindByHash(tenant) : nullptr;
  if (found == this->usages.end() || limit == nullptr) {
    return;
  }
  Usage& usage = found->second;
  --usage.admitted;
  this->MarkDirty(tenant, usage);
  if (!this->FindHome(tenant, usage, now)) {
    usage.own_bucket.tokens += 1;
    usage.own_bucket.Refill(this->ComputeOwnShare(*limit), now);
  }
}

AllowanceGate::Usage& AllowanceGate::FindOrInsert(TenantKey tenant,
                                                  const Tenant& limit,
                                                  TimePoint now) {
  const auto [found, inserted] = this->usages.try_emplace(tenant);
  Usage& usage = found->second;
  if (inserted) {
    // Many VMs with few calls each would otherwise all refuse, or all admit, their first ones.
    usage.credit = this->random.NextFraction();
    // Counts from a random number of calls on, so that the reports of many VMs add up.
    const std::uint32_t per_report = this->CountCallsPerReport(limit);
    const auto phase = static_cast<std::uint32_t>(this->random.NextBelow(per_report));
    usage.asked = phase;
    usage.admitted = static_cast<std::int32_t>(phase);
    usage.own_bucket = {.tokens = this->ComputeOwnShare(limit).burst, .updated_at = now};
    usage.called_at = now;
  }
  return usage;
}

std::uint32_t AllowanceGate::CountCallsPerReport(const Tenant& limit) const {
  const double vms = static_cast<double>(std::max<std::size_t>(1, this->sharers.vms.size()));
  return static_cast<std::uint32_t>(
      std::clamp(this->options.report_share * limit.burst / vms, 1.0,
                 static_cast<double>(this->options.max_calls_per_report)));
}

RateShare AllowanceGate::ComputeOwnShare(const Tenant& limit) const {
  const double vms = static_cast<double>(
      this->sharers.reach > 0 ? std::max<std::size_t>(1, this->sharers.vms.size())
                              : std::max(this->options.assumed_vms, this->sharers.vms.size()));
  const double reach = this->sharers.reach > 0 ? this->sharers.reach : 1;
  return {.rate = limit.rate * reach / vms,
          .burst = std::max(this->options.min_own_burst, limit.burst * reach / vms)};
}

// Callers return to any VM, so each VM lets them return at its part of the tenant's rate.
Duration AllowanceGate::ComputeReturnWait(const Tenant& limit,
                                          Usage& usage,
                                          const std::optional<TenantState>& state,
                                          TimePoint now) const {
  const double fleet_demand = std::max(state ? state->demand : 0, usage.demand);
  const double spacing_s = fleet_demand / (usage.demand * limit.rate);
  usage.returns_until = std::min(std::max(now, usage.returns_until) + FromSeconds(spacing_s),
                                 now + this->options.max_return_wait);
  return usage.returns_until - now;
}

// ---- reports to home VMs ------------------------------------------------------------------------

void AllowanceGate::MarkDirty(TenantKey tenant, Usage& usage) {
  if (!usage.is_dirty) {
    usage.is_dirty = true;
    this->dirty.push_back(tenant);
  }
}

std::optional<std::uint64_t> AllowanceGate::FindHome(TenantKey tenant,
                                                     Usage& usage,
                                                     TimePoint now) {
  if (this->sharers.reach <= 0) {
    return std::nullopt;
  }
  if (usage.homes_version != this->sharers_version) {
    const std::vector<std::uint64_t> ranked = RankVms(tenant, this->sharers.vms, kMaxHomes);
    std::copy(ranked.begin(), ranked.end(), usage.homes.begin());
    usage.home_count = ranked.size();
    usage.homes_version = this->sharers_version;
  }
  for (std::size_t i = 0; i < usage.home_count; ++i) {
    const auto link = this->links.find(usage.homes[i]);
    if (link == this->links.end() || link->second.unreachable_until <= now) {
      return usage.homes[i];
    }
  }
  return std::nullopt;
}

std::vector<AllowanceGate::OutgoingReport> AllowanceGate::TakeReports(TimePoint now) {
  std::vector<OutgoingReport> due;
  const std::vector<std::uint64_t> awaited_homes(this->awaited.begin(), this->awaited.end());
  for (const std::uint64_t home : awaited_homes) {
    HomeLink& link = this->links.at(home);
    if (now - link.sent_at < this->options.retry_interval) {
      continue;
    }
    if (link.tries >= this->options.max_tries) {
      this->GiveUp(home, now);
      continue;
    }
    ++link.tries;
    link.sent_at = now;
    due.push_back({.home = home, .report = *link.outstanding});
  }
  std::map<std::uint64_t, UsageReport> reports;  // by home VM
  std::vector<TenantKey> kept;
  for (const TenantKey tenant : this->dirty) {
    const auto found = this->usages.find(tenant);
    const Tenant* limit = this->tenants ? this->tenants->FindByHash(tenant) : nullptr;
    if (found == this->usages.end()) {
      continue;
    }
    Usage& usage = found->second;
    const std::optional<std::uint64_t> home =
        limit == nullptr ? std::nullopt : this->FindHome(tenant, usage, now);
    if (!home) {
      // The bucket of this VM was in force for these calls.
      usage.asked = 0;
      usage.admitted = 0;
      usage.is_dirty = false;
      continue;
    }
    HomeLink& link = this->links[*home];
    UsageReport& report = reports[*home];
    if (link.outstanding || now - link.sent_at < this->options.report_interval ||
        report.tenants.size() >= this->options.max_tenants_per_report ||
        (usage.asked < this->CountCallsPerReport(*limit) && usage.admitted >= 0)) {
      kept.push_back(tenant);
      continue;
    }
    const std::optional<TenantState> state = this->states.FindLimited(tenant, now);
    report.tenants.push_back({.tenant = tenant,
                              .asked = usage.asked,
                              .admitted = usage.admitted,
                              .known_demand = state ? state->demand : 0});
    usage.asked = 0;
    usage.admitted = 0;
    usage.is_dirty = false;
  }
  this->dirty = std::move(kept);
  for (auto& [home, report] : reports) {
    if (report.tenants.empty()) {
      continue;
    }
    HomeLink& link = this->links[home];
    report.incarnation = this->incarnation;
    report.sequence = ++link.last_sequence;
    link.outstanding = report;
    this->awaited.insert(home);
    link.sent_at = now;
    link.tries = 1;
    due.push_back({.home = home, .report = std::move(report)});
  }
  if (now - this->swept_at >= this->options.idle_time) {
    this->swept_at = now;
    std::erase_if(this->usages, [&](const auto& item) {
      return !item.second.is_dirty && now - item.second.called_at >= this->options.idle_time;
    });
    std::erase_if(this->links, [&](const auto& item) {
      return !item.second.outstanding && now - item.second.sent_at >= this->options.idle_time;
    });
  }
  return due;
}

// The calls of the report count at the next home VM.
void AllowanceGate::GiveUp(std::uint64_t home, TimePoint now) {
  HomeLink& link = this->links.at(home);
  for (const TenantUsage& entry : link.outstanding->tenants) {
    if (const auto found = this->usages.find(entry.tenant); found != this->usages.end()) {
      found->second.asked += entry.asked;
      found->second.admitted += entry.admitted;
      this->MarkDirty(entry.tenant, found->second);
    }
  }
  link.outstanding.reset();
  this->awaited.erase(home);
  link.unreachable_until = now + this->options.unreachable_time;
}

bool AllowanceGate::OnAcknowledgement(std::uint64_t home, std::uint32_t sequence) {
  const auto found = this->links.find(home);
  if (found == this->links.end() || !found->second.outstanding ||
      found->second.outstanding->sequence != sequence) {
    return false;
  }
  found->second.outstanding.reset();
  this->awaited.erase(home);
  return true;
}

}  // namespace ibishold
