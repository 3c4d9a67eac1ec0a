#ifndef IBISHOLD_REQUEST_POLICY_H_
#define IBISHOLD_REQUEST_POLICY_H_

// Decisions of the front about load: what to admit, whom to ask, when to ask a second time.
//
// Index of this header:
//   1. LatencyTracker   recent latency quantiles per leaf
//   2. RatioBudget      hedges and retries as a share of requests
//   3. Admission        in-flight and rate limits per tenant and class
//   4. TrafficShares    weights of data centres from the table, with a ramp after a return
//   5. ReplicaChooser   power of two choices on own in-flight count and recent latency

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
  std::size_t window = 128;          // samples kept per leaf; 128
  std::size_t minimum_samples = 20;  // fewer give no quantile; 20
  std::size_t leaf_limit = 65536;    // leaves remembered; 65536
};

class LatencyTracker {
 public:
  explicit LatencyTracker(LatencyTrackerOptions options = {});

  // An attempt that was given up counts with the time waited so far, so that a leaf that never
  // answers does not look fast.
  void Record(const LeafId& leaf, Duration latency);

  // Quantile of the window, share in (0,1); nothing with fewer than minimum_samples.
  std::optional<Duration> Quantile(const LeafId& leaf, double share) const;

  // Exponentially weighted mean, weight 1/8 per sample; nothing without a sample.
  std::optional<Duration> Mean(const LeafId& leaf) const;

 private:
  struct Window {
    std::vector<float> microseconds;  // ring of the newest samples
    std::size_t next = 0;
    float mean = 0;
    // The p95 is asked for with every request; it is computed once per 8 samples.
    mutable std::size_t uncached_samples = 0;
    mutable double cached_share = 0;
    mutable float cached_quantile = 0;
  };

  LatencyTrackerOptions options;
  std::unordered_map<std::string, Window> windows;
};

// ---- 2. RatioBudget -----------------------------------------------------------------------------

struct RatioBudgetOptions {
  double share = 0.05;   // extra requests per request
  double initial = 0;    // extra requests allowed before any request
  double maximum = 100;  // extra requests that may be saved up
};

// Allows extra requests as a share of the requests made, so that hedges and retries cannot multiply
// the load of an overloaded service.
class RatioBudget {
 public:
  explicit RatioBudget(RatioBudgetOptions options);

  void RecordRequest();             // one ordinary request was sent
  void Deposit(double amount);      // extra requests that are allowed beside the share
  bool TryTake();                   // true: one extra request may be sent
  void SetMaximum(double maximum);  // what is saved beyond it is lost
  double balance() const { return this->available; }

 private:
  RatioBudgetOptions options;
  double available = 0;
};

// 4 % of leaf requests.
class HedgeBudget : public RatioBudget {
 public:
  explicit HedgeBudget(RatioBudgetOptions options = {.share = 0.04, .maximum = 50})
      : RatioBudget(options) {}
};

// 5 % of leaf requests. Ten in advance, so that a front that has just started may retry.
class RetryBudget : public RatioBudget {
 public:
  explicit RetryBudget(RatioBudgetOptions options = {.share = 0.05, .initial = 10})
      : RatioBudget(options) {}
};

// ---- 3. Admission -------------------------------------------------------------------------------

struct AdmissionOptions {
  // Share of max_in_flight that a class may fill. Lower classes stop earlier, so that the lowest
  // class is shed first while the service fills up.
  std::array<double, 3> class_share = {1.0, 0.85, 0.6};
  // Share of the rate burst that a class leaves for higher classes.
  std::array<double, 3> rate_reserve = {0, 0.15, 0.4};
  double tenant_share = 0.5;                                 // of max_in_flight while others wait
  Duration burst_window = std::chrono::milliseconds(250);    // requests saved up by an idle tenant
  Duration tenant_active_window = std::chrono::seconds(1);   // a tenant counts as active for 1 s
  Duration min_retry_after = std::chrono::milliseconds(20);  // 20 ms
  Duration max_retry_after = std::chrono::seconds(10);       // 10 s
  std::size_t tenant_limit = 1024;  // (service, tenant) pairs; the longest idle is forgotten
};

enum class Refusal : std::uint8_t { kInFlight, kTenantInFlight, kRate };

inline constexpr std::array<std::string_view, 3> kRefusalNames = {
    "in_flight_limit", "tenant_in_flight_limit", "rate_limit"};

struct AdmissionResult {
  bool admitted = false;
  Refusal refusal = Refusal::kInFlight;  // if refused
  Duration retry_after{};                // if refused
};

class Admission {
 public:
  explicit Admission(AdmissionOptions options = {}, std::uint64_t seed = 1);

  // limits: the row of this VM's data centre, or the defaults of TableRow. Every admitted request
  // must be given back with Done.
  AdmissionResult Admit(const ServiceName& service,
                        const TenantName& tenant,
                        RequestClass request_class,
                        const TableRow& limits,
                        TimePoint now);
  void RecordCompletion(const ServiceName& service, const TenantName& tenant, TimePoint now);

  std::uint32_t InFlight(const ServiceName& service) const;

 private:
  struct ServiceLoad {
    std::uint32_t in_flight = 0;
    double completions_per_second = 0;  // exponentially weighted
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
  bool OtherTenantActive(const std::string& key, const ServiceName& service, TimePoint now) const;
  Duration RetryAfter(const ServiceLoad& load);

  AdmissionOptions options;
  Random random;
  std::unordered_map<std::string, ServiceLoad> services;
  std::unordered_map<std::string, TenantLoad> tenants;
};

// ---- 4. TrafficShares ---------------------------------------------------------------------------

struct TrafficSharesOptions {
  Duration ramp_duration =
      std::chrono::seconds(30);    // 30 s from 0 to the full weight after a return
  double ramp_start_share = 0.02;  // share of the weight at the start of the ramp
};

// Weight of a data centre for a service. Taking one out acts with the next call; a return ramps up
// linearly. Rows of the first table have no ramp.
class TrafficShares {
 public:
  explicit TrafficShares(TrafficSharesOptions options = {});

  void SetTable(std::shared_ptr<const Table> table, TimePoint now);

  // 0 if the data centre is out or its weight is 0; else up to 100.
  double WeightOf(const ServiceName& service, const DataCentre& data_centre, TimePoint now) const;

  // The row, or the defaults of TableRow.
  const TableRow& RowOf(const ServiceName& service, const DataCentre& data_centre) const;

 private:
  TrafficSharesOptions options;
  std::shared_ptr<const Table> table;
  std::unordered_map<std::string, TimePoint> returned_at;  // by service and data centre
};

// ---- 5. ReplicaChooser --------------------------------------------------------------------------

// One way to reach a leaf.
struct ReplicaRoute {
  const Leaf* leaf = nullptr;  // not null
  VmId owner;                  // broker that holds slots of the leaf
  std::uint32_t slots = 1;     // held by this owner
  double weight = 100;         // of the leaf's data centre; 0: never chosen
};

class ReplicaChooser {
 public:
  explicit ReplicaChooser(std::uint64_t seed) : random(seed) {}

  // Draws two routes by weight and takes the one with the lower expected wait: requests in flight
  // per slot times recent latency. Index into routes, or nothing if no route has a weight.
  std::optional<std::size_t> Choose(std::span<const ReplicaRoute> routes,
                                    const LatencyTracker& latency);

  void RecordStart(const LeafId& leaf, const VmId& owner);
  void RecordEnd(const LeafId& leaf, const VmId& owner);
  std::uint32_t InFlight(const LeafId& leaf, const VmId& owner) const;

 private:
  double Score(const ReplicaRoute& route, const LatencyTracker& latency) const;
  std::size_t DrawByWeight(std::span<const ReplicaRoute> routes, double total);

  Random random;
  std::unordered_map<std::string, std::uint32_t> in_flight;  // by leaf and owner; no zero entries
};

}  // namespace ibishold

#endif  // IBISHOLD_REQUEST_POLICY_H_
