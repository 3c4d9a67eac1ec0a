#include <algorithm>

#include "ibishold/request_policy.h"

namespace ibishold {

RatioBudget::RatioBudget(RatioBudgetOptions options) : options(options), saved(options.initial) {}

void RatioBudget::Request() {
  this->Deposit(this->options.share);
}

void RatioBudget::Deposit(double amount) {
  this->saved = std::min(this->saved + amount, this->options.maximum);
}

void RatioBudget::SetMaximum(double maximum) {
  this->options.maximum = maximum;
  this->saved = std::min(this->saved, maximum);
}

bool RatioBudget::TryTake() {
  // 25 deposits of 0.04 must pay for one request in spite of rounding.
  constexpr double kRounding = 1e-9;
  if (this->saved + kRounding < 1) {
    return false;
  }
  this->saved = std::max(0.0, this->saved - 1);
  return true;
}

}  // namespace ibishold
