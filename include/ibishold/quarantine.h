#ifndef IBISHOLD_QUARANTINE_H_
#define IBISHOLD_QUARANTINE_H_

// Requests that crash the leaves that run them.
//
// Index of this header:
//   1. Fingerprint         names a request by service and body
//   2. LeafCrash           what was in flight at a leaf that crashed
//   3. QuarantineDecision  how a request may run
//   4. QuarantineReport    what peers tell each other
//   5. Quarantine          the decisions of one process; reads no clock and no socket

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ibishold/core.h"

namespace ibishold {

// ---- 1. Fingerprint -----------------------------------------------------------------------------

// Equal on every VM for the same service and body.
std::uint64_t Fingerprint(const ServiceName& service, std::string_view body);

// ---- 2. LeafCrash -------------------------------------------------------------------------------

struct InFlightRequest {
  std::uint64_t fingerprint = 0;
  bool alone = false;  // ran under kRunAlone or as a canary
};

// A leaf whose incarnation changed or whose connections were all reset.
struct LeafCrash {
  LeafId leaf;
  Incarnation incarnation = 0;             // of the run that died
  std::vector<InFlightRequest> in_flight;  // sent to it and not answered
};

// ---- 3. QuarantineDecision ----------------------------------------------------------------------

enum class QuarantineAction : std::uint8_t {
  kRun,          // no restriction
  kRunAlone,     // a suspect: on one leaf only, no hedge, no retry; then call Finished
  kCanaryFirst,  // on one leaf first, on the others after it succeeded; then call Finished
  kRefuse,       // not_run, retry after `retry_after`
};

inline constexpr std::array<std::string_view, 4> kQuarantineActionNames = {"run", "run_alone",
                                                                           "canary", "refuse"};

struct QuarantineDecision {
  QuarantineAction action = QuarantineAction::kRun;
  Duration retry_after{};  // kRefuse
};

// ---- 4. QuarantineReport ------------------------------------------------------------------------

// Message Quarantine of the schema. Ages, not times: clocks of VMs differ.
struct QuarantineReport {
  std::uint64_t fingerprint = 0;
  Duration crash_age{};                      // since the newest crash
  std::vector<std::uint64_t> alone_crashes;  // names of crashes while it ran alone, at most 2

  friend bool operator==(const QuarantineReport&, const QuarantineReport&) = default;
};

// ---- 5. Quarantine ------------------------------------------------------------------------------

struct QuarantineOptions {
  std::size_t table_limit = 1024;                        // fingerprints, 1,024
  Duration refusal_duration = std::chrono::minutes(10);  // after the second crash alone, 10 min
  Duration suspect_lifetime = std::chrono::minutes(60);  // a suspect is forgotten, 60 min
  Duration canary_window = std::chrono::seconds(30);     // after any crash, 30 s
  Duration alone_timeout = std::chrono::seconds(10);     // run without an outcome, 10 s
  Duration alone_retry_after = std::chrono::seconds(1);  // while another one runs alone, 1 s
  Duration canary_retry_after = std::chrono::milliseconds(100);  // while its canary runs, 100 ms
  Duration report_age_tolerance = std::chrono::seconds(1);       // in ages of reports, 1 s
};

// The requests lost to one crashing fingerprint are bounded: the first occurrence costs at most the
// leaves of its fan-out and hedges, each run alone costs one leaf, and after two crashes alone it
// is refused. Until a peer hears of a crash it decides as if there were none.
class Quarantine {
 public:
  explicit Quarantine(QuarantineOptions options = {});

  // Marks everything that was in flight as suspect. Repeated reports of one crash count once.
  void RecordCrash(const LeafCrash& crash, TimePoint now);

  // How a request with this fingerprint may run. Only one runs alone at a time; it is followed by
  // Observe, by Finished, or by alone_timeout. `fan_out`: goes to more than one leaf.
  QuarantineDecision Decide(std::uint64_t fingerprint, bool fan_out, TimePoint now);

  // Outcome of kRunAlone or of a canary. A success that began after the newest crash clears the
  // fingerprint; a failure without a crash (timeout, shed) leaves it as it is.
  void RecordOutcome(std::uint64_t fingerprint, bool success, TimePoint now);

  // Takes a peer's report over. True if it changed anything and is to be passed on.
  bool Merge(const QuarantineReport& report, TimePoint now);

  // All suspects, or those that changed since the last call.
  std::vector<QuarantineReport> Export(TimePoint now) const;
  std::vector<QuarantineReport> ExportChanged(TimePoint now);

  // Time left of a refusal; 0 if not refused.
  Duration RefusalTimeLeft(std::uint64_t fingerprint, TimePoint now) const;

  bool crashes_seen(TimePoint now) const;
  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    TimePoint crash_at = TimePoint::min();    // newest crash; min: none
    TimePoint cleared_at = TimePoint::min();  // start of a successful run alone
    std::vector<std::uint64_t> alone_crashes;
    bool running_alone = false;
    TimePoint alone_since{};
    TimePoint last_used_at{};  // for eviction
    bool changed = false;      // not exported yet

    bool suspect() const { return this->crash_at > this->cleared_at; }
  };

  bool HasActiveRefusal(const Entry& entry, TimePoint now) const;
  Entry& FindOrInsert(std::uint64_t fingerprint, TimePoint now);
  int EvictionRank(const Entry& entry, TimePoint now) const;
  static bool AddAloneCrash(Entry& entry, std::uint64_t crash);
  static QuarantineReport ReportOf(std::uint64_t fingerprint, const Entry& entry, TimePoint now);

  QuarantineOptions options;
  TimePoint last_crash_at = TimePoint::min();
  std::unordered_map<std::uint64_t, Entry> entries;
};

}  // namespace ibishold

#endif  // IBISHOLD_QUARANTINE_H_
