#include <doctest/doctest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <memory>
#include <vector>

#include "absl/strings/str_cat.h"
#include "control/test_platform.h"
#include "ibishold/control.h"
#include "ibishold/net.h"

namespace ibishold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kPlatformAddress = "127.30.1.1";
constexpr std::uint16_t kPlatformPort = 8480;

// Control work of one VM and, in place of its broker, a server that answers getDocument.
struct Vm {
  Vm(int number, Incarnation incarnation, std::vector<std::string> seeds)
      : address(absl::StrCat("127.30.0.", number)),
        duty(Options(number, incarnation, std::move(seeds))),
        server(context,
               {.vm = VmId(absl::StrCat("vm-", number)),
                .role = wire::Hello::Role::BROKER,
                .incarnation = incarnation}) {
    const absl::Status listening = this->server.Listen(
        this->address, 8090,
        [this](FrameLink& link, wire::Frame::Reader frame) {
          if (!frame.getBody().isGetDocument()) {
            return;
          }
          capnp::MallocMessageBuilder message;
          auto answer = message.initRoot<wire::Frame>();
          answer.setCorrelation(frame.getCorrelation());
          WriteDocument(*this->duty.view(), frame.getBody().getGetDocument(),
                        answer.getBody().initDocument());
          link.Send(message).IgnoreError();
        },
        [](FrameLink&, const absl::Status&) {});
    REQUIRE(listening.ok());
    this->thread = std::thread([this] { this->context.run(); });
    REQUIRE(this->duty.Start().ok());
  }
  ~Vm() {
    this->duty.Stop();
    this->context.stop();
    this->thread.join();
  }

  static ControlOptions Options(int number,
                                Incarnation incarnation,
                                std::vector<std::string> seeds) {
    ControlOptions options;
    options.vm = VmId(absl::StrCat("vm-", number));
    options.data_centre = DataCentre("bole");
    options.address = absl::StrCat("127.30.0.", number);
    options.platform_address = kPlatformAddress;
    options.platform_port = kPlatformPort;
    options.incarnation = incarnation;
    options.seeds = std::move(seeds);
    return options;
  }

  std::uint64_t TableGeneration() const {
    const auto view = this->duty.view();
    return view->table ? view->table->generation : 0;
  }
  bool MayHold() const { return BootClock::now() < this->duty.hold_until(); }

  std::string address;
  ControlDuty duty;
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{
      context.get_executor()};
  LinkServer server;
  std::thread thread;
};

template <typename Condition>
Duration Await(Condition condition, Duration limit) {
  const TimePoint start = BootClock::now();
  while (!condition() && BootClock::now() - start < limit) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  return BootClock::now() - start;
}

// Long enough to be packed on links.
std::string TableText(std::uint64_t generation) {
  std::string rows;
  for (int i = 0; i < 40; ++i) {
    absl::StrAppend(&rows, i == 0 ? "" : ",", R"({"service":"service-)", i,
                    R"(","data_centre":"bole","state":"in"})");
  }
  return absl::StrCat(R"({"generation":)", generation, R"(,"rows":[)", rows, "]}");
}

}  // namespace

TEST_CASE("control work of six VMs on sockets") {
  TestPlatform platform(kPlatformAddress, kPlatformPort);
  std::string list;
  for (int number = 1; number <= 6; ++number) {
    absl::StrAppend(&list, number == 1 ? "" : ",", R"({"id":"vm-)", number,
                    R"(","data_centre":"bole","address":"127.30.0.)", number,
                    R"(","incarnation":1})");
  }
  platform.Set("vms", 1, absl::StrCat(R"({"generation":1,"vms":[)", list, "]}"));
  platform.Set("table", 1, TableText(1));
  platform.Set("topology", 1, R"({"generation":1,"partition_map_version":1,"services":[]})");
  std::vector<std::unique_ptr<Vm>> vms;
  for (int number = 1; number <= 6; ++number) {
    vms.push_back(std::make_unique<Vm>(number, 1, std::vector<std::string>()));
  }
  const auto all = [&](auto condition) {
    return std::all_of(vms.begin(), vms.end(), [&](const auto& vm) { return condition(*vm); });
  };
  REQUIRE(Await([&] { return all([](const Vm& vm) { return vm.duty.view()->ready; }); },
                seconds(10)) < seconds(10));
  REQUIRE(Await([&] { return all([](const Vm& vm) { return vm.MayHold(); }); }, seconds(10)) <
          seconds(10));

  // A change reaches the VMs that do not watch over UDP and a link.
  platform.Set("table", 2, TableText(2));
  const Duration pushed = Await(
      [&] { return all([](const Vm& vm) { return vm.TableGeneration() == 2; }); }, seconds(10));
  MESSAGE("watched change on all VMs after " << ToMilliseconds(pushed) << " ms");
  CHECK(pushed <= seconds(3));
  std::uint64_t fetched = 0;
  for (const auto& vm : vms) {
    fetched += vm->duty.counters().documents_fetched;
  }
  CHECK(fetched > 0);

  // Guards against a watch on a connection that went silent.
  platform.watches_silent = true;
  platform.Set("table", 3, TableText(3));
  const Duration read = Await(
      [&] { return all([](const Vm& vm) { return vm.TableGeneration() == 3; }); }, seconds(10));
  MESSAGE("change beside silent watches on all VMs after " << ToMilliseconds(read) << " ms");
  CHECK(read <= seconds(4));

  // Guards against a VM that cannot start while the platform is down.
  platform.down = true;
  vms[0].reset();
  vms[0] = std::make_unique<Vm>(1, 2, std::vector<std::string>{"127.30.0.2", "127.30.0.3"});
  CHECK(Await([&] { return vms[0]->duty.view()->ready && vms[0]->MayHold(); }, seconds(10)) <=
        seconds(6));
  CHECK(vms[0]->TableGeneration() == 3);

  // Guards against VMs that learn of a planned stop from the lagging list only.
  vms[1]->duty.AnnounceLeaving();
  const Duration left = Await(
      [&] {
        return all([&](const Vm& vm) {
          const VmEntry* entry = vm.duty.view()->vms->Find(VmId("vm-2"));
          return entry != nullptr && entry->state == VmState::kLeaving;
        });
      },
      seconds(10));
  CHECK(left <= seconds(3));

  // Without enough acknowledgements a VM stops holding by the clock.
  for (int number = 3; number <= 6; ++number) {
    vms[static_cast<std::size_t>(number - 1)].reset();
  }
  CHECK(Await([&] { return !vms[0]->MayHold(); }, seconds(10)) <= milliseconds(6500));
  CHECK(Await([&] { return !vms[0]->duty.view()->may_hold_slots; }, seconds(3)) <= seconds(2));
}

TEST_CASE("an address that is in use is reported") {
  ControlDuty first(Vm::Options(9, 1, {}));
  ControlDuty second(Vm::Options(9, 1, {}));
  CHECK(first.Start().ok());
  CHECK(absl::IsUnavailable(second.Start()));
}

}  // namespace ibishold
