#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <fstream>
#include <iostream>

#include "command_options.h"
#include "commands.h"

namespace ibishold {

namespace {

namespace json = boost::json;
namespace program_options = boost::program_options;

// Log lines of a VM from this time before a request are shown with the request.
constexpr std::int64_t kContextWindowMs = 5000;

struct LogLine {
  std::int64_t time_ms = 0;
  std::string source;  // text before the JSON object, or the path of the file
  std::string event;
  json::object fields;
};

std::string GetString(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

// Appends the log lines of a file. Skips lines that have no valid JSON object with "time_ms": lines
// of other programs and truncated lines.
void ReadLines(const std::string& path, std::vector<LogLine>& lines) {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    const std::size_t begin = line.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    boost::system::error_code error;
    const json::value value = json::parse(line.substr(begin), error);
    const json::value* time =
        error || !value.is_object() ? nullptr : value.get_object().if_contains("time_ms");
    if (time == nullptr || !time->is_number()) {
      continue;
    }
    std::string source = line.substr(0, begin);
    source.erase(0, source.find_first_not_of(" 0123456789.-"));
    source.erase(source.find_last_not_of(' ') + 1);
    lines.push_back({.time_ms = time->to_number<std::int64_t>(),
                     .source = source.empty() ? path : source,
                     .event = GetString(value.get_object(), "event"),
                     .fields = value.get_object()});
  }
}

void PrintLine(const LogLine& line, std::int64_t origin_ms) {
  std::cout << (line.time_ms >= origin_ms ? "+" : "") << line.time_ms - origin_ms << " ms  "
            << line.source << "  " << line.event;
  for (const auto& [key, value] : line.fields) {
    if (key != "time_ms" && key != "event" && value.is_string()) {
      std::cout << " " << std::string_view(key) << "=" << std::string_view(value.get_string());
    }
  }
  std::cout << "\n";
}

// Returns whether the line shows the state on which the request's VM based its decisions: it comes
// from the VM of the request, shortly before it, and if it is about a leaf, the request used that
// leaf.
bool IsContext(const LogLine& line, const LogLine& request_line) {
  if (line.source != request_line.source || line.time_ms > request_line.time_ms ||
      line.time_ms < request_line.time_ms - kContextWindowMs || line.event == "call" ||
      line.event == "handed_over") {
    return false;
  }
  if (line.event != "leaf") {
    return true;
  }
  const std::string leaf = GetString(line.fields, "leaf");
  return !leaf.empty() && GetString(request_line.fields, "steps").find(leaf) != std::string::npos;
}

}  // namespace

int RunTrace(const Arguments& arguments) {
  program_options::options_description options("Usage: ibishold trace REQUEST-ID FILE...");
  options.add_options()("help", "print this text");
  if (arguments.size() < 2 || arguments[0] == "--help") {
    std::cout << options
              << "Merges the logs of several VMs into a trace of one request: the log lines of the "
                 "request\n"
                 "and the state changes of its VMs in the 5 s before.\n"
                 "Exit codes: 0 found, 1 no line names the request, 2 error on the command line\n";
    return arguments.empty() || arguments[0] != "--help" ? kExitUsage : kExitOk;
  }
  std::vector<LogLine> lines;
  for (std::size_t i = 1; i < arguments.size(); ++i) {
    ReadLines(arguments[i], lines);
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const LogLine& a, const LogLine& b) { return a.time_ms < b.time_ms; });
  std::vector<const LogLine*> request_lines;
  for (const LogLine& line : lines) {
    if (GetString(line.fields, "request") == arguments[0]) {
      request_lines.push_back(&line);
    }
  }
  if (request_lines.empty()) {
    std::cerr << "ibishold: no line names the request " << arguments[0] << "\n";
    return kExitRefused;
  }
  const std::int64_t origin_ms = request_lines.front()->time_ms;
  for (const LogLine& line : lines) {
    const bool is_relevant =
        std::any_of(request_lines.begin(), request_lines.end(), [&](const LogLine* request_line) {
          return request_line == &line || IsContext(line, *request_line);
        });
    if (is_relevant) {
      PrintLine(line, origin_ms);
    }
  }
  return kExitOk;
}

}  // namespace ibishold
