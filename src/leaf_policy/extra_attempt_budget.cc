#include <algorithm>

#include "ibishold/leaf_policy.h"

namespace ibishold {

ExtraAttemptBudget::ExtraAttemptBudget(ExtraAttemptOptions options) : options(options) {}

void ExtraAttemptBudget::RecordFirstAttempt(const ServiceName& service,
                                            std::size_t sender_count,
                                            TimePoint now) {
  this->UpdateBudget(service, sender_count, now).RecordRequest();
}

bool ExtraAttemptBudget::TryTake(const ServiceName& service,
                                 std::size_t sender_count,
                                 TimePoint now,
                                 double reserve) {
  RatioBudget& budget = this->UpdateBudget(service, sender_count, now);
  if (reserve > 0 && budget.balance() < 1 + reserve * this->MaxBalance(sender_count)) {
    return false;
  }
  return budget.TryTake();
}

double ExtraAttemptBudget::MaxBalance(std::size_t sender_count) const {
  // The budget must hold at least one extra attempt; otherwise no VM of a large fleet could make
  // any.
  return std::max(1.0, this->options.slack * this->options.usable_slack_share *
                           this->options.slack_burst_share /
                           static_cast<double>(std::max<std::size_t>(sender_count, 1)));
}

RatioBudget& ExtraAttemptBudget::UpdateBudget(const ServiceName& service,
                                              std::size_t sender_count,
                                              TimePoint now) {
  const double maximum = this->MaxBalance(sender_count);
  const auto [found, inserted] = this->accounts.try_emplace(
      service, Account{.budget = RatioBudget({.share = this->options.share,
                                              .initial = maximum * this->options.initial_fill_share,
                                              .maximum = maximum}),
                       .credited_until = now});
  Account& account = found->second;
  if (inserted) {
    return account.budget;
  }
  account.budget.SetMaximum(maximum);
  const double steady_credit = this->options.slack * this->options.usable_slack_share *
                               (1 - this->options.slack_burst_share) /
                               static_cast<double>(std::max<std::size_t>(sender_count, 1));
  const double windows = std::chrono::duration<double>(now - account.credited_until) /
                         std::chrono::duration<double>(this->options.window);
  account.budget.Deposit(std::max(0.0, windows) * steady_credit);
  account.credited_until = now;
  return account.budget;
}

}  // namespace ibishold
