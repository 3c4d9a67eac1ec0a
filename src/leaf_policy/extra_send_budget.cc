#include <algorithm>

#include "ibishold/leaf_policy.h"

namespace ibishold {

ExtraSendBudget::ExtraSendBudget(ExtraSendOptions options) : options(options) {}

void ExtraSendBudget::FirstSend(const ServiceName& service, std::size_t senders, TimePoint now) {
  this->BudgetOf(service, senders, now).Request();
}

bool ExtraSendBudget::TryTake(const ServiceName& service,
                              std::size_t senders,
                              TimePoint now,
                              double reserve) {
  RatioBudget& budget = this->BudgetOf(service, senders, now);
  if (reserve > 0 && budget.balance() < 1 + reserve * this->Maximum(senders)) {
    return false;
  }
  return budget.TryTake();
}

double ExtraSendBudget::Maximum(std::size_t senders) const {
  // One extra send must fit, or a large fleet could never make any.
  return std::max(1.0, this->options.slack * this->options.slack_used * this->options.slack_saved /
                           static_cast<double>(std::max<std::size_t>(senders, 1)));
}

RatioBudget& ExtraSendBudget::BudgetOf(const ServiceName& service,
                                       std::size_t senders,
                                       TimePoint now) {
  const double maximum = this->Maximum(senders);
  const auto [found, inserted] = this->accounts.try_emplace(
      service, Account{.budget = RatioBudget({.share = this->options.share,
                                              .initial = maximum * this->options.initial_share,
                                              .maximum = maximum}),
                       .paid_at = now});
  Account& account = found->second;
  if (inserted) {
    return account.budget;
  }
  account.budget.SetMaximum(maximum);
  const double flowing = this->options.slack * this->options.slack_used *
                         (1 - this->options.slack_saved) /
                         static_cast<double>(std::max<std::size_t>(senders, 1));
  const double windows = std::chrono::duration<double>(now - account.paid_at) /
                         std::chrono::duration<double>(this->options.window);
  account.budget.Deposit(std::max(0.0, windows) * flowing);
  account.paid_at = now;
  return account.budget;
}

}  // namespace ibishold
