#include <algorithm>
#include <utility>

#include "ibishold/allowances.h"

namespace ibishold {

bool TenantStates::Merge(const TenantState& state, TimePoint now) {
  if (state.age < Duration::zero() || state.age >= this->options.lifetime) {
    return false;
  }
  const TimePoint stated_at = now - state.age;
  if (!state.limited && !this->entries.contains(state.tenant)) {
    return false;
  }
  if (this->entries.size() >= this->options.max_states && !this->entries.contains(state.tenant)) {
    this->entries.erase(std::min_element(
        this->entries.begin(), this->entries.end(),
        [](const auto& a, const auto& b) { return a.second.stated_at < b.second.stated_at; }));
  }
  Entry& entry = this->entries[state.tenant];
  if (stated_at < entry.stated_at || (!state.by_home && entry.state.by_home &&
                                      now - entry.stated_at < this->options.home_precedence)) {
    return false;
  }
  const bool is_change = this->IsLimited(entry, now) != state.limited;
  const bool is_news = this->IsNews(entry, state);
  const double told = is_news ? state.fraction : entry.told_fraction;
  entry = {.state = state,
           .stated_at = stated_at,
           .is_news = entry.is_news || is_news,
           .told_fraction = state.limited ? told : kNotTold};
  return is_change;
}

bool TenantStates::IsNews(const Entry& entry, const TenantState& state) const {
  const bool was_told = entry.told_fraction <= 1;
  return state.limited
             ? state.fraction < this->options.news_fraction * std::min(1.0, entry.told_fraction) &&
                   state.demand >= this->options.min_news_demand
             : was_told;
}

bool TenantStates::IsLimited(const Entry& entry, TimePoint now) const {
  return entry.state.limited && now - entry.stated_at < this->options.lifetime;
}

TenantState TenantStates::MakeState(const Entry& entry, TimePoint now) {
  TenantState state = entry.state;
  state.age = now - entry.stated_at;
  return state;
}

std::optional<TenantState> TenantStates::FindLimited(TenantKey tenant, TimePoint now) const {
  const auto found = this->entries.find(tenant);
  return found == this->entries.end() || !this->IsLimited(found->second, now)
             ? std::nullopt
             : std::optional(MakeState(found->second, now));
}

std::vector<TenantState> TenantStates::TakeNews(TimePoint now) {
  std::vector<TenantState> news;
  for (auto& [tenant, entry] : this->entries) {
    if (std::exchange(entry.is_news, false)) {
      news.push_back(MakeState(entry, now));
    }
  }
  std::erase_if(this->entries, [&](const auto& item) {
    return now - item.second.stated_at >= this->options.lifetime;
  });
  return news;
}

std::vector<TenantState> TenantStates::List(TimePoint now) const {
  std::vector<TenantState> listed;
  for (const auto& [tenant, entry] : this->entries) {
    if (this->IsLimited(entry, now) ||
        (!entry.state.limited && now - entry.stated_at < this->options.end_lifetime)) {
      listed.push_back(MakeState(entry, now));
    }
  }
  return listed;
}

}  // namespace ibishold
