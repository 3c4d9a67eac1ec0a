#include <iostream>
#include <map>

#include "commands.h"

namespace {

constexpr const char* kHelp =
    "Usage: ibishold COMMAND [OPTIONS]\n"
    "  check    check a table and explain its effect\n"
    "  table    export the table as CSV, import edited rows\n"
    "  status   readiness and live state of every VM\n"
    "  explain  leaves, owners and coverage of a service\n"
    "  trace    the events of one request from the logs of several VMs\n"
    "Each command has --help with its options and exit codes.\n";

}  // namespace

int main(int argc, char** argv) {
  using Command = int (*)(const ibishold::Arguments&);
  const std::map<std::string, Command> commands = {{"check", ibishold::RunCheck},
                                                   {"table", ibishold::RunTable},
                                                   {"status", ibishold::RunStatus},
                                                   {"explain", ibishold::RunExplain},
                                                   {"trace", ibishold::RunTrace}};
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "help") {
    std::cout << kHelp;
    return ibishold::kExitOk;
  }
  const auto command = commands.find(name);
  if (command == commands.end()) {
    std::cerr << kHelp;
    return ibishold::kExitUsage;
  }
  return command->second(ibishold::Arguments(argv + 2, argv + argc));
}
