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
  if (this->entries.size() >= this->options.table_limit && !this->entries.contains(fingerprint)) {
    this->entries.erase(std::min_element(this->entries.begin(), this->entries.end(),
                                         [](const auto& a, const auto& b) {
                                           return a.second.last_seen_at < b.second.last_seen_at;
                                         }));
  }
  Entry& entry = this->entries[fingerprint];
  if (now - entry.last_seen_at > this->options.crash_memory && entry.refused_until <= now) {
    entry = {};
  }
  entry.last_seen_at = now;
  return entry;
}

void CrashGuard::RecordCrash(const LeafCrash& crash, TimePoint now) {
  if (this->RecordPeerCrash(crash, now)) {
    this->reports.push_back(crash);
  }
}

bool CrashGuard::RecordPeerCrash(const LeafCrash& crash, TimePoint now) {
  Entry& entry = this->FindOrInsert(crash.fingerprint, now);
  const bool add_request = !Contains(entry.requests, crash.request) && entry.requests.size() < 2;
  if (add_request) {
    entry.requests.push_back(crash.request);
  }
  const bool new_leaf = this->AddLeaf(entry, crash);
  this->ApplyLimits(entry, now);
  return add_request || new_leaf;
}

bool CrashGuard::AddLeaf(Entry& entry, const LeafCrash& crash) const {
  auto service = std::find_if(entry.services.begin(), entry.services.end(),
                              [&](const Service& known) { return known.name == crash.service; });
  if (service == entry.services.end()) {
    if (entry.services.size() >= this->options.service_limit) {
      return false;  // the services known already suffice to refuse the call
    }
    service = entry.services.insert(service, {.name = crash.service});
  }
  if (Contains(service->leaves, crash.leaf) || service->leaves.size() >= this->options.leaf_limit) {
    return false;  // each run of a leaf counts as one crash
  }
  service->leaves.push_back(crash.leaf);
  service->score += 1;
  return true;
}

void CrashGuard::ApplyLimits(Entry& entry, TimePoint now) const {
  if (entry.requests.size() < 2) {
    return;
  }
  const auto limit = static_cast<double>(this->options.crash_limit);
  for (Service& service : entry.services) {
    if (service.score >= limit) {
      service.blocked_until = now + this->options.refusal_duration;
    }
  }
  if (static_cast<double>(entry.services.size()) >= limit) {
    entry.refused_until = now + this->options.refusal_duration;
  }
}

void CrashGuard::RecordSuccess(std::uint64_t fingerprint, std::uint64_t service_name) {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) {
    return;
  }
  for (Service& service : found->second.services) {
    if (service.name == service_name) {
      service.score = std::max(0.0, service.score - this->options.success_weight);
    }
  }
}

bool CrashGuard::HasActiveRefusal(std::uint64_t fingerprint, TimePoint now) const {
  return this->RefusalTimeLeft(fingerprint, now) > Duration::zero();
}

Duration CrashGuard::RefusalTimeLeft(std::uint64_t fingerprint, TimePoint now) const {
  const auto found = this->entries.find(fingerprint);
  return found == this->entries.end()
             ? Duration::zero()
             : std::max(Duration::zero(), found->second.refused_until - now);
}

Duration CrashGuard::BlockTimeLeft(std::uint64_t fingerprint,
                                   std::uint64_t service_name,
                                   TimePoint now) const {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) {
    return Duration::zero();
  }
  for (const Service& service : found->second.services) {
    if (service.name == service_name) {
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
