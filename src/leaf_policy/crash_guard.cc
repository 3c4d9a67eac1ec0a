#include <algorithm>
#include <utility>

#include "ibishold/leaf_policy.h"

namespace ibishold {

namespace {

template <typename Item>
bool Contains(const std::vector<Item>& items, const Item& item) {
  return std::find(items.begin(), items.end(), item) != items.end();
}

}  // namespace

CrashGuard::CrashGuard(CrashGuardOptions options) : options(options) {}

CrashGuard::Entry& CrashGuard::FindOrInsert(std::uint64_t fingerprint, TimePoint now) {
  if (this->entries.size() >= this->options.max_fingerprints &&
      !this->entries.contains(fingerprint)) {
    this->entries.erase(std::min_element(this->entries.begin(), this->entries.end(),
                                         [](const auto& a, const auto& b) {
                                           return a.second.last_report_at < b.second.last_report_at;
                                         }));
  }
  Entry& entry = this->entries[fingerprint];
  if (now - entry.last_report_at > this->options.crash_retention && entry.refused_until <= now) {
    entry = {};
  }
  entry.last_report_at = now;
  return entry;
}

void CrashGuard::RecordCrash(const LeafCrash& crash, TimePoint now) {
  if (this->RecordPeerCrash(crash, now)) {
    this->reports.push_back(crash);
  }
}

bool CrashGuard::RecordPeerCrash(const LeafCrash& crash, TimePoint now) {
  Entry& entry = this->FindOrInsert(crash.fingerprint, now);
  const bool is_new_request =
      !Contains(entry.request_hashes, crash.request) && entry.request_hashes.size() < 2;
  if (is_new_request) {
    entry.request_hashes.push_back(crash.request);
  }
  const bool is_new_leaf = this->AddCrashedLeaf(entry, crash);
  this->ApplyLimits(entry, now);
  return is_new_request || is_new_leaf;
}

bool CrashGuard::AddCrashedLeaf(Entry& entry, const LeafCrash& crash) const {
  auto service = std::find_if(
      entry.services.begin(), entry.services.end(),
      [&](const ServiceCrashes& candidate) { return candidate.service_hash == crash.service; });
  if (service == entry.services.end()) {
    if (entry.services.size() >= this->options.max_services) {
      return false;  // the recorded services suffice to refuse the call
    }
    service = entry.services.insert(service, {.service_hash = crash.service});
  }
  if (Contains(service->leaf_hashes, crash.leaf) ||
      service->leaf_hashes.size() >= this->options.max_leaves_per_service) {
    return false;  // each run of a leaf counts as one crash
  }
  service->leaf_hashes.push_back(crash.leaf);
  service->score += 1;
  return true;
}

void CrashGuard::ApplyLimits(Entry& entry, TimePoint now) const {
  if (entry.request_hashes.size() < 2) {
    return;
  }
  const auto limit = static_cast<double>(this->options.crash_limit);
  for (ServiceCrashes& service : entry.services) {
    if (service.score >= limit) {
      service.blocked_until = now + this->options.refusal_duration;
    }
  }
  if (static_cast<double>(entry.services.size()) >= limit) {
    entry.refused_until = now + this->options.refusal_duration;
  }
}

void CrashGuard::RecordSuccess(std::uint64_t fingerprint, std::uint64_t service_hash) {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) {
    return;
  }
  for (ServiceCrashes& service : found->second.services) {
    if (service.service_hash == service_hash) {
      service.score = std::max(0.0, service.score - this->options.success_weight);
    }
  }
}

bool CrashGuard::HasActiveRefusal(std::uint64_t fingerprint, TimePoint now) const {
  return this->GetRefusalTimeLeft(fingerprint, now) > Duration::zero();
}

Duration CrashGuard::GetRefusalTimeLeft(std::uint64_t fingerprint, TimePoint now) const {
  const auto found = this->entries.find(fingerprint);
  return found == this->entries.end()
             ? Duration::zero()
             : std::max(Duration::zero(), found->second.refused_until - now);
}

Duration CrashGuard::GetBlockTimeLeft(std::uint64_t fingerprint,
                                      std::uint64_t service_hash,
                                      TimePoint now) const {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) {
    return Duration::zero();
  }
  for (const ServiceCrashes& service : found->second.services) {
    if (service.service_hash == service_hash) {
      return std::max(Duration::zero(), service.blocked_until - now);
    }
  }
  return Duration::zero();
}

void CrashGuard::MergeRefusal(const CallRefusal& refusal, TimePoint now) {
  Entry& entry = this->FindOrInsert(refusal.fingerprint, now);
  entry.refused_until = std::max(entry.refused_until,
                                 now + std::min(refusal.time_left, this->options.refusal_duration));
}

std::vector<CallRefusal> CrashGuard::ListRefusals(TimePoint now) const {
  std::vector<CallRefusal> refusals;
  for (const auto& [fingerprint, entry] : this->entries) {
    if (entry.refused_until > now) {
      refusals.push_back({.fingerprint = fingerprint, .time_left = entry.refused_until - now});
    }
  }
  return refusals;
}

std::vector<LeafCrash> CrashGuard::TakeReports() {
  return std::exchange(this->reports, {});
}

}  // namespace ibishold
