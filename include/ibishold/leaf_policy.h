#ifndef IBISHOLD_LEAF_POLICY_H_
#define IBISHOLD_LEAF_POLICY_H_

// What one VM has seen of the leaves, and what it may send to them beyond the first request. Reads
// no clock and no socket.
//
// Index of this header:
//   1. ExtraAttemptBudget   sends beyond the first of each call and shard
//   2. RecentLatency      how long leaves usually take for a route
//   3. LeafNotices       what leaves themselves asked for: to be left alone, for good or for a time
//   4. LeafTracker       condition of each leaf as this VM sees it; choice of a leaf
//   5. CrashGuard        calls that crash the leaves that run them

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

// ---- 1. ExtraAttemptBudget
// -------------------------------------------------------------------------

struct ExtraAttemptOptions {
  double share = 0.18;  // extra sends per first send; below the service's contract of 0.2
  // Extra sends beyond the ratio in any window, per service for all VMs together; of the platform's
  // contract, as the window is.
  double slack = 100;
  Duration window = std::chrono::seconds(10);  // 10 s
  double usable_slack_share =
      0.8;  // share of the slack that is given out; the rest covers restarts
  double slack_burst_share =
      0.5;  // of what is given out: at once if need be, the rest over the window
  double initial_fill_share = 0.2;  // of a full budget, for a process that has just started
};

// Bounds the sends beyond the first of each call and shard, so that all VMs together stay within
// the contract of a service in every window: each VM takes its part of the slack only, one part of
// it saved up and the other one as time passes.
class ExtraAttemptBudget {
 public:
  explicit ExtraAttemptBudget(ExtraAttemptOptions options = {});

  // `senders`: VMs that send to this service.
  void RecordFirstAttempt(const ServiceName& service, std::size_t senders, TimePoint now);
  // `reserve`: share of a full budget that must remain afterwards, kept for more urgent uses.
  bool TryTake(const ServiceName& service, std::size_t senders, TimePoint now, double reserve = 0);

 private:
  struct Account {
    RatioBudget budget;
    TimePoint credited_until{};  // up to when the flowing part of the slack is in `budget`
  };

  double MaxBalance(std::size_t senders) const;
  RatioBudget& UpdateBudget(const ServiceName& service, std::size_t senders, TimePoint now);

  ExtraAttemptOptions options;
  std::unordered_map<ServiceName, Account, absl::Hash<ServiceName>> accounts;
};

// ---- 2. RecentLatency
// ----------------------------------------------------------------------------

// Recent durations of successful attempts for one route, over all leaves.
class RecentLatency {
 public:
  void Record(Duration duration);

  // Quantile of the newest samples; `fallback` with fewer than 16 of them.
  Duration Quantile(double share, Duration fallback) const;

 private:
  static constexpr std::size_t kWindow = 256;  // samples

  std::vector<float> milliseconds;  // ring
  std::size_t next = 0;
  mutable std::vector<float> sorted;
  mutable std::size_t unsorted = 0;  // samples since `sorted` was made
};

// ---- 3. LeafNotices -----------------------------------------------------------------------------

struct LeafNoticeOptions {
  // A wait longer than this is taken as this long; no overload lasts longer.
  Duration max_wait = std::chrono::minutes(10);
  // Peers are told that a leaf leaves for this long: longer than a VM takes to restart and to read
  // the published entries.
  Duration gossip_duration = std::chrono::seconds(20);
  std::size_t table_limit = 4096;  // leaves; the one heard of longest ago is forgotten
};

struct LeafNotice {
  LeavingLeaf leaf;
  bool leaving = false;  // else it wants to be left alone for `wait`
  Duration wait{};
};

// What leaves told with their answers. A notice belongs to one run of a leaf: it outlives published
// entries that still say ready, and removed entries that come back, and ends when the leaf starts
// again.
class LeafNotices {
 public:
  explicit LeafNotices(LeafNoticeOptions options = {});

  // The leaf says that it leaves.
  void RecordLeaving(const LeafId& leaf, std::uint64_t started, TimePoint now);
  // It said so to another VM. True if that is news; news of an earlier run of the leaf is ignored.
  bool RecordPeerLeaving(const LeavingLeaf& leaving, TimePoint now);
  // The leaf wants nothing more from this VM for a time.
  void RecordBackoff(const LeafId& leaf, std::uint64_t started, Duration wait, TimePoint now);

  bool leaving(const LeafEntry& leaf) const;
  // Nothing if the leaf takes work now.
  std::optional<TimePoint> BackoffEnd(const LeafEntry& leaf, TimePoint now) const;
  bool Refuses(const LeafEntry& leaf, TimePoint now) const {
    return this->leaving(leaf) || this->BackoffEnd(leaf, now).has_value();
  }
  std::vector<LeavingLeaf> ListRecentlyLeaving(TimePoint now) const;
  // What leaves told this VM itself since the last time.
  std::vector<LeafNotice> TakeNotices();

 private:
  struct Notice {
    std::uint64_t started = 0;  // LeafEntry::started
    bool leaving = false;
    TimePoint backoff_until{};
    TimePoint heard_at{};
  };

  // Null if a later run of the leaf is known.
  Notice* FindOrInsert(const LeafId& leaf, std::uint64_t started, TimePoint now);
  const Notice* Find(const LeafEntry& leaf) const;

  LeafNoticeOptions options;
  std::unordered_map<LeafId, Notice, absl::Hash<LeafId>> notices;
  std::vector<LeafNotice> new_notices;  // not taken yet
};

// ---- 4. LeafTracker -----------------------------------------------------------------------------

struct LeafTrackerOptions {
  DataCentre data_centre;                                // of this VM
  double remote_cost_factor = 1.5;                       // cost of another data centre
  Duration remote_delay = std::chrono::milliseconds(2);  // added there, 2 ms
  // The least cost of another data centre, as a share of the objective: bytes between data centres
  // are scarce, and a leaf that answers well before the objective is soon enough.
  double remote_objective_share = 0.12;
  Duration load_half_life = std::chrono::milliseconds(150);  // half-life of a told load
  Duration slowness_half_life = std::chrono::seconds(3);     // half-life of a measured slowness
  Duration failure_half_life = std::chrono::seconds(3);      // half-life of a failure
  // One request that took long counts as this slow at most, and so do those that waited beside it:
  // mostly their leaf paused, which says nothing about the next request.
  double max_pause_slowness = 2;
  double stall_factor = 3;  // times the usual duration without an answer: stalled
  Duration min_stall = std::chrono::milliseconds(25);  // never stalled before, 25 ms
  // A leaf that was seen silent is avoided for this long, or until it answers: about what remains
  // of a leaf's pause of 100 to 200 ms (site files) when it is noticed. One that is silent again,
  // without an answer between, is avoided for twice as long each time: it is dark, not paused.
  Duration silence_avoidance = std::chrono::milliseconds(120);
  Duration max_silence_avoidance = std::chrono::seconds(2);
  // Others are told only of leaves that answered this VM within this time: one that it cannot reach
  // at all may well answer them.
  Duration silence_gossip_window = std::chrono::seconds(1);
};

class LeafTracker {
 public:
  explicit LeafTracker(LeafTrackerOptions options, std::uint64_t seed);

  void RecordSend(AttemptId attempt, const LeafEntry& leaf, Duration usual, TimePoint now);
  // A reply, or the end of the attempt without one. Attempts that are not known are ignored.
  void RecordReply(AttemptId attempt, const LeafReply& reply, TimePoint now);
  void RecordFailure(AttemptId attempt, AttemptFailure failure, TimePoint now);
  void RecordCancellation(AttemptId attempt, TimePoint now);
  void Forget(const LeafId& leaf);

  // Lower is better: the time in which this leaf is expected to answer, in milliseconds, with the
  // cost of another data centre. `objective`: of the call; zero: it has none.
  double Score(const LeafEntry& leaf, Duration usual, TimePoint now, Duration objective = {}) const;

  // The candidate with the lowest score, ties by chance; null if there is none.
  const LeafEntry* Choose(const std::vector<const LeafEntry*>& candidates,
                          Duration usual,
                          TimePoint now,
                          Duration objective = {});

  std::uint32_t InFlight(const LeafId& leaf) const;
  // Requests running or waiting per slot beside the one that was answered: mean over the leaves
  // that answered lately, 0 to 1.
  double load() const { return this->mean_load; }
  // An attempt at this leaf has been waiting much longer than usual.
  bool Stalled(const LeafId& leaf, TimePoint now) const;

  // An attempt has waited longer than its leaf usually takes. If the leaf has not answered anything
  // since the attempt was sent, it is taken as silent.
  void RecordOverdue(AttemptId attempt, TimePoint now);
  // Another VM saw a leaf silent. Ignored if the leaf has answered this VM meanwhile. True if it
  // was not known to be silent.
  bool RecordPeerSilence(const SilentLeaf& report, TimePoint now);
  // Leaves that this VM itself saw silent since the last time.
  std::vector<SilentLeaf> TakeSilentLeaves();

  // False while a cold leaf has had as many requests from this VM as it bears. Takes one.
  bool TryTakeWarmUpToken(const LeafEntry& leaf, double rate, std::size_t vms, TimePoint now);
  // The leaf said how long it stays cold.
  void SetColdUntil(const LeafId& leaf, TimePoint until, TimePoint now);
  // Another leaf answers at this leaf's address; unusable until its entry changes.
  void MarkMisplaced(const LeafId& leaf, std::uint64_t revision);
  bool misplaced(const LeafEntry& leaf) const;

 private:
  struct Outstanding {
    LeafId leaf;
    Duration usual{};
    TimePoint sent_at{};
  };
  struct Condition {
    std::set<AttemptId> attempts;  // outstanding, oldest first
    double slowness = 1;           // measured over usual duration
    TimePoint slowness_at{};
    double failures = 0;  // decayed count
    TimePoint failures_at{};
    double other_requests = 0;  // requests of other VMs, from the newest told load
    TimePoint other_requests_at{};
    TimePoint cold_until{};
    TimePoint warm_up_tokens_at{};
    double warm_up_tokens = 0;
    std::uint64_t misplaced_revision = 0;
    TimePoint replied_at{};         // newest answer to this VM
    TimePoint silent_until{};       // seen silent, here or by another VM
    int consecutive_silences = 0;   // one after the other, without an answer between
    int consecutive_slow = 0;       // requests that took long, sent one after the other
    TimePoint last_slow_at{};       // the newest of them
    bool silence_reported = false;  // others know of the present silence
  };

  std::optional<Outstanding> RemoveAttempt(AttemptId attempt);
  void UpdateSlowness(Condition& condition, double measured, TimePoint now) const;
  double DiscountPause(Condition& condition,
                       const Outstanding& ended,
                       double measured,
                       TimePoint now) const;
  void MarkSilent(Condition& condition, TimePoint now) const;

  LeafTrackerOptions options;
  Random random;
  std::unordered_map<LeafId, Condition, absl::Hash<LeafId>> conditions;
  std::unordered_map<AttemptId, Outstanding> outstanding;
  std::vector<SilentLeaf> new_silent_leaves;  // not taken yet
  double mean_load = 1;                       // moving average; unknown counts as full
};

// ---- 5. CrashGuard ------------------------------------------------------------------------------

struct CrashGuardOptions {
  std::size_t crash_limit = 3;                       // crashed leaves that make a call a suspect; 3
  double success_weight = 0.5;                       // crashes that one answer outweighs
  Duration crash_memory = std::chrono::seconds(60);  // of crashes that led to no refusal, 60 s
  Duration refusal_duration = std::chrono::minutes(10);  // as in the quarantine of ibishold-front
  std::size_t table_limit = 1024;                        // fingerprints
  std::size_t service_limit = 8;                         // remembered for one fingerprint
  std::size_t leaf_limit = 8;  // remembered for one service of a fingerprint
};

// Finds calls that crash the leaves that run them, from attempts whose connection broke while a
// leaf ran them. Every VM that sends gets every report, and judges alike:
//   - a service where `crash_limit` leaves crashed in two requests or more gets the call no more;
//     the other shards of a call that fans out still do;
//   - a call that crashed leaves of `crash_limit` services in two requests or more is refused.
// A call in flight when leaves crash for another reason meets that in one request only, and answers
// outweigh crashes, so it is not condemned.
class CrashGuard {
 public:
  explicit CrashGuard(CrashGuardOptions options = {});

  void RecordCrash(const LeafCrash& crash, TimePoint now);  // seen by this VM
  bool RecordPeerCrash(const LeafCrash& crash,
                       TimePoint now);  // told by another VM; false: nothing new
  void RecordSuccess(std::uint64_t fingerprint, std::uint64_t service);

  bool HasActiveRefusal(std::uint64_t fingerprint, TimePoint now) const;
  // How long a call, or its part for one service, will still be refused; zero: it is not.
  Duration RefusalTimeLeft(std::uint64_t fingerprint, TimePoint now) const;
  Duration BlockTimeLeft(std::uint64_t fingerprint, std::uint64_t service, TimePoint now) const;

  void MergeRefusal(const CallRefusal& refusal, TimePoint now);
  std::vector<CallRefusal> ListRefusals(TimePoint now) const;
  // Crashes that this VM saw since the last time.
  std::vector<LeafCrash> TakeReports();

 private:
  struct Service {
    std::uint64_t name = 0;
    double score = 0;                   // crashes less answers
    std::vector<std::uint64_t> leaves;  // runs that crashed
    TimePoint blocked_until{};
  };
  struct Entry {
    std::vector<Service> services;
    std::vector<std::uint64_t> requests;  // at most two: more make no difference
    TimePoint refused_until{};
    TimePoint last_seen_at{};
  };

  Entry& FindOrInsert(std::uint64_t fingerprint, TimePoint now);
  bool AddLeaf(Entry& entry, const LeafCrash& crash) const;  // false: it was known
  void ApplyLimits(Entry& entry, TimePoint now) const;

  CrashGuardOptions options;
  std::unordered_map<std::uint64_t, Entry> entries;
  std::vector<LeafCrash> reports;  // not taken yet
};

}  // namespace ibishold

#endif  // IBISHOLD_LEAF_POLICY_H_
