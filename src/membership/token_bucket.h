#ifndef SRC_MEMBERSHIP_TOKEN_BUCKET_H_
#define SRC_MEMBERSHIP_TOKEN_BUCKET_H_

#include <optional>

#include "ibishold/core.h"

namespace ibishold {

class TokenBucket {
 public:
  TokenBucket(double rate, double capacity, double initial)
      : rate(rate), capacity(capacity), tokens(initial) {}

  bool Take(TimePoint now);
  TimePoint NextAvailable(TimePoint now);  // earliest time at which Take succeeds

 private:
  void Refill(TimePoint now);

  double rate;      // tokens per second
  double capacity;  // tokens
  double tokens;
  std::optional<TimePoint> filled_at;
};

}  // namespace ibishold

#endif  // SRC_MEMBERSHIP_TOKEN_BUCKET_H_
