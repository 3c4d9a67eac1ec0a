#include "membership/token_bucket.h"

#include <algorithm>

namespace ibishold {

bool TokenBucket::Take(TimePoint now) {
  this->Refill(now);
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

TimePoint TokenBucket::NextAvailable(TimePoint now) {
  this->Refill(now);
  if (this->tokens >= 1) {
    return now;
  }
  // Adds one microsecond, so that rounding does not wake the caller too early.
  const std::chrono::duration<double> wait((1 - this->tokens) / this->rate);
  return now + std::chrono::duration_cast<Duration>(wait) + std::chrono::microseconds(1);
}

void TokenBucket::Refill(TimePoint now) {
  if (this->filled_at) {
    const std::chrono::duration<double> passed = now - *this->filled_at;
    this->tokens = std::min(this->capacity, this->tokens + passed.count() * this->rate);
  }
  this->filled_at = now;
}

}  // namespace ibishold
