#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "ibishold/leaf_policy.h"

namespace ibishold {

namespace {

constexpr double kSlack = 113;  // contract of the platform: slack, ratio and window
constexpr double kRatio = 0.2;
constexpr Duration kWindow = std::chrono::seconds(10);
constexpr std::size_t kVms = 13;
const ServiceName kService("s");
const TimePoint kStart = TimePoint() + std::chrono::hours(1);

struct Arrival {
  TimePoint at{};
  bool extra = false;
};

// A fleet whose VMs take turns to send first attempts. Records all attempts.
class FleetSimulator {
 public:
  explicit FleetSimulator(std::size_t vms) { this->RestartAll(vms); }

  void RestartAll(std::size_t vms) {
    this->fleet.assign(vms, ExtraAttemptBudget({.slack = kSlack, .window = kWindow}));
  }

  // Sends `rate` first attempts per second. If `greedy`, the VMs also make every extra attempt that
  // the budget allows.
  void Run(Duration duration, int rate, bool greedy) {
    const TimePoint end = this->now + duration;
    while (this->now < end) {
      ExtraAttemptBudget& vm = this->fleet[this->next_vm++ % this->fleet.size()];
      vm.RecordFirstAttempt(kService, this->fleet.size(), this->now);
      this->arrivals.push_back({.at = this->now});
      while (greedy && vm.TryTake(kService, this->fleet.size(), this->now)) {
        this->arrivals.push_back({.at = this->now, .extra = true});
      }
      this->now += Duration(std::chrono::seconds(1)) / rate;
    }
  }

  // Largest number of extra attempts above the contract, over all windows that begin with an extra
  // attempt.
  double WorstExcess() const {
    double worst = -kSlack;
    for (std::size_t first = 0; first < this->arrivals.size(); ++first) {
      if (!this->arrivals[first].extra) {
        continue;
      }
      double excess = -kSlack;
      for (std::size_t i = first;
           i < this->arrivals.size() && this->arrivals[i].at < this->arrivals[first].at + kWindow;
           ++i) {
        excess += this->arrivals[i].extra ? 1 : -kRatio;
      }
      worst = std::max(worst, excess);
    }
    return worst;
  }
  std::size_t Extra() const {
    return static_cast<std::size_t>(std::count_if(this->arrivals.begin(), this->arrivals.end(),
                                                  [](const Arrival& a) { return a.extra; }));
  }

  std::vector<ExtraAttemptBudget> fleet;
  std::vector<Arrival> arrivals;
  TimePoint now = kStart;
  std::size_t next_vm = 0;
};

}  // namespace

TEST_CASE("all VMs together stay within the contract of a service in every window") {
  for (const std::size_t vms : {std::size_t{1}, kVms, std::size_t{60}}) {
    for (const int rate : {5, 100, 500}) {
      CAPTURE(vms);
      CAPTURE(rate);
      FleetSimulator fleet(vms);
      SUBCASE("after a long quiet period in which every VM saves up its full budget") {
        fleet.Run(std::chrono::seconds(60), rate, false);
        fleet.Run(std::chrono::seconds(40), rate, true);
        CHECK(fleet.WorstExcess() <= 0);
        CHECK(static_cast<double>(fleet.Extra()) >= 0.15 * 40 * rate);
      }
      SUBCASE("when a period of high load ends") {
        fleet.Run(std::chrono::seconds(15), rate * 4, true);
        fleet.Run(std::chrono::seconds(15), rate, true);
        CHECK(fleet.WorstExcess() <= 0);
      }
    }
  }
}

TEST_CASE("the slack is available again in each window while leaves stay slow") {
  // Leaves of all shards become slow for 30 s, so that more hedges are wanted than the ratio alone
  // allows. The contract allows the slack in every window; the test requires a third of it.
  FleetSimulator fleet(kVms);
  constexpr int kRate = 100;
  fleet.Run(std::chrono::seconds(30), kRate, true);
  const double by_ratio = 0.18 * kRate * 30;
  CHECK(static_cast<double>(fleet.Extra()) >= by_ratio + 3 * 0.35 * kSlack);
  CHECK(fleet.WorstExcess() <= 0);
}

TEST_CASE("VMs that restart with new budgets stay within the contract") {
  // All processes are killed during a burst of extra attempts and restart with new budgets within
  // the same window.
  FleetSimulator fleet(kVms);
  fleet.Run(std::chrono::seconds(60), 100, false);
  fleet.Run(std::chrono::seconds(4), 100, true);
  fleet.RestartAll(kVms);
  fleet.Run(std::chrono::seconds(20), 100, true);
  CHECK(fleet.WorstExcess() <= 0);
}

TEST_CASE("hedges leave a reserve for retries after a failure") {
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
