#ifndef TESTS_LEAF_LIMITS_LIMITED_LEAF_FLEET_H_
#define TESTS_LEAF_LIMITS_LIMITED_LEAF_FLEET_H_

#include <algorithm>
#include <deque>
#include <vector>

#include "ibishold/leaf_limits.h"

namespace ibishold {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct FleetOptions {
  std::size_t vms = 13;
  std::size_t senders = 13;  // the first VMs; all get an equal part of the demand
  double demand = 90;        // requests/s for the leaf from all VMs
  std::uint64_t seed = 1;
};

// A fleet whose VMs send to one leaf that may state a limit. Requests that a VM may not send are
// counted as denied. Messages are sent as in ibishold-node: what a leaf newly states goes to 16
// random VMs at once, news to 4 at the next tick, and every 500 ms all that is in force goes to 2.
// One in ten datagrams is lost.
class LimitedLeafFleet {
 public:
  explicit LimitedLeafFleet(FleetOptions options) : options(options), random(options.seed) {
    this->everyone = ListVmHashes(options.senders);
    for (std::size_t i = 0; i < options.vms; ++i) {
      this->vms.emplace_back();
      this->Restart(i);
    }
  }

  static std::uint64_t GetVmHash(std::size_t vm) { return Random(vm + 1).Next(); }
  static std::vector<std::uint64_t> ListVmHashes(std::size_t count) {
    std::vector<std::uint64_t> hashes;
    for (std::size_t vm = 0; vm < count; ++vm) {
      hashes.push_back(GetVmHash(vm));
    }
    return hashes;
  }

  // The VM starts with nothing known, and learns of the others at once.
  void Restart(std::size_t vm) {
    this->vms[vm] = Vm();
    this->SetSenders(vm, this->everyone, 1);
  }
  void SetSenders(std::size_t vm, std::vector<std::uint64_t> senders, double reach) {
    this->vms[vm].limits.SetSenders(
        {.vms = std::move(senders), .self = GetVmHash(vm), .reach = reach}, this->now);
  }
  // Datagrams pass only between VMs of the same group.
  void SetGroup(std::size_t vm, int group) { this->vms[vm].group = group; }

  void RunFor(Duration duration) {
    const TimePoint end = this->now + duration;
    while (this->now < end) {
      this->now += kStep;
      ++this->step;
      this->DeliverAnswers();
      this->DeliverDatagrams();
      this->SendRequests();
      if (this->step % kStepsPerTick == 0) {
        this->Gossip();
      }
    }
  }

  // Returns the most requests that the leaf got in any 4 s since the given time.
  std::size_t CountMostArrivals(TimePoint since) const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < this->arrivals.size(); ++last) {
      while (this->arrivals[last] - this->arrivals[first] >= seconds(4)) {
        ++first;
      }
      if (this->arrivals[first] >= since) {
        most = std::max(most, last - first + 1);
      }
    }
    return most;
  }
  double ComputeArrivalRate(TimePoint since) const {
    const auto first = std::lower_bound(this->arrivals.begin(), this->arrivals.end(), since);
    return static_cast<double>(this->arrivals.end() - first) /
           std::chrono::duration<double>(this->now - since).count();
  }
  std::size_t CountLimited() const {
    return static_cast<std::size_t>(std::count_if(
        this->vms.begin(), this->vms.end(),
        [&](const Vm& vm) { return vm.limits.GetLimit(kLeaf, this->now).has_value(); }));
  }

  static constexpr LeafRun kLeaf = 99;
  static constexpr Duration kStep = milliseconds(5);
  static constexpr std::uint64_t kStepsPerTick = 20;
  static constexpr std::uint64_t kTicksPerGossip = 5;

  TimePoint now = TimePoint() + std::chrono::hours(1);
  std::optional<double> stated_limit;  // by the leaf
  std::uint64_t denied = 0;            // requests
  std::uint64_t datagrams_sent = 0;

 private:
  struct Vm {
    LeafLimits limits;
    int group = 0;
  };
  struct Answer {
    std::size_t vm = 0;
    TimePoint sent_at{};
    TimePoint arrives_at{};
    std::optional<double> limit;
  };
  struct Datagram {
    std::size_t receiver = 0;
    TimePoint arrives_at{};
    std::vector<LeafLimitReport> reports;
  };

  void SendRequests() {
    const double expected = this->options.demand * std::chrono::duration<double>(kStep).count();
    double chance = expected;
    while (chance > 0) {
      const bool is_sent = this->random.NextFraction() < chance;
      chance -= 1;
      if (!is_sent) {
        continue;
      }
      const std::size_t vm = this->random.NextBelow(this->options.senders);
      LeafLimits& limits = this->vms[vm].limits;
      if (!limits.CanSend(kLeaf, 0, this->now)) {
        limits.RecordDenial(kLeaf, 0, this->now);
        ++this->denied;
        continue;
      }
      limits.TakeToken(kLeaf, 0, this->now);
      this->arrivals.push_back(this->now);
      this->answers.push_back({.vm = vm,
                               .sent_at = this->now,
                               .arrives_at = this->now + kServiceTime,
                               .limit = this->stated_limit});
    }
  }

  void DeliverAnswers() {
    while (!this->answers.empty() && this->answers.front().arrives_at <= this->now) {
      const Answer answer = this->answers.front();
      this->answers.pop_front();
      LeafLimits& limits = this->vms[answer.vm].limits;
      if (answer.limit) {
        limits.RecordLimit(kLeaf, *answer.limit, this->now);
      } else {
        limits.RecordNoLimit(kLeaf, answer.sent_at, this->now);
      }
      this->Send(answer.vm, limits.TakeReports(this->now), 16);
    }
  }

  void Gossip() {
    ++this->tick;
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
      this->Send(vm, this->vms[vm].limits.TakeNews(this->now), 4);
      if ((this->tick + vm) % kTicksPerGossip == 0) {
        this->Send(vm, this->vms[vm].limits.ListReports(this->now), 2);
      }
    }
  }

  void Send(std::size_t sender, std::vector<LeafLimitReport> reports, int receiver_count) {
    for (int i = 0; i < receiver_count && !reports.empty(); ++i) {
      const std::size_t receiver = this->random.NextBelow(this->vms.size());
      ++this->datagrams_sent;
      if (receiver != sender && this->vms[receiver].group == this->vms[sender].group &&
          this->random.NextBelow(10) != 0) {
        this->datagrams.push_back(
            {.receiver = receiver, .arrives_at = this->now + kStep, .reports = reports});
      }
    }
  }

  void DeliverDatagrams() {
    while (!this->datagrams.empty() && this->datagrams.front().arrives_at <= this->now) {
      for (const LeafLimitReport& report : this->datagrams.front().reports) {
        this->vms[this->datagrams.front().receiver].limits.RecordPeerReport(report, this->now);
      }
      this->datagrams.pop_front();
    }
  }

  static constexpr Duration kServiceTime = milliseconds(20);

  FleetOptions options;
  Random random;
  std::vector<std::uint64_t> everyone;  // all senders
  std::vector<Vm> vms;
  std::deque<Answer> answers;
  std::deque<Datagram> datagrams;
  std::vector<TimePoint> arrivals;  // at the leaf
  std::uint64_t step = 0;
  std::uint64_t tick = 0;
};

}  // namespace ibishold

#endif  // TESTS_LEAF_LIMITS_LIMITED_LEAF_FLEET_H_
