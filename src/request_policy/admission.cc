#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "ibishold/request_policy.h"

namespace ibishold {

namespace {

std::string KeyOf(const ServiceName& service, const TenantName& tenant) {
  return absl::StrCat(service.value, "\n", tenant.value);
}

Duration FromSeconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e9));
}

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e9;
}

}  // namespace

Admission::Admission(AdmissionOptions options, std::uint64_t seed)
    : options(options), random(seed) {}

AdmissionResult Admission::Admit(const ServiceName& service,
                                 const TenantName& tenant,
                                 RequestClass request_class,
                                 const TableRow& limits,
                                 TimePoint now) {
  const auto rank = static_cast<std::size_t>(request_class);
  ServiceLoad& load = this->services[service.value];
  const std::string key = KeyOf(service, tenant);
  TenantLoad& tenant_load = this->FindOrAddTenant(key, service, limits, now);
  tenant_load.last_request = now;

  const double limit = limits.max_in_flight;
  if (load.in_flight + 1 > std::max(1.0, limit * this->options.class_share[rank])) {
    return {.refusal = Refusal::kInFlight, .retry_after = this->RetryAfter(load)};
  }
  if (tenant_load.in_flight + 1 > std::max(1.0, limit * this->options.tenant_share) &&
      this->OtherTenantActive(key, service, now)) {
    return {.refusal = Refusal::kTenantInFlight, .retry_after = this->RetryAfter(load)};
  }
  const double rate = limits.rate_limit;
  const double burst = std::max(1.0, rate * ToSeconds(this->options.burst_window));
  const double needed = 1 + (burst - 1) * this->options.rate_reserve[rank];
  if (tenant_load.tokens < needed) {
    const Duration wait = FromSeconds((needed - tenant_load.tokens) / rate);
    return {
        .refusal = Refusal::kRate,
        .retry_after = std::clamp(this->random.ApplyJitter(wait, 0.2),
                                  this->options.min_retry_after, this->options.max_retry_after)};
  }
  tenant_load.tokens -= 1;
  ++tenant_load.in_flight;
  ++load.in_flight;
  return {.admitted = true};
}

void Admission::RecordCompletion(const ServiceName& service,
                                 const TenantName& tenant,
                                 TimePoint now) {
  const auto found = this->tenants.find(KeyOf(service, tenant));
  if (found != this->tenants.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
  ServiceLoad& load = this->services[service.value];
  if (load.in_flight > 0) {
    --load.in_flight;
  }
  // Completion rate over about the last second. A sample's weight grows with the time it covers.
  const double gap = std::max(1e-6, ToSeconds(now - load.last_completion));
  const double weight = load.last_completion == TimePoint{} ? 0 : 1 - std::exp(-gap);
  load.completions_per_second += weight * (1 / gap - load.completions_per_second);
  load.last_completion = now;
}

std::uint32_t Admission::InFlight(const ServiceName& service) const {
  const auto found = this->services.find(service.value);
  return found == this->services.end() ? 0 : found->second.in_flight;
}

Admission::TenantLoad& Admission::FindOrAddTenant(const std::string& key,
                                                  const ServiceName& service,
                                                  const TableRow& limits,
                                                  TimePoint now) {
  const double burst = std::max(1.0, limits.rate_limit * ToSeconds(this->options.burst_window));
  const auto found = this->tenants.find(key);
  if (found != this->tenants.end()) {
    TenantLoad& tenant_load = found->second;
    tenant_load.tokens = std::min(
        burst, tenant_load.tokens + ToSeconds(now - tenant_load.last_request) * limits.rate_limit);
    return tenant_load;
  }
  if (this->tenants.size() >= this->options.tenant_limit) {
    // Tenants with requests in flight are not evicted, because their counts would be lost.
    auto oldest = this->tenants.end();
    for (auto entry = this->tenants.begin(); entry != this->tenants.end(); ++entry) {
      if (entry->second.in_flight == 0 &&
          (oldest == this->tenants.end() ||
           entry->second.last_request < oldest->second.last_request)) {
        oldest = entry;
      }
    }
    if (oldest != this->tenants.end()) {
      this->tenants.erase(oldest);
    }
  }
  return this->tenants[key] = {.service = service.value, .tokens = burst, .last_request = now};
}

bool Admission::OtherTenantActive(const std::string& key,
                                  const ServiceName& service,
                                  TimePoint now) const {
  for (const auto& [other, load] : this->tenants) {
    if (other != key && load.service == service.value &&
        now - load.last_request < this->options.tenant_active_window) {
      return true;
    }
  }
  return false;
}

// Returns the number of requests in flight divided by the measured completion rate, with jitter so
// that refused callers do not all retry at the same time.
Duration Admission::RetryAfter(const ServiceLoad& load) {
  const double rate = std::max(1.0, load.completions_per_second);
  const Duration wait = FromSeconds(load.in_flight / rate);
  return std::clamp(this->random.ApplyJitter(wait, 0.5), this->options.min_retry_after,
                    this->options.max_retry_after);
}

}  // namespace ibishold
