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
  if (this->notices.size() >= this->options.max_leaves && !this->notices.contains(leaf)) {
    this->notices.erase(std::min_element(
        this->notices.begin(), this->notices.end(),
        [](const auto& a, const auto& b) { return a.second.received_at < b.second.received_at; }));
  }
  Notice& notice = this->notices[leaf];
  if (notice.started != started) {
    notice = {.started = started};
  }
  notice.received_at = now;
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
        notice->backoff_until, now + std::clamp(wait, Duration::zero(), this->options.max_backoff));
  }
}

const LeafNotices::Notice* LeafNotices::FindNotice(const LeafEntry& leaf) const {
  const auto found = this->notices.find(leaf.id);
  return found == this->notices.end() || found->second.started != leaf.started ? nullptr
                                                                               : &found->second;
}

bool LeafNotices::IsLeaving(const LeafEntry& leaf) const {
  const Notice* notice = this->FindNotice(leaf);
  return notice != nullptr && notice->leaving;
}

std::optional<TimePoint> LeafNotices::GetBackoffEnd(const LeafEntry& leaf, TimePoint now) const {
  const Notice* notice = this->FindNotice(leaf);
  if (notice == nullptr || notice->backoff_until <= now) {
    return std::nullopt;
  }
  return notice->backoff_until;
}

std::vector<LeafNotice> LeafNotices::TakeNotices() {
  return std::exchange(this->new_notices, {});
}

std::vector<LeavingLeaf> LeafNotices::ListLeavingLeaves(TimePoint now) const {
  std::vector<LeavingLeaf> leaving_leaves;
  for (const auto& [leaf, notice] : this->notices) {
    if (notice.leaving && now - notice.received_at <= this->options.gossip_duration) {
      leaving_leaves.push_back({.leaf = leaf, .started = notice.started});
    }
  }
  return leaving_leaves;
}

}  // namespace ibishold
