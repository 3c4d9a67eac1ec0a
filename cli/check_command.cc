#include <iostream>

#include "command_options.h"
#include "commands.h"
#include "documents.h"

namespace ibishold {

namespace {

namespace program_options = boost::program_options;

// Prints the effect of the table. Returns true if a shard loses its last leaf that accepts work.
bool PrintEffects(const Table& current, const Table& table, const Topology& topology) {
  bool coverage_drops = false;
  const auto effects = ExplainChange(current, table, topology);
  if (effects.empty()) {
    std::cout << "no effect: the table in force has the same content\n";
  }
  for (const ServiceEffect& effect : effects) {
    std::cout << effect.service.value << ": " << effect.slots_before << " -> " << effect.slots_after
              << " slots take work\n";
    for (const std::string& change : effect.changed_fields) {
      std::cout << "  " << change << "\n";
    }
    if (!effect.shards_lost.empty()) {
      coverage_drops = true;
      std::cout << "  WARNING coverage drops, no leaf left for " << effect.shards_lost.size()
                << " shards:";
      for (const ShardId& shard : effect.shards_lost) {
        std::cout << " " << shard.value;
      }
      std::cout << "\n";
    }
  }
  return coverage_drops;
}

}  // namespace

int RunCheck(const Arguments& arguments) {
  CommandOptions options(
      "ibishold check TABLE [--platform ADDRESS:PORT] [--topology FILE] [--current FILE]",
      "\nTABLE is JSON, or CSV when its name ends in .csv. The table is compared with the one in\n"
      "force, which is read from the platform unless --current names a file.\n"
      "Exit codes: 0 accepted, 1 refused, 2 usage, 3 platform not readable, 4 accepted with a\n"
      "warning (coverage drops, unknown names, or the base is not the generation in force)\n");
  std::string table_path;
  std::string platform;
  DocumentSource topology_source;
  DocumentSource current_source;
  options.description.add_options()("table", program_options::value(&table_path)->required(),
                                    "table to check")("platform", program_options::value(&platform),
                                                      "the platform's configuration service")(
      "topology", program_options::value(&topology_source.file), "topology from a file")(
      "current", program_options::value(&current_source.file), "table in force from a file");
  options.positional.add("table", 1);
  if (const auto exit_code = options.Parse(arguments)) {
    return *exit_code;
  }
  if (!platform.empty()) {
    const auto address = ParseServerAddress(platform, kPlatformPort);
    if (!address.ok()) {
      return options.ReportUsageError(std::string(address.status().message()));
    }
    topology_source.platform = *address;
    current_source.platform = *address;
  }
  const auto table = LoadTable({.file = table_path});
  if (!table.ok()) {
    return ReportError(table.status());
  }
  std::cout << "accepted: " << table->rows.size() << " rows, generation " << table->generation
            << "\n";
  if (topology_source.file.empty() && !topology_source.platform) {
    return kExitOk;
  }
  const auto topology = LoadTopology(topology_source);
  if (!topology.ok()) {
    return ReportError(topology.status());
  }
  bool has_warnings = false;
  for (const std::string& warning : TableWarnings(*table, *topology)) {
    has_warnings = true;
    std::cout << "WARNING " << warning << "\n";
  }
  if (current_source.file.empty() && !current_source.platform) {
    return has_warnings ? kExitWarning : kExitOk;
  }
  const auto current = LoadTable(current_source);
  if (!current.ok()) {
    return ReportError(current.status());
  }
  if (table->base != 0 && table->base != current->generation) {
    has_warnings = true;
    std::cout << "WARNING stale base: edited from generation " << table->base << ", in force is "
              << current->generation << "\n";
  }
  has_warnings = PrintEffects(*current, *table, *topology) || has_warnings;
  return has_warnings ? kExitWarning : kExitOk;
}

}  // namespace ibishold
