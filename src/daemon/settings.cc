#include <boost/json.hpp>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "config/json_reader.h"
#include "ibishold/daemon.h"

namespace ibishold {

namespace json = boost::json;

namespace {

std::uint16_t ReadPort(JsonReader& reader, std::string_view key, std::uint16_t default_value) {
  return static_cast<std::uint16_t>(reader.Integer(key, default_value, 1, 65535));
}

PortSettings ReadPorts(const json::value& value, absl::Status& status) {
  JsonReader reader(value, "ports", status);
  PortSettings ports;
  ports.front_http = ReadPort(reader, "front_http", ports.front_http);
  ports.front_link = ReadPort(reader, "front_link", ports.front_link);
  ports.front_operator = ReadPort(reader, "front_operator", ports.front_operator);
  ports.broker_link = ReadPort(reader, "broker_link", ports.broker_link);
  ports.broker_gossip = ReadPort(reader, "broker_gossip", ports.broker_gossip);
  ports.broker_operator = ReadPort(reader, "broker_operator", ports.broker_operator);
  reader.Finish();
  return ports;
}

std::string ReadIpAddress(JsonReader& reader, std::string_view key) {
  std::string address = reader.Text(key);
  boost::system::error_code error;
  boost::asio::ip::make_address(address, error);
  if (error) {
    reader.Fail(key, "must be an IP address");
  }
  return address;
}

std::vector<std::string> ReadPeers(const json::value& value, absl::Status& status) {
  std::vector<std::string> peers;
  const json::array* array = value.if_array();
  for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
    boost::system::error_code error;
    const json::string* address = (*array)[i].if_string();
    if (address != nullptr) {
      boost::asio::ip::make_address(address->c_str(), error);
    }
    if (address == nullptr || error) {
      status.Update(
          absl::InvalidArgumentError(absl::StrCat("peers[", i, "]: must be an IP address")));
      return {};
    }
    peers.emplace_back(*address);
  }
  if (array == nullptr) {
    status.Update(absl::InvalidArgumentError("peers: must be an array of IP addresses"));
  }
  return peers;
}

}  // namespace

absl::StatusOr<Settings> ParseSettings(const std::string& text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error) {
    return absl::InvalidArgumentError(
        absl::StrCat("settings are not valid JSON: ", error.message()));
  }
  absl::Status status;
  JsonReader reader(value, "", status);
  Settings settings;
  settings.vm = VmId(reader.Text("vm"));
  settings.data_centre = DataCentre(reader.Text("data_centre"));
  settings.address = ReadIpAddress(reader, "address");
  if (const json::value* platform = reader.Optional("platform")) {
    JsonReader platform_reader(*platform, "platform", status);
    settings.platform_address = ReadIpAddress(platform_reader, "address");
    settings.platform_port = ReadPort(platform_reader, "port", settings.platform_port);
    platform_reader.Finish();
  } else {
    reader.Fail("platform", "is missing");
  }
  if (const json::value* ports = reader.Optional("ports")) {
    settings.ports = ReadPorts(*ports, status);
  }
  if (const json::value* peers = reader.Optional("peers")) {
    settings.peers = ReadPeers(*peers, status);
  }
  settings.log_level = reader.TextOr("log_level", settings.log_level);
  constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info", "warn", "error"};
  if (std::find(kLogLevels.begin(), kLogLevels.end(), settings.log_level) == kLogLevels.end()) {
    reader.Fail("log_level", "must be debug, info, warn or error");
  }
  if (const json::value* front = reader.Optional("front")) {
    settings.front = *front;
  }
  if (const json::value* broker = reader.Optional("broker")) {
    settings.broker = *broker;
  }
  reader.Finish();
  if (!status.ok()) {
    return status;
  }
  return settings;
}

absl::StatusOr<Settings> LoadSettings(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    return absl::NotFoundError(absl::StrCat("cannot read settings file ", path));
  }
  std::ostringstream contents;
  contents << file.rdbuf();
  return ParseSettings(contents.str());
}

}  // namespace ibishold
