#include <algorithm>
#include <cmath>
#include <utility>

#include "ibishold/leaf_limits.h"

namespace ibishold {

namespace {

void AddOnce(std::vector<LeafRun>& leaves, LeafRun leaf) {
  if (std::find(leaves.begin(), leaves.end(), leaf) == leaves.end()) {
    leaves.push_back(leaf);
  }
}

}  // namespace

LeafLimits::LeafLimits(LeafLimitOptions options) : options(options) {}

// ---- statements ---------------------------------------------------------------------------------

void LeafLimits::RecordLimit(LeafRun leaf, double rate, TimePoint now) {
  if (this->Apply(leaf, rate, now, now)) {
    AddOnce(this->changed_by_leaves, leaf);
  }
}

void LeafLimits::RecordNoLimit(LeafRun leaf, TimePoint sent_at, TimePoint now) {
  if (this->limits.contains(leaf) && this->Apply(leaf, std::nullopt, sent_at, now)) {
    AddOnce(this->changed_by_leaves, leaf);
  }
}

bool LeafLimits::RecordPeerReport(const LeafLimitReport& report, TimePoint now) {
  const Duration max_age =
      report.rate ? this->options.statement_lifetime : this->options.max_end_age;
  if (report.age < Duration::zero() || report.age >= max_age ||
      (!report.rate && !this->limits.contains(report.leaf))) {
    return false;
  }
  if (!this->Apply(report.leaf, report.rate, now - report.age, now)) {
    return false;
  }
  AddOnce(this->changed_by_peers, report.leaf);
  return true;
}

bool LeafLimits::Apply(LeafRun leaf,
                       std::optional<double> rate,
                       TimePoint stated_at,
                       TimePoint now) {
  Limit& limit = this->FindOrInsert(leaf, now);
  if (stated_at <= limit.stated_at) {
    return false;
  }
  const bool was_in_force = limit.rate && !this->IsExpired(limit, now);
  const bool is_change = was_in_force != rate.has_value() ||
                         (rate && std::abs(*rate - *limit.rate) >
                                      this->options.reported_change * std::max(*limit.rate, *rate));
  limit.stated_at = stated_at;
  if (rate == limit.rate) {
    return is_change;
  }
  if (was_in_force) {
    this->UpdateTokens(leaf, limit, now);  // at the old rate
  }
  limit.rate = rate;
  if (rate) {
    this->UpdateShare(leaf, limit, now);
    if (!was_in_force) {
      limit.bucket.tokens = limit.share.burst / 2;
      limit.bucket.updated_at = now;
      limit.returns_until = {};
    }
  }
  return is_change;
}

LeafLimits::Limit& LeafLimits::FindOrInsert(LeafRun leaf, TimePoint now) {
  if (this->limits.size() >= this->options.max_leaves && !this->limits.contains(leaf)) {
    std::erase_if(this->limits,
                  [&](const auto& entry) { return this->IsExpired(entry.second, now); });
  }
  if (this->limits.size() >= this->options.max_leaves && !this->limits.contains(leaf)) {
    this->limits.erase(std::min_element(
        this->limits.begin(), this->limits.end(),
        [](const auto& a, const auto& b) { return a.second.stated_at < b.second.stated_at; }));
  }
  return this->limits[leaf];
}

bool LeafLimits::IsExpired(const Limit& limit, TimePoint now) const {
  return now - limit.stated_at > this->options.statement_lifetime;
}

LeafLimits::Limit* LeafLimits::FindLimit(LeafRun leaf, TimePoint now) {
  const auto found = this->limits.find(leaf);
  return found == this->limits.end() || !found->second.rate || this->IsExpired(found->second, now)
             ? nullptr
             : &found->second;
}

std::optional<double> LeafLimits::GetLimit(LeafRun leaf, TimePoint now) const {
  const auto found = this->limits.find(leaf);
  return found == this->limits.end() || this->IsExpired(found->second, now) ? std::nullopt
                                                                            : found->second.rate;
}

// ---- this VM's share ----------------------------------------------------------------------------

void LeafLimits::SetSenders(RateSharers new_senders, TimePoint now) {
  std::erase_if(this->limits,
                [&](const auto& entry) { return this->IsExpired(entry.second, now); });
  if (new_senders == this->senders) {
    return;
  }
  for (auto& [leaf, limit] : this->limits) {
    this->UpdateTokens(leaf, limit, now);  // with the old share
  }
  std::erase_if(this->former_senders,
                [now](const FormerSenders& former) { return former.expires_at <= now; });
  // A VM that had no contact to others has no old share that could count.
  if (this->senders.reach > 0 && !this->senders.vms.empty()) {
    this->former_senders.push_back(
        {.senders = std::move(this->senders), .expires_at = now + this->options.settle_time});
  }
  this->senders = std::move(new_senders);
  ++this->senders_version;
}

double LeafLimits::ComputeFleetRate(const Limit& limit, const RateSharers& shared_by) const {
  return std::max(limit.rate.value_or(0), this->options.min_rate) * shared_by.reach;
}

RateShare LeafLimits::ComputeShare(LeafRun leaf,
                                   const Limit& limit,
                                   const RateSharers& shared_by) const {
  const double fleet_rate = this->ComputeFleetRate(limit, shared_by);
  return ComputeHolderShare(leaf,
                            {.rate = fleet_rate,
                             .burst = fleet_rate * ToSeconds(this->options.burst_time) +
                                      this->options.burst_requests * shared_by.reach},
                            shared_by);
}

void LeafLimits::UpdateShare(LeafRun leaf, Limit& limit, TimePoint now) const {
  limit.share = this->ComputeShare(leaf, limit, this->senders);
  limit.share_expires_at = TimePoint::max();
  for (const FormerSenders& former : this->former_senders) {
    if (now >= former.expires_at) {
      continue;
    }
    const RateShare share = this->ComputeShare(leaf, limit, former.senders);
    limit.share = {.rate = std::min(limit.share.rate, share.rate),
                   .burst = std::min(limit.share.burst, share.burst)};
    limit.share_expires_at = std::min(limit.share_expires_at, former.expires_at);
  }
  limit.share_version = this->senders_version;
  limit.bucket.tokens = std::min(limit.bucket.tokens, limit.share.burst);
}

void LeafLimits::UpdateTokens(LeafRun leaf, Limit& limit, TimePoint now) const {
  limit.bucket.Refill(limit.share, now);
  if (limit.share_version != this->senders_version || now >= limit.share_expires_at) {
    this->UpdateShare(leaf, limit, now);
  }
}

bool LeafLimits::CanSend(LeafRun leaf, int urgency, TimePoint now) {
  Limit* limit = this->FindLimit(leaf, now);
  if (limit == nullptr) {
    return true;
  }
  this->UpdateTokens(leaf, *limit, now);
  return limit->share.burst > 0 &&
         limit->bucket.tokens >= this->ComputeNeededTokens(*limit, urgency, now) &&
         now >= this->FindPrecedenceEnd(*limit, urgency, now);
}

bool LeafLimits::IsLessUrgent(const Limit& limit, int urgency, TimePoint now) const {
  return urgency > limit.asked.urgency && now - limit.asked.at < this->options.precedence_time;
}

bool LeafLimits::IsTurnOfOthers(const Limit& limit, TimePoint now) const {
  const Demand& others = limit.other_demand;
  const Demand& urgent = limit.urgent_demand;
  return limit.overtakes >= this->options.max_overtakes &&
         now - limit.asked.at < this->options.precedence_time &&
         now - others.updated_at < this->options.precedence_time &&
         others.sent * urgent.asked < urgent.sent * others.asked;
}

double LeafLimits::ComputeNeededTokens(const Limit& limit, int urgency, TimePoint now) const {
  const bool gives_way =
      this->IsLessUrgent(limit, urgency, now) != this->IsTurnOfOthers(limit, now);
  return gives_way ? std::min(2.0, limit.share.burst) : 1;
}

TimePoint LeafLimits::FindPrecedenceEnd(const Limit& limit, int urgency, TimePoint now) const {
  if (urgency <= limit.denied.urgency || limit.share.rate <= 0 ||
      this->IsTurnOfOthers(limit, now)) {
    return {};
  }
  return limit.denied.at +
         std::min(this->options.precedence_time,
                  FromSeconds(this->options.precedence_requests / limit.share.rate));
}

void LeafLimits::RecordDemand(Limit& limit, int urgency, bool is_sent, TimePoint now) const {
  const auto is_most_urgent = [&](const UrgentRequest& kept) {
    return urgency <= kept.urgency || now - kept.at > this->options.precedence_time;
  };
  if (is_most_urgent(limit.asked)) {
    if (limit.asked.urgency != urgency) {
      limit.urgent_demand = {};
      limit.other_demand = {};
      limit.overtakes = 0;
    }
    limit.asked = {.urgency = urgency, .at = now};
  }
  if (!is_sent && is_most_urgent(limit.denied)) {
    limit.denied = {.urgency = urgency, .at = now};
  }
  const bool is_urgent = urgency == limit.asked.urgency;
  Demand& demand = is_urgent ? limit.urgent_demand : limit.other_demand;
  const double decay =
      std::exp2(-ToSeconds(now - demand.updated_at) / ToSeconds(this->options.precedence_time));
  demand = {.asked = demand.asked * decay + 1,
            .sent = demand.sent * decay + (is_sent ? 1 : 0),
            .updated_at = now};
  if (is_sent) {
    limit.overtakes = is_urgent ? limit.overtakes + 1 : 0;
  }
}

bool LeafLimits::HasShare(LeafRun leaf, TimePoint now) {
  Limit* limit = this->FindLimit(leaf, now);
  if (limit == nullptr) {
    return true;
  }
  this->UpdateTokens(leaf, *limit, now);
  return limit->share.burst > 0;
}

void LeafLimits::TakeToken(LeafRun leaf, int urgency, TimePoint now) {
  if (Limit* limit = this->FindLimit(leaf, now)) {
    this->UpdateTokens(leaf, *limit, now);
    limit->bucket.tokens = std::max(0.0, limit->bucket.tokens - 1);
    this->RecordDemand(*limit, urgency, true, now);
  }
}

void LeafLimits::ReturnToken(LeafRun leaf, TimePoint now) {
  if (Limit* limit = this->FindLimit(leaf, now)) {
    this->UpdateTokens(leaf, *limit, now);
    limit->bucket.tokens = std::min(limit->share.burst, limit->bucket.tokens + 1);
  }
}

void LeafLimits::RecordDenial(LeafRun leaf, int urgency, TimePoint now) {
  if (Limit* limit = this->FindLimit(leaf, now)) {
    this->RecordDemand(*limit, urgency, false, now);
  }
}

Duration LeafLimits::GetReturnWait(LeafRun leaf, int urgency, TimePoint now) {
  if (this->CanSend(leaf, urgency, now)) {
    return Duration::zero();
  }
  const Limit& limit = *this->FindLimit(leaf, now);
  // Another VM serves a caller that returns if this one has no share.
  const double missing_tokens =
      std::max(0.0, this->ComputeNeededTokens(limit, urgency, now) - limit.bucket.tokens);
  const double token_wait_s = limit.share.rate > 0
                                  ? missing_tokens / limit.share.rate
                                  : 1 / std::max(*limit.rate, this->options.min_rate);
  return std::min(this->options.max_return_wait,
                  std::max({FromSeconds(token_wait_s), limit.returns_until - now,
                            this->FindPrecedenceEnd(limit, urgency, now) - now}));
}

// Callers return to any VM, so each VM lets them return at its part of the fleet's rate.
void LeafLimits::ReserveReturn(LeafRun leaf, TimePoint now) {
  Limit* limit = this->FindLimit(leaf, now);
  const double fleet_rate = limit == nullptr ? 0 : this->ComputeFleetRate(*limit, this->senders);
  if (fleet_rate <= 0) {
    return;
  }
  const double vm_count = std::max<double>(1, static_cast<double>(this->senders.vms.size()));
  limit->returns_until =
      std::min(now + this->options.max_return_wait,
               std::max(now, limit->returns_until) + FromSeconds(vm_count / fleet_rate));
}

// ---- reports ------------------------------------------------------------------------------------

LeafLimitReport LeafLimits::MakeReport(LeafRun leaf, const Limit& limit, TimePoint now) const {
  return {.leaf = leaf, .rate = limit.rate, .age = now - limit.stated_at};
}

std::vector<LeafLimitReport> LeafLimits::TakeReports(TimePoint now) {
  std::vector<LeafLimitReport> reports;
  std::erase_if(this->changed_by_leaves, [&](LeafRun leaf) {
    const auto found = this->limits.find(leaf);
    if (found == this->limits.end()) {
      return true;
    }
    if (now - found->second.reported_at < this->options.report_interval) {
      return false;
    }
    found->second.reported_at = now;
    reports.push_back(this->MakeReport(leaf, found->second, now));
    return true;
  });
  return reports;
}

std::vector<LeafLimitReport> LeafLimits::TakeNews(TimePoint now) {
  std::vector<LeafLimitReport> news;
  for (const LeafRun leaf : std::exchange(this->changed_by_peers, {})) {
    if (const auto found = this->limits.find(leaf); found != this->limits.end()) {
      news.push_back(this->MakeReport(leaf, found->second, now));
    }
  }
  return news;
}

std::vector<LeafLimitReport> LeafLimits::ListReports(TimePoint now) const {
  std::vector<LeafLimitReport> reports;
  for (const auto& [leaf, limit] : this->limits) {
    const LeafLimitReport report = this->MakeReport(leaf, limit, now);
    if (limit.rate ? !this->IsExpired(limit, now) : report.age < this->options.max_end_age) {
      reports.push_back(report);
    }
  }
  return reports;
}

}  // namespace ibishold
