#ifndef SRC_MEMBERSHIP_DOCUMENT_EXCHANGE_H_
#define SRC_MEMBERSHIP_DOCUMENT_EXCHANGE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "ibishold/membership.h"

namespace ibishold {

// Fetches documents from peers, at most one fetch per key at a time, plus a second one if a peer
// offers a newer document meanwhile.
class DocumentExchange {
 public:
  explicit DocumentExchange(Duration fetch_timeout) : fetch_timeout(fetch_timeout) {}

  // Records that the peer at this address has these documents, and fetches newer ones.
  void RecordOffer(const std::string& address,
                   const std::vector<Digest>& digests,
                   const ConfigStore& store,
                   TimePoint now,
                   MembershipActions& actions);
  // Requests any version of this document from a peer.
  void Request(const std::string& address,
               const std::string& key,
               TimePoint now,
               MembershipActions& actions);
  bool IsPending(const std::string& key) const;
  // Called when a fetch succeeded or failed. Tries the next peer that offered a newer document.
  void OnFetchEnd(std::uint64_t call,
                  const ConfigStore& store,
                  TimePoint now,
                  MembershipActions& actions);
  void Expire(const ConfigStore& store, TimePoint now, MembershipActions& actions);
  TimePoint NextWake() const;

 private:
  struct Fetch {
    std::uint64_t call = 0;
    Digest digest;  // generation 0: any version
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
