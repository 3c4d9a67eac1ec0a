#include "documents.h"

#include <fstream>
#include <sstream>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "http_get.h"

namespace ibishold {

namespace {

absl::StatusOr<std::string> LoadText(const DocumentSource& source, const std::string& key) {
  if (!source.file.empty()) {
    return ReadFile(source.file);
  }
  if (source.platform) {
    return ReadKey(*source.platform, key);
  }
  return absl::InvalidArgumentError(absl::StrCat("name a file or --platform for the ", key));
}

}  // namespace

absl::StatusOr<ServerAddress> ParseServerAddress(const std::string& text,
                                                 std::uint16_t default_port) {
  const std::vector<std::string> parts = absl::StrSplit(text, ':');
  ServerAddress result{.address = parts[0], .port = default_port};
  std::uint32_t port = result.port;
  if (parts.size() > 2 ||
      (parts.size() == 2 && (!absl::SimpleAtoi(parts[1], &port) || port == 0 || port > 65535))) {
    return absl::InvalidArgumentError(absl::StrCat("\"", text, "\" is not ADDRESS:PORT"));
  }
  result.port = static_cast<std::uint16_t>(port);
  return result;
}

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    return absl::NotFoundError(absl::StrCat("cannot read ", path));
  }
  std::ostringstream contents;
  contents << file.rdbuf();
  return contents.str();
}

absl::StatusOr<std::string> ReadKey(const ServerAddress& platform, const std::string& key) {
  auto reply = HttpGet(platform.address, platform.port, "/v1/keys/" + key);
  if (!reply.ok()) {
    return reply.status();
  }
  if (reply->status != 200) {
    return absl::UnavailableError(
        absl::StrCat("platform answered ", reply->status, " for key ", key));
  }
  return reply->body;
}

absl::StatusOr<Topology> LoadTopology(const DocumentSource& source) {
  auto text = LoadText(source, std::string(kTopologyKey));
  return text.ok() ? ParseTopology(*text) : text.status();
}

absl::StatusOr<VmList> LoadVms(const DocumentSource& source) {
  auto text = LoadText(source, std::string(kVmsKey));
  return text.ok() ? ParseVmList(*text) : text.status();
}

absl::StatusOr<Table> LoadTable(const DocumentSource& source) {
  auto text = LoadText(source, std::string(kTableKey));
  if (!text.ok()) {
    return text.status();
  }
  return absl::EndsWith(source.file, ".csv") ? TableFromCsv(*text) : ParseTable(*text);
}

}  // namespace ibishold
