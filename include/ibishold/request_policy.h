#ifndef IBISHOLD_REQUEST_POLICY_H_
#define IBISHOLD_REQUEST_POLICY_H_

// Load policy of the front: admission of requests, choice of a replica, limits on hedges and
// retries.
//
// Index of this header:
//   1. LatencyTracker   recent latency quantiles per leaf
//   2. RatioBudget      limit on hedges and retries as a share of requests
//   3. Admission        in-flight and rate limits per tenant and request class
//   4. TrafficShares    weights of data centres from the table, ramped up after a return to service
//   5. ReplicaChooser   power of two choices by in-flight requests and recent latency

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "ibishold/config.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- 1. LatencyTracker --------------------------------------------------------------------------

struct LatencyTrackerOptions {
  std::size_t window_samples = 128;  // newest samples kept per leaf
  std::size_t min_samples = 20;      // fewer samples give no quantile
  std::size_t max_leaves = 65536;    // leaves tracked; further leaves are ignored
};

// Keeps the recent latency of each leaf.
class LatencyTracker {
 public:
  explicit LatencyTracker(LatencyTrackerOptions options = {});

  // Records the latency of an answered attempt, or the time waited for an abandoned one. Without
  // the latter, a leaf that never answers would look fast.
  void Record(const LeafId& leaf, Duration latency);

  // Returns the given quantile, in (0,1), of the samples in the window; nothing if there are fewer
  // than min_samples.
  std::optional<Duration> GetQuantile(const LeafId& leaf, double quantile) const;

  // Returns the exponentially weighted mean with a weight of 1/8 per sample; nothing if there is no
  // sample.
  std::optional<Duration> GetMean(const LeafId& leaf) const;

 private:
  struct Window {
    std::vector<float> samples_us;  // ring buffer of the newest samples
    std::size_t next_index = 0;
    float mean_us = 0;
    // Every request reads the p95 latency, so the quantile is cached and recomputed once per 8
    // samples.
    mutable std::size_t samples_since_cached = 0;
    mutable double cached_quantile = 0;
    mutable float cached_value_us = 0;
  };

  LatencyTrackerOptions options;
  std::unordered_map<std::string, Window> windows;
};

// ---- 2. RatioBudget -----------------------------------------------------------------------------

struct RatioBudgetOptions {
  double share = 0.05;   // extra requests credited per ordinary request
  double initial = 0;    // extra requests available at the start
  double maximum = 100;  // upper bound of the accumulated extra requests
};

// Limits extra requests (hedges and retries) to a share of the ordinary requests, so that they
// cannot multiply the load of an overloaded service.
class RatioBudget {
 public:
  explicit RatioBudget(RatioBudgetOptions options);

  void RecordRequest();             // credits `share` for one ordinary request
  void Deposit(double amount);      // credits extra requests independent of `share`
  bool TryTake();                   // takes one extra request; false if none is available
  void SetMaximum(double maximum);  // drops credit above the new maximum
  double balance() const { return this->available; }

 private:
  RatioBudgetOptions options;
  double available = 0;
};

// Budget for hedges as a share of leaf requests. `maximum` bounds the unused hedges that
// accumulate, and so the largest burst.
class HedgeBudget : public RatioBudget {
 public:
  explicit HedgeBudget(RatioBudgetOptions options = {.share = 0.04, .maximum = 50})
      : RatioBudget(options) {}
};

// Budget for retries as a share of leaf requests. `initial` lets a front retry right after its
// start.
class RetryBudget : public RatioBudget {
 public:
  explicit RetryBudget(RatioBudgetOptions options = {.share = 0.05, .initial = 10})
      : RatioBudget(options) {}
};

// ---- 3. Admission -------------------------------------------------------------------------------

struct AdmissionOptions {
  // Share of max_in_flight up to which requests of a class are admitted, indexed by class. Lower
  // classes have lower limits, so that the lowest class is shed first as the service's load grows.
  std::array<double, 3> class_share = {1.0, 0.85, 0.6};
  // Share of the token bucket that a class must leave to higher classes, indexed by class.
  std::array<double, 3> rate_reserve = {0, 0.15, 0.4};
  // Share of max_in_flight that one tenant may use while other tenants of the service are active.
  double tenant_share = 0.5;
  // Size of the token bucket, as the time in which the rate limit fills it.
  Duration burst_window = std::chrono::milliseconds(250);
  // A tenant counts as active for this time after its last request.
  Duration tenant_active_window = std::chrono::seconds(1);
  Duration min_retry_after = std::chrono::milliseconds(20);
  Duration max_retry_after = std::chrono::seconds(10);
  std::size_t max_tenants = 1024;  // (service, tenant) pairs; the longest idle is evicted
};

enum class AdmissionRefusal : std::uint8_t { kInFlight, kTenantInFlight, kRate };

inline constexpr std::array<std::string_view, 3> kAdmissionRefusalNames = {
    "in_flight_limit", "tenant_in_flight_limit", "rate_limit"};

struct AdmissionResult {
  bool admitted = false;
  AdmissionRefusal refusal = AdmissionRefusal::kInFlight;  // if refused
  Duration retry_after{};                                  // if refused
};

// Admission control: decides whether a request may run under the in-flight and rate limits of its
// service and tenant.
class Admission {
 public:
  explicit Admission(AdmissionOptions options = {}, std::uint64_t seed = 1);

  // `limits` is the table row of this VM's data centre, or the defaults of TableRow. Every admitted
  // request must end with a call of RecordCompletion.
  AdmissionResult Admit(const ServiceName& service,
                        const TenantName& tenant,
                        RequestClass request_class,
                        const TableRow& limits,
                        TimePoint now);
  void RecordCompletion(const ServiceName& service, const TenantName& tenant, TimePoint now);

  std::uint32_t CountInFlight(const ServiceName& service) const;

 private:
  struct ServiceLoad {
    std::uint32_t in_flight = 0;
    double completions_per_second = 0;  // moving average
    TimePoint last_completion{};
  };
  struct TenantLoad {
    std::string service;
    std::uint32_t in_flight = 0;
    double tokens = 0;
    TimePoint last_request{};
  };

  TenantLoad& FindOrAddTenant(const std::string& key,
                              const ServiceName& service,
                              const TableRow& limits,
                              TimePoint now);
  bool IsOtherTenantActive(const std::string& key, const ServiceName& service, TimePoint now) const;
  Duration ComputeRetryAfter(const ServiceLoad& load);

  AdmissionOptions options;
  Random random;
  std::unordered_map<std::string, ServiceLoad> services;
  std::unordered_map<std::string, TenantLoad> tenants;
};

// ---- 4. TrafficShares ---------------------------------------------------------------------------

struct TrafficSharesOptions {
  Duration ramp_duration = std::chrono::seconds(30);  // from the return to service to full weight
  double ramp_start_share = 0.02;  // share of the full weight at the start of the ramp
};

// Determines the weight of a data centre for a service. Taking a data centre out of service takes
// effect with the next call. After its return to service, its weight ramps up linearly. Rows of the
// first table have no ramp.
class TrafficShares {
 public:
  explicit TrafficShares(TrafficSharesOptions options = {});

  // Replaces the table and starts the ramp of each data centre that returned to service.
  void SetTable(std::shared_ptr<const Table> table, TimePoint now);

  // Returns 0 if the data centre is out of service or its weight is 0, otherwise up to 100.
  double GetWeight(const ServiceName& service, const DataCentre& data_centre, TimePoint now) const;

  // Returns the table row, or the defaults of TableRow if there is none.
  const TableRow& GetRow(const ServiceName& service, const DataCentre& data_centre) const;

 private:
  TrafficSharesOptions options;
  std::shared_ptr<const Table> table;
  std::unordered_map<std::string, TimePoint> returned_at;  // by service and data centre
};

// ---- 5. ReplicaChooser --------------------------------------------------------------------------

// A leaf and a broker that forwards requests to it.
struct ReplicaRoute {
  const Leaf* leaf = nullptr;  // not null
  VmId owner;                  // VM of the broker
  std::uint32_t slots = 1;     // slots of the leaf held by `owner`
  double weight = 100;         // of the data centre; a route with 0 is never chosen
};

// Chooses a replica by the power of two choices.
class ReplicaChooser {
 public:
  explicit ReplicaChooser(std::uint64_t seed) : random(seed) {}

  // Draws two routes at random by weight and chooses the one with the lower expected wait: requests
  // in flight per slot times recent latency. Returns an index into `routes`, or nothing if no route
  // has a weight above 0.
  std::optional<std::size_t> Choose(std::span<const ReplicaRoute> routes,
                                    const LatencyTracker& latency);

  void RecordStart(const LeafId& leaf, const VmId& owner);
  void RecordEnd(const LeafId& leaf, const VmId& owner);
  std::uint32_t CountInFlight(const LeafId& leaf, const VmId& owner) const;

 private:
  double EstimateWait(const ReplicaRoute& route, const LatencyTracker& latency) const;
  std::size_t DrawByWeight(std::span<const ReplicaRoute> routes, double total_weight);

  Random random;
  std::unordered_map<std::string, std::uint32_t> in_flight;  // by leaf and owner; no zero entries
};

}  // namespace ibishold

#endif  // IBISHOLD_REQUEST_POLICY_H_
