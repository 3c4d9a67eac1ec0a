#include <boost/program_options.hpp>
#include <iostream>

#include "ibishold/daemon.h"

namespace ibishold {

namespace program_options = boost::program_options;

DaemonCommandLine ParseDaemonCommandLine(int argc, char** argv, const std::string& program) {
  DaemonCommandLine result;
  program_options::options_description description("Options of " + program);
  description.add_options()("settings", program_options::value(&result.settings_path),
                            "settings file of this VM (JSON), required")(
      "check", program_options::bool_switch(&result.check_only),
      "check the settings file and exit")("help", "show this help and exit");
  try {
    program_options::variables_map values;
    program_options::store(program_options::parse_command_line(argc, argv, description), values);
    program_options::notify(values);
    if (values.count("help") != 0) {
      std::cout << description
                << "\nExit codes: 0 stopped as planned, 1 could not run, 2 error on "
                   "the command line or in the settings\n";
      result.exit_code = kExitOk;
    } else if (result.settings_path.empty()) {
      std::cerr << program << ": --settings is required; see --help\n";
      result.exit_code = kExitUsage;
    }
  } catch (const program_options::error& error) {
    std::cerr << program << ": " << error.what() << "; see --help\n";
    result.exit_code = kExitUsage;
  }
  return result;
}

}  // namespace ibishold
