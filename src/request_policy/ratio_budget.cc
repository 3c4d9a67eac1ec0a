#include <algorithm>

#include "ibishold/request_policy.h"

namespace ibishold {

RatioBudget::RatioBudget(RatioBudgetOptions options)
    : options(options), available(options.initial) {}

void RatioBudget::RecordRequest() {
  this->Deposit(this->options.share);
}

void RatioBudget::Deposit(double amount) {
  this->available = std::min(this->available + amount, this->options.maximum);
}

void RatioBudget::SetMaximum(double maximum) {
  this->options.maximum = maximum;
  this->available = std::min(this->available, maximum);
}

bool RatioBudget::TryTake() {
  // 25 deposits of 0.04 must allow one request despite rounding errors.
  constexpr double kRoundingTolerance = 1e-9;
  if (this->available + kRoundingTolerance < 1) {
    return false;
  }
  this->available = std::max(0.0, this->available - 1);
  return true;
}

}  // namespace ibishold
