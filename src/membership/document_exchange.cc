#include "membership/document_exchange.h"

#include <algorithm>

namespace ibishold {

namespace {

// Number of other peers to try if a fetch fails.
constexpr std::size_t kMaxOffers = 4;

}  // namespace

void DocumentExchange::RecordOffer(const std::string& address,
                                   const std::vector<Digest>& digests,
                                   const ConfigStore& store,
                                   TimePoint now,
                                   MembershipActions& actions) {
  for (const Digest& digest : digests) {
    if (!store.ShouldFetch(digest)) {
      continue;
    }
    Key& key = this->keys[digest.key];
    const bool already_being_fetched =
        std::any_of(key.fetches.begin(), key.fetches.end(),
                    [&](const Fetch& fetch) { return !Supersedes(digest, fetch.digest); });
    if (!already_being_fetched && key.fetches.size() < 2) {
      this->StartFetch(key, address, digest, now, actions);
      continue;
    }
    key.offers.push_back({address, digest});
    if (key.offers.size() > kMaxOffers) {
      key.offers.pop_front();
    }
  }
}

void DocumentExchange::Request(const std::string& address,
                               const std::string& key,
                               TimePoint now,
                               MembershipActions& actions) {
  this->StartFetch(this->keys[key], address, {key, 0, 0}, now, actions);
}

bool DocumentExchange::IsPending(const std::string& key) const {
  const auto found = this->keys.find(key);
  return found != this->keys.end() && !found->second.fetches.empty();
}

void DocumentExchange::OnFetchEnd(std::uint64_t call,
                                  const ConfigStore& store,
                                  TimePoint now,
                                  MembershipActions& actions) {
  for (auto& [name, key] : this->keys) {
    const auto erased =
        std::erase_if(key.fetches, [&](const Fetch& fetch) { return fetch.call == call; });
    if (erased > 0) {
      this->FetchNextOffer(key, store, now, actions);
    }
  }
}

void DocumentExchange::Expire(const ConfigStore& store, TimePoint now, MembershipActions& actions) {
  for (auto& [name, key] : this->keys) {
    const auto erased =
        std::erase_if(key.fetches, [&](const Fetch& fetch) { return fetch.deadline <= now; });
    if (erased > 0) {
      this->FetchNextOffer(key, store, now, actions);
    }
  }
}

TimePoint DocumentExchange::NextWake() const {
  TimePoint next = TimePoint::max();
  for (const auto& [name, key] : this->keys) {
    for (const Fetch& fetch : key.fetches) {
      next = std::min(next, fetch.deadline);
    }
  }
  return next;
}

void DocumentExchange::StartFetch(Key& key,
                                  const std::string& address,
                                  const Digest& digest,
                                  TimePoint now,
                                  MembershipActions& actions) {
  key.fetches.push_back({++this->last_call, digest, now + this->fetch_timeout});
  actions.push_back(FetchDocument{this->last_call, address, digest.key});
}

void DocumentExchange::FetchNextOffer(Key& key,
                                      const ConfigStore& store,
                                      TimePoint now,
                                      MembershipActions& actions) {
  while (key.fetches.empty() && !key.offers.empty()) {
    const Offer offer = key.offers.back();
    key.offers.pop_back();
    if (store.ShouldFetch(offer.digest)) {
      this->StartFetch(key, offer.address, offer.digest, now, actions);
    }
  }
}

}  // namespace ibishold
