#ifndef CLI_COMMAND_OPTIONS_H_
#define CLI_COMMAND_OPTIONS_H_

#include <boost/program_options.hpp>
#include <iostream>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "commands.h"

namespace ibishold {

// Options and help text of one command.
struct CommandOptions {
  boost::program_options::options_description description;
  boost::program_options::positional_options_description positional;
  boost::program_options::variables_map values;
  std::string usage;  // one line, printed before the options in the help text
  std::string notes;  // printed after the options in the help text

  CommandOptions(std::string usage, std::string notes)
      : usage(std::move(usage)), notes(std::move(notes)) {
    this->description.add_options()("help", "show this help and exit");
  }

  // Parses the arguments. Returns the exit code if the command must exit: after --help or an error.
  std::optional<int> Parse(const Arguments& arguments) {
    namespace program_options = boost::program_options;
    try {
      program_options::store(program_options::command_line_parser(arguments)
                                 .options(this->description)
                                 .positional(this->positional)
                                 .run(),
                             this->values);
      if (this->values.count("help") != 0) {
        std::cout << "Usage: " << this->usage << "\n" << this->description << this->notes;
        return kExitOk;
      }
      program_options::notify(this->values);
    } catch (const program_options::error& error) {
      return this->ReportUsageError(error.what());
    }
    return std::nullopt;
  }

  int ReportUsageError(const std::string& message) const {
    std::cerr << "ibishold: " << message << "\nUsage: " << this->usage << "\n";
    return kExitUsage;
  }
};

// Prints the error and returns its exit code.
inline int ReportError(const absl::Status& status) {
  std::cerr << "ibishold: " << status.message() << "\n";
  return status.code() == absl::StatusCode::kInvalidArgument ? kExitRefused : kExitNoAnswer;
}

}  // namespace ibishold

#endif  // CLI_COMMAND_OPTIONS_H_
