#ifndef IBISHOLD_CRASH_GUARD_H_
#define IBISHOLD_CRASH_GUARD_H_

// Detection and refusal of calls that crash the leaves that run them. Reads no clock and no socket:
// the caller passes the time.
//
// Index of this header:
//   1. CrashGuard   what this VM knows about crashes, and the calls that it refuses

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "ibishold/call.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- 1. CrashGuard ------------------------------------------------------------------------------

struct CrashGuardOptions {
  // Number of crashed leaves of one service that blocks a call there. Number of crashed leaves of
  // all services together at which a call of one leaf is refused, and number of services with
  // crashed leaves at which a fan-out call is refused.
  std::size_t crash_limit = 3;
  double success_weight = 0.5;  // number of crashes that one success offsets
  // Number of crashed leaves of one service, or of all services for a call of one leaf, from which
  // this VM passes on what peers reported. A single crash is too common to be passed through a
  // whole fleet.
  std::size_t suspicion_limit = 2;
  // Time for which crashes that led to no refusal count, and for which a success here outweighs
  // the reports of peers.
  Duration crash_retention = std::chrono::seconds(60);
  // Crashes that are older than this are not adopted from peers, and refusals that end sooner than
  // that neither. Messages take time, so that VMs would otherwise renew what is about to expire by
  // telling each other.
  Duration max_adopted_age = std::chrono::seconds(30);
  Duration min_adopted_time_left = std::chrono::seconds(5);
  Duration refusal_duration = std::chrono::minutes(10);  // as in the quarantine of ibishold-front
  std::size_t max_fingerprints = 1024;                   // calls that are refused are evicted last
  std::size_t max_services = 8;                          // per fingerprint
  std::size_t max_leaves_per_service = 8;                // per service of a fingerprint
  std::size_t success_slots = 4096;  // a new success replaces an older one in its slot
};

// What a VM tells its peers about calls that crash leaves.
struct CrashNews {
  std::vector<LeafCrash> crashes;
  std::vector<CallRefusal> refusals;

  bool empty() const { return this->crashes.empty() && this->refusals.empty(); }
};

// Detects calls that crash the leaves that run them. A crash is inferred from a connection that
// broke while a leaf ran an attempt. VMs share what they know and apply these rules:
//   - If `crash_limit` leaves of a service crashed in two or more requests, the call is no longer
//     sent to that service. Other shards of a call that fans out still receive it.
//   - If leaves of `crash_limit` services crashed in two or more requests, the call is refused.
//   - A call of one leaf is refused after `crash_limit` crashes in two or more requests, whatever
//     the services: the operator may move its route, or split it over several services.
// A call that is in flight when leaves crash for another reason is not blocked, because such a
// crash affects only one of its requests and successes offset crashes.
//
// Any VM may get the next request of a call. Each crash is therefore reported to a few random VMs
// (TakeReports). A VM that knows of `suspicion_limit` crashes of a service, or of a refusal, passes
// it on as soon as it learns of it (TakeNews) and repeats it while it counts (ListNews), so that it
// reaches the whole fleet, and VMs that start later, whatever messages are lost.
class CrashGuard {
 public:
  explicit CrashGuard(CrashGuardOptions options = {});

  // Records a crash observed by this VM.
  void RecordCrash(const LeafCrash& crash, TimePoint now);
  // Records a crash reported by a peer. Returns false if the report contains nothing new, or if a
  // leaf of the service has recently answered the call here, so that it does not crash each leaf.
  bool RecordPeerCrash(const LeafCrash& crash, TimePoint now);
  // Records that a leaf of the service answered its part of the call.
  void RecordSuccess(std::uint64_t fingerprint,
                     std::uint64_t service_hash,
                     CallPart part,
                     TimePoint now);

  // Returns the number of crashed leaves that this VM knows of, for the log.
  std::size_t CountCrashes(std::uint64_t fingerprint) const;
  bool HasActiveRefusal(std::uint64_t fingerprint, TimePoint now) const;
  // Return the time for which the call is still refused, as a whole or at least for one service;
  // zero if it is not refused.
  Duration GetRefusalTimeLeft(std::uint64_t fingerprint, TimePoint now) const;
  Duration GetBlockTimeLeft(std::uint64_t fingerprint,
                            std::uint64_t service_hash,
                            TimePoint now) const;

  // Adopts a refusal that a peer reported, unless one is in force, with the same exception as
  // RecordPeerCrash.
  void MergeRefusal(const CallRefusal& refusal, TimePoint now);
  // Returns the crashes that this VM observed since the last call.
  std::vector<LeafCrash> TakeReports();
  // Returns suspicions and refusals that are new since the last call.
  CrashNews TakeNews(TimePoint now);
  // Returns all suspicions and refusals that count now.
  CrashNews ListNews(TimePoint now) const;

 private:
  struct ServiceCrashes {
    std::uint64_t service_hash = 0;
    CallPart part = CallPart::kShard;
    double score = 0;                        // crashes minus weighted successes, at least 0
    std::vector<std::uint64_t> leaf_hashes;  // runs of leaves that crashed
    TimePoint blocked_until{};
  };
  struct Entry {
    std::vector<ServiceCrashes> services;
    std::vector<std::uint64_t> request_hashes;  // at most two, the number that the rules need
    // Crashes minus weighted successes over all services that ran the whole call, at least 0.
    double whole_call_score = 0;
    TimePoint refused_until{};
    TimePoint last_crash_at{};
    TimePoint last_used_at{};
    bool has_news = false;  // not returned by TakeNews yet
  };
  struct Success {
    std::uint64_t key = 0;
    TimePoint at{};
  };

  Entry& FindOrInsert(std::uint64_t fingerprint, TimePoint now);
  ServiceCrashes* FindOrInsertService(Entry& entry, std::uint64_t service_hash) const;
  bool Record(const LeafCrash& crash, TimePoint now);
  // Returns false if the crash is already counted or a limit is reached.
  bool AddCrashedLeaf(Entry& entry, const LeafCrash& crash) const;
  void ApplyLimits(Entry& entry, TimePoint now) const;
  // True if the call is refused as a whole or at a service.
  static bool IsRefusedAnywhere(const Entry& entry, TimePoint now);
  bool IsSuspect(const Entry& entry, const ServiceCrashes& service) const;
  // Appends what peers need to know about the call.
  void AppendNews(std::uint64_t fingerprint,
                  const Entry& entry,
                  TimePoint now,
                  CrashNews& news) const;
  void MarkChanged(std::uint64_t fingerprint, Entry& entry);
  bool WasAnsweredRecently(std::uint64_t fingerprint,
                           std::uint64_t service_hash,
                           TimePoint now) const;

  CrashGuardOptions options;
  std::unordered_map<std::uint64_t, Entry> entries;
  std::vector<LeafCrash> reports;            // not returned by TakeReports yet
  std::vector<std::uint64_t> changed_calls;  // fingerprints of the entries with has_news
  std::vector<Success> successes;            // direct-mapped by key
};

}  // namespace ibishold

#endif  // IBISHOLD_CRASH_GUARD_H_
