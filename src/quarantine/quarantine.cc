#include "ibishold/quarantine.h"

#include <algorithm>
#include <utility>

namespace ibishold {

namespace {

// Number of crashes in runs alone after which a fingerprint is refused. One crash is not
// enough, because a request of another VM may have crashed the leaf, or its operators may have
// restarted it.
constexpr std::size_t kCrashesToRefuse = 2;

}  // namespace

Quarantine::Quarantine(QuarantineOptions options) : options(options) {}

void Quarantine::RecordCrash(const LeafCrash& crash, TimePoint now) {
  this->last_crash_at = std::max(this->last_crash_at, now);
  const std::uint64_t crash_id = StableHash(crash.leaf.value, crash.incarnation);
  for (const InFlightRequest& request : crash.in_flight) {
    Entry& entry = this->FindOrInsert(request.fingerprint, now);
    entry.crash_at = now;
    entry.changed_since_export = true;
    if (request.alone) {
      entry.running_alone = false;
      AddAloneCrash(entry, crash_id);
    }
  }
}

QuarantineDecision Quarantine::Decide(std::uint64_t fingerprint, bool fan_out, TimePoint now) {
  const auto found = this->entries.find(fingerprint);
  const bool has_entry = found != this->entries.end();
  const bool is_suspect = has_entry && found->second.is_suspect() &&
                          now - found->second.crash_at < this->options.suspect_lifetime;
  const bool recently_cleared = has_entry && found->second.cleared_at > TimePoint::min() &&
                                now - found->second.cleared_at < this->options.canary_window;
  const bool needs_canary =
      !is_suspect && fan_out && !recently_cleared && this->HasRecentCrash(now);
  if (!is_suspect && !needs_canary) {
    return {.action = QuarantineAction::kRun};
  }
  Entry& entry = this->FindOrInsert(fingerprint, now);
  if (this->HasActiveRefusal(entry, now)) {
    return {.action = QuarantineAction::kRefuse,
            .retry_after = entry.crash_at + this->options.refusal_duration - now};
  }
  if (entry.running_alone && now - entry.alone_started_at < this->options.alone_timeout) {
    return {.action = QuarantineAction::kRefuse,
            .retry_after =
                is_suspect ? this->options.alone_retry_after : this->options.canary_retry_after};
  }
  entry.running_alone = true;
  entry.alone_started_at = now;
  return {.action = is_suspect ? QuarantineAction::kRunAlone : QuarantineAction::kCanaryFirst};
}

void Quarantine::RecordOutcome(std::uint64_t fingerprint, bool success, TimePoint now) {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end() || !found->second.running_alone) {
    return;
  }
  Entry& entry = found->second;
  entry.running_alone = false;
  entry.last_used_at = now;
  // A crash recorded after the start of the run keeps the fingerprint a suspect.
  if (success && entry.alone_started_at >= entry.crash_at) {
    entry.cleared_at = std::max(entry.alone_started_at, entry.crash_at);
    entry.alone_crashes.clear();
    entry.changed_since_export = false;
  }
}

bool Quarantine::Merge(const QuarantineReport& report, TimePoint now) {
  const TimePoint crash_at = now - report.crash_age;
  if (report.crash_age < Duration::zero() || report.crash_age >= this->options.suspect_lifetime) {
    return false;
  }
  this->last_crash_at = std::max(this->last_crash_at, crash_at);
  const auto found = this->entries.find(report.fingerprint);
  // The age in a report does not include the transmission time, so a repeated report of one crash
  // looks slightly newer. Without the tolerance, VMs that exchange reports would renew the crash
  // for ever, and a cleared fingerprint would become a suspect again.
  const bool is_newer_crash =
      found == this->entries.end() || found->second.crash_at == TimePoint::min() ||
      crash_at > found->second.crash_at + this->options.report_age_tolerance;
  if (!is_newer_crash && !found->second.is_suspect()) {
    return false;
  }
  Entry& entry = this->FindOrInsert(report.fingerprint, now);
  bool changed = false;
  if (is_newer_crash && crash_at > entry.cleared_at) {
    entry.crash_at = crash_at;
    changed = true;
  }
  if (!entry.is_suspect()) {
    return false;
  }
  for (const std::uint64_t crash_id : report.alone_crashes) {
    changed = AddAloneCrash(entry, crash_id) || changed;
  }
  entry.changed_since_export = entry.changed_since_export || changed;
  return changed;
}

std::vector<QuarantineReport> Quarantine::Export(TimePoint now) const {
  std::vector<QuarantineReport> reports;
  for (const auto& [fingerprint, entry] : this->entries) {
    if (entry.is_suspect() && now - entry.crash_at < this->options.suspect_lifetime) {
      reports.push_back(MakeReport(fingerprint, entry, now));
    }
  }
  return reports;
}

std::vector<QuarantineReport> Quarantine::ExportChanged(TimePoint now) {
  std::vector<QuarantineReport> reports;
  for (auto& [fingerprint, entry] : this->entries) {
    if (std::exchange(entry.changed_since_export, false) && entry.is_suspect()) {
      reports.push_back(MakeReport(fingerprint, entry, now));
    }
  }
  return reports;
}

Duration Quarantine::GetRefusalTimeLeft(std::uint64_t fingerprint, TimePoint now) const {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end() || !this->HasActiveRefusal(found->second, now)) {
    return Duration::zero();
  }
  return found->second.crash_at + this->options.refusal_duration - now;
}

bool Quarantine::HasRecentCrash(TimePoint now) const {
  return this->last_crash_at > TimePoint::min() &&
         now - this->last_crash_at < this->options.canary_window;
}

bool Quarantine::HasActiveRefusal(const Entry& entry, TimePoint now) const {
  return entry.is_suspect() && entry.alone_crashes.size() >= kCrashesToRefuse &&
         now - entry.crash_at < this->options.refusal_duration;
}

Quarantine::Entry& Quarantine::FindOrInsert(std::uint64_t fingerprint, TimePoint now) {
  const auto found = this->entries.find(fingerprint);
  if (found != this->entries.end()) {
    found->second.last_used_at = now;
    return found->second;
  }
  if (this->entries.size() >= this->options.max_fingerprints) {
    const auto evicted = std::min_element(
        this->entries.begin(), this->entries.end(), [&](const auto& a, const auto& b) {
          return std::pair(this->GetEvictionRank(a.second, now), a.second.last_used_at) <
                 std::pair(this->GetEvictionRank(b.second, now), b.second.last_used_at);
        });
    this->entries.erase(evicted);
  }
  Entry& entry = this->entries[fingerprint];
  entry.last_used_at = now;
  return entry;
}

// Returns a rank; lower ranks are evicted first. Cleared and expired fingerprints go first, refused
// ones last. Otherwise the many harmless requests in flight at a crash could evict the request that
// caused the crash.
int Quarantine::GetEvictionRank(const Entry& entry, TimePoint now) const {
  if (!entry.is_suspect() || now - entry.crash_at >= this->options.suspect_lifetime) {
    return 0;
  }
  return this->HasActiveRefusal(entry, now) ? 2 : 1;
}

bool Quarantine::AddAloneCrash(Entry& entry, std::uint64_t crash_id) {
  if (entry.alone_crashes.size() >= kCrashesToRefuse ||
      std::find(entry.alone_crashes.begin(), entry.alone_crashes.end(), crash_id) !=
          entry.alone_crashes.end()) {
    return false;
  }
  entry.alone_crashes.push_back(crash_id);
  return true;
}

QuarantineReport Quarantine::MakeReport(std::uint64_t fingerprint,
                                        const Entry& entry,
                                        TimePoint now) {
  return {.fingerprint = fingerprint,
          .crash_age = now - entry.crash_at,
          .alone_crashes = entry.alone_crashes};
}

}  // namespace ibishold
