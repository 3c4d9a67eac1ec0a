#ifndef IBISHOLD_FAIR_SHARE_H_
#define IBISHOLD_FAIR_SHARE_H_

// Divides the capacity of each service among the tenants while it is short
// (docs/design/tenants.md). Reads no clock and no socket: the caller passes the time.
//
// Index of this header:
//   1. FairShare   calls in progress of each tenant, and the capacity of each service

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "ibishold/core.h"

namespace ibishold {

// ---- 1. FairShare -------------------------------------------------------------------------------

using ServiceKey = std::uint64_t;  // stable hash of the service's name

struct FairShareOptions {
  // A refusal by a leaf sets the capacity to this share of the calls in progress.
  double refusal_factor = 0.9;
  double growth_per_s = 1;  // calls by which the capacity grows each second without a refusal
  // The capacity is unlimited again after this time without a refusal by a leaf.
  Duration limit_lifetime = std::chrono::seconds(10);
  // For this time after a call was refused, its tenant counts with one more call than it has in
  // progress.
  Duration demand_lifetime = std::chrono::seconds(1);
  // Tenants of a service that are remembered because of a refused call; a further one evicts the
  // oldest.
  std::size_t max_waiting_tenants = 8192;
  // Services from which on those without calls in progress are evicted for a further one.
  std::size_t max_services = 1024;
};

class FairShare {
 public:
  explicit FairShare(FairShareOptions options = {}) : options(options) {}

  // Counts a call as in progress. Returns false, and does not count it, if the service has no
  // capacity left and the tenant has its max-min fair share. Tenant 0 stands for all calls without
  // a tenant.
  bool TryBegin(ServiceKey service, TenantKey tenant, TimePoint now);
  // Records the end of a call for which TryBegin returned true.
  void End(ServiceKey service, TenantKey tenant, TimePoint now);
  // Records that a leaf refused a request of a call in progress for lack of capacity.
  void RecordRefusal(ServiceKey service, TimePoint now);

  // Returns the number of calls that the service can sustain; nullopt if no limit is known.
  std::optional<double> GetCapacity(ServiceKey service, TimePoint now) const;
  std::size_t CountCalls(ServiceKey service) const;  // in progress
  // Returns the number of tenants with calls in progress or recently refused calls.
  std::size_t CountTenants(ServiceKey service, TimePoint now);
  std::size_t service_count() const { return this->services.size(); }

 private:
  struct Tenant {
    std::size_t calls = 0;                // in progress
    std::optional<TimePoint> refused_at;  // the last refusal that still counts
  };
  struct Service {
    std::size_t calls = 0;                                  // in progress
    double capacity = 0;                                    // at the last refusal by a leaf
    std::optional<TimePoint> refused_at;                    // last refusal by a leaf
    std::unordered_map<TenantKey, Tenant> tenants;          // with calls in progress
    std::unordered_map<TenantKey, Tenant> waiting_tenants;  // without, and with refused calls
    std::set<std::pair<TimePoint, TenantKey>> refusals;     // Tenant::refused_at, oldest first
  };

  Service& FindOrInsert(ServiceKey service);
  std::optional<double> ComputeCapacity(const Service& service, TimePoint now) const;
  static bool HasShare(const Service& service, std::size_t calls, double capacity);
  void RecordTenantRefusal(Service& service, TenantKey tenant, TimePoint now) const;
  // Forgets the refusals that are older than demand_lifetime.
  void ExpireRefusals(Service& service, TimePoint now) const;
  static void RemoveOldestRefusal(Service& service);

  FairShareOptions options;
  std::unordered_map<ServiceKey, Service> services;
};

}  // namespace ibishold

#endif  // IBISHOLD_FAIR_SHARE_H_
