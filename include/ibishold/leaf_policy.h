#ifndef IBISHOLD_LEAF_POLICY_H_
#define IBISHOLD_LEAF_POLICY_H_

// State that one VM keeps about the leaves, and the limits on extra attempts (hedges and retries).
// The classes read no clock and no socket: the caller passes the time.
//
// Index of this header:
//   1. ExtraAttemptBudget  limit on hedges and retries per service
//   2. RecentLatency       quantiles of recent durations, for example of one route
//   3. LeafNotices         leaves that announced a shutdown or asked for a backoff
//   4. LeafTracker         health and load of each leaf as seen by this VM; choice of a leaf
//   5. CrashGuard          detection and refusal of calls that crash leaves

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/hash/hash.h"
#include "ibishold/call.h"
#include "ibishold/core.h"
#include "ibishold/request_policy.h"
#include "ibishold/routing.h"

namespace ibishold {

// ---- 1. ExtraAttemptBudget ----------------------------------------------------------------------

struct ExtraAttemptOptions {
  double share = 0.18;  // extra attempts per first attempt; the contract of a service allows 0.2
  // Extra attempts beyond `share` that a service accepts in any window, from all VMs together. The
  // platform's contract sets this value and the length of the window.
  double slack = 100;
  Duration window = std::chrono::seconds(10);
  double usable_slack_share = 0.8;  // of the slack; the rest covers VMs that restart
  double slack_burst_share = 0.5;   // of the usable slack, at once; the rest accrues over `window`
  double initial_fill_share = 0.2;  // of a full budget, for a process that has just started
};

// Limits the extra attempts (hedges and retries), so that all VMs together stay within the contract
// of a service in every window. Each VM uses only its own part of the slack: one portion can be
// saved up for a burst, the other portion accrues over time.
class ExtraAttemptBudget {
 public:
  explicit ExtraAttemptBudget(ExtraAttemptOptions options = {});

  // Credits the budget for the first attempt of a call at one shard. `sender_count` is the number
  // of VMs that send to this service.
  void RecordFirstAttempt(const ServiceName& service, std::size_t sender_count, TimePoint now);
  // Takes one extra attempt from the budget; returns false if there is not enough left. `reserve`
  // is the share of a full budget that must remain afterwards, for more urgent attempts.
  bool TryTake(const ServiceName& service,
               std::size_t sender_count,
               TimePoint now,
               double reserve = 0);

 private:
  struct Account {
    RatioBudget budget;
    TimePoint credited_until{};  // the accruing part of the slack is credited up to here
  };

  double ComputeMaxBalance(std::size_t sender_count) const;
  RatioBudget& UpdateBudget(const ServiceName& service, std::size_t sender_count, TimePoint now);

  ExtraAttemptOptions options;
  std::unordered_map<ServiceName, Account, absl::Hash<ServiceName>> accounts;
};

// ---- 2. RecentLatency ---------------------------------------------------------------------------

// Recent durations of one kind, such as successful attempts for one route over all leaves.
class RecentLatency {
 public:
  void Record(Duration duration);

  // Returns the quantile `share` (0 to 1) of the newest samples, or `fallback` if there are fewer
  // than 16.
  Duration GetQuantile(double quantile, Duration fallback) const;

 private:
  static constexpr std::size_t kWindowSamples = 256;  // samples

  std::vector<float> samples_ms;  // ring buffer
  std::size_t next_index = 0;
  mutable std::vector<float> sorted_samples_ms;
  mutable std::size_t samples_since_sort = 0;  // samples recorded since `sorted` was computed
};

// ---- 3. LeafNotices -----------------------------------------------------------------------------

struct LeafNoticeOptions {
  // Longer waits are shortened to this one; no overload lasts longer.
  Duration max_backoff = std::chrono::minutes(10);
  // Peers are told for this long that a leaf is shutting down. This is longer than a VM takes to
  // restart and to read the published entries.
  Duration gossip_duration = std::chrono::seconds(20);
  std::size_t max_leaves = 4096;  // leaves; a new one evicts the one with the oldest notice
};

struct LeafNotice {
  LeavingLeaf leaf;
  bool leaving = false;  // if false, the leaf asked for no requests for `wait`
  Duration wait{};
};

// Shutdown and backoff notices that leaves send with their answers. A notice applies to one run of
// a leaf: it stays in force while published entries still say that the leaf is ready, and when a
// removed entry comes back, and it ends when the leaf restarts.
class LeafNotices {
 public:
  explicit LeafNotices(LeafNoticeOptions options = {});

  // The leaf told this VM that it is shutting down.
  void RecordLeaving(const LeafId& leaf, std::uint64_t started, TimePoint now);
  // A peer reported that the leaf is shutting down. Returns true if this VM did not know it yet.
  // Reports about an earlier run of the leaf are ignored.
  bool RecordPeerLeaving(const LeavingLeaf& leaving, TimePoint now);
  // The leaf asked this VM to send it no requests for `wait`.
  void RecordBackoff(const LeafId& leaf, std::uint64_t started, Duration wait, TimePoint now);

  bool IsLeaving(const LeafEntry& leaf) const;
  // End of the backoff that the leaf asked for; nothing if there is none now.
  std::optional<TimePoint> GetBackoffEnd(const LeafEntry& leaf, TimePoint now) const;
  bool RefusesRequests(const LeafEntry& leaf, TimePoint now) const {
    return this->IsLeaving(leaf) || this->GetBackoffEnd(leaf, now).has_value();
  }
  // Leaves whose shutdown is still to be gossiped to peers.
  std::vector<LeavingLeaf> ListLeavingLeaves(TimePoint now) const;
  // Notices that this VM received from leaves itself since the last call of this function.
  std::vector<LeafNotice> TakeNotices();

 private:
  struct Notice {
    std::uint64_t started = 0;  // LeafEntry::started
    bool leaving = false;
    TimePoint backoff_until{};
    TimePoint received_at{};
  };

  // Returns null if a later run of the leaf is known.
  Notice* FindOrInsert(const LeafId& leaf, std::uint64_t started, TimePoint now);
  const Notice* FindNotice(const LeafEntry& leaf) const;

  LeafNoticeOptions options;
  std::unordered_map<LeafId, Notice, absl::Hash<LeafId>> notices;
  std::vector<LeafNotice> new_notices;  // not returned by TakeNotices yet
};

// ---- 4. LeafTracker -----------------------------------------------------------------------------

struct LeafTrackerOptions {
  DataCentre data_centre;                                // where this VM runs
  double remote_cost_factor = 1.5;                       // multiplies the score of leaves elsewhere
  Duration remote_delay = std::chrono::milliseconds(2);  // added to that score
  // Least amount added to the score of a leaf in another data centre, as a share of the call's
  // latency objective. The bandwidth between data centres is scarce, and a leaf nearby that answers
  // well before the objective is fast enough.
  double remote_objective_share = 0.12;
  Duration load_half_life = std::chrono::milliseconds(150);  // of the load that a leaf reported
  Duration slowness_half_life = std::chrono::seconds(3);     // of a measured slowness
  Duration failure_half_life = std::chrono::seconds(3);      // of the failure count
  // Upper bound of the slowness recorded for a single slow request and for the requests that were
  // in flight with it. Usually their leaf has paused, which does not predict the next request.
  double max_pause_slowness = 2;
  double stall_factor = 3;  // a leaf is stalled after this many usual durations without an answer
  Duration min_stall_duration =
      std::chrono::milliseconds(25);  // a leaf is never stalled before this
  // A silent leaf is avoided for this long or until it answers. Leaves pause for 100 to 200 ms
  // (site files); when a pause is noticed, about this much of it is left. The time doubles with
  // each further silence without an answer in between, because such a leaf is down rather than
  // paused.
  Duration silence_avoidance = std::chrono::milliseconds(120);
  Duration max_silence_avoidance = std::chrono::seconds(2);
  // A silence is reported to peers only if the leaf answered this VM within this time: a leaf that
  // this VM cannot reach at all may still answer the peers.
  Duration silence_gossip_window = std::chrono::seconds(1);
};

// Tracks outstanding attempts, latency, failures and reported load of each leaf, and chooses the
// leaf that is expected to answer first.
class LeafTracker {
 public:
  explicit LeafTracker(LeafTrackerOptions options, std::uint64_t seed);

  // `usual` is the duration that an attempt of this kind usually takes.
  void RecordSend(AttemptId attempt, const LeafEntry& leaf, Duration usual_duration, TimePoint now);
  // Each attempt ends with one of these. Unknown attempts are ignored.
  void RecordReply(AttemptId attempt, const LeafReply& reply, TimePoint now);
  void RecordFailure(AttemptId attempt, AttemptFailure failure, TimePoint now);
  void RecordCancellation(AttemptId attempt, TimePoint now);
  void Forget(const LeafId& leaf);

  // Expected time until this leaf answers, in milliseconds, including the cost of another data
  // centre; lower is better. `objective` is the latency objective of the call, zero if it has none.
  double ComputeScore(const LeafEntry& leaf,
                      Duration usual_duration,
                      TimePoint now,
                      Duration objective = {}) const;

  // Returns the candidate with the lowest score, or null if there are no candidates. Ties are
  // broken at random.
  const LeafEntry* Choose(const std::vector<const LeafEntry*>& candidates,
                          Duration usual_duration,
                          TimePoint now,
                          Duration objective = {});

  std::uint32_t CountInFlight(const LeafId& leaf) const;
  // Mean load of the leaves that answered recently, 0 to 1: requests running or waiting per slot,
  // without the request that was answered.
  double load() const { return this->mean_load; }
  // True if the oldest attempt at this leaf has been waiting much longer than usual.
  bool IsStalled(const LeafId& leaf, TimePoint now) const;

  // An attempt has waited longer than its leaf usually takes. The leaf is considered silent if it
  // has not answered anything since the attempt was sent.
  void RecordOverdue(AttemptId attempt, TimePoint now);
  // A peer found a leaf silent. The report is ignored if the leaf has answered this VM meanwhile.
  // Returns true if the leaf was not known to be silent.
  bool RecordPeerSilence(const SilentLeaf& report, TimePoint now);
  // Leaves that this VM itself found silent since the last call of this function.
  std::vector<SilentLeaf> TakeSilentLeaves();

  // Takes a token to send one request to a leaf. Returns false if the leaf is cold and this VM has
  // used up its part of `rate` (requests/s from all VMs). `sender_count` is the
  // number of VMs that send.
  bool TryTakeWarmUpToken(const LeafEntry& leaf,
                          double fleet_rate,
                          std::size_t sender_count,
                          TimePoint now);
  // The leaf stated that it stays cold until `until`.
  void SetColdUntil(const LeafId& leaf, TimePoint until, TimePoint now);
  // Another leaf answers at this leaf's address. The leaf is unusable until its published entry has
  // a newer revision.
  void MarkMisplaced(const LeafId& leaf, std::uint64_t revision);
  bool IsMisplaced(const LeafEntry& leaf) const;

 private:
  struct OutstandingAttempt {
    LeafId leaf;
    Duration usual_duration{};
    TimePoint sent_at{};
  };
  struct LeafCondition {
    std::set<AttemptId> attempts;  // outstanding, oldest first
    double slowness = 1;           // measured duration divided by the usual one
    TimePoint slowness_updated_at{};
    double failure_count = 0;  // count with exponential decay
    TimePoint failures_updated_at{};
    double other_vm_requests = 0;  // of other VMs, from the newest load that the leaf reported
    TimePoint load_reported_at{};
    TimePoint cold_until{};
    TimePoint warm_up_tokens_updated_at{};
    double warm_up_tokens = 0;
    std::uint64_t misplaced_revision = 0;
    TimePoint replied_at{};             // time of the newest answer to this VM
    TimePoint silent_until{};           // found silent by this VM or a peer
    int consecutive_silences = 0;       // without an answer in between
    int consecutive_slow_requests = 0;  // slow requests, each sent after the one before had ended
    TimePoint last_slow_end{};          // end of the newest of these requests
    bool silence_reported = false;      // peers know of the current silence
  };

  // Ends an attempt; returns nothing if it is not known.
  std::optional<OutstandingAttempt> RemoveAttempt(AttemptId attempt);
  void UpdateSlowness(LeafCondition& condition, double measured_slowness, TimePoint now) const;
  // Returns `measured`, bounded by max_pause_slowness unless slow requests follow one another.
  double LimitPauseSlowness(LeafCondition& condition,
                            const OutstandingAttempt& attempt,
                            double measured_slowness,
                            TimePoint now) const;
  void MarkSilent(LeafCondition& condition, TimePoint now) const;

  LeafTrackerOptions options;
  Random random;
  std::unordered_map<LeafId, LeafCondition, absl::Hash<LeafId>> conditions;
  std::unordered_map<AttemptId, OutstandingAttempt> outstanding;
  std::vector<SilentLeaf> new_silent_leaves;  // not returned by TakeSilentLeaves yet
  double mean_load = 1;  // moving average; 1 (full) until leaves report their load
};

// ---- 5. CrashGuard ------------------------------------------------------------------------------

struct CrashGuardOptions {
  std::size_t crash_limit = 3;  // crashed leaves of a service, or services, that block a call
  double success_weight = 0.5;  // crashes that one success offsets
  Duration crash_retention = std::chrono::seconds(60);   // for crashes that led to no refusal
  Duration refusal_duration = std::chrono::minutes(10);  // as in the quarantine of ibishold-front
  std::size_t max_fingerprints = 1024;                   // fingerprints
  std::size_t max_services = 8;                          // services remembered per fingerprint
  std::size_t max_leaves_per_service = 8;  // leaves remembered per service of a fingerprint
};

// Detects calls that crash the leaves that run them, by attempts whose connection broke while a
// leaf ran them. Every sending VM receives every report and applies the same rules:
//   - If `crash_limit` leaves of a service crashed in two or more requests, the call is no longer
//     sent to that service. Other shards of a call that fans out still receive it.
//   - If leaves of `crash_limit` services crashed in two or more requests, the call is refused.
// A call that is in flight when leaves crash for another reason is not blocked: this affects only
// one of its requests, and successes offset crashes.
class CrashGuard {
 public:
  explicit CrashGuard(CrashGuardOptions options = {});

  void RecordCrash(const LeafCrash& crash, TimePoint now);  // observed by this VM
  // Reported by a peer. Returns false if it contains nothing new.
  bool RecordPeerCrash(const LeafCrash& crash, TimePoint now);
  // A leaf of the service answered the call.
  void RecordSuccess(std::uint64_t fingerprint, std::uint64_t service_hash);

  bool HasActiveRefusal(std::uint64_t fingerprint, TimePoint now) const;
  // Time for which the call, or its part for one service, is still refused; zero if it is not.
  Duration GetRefusalTimeLeft(std::uint64_t fingerprint, TimePoint now) const;
  Duration GetBlockTimeLeft(std::uint64_t fingerprint,
                            std::uint64_t service_hash,
                            TimePoint now) const;

  void MergeRefusal(const CallRefusal& refusal, TimePoint now);
  std::vector<CallRefusal> ListRefusals(TimePoint now) const;
  // Crashes that this VM observed since the last call of this function.
  std::vector<LeafCrash> TakeReports();

 private:
  struct ServiceCrashes {
    std::uint64_t service_hash = 0;
    double score = 0;                        // crashes minus weighted successes, not below 0
    std::vector<std::uint64_t> leaf_hashes;  // hashes of the leaf runs that crashed
    TimePoint blocked_until{};
  };
  struct Entry {
    std::vector<ServiceCrashes> services;
    std::vector<std::uint64_t> request_hashes;  // hashes; at most two, more make no difference
    TimePoint refused_until{};
    TimePoint last_report_at{};
  };

  Entry& FindOrInsert(std::uint64_t fingerprint, TimePoint now);
  // Returns false if the crash is already counted or a limit is reached.
  bool AddCrashedLeaf(Entry& entry, const LeafCrash& crash) const;
  void ApplyLimits(Entry& entry, TimePoint now) const;

  CrashGuardOptions options;
  std::unordered_map<std::uint64_t, Entry> entries;
  std::vector<LeafCrash> reports;  // not returned by TakeReports yet
};

}  // namespace ibishold

#endif  // IBISHOLD_LEAF_POLICY_H_
