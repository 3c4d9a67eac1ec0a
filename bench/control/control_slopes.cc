// Cost of control work per VM for several sizes of a fleet, as JSON on standard output.
//
// All VMs run in this process in virtual time on a fake network (tests/membership/fake_fleet.h).
// CPU time covers decisions, encoding and decoding of heartbeats, parsing of documents and building
// of views; system calls of sockets are not in it. Documents have the sizes that the fleet would
// have: 6 leaves a VM in the topology, all VMs in the list, 8 services in each data centre in the
// table. Every minute of the run holds three table changes, one change of the list and one new
// topology every five minutes, the rate of 4,200 table changes a day.

#include <ctime>

#include <boost/json.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "membership/fake_fleet.h"

namespace ibishold {

namespace {

namespace json = boost::json;
using std::chrono::seconds;

constexpr int kServices = 8;

std::string Topology(const FakeFleet& fleet, std::uint64_t generation) {
  json::array services;
  const std::size_t leaves = fleet.nodes.size() * 6;
  std::size_t leaf = 0;
  for (int service = 0; service < kServices; ++service) {
    json::array shards;
    const std::size_t count = std::max<std::size_t>(1, leaves / kServices / 2);
    const std::uint64_t width = UINT64_MAX / count;
    for (std::size_t shard = 0; shard < count; ++shard) {
      json::array replicas;
      for (int replica = 0; replica < 2; ++replica, ++leaf) {
        replicas.push_back(
            {{"id", absl::StrCat("leaf-", leaf)},
             {"data_centre", fleet.nodes[leaf % fleet.nodes.size()].data_centre.value},
             {"address",
              absl::StrCat("10.", 1 + leaf / 60000, ".", leaf / 250 % 250, ".", 1 + leaf % 250)},
             {"port", 8100}});
      }
      shards.push_back({{"id", absl::StrCat("shard-", shard)},
                        {"begin", shard * width},
                        {"end", shard + 1 == count ? 0 : (shard + 1) * width},
                        {"leaves", std::move(replicas)}});
    }
    services.push_back({{"name", absl::StrCat("service-", service)},
                        {"slots", 2},
                        {"connections", 50},
                        {"connect_cost_ms", 5},
                        {"index_version", 1},
                        {"shards", std::move(shards)}});
  }
  return json::serialize(json::object{
      {"generation", generation}, {"partition_map_version", 1}, {"services", std::move(services)}});
}

std::string TableText(std::size_t centres, std::uint64_t generation) {
  Table table;
  table.generation = generation;
  for (int service = 0; service < kServices; ++service) {
    for (std::size_t centre = 0; centre < centres; ++centre) {
      TableRow row;
      row.service = ServiceName(absl::StrCat("service-", service));
      row.data_centre = DataCentre(absl::StrCat("dc-", centre));
      row.weight = generation % 101;
      table.rows.push_back(row);
    }
  }
  return ToJson(table);
}

std::uint64_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * 4096;
}

json::object Measure(std::size_t vms, int minutes) {
  std::vector<std::size_t> centres(vms > 200 ? 4 : 3, vms / (vms > 200 ? 4 : 3));
  for (std::size_t i = 0; i < vms % centres.size(); ++i) {
    ++centres[i];
  }
  const std::uint64_t memory_before = ResidentBytes();
  FakeFleet fleet({.centres = centres,
                   .seed = vms,
                   .datagram_loss = 0.001,
                   .measure_cpu = true,
                   .build_views = true});
  std::uint64_t topology = 2;
  std::uint64_t table = 2;
  fleet.platform.Publish("topology", topology, Topology(fleet, topology));
  const std::size_t topology_bytes = Topology(fleet, topology).size();
  fleet.platform.Publish("table", table, TableText(centres.size(), table));
  const std::size_t table_bytes = TableText(centres.size(), table).size();
  fleet.StartAll();
  fleet.RunFor(seconds(30));
  const std::uint64_t memory_after = ResidentBytes();
  const std::uint64_t peak_start = fleet.platform.PeakCallsPerSecond();
  fleet.ResetCounters();
  double worst_ms = 0;
  for (int minute = 0; minute < minutes; ++minute) {
    for (int change = 0; change < 3; ++change) {
      ++table;
      fleet.platform.Publish("table", table, TableText(centres.size(), table));
      const TimePoint end = fleet.now + seconds(20);
      const Duration took = fleet.RunUntilTrue([&] { return fleet.AllHave("table", table); },
                                               seconds(15), std::chrono::milliseconds(20));
      worst_ms = std::max(worst_ms, ToMilliseconds(took));
      if (change == 0) {
        fleet.PublishVms();
      }
      if (change == 1 && minute % 5 == 0) {
        ++topology;
        fleet.platform.Publish("topology", topology, Topology(fleet, topology));
      }
      fleet.RunUntil(end);
    }
  }
  const double span = 60.0 * minutes;
  double cpu_us = 0;
  double worst_cpu_us = 0;
  double sent = 0;
  double received = 0;
  double datagrams = 0;
  double worst_bytes = 0;
  for (const auto& node : fleet.nodes) {
    const double micros = ToMilliseconds(node.cpu) * 1000;
    cpu_us += micros;
    worst_cpu_us = std::max(worst_cpu_us, micros);
    sent += static_cast<double>(node.bytes_sent);
    received += static_cast<double>(node.bytes_received);
    datagrams += static_cast<double>(node.datagrams_sent);
    worst_bytes = std::max(worst_bytes, static_cast<double>(node.bytes_sent + node.bytes_received));
  }
  const double count = static_cast<double>(vms);
  return {{"vms", vms},
          {"cpu_us_per_vm_per_s", cpu_us / count / span},
          {"cpu_us_per_s_worst_vm", worst_cpu_us / span},
          {"bytes_sent_per_vm_per_s", sent / count / span},
          {"bytes_received_per_vm_per_s", received / count / span},
          {"bytes_both_ways_per_s_worst_vm", worst_bytes / span},
          {"datagrams_sent_per_vm_per_s", datagrams / count / span},
          {"memory_bytes_per_vm",
           static_cast<double>(memory_after - std::min(memory_before, memory_after)) / count},
          {"platform_calls_per_s", static_cast<double>(fleet.platform.calls) / span},
          {"platform_calls_per_s_peak", fleet.platform.PeakCallsPerSecond()},
          {"platform_calls_per_s_peak_at_start", peak_start},
          {"table_in_force_worst_ms", worst_ms},
          {"topology_bytes", topology_bytes},
          {"table_bytes", table_bytes},
          {"virtual_seconds", span}};
}

}  // namespace

}  // namespace ibishold

// Arguments: minutes of virtual time (default 5), then sizes (default 15 60 200 1100).
int main(int argc, char** argv) {
  const int minutes = argc > 1 ? std::atoi(argv[1]) : 5;
  std::vector<std::size_t> sizes;
  for (int i = 2; i < argc; ++i) {
    sizes.push_back(static_cast<std::size_t>(std::atoi(argv[i])));
  }
  if (sizes.empty()) {
    sizes = {15, 60, 200, 1100};
  }
  boost::json::array results;
  for (const std::size_t size : sizes) {
    results.push_back(ibishold::Measure(size, minutes));
    std::cerr << boost::json::serialize(results.back()) << "\n";
  }
  std::cout << boost::json::serialize(results) << "\n";
  return 0;
}
