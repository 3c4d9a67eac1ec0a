#ifndef CLI_NODE_STATUS_H_
#define CLI_NODE_STATUS_H_

#include <boost/json/object.hpp>
#include <ostream>
#include <set>
#include <string>

#include "absl/status/statusor.h"

namespace ibishold {

// Prints what ibishold-node processes answered to /debug/state, one VM after the other.
class NodeStatusTable {
 public:
  // Prints one JSON object at the end if `as_json` is true, otherwise a row for each VM at once.
  NodeStatusTable(bool as_json, std::ostream& output, std::ostream& errors);

  // `state` is the text that the process at `address` answered, or why there is none.
  void Add(const std::string& address, const absl::StatusOr<std::string>& state);
  // Ends the output. Returns the command's exit code.
  int Finish();

 private:
  void PrintRow(const std::string& address, const boost::json::object& state);

  bool as_json;
  std::ostream& output;
  std::ostream& errors;
  boost::json::object document;    // for `as_json`
  std::set<std::string> versions;  // of the routes
  bool all_readable = true;
  bool all_ready = true;
};

}  // namespace ibishold

#endif  // CLI_NODE_STATUS_H_
