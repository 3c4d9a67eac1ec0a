#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "ibishold/leaf_policy.h"

namespace ibishold {

namespace {

// Contract of the platform: in any window, the extra attempts at a service stay within the ratio of
// its first attempts plus the slack.
constexpr double kContractSlack = 113;  // extra attempts
constexpr double kContractRatio = 0.2;  // extra attempts per first attempt
constexpr Duration kContractWindow = std::chrono::seconds(10);
constexpr std::size_t kVmCount = 13;
const ServiceName kService("s");
const TimePoint kStart = TimePoint() + std::chrono::hours(1);

struct Arrival {
  TimePoint at{};
  bool is_extra = false;
};

// Simulates a fleet whose VMs send first attempts in turn, and records all attempts.
class FleetSimulator {
 public:
  explicit FleetSimulator(std::size_t vm_count) { this->RestartAll(vm_count); }

  void RestartAll(std::size_t vm_count) {
    this->budgets.assign(vm_count,
                         ExtraAttemptBudget({.slack = kContractSlack, .window = kContractWindow}));
  }

  // Sends first attempts at the given rate. If `greedy`, the VMs also send every extra attempt that
  // their budgets allow.
  void Run(Duration duration, int attempts_per_second, bool greedy) {
    const TimePoint end = this->now + duration;
    while (this->now < end) {
      ExtraAttemptBudget& vm = this->budgets[this->next_vm++ % this->budgets.size()];
      vm.RecordFirstAttempt(kService, this->budgets.size(), this->now);
      this->arrivals.push_back({.at = this->now});
      while (greedy && vm.TryTake(kService, this->budgets.size(), this->now)) {
        this->arrivals.push_back({.at = this->now, .is_extra = true});
      }
      this->now += Duration(std::chrono::seconds(1)) / attempts_per_second;
    }
  }

  // Returns the largest excess of extra attempts over the contract among all windows that begin
  // with an extra attempt; negative if the contract holds with a margin.
  double FindWorstExcess() const {
    double worst_excess = -kContractSlack;
    for (std::size_t window_begin = 0; window_begin < this->arrivals.size(); ++window_begin) {
      if (!this->arrivals[window_begin].is_extra) {
        continue;
      }
      double excess = -kContractSlack;
      for (std::size_t i = window_begin;
           i < this->arrivals.size() &&
           this->arrivals[i].at < this->arrivals[window_begin].at + kContractWindow;
           ++i) {
        excess += this->arrivals[i].is_extra ? 1 : -kContractRatio;
      }
      worst_excess = std::max(worst_excess, excess);
    }
    return worst_excess;
  }
  std::size_t CountExtraAttempts() const {
    return static_cast<std::size_t>(std::count_if(this->arrivals.begin(), this->arrivals.end(),
                                                  [](const Arrival& a) { return a.is_extra; }));
  }

  std::vector<ExtraAttemptBudget> budgets;
  std::vector<Arrival> arrivals;
  TimePoint now = kStart;
  std::size_t next_vm = 0;
};

}  // namespace

TEST_CASE("all VMs together stay within the contract of a service in every window") {
  for (const std::size_t vm_count : {std::size_t{1}, kVmCount, std::size_t{60}}) {
    for (const int attempts_per_second : {5, 100, 500}) {
      CAPTURE(vm_count);
      CAPTURE(attempts_per_second);
      FleetSimulator fleet(vm_count);
      SUBCASE("after a long quiet period in which every VM saves up its full budget") {
        fleet.Run(std::chrono::seconds(60), attempts_per_second, false);
        fleet.Run(std::chrono::seconds(40), attempts_per_second, true);
        CHECK(fleet.FindWorstExcess() <= 0);
        CHECK(static_cast<double>(fleet.CountExtraAttempts()) >= 0.15 * 40 * attempts_per_second);
      }
      SUBCASE("after a period of high load") {
        fleet.Run(std::chrono::seconds(15), attempts_per_second * 4, true);
        fleet.Run(std::chrono::seconds(15), attempts_per_second, true);
        CHECK(fleet.FindWorstExcess() <= 0);
      }
    }
  }
}

TEST_CASE("the slack is available again in each window while leaves stay slow") {
  // Leaves of all shards are slow for 30 s, so the VMs want more hedges than the ratio alone
  // allows. The contract allows the slack in every window; the test requires about a third of the
  // slack.
  FleetSimulator fleet(kVmCount);
  constexpr int kAttemptsPerSecond = 100;
  fleet.Run(std::chrono::seconds(30), kAttemptsPerSecond, true);
  const double extra_attempts_by_ratio = 0.18 * kAttemptsPerSecond * 30;
  CHECK(static_cast<double>(fleet.CountExtraAttempts()) >=
        extra_attempts_by_ratio + 3 * 0.35 * kContractSlack);
  CHECK(fleet.FindWorstExcess() <= 0);
}

TEST_CASE("VMs that restart with new budgets stay within the contract") {
  // All processes are killed during a burst of extra attempts. They restart with new budgets within
  // the same window, so the attempts of both runs count against one window of the contract.
  FleetSimulator fleet(kVmCount);
  fleet.Run(std::chrono::seconds(60), 100, false);
  fleet.Run(std::chrono::seconds(4), 100, true);
  fleet.RestartAll(kVmCount);
  fleet.Run(std::chrono::seconds(20), 100, true);
  CHECK(fleet.FindWorstExcess() <= 0);
}

TEST_CASE("hedges leave the reserved share of the budget to retries") {
  ExtraAttemptBudget budget(
      {.slack = 100, .usable_slack_share = 0.1, .slack_burst_share = 1, .initial_fill_share = 1});
  int hedges = 0;
  while (budget.TryTake(kService, 1, kStart, 0.3)) {
    ++hedges;
  }
  CHECK(hedges == 7);
  CHECK(budget.TryTake(kService, 1, kStart));
}

}  // namespace ibishold
