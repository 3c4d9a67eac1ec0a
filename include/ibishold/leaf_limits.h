#ifndef IBISHOLD_LEAF_LIMITS_H_
#define IBISHOLD_LEAF_LIMITS_H_

// Request rates that leaves state as their limit for all VMs together, and how the VMs share them.
// The classes read no clock and no socket: the caller passes the time.
//
// Index of this header:
//   1. LeafLimits   limits in force, and what this VM may send under them

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "ibishold/call.h"
#include "ibishold/core.h"
#include "ibishold/rate_sharing.h"

namespace ibishold {

// ---- 1. LeafLimits ------------------------------------------------------------------------------

struct LeafLimitOptions {
  // Unused parts of a limit that the senders may save up, all together: the requests of this time,
  // plus a number of requests.
  Duration burst_time = std::chrono::seconds(1);
  double burst_requests = 3;
  // A VM takes the smallest share that it had at any time in this long. VMs learn of a change of
  // the senders at different times, and each could otherwise take the larger of its old and new
  // share.
  Duration settle_time = std::chrono::seconds(3);
  // A leaf with a lower limit gets this rate, because the end of its limit shows only in answers.
  double min_rate = 0.25;
  // A limit that no answer has confirmed for this long is dropped. Reports that are older are not
  // adopted.
  Duration statement_lifetime = std::chrono::seconds(30);
  // Peers' reports of the end of a limit count only if they are this new, because they are passed
  // on and an old one would end a limit that the leaf has stated again.
  Duration max_end_age = std::chrono::seconds(2);
  // Change of a limit, relative to the known one, from which peers are told at once.
  double reported_change = 0.05;
  Duration report_interval = std::chrono::milliseconds(200);  // between two reports on a leaf
  // For this long after a request, less urgent ones must leave one request of the share unused.
  Duration precedence_time = std::chrono::seconds(3);
  // After a request was denied, less urgent ones get none until this many requests have accrued, or
  // until precedence_time is over.
  double precedence_requests = 2;
  // After this many requests in a row that were more urgent, the next one is a less urgent one,
  // unless a larger part of these than of the more urgent ones has been sent.
  int max_overtakes = 3;
  Duration max_return_wait = std::chrono::seconds(5);  // longest time told to a refused caller
  std::size_t max_leaves = 4096;  // a further leaf evicts the one with the oldest statement
};

// Keeps the limits that leaves state with their answers, and this VM's share of each as a token
// bucket. If a limit is too low for each sender to have a bucket of at least one request, a few
// senders hold it; rendezvous hashing selects them for each leaf.
//
// A limit is dated by the arrival of the answer that states it. An answer without one is dated by
// the time when its request was sent, because the leaf may have built it at any time since.
class LeafLimits {
 public:
  explicit LeafLimits(LeafLimitOptions options = {});

  void SetSenders(RateSharers new_senders, TimePoint now);

  // Records that the leaf stated a limit in an answer to this VM.
  void RecordLimit(LeafRun leaf, double rate, TimePoint now);
  // Records an answer without a limit to a request that this VM sent at `sent_at`.
  void RecordNoLimit(LeafRun leaf, TimePoint sent_at, TimePoint now);
  // Returns true if the report changed what this VM knows.
  bool RecordPeerReport(const LeafLimitReport& report, TimePoint now);

  // Returns the limit in force, in requests/s from all VMs.
  std::optional<double> GetLimit(LeafRun leaf, TimePoint now) const;
  // True if the leaf has no limit, or this VM may send it a request now. `urgency` ranks the
  // requests; lower is more urgent.
  bool CanSend(LeafRun leaf, int urgency, TimePoint now);
  // True if the leaf has no limit, or this VM has a share of it.
  bool HasShare(LeafRun leaf, TimePoint now);
  // Records that a request is sent. Only after CanSend() has returned true at the same time.
  void TakeToken(LeafRun leaf, int urgency, TimePoint now);
  // Records that the request of a token was not sent after all.
  void ReturnToken(LeafRun leaf, TimePoint now);
  // Records that a request was not sent because CanSend() returned false.
  void RecordDenial(LeafRun leaf, int urgency, TimePoint now);

  // Returns the time until a caller that is refused now can be served by the leaf, zero if it can
  // be served now. Counts the callers that ReserveReturn() told to return.
  Duration GetReturnWait(LeafRun leaf, int urgency, TimePoint now);
  // Records that a caller was told to return after GetReturnWait().
  void ReserveReturn(LeafRun leaf, TimePoint now);

  // False if a leaf may have a limit.
  bool empty() const { return this->limits.empty(); }

  // Returns what leaves newly stated to this VM since the last call.
  std::vector<LeafLimitReport> TakeReports(TimePoint now);
  // Returns the limits, and ends of limits, that this VM has newly learned of from peers since the
  // last call.
  std::vector<LeafLimitReport> TakeNews(TimePoint now);
  // Returns all limits in force, and those that have just ended.
  std::vector<LeafLimitReport> ListReports(TimePoint now) const;

 private:
  struct FormerSenders {
    RateSharers senders;
    TimePoint expires_at{};  // this VM's share under them counts until then
  };
  struct UrgentRequest {
    int urgency = 0;
    TimePoint at{};
  };
  // Recent requests of one urgency; the numbers halve every precedence_time.
  struct Demand {
    double asked = 0;
    double sent = 0;
    TimePoint updated_at{};
  };
  struct Limit {
    std::optional<double> rate;  // nothing: the limit has ended
    TimePoint stated_at{};
    RateShare share;
    std::uint64_t share_version = 0;  // senders_version for which the share was computed
    TimePoint share_expires_at{};     // the share must be computed again then
    TokenBucket bucket;
    UrgentRequest asked;   // the most urgent of the recent requests, sent or denied
    UrgentRequest denied;  // the most urgent of those that were denied
    Demand urgent_demand;  // as urgent as `asked`
    Demand other_demand;   // less urgent
    int overtakes = 0;     // urgent requests sent since the last less urgent one
    TimePoint reported_at{};
    TimePoint returns_until{};  // up to this time, tokens are promised to callers that return
  };

  // Returns null if no limit of the leaf is in force.
  Limit* FindLimit(LeafRun leaf, TimePoint now);
  Limit& FindOrInsert(LeafRun leaf, TimePoint now);
  // Applies a statement that is newer than the known one. Returns true if it is a change.
  bool Apply(LeafRun leaf, std::optional<double> rate, TimePoint stated_at, TimePoint now);
  void UpdateTokens(LeafRun leaf, Limit& limit, TimePoint now) const;
  // True if more urgent requests than this one take precedence.
  bool IsLessUrgent(const Limit& limit, int urgency, TimePoint now) const;
  // True if the next request should be one of the less urgent ones.
  bool IsTurnOfOthers(const Limit& limit, TimePoint now) const;
  // Returns the number of tokens that a request needs at this time.
  double ComputeNeededTokens(const Limit& limit, int urgency, TimePoint now) const;
  // Returns the end of the time in which this request gives way to a more urgent one that was
  // denied.
  TimePoint FindPrecedenceEnd(const Limit& limit, int urgency, TimePoint now) const;
  void RecordDemand(Limit& limit, int urgency, bool is_sent, TimePoint now) const;
  void UpdateShare(LeafRun leaf, Limit& limit, TimePoint now) const;
  RateShare ComputeShare(LeafRun leaf, const Limit& limit, const RateSharers& shared_by) const;
  double ComputeFleetRate(const Limit& limit, const RateSharers& shared_by) const;
  bool IsExpired(const Limit& limit, TimePoint now) const;
  LeafLimitReport MakeReport(LeafRun leaf, const Limit& limit, TimePoint now) const;

  LeafLimitOptions options;
  RateSharers senders;
  std::vector<FormerSenders> former_senders;  // the oldest first
  std::uint64_t senders_version = 1;
  std::unordered_map<LeafRun, Limit> limits;
  std::vector<LeafRun> changed_by_leaves;  // not returned by TakeReports yet
  std::vector<LeafRun> changed_by_peers;   // not returned by TakeNews yet
};

}  // namespace ibishold

#endif  // IBISHOLD_LEAF_LIMITS_H_
