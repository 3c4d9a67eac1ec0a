#ifndef IBISHOLD_LEAF_POLICY_H_
#define IBISHOLD_LEAF_POLICY_H_

// State that one VM keeps about the leaves, and the limits on extra attempts (hedges and retries).
// The classes read no clock and no socket: the caller passes the time.
//
// Index of this header:
//   1. ExtraAttemptBudget  limit on hedges and retries per service
//   2. RecentLatency       quantiles of recent durations, for example of attempts on one route
//   3. LeafNotices         leaves that announced a shutdown or asked for a backoff
//   4. LeafTracker         health and load of each leaf as seen by this VM; choice of a leaf

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
  double share = 0.18;  // extra attempts per first attempt; a service's contract allows 0.2
  // Extra attempts beyond `share` that a service accepts in any window, from all VMs together. The
  // platform's contract sets this value and the length of the window.
  double slack = 100;
  Duration window = std::chrono::seconds(10);
  // Share of the slack that the budgets use. The rest covers VMs that restart with a new budget.
  double usable_slack_share = 0.8;
  // Share of the usable slack that can be saved up for a burst. The rest accrues over `window`.
  double slack_burst_share = 0.5;
  double initial_fill_share = 0.2;  // share of a full budget that a new process starts with
};

// Limits the extra attempts (hedges and retries), so that all VMs together stay within the contract
// of a service in every window. Each VM uses only its own part of the slack. One portion of that
// part can be saved up for a burst, the other portion accrues over time.
class ExtraAttemptBudget {
 public:
  explicit ExtraAttemptBudget(ExtraAttemptOptions options = {});

  // Credits the budget for the first attempt of a call at one shard. `sender_count` is the number
  // of VMs that send to this service.
  void RecordFirstAttempt(const ServiceName& service, std::size_t sender_count, TimePoint now);
  // Takes one extra attempt from the budget; returns false if there is not enough left. `reserve`
  // is the share of a full budget that must remain afterwards for more urgent attempts.
  bool TryTake(const ServiceName& service,
               std::size_t sender_count,
               TimePoint now,
               double reserve = 0);

 private:
  struct Account {
    RatioBudget budget;
    TimePoint credited_until{};  // time up to which the accruing slack has been credited
  };

  // Returns the size of a full budget.
  double ComputeMaxBalance(std::size_t sender_count) const;
  // Credits the slack accrued since the last update and returns the budget of the service.
  RatioBudget& UpdateBudget(const ServiceName& service, std::size_t sender_count, TimePoint now);

  ExtraAttemptOptions options;
  std::unordered_map<ServiceName, Account, absl::Hash<ServiceName>> accounts;
};

// ---- 2. RecentLatency ---------------------------------------------------------------------------

// Keeps the recent durations of one kind of operation, such as the successful attempts on one route
// over all leaves.
class RecentLatency {
 public:
  void Record(Duration duration);

  // Returns the given quantile (0 to 1) of the newest samples, or `fallback` if there are fewer
  // than 16 samples.
  Duration GetQuantile(double quantile, Duration fallback) const;

 private:
  static constexpr std::size_t kWindowSamples = 256;

  std::vector<float> samples_ms;  // ring buffer
  std::size_t next_index = 0;
  mutable std::vector<float> sorted_samples_ms;
  mutable std::size_t samples_since_sort = 0;  // recorded since the last sort
};

// ---- 3. LeafNotices -----------------------------------------------------------------------------

struct LeafNoticeOptions {
  // Longest backoff that is honoured; longer ones are shortened, because no overload lasts longer.
  Duration max_backoff = std::chrono::minutes(10);
  // Time for which a shutdown of a leaf is gossiped to peers. It is longer than a VM takes to
  // restart and to read the published entries.
  Duration gossip_duration = std::chrono::seconds(20);
  std::size_t max_leaves = 4096;  // a further leaf evicts the one with the oldest notice
};

struct LeafNotice {
  LeavingLeaf leaf;
  bool leaving = false;  // true: the leaf is shutting down; false: it asked for a backoff
  Duration wait{};       // length of the backoff
};

// Stores the shutdown and backoff notices that leaves send with their answers. A notice applies to
// one run of a leaf, identified by LeafEntry::started, and ends when the leaf restarts. It outlasts
// published entries that still say that the leaf is ready, and the removal and return of an entry.
class LeafNotices {
 public:
  explicit LeafNotices(LeafNoticeOptions options = {});

  // Records that the leaf announced its shutdown to this VM.
  void RecordLeaving(const LeafId& leaf, std::uint64_t started, TimePoint now);
  // Records a peer's report that the leaf is shutting down. Returns true if the shutdown was not
  // recorded yet. Reports about an earlier run of the leaf are ignored.
  bool RecordPeerLeaving(const LeavingLeaf& leaving, TimePoint now);
  // Records that the leaf asked this VM to send it no requests for the duration `wait`.
  void RecordBackoff(const LeafId& leaf, std::uint64_t started, Duration wait, TimePoint now);

  bool IsLeaving(const LeafEntry& leaf) const;
  // Returns the end of the backoff that the leaf asked for, or nothing if no backoff is in force.
  std::optional<TimePoint> GetBackoffEnd(const LeafEntry& leaf, TimePoint now) const;
  // True if the leaf is shutting down or asked for a backoff that is still in force.
  bool RefusesRequests(const LeafEntry& leaf, TimePoint now) const {
    return this->IsLeaving(leaf) || this->GetBackoffEnd(leaf, now).has_value();
  }
  // Returns the leaves whose shutdown must still be gossiped to peers.
  std::vector<LeavingLeaf> ListLeavingLeaves(TimePoint now) const;
  // Returns the notices received directly from leaves, not from peers, since the last call.
  std::vector<LeafNotice> TakeNotices();

 private:
  struct Notice {
    std::uint64_t started = 0;  // run of the leaf, as in LeafEntry::started
    bool leaving = false;
    TimePoint backoff_until{};
    TimePoint received_at{};
  };

  // Returns null if a notice of a later run of the leaf is stored.
  Notice* FindOrInsert(const LeafId& leaf, std::uint64_t started, TimePoint now);
  const Notice* FindNotice(const LeafEntry& leaf) const;

  LeafNoticeOptions options;
  std::unordered_map<LeafId, Notice, absl::Hash<LeafId>> notices;
  std::vector<LeafNotice> new_notices;  // not returned by TakeNotices yet
};

// ---- 4. LeafTracker -----------------------------------------------------------------------------

struct LeafTrackerOptions {
  DataCentre data_centre;           // where this VM runs
  double remote_cost_factor = 1.5;  // multiplies the score of a leaf in another data centre
  // Added to the score of a leaf in another data centre.
  Duration remote_delay = std::chrono::milliseconds(2);
  // Minimum amount added to the score of a leaf in another data centre, as a share of the call's
  // latency objective. Bandwidth between data centres is scarce, and a leaf in the same data centre
  // that answers well before the objective is fast enough.
  double remote_objective_share = 0.12;
  Duration load_half_life = std::chrono::milliseconds(150);  // decay of a reported load
  Duration slowness_half_life = std::chrono::seconds(3);     // decay of a measured slowness
  Duration failure_half_life = std::chrono::seconds(3);      // decay of the failure count
  // Upper bound of the slowness recorded for a single slow request and for the requests in flight
  // at the same time. The usual cause is a pause of the leaf, which does not predict the next
  // request.
  double max_pause_slowness = 2;
  // A leaf is stalled if its oldest attempt has waited for this many usual durations, and for at
  // least min_stall_duration.
  double stall_factor = 3;
  Duration min_stall_duration = std::chrono::milliseconds(25);
  // Time for which a silent leaf is avoided unless it answers before. According to the site files,
  // leaves pause for 100 to 200 ms, and about this much of a pause is left when it is detected. The
  // time doubles with each further silence without an answer in between, because such a leaf is
  // down rather than paused.
  Duration silence_avoidance = std::chrono::milliseconds(120);
  Duration max_silence_avoidance = std::chrono::seconds(2);
  // A silence is reported to peers only if the leaf answered this VM within this time before. A
  // leaf that this VM cannot reach at all may still answer the peers.
  Duration silence_gossip_window = std::chrono::seconds(1);
};

// Tracks outstanding attempts, latency, failures and reported load of each leaf, and chooses the
// leaf that is expected to answer first.
class LeafTracker {
 public:
  explicit LeafTracker(LeafTrackerOptions options, std::uint64_t seed);

  // Records an attempt sent to the leaf. `usual_duration` is the usual duration of such
  // an attempt.
  void RecordSend(AttemptId attempt, const LeafEntry& leaf, Duration usual_duration, TimePoint now);
  // Record the end of an attempt; each attempt ends with one of these three. Unknown attempts are
  // ignored.
  void RecordReply(AttemptId attempt, const LeafReply& reply, TimePoint now);
  void RecordFailure(AttemptId attempt, AttemptFailure failure, TimePoint now);
  void RecordCancellation(AttemptId attempt, TimePoint now);
  // Removes the leaf and its outstanding attempts.
  void Forget(const LeafId& leaf);

  // Returns the expected time in milliseconds until this leaf answers a new attempt, plus the cost
  // of another data centre; lower is better. `objective` is the latency objective of the call, zero
  // if it has none.
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

  std::uint32_t CountInFlight(const LeafId& leaf) const;  // attempts of this VM
  // Mean load of the leaves that answered recently, 0 to 1. The load of a leaf is the number of
  // requests running or waiting per slot, not counting the answered request.
  double load() const { return this->mean_load; }
  // True if the oldest attempt at this leaf has been waiting much longer than usual.
  bool IsStalled(const LeafId& leaf, TimePoint now) const;

  // Records that an attempt has waited longer than its leaf usually takes. The leaf is silent if it
  // has answered no request since the attempt was sent.
  void RecordOverdue(AttemptId attempt, TimePoint now);
  // Records a peer's report of a silent leaf. The report is ignored if the leaf has answered this
  // VM since. Returns true if the leaf was not marked silent before.
  bool RecordPeerSilence(const SilentLeaf& report, TimePoint now);
  // Returns the leaves that this VM, not a peer, found silent since the last call.
  std::vector<SilentLeaf> TakeSilentLeaves();

  // Takes a token to send one request to a leaf. Returns false if the leaf is cold and this VM has
  // used up its part of `fleet_rate` (requests/s from all VMs together). `sender_count` is the
  // number of VMs that send.
  bool TryTakeWarmUpToken(const LeafEntry& leaf,
                          double fleet_rate,
                          std::size_t sender_count,
                          TimePoint now);
  // Records the time until which the leaf says that it stays cold.
  void SetColdUntil(const LeafId& leaf, TimePoint until, TimePoint now);
  // Records that another leaf answers at this leaf's address. The leaf is unusable until its
  // published entry has a revision above this one.
  void MarkMisplaced(const LeafId& leaf, Revision revision);
  bool IsMisplaced(const LeafEntry& leaf) const;

 private:
  struct OutstandingAttempt {
    LeafId leaf;
    Duration usual_duration{};
    TimePoint sent_at{};
  };
  struct LeafCondition {
    std::set<AttemptId> attempts;  // outstanding, oldest first
    double slowness = 1;           // moving average of measured duration / usual duration
    TimePoint slowness_updated_at{};
    double failure_count = 0;  // count with exponential decay
    TimePoint failures_updated_at{};
    double other_vm_requests = 0;  // at the leaf, from its newest load report
    TimePoint load_reported_at{};
    TimePoint cold_until{};
    TimePoint warm_up_tokens_updated_at{};
    double warm_up_tokens = 0;
    Revision misplaced_revision;
    TimePoint replied_at{};             // newest answer to this VM
    TimePoint silent_until{};           // the leaf is avoided until then
    int consecutive_silences = 0;       // with no answer in between
    int consecutive_slow_requests = 0;  // each sent after the previous one had ended
    TimePoint last_slow_end{};          // when the newest slow request ended
    bool silence_reported = false;      // to or by peers, for the current silence
  };

  // Removes and returns an outstanding attempt; returns nothing if the attempt is unknown.
  std::optional<OutstandingAttempt> RemoveAttempt(AttemptId attempt);
  void UpdateSlowness(LeafCondition& condition, double measured_slowness, TimePoint now) const;
  // Returns `measured_slowness`. It is limited to max_pause_slowness until another slow request
  // follows that was sent after the first one had ended.
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

}  // namespace ibishold

#endif  // IBISHOLD_LEAF_POLICY_H_
