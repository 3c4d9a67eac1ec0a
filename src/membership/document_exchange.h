#ifndef SRC_MEMBERSHIP_DOCUMENT_EXCHANGE_H_
#define SRC_MEMBERSHIP_DOCUMENT_EXCHANGE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "ibishold/membership.h"

namespace ibishold {

// At most one fetch a key, and a second one if a peer shows a newer text meanwhile.
class DocumentExchange {
 public:
  explicit DocumentExchange(Duration fetch_timeout) : fetch_timeout(fetch_timeout) {}

  // A peer at this address has these documents.
  void RecordOffer(const std::string& address,
                   const std::vector<Digest>& digests,
                   const ConfigStore& store,
                   TimePoint now,
                   MembershipActions& actions);
  // Asks a peer that may have any text of this key.
  void Request(const std::string& address,
               const std::string& key,
               TimePoint now,
               MembershipActions& actions);
  bool IsPending(const std::string& key) const;
  // The fetch ended, well or not; tries the next peer that offered a newer text.
  void OnFetchEnd(std::uint64_t call,
                  const ConfigStore& store,
                  TimePoint now,
                  MembershipActions& actions);
  void Expire(const ConfigStore& store, TimePoint now, MembershipActions& actions);
  TimePoint NextWake() const;

 private:
  struct Fetch {
    std::uint64_t call = 0;
    Digest digest;  // generation 0: whatever the peer has
    TimePoint deadline{};
  };
  struct Offer {
    std::string address;
    Digest digest;
  };
  struct Key {
    std::vector<Fetch> fetches;
    std::deque<Offer> offers;  // newest last
  };

  void StartFetch(Key& key,
                  const std::string& address,
                  const Digest& digest,
                  TimePoint now,
                  MembershipActions& actions);
  void FetchNextOffer(Key& key,
                      const ConfigStore& store,
                      TimePoint now,
                      MembershipActions& actions);

  Duration fetch_timeout;
  std::uint64_t last_call = 0;
  std::map<std::string, Key> keys;
};

}  // namespace ibishold

#endif  // SRC_MEMBERSHIP_DOCUMENT_EXCHANGE_H_
