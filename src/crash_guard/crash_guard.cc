#include <algorithm>
#include <bit>
#include <utility>

#include "ibishold/crash_guard.h"

namespace ibishold {

namespace {

template <typename Item>
bool Contains(const std::vector<Item>& items, const Item& item) {
  return std::find(items.begin(), items.end(), item) != items.end();
}

// Stands for every service, in refusals and in successes of calls of one leaf.
constexpr std::uint64_t kAnyService = 0;

std::uint64_t MakeSuccessKey(std::uint64_t fingerprint, std::uint64_t service_hash) {
  return fingerprint ^ std::rotl(service_hash, 1);
}

}  // namespace

CrashGuard::CrashGuard(CrashGuardOptions options)
    : options(options), successes(std::max<std::size_t>(options.success_slots, 1)) {}

CrashGuard::Entry& CrashGuard::FindOrInsert(std::uint64_t fingerprint, TimePoint now) {
  if (this->entries.size() >= this->options.max_fingerprints &&
      !this->entries.contains(fingerprint)) {
    // Single crashes are common, and must not displace the few calls that are refused.
    const auto rank = [now](const Entry& entry) {
      return std::pair(IsRefusedAnywhere(entry, now), entry.last_used_at);
    };
    this->entries.erase(std::min_element(
        this->entries.begin(), this->entries.end(),
        [&](const auto& a, const auto& b) { return rank(a.second) < rank(b.second); }));
  }
  Entry& entry = this->entries[fingerprint];
  entry.last_used_at = now;
  if (now - entry.last_crash_at > this->options.crash_retention) {
    // Blocks last longer than the crashes that led to them.
    entry.request_hashes.clear();
    entry.whole_call_score = 0;
    std::erase_if(entry.services,
                  [now](const ServiceCrashes& service) { return service.blocked_until <= now; });
    for (ServiceCrashes& service : entry.services) {
      service.score = 0;
      service.leaf_hashes.clear();
    }
  }
  return entry;
}

CrashGuard::ServiceCrashes* CrashGuard::FindOrInsertService(Entry& entry,
                                                            std::uint64_t service_hash) const {
  const auto found = std::find_if(
      entry.services.begin(), entry.services.end(),
      [&](const ServiceCrashes& candidate) { return candidate.service_hash == service_hash; });
  if (found != entry.services.end()) {
    return &*found;
  }
  if (entry.services.size() >= this->options.max_services) {
    return nullptr;  // the recorded services suffice to refuse the call
  }
  return &entry.services.emplace_back(ServiceCrashes{.service_hash = service_hash});
}

void CrashGuard::RecordCrash(const LeafCrash& crash, TimePoint now) {
  if (this->Record(crash, now)) {
    this->reports.push_back(crash);
  }
}

bool CrashGuard::RecordPeerCrash(const LeafCrash& crash, TimePoint now) {
  return crash.age <= this->options.max_adopted_age &&
         !this->WasAnsweredRecently(crash.fingerprint, crash.service, now) &&
         this->Record(crash, now);
}

bool CrashGuard::Record(const LeafCrash& crash, TimePoint now) {
  Entry& entry = this->FindOrInsert(crash.fingerprint, now);
  const bool is_new_request =
      !Contains(entry.request_hashes, crash.request) && entry.request_hashes.size() < 2;
  if (is_new_request) {
    entry.request_hashes.push_back(crash.request);
  }
  const bool is_new_leaf = this->AddCrashedLeaf(entry, crash);
  if (!is_new_request && !is_new_leaf) {
    return false;
  }
  entry.last_crash_at = std::max(entry.last_crash_at, now - crash.age);
  this->ApplyLimits(entry, now);
  this->MarkChanged(crash.fingerprint, entry);
  return true;
}

bool CrashGuard::AddCrashedLeaf(Entry& entry, const LeafCrash& crash) const {
  ServiceCrashes* service = this->FindOrInsertService(entry, crash.service);
  if (service == nullptr || Contains(service->leaf_hashes, crash.leaf) ||
      service->leaf_hashes.size() >= this->options.max_leaves_per_service) {
    return false;  // each run of a leaf counts as one crash
  }
  service->leaf_hashes.push_back(crash.leaf);
  service->part = crash.part;
  service->score += 1;
  entry.whole_call_score += crash.part == CallPart::kWhole ? 1 : 0;
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
  if (static_cast<double>(entry.services.size()) >= limit || entry.whole_call_score >= limit) {
    entry.refused_until = now + this->options.refusal_duration;
  }
}

bool CrashGuard::IsRefusedAnywhere(const Entry& entry, TimePoint now) {
  return entry.refused_until > now ||
         std::any_of(entry.services.begin(), entry.services.end(),
                     [now](const ServiceCrashes& service) { return service.blocked_until > now; });
}

bool CrashGuard::IsSuspect(const Entry& entry, const ServiceCrashes& service) const {
  const auto limit = static_cast<double>(this->options.suspicion_limit);
  return service.part == CallPart::kWhole ? entry.whole_call_score >= limit
                                          : service.score >= limit;
}

void CrashGuard::MarkChanged(std::uint64_t fingerprint, Entry& entry) {
  if (!std::exchange(entry.has_news, true)) {
    this->changed_calls.push_back(fingerprint);
  }
}

void CrashGuard::RecordSuccess(std::uint64_t fingerprint,
                               std::uint64_t service_hash,
                               CallPart part,
                               TimePoint now) {
  const auto store = [&](std::uint64_t key) {
    this->successes[key % this->successes.size()] = {.key = key, .at = now};
  };
  store(MakeSuccessKey(fingerprint, service_hash));
  if (part == CallPart::kWhole) {
    store(MakeSuccessKey(fingerprint, kAnyService));
  }
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) {
    return;
  }
  found->second.whole_call_score =
      std::max(0.0, found->second.whole_call_score - this->options.success_weight);
  for (ServiceCrashes& service : found->second.services) {
    if (service.service_hash == service_hash) {
      service.score = std::max(0.0, service.score - this->options.success_weight);
    }
  }
}

bool CrashGuard::WasAnsweredRecently(std::uint64_t fingerprint,
                                     std::uint64_t service_hash,
                                     TimePoint now) const {
  const std::uint64_t key = MakeSuccessKey(fingerprint, service_hash);
  const Success& success = this->successes[key % this->successes.size()];
  return success.key == key && now - success.at <= this->options.crash_retention;
}

std::size_t CrashGuard::CountCrashes(std::uint64_t fingerprint) const {
  const auto found = this->entries.find(fingerprint);
  std::size_t count = 0;
  if (found != this->entries.end()) {
    for (const ServiceCrashes& service : found->second.services) {
      count += service.leaf_hashes.size();
    }
  }
  return count;
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
  TimePoint blocked_until = found->second.refused_until;
  for (const ServiceCrashes& service : found->second.services) {
    if (service.service_hash == service_hash) {
      blocked_until = std::max(blocked_until, service.blocked_until);
    }
  }
  return std::max(Duration::zero(), blocked_until - now);
}

void CrashGuard::MergeRefusal(const CallRefusal& refusal, TimePoint now) {
  if (refusal.time_left < this->options.min_adopted_time_left ||
      this->WasAnsweredRecently(refusal.fingerprint, refusal.service, now)) {
    return;
  }
  Entry& entry = this->FindOrInsert(refusal.fingerprint, now);
  TimePoint* refused_until = &entry.refused_until;
  if (refusal.service != kAnyService) {
    ServiceCrashes* service = this->FindOrInsertService(entry, refusal.service);
    if (service == nullptr) {
      return;
    }
    refused_until = &service->blocked_until;
  }
  if (*refused_until > now) {
    return;
  }
  *refused_until = now + std::min(refusal.time_left, this->options.refusal_duration);
  this->MarkChanged(refusal.fingerprint, entry);
}

void CrashGuard::AppendNews(std::uint64_t fingerprint,
                            const Entry& entry,
                            TimePoint now,
                            CrashNews& news) const {
  if (entry.refused_until > now) {
    news.refusals.push_back({.fingerprint = fingerprint, .time_left = entry.refused_until - now});
    return;
  }
  const Duration age = now - entry.last_crash_at;
  for (const ServiceCrashes& service : entry.services) {
    if (service.blocked_until > now) {
      news.refusals.push_back({.fingerprint = fingerprint,
                               .service = service.service_hash,
                               .time_left = service.blocked_until - now});
      continue;
    }
    if (!this->IsSuspect(entry, service) || age > this->options.crash_retention) {
      continue;
    }
    for (std::size_t i = 0; i < std::min(service.leaf_hashes.size(), this->options.crash_limit);
         ++i) {
      news.crashes.push_back({.fingerprint = fingerprint,
                              .part = service.part,
                              .request = entry.request_hashes[i % entry.request_hashes.size()],
                              .service = service.service_hash,
                              .leaf = service.leaf_hashes[i],
                              .age = age});
    }
  }
}

CrashNews CrashGuard::TakeNews(TimePoint now) {
  CrashNews news;
  for (const std::uint64_t fingerprint : std::exchange(this->changed_calls, {})) {
    const auto found = this->entries.find(fingerprint);
    if (found != this->entries.end()) {
      found->second.has_news = false;
      this->AppendNews(fingerprint, found->second, now, news);
    }
  }
  return news;
}

CrashNews CrashGuard::ListNews(TimePoint now) const {
  CrashNews news;
  for (const auto& [fingerprint, entry] : this->entries) {
    this->AppendNews(fingerprint, entry, now, news);
  }
  return news;
}

std::vector<LeafCrash> CrashGuard::TakeReports() {
  return std::exchange(this->reports, {});
}

}  // namespace ibishold
