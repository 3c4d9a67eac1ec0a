// Guards against two VMs that use one slot at the same time. Causes are VM lists that differ or
// arrive late, frozen and restarted processes, and lost releases.
#include <doctest/doctest.h>

#include "ibishold/ownership.h"
#include "tests/broker/sim.h"

namespace ibishold {

namespace {

using namespace sim;

constexpr std::uint32_t kLeafSlots = 4;

struct ProtectionOptions {
  Duration takeover_wait = 8s;
  Duration resume_wait = 2s;
  Duration long_lapse = 30s;
  Duration release_delay = 1500ms;
  bool extend_takeover_wait = true;  // by the release_delay
  bool check_right_to_hold = true;
};

class Fleet {
 public:
  Fleet(std::uint64_t seed, const ProtectionOptions& protection)
      : sim(seed), leaf(sim, {.slots = kLeafSlots, .starts_cold = false}), protection(protection) {
    for (const char* name : {"a", "b", "c", "d"}) {
      this->vm_list.push_back({.id = VmId(name)});
    }
    for (const VmEntry& vm : this->vm_list) {
      this->StartProcess(vm.id.value);
    }
    this->RenewAllHolds();
    this->SubmitLoad();
  }

  // Freezes, partitions or restarts a random VM, or changes its state in the VM list. A changed
  // list reaches each VM after up to 6 s.
  void InjectFault() {
    const std::size_t vm_index = this->sim.random.NextBelow(this->names.size());
    const std::string name = this->names[vm_index];
    const auto process = this->processes.at(name);
    const Duration fault_duration =
        std::chrono::milliseconds(500 + this->sim.random.NextBelow(25000));
    const std::uint64_t fault_kind = this->sim.random.NextBelow(5);
    if (fault_kind == 0) {
      process->broker->frozen = true;
      this->sim.Schedule(fault_duration, [this, process] { this->EndFault(process); });
    } else if (fault_kind == 1) {
      // A partitioned VM reaches the leaf and its callers, but neither other VMs nor the platform.
      process->partitioned = true;
      this->sim.Schedule(fault_duration, [this, process] { this->EndFault(process); });
    } else if (fault_kind == 2 && this->generation > 1) {
      // Processes are restarted only after generation 1, in which SlotHolder does not wait.
      process->broker->Kill();
      this->StartProcess(name);
    }
    // In half of the cases the state of the faulty VM changes in the list as well.
    if (fault_kind >= 3 || this->sim.random.NextFraction() < 0.5) {
      const bool listed = this->vm_list[vm_index].state == VmState::kLive;
      this->vm_list[vm_index].state = listed ? VmState::kLeaving : VmState::kLive;
      this->PublishVmList();
    }
  }

  Simulation sim;
  SimLeaf leaf;
  std::uint32_t max_primaries = 0;  // maximum number of VMs that acted as primary at the same time
  std::uint64_t checks_with_primary = 0;  // checks that found a VM acting as primary

 private:
  struct Process {
    explicit Process(SlotHolderOptions options) : holder(std::move(options)) {}
    std::string name;
    SlotHolder holder;
    std::shared_ptr<SimBroker> broker;
    TimePoint hold_until{};
    bool partitioned = false;
    std::uint64_t known_generation = 0;  // generation of the VM list
  };
  using ProcessPtr = std::shared_ptr<Process>;

  void StartProcess(const std::string& name) {
    const Duration release_delay = this->protection.release_delay;
    const Duration wait_reduction =
        this->protection.extend_takeover_wait ? Duration{} : release_delay;
    auto process = std::make_shared<Process>(
        SlotHolderOptions{.vm = VmId(name),
                          .takeover_wait = this->protection.takeover_wait - wait_reduction,
                          .resume_wait = this->protection.resume_wait,
                          .long_lapse = this->protection.long_lapse,
                          .release_delay = release_delay});
    process->name = name;
    LeafDispatcherOptions options;
    options.leaf = LeafId("leaf");
    options.warm_up.enabled = false;  // so that only the slots limit the calls
    process->broker = std::make_shared<SimBroker>(this->sim, this->leaf, options);
    process->broker->name = name + std::to_string(++this->started_processes);
    process->broker->compute_usable_slots = [this, process_ptr = process.get()](TimePoint now) {
      process_ptr->holder.UpdateRightToHold(
          this->protection.check_right_to_hold ? process_ptr->hold_until : TimePoint::max(), now);
      const std::uint32_t slots = process_ptr->holder.CountUsableSlots(LeafId("leaf"), now);
      for (const SlotHandOver& hand_over : process_ptr->holder.TakeHandOvers(
               LeafId("leaf"), process_ptr->broker->dispatcher.busy_count())) {
        this->SendRelease(hand_over);
      }
      if (process_ptr->broker->dispatcher.busy_count() == 0) {
        if (const auto new_primary = process_ptr->holder.TakePrimaryHandOver(LeafId("leaf"))) {
          this->SendRelease({.leaf = LeafId("leaf"), .to = *new_primary});
        }
      }
      return slots;
    };
    this->processes[name] = process;
    if (std::find(this->names.begin(), this->names.end(), name) == this->names.end()) {
      this->names.push_back(name);
    }
    process->hold_until = this->sim.now + 5s;
    this->ApplyVmList(process, this->generation);
    process->broker->Start(
        0, {.primary = true, .primary_slots = kLeafSlots, .total_slots = kLeafSlots});
  }

  void SendRelease(const SlotHandOver& hand_over) {
    if (this->sim.random.NextFraction() < 0.2) {
      return;  // the message is lost
    }
    this->sim.Schedule(this->sim.PickDelay(), [this, hand_over] {
      const ProcessPtr receiver = this->processes.at(hand_over.to.value);
      if (!receiver->broker->frozen && !receiver->partitioned) {
        hand_over.slots == 0
            ? receiver->holder.OnPrimaryRelease(hand_over.leaf, this->sim.now)
            : receiver->holder.OnRelease(hand_over.leaf, hand_over.slots, this->sim.now);
      }
    });
  }

  void PublishVmList() {
    ++this->generation;
    for (const std::string& name : this->names) {
      this->sim.Schedule(std::chrono::milliseconds(this->sim.random.NextBelow(6000)),
                         [this, name, new_generation = this->generation] {
                           this->ApplyVmList(this->processes.at(name), new_generation);
                         });
    }
  }

  void ApplyVmList(const ProcessPtr& process, std::uint64_t new_generation) {
    if (process->broker->frozen || process->partitioned ||
        process->known_generation >= new_generation) {
      return;
    }
    process->known_generation = this->generation;
    Topology topology;
    Service service{.name = ServiceName("s"), .slots = kLeafSlots};
    service.shards.push_back({.id = ShardId("0"), .leaves = {{.id = LeafId("leaf")}}});
    topology.services.push_back(service);
    process->holder.OnPlan(std::make_shared<const SlotPlan>(topology, VmList{.vms = this->vm_list}),
                           this->generation, this->sim.now);
  }

  // Renews the right to hold slots if at least half of the monitors acknowledge. The monitors of a
  // VM are all other VMs.
  void RenewHold(const ProcessPtr& process) {
    std::size_t monitors = 0;
    std::size_t acknowledged = 0;
    for (const auto& [name, monitor] : this->processes) {
      if (monitor == process) {
        continue;
      }
      ++monitors;
      const bool has_newer_list = monitor->known_generation > process->known_generation;
      const bool reachable = !monitor->broker->frozen && !monitor->partitioned &&
                             !process->broker->frozen && !process->partitioned;
      acknowledged += reachable && !has_newer_list ? 1 : 0;
    }
    if (acknowledged * 2 >= monitors) {
      process->hold_until = this->sim.now + 5s;
    }
  }

  // Ends a freeze or a partition. The right to hold may be renewed before the first check of the
  // leaf thread; the newest list arrives up to a second later.
  void EndFault(const ProcessPtr& process) {
    process->partitioned = false;
    if (this->sim.random.NextFraction() < 0.5) {
      this->RenewHold(process);
    }
    process->broker->Resume();
    this->sim.Schedule(std::chrono::milliseconds(this->sim.random.NextBelow(1000)),
                       [this, process] { this->ApplyVmList(process, this->generation); });
  }

  void RenewAllHolds() {
    for (const auto& [name, process] : this->processes) {
      this->RenewHold(process);
    }
    this->sim.Schedule(1s, [this] { this->RenewAllHolds(); });
  }

  void CountPrimaries() {
    std::uint32_t acting_primaries = 0;
    const LeafId leaf_id("leaf");
    for (const auto& [name, process] : this->processes) {
      if (process->broker->frozen) {
        continue;  // a frozen process sends nothing and makes no checks
      }
      process->holder.UpdateRightToHold(process->hold_until, this->sim.now);
      const bool may_use_slots = process->holder.CountUsableSlots(leaf_id, this->sim.now) > 0;
      acting_primaries +=
          may_use_slots && process->holder.ActsAsPrimary(leaf_id, this->sim.now) ? 1 : 0;
    }
    this->max_primaries = std::max(this->max_primaries, acting_primaries);
    this->checks_with_primary += acting_primaries > 0 ? 1 : 0;
  }

  void SubmitLoad() {
    this->CountPrimaries();
    for (const auto& [name, process] : this->processes) {
      if (!process->broker->frozen) {
        process->broker->Submit(std::chrono::milliseconds(100 + this->sim.random.NextBelow(1200)));
      }
    }
    this->sim.Schedule(std::chrono::microseconds(1000 + this->sim.random.NextBelow(6000)),
                       [this] { this->SubmitLoad(); });
  }

  ProtectionOptions protection;
  std::vector<VmEntry> vm_list;
  std::uint64_t generation = 1;
  std::uint64_t started_processes = 0;
  std::map<std::string, ProcessPtr> processes;
  std::vector<std::string> names;
};

struct RunResult {
  std::uint32_t max_running = 0;
  std::uint64_t completed_calls = 0;
  std::uint32_t max_primaries = 0;
  std::uint64_t checks_with_primary = 0;
};

RunResult RunSeed(std::uint64_t seed, const ProtectionOptions& protection) {
  Fleet fleet(seed, protection);
  for (int i = 0; i < 15; ++i) {
    fleet.sim.RunFor(std::chrono::milliseconds(200 + fleet.sim.random.NextBelow(12000)));
    fleet.InjectFault();
  }
  fleet.sim.RunFor(15s);
  return {.max_running = fleet.leaf.max_running,
          .completed_calls = fleet.leaf.completed_calls - 1000000,
          .max_primaries = fleet.max_primaries,
          .checks_with_primary = fleet.checks_with_primary};
}

std::uint32_t CountSeedsOverSlots(const ProtectionOptions& protection) {
  std::uint32_t seeds_over_slots = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    seeds_over_slots += RunSeed(seed, protection).max_running > kLeafSlots ? 1 : 0;
  }
  return seeds_over_slots;
}

}  // namespace

TEST_CASE("a leaf never has more calls in flight than slots, over all VMs") {
  SUBCASE("with all waits and checks") {
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
      const RunResult result = RunSeed(seed, {});
      CAPTURE(seed);
      CHECK(result.max_running <= kLeafSlots);
      CHECK(result.completed_calls > 2000);
      // Guards against two primaries that each send one call to a cold leaf.
      CHECK(result.max_primaries <= 1);
      CHECK(result.checks_with_primary > 2000);
    }
  }
  SUBCASE("with slots that are released at once") {
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
      CAPTURE(seed);
      CHECK(RunSeed(seed, {.release_delay = 0s}).max_running <= kLeafSlots);
    }
  }
  SUBCASE("it has more with a takeover wait that does not include the release delay") {
    CHECK(CountSeedsOverSlots({.release_delay = 6s, .extend_takeover_wait = false}) > 0);
  }
  SUBCASE("it has more without the takeover wait") {
    CHECK(CountSeedsOverSlots({.takeover_wait = 0s}) > 0);
  }
  SUBCASE("it has more without the check of the right to hold slots") {
    CHECK(CountSeedsOverSlots({.check_right_to_hold = false}) > 0);
  }
  SUBCASE("it has more without the wait after the right to hold slots has lapsed") {
    CHECK(CountSeedsOverSlots({.resume_wait = 0s}) > 0);
  }
}

}  // namespace ibishold
