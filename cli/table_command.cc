#include <iostream>

#include "absl/strings/match.h"
#include "command_options.h"
#include "commands.h"
#include "documents.h"

namespace ibishold {

namespace {

namespace program_options = boost::program_options;

int ExportTable(const DocumentSource& source) {
  const auto table = LoadTable(source);
  if (!table.ok()) {
    return ReportError(table.status());
  }
  std::cout << TableToCsv(*table);
  std::cerr << "generation " << table->generation << "; give it as --base when importing\n";
  return kExitOk;
}

int ImportTable(const std::string& path, std::uint64_t base, const DocumentSource& current_source) {
  auto table = LoadTable({.file = path});
  if (!table.ok()) {
    return ReportError(table.status());
  }
  const auto current = LoadTable(current_source);
  if (!current.ok()) {
    return ReportError(current.status());
  }
  // Two operators who edit the same generation must not overwrite each other's changes unnoticed.
  if (base != current->generation) {
    std::cerr << "ibishold: stale base: edited from generation " << base << ", in force is "
              << current->generation << "; export again and repeat the edit\n";
    return kExitRefused;
  }
  table->base = base;
  table->generation = base + 1;
  std::cout << ToJson(*table) << "\n";
  return kExitOk;
}

}  // namespace

int RunTable(const Arguments& arguments) {
  CommandOptions options(
      "ibishold table export|import [CSV] [--base G] [--platform ADDRESS:PORT] [--current FILE]",
      "\nexport prints the table in force as CSV. import turns an edited CSV into the JSON "
      "document\n"
      "of the next generation, ready to publish; it refuses when --base is not the generation in\n"
      "force.\nExit codes: 0 done, 1 refused, 2 usage, 3 platform not readable\n");
  std::string action;
  std::string csv_path;
  std::string platform;
  std::uint64_t base = 0;
  DocumentSource current_source;
  options.description.add_options()("action", program_options::value(&action)->required(),
                                    "export or import")("csv", program_options::value(&csv_path),
                                                        "edited rows (import)")(
      "base", program_options::value(&base), "generation that was exported (import)")(
      "platform", program_options::value(&platform), "the platform's configuration service")(
      "current", program_options::value(&current_source.file), "table in force from a file");
  options.positional.add("action", 1).add("csv", 1);
  if (const auto exit_code = options.Parse(arguments)) {
    return *exit_code;
  }
  if (!platform.empty()) {
    const auto address = ParseServerAddress(platform, kPlatformPort);
    if (!address.ok()) {
      return options.ReportUsageError(std::string(address.status().message()));
    }
    current_source.platform = *address;
  }
  if (action == "export") {
    return ExportTable(current_source);
  }
  if (action != "import") {
    return options.ReportUsageError("the action must be export or import");
  }
  if (!absl::EndsWith(csv_path, ".csv") || options.values.count("base") == 0) {
    return options.ReportUsageError("import needs a .csv file and --base");
  }
  return ImportTable(csv_path, base, current_source);
}

}  // namespace ibishold
