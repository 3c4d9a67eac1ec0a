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

// Lines of this long before a request may explain what its VM believed.
constexpr std::int64_t kContextWindowMs = 5000;

struct LogLine {
  std::int64_t time_ms = 0;
  std::string source;  // what stands before the object, or the file's name
  std::string event;
  json::object fields;
};

std::string GetString(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

// Lines of other programs and torn lines are skipped.
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

// Whether the line tells what the VM of `request` believed when the request ran.
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
    std::cout
        << options
        << "Joins the logs of several VMs into the story of one request: its own lines, and\n"
           "what its VMs believed in the 5 s before.\n"
           "Exit codes: 0 found, 1 no line names the request, 2 mistake on the command line\n";
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
