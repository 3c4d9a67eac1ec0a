#ifndef CLI_DOCUMENTS_H_
#define CLI_DOCUMENTS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "ibishold/config.h"

namespace ibishold {

// Where the platform's configuration service answers.
struct PlatformAddress {
  std::string address;        // IP number
  std::uint16_t port = 8500;  // 8500
};

// Text "ADDRESS:PORT" or "ADDRESS".
absl::StatusOr<PlatformAddress> ParsePlatformAddress(const std::string& text);

absl::StatusOr<std::string> ReadFile(const std::string& path);
absl::StatusOr<std::string> ReadKey(const PlatformAddress& platform, const std::string& key);

// A document from a file, or from the platform when no file is named.
struct DocumentSource {
  std::string file;                         // path; empty: not given
  std::optional<PlatformAddress> platform;  // not given: files only
};

absl::StatusOr<Topology> LoadTopology(const DocumentSource& source);
absl::StatusOr<VmList> LoadVms(const DocumentSource& source);

// Reads a table as JSON, or as CSV when the path ends in .csv.
absl::StatusOr<Table> LoadTable(const DocumentSource& source);

}  // namespace ibishold

#endif  // CLI_DOCUMENTS_H_
