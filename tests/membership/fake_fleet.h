#ifndef TESTS_MEMBERSHIP_FAKE_FLEET_H_
#define TESTS_MEMBERSHIP_FAKE_FLEET_H_

// Simulates a fleet of Membership objects and their network in virtual time.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "ibishold/control.h"
#include "ibishold/membership.h"
#include "membership/event_queue.h"
#include "membership/fake_platform.h"
#include "membership/fake_vm.h"
#include "membership/packed_sizes.h"

namespace ibishold {

struct FakeFleetOptions {
  std::vector<std::size_t> centres = {5, 5, 4};  // VMs in each data centre
  std::uint64_t seed = 1;
  Duration local_latency = std::chrono::microseconds(200);    // one way within a data centre
  Duration remote_latency = std::chrono::microseconds(1500);  // one way between data centres
  Duration platform_latency = std::chrono::milliseconds(3);   // one way
  double datagram_loss = 0;                                   // fraction of datagrams lost
  bool seeds = false;        // each VM gets three peers from its settings
  bool measure_cpu = false;  // measures the CPU time of each Membership call
  bool build_views = false;  // builds views as the control thread does
};

class FakeFleet {
 public:
  using Node = FakeVm;

  explicit FakeFleet(FakeFleetOptions given)
      : options(std::move(given)), random(this->options.seed) {
    std::size_t index = 0;
    for (std::size_t centre = 0; centre < this->options.centres.size(); ++centre) {
      for (std::size_t i = 0; i < this->options.centres[centre]; ++i, ++index) {
        Node node;
        node.vm = VmId(absl::StrCat("vm-", index));
        node.data_centre = DataCentre(absl::StrCat("dc-", centre));
        node.address = absl::StrCat("10.0.", index / 250, ".", index % 250);
        node.listed = true;
        this->by_address[node.address] = index;
        this->nodes.push_back(std::move(node));
      }
    }
    this->platform.PublishTopology();
    this->platform.PublishTable("in");
  }
  FakeFleet(const FakeFleet&) = delete;
  FakeFleet& operator=(const FakeFleet&) = delete;

  // ---- Control of the run ----

  void StartAll() {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      this->nodes[i].incarnation = this->NewIncarnation();
    }
    this->PublishVms();
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      this->Start(i, this->nodes[i].incarnation);
    }
  }

  void Start(std::size_t index, Incarnation incarnation = 0) {
    Node& node = this->nodes[index];
    node.incarnation = incarnation == 0 ? this->NewIncarnation() : incarnation;
    MembershipOptions settings;
    settings.vm = node.vm;
    settings.data_centre = node.data_centre;
    settings.incarnation = node.incarnation;
    settings.seed = this->random.Next();
    if (this->options.seeds) {
      for (int i = 0; i < 3; ++i) {
        settings.seeds.push_back(this->nodes[this->random.NextBelow(this->nodes.size())].address);
      }
    }
    node.membership = std::make_unique<Membership>(settings);
    node.frozen = false;
    node.inbox.clear();
    node.wake_at = TimePoint::max();
    ++node.run;
    this->Call(index, [this](Membership& membership, MembershipActions& actions) {
      membership.Start(this->now, actions);
    });
  }

  void Stop(std::size_t index) {
    this->nodes[index].membership.reset();
    ++this->nodes[index].run;
    this->nodes[index].frozen = false;
  }

  void Freeze(std::size_t index) { this->nodes[index].frozen = true; }
  void Wake(std::size_t index) {
    Node& node = this->nodes[index];
    node.frozen = false;
    // The timer may fire before the queued datagrams are read from the socket.
    this->Call(index, [this](Membership& membership, MembershipActions& actions) {
      membership.Tick(this->now, actions);
    });
    for (auto& event : std::exchange(node.inbox, {})) {
      event();
    }
  }

  void RunFor(Duration duration) { this->RunUntil(this->now + duration); }

  void RunUntil(TimePoint end) { this->events.RunUntil(end); }

  // Runs until the condition holds. Returns the elapsed time, or about `limit` if it never held.
  Duration RunUntilTrue(const std::function<bool()>& condition,
                        Duration limit,
                        Duration step = std::chrono::milliseconds(10)) {
    const TimePoint start = this->now;
    while (!condition() && this->now - start < limit) {
      this->RunFor(step);
    }
    return this->now - start;
  }

  std::uint64_t PublishVms() {
    VmList list;
    list.generation = this->platform.NextGeneration("vms");
    for (const Node& node : this->nodes) {
      if (node.listed) {
        list.vms.push_back(
            {node.vm, node.data_centre, node.address, node.incarnation, node.listed_state});
      }
    }
    this->platform.Publish("vms", list.generation, ToJson(list));
    return list.generation;
  }

  // ---- Observation ----

  bool Running(std::size_t index) const {
    return this->nodes[index].membership && !this->nodes[index].frozen;
  }

  std::size_t CountHaving(const std::string& key, std::uint64_t generation) const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (!this->Running(i)) {
        continue;
      }
      const Document* document = this->nodes[i].membership->store().Find(key);
      count += document != nullptr && document->digest.generation >= generation ? 1 : 0;
    }
    return count;
  }

  std::size_t CountRunning() const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      count += this->Running(i) ? 1 : 0;
    }
    return count;
  }

  bool AllHave(const std::string& key, std::uint64_t generation) const {
    return this->CountHaving(key, generation) == this->CountRunning();
  }

  // Returns the number of running VMs that see this VM in the given state.
  std::size_t CountSeeing(std::size_t subject, VmState state) {
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (!this->Running(i) || i == subject) {
        continue;
      }
      const ControlView view = this->nodes[i].membership->BuildView(this->now);
      const VmEntry* entry = view.vms ? view.vms->Find(this->nodes[subject].vm) : nullptr;
      count += entry != nullptr && entry->state == state ? 1 : 0;
    }
    return count;
  }

  bool MayHold(std::size_t index) const {
    const auto& membership = this->nodes[index].membership;
    return membership && this->now < membership->HoldUntil();
  }

  std::size_t CountHolding() const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      count += this->Running(i) && this->MayHold(i) ? 1 : 0;
    }
    return count;
  }

  void ResetCounters() {
    this->platform.ResetCounters();
    for (Node& node : this->nodes) {
      node.bytes_sent = 0;
      node.bytes_received = 0;
      node.datagrams_sent = 0;
      node.cpu = {};
    }
  }

  // Runs an operation on one VM in the same way as its control thread.
  void Call(std::size_t index,
            const std::function<void(Membership&, MembershipActions&)>& operation) {
    Node& node = this->nodes[index];
    if (!node.membership) {
      return;
    }
    MembershipActions actions;
    const Duration before = this->options.measure_cpu ? ThreadCpu() : Duration{};
    operation(*node.membership, actions);
    if (node.membership->TakeChange(this->now) && this->options.build_views) {
      node.view = std::make_shared<ControlView>(node.membership->BuildView(this->now));
    }
    if (this->options.measure_cpu) {
      node.cpu += ThreadCpu() - before;
    }
    for (MembershipAction& action : actions) {
      std::visit([&](auto& each) { this->Execute(index, each); }, action);
    }
    this->ScheduleWake(index);
  }

  FakeFleetOptions options;
  Random random;
  EventQueue events;
  const TimePoint& now = this->events.now;
  std::vector<Node> nodes;
  FakePlatform platform{
      this->events,
      {.reply = [this](std::size_t caller, const CallPlatform& call) { this->Reply(caller, call); },
       .is_current_run = [this](std::size_t caller,
                                std::uint64_t run) { return this->nodes[caller].run == run; }}};

 private:
  Incarnation NewIncarnation() {
    return 1'700'000'000'000 +
           static_cast<Incarnation>(this->now.time_since_epoch().count() / 1000000) +
           ++this->incarnations;
  }

  void ScheduleWake(std::size_t index) {
    Node& node = this->nodes[index];
    const TimePoint next =
        std::max(node.membership->NextWake(this->now), this->now + std::chrono::microseconds(100));
    if (next >= node.wake_at && node.wake_at > this->now) {
      return;
    }
    node.wake_at = next;
    this->DeliverTo(index, next, [this, index, next] {
      if (this->nodes[index].wake_at != next) {
        return;
      }
      this->nodes[index].wake_at = TimePoint::max();
      this->Call(index, [this](Membership& membership, MembershipActions& actions) {
        membership.Tick(this->now, actions);
      });
    });
  }

  // Delivers an event to the current run of a VM; if the VM is frozen, after it wakes up.
  void DeliverTo(std::size_t index, TimePoint at, std::function<void()> action) {
    const std::uint64_t run = this->nodes[index].run;
    this->events.At(at, [this, index, run, action = std::move(action)] {
      Node& node = this->nodes[index];
      if (node.run != run || !node.membership) {
        return;
      }
      if (node.frozen) {
        node.inbox.push_back([this, index, run, action] {
          if (this->nodes[index].run == run) {
            action();
          }
        });
        return;
      }
      action();
    });
  }

  bool CanReach(std::size_t from, std::size_t to) const {
    return this->nodes[from].partition == this->nodes[to].partition;
  }

  Duration DrawLatency(std::size_t from, std::size_t to) {
    const bool near = this->nodes[from].data_centre == this->nodes[to].data_centre;
    return this->random.ApplyJitter(
        near ? this->options.local_latency : this->options.remote_latency, 0.5);
  }

  void Execute(std::size_t from, const SendDatagram& action) {
    const std::string bytes = EncodeDatagram(action.message);
    // IP and UDP headers.
    const std::uint64_t size = bytes.size() + 28;
    Node& sender = this->nodes[from];
    sender.bytes_sent += size;
    ++sender.datagrams_sent;
    const auto place = this->by_address.find(action.address);
    if (place == this->by_address.end() || !this->CanReach(from, place->second) ||
        this->random.NextFraction() < this->options.datagram_loss) {
      return;
    }
    const std::size_t to = place->second;
    this->DeliverTo(to, this->now + this->DrawLatency(from, to), [this, from, to, bytes, size] {
      this->nodes[to].bytes_received += size;
      this->Call(to, [&](Membership& membership, MembershipActions& actions) {
        const auto message = DecodeDatagram(bytes);
        if (message.ok()) {
          membership.OnDatagram(this->nodes[from].address, *message, this->now, actions);
        }
      });
    });
  }

  void Execute(std::size_t from, const FetchDocument& action) {
    const auto place = this->by_address.find(action.address);
    const std::uint64_t call = action.call;
    const auto answer = [this, from, call](absl::StatusOr<std::optional<Document>> document) {
      this->Call(from, [&](Membership& membership, MembershipActions& actions) {
        membership.OnDocumentFetched(call, document, this->now, actions);
      });
    };
    const bool reached = place != this->by_address.end() && this->CanReach(from, place->second) &&
                         this->Running(place->second);
    if (!reached) {
      this->DeliverTo(from, this->now + std::chrono::seconds(1),
                      [answer] { answer(absl::UnavailableError("no connection")); });
      return;
    }
    const std::size_t to = place->second;
    // One round trip for the connection and one for the request.
    const Duration trip = this->DrawLatency(from, to) * 4;
    const std::string key = action.key;
    this->DeliverTo(to, this->now + trip / 2, [this, from, to, key, answer, trip] {
      const Document* found = this->nodes[to].membership->store().Find(key);
      std::optional<Document> document;
      if (found != nullptr) {
        document = *found;
      }
      // Handshake, hello messages and frame headers.
      const std::uint64_t size =
          700 + (found == nullptr ? 0 : this->compressed_sizes.GetSize(*found));
      this->nodes[to].bytes_sent += size;
      this->DeliverTo(from, this->now + trip / 2, [this, from, size, document, answer] {
        this->nodes[from].bytes_received += size;
        answer(document);
      });
    });
  }

  void Execute(std::size_t from, const CallPlatform& action) {
    this->platform.CountCall();
    // Connection and request headers.
    this->nodes[from].bytes_sent += 400;
    if (this->platform.down || this->nodes[from].cut_from_platform) {
      this->DeliverTo(from, this->now + this->options.platform_latency, [this, from, action] {
        this->Answer(from, action, absl::UnavailableError("no connection"));
      });
      return;
    }
    const std::uint64_t run = this->nodes[from].run;
    this->events.At(this->now + this->options.platform_latency,
                    [this, from, run, action] { this->platform.Receive(from, run, action); });
  }

  void Reply(std::size_t from, const CallPlatform& action) {
    if (this->platform.down || this->nodes[from].cut_from_platform) {
      return;  // the caller gets no reply
    }
    const absl::StatusOr<PlatformAnswer> answer = this->platform.AnswerTo(action);
    const std::uint64_t size = 400 + (answer.ok() && answer->text ? answer->text->size() : 0);
    this->DeliverTo(from, this->now + this->options.platform_latency,
                    [this, from, action, answer, size] {
                      this->nodes[from].bytes_received += size;
                      this->Answer(from, action, answer);
                    });
  }

  void Answer(std::size_t from,
              const CallPlatform& action,
              const absl::StatusOr<PlatformAnswer>& answer) {
    this->Call(from, [&](Membership& membership, MembershipActions& actions) {
      membership.OnPlatformAnswer(action.call, answer, this->now, actions);
    });
  }

  std::uint64_t incarnations = 0;
  std::map<std::string, std::size_t> by_address;
  CompressedSizes compressed_sizes;
};

}  // namespace ibishold

#endif  // TESTS_MEMBERSHIP_FAKE_FLEET_H_
