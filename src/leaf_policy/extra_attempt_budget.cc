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
  if (reserve > 0 && budget.balance() < 1 + reserve * this->ComputeMaxBalance(sender_count)) {
    return false;
  }
  return budget.TryTake();
}

double ExtraAttemptBudget::ComputeMaxBalance(std::size_t sender_count) const {
  // The budget must hold at least one extra attempt. Otherwise no VM of a large fleet could ever
  // make one.
  return std::max(1.0, this->options.slack * this->options.usable_slack_share *
                           this->options.slack_burst_share /
                           static_cast<double>(std::max<std::size_t>(sender_count, 1)));
}

RatioBudget& ExtraAttemptBudget::UpdateBudget(const ServiceName& service,
                                              std::size_t sender_count,
                                              TimePoint now) {
  const double max_balance = this->ComputeMaxBalance(sender_count);
  const auto [found, inserted] = this->accounts.try_emplace(
      service,
      Account{.budget = RatioBudget({.share = this->options.share,
                                     .initial = max_balance * this->options.initial_fill_share,
                                     .maximum = max_balance}),
              .credited_until = now});
  Account& account = found->second;
  if (inserted) {
    return account.budget;
  }
  account.budget.SetMaximum(max_balance);
  const double credit_per_window = this->options.slack * this->options.usable_slack_share *
                                   (1 - this->options.slack_burst_share) /
                                   static_cast<double>(std::max<std::size_t>(sender_count, 1));
  const double elapsed_windows = std::chrono::duration<double>(now - account.credited_until) /
                                 std::chrono::duration<double>(this->options.window);
  account.budget.Deposit(std::max(0.0, elapsed_windows) * credit_per_window);
  account.credited_until = now;
  return account.budget;
}

}  // namespace ibishold
