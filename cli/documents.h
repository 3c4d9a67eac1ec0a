#ifndef CLI_DOCUMENTS_H_
#define CLI_DOCUMENTS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "ibishold/config.h"

namespace ibishold {

inline constexpr std::uint16_t kPlatformPort = 8500;  // of the platform's configuration service

struct ServerAddress {
  std::string address;  // IP address
  std::uint16_t port = 0;
};

// Parses "ADDRESS:PORT" or "ADDRESS".
absl::StatusOr<ServerAddress> ParseServerAddress(const std::string& text,
                                                 std::uint16_t default_port);

absl::StatusOr<std::string> ReadFile(const std::string& path);
absl::StatusOr<std::string> ReadKey(const ServerAddress& platform, const std::string& key);

// Source of a document: the file if `file` is set, otherwise the platform.
struct DocumentSource {
  std::string file;                       // path; empty: none
  std::optional<ServerAddress> platform;  // nullopt: files only
};

absl::StatusOr<Topology> LoadTopology(const DocumentSource& source);
absl::StatusOr<VmList> LoadVms(const DocumentSource& source);

// Reads a table as JSON, or as CSV when the path ends in .csv.
absl::StatusOr<Table> LoadTable(const DocumentSource& source);

}  // namespace ibishold

#endif  // CLI_DOCUMENTS_H_
