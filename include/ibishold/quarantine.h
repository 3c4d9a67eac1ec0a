#ifndef IBISHOLD_QUARANTINE_H_
#define IBISHOLD_QUARANTINE_H_

// Detection and isolation of requests that crash the leaves that run them.
//
// Index of this header:
//   1. Fingerprint         hash that identifies a request by service and body
//   2. LeafCrash           a crashed leaf and the requests in flight at it
//   3. QuarantineDecision  whether and how a request may run
//   4. QuarantineReport    state of one fingerprint as exchanged between peers
//   5. Quarantine          decisions of one process; reads no clock and no socket

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ibishold/core.h"

namespace ibishold {

// ---- 1. Fingerprint -----------------------------------------------------------------------------

// Returns the hash of a service name and a request body. It is equal on every VM.
std::uint64_t ComputeFingerprint(const ServiceName& service, std::string_view body);

// ---- 2. LeafCrash -------------------------------------------------------------------------------

struct InFlightRequest {
  std::uint64_t fingerprint = 0;
  bool alone = false;  // the request ran under kRunAlone or as a canary
};

// Crash of a leaf, inferred from a changed incarnation or from a reset of all its connections.
struct LeafCrash {
  LeafId leaf;
  Incarnation incarnation = 0;             // run of the leaf that crashed
  std::vector<InFlightRequest> in_flight;  // sent to the leaf and not answered
};

// ---- 3. QuarantineDecision ----------------------------------------------------------------------

enum class QuarantineAction : std::uint8_t {
  kRun,          // no restriction
  kRunAlone,     // suspect: send to one leaf without hedge or retry, then call RecordOutcome
  kCanaryFirst,  // send to one leaf, call RecordOutcome, after a success send to the other leaves
  kRefuse,       // answer with verdict not_run and `retry_after`
};

inline constexpr std::array<std::string_view, 4> kQuarantineActionNames = {"run", "run_alone",
                                                                           "canary", "refuse"};

struct QuarantineDecision {
  QuarantineAction action = QuarantineAction::kRun;
  Duration retry_after{};  // set for kRefuse
};

// ---- 4. QuarantineReport ------------------------------------------------------------------------

// Corresponds to the message Quarantine of the schema. It contains ages instead of times because
// the clocks of VMs differ.
struct QuarantineReport {
  std::uint64_t fingerprint = 0;
  Duration crash_age{};                      // time since the newest crash
  std::vector<std::uint64_t> alone_crashes;  // ids of crashes in runs alone, at most 2

  friend bool operator==(const QuarantineReport&, const QuarantineReport&) = default;
};

// ---- 5. Quarantine ------------------------------------------------------------------------------

struct QuarantineOptions {
  std::size_t max_fingerprints = 1024;
  Duration refusal_duration = std::chrono::minutes(10);  // after two crashes in runs alone
  Duration suspect_lifetime = std::chrono::minutes(60);  // since the newest crash
  // Time after any crash in which a fan-out runs a canary first.
  Duration canary_window = std::chrono::seconds(30);
  Duration alone_timeout = std::chrono::seconds(10);     // a run without an outcome ends after this
  Duration alone_retry_after = std::chrono::seconds(1);  // while the fingerprint runs alone
  Duration canary_retry_after = std::chrono::milliseconds(100);  // while its canary runs
  Duration report_age_tolerance = std::chrono::seconds(1);       // covers transmission times
};

// Limits the number of leaves that one crashing request can take down. Its first run crashes at
// most the leaves of its fan-out and hedges. Each later run goes to one leaf alone, and after two
// crashes in such runs the request is refused. A peer that has not yet received the report of a
// crash decides without it.
class Quarantine {
 public:
  explicit Quarantine(QuarantineOptions options = {});

  // Marks all requests in flight at the crashed leaf as suspects. Repeated reports of one crash
  // count once.
  void RecordCrash(const LeafCrash& crash, TimePoint now);

  // Decides how a request with this fingerprint may run. Only one request per fingerprint runs
  // alone at a time; its run ends with RecordCrash, RecordOutcome or the alone_timeout. `fan_out`
  // is true if the request goes to more than one leaf.
  QuarantineDecision Decide(std::uint64_t fingerprint, bool fan_out, TimePoint now);

  // Records the outcome of a run alone or of a canary. A success clears the fingerprint if the run
  // began after the newest crash. A failure without a crash (timeout, shed) does not change the
  // state of the fingerprint.
  void RecordOutcome(std::uint64_t fingerprint, bool success, TimePoint now);

  // Merges a report of a peer. Returns true if the report changed the local state and must be
  // forwarded.
  bool Merge(const QuarantineReport& report, TimePoint now);

  // Return reports of all suspects, or of the suspects changed since the last call of
  // ExportChanged.
  std::vector<QuarantineReport> Export(TimePoint now) const;
  std::vector<QuarantineReport> ExportChanged(TimePoint now);

  // Returns the time for which the fingerprint is still refused; 0 if it is not refused.
  Duration GetRefusalTimeLeft(std::uint64_t fingerprint, TimePoint now) const;

  // True if a crash was recorded within the canary_window.
  bool HasRecentCrash(TimePoint now) const;
  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    TimePoint crash_at = TimePoint::min();    // newest crash; TimePoint::min() if none
    TimePoint cleared_at = TimePoint::min();  // start of the newest successful canary or run alone
    std::vector<std::uint64_t> alone_crashes;
    bool running_alone = false;
    TimePoint alone_started_at{};
    TimePoint last_used_at{};           // for eviction
    bool changed_since_export = false;  // not yet returned by ExportChanged

    bool is_suspect() const { return this->crash_at > this->cleared_at; }
  };

  bool HasActiveRefusal(const Entry& entry, TimePoint now) const;
  Entry& FindOrInsert(std::uint64_t fingerprint, TimePoint now);
  int GetEvictionRank(const Entry& entry, TimePoint now) const;
  static bool AddAloneCrash(Entry& entry, std::uint64_t crash_id);
  static QuarantineReport MakeReport(std::uint64_t fingerprint, const Entry& entry, TimePoint now);

  QuarantineOptions options;
  TimePoint last_crash_at = TimePoint::min();
  std::unordered_map<std::uint64_t, Entry> entries;
};

}  // namespace ibishold

#endif  // IBISHOLD_QUARANTINE_H_
