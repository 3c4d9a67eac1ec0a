// Guards against two VMs that use the same slot: views that differ or arrive late, frozen and
// restarted processes, lost releases.
#include <doctest/doctest.h>

#include "ibishold/ownership.h"
#include "tests/broker/sim.h"

namespace ibishold {

namespace {

using namespace sim;

constexpr std::uint32_t kSlots = 4;

struct Guards {
  Duration takeover_wait = 8s;
  Duration resume_wait = 2s;
  Duration long_lapse = 30s;
  Duration release_delay = 1500ms;
  bool wait_longer = true;  // by the give-up delay
  bool check_hold = true;
};

class Fleet {
 public:
  Fleet(std::uint64_t seed, const Guards& guards)
      : world(seed), leaf(world, {.slots = kSlots, .starts_cold = false}), guards(guards) {
    for (const char* name : {"a", "b", "c", "d"}) {
      this->published.push_back({.id = VmId(name)});
    }
    for (const VmEntry& vm : this->published) {
      this->StartProcess(vm.id.value);
    }
    this->Renew();
    this->Load();
  }

  // Something happens to a VM or to the list, then views spread with delays of up to 6 s.
  void Disturb() {
    const std::size_t pick = this->world.random.NextBelow(this->names.size());
    const std::string name = this->names[pick];
    const auto process = this->processes.at(name);
    const Duration time = std::chrono::milliseconds(500 + this->world.random.NextBelow(25000));
    const std::uint64_t kind = this->world.random.NextBelow(5);
    if (kind == 0) {
      process->broker->frozen = true;
      this->world.At(time, [this, process] { this->Back(process); });
    } else if (kind == 1) {  // reaches leaves and callers, but no other VM and no platform
      process->cut = true;
      this->world.At(time, [this, process] { this->Back(process); });
    } else if (kind == 2 && this->generation > 1) {  // generation 1 is the stated case without wait
      process->broker->Kill();
      this->StartProcess(name);
    }
    // The list changes often for the VM that something happened to.
    if (kind >= 3 || this->world.random.NextFraction() < 0.5) {
      const bool listed = this->published[pick].state == VmState::kLive;
      this->published[pick].state = listed ? VmState::kLeaving : VmState::kLive;
      this->Publish();
    }
  }

  World world;
  sim::Leaf leaf;
  std::uint32_t most_primaries = 0;  // VMs that acted as primary at the same time
  std::uint64_t with_primary = 0;    // checks that found one

 private:
  struct Process {
    explicit Process(SlotHolderOptions options) : holder(std::move(options)) {}
    std::string name;
    SlotHolder holder;
    std::shared_ptr<Broker> broker;
    TimePoint hold_until{};
    bool cut = false;
    std::uint64_t seen = 0;  // generation
  };
  using ProcessPtr = std::shared_ptr<Process>;

  void StartProcess(const std::string& name) {
    const Duration delay = this->guards.release_delay;
    const Duration shorter = this->guards.wait_longer ? Duration{} : delay;
    auto process = std::make_shared<Process>(
        SlotHolderOptions{.vm = VmId(name),
                          .takeover_wait = this->guards.takeover_wait - shorter,
                          .resume_wait = this->guards.resume_wait,
                          .long_lapse = this->guards.long_lapse,
                          .release_delay = delay});
    process->name = name;
    LeafDispatcherOptions options;
    options.leaf = LeafId("leaf");
    options.warm_up.enabled = false;  // only the slots limit here
    process->broker = std::make_shared<Broker>(this->world, this->leaf, options);
    process->broker->name = name + std::to_string(++this->runs);
    process->broker->usable = [this, raw = process.get()](TimePoint now) {
      raw->holder.CheckHold(this->guards.check_hold ? raw->hold_until : TimePoint::max(), now);
      const std::uint32_t slots = raw->holder.Usable(LeafId("leaf"), now);
      for (const SlotHandOver& given :
           raw->holder.TakeHandOvers(LeafId("leaf"), raw->broker->dispatcher.busy())) {
        this->Release(given);
      }
      if (raw->broker->dispatcher.busy() == 0) {
        if (const auto vm = raw->holder.TakePrimaryHandOver(LeafId("leaf"))) {
          this->Release({.leaf = LeafId("leaf"), .to = *vm});
        }
      }
      return slots;
    };
    this->processes[name] = process;
    if (std::find(this->names.begin(), this->names.end(), name) == this->names.end()) {
      this->names.push_back(name);
    }
    process->hold_until = this->world.now + 5s;
    this->Learn(process, this->generation);
    process->broker->Begin(0, {.primary = true, .primary_slots = kSlots, .total_slots = kSlots});
  }

  void Release(const SlotHandOver& given) {
    if (this->world.random.NextFraction() < 0.2) {
      return;  // lost
    }
    this->world.At(this->world.Delay(), [this, given] {
      const ProcessPtr to = this->processes.at(given.to.value);
      if (!to->broker->frozen && !to->cut) {
        given.slots == 0 ? to->holder.OnPrimaryRelease(given.leaf, this->world.now)
                         : to->holder.OnRelease(given.leaf, given.slots, this->world.now);
      }
    });
  }

  void Publish() {
    ++this->generation;
    for (const std::string& name : this->names) {
      this->world.At(std::chrono::milliseconds(this->world.random.NextBelow(6000)),
                     [this, name, number = this->generation] {
                       this->Learn(this->processes.at(name), number);
                     });
    }
  }

  void Learn(const ProcessPtr& process, std::uint64_t number) {
    if (process->broker->frozen || process->cut || process->seen >= number) {
      return;
    }
    process->seen = this->generation;
    Topology topology;
    Service service{.name = ServiceName("s"), .slots = kSlots};
    service.shards.push_back({.id = ShardId("0"), .leaves = {{.id = LeafId("leaf")}}});
    topology.services.push_back(service);
    process->holder.OnPlan(
        std::make_shared<const SlotPlan>(topology, VmList{.vms = this->published}),
        this->generation, this->world.now);
  }

  // The monitors are the other VMs; half of them, rounded up, must acknowledge.
  void Acknowledge(const ProcessPtr& process) {
    std::size_t monitors = 0;
    std::size_t acknowledged = 0;
    for (const auto& [name, monitor] : this->processes) {
      if (monitor == process) {
        continue;
      }
      ++monitors;
      const bool newer = monitor->seen > process->seen;
      const bool reachable =
          !monitor->broker->frozen && !monitor->cut && !process->broker->frozen && !process->cut;
      acknowledged += reachable && !newer ? 1 : 0;
    }
    if (acknowledged * 2 >= monitors) {
      process->hold_until = this->world.now + 5s;
    }
  }

  // The first acknowledgement may come before the first check of the leaf thread, the newest list
  // up to a second later.
  void Back(const ProcessPtr& process) {
    process->cut = false;
    if (this->world.random.NextFraction() < 0.5) {
      this->Acknowledge(process);
    }
    process->broker->Thaw();
    this->world.At(std::chrono::milliseconds(this->world.random.NextBelow(1000)),
                   [this, process] { this->Learn(process, this->generation); });
  }

  void Renew() {
    for (const auto& [name, process] : this->processes) {
      this->Acknowledge(process);
    }
    this->world.At(1s, [this] { this->Renew(); });
  }

  void CountPrimaries() {
    std::uint32_t acting = 0;
    const LeafId leaf_id("leaf");
    for (const auto& [name, process] : this->processes) {
      if (process->broker->frozen) {
        continue;  // sends nothing, and must not notice that time passes
      }
      process->holder.CheckHold(process->hold_until, this->world.now);
      const bool usable = process->holder.Usable(leaf_id, this->world.now) > 0;
      acting += usable && process->holder.ActsAsPrimary(leaf_id, this->world.now) ? 1 : 0;
    }
    this->most_primaries = std::max(this->most_primaries, acting);
    this->with_primary += acting > 0 ? 1 : 0;
  }

  void Load() {
    this->CountPrimaries();
    for (const auto& [name, process] : this->processes) {
      if (!process->broker->frozen) {
        process->broker->Submit(
            std::chrono::milliseconds(100 + this->world.random.NextBelow(1200)));
      }
    }
    this->world.At(std::chrono::microseconds(1000 + this->world.random.NextBelow(6000)),
                   [this] { this->Load(); });
  }

  Guards guards;
  std::vector<VmEntry> published;
  std::uint64_t generation = 1;
  std::uint64_t runs = 0;
  std::map<std::string, ProcessPtr> processes;
  std::vector<std::string> names;
};

struct Outcome {
  std::uint32_t most = 0;
  std::uint64_t completed = 0;
  std::uint32_t most_primaries = 0;
  std::uint64_t with_primary = 0;
};

Outcome Run(std::uint64_t seed, const Guards& guards) {
  Fleet fleet(seed, guards);
  for (int i = 0; i < 15; ++i) {
    fleet.world.Run(std::chrono::milliseconds(200 + fleet.world.random.NextBelow(12000)));
    fleet.Disturb();
  }
  fleet.world.Run(15s);
  return {.most = fleet.leaf.most,
          .completed = fleet.leaf.completed - 1000000,
          .most_primaries = fleet.most_primaries,
          .with_primary = fleet.with_primary};
}

std::uint32_t Exceeded(const Guards& guards) {
  std::uint32_t exceeded = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    exceeded += Run(seed, guards).most > kSlots ? 1 : 0;
  }
  return exceeded;
}

}  // namespace

TEST_CASE("a leaf never has more in flight than its slots, over all VMs") {
  SUBCASE("with the waits") {
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
      const Outcome outcome = Run(seed, {});
      CAPTURE(seed);
      CHECK(outcome.most <= kSlots);
      CHECK(outcome.completed > 2000);
      // Guards against two VMs that each allow a cold leaf one call.
      CHECK(outcome.most_primaries <= 1);
      CHECK(outcome.with_primary > 2000);
    }
  }
  SUBCASE("with slots that are given up at once") {
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
      CAPTURE(seed);
      CHECK(Run(seed, {.release_delay = 0s}).most <= kSlots);
    }
  }
  SUBCASE("with a takeover wait that does not cover the give-up delay it has") {
    CHECK(Exceeded({.release_delay = 6s, .wait_longer = false}) > 0);
  }
  SUBCASE("without the takeover wait it has") {
    CHECK(Exceeded({.takeover_wait = 0s}) > 0);
  }
  SUBCASE("without the check of the right to hold it has") {
    CHECK(Exceeded({.check_hold = false}) > 0);
  }
  SUBCASE("without the wait after a lapse it has") {
    CHECK(Exceeded({.resume_wait = 0s}) > 0);
  }
}

}  // namespace ibishold
