#include "node_status.h"

#include <boost/json.hpp>
#include <string_view>

#include "absl/strings/str_format.h"
#include "commands.h"

namespace ibishold {

namespace {

namespace json = boost::json;

constexpr auto kRowFormat = "%-18s %-21s %-9s %-8s %-9s %-6s %-8s %s\n";

// Returns the field as text, or "-" if a process of another version does not state it.
std::string FormatField(const json::object& state, std::string_view key) {
  const json::value* value = state.if_contains(key);
  if (value == nullptr) {
    return "-";
  }
  return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

std::string FormatFlag(const json::object& state,
                       std::string_view key,
                       std::string_view if_true,
                       std::string_view if_false) {
  const json::value* value = state.if_contains(key);
  if (value == nullptr || !value->is_bool()) {
    return "-";
  }
  return std::string(value->get_bool() ? if_true : if_false);
}

std::string FormatNumber(const json::object& state, std::string_view key, int digits) {
  const json::value* value = state.if_contains(key);
  return value == nullptr || !value->is_number()
             ? "-"
             : absl::StrFormat("%.*f", digits, value->to_number<double>());
}

}  // namespace

NodeStatusTable::NodeStatusTable(bool as_json, std::ostream& output, std::ostream& errors)
    : as_json(as_json), output(output), errors(errors) {
  if (!as_json) {
    output << absl::StreamFormat(kRowFormat, "vm", "address", "ready", "routes", "documents",
                                 "store", "tenants", "limited");
  }
}

void NodeStatusTable::Add(const std::string& address, const absl::StatusOr<std::string>& state) {
  json::object object;
  if (state.ok()) {
    boost::system::error_code error;
    const json::value value = json::parse(*state, error);
    if (!error && value.is_object()) {
      object = value.get_object();
    }
  }
  if (object.empty()) {
    this->all_readable = false;
    this->errors << "ibishold: "
                 << (state.ok() ? address + ": the answer is not the state of an ibishold-node"
                                : std::string(state.status().message()))
                 << "\n";
  } else {
    const json::value* ready = object.if_contains("ready");
    this->all_ready = this->all_ready && ready != nullptr && *ready == true;
    this->versions.insert(FormatField(object, "routes_version"));
  }
  if (this->as_json) {
    this->document[address] = std::move(object);
  } else {
    this->PrintRow(address, object);
  }
}

void NodeStatusTable::PrintRow(const std::string& address, const json::object& state) {
  const json::value* listed = state.if_contains("limited_tenants");
  const json::array* limited = listed == nullptr ? nullptr : listed->if_array();
  this->output << absl::StreamFormat(
      kRowFormat, FormatField(state, "vm"), address,
      state.empty() ? "silent" : FormatFlag(state, "ready", "ready", "not ready"),
      FormatField(state, "routes_version"), FormatField(state, "documents_as_of"),
      FormatFlag(state, "store_in_touch", "yes", "no"), FormatField(state, "tenants"),
      limited == nullptr ? "-" : std::to_string(limited->size()));
  if (limited == nullptr) {
    return;
  }
  for (const json::value& entry : *limited) {
    if (const json::object* tenant = entry.if_object()) {
      this->output << absl::StreamFormat(
          "  tenant %s: share admitted %s, demand %s calls/s, rate %s calls/s\n",
          FormatField(*tenant, "tenant"), FormatNumber(*tenant, "admitted_share", 3),
          FormatNumber(*tenant, "demand_per_s", 2), FormatNumber(*tenant, "rate_per_s", 2));
    }
  }
}

int NodeStatusTable::Finish() {
  if (this->as_json) {
    this->output << json::serialize(this->document) << "\n";
  }
  if (!this->all_readable) {
    return kExitNoAnswer;
  }
  return this->all_ready && this->versions.size() <= 1 ? kExitOk : kExitRefused;
}

}  // namespace ibishold
