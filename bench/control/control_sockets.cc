// CPU time of control work on real sockets, as JSON on standard output: heartbeats on UDP and calls
// to a small platform in the same process, without changes of documents. Complements
// control_slopes, which has no system calls.
//
// Arguments: VMs (default 60, addresses 127.30.2.1 and up, at most 200), seconds (default 20).

#include <sys/resource.h>

#include <boost/json.hpp>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "control/test_platform.h"
#include "ibishold/control.h"

namespace ibishold {

namespace {

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

struct Totals {
  double sent = 0;
  double received = 0;
  double datagrams = 0;
  double calls = 0;
};

int Run(int vms, int seconds) {
  TestPlatform platform("127.30.1.2", 8480);
  VmList list;
  list.generation = 1;
  for (int i = 0; i < vms; ++i) {
    list.vms.push_back({VmId(absl::StrCat("vm-", i)), DataCentre(absl::StrCat("dc-", i % 3)),
                        absl::StrCat("127.30.2.", i + 1), 1, VmState::kLive});
  }
  platform.Set("vms", 1, ToJson(list));
  platform.Set("table", 1, R"({"generation":1,"rows":[]})");
  platform.Set("topology", 1, R"({"generation":1,"partition_map_version":1,"services":[]})");
  std::vector<std::unique_ptr<ControlThread>> duties;
  for (const VmEntry& vm : list.vms) {
    ControlOptions options;
    options.vm = vm.id;
    options.data_centre = vm.data_centre;
    options.address = vm.address;
    options.platform_address = "127.30.1.2";
    options.platform_port = 8480;
    options.incarnation = 1;
    duties.push_back(std::make_unique<ControlThread>(options));
    const absl::Status started = duties.back()->Start();
    if (!started.ok()) {
      std::cerr << std::string(started.message()) << "\n";
      return 1;
    }
  }
  std::this_thread::sleep_for(std::chrono::seconds(15));
  const auto sum = [&] {
    Totals totals;
    for (const auto& duty : duties) {
      const ControlCounters counters = duty->counters();
      totals.sent += static_cast<double>(counters.datagram_bytes_sent);
      totals.received += static_cast<double>(counters.datagram_bytes_received);
      totals.datagrams += static_cast<double>(counters.datagrams_sent);
      totals.calls += static_cast<double>(counters.platform_calls);
    }
    return totals;
  };
  int holding = 0;
  for (const auto& duty : duties) {
    holding += BootClock::now() < duty->hold_until() ? 1 : 0;
  }
  const Totals before = sum();
  const double cpu_before = CpuSeconds();
  std::this_thread::sleep_for(std::chrono::seconds(seconds));
  const double cpu = CpuSeconds() - cpu_before;
  const Totals after = sum();
  const double share = static_cast<double>(vms) * seconds;
  std::cout << boost::json::serialize(boost::json::object{
                   {"vms", vms},
                   {"seconds", seconds},
                   {"vms_holding", holding},
                   {"cpu_us_per_vm_per_s_with_platform", cpu * 1e6 / share},
                   {"datagrams_sent_per_vm_per_s", (after.datagrams - before.datagrams) / share},
                   {"datagram_bytes_sent_per_vm_per_s", (after.sent - before.sent) / share},
                   {"datagram_bytes_received_per_vm_per_s",
                    (after.received - before.received) / share},
                   {"platform_calls_per_s", (after.calls - before.calls) / seconds}})
            << "\n";
  for (const auto& duty : duties) {
    duty->Stop();
  }
  return 0;
}

}  // namespace

}  // namespace ibishold

int main(int argc, char** argv) {
  const int vms = argc > 1 ? std::atoi(argv[1]) : 60;
  const int seconds = argc > 2 ? std::atoi(argv[2]) : 20;
  if (vms < 1 || vms > 200 || seconds < 1) {
    std::cerr << "control_sockets [VMs 1..200] [seconds]\n";
    return 64;
  }
  return ibishold::Run(vms, seconds);
}
