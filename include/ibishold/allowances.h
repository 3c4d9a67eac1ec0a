#ifndef IBISHOLD_ALLOWANCES_H_
#define IBISHOLD_ALLOWANCES_H_

// Keeps the calls of each tenant within its allowance over the whole fleet
// (docs/design/tenants.md). The VM that takes a call decides on it; the tenant's home VM counts the
// calls of all VMs and states which fraction of them may be admitted. The classes read no clock and
// no socket: the caller passes the time.
//
// Index of this header:
//   1. TenantState      what a home VM states about a tenant
//   2. UsageReport      what a VM reports to a home VM, and the answer
//   3. TenantStates     the states that this VM knows
//   4. AllowanceGate    admits or refuses the calls that this VM takes
//   5. UsageLedger      counts the calls of the tenants that this VM is the home of

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ibishold/core.h"
#include "ibishold/rate_sharing.h"
#include "ibishold/tenants.h"

namespace ibishold {

// ---- 1. TenantState -----------------------------------------------------------------------------

struct TenantState {
  TenantKey tenant = 0;
  bool limited = false;  // false: the limiting has ended
  double fraction = 1;   // of the tenant's calls that each VM may admit, 0 to 1
  double demand = 0;     // calls/s that reach all VMs
  // False: stated by a VM that some reports went to in place of the home VM, because that one did
  // not acknowledge them.
  bool by_home = true;
  Duration age{};  // time since the home VM stated this
};

// ---- 2. UsageReport -----------------------------------------------------------------------------

// Calls of one tenant since the sender's last report.
struct TenantUsage {
  TenantKey tenant = 0;
  std::uint32_t asked = 0;
  std::int32_t admitted = 0;  // less the calls that were refused later; may be negative
  // TenantState::demand if the sender knows that the tenant is limited, else 0. A VM that becomes
  // the tenant's home goes on from it.
  double known_demand = 0;
};

struct UsageReport {
  Incarnation incarnation = 0;  // of the sender
  // Increases with each report to a home VM; a report that is sent again keeps its number.
  std::uint32_t sequence = 0;
  std::vector<TenantUsage> tenants;
};

struct UsageAcknowledgement {
  std::uint32_t sequence = 0;
  std::vector<TenantState> states;  // of the limited tenants of the report
};

// ---- 3. TenantStates ----------------------------------------------------------------------------

struct TenantStateOptions {
  Duration lifetime = std::chrono::seconds(10);  // without a newer statement
  // Other VMs are told at once only of a state that admits less than this part of what they were
  // told last. Telling a fleet of 1,100 VMs costs each of them about 0.5 KB.
  double news_fraction = 0.4;
  // The same for the least demand, in calls/s. Below it, calls that VMs admit before they hear of
  // the state stay within the tolerance of the platform.
  double min_news_demand = 0;
  // The end of a limitation is repeated to other VMs for this long.
  Duration end_lifetime = std::chrono::seconds(2);
  // A statement of the home VM holds for this long against those of VMs in its place, which know of
  // some calls only.
  Duration home_precedence = std::chrono::seconds(2);
  std::size_t max_states = 4096;  // a further one evicts the oldest
};

// The newest statement on each tenant that is, or was lately, limited.
class TenantStates {
 public:
  explicit TenantStates(TenantStateOptions options = {}) : options(options) {}

  void SetOptions(const TenantStateOptions& new_options) { this->options = new_options; }

  // Stores the state if it is newer than the known one. Returns true if the tenant is newly limited
  // or no longer limited.
  bool Merge(const TenantState& state, TimePoint now);

  // Returns the state if the tenant is limited.
  std::optional<TenantState> FindLimited(TenantKey tenant, TimePoint now) const;

  // Returns the states that this VM has learned of since the last call and that matter to other
  // VMs: the begin or end of a limitation, and a fraction that has fallen far.
  std::vector<TenantState> TakeNews(TimePoint now);
  // Returns all tenants that are limited, and those whose limitation has just ended.
  std::vector<TenantState> List(TimePoint now) const;

 private:
  struct Entry {
    TenantState state;
    TimePoint stated_at{};
    bool is_news = false;
    // The fraction that other VMs were told of last; above 1: none.
    double told_fraction = kNotTold;
  };

  static constexpr double kNotTold = 2;

  bool IsLimited(const Entry& entry, TimePoint now) const;
  // True if other VMs should hear of the state at once.
  bool IsNews(const Entry& entry, const TenantState& state) const;
  static TenantState MakeState(const Entry& entry, TimePoint now);

  TenantStateOptions options;
  std::unordered_map<TenantKey, Entry> entries;
};

// ---- 4. AllowanceGate ---------------------------------------------------------------------------

struct AllowanceGateOptions {
  Duration report_interval = std::chrono::milliseconds(50);  // between two reports to a home VM
  Duration retry_interval = std::chrono::milliseconds(75);   // to an acknowledgement
  int max_tries = 4;  // with one datagram in ten lost, fewer would often blame a home VM that works
  Duration unreachable_time = std::chrono::seconds(3);
  // All VMs together may hold back reports on this share of the tenant's burst, so that a busy
  // fleet sends fewer reports.
  double report_share = 1.0 / 8;
  std::uint32_t max_calls_per_report = 64;
  std::size_t max_tenants_per_report = 48;  // 24 bytes each, in one Ethernet frame
  std::size_t assumed_vms = 15;             // until the peers are known
  // Least capacity of this VM's own bucket. Callers that keep a connection often send two calls in
  // a row.
  double min_own_burst = 2;
  Duration demand_time = std::chrono::milliseconds(500);  // for smoothing of this VM's demand
  Duration max_return_wait = std::chrono::seconds(5);     // longest time told to a refused caller
  Duration idle_time = std::chrono::seconds(60);  // a tenant without calls is forgotten after this
};

struct AllowanceDecision {
  bool admitted = true;
  Duration retry_after{};  // if refused
};

class AllowanceGate {
 public:
  // Homes that are tried before this VM relies on a bucket of its own.
  static constexpr std::size_t kMaxHomes = 3;

  AllowanceGate(AllowanceGateOptions options,
                Incarnation incarnation,
                const TenantStates& states,
                std::uint64_t random_seed);

  void SetTenants(std::shared_ptr<const TenantTable> new_tenants);
  // The VMs that can be the homes of tenants.
  void SetSharers(RateSharers new_sharers);

  // Counts a call of the tenant. A tenant that is unknown or has no limit is always admitted.
  AllowanceDecision TryAdmit(TenantKey tenant, TimePoint now);
  // Adds calls that another VM took, to be reported with those of this VM.
  void AddUsage(const TenantUsage& usage, TimePoint now);
  // Records that an admitted call was refused later and has not run.
  void ReturnToken(TenantKey tenant, TimePoint now);

  struct OutgoingReport {
    std::uint64_t home = 0;  // number of the VM in RateSharers; may be this VM
    UsageReport report;
  };
  // Returns the reports that are due, new ones and those to be sent again.
  std::vector<OutgoingReport> TakeReports(TimePoint now);
  // Returns true if the acknowledgement belongs to the last report to this home VM.
  bool OnAcknowledgement(std::uint64_t home, std::uint32_t sequence);

 private:
  struct Usage {
    std::uint32_t asked = 0;    // not reported yet
    std::int32_t admitted = 0;  // not reported yet
    double credit = 0;          // of the error diffusion; a call is admitted at 1
    TokenBucket own_bucket;     // in force while no home VM can be reached
    double demand = 0;          // calls/s that reach this VM
    TimePoint called_at{};
    TimePoint returns_until{};  // up to this time, refused callers were told to return
    std::array<std::uint64_t, kMaxHomes> homes{};  // the highest rendezvous scores first
    std::size_t home_count = 0;
    std::uint64_t homes_version = 0;  // sharers_version for which `homes` was computed
    bool is_dirty = false;            // in `dirty`
  };
  // Reports to one home VM; one at a time is under way.
  struct HomeLink {
    std::uint32_t last_sequence = 0;
    std::optional<UsageReport> outstanding;
    TimePoint sent_at{};
    int tries = 0;
    TimePoint unreachable_until{};
  };

  Usage& FindOrInsert(TenantKey tenant, const Tenant& limit, TimePoint now);
  std::optional<std::uint64_t> FindHome(TenantKey tenant, Usage& usage, TimePoint now);
  std::uint32_t CountCallsPerReport(const Tenant& limit) const;
  RateShare ComputeOwnShare(const Tenant& limit) const;
  Duration ComputeReturnWait(const Tenant& limit,
                             Usage& usage,
                             const std::optional<TenantState>& state,
                             TimePoint now) const;
  void MarkDirty(TenantKey tenant, Usage& usage);
  void GiveUp(std::uint64_t home, TimePoint now);

  AllowanceGateOptions options;
  Incarnation incarnation;
  const TenantStates& states;
  Random random;
  std::shared_ptr<const TenantTable> tenants;
  RateSharers sharers;
  std::uint64_t sharers_version = 1;
  std::unordered_map<TenantKey, Usage> usages;
  std::vector<TenantKey> dirty;                       // with calls that are not reported
  std::unordered_map<std::uint64_t, HomeLink> links;  // by home VM
  std::set<std::uint64_t> awaited;                    // home VMs with an outstanding report
  TimePoint swept_at{};
};

// ---- 5. UsageLedger -----------------------------------------------------------------------------

struct UsageLedgerOptions {
  // Calls that a tenant may save beyond its burst: a number, and the calls of this time at its
  // rate. Within the tolerance that the platform grants for all VMs together, it keeps estimates
  // from refusing calls of tenants within their allowance.
  double margin = 0;
  Duration margin_time{};
  // Calls/s beyond the rate that the parts of a divided fleet may admit, all together, within the
  // same tolerance. Else a tenant with a low rate that sends to one part would get too little.
  double divided_rate = 0;
  // For smoothing of the demand: at least the first, and as long as the given number of calls takes
  // at the tenant's rate. Otherwise a single call of a tenant with a low rate would look like many.
  Duration min_demand_time = std::chrono::milliseconds(500);
  Duration max_demand_time = std::chrono::seconds(5);
  double calls_in_demand_time = 2;
  Duration correction_time = std::chrono::milliseconds(400);  // in which saved calls are given out
  Duration repayment_time = std::chrono::seconds(1);  // in which calls beyond the rate are repaid
  Duration max_debt = std::chrono::seconds(2);        // of calls at the tenant's rate
  // Limiting ends once all calls have been admitted for this long.
  Duration end_delay = std::chrono::seconds(1);
  // A VM that is not the tenant's home, but was reported to in its place, states nothing about it
  // once the reports have ceased for this long.
  Duration substitute_time = std::chrono::seconds(1);
  // Such a VM uses this share of the rate, because the home may still count calls of VMs that do
  // not reach this one.
  double substitute_rate_share = 0.5;
  Duration idle_time = std::chrono::seconds(60);  // a tenant without reports is forgotten after it
  // For this long after its first report on a tenant, a home VM takes over what the senders of
  // reports know. It would otherwise admit all calls until it has measured the demand.
  Duration adoption_time = std::chrono::seconds(1);
};

// Accounting of the tenants that other VMs report to this one.
class UsageLedger {
 public:
  // States that this VM makes are merged into `states`.
  UsageLedger(UsageLedgerOptions options, TenantStates& states);

  void SetOptions(const UsageLedgerOptions& new_options) { this->options = new_options; }
  void SetTenants(std::shared_ptr<const TenantTable> new_tenants);
  void SetSharers(RateSharers new_sharers);

  // Counts a report, unless it is one that was counted before.
  UsageAcknowledgement OnReport(std::uint64_t sender, const UsageReport& report, TimePoint now);

  // Adjusts the states to the time that has passed. Call about every 100 ms.
  void Update(TimePoint now);

  // Ends the accounting of this VM. Returns the calls whose tokens have not come back yet, for the
  // VMs that become the tenants' homes.
  std::vector<TenantUsage> TakeOpenUsage(TimePoint now);

  // True if VMs have lately reported calls of the tenant to this one.
  bool counts(TenantKey tenant) const { return this->accounts.contains(tenant); }

 private:
  struct Account {
    double level = 0;  // of the bucket; below 0: calls beyond the rate
    TimePoint level_at{};
    double demand = 0;  // calls/s
    TimePoint demand_at{};
    TimePoint reported_at{};
    TimePoint created_at{};
    double fraction = 1;
    bool is_limited = false;
    TimePoint limited_at{};             // the last time that the fraction was below 1
    bool is_home = true;                // this VM has the highest score for the tenant
    std::uint64_t sharers_version = 0;  // for which is_home was computed
  };
  struct Reporter {
    Incarnation incarnation = 0;
    std::uint32_t last_sequence = 0;
    TimePoint reported_at{};
  };

  Account& FindOrInsert(TenantKey tenant, const Tenant& limit, TimePoint now);
  void UpdateHome(TenantKey tenant, Account& account) const;
  double GetReach() const;
  double ComputeRate(const Tenant& limit, const Account& account) const;
  double ComputeMargin(const Tenant& limit) const;
  double ComputeCapacity(const Tenant& limit) const;
  double ComputeDemandSeconds(const Tenant& limit) const;
  static void Adopt(double known_demand, Account& account, TimePoint now);
  void UpdateAccount(const Tenant& limit, Account& account, TimePoint now) const;
  void UpdateState(TenantKey tenant, const Tenant& limit, Account& account, TimePoint now);
  void PublishState(TenantKey tenant, const Account& account, TimePoint now);

  UsageLedgerOptions options;
  TenantStates& states;
  RateSharers sharers;
  std::uint64_t sharers_version = 1;
  std::shared_ptr<const TenantTable> tenants;
  std::unordered_map<TenantKey, Account> accounts;
  std::unordered_map<std::uint64_t, Reporter> reporters;  // by VM
};

}  // namespace ibishold

#endif  // IBISHOLD_ALLOWANCES_H_
