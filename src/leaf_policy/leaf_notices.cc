#include <algorithm>
#include <utility>

#include "ibishold/leaf_policy.h"

namespace ibishold {

LeafNotices::LeafNotices(LeafNoticeOptions options) : options(options) {}

LeafNotices::Notice* LeafNotices::NoticeOf(const LeafId& leaf,
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

void LeafNotices::Leaving(const LeafId& leaf, std::uint64_t started, TimePoint now) {
  const LeavingLeaf leaving = {.leaf = leaf, .started = started};
  if (this->HeardLeaving(leaving, now)) {
    this->news.push_back({.leaf = leaving, .leaving = true});
  }
}

bool LeafNotices::HeardLeaving(const LeavingLeaf& leaving, TimePoint now) {
  Notice* notice = this->NoticeOf(leaving.leaf, leaving.started, now);
  return notice != nullptr && !std::exchange(notice->leaving, true);
}

void LeafNotices::ComeBackLater(const LeafId& leaf,
                                std::uint64_t started,
                                Duration wait,
                                TimePoint now) {
  if (Notice* notice = this->NoticeOf(leaf, started, now)) {
    this->news.push_back({.leaf = {.leaf = leaf, .started = started}, .wait = wait});
    notice->closed_until = std::max(
        notice->closed_until, now + std::clamp(wait, Duration::zero(), this->options.longest));
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

std::optional<TimePoint> LeafNotices::ClosedUntil(const LeafEntry& leaf, TimePoint now) const {
  const Notice* notice = this->Find(leaf);
  if (notice == nullptr || notice->closed_until <= now) {
    return std::nullopt;
  }
  return notice->closed_until;
}

std::vector<LeafNotice> LeafNotices::TakeNews() {
  return std::exchange(this->news, {});
}

std::vector<LeavingLeaf> LeafNotices::RecentlyLeaving(TimePoint now) const {
  std::vector<LeavingLeaf> recent;
  for (const auto& [leaf, notice] : this->notices) {
    if (notice.leaving && now - notice.heard_at <= this->options.told_for) {
      recent.push_back({.leaf = leaf, .started = notice.started});
    }
  }
  return recent;
}

}  // namespace ibishold
