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

// The control thread of one VM, with a link server that answers getDocument in place of the broker.
struct TestVm {
  TestVm(int vm_number, Incarnation incarnation, std::vector<std::string> seed_addresses)
      : address(absl::StrCat("127.30.0.", vm_number)),
        control(MakeOptions(vm_number, incarnation, std::move(seed_addresses))),
        server(server_context,
               {.vm = VmId(absl::StrCat("vm-", vm_number)),
                .role = wire::Hello::Role::BROKER,
                .incarnation = incarnation}) {
    const absl::Status listen_status = this->server.Listen(
        this->address, 8090,
        [this](FrameLink& link, wire::Frame::Reader frame) {
          if (!frame.getBody().isGetDocument()) {
            return;
          }
          capnp::MallocMessageBuilder reply_message;
          auto reply = reply_message.initRoot<wire::Frame>();
          reply.setCorrelation(frame.getCorrelation());
          WriteDocument(*this->control.view(), frame.getBody().getGetDocument(),
                        reply.getBody().initDocument());
          link.Send(reply_message).IgnoreError();
        },
        [](FrameLink&, const absl::Status&) {});
    REQUIRE(listen_status.ok());
    this->server_thread = std::thread([this] { this->server_context.run(); });
    REQUIRE(this->control.Start().ok());
  }
  ~TestVm() {
    this->control.Stop();
    this->server_context.stop();
    this->server_thread.join();
  }

  static ControlOptions MakeOptions(int vm_number,
                                    Incarnation incarnation,
                                    std::vector<std::string> seed_addresses) {
    ControlOptions options;
    options.vm = VmId(absl::StrCat("vm-", vm_number));
    options.data_centre = DataCentre("bole");
    options.address = absl::StrCat("127.30.0.", vm_number);
    options.platform_address = kPlatformAddress;
    options.platform_port = kPlatformPort;
    options.incarnation = incarnation;
    options.seed_addresses = std::move(seed_addresses);
    return options;
  }

  std::uint64_t GetTableGeneration() const {
    const auto view = this->control.view();
    return view->table ? view->table->generation : 0;
  }
  bool MayHoldSlots() const { return BootClock::now() < this->control.hold_until(); }

  std::string address;
  ControlThread control;
  boost::asio::io_context server_context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard{
      server_context.get_executor()};
  LinkServer server;
  std::thread server_thread;
};

// Polls until `condition` holds or the timeout has passed. Returns the elapsed time.
template <typename Condition>
Duration WaitUntil(Condition condition, Duration timeout) {
  const TimePoint start_time = BootClock::now();
  while (!condition() && BootClock::now() - start_time < timeout) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  return BootClock::now() - start_time;
}

// Returns a table that is long enough to be compressed on links.
std::string MakeTableText(std::uint64_t generation) {
  std::string rows;
  for (int i = 0; i < 40; ++i) {
    absl::StrAppend(&rows, i == 0 ? "" : ",", R"({"service":"service-)", i,
                    R"(","data_centre":"bole","state":"in"})");
  }
  return absl::StrCat(R"({"generation":)", generation, R"(,"rows":[)", rows, "]}");
}

}  // namespace

TEST_CASE("the control threads of six VMs exchange heartbeats and documents over sockets") {
  TestPlatform platform(kPlatformAddress, kPlatformPort);
  std::string vm_entries;
  for (int vm_number = 1; vm_number <= 6; ++vm_number) {
    absl::StrAppend(&vm_entries, vm_number == 1 ? "" : ",", R"({"id":"vm-)", vm_number,
                    R"(","data_centre":"bole","address":"127.30.0.)", vm_number,
                    R"(","incarnation":1})");
  }
  platform.Set("vms", 1, absl::StrCat(R"({"generation":1,"vms":[)", vm_entries, "]}"));
  platform.Set("table", 1, MakeTableText(1));
  platform.Set("topology", 1, R"({"generation":1,"partition_map_version":1,"services":[]})");
  std::vector<std::unique_ptr<TestVm>> vms;
  for (int vm_number = 1; vm_number <= 6; ++vm_number) {
    vms.push_back(std::make_unique<TestVm>(vm_number, 1, std::vector<std::string>()));
  }
  const auto all_vms_satisfy = [&](auto condition) {
    return std::all_of(vms.begin(), vms.end(), [&](const auto& vm) { return condition(*vm); });
  };
  REQUIRE(WaitUntil(
              [&] {
                return all_vms_satisfy([](const TestVm& vm) { return vm.control.view()->ready; });
              },
              seconds(10)) < seconds(10));
  REQUIRE(
      WaitUntil([&] { return all_vms_satisfy([](const TestVm& vm) { return vm.MayHoldSlots(); }); },
                seconds(10)) < seconds(10));

  // VMs that do not watch the platform learn of a change by heartbeat and fetch it over a link.
  platform.Set("table", 2, MakeTableText(2));
  const Duration push_duration = WaitUntil(
      [&] {
        return all_vms_satisfy([](const TestVm& vm) { return vm.GetTableGeneration() == 2; });
      },
      seconds(10));
  MESSAGE("a watched table change reached all VMs after " << ToMilliseconds(push_duration)
                                                          << " ms");
  CHECK(push_duration <= seconds(3));
  std::uint64_t documents_fetched = 0;
  for (const auto& vm : vms) {
    documents_fetched += vm->control.counters().documents_fetched;
  }
  CHECK(documents_fetched > 0);

  // Guards against missed changes when the platform stops answering watches.
  platform.watches_silent = true;
  platform.Set("table", 3, MakeTableText(3));
  const Duration read_duration = WaitUntil(
      [&] {
        return all_vms_satisfy([](const TestVm& vm) { return vm.GetTableGeneration() == 3; });
      },
      seconds(10));
  MESSAGE("a table change without answered watches reached all VMs after "
          << ToMilliseconds(read_duration) << " ms");
  CHECK(read_duration <= seconds(4));

  // Guards against a VM that cannot start while the platform is unavailable.
  platform.down = true;
  vms[0].reset();
  vms[0] = std::make_unique<TestVm>(1, 2, std::vector<std::string>{"127.30.0.2", "127.30.0.3"});
  CHECK(WaitUntil([&] { return vms[0]->control.view()->ready && vms[0]->MayHoldSlots(); },
                  seconds(10)) <= seconds(6));
  CHECK(vms[0]->GetTableGeneration() == 3);

  // Guards against VMs that learn of a planned stop only from the VM list, which lags behind.
  vms[1]->control.AnnounceLeaving();
  const Duration announcement_duration = WaitUntil(
      [&] {
        return all_vms_satisfy([&](const TestVm& vm) {
          const VmEntry* entry = vm.control.view()->vms->Find(VmId("vm-2"));
          return entry != nullptr && entry->state == VmState::kLeaving;
        });
      },
      seconds(10));
  CHECK(announcement_duration <= seconds(3));

  // Without enough acknowledgements a VM's right to hold slots expires.
  for (int vm_number = 3; vm_number <= 6; ++vm_number) {
    vms[static_cast<std::size_t>(vm_number - 1)].reset();
  }
  CHECK(WaitUntil([&] { return !vms[0]->MayHoldSlots(); }, seconds(10)) <= milliseconds(6500));
  CHECK(WaitUntil([&] { return !vms[0]->control.view()->may_hold_slots; }, seconds(3)) <=
        seconds(2));
}

TEST_CASE("Start reports an address that is already in use") {
  ControlThread first_control(TestVm::MakeOptions(9, 1, {}));
  ControlThread second_control(TestVm::MakeOptions(9, 1, {}));
  CHECK(first_control.Start().ok());
  CHECK(absl::IsUnavailable(second_control.Start()));
}

}  // namespace ibishold
