#include <boost/json.hpp>
#include <iomanip>
#include <iostream>

#include "command_options.h"
#include "commands.h"
#include "documents.h"
#include "http_get.h"

namespace ibishold {

namespace {

namespace json = boost::json;
namespace program_options = boost::program_options;

// A daemon that does not reply within this time is shown as silent.
constexpr std::chrono::milliseconds kReadTimeout{1000};

struct DaemonStatus {
  std::string ready = "silent";  // ready, not ready or silent
  json::object state;            // live state; empty if it cannot be read
};

DaemonStatus ReadDaemonStatus(const std::string& address,
                              std::uint16_t port,
                              const std::string& state_path) {
  DaemonStatus status;
  const auto ready = HttpGet(address, port, "/ready", kReadTimeout);
  if (!ready.ok()) {
    return status;
  }
  status.ready = ready->status == 200 ? "ready" : "not ready";
  const auto state = HttpGet(address, port, state_path, kReadTimeout);
  boost::system::error_code error;
  if (state.ok()) {
    const json::value value = json::parse(state->body, error);
    if (!error && value.is_object()) {
      status.state = value.get_object();
    }
  }
  return status;
}

// Returns the generation of a document in the state of a VM, or "-" if the state has none.
std::string FormatGeneration(const json::object& state, std::string_view key) {
  const json::value* generations = state.if_contains("generations");
  if (generations == nullptr || !generations->is_object()) {
    return "-";
  }
  const json::value* generation = generations->get_object().if_contains(key);
  return generation == nullptr ? "-" : json::serialize(*generation);
}

// Prints the latest alarm, which names the row, column and reason of a rejected document.
void PrintAlarm(const json::object& state) {
  const json::value* alarm = state.if_contains("latest_alarm");
  if (alarm != nullptr && alarm->is_string() && !alarm->get_string().empty()) {
    std::cout << "            ALARM " << alarm->get_string().c_str() << "\n";
  }
}

}  // namespace

int RunStatus(const Arguments& arguments) {
  CommandOptions options(
      "ibishold status --platform ADDRESS:PORT | --vms FILE [--front-port P] [--broker-port P] "
      "[--json]",
      "\nAsks both daemons of every listed VM for readiness and live state.\n"
      "Exit codes: 0 all ready with equal tables, 1 some are not, 2 usage, 3 list not readable\n");
  std::string platform;
  DocumentSource vms_source;
  std::uint16_t front_port = 8082;
  std::uint16_t broker_port = 8092;
  bool as_json = false;
  options.description.add_options()("platform", program_options::value(&platform),
                                    "the platform's configuration service")(
      "vms", program_options::value(&vms_source.file), "list of VMs from a file")(
      "front-port", program_options::value(&front_port), "operators' port of fronts; 8082")(
      "broker-port", program_options::value(&broker_port), "operators' port of brokers; 8092")(
      "json", program_options::bool_switch(&as_json), "print the live state as JSON");
  if (const auto exit_code = options.Parse(arguments)) {
    return *exit_code;
  }
  if (!platform.empty()) {
    const auto address = ParsePlatformAddress(platform);
    if (!address.ok()) {
      return options.ReportUsageError(std::string(address.status().message()));
    }
    vms_source.platform = *address;
  }
  const auto vms = LoadVms(vms_source);
  if (!vms.ok()) {
    return ReportError(vms.status());
  }
  json::object document;
  std::set<std::string> table_generations;
  bool all_ready = true;
  if (!as_json) {
    std::cout << std::left << std::setw(12) << "vm" << std::setw(14) << "data centre"
              << std::setw(10) << "listed" << std::setw(11) << "front" << std::setw(11) << "broker"
              << std::setw(8) << "table"
              << "topology\n";
  }
  for (const VmEntry& vm : vms->vms) {
    const DaemonStatus front = ReadDaemonStatus(vm.address, front_port, "/debug/state");
    const DaemonStatus broker = ReadDaemonStatus(vm.address, broker_port, "/debug/control");
    const std::string table_generation = FormatGeneration(broker.state, kTableKey);
    table_generations.insert(table_generation);
    all_ready = all_ready && front.ready == "ready" && broker.ready == "ready";
    if (as_json) {
      document[vm.id.value] = json::object{{"front", front.state}, {"broker", broker.state}};
      continue;
    }
    std::cout << std::setw(12) << vm.id.value << std::setw(14) << vm.data_centre.value
              << std::setw(10) << ToName(kVmStateNames, vm.state) << std::setw(11) << front.ready
              << std::setw(11) << broker.ready << std::setw(8) << table_generation
              << FormatGeneration(broker.state, kTopologyKey) << "\n";
    PrintAlarm(broker.state);
  }
  if (as_json) {
    std::cout << json::serialize(document) << "\n";
  }
  return all_ready && table_generations.size() <= 1 ? kExitOk : kExitRefused;
}

}  // namespace ibishold
