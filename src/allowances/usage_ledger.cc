#include <algorithm>
#include <cmath>
#include <utility>

#include "ibishold/allowances.h"

namespace ibishold {

UsageLedger::UsageLedger(UsageLedgerOptions options, TenantStates& states)
    : options(options), states(states) {}

void UsageLedger::SetTenants(std::shared_ptr<const TenantTable> new_tenants) {
  this->tenants = std::move(new_tenants);
}

void UsageLedger::SetSharers(RateSharers new_sharers) {
  if (!(new_sharers == this->sharers)) {
    this->sharers = std::move(new_sharers);
    ++this->sharers_version;
  }
}

UsageAcknowledgement UsageLedger::OnReport(std::uint64_t sender,
                                           const UsageReport& report,
                                           TimePoint now) {
  Reporter& reporter = this->reporters[sender];
  const bool is_new =
      report.incarnation > reporter.incarnation ||
      (report.incarnation == reporter.incarnation && report.sequence > reporter.last_sequence);
  if (is_new) {
    reporter = {.incarnation = report.incarnation, .last_sequence = report.sequence};
  }
  reporter.reported_at = now;
  UsageAcknowledgement acknowledgement = {.sequence = report.sequence};
  for (const TenantUsage& usage : report.tenants) {
    const Tenant* limit = this->tenants ? this->tenants->FindByHash(usage.tenant) : nullptr;
    if (limit == nullptr || limit->rate <= 0) {
      continue;  // another version of the configuration
    }
    Account& account = this->FindOrInsert(usage.tenant, *limit, now);
    if (is_new) {
      this->UpdateAccount(*limit, account, now);
      account.demand += usage.asked / this->ComputeDemandSeconds(*limit);
      account.level -= usage.admitted;
      account.reported_at = now;
      if (now - account.created_at < this->options.adoption_time) {
        Adopt(usage.known_demand, account, now);
      }
      this->UpdateHome(usage.tenant, account);
      this->UpdateState(usage.tenant, *limit, account, now);
    }
    if (const auto state = this->states.FindLimited(usage.tenant, now)) {
      acknowledgement.states.push_back(*state);
    } else if (usage.known_demand > 0) {
      // The sender has missed the end of the limitation.
      acknowledgement.states.push_back({.tenant = usage.tenant, .by_home = account.is_home});
    }
  }
  return acknowledgement;
}

void UsageLedger::Update(TimePoint now) {
  for (auto& [tenant, account] : this->accounts) {
    this->UpdateHome(tenant, account);
  }
  std::erase_if(this->accounts, [&](const auto& item) {
    const Account& account = item.second;
    return now - account.reported_at >=
           (account.is_home ? this->options.idle_time : this->options.substitute_time);
  });
  std::erase_if(this->reporters, [&](const auto& item) {
    return now - item.second.reported_at >= this->options.idle_time;
  });
  for (auto& [tenant, account] : this->accounts) {
    if (!account.is_limited) {
      continue;
    }
    const Tenant* limit = this->tenants ? this->tenants->FindByHash(tenant) : nullptr;
    if (limit == nullptr || limit->rate <= 0) {
      // A version of the configuration has removed the limit.
      account = {.reported_at = now - this->options.idle_time, .is_home = account.is_home};
      this->PublishState(tenant, account, now);
    } else {
      this->UpdateAccount(*limit, account, now);
      this->UpdateState(tenant, *limit, account, now);
    }
  }
}

UsageLedger::Account& UsageLedger::FindOrInsert(TenantKey tenant,
                                                const Tenant& limit,
                                                TimePoint now) {
  const auto [found, inserted] = this->accounts.try_emplace(tenant);
  Account& account = found->second;
  if (inserted) {
    account = {.level = this->ComputeCapacity(limit),
               .level_at = now,
               .demand_at = now,
               .reported_at = now,
               .created_at = now};
    if (const auto heard = this->states.FindLimited(tenant, now)) {
      Adopt(heard->demand, account, now);
    }
  }
  return account;
}

std::vector<TenantUsage> UsageLedger::TakeOpenUsage(TimePoint now) {
  std::vector<TenantUsage> open;
  for (auto& [tenant, account] : this->accounts) {
    const Tenant* limit = this->tenants ? this->tenants->FindByHash(tenant) : nullptr;
    if (limit == nullptr || limit->rate <= 0) {
      continue;
    }
    this->UpdateAccount(*limit, account, now);
    open.push_back(
        {.tenant = tenant,
         .asked = static_cast<std::uint32_t>(account.demand * this->ComputeDemandSeconds(*limit)),
         .admitted = static_cast<std::int32_t>(this->ComputeCapacity(*limit) - account.level)});
  }
  this->accounts.clear();
  return open;
}

void UsageLedger::UpdateHome(TenantKey tenant, Account& account) const {
  if (account.sharers_version != this->sharers_version) {
    const std::vector<std::uint64_t> ranked = RankVms(tenant, this->sharers.vms, 1);
    account.is_home = ranked.empty() || ranked.front() == this->sharers.self;
    account.sharers_version = this->sharers_version;
  }
}

double UsageLedger::GetReach() const {
  return this->sharers.reach > 0 ? this->sharers.reach : 1;
}

double UsageLedger::ComputeRate(const Tenant& limit, const Account& account) const {
  const double rate =
      std::min(limit.rate, this->GetReach() * (limit.rate + this->options.divided_rate));
  return account.is_home ? rate : this->options.substitute_rate_share * rate;
}

double UsageLedger::ComputeMargin(const Tenant& limit) const {
  return this->options.margin + limit.rate * ToSeconds(this->options.margin_time);
}

double UsageLedger::ComputeCapacity(const Tenant& limit) const {
  return std::max(1.0, limit.burst) * this->GetReach() + this->ComputeMargin(limit);
}

// Goes on from the state of the VM that was the tenant's home before.
void UsageLedger::Adopt(double known_demand, Account& account, TimePoint now) {
  if (known_demand > account.demand) {
    account.level = std::min(account.level, 0.0);
    account.demand = known_demand;
    account.is_limited = true;
    account.limited_at = now;
  }
}

double UsageLedger::ComputeDemandSeconds(const Tenant& limit) const {
  return std::clamp(this->options.calls_in_demand_time / limit.rate,
                    ToSeconds(this->options.min_demand_time),
                    ToSeconds(this->options.max_demand_time));
}

void UsageLedger::UpdateAccount(const Tenant& limit, Account& account, TimePoint now) const {
  const double rate = this->ComputeRate(limit, account);
  account.level =
      std::clamp(account.level + rate * ToSeconds(now - account.level_at),
                 -rate * ToSeconds(this->options.max_debt), this->ComputeCapacity(limit));
  account.level_at = now;
  account.demand *=
      std::exp(-ToSeconds(now - account.demand_at) / this->ComputeDemandSeconds(limit));
  account.demand_at = now;
}

void UsageLedger::UpdateState(TenantKey tenant,
                              const Tenant& limit,
                              Account& account,
                              TimePoint now) {
  const double correction_s =
      ToSeconds(account.level > 0 ? this->options.correction_time : this->options.repayment_time);
  const double admissible =
      std::max(0.0, this->ComputeRate(limit, account) + account.level / correction_s);
  account.fraction = account.demand <= admissible ? 1 : admissible / account.demand;
  const bool was_limited = account.is_limited;
  if (account.fraction < 1) {
    account.is_limited = true;
    account.limited_at = now;
  } else if (now - account.limited_at >= this->options.end_delay) {
    account.is_limited = false;
  }
  if (account.is_limited || was_limited) {
    this->PublishState(tenant, account, now);
  }
}

void UsageLedger::PublishState(TenantKey tenant, const Account& account, TimePoint now) {
  this->states.Merge({.tenant = tenant,
                      .limited = account.is_limited,
                      .fraction = account.fraction,
                      .demand = account.demand,
                      .by_home = account.is_home},
                     now);
}

}  // namespace ibishold
