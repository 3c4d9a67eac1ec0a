#include <boost/json.hpp>
#include <iomanip>
#include <iostream>

#include "absl/strings/str_cat.h"
#include "command_options.h"
#include "commands.h"
#include "documents.h"
#include "http_get.h"
#include "node_status.h"

namespace ibishold {

namespace {

namespace json = boost::json;
namespace program_options = boost::program_options;

// A daemon that does not reply within this time is shown as silent.
constexpr std::chrono::milliseconds kReadTimeout{1000};
constexpr std::uint16_t kNodePort = 9464;  // operators' port of ibishold-node

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

absl::StatusOr<std::string> ReadNodeState(const ServerAddress& node) {
  const auto reply = HttpGet(node.address, node.port, "/debug/state", kReadTimeout);
  if (!reply.ok()) {
    return reply.status();
  }
  if (reply->status != 200) {
    return absl::UnavailableError(absl::StrCat(node.address, ":", node.port, " answered ",
                                               reply->status, " for /debug/state"));
  }
  return reply->body;
}

int PrintNodes(const std::vector<ServerAddress>& nodes, bool as_json) {
  NodeStatusTable table(as_json, std::cout, std::cerr);
  for (const ServerAddress& node : nodes) {
    table.Add(absl::StrCat(node.address, ":", node.port), ReadNodeState(node));
  }
  return table.Finish();
}

}  // namespace

int RunStatus(const Arguments& arguments) {
  CommandOptions options(
      "ibishold status --platform ADDRESS:PORT | --vms FILE [--front-port P] [--broker-port P] "
      "[--json]\n       ibishold status --node ADDRESS[:PORT] ... [--json]",
      "\nAsks both daemons of every listed VM, or ibishold-node processes given by --node, for\n"
      "readiness and live state. Columns with --node: version of the routes, revision of the\n"
      "documents, whether the last call to the store succeeded, number of tenants and of limited\n"
      "tenants; a VM states at most 32 of these.\n"
      "Exit codes: 0 all ready with equal tables or routes, 1 some are not, 2 usage,\n"
      "3 the list or a VM given by --node not readable\n");
  std::string platform;
  DocumentSource vms_source;
  std::uint16_t front_port = 8082;
  std::uint16_t broker_port = 8092;
  std::vector<std::string> node_texts;
  bool as_json = false;
  options.description.add_options()("platform", program_options::value(&platform),
                                    "the platform's configuration service")(
      "vms", program_options::value(&vms_source.file), "list of VMs from a file")(
      "front-port", program_options::value(&front_port), "operators' port of fronts; 8082")(
      "broker-port", program_options::value(&broker_port), "operators' port of brokers; 8092")(
      "node", program_options::value(&node_texts)->multitoken()->composing(),
      "operators' address of an ibishold-node; port 9464 if none is given")(
      "json", program_options::bool_switch(&as_json), "print the live state as JSON");
  if (const auto exit_code = options.Parse(arguments)) {
    return *exit_code;
  }
  if (!node_texts.empty()) {
    if (!platform.empty() || !vms_source.file.empty()) {
      return options.ReportUsageError("--node cannot be combined with --platform or --vms");
    }
    std::vector<ServerAddress> nodes;
    for (const std::string& text : node_texts) {
      const auto address = ParseServerAddress(text, kNodePort);
      if (!address.ok()) {
        return options.ReportUsageError(std::string(address.status().message()));
      }
      nodes.push_back(*address);
    }
    return PrintNodes(nodes, as_json);
  }
  if (!platform.empty()) {
    const auto address = ParseServerAddress(platform, kPlatformPort);
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
