#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "ibishold/request_policy.h"

namespace ibishold {

namespace {

std::string MakeKey(const ServiceName& service, const TenantName& tenant) {
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
  const auto class_index = static_cast<std::size_t>(request_class);
  ServiceLoad& load = this->services[service.value];
  const std::string key = MakeKey(service, tenant);
  TenantLoad& tenant_load = this->FindOrAddTenant(key, service, limits, now);
  tenant_load.last_request = now;

  const double max_in_flight = limits.max_in_flight;
  if (load.in_flight + 1 > std::max(1.0, max_in_flight * this->options.class_share[class_index])) {
    return {.refusal = AdmissionRefusal::kInFlight, .retry_after = this->ComputeRetryAfter(load)};
  }
  if (tenant_load.in_flight + 1 > std::max(1.0, max_in_flight * this->options.tenant_share) &&
      this->IsOtherTenantActive(key, service, now)) {
    return {.refusal = AdmissionRefusal::kTenantInFlight,
            .retry_after = this->ComputeRetryAfter(load)};
  }
  const double rate = limits.rate_limit;
  const double bucket_size = std::max(1.0, rate * ToSeconds(this->options.burst_window));
  const double required_tokens = 1 + (bucket_size - 1) * this->options.rate_reserve[class_index];
  if (tenant_load.tokens < required_tokens) {
    const Duration wait = FromSeconds((required_tokens - tenant_load.tokens) / rate);
    return {
        .refusal = AdmissionRefusal::kRate,
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
  const auto found = this->tenants.find(MakeKey(service, tenant));
  if (found != this->tenants.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
  ServiceLoad& load = this->services[service.value];
  if (load.in_flight > 0) {
    --load.in_flight;
  }
  // Averages the completion rate over about the last second. The weight of a sample grows with the
  // time since the previous completion.
  const double gap_seconds = std::max(1e-6, ToSeconds(now - load.last_completion));
  const double sample_weight = load.last_completion == TimePoint{} ? 0 : 1 - std::exp(-gap_seconds);
  load.completions_per_second += sample_weight * (1 / gap_seconds - load.completions_per_second);
  load.last_completion = now;
}

std::uint32_t Admission::CountInFlight(const ServiceName& service) const {
  const auto found = this->services.find(service.value);
  return found == this->services.end() ? 0 : found->second.in_flight;
}

Admission::TenantLoad& Admission::FindOrAddTenant(const std::string& key,
                                                  const ServiceName& service,
                                                  const TableRow& limits,
                                                  TimePoint now) {
  const double bucket_size =
      std::max(1.0, limits.rate_limit * ToSeconds(this->options.burst_window));
  const auto found = this->tenants.find(key);
  if (found != this->tenants.end()) {
    TenantLoad& tenant_load = found->second;
    tenant_load.tokens =
        std::min(bucket_size, tenant_load.tokens +
                                  ToSeconds(now - tenant_load.last_request) * limits.rate_limit);
    return tenant_load;
  }
  if (this->tenants.size() >= this->options.max_tenants) {
    // Tenants with requests in flight are not evicted, because their in-flight counts would be
    // lost.
    auto longest_idle = this->tenants.end();
    for (auto entry = this->tenants.begin(); entry != this->tenants.end(); ++entry) {
      if (entry->second.in_flight == 0 &&
          (longest_idle == this->tenants.end() ||
           entry->second.last_request < longest_idle->second.last_request)) {
        longest_idle = entry;
      }
    }
    if (longest_idle != this->tenants.end()) {
      this->tenants.erase(longest_idle);
    }
  }
  return this->tenants[key] = {
             .service = service.value, .tokens = bucket_size, .last_request = now};
}

bool Admission::IsOtherTenantActive(const std::string& key,
                                    const ServiceName& service,
                                    TimePoint now) const {
  for (const auto& [other_key, load] : this->tenants) {
    if (other_key != key && load.service == service.value &&
        now - load.last_request < this->options.tenant_active_window) {
      return true;
    }
  }
  return false;
}

// Returns the time to complete all requests in flight at the measured completion rate, with jitter
// so that refused callers do not all retry at the same time.
Duration Admission::ComputeRetryAfter(const ServiceLoad& load) {
  const double rate = std::max(1.0, load.completions_per_second);
  const Duration wait = FromSeconds(load.in_flight / rate);
  return std::clamp(this->random.ApplyJitter(wait, 0.5), this->options.min_retry_after,
                    this->options.max_retry_after);
}

}  // namespace ibishold
