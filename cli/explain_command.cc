#include <iostream>

#include "command_options.h"
#include "commands.h"
#include "documents.h"
#include "ibishold/ownership.h"

namespace ibishold {

namespace {

namespace program_options = boost::program_options;

struct Documents {
  Topology topology;
  Table table;
  VmList vms;
};

// Prints the leaves of each shard, the owners of their slots and whether they accept work. Returns
// true if each printed shard has a leaf that accepts work and has an owner.
bool PrintServiceCoverage(const Service& service,
                          const Documents& documents,
                          const std::string& shard_filter) {
  bool all_covered = true;
  for (const Shard& shard : service.shards) {
    if (!shard_filter.empty() && shard.id.value != shard_filter) {
      continue;
    }
    bool shard_covered = false;
    std::cout << "shard " << shard.id.value << " keys [" << shard.range.begin << ", "
              << shard.range.end << ")\n";
    for (const Leaf& leaf : shard.leaves) {
      const bool takes_work = AcceptsNewWork(documents.table, service.name, leaf.data_centre);
      std::cout << "  leaf " << leaf.id.value << " in " << leaf.data_centre.value
                << (takes_work ? ", takes work, slots:" : ", taken out by the table, slots:");
      const auto owners = PlaceLeaf(leaf, service.slots, documents.vms);
      for (const SlotOwner& owner : owners) {
        std::cout << " " << owner.vm.value << "=" << owner.slots;
      }
      std::cout << (owners.empty() ? " no live VM\n" : "\n");
      shard_covered = shard_covered || (takes_work && !owners.empty());
    }
    all_covered = all_covered && shard_covered;
    if (!shard_covered) {
      std::cout << "  NOT COVERED: no leaf takes work\n";
    }
  }
  return all_covered;
}

}  // namespace

int RunExplain(const Arguments& arguments) {
  CommandOptions options(
      "ibishold explain SERVICE [--shard ID] --platform ADDRESS:PORT | --topology FILE --table "
      "FILE "
      "--vms FILE",
      "\nShows for each shard which leaves take work and which VMs own their slots, as every VM "
      "works\n"
      "it out from the published documents.\n"
      "Exit codes: 0 all shards covered, 1 some are not or unknown service, 2 usage, 3 not "
      "readable\n");
  std::string service_name;
  std::string shard_filter;
  std::string platform;
  DocumentSource topology_source;
  DocumentSource table_source;
  DocumentSource vms_source;
  options.description.add_options()("service", program_options::value(&service_name)->required(),
                                    "service")("shard", program_options::value(&shard_filter),
                                               "only this shard")(
      "platform", program_options::value(&platform), "the platform's configuration service")(
      "topology", program_options::value(&topology_source.file), "topology from a file")(
      "table", program_options::value(&table_source.file), "table from a file")(
      "vms", program_options::value(&vms_source.file), "list of VMs from a file");
  options.positional.add("service", 1);
  if (const auto exit_code = options.Parse(arguments)) {
    return *exit_code;
  }
  if (!platform.empty()) {
    const auto address = ParseServerAddress(platform, kPlatformPort);
    if (!address.ok()) {
      return options.ReportUsageError(std::string(address.status().message()));
    }
    topology_source.platform = table_source.platform = vms_source.platform = *address;
  }
  auto topology = LoadTopology(topology_source);
  auto table = LoadTable(table_source);
  auto vms = LoadVms(vms_source);
  for (const absl::Status& status : {topology.status(), table.status(), vms.status()}) {
    if (!status.ok()) {
      return ReportError(status);
    }
  }
  const Documents documents{*std::move(topology), *std::move(table), *std::move(vms)};
  const Service* service = documents.topology.Find(ServiceName(service_name));
  if (service == nullptr) {
    std::cerr << "ibishold: no service " << service_name << " in the topology\n";
    return kExitRefused;
  }
  return PrintServiceCoverage(*service, documents, shard_filter) ? kExitOk : kExitRefused;
}

}  // namespace ibishold
