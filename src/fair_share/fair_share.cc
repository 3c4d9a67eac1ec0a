#include "ibishold/fair_share.h"

#include <algorithm>
#include <utility>

namespace ibishold {

bool FairShare::TryBegin(ServiceKey service_key, TenantKey tenant_key, TimePoint now) {
  Service& service = this->FindOrInsert(service_key);
  this->ExpireRefusals(service, now);
  const std::optional<double> capacity = this->ComputeCapacity(service, now);
  if (capacity && static_cast<double>(service.calls) >= *capacity) {
    const auto tenant = service.tenants.find(tenant_key);
    const std::size_t calls = tenant == service.tenants.end() ? 0 : tenant->second.calls;
    if (HasShare(service, calls, *capacity)) {
      this->RecordTenantRefusal(service, tenant_key, now);
      return false;
    }
  }
  if (auto waiting = service.waiting_tenants.extract(tenant_key)) {
    service.tenants.insert(std::move(waiting));
  }
  ++service.tenants[tenant_key].calls;
  ++service.calls;
  return true;
}

void FairShare::End(ServiceKey service_key, TenantKey tenant_key, TimePoint now) {
  const auto found = this->services.find(service_key);
  if (found == this->services.end()) {
    return;
  }
  Service& service = found->second;
  const auto tenant = service.tenants.find(tenant_key);
  if (tenant == service.tenants.end()) {
    return;
  }
  --service.calls;
  if (--tenant->second.calls == 0) {
    auto ended = service.tenants.extract(tenant);
    if (ended.mapped().refused_at) {
      service.waiting_tenants.insert(std::move(ended));
    }
  }
  this->ExpireRefusals(service, now);
  if (service.tenants.empty() && service.waiting_tenants.empty() &&
      !this->ComputeCapacity(service, now)) {
    this->services.erase(found);
  }
}

void FairShare::RecordRefusal(ServiceKey service_key, TimePoint now) {
  const auto found = this->services.find(service_key);
  if (found == this->services.end() || found->second.calls == 0) {
    return;  // the call has ended, so that nothing is known about the calls in progress
  }
  Service& service = found->second;
  const double sustained = this->options.refusal_factor * static_cast<double>(service.calls);
  // More calls than the capacity may be in progress, because each tenant has its share. A refusal
  // must not raise the capacity then.
  const double capacity = this->ComputeCapacity(service, now).value_or(sustained);
  service.capacity = std::max(1.0, std::min(capacity, sustained));
  service.refused_at = now;
}

std::optional<double> FairShare::GetCapacity(ServiceKey service, TimePoint now) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? std::nullopt : this->ComputeCapacity(found->second, now);
}

std::size_t FairShare::CountCalls(ServiceKey service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second.calls;
}

std::size_t FairShare::CountTenants(ServiceKey service, TimePoint now) {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return 0;
  }
  this->ExpireRefusals(found->second, now);
  return found->second.tenants.size() + found->second.waiting_tenants.size();
}

FairShare::Service& FairShare::FindOrInsert(ServiceKey service) {
  if (this->services.size() >= this->options.max_services && !this->services.contains(service)) {
    std::erase_if(this->services, [](const auto& entry) { return entry.second.calls == 0; });
  }
  return this->services[service];
}

std::optional<double> FairShare::ComputeCapacity(const Service& service, TimePoint now) const {
  if (!service.refused_at || now - *service.refused_at >= this->options.limit_lifetime) {
    return std::nullopt;
  }
  const std::chrono::duration<double> quiet_time = now - *service.refused_at;
  return service.capacity + this->options.growth_per_s * quiet_time.count();
}

// Returns whether a tenant with this number of calls in progress has its max-min fair share: the
// level at which the sum over all tenants of min(demand, level) is the capacity. The sum grows with
// the level, so that the calls are below the level if their sum is below the capacity. The demand
// of the tenant itself is at least its calls and counts with just these.
bool FairShare::HasShare(const Service& service, std::size_t calls, double capacity) {
  if (calls == 0) {
    return false;
  }
  std::size_t sum = service.waiting_tenants.size();  // each waits for one call
  for (const auto& [key, tenant] : service.tenants) {
    sum += std::min(calls, tenant.calls + (tenant.refused_at ? 1 : 0));
  }
  return static_cast<double>(sum) >= capacity;
}

// A call is refused only if its tenant has calls in progress.
void FairShare::RecordTenantRefusal(Service& service, TenantKey tenant_key, TimePoint now) const {
  Tenant& tenant = service.tenants.at(tenant_key);
  if (tenant.refused_at) {
    service.refusals.erase({*tenant.refused_at, tenant_key});
  }
  tenant.refused_at = now;
  service.refusals.emplace(now, tenant_key);
  if (service.refusals.size() > this->options.max_waiting_tenants) {
    RemoveOldestRefusal(service);
  }
}

void FairShare::ExpireRefusals(Service& service, TimePoint now) const {
  while (!service.refusals.empty() &&
         now - service.refusals.begin()->first >= this->options.demand_lifetime) {
    RemoveOldestRefusal(service);
  }
}

void FairShare::RemoveOldestRefusal(Service& service) {
  const auto oldest = service.refusals.begin();
  if (service.waiting_tenants.erase(oldest->second) == 0) {
    service.tenants.at(oldest->second).refused_at.reset();
  }
  service.refusals.erase(oldest);
}

}  // namespace ibishold
