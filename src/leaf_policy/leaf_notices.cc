#include <algorithm>
#include <utility>

#include "ibishold/leaf_policy.h"

namespace ibishold {

LeafNotices::LeafNotices(LeafNoticeOptions options) : options(options) {}

LeafNotices::Notice* LeafNotices::FindOrInsert(const LeafId& leaf,
                                               std::uint64_t started,
                                               TimePoint now) {
  if (const auto found = this->notices.find(leaf);
      found != this->notices.end() && found->second.started > started) {
    return nullptr;
  }
  if (this->notices.size() >= this->options.table_limit && !this->notices.contains(leaf)) {
    this->notices.erase(std::min_element(
        this->notices.begin(), this->notices.end(),
        [](const auto& a, const auto& b) { return a.second.heard_at < b.second.heard_at; }));
  }
  Notice& notice = this->notices[leaf];
  if (notice.started != started) {
    notice = {.started = started};
  }
  notice.heard_at = now;
  return &notice;
}

void LeafNotices::RecordLeaving(const LeafId& leaf, std::uint64_t started, TimePoint now) {
  const LeavingLeaf leaving = {.leaf = leaf, .started = started};
  if (this->RecordPeerLeaving(leaving, now)) {
    this->new_notices.push_back({.leaf = leaving, .leaving = true});
  }
}

bool LeafNotices::RecordPeerLeaving(const LeavingLeaf& leaving, TimePoint now) {
  Notice* notice = this->FindOrInsert(leaving.leaf, leaving.started, now);
  return notice != nullptr && !std::exchange(notice->leaving, true);
}

void LeafNotices::RecordBackoff(const LeafId& leaf,
                                std::uint64_t started,
                                Duration wait,
                                TimePoint now) {
  if (Notice* notice = this->FindOrInsert(leaf, started, now)) {
    this->new_notices.push_back({.leaf = {.leaf = leaf, .started = started}, .wait = wait});
    notice->backoff_until = std::max(
        notice->backoff_until, now + std::clamp(wait, Duration::zero(), this->options.max_wait));
  }
}

const LeafNotices::Notice* LeafNotices::Find(const LeafEntry& leaf) const {
  const auto found = this->notices.find(leaf.id);
  return found == this->notices.end() || found->second.started != leaf.started ? nullptr
                                                                               : &found->second;
}

bool LeafNotices::leaving(const LeafEntry& leaf) const {
  const Notice* notice = this->Find(leaf);
  return notice != nullptr && notice->leaving;
}

std::optional<TimePoint> LeafNotices::BackoffEnd(const LeafEntry& leaf, TimePoint now) const {
  const Notice* notice = this->Find(leaf);
  if (notice == nullptr || notice->backoff_until <= now) {
    return std::nullopt;
  }
  return notice->backoff_until;
}

std::vector<LeafNotice> LeafNotices::TakeNotices() {
  return std::exchange(this->new_notices, {});
}

std::vector<LeavingLeaf> LeafNotices::ListLeavingLeaves(TimePoint now) const {
  std::vector<LeavingLeaf> recent;
  for (const auto& [leaf, notice] : this->notices) {
    if (notice.leaving && now - notice.heard_at <= this->options.gossip_duration) {
      recent.push_back({.leaf = leaf, .started = notice.started});
    }
  }
  return recent;
}

}  // namespace ibishold
