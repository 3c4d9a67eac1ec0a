#ifndef SRC_CONFIG_JSON_READER_H_
#define SRC_CONFIG_JSON_READER_H_

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "ibishold/core.h"

namespace ibishold {

// Reads one JSON object key by key and records the first error with its path. Finish refuses keys
// that were not read, so that a misspelled key is never ignored.
class JsonReader {
 public:
  JsonReader(const boost::json::value& value, std::string path, absl::Status& status);

  std::uint64_t Integer(std::string_view key,
                        std::uint64_t default_value,
                        std::uint64_t low,
                        std::uint64_t high);
  std::uint64_t RequiredInteger(std::string_view key);
  // Reads a duration given as a whole number of milliseconds.
  Duration Milliseconds(std::string_view key,
                        Duration default_value,
                        std::uint64_t low,
                        std::uint64_t high);
  double Number(std::string_view key, double default_value, double low, double high);
  bool Boolean(std::string_view key, bool default_value);
  std::string Text(std::string_view key);                                    // required, not empty
  std::string TextOr(std::string_view key, std::string_view default_value);  // optional
  const boost::json::array& Array(std::string_view key);                     // required
  const boost::json::value* Optional(std::string_view key);                  // null if absent
  std::string PathOf(std::string_view key) const;
  void Fail(std::string_view key, std::string_view message);
  void Finish();  // refuses keys that were not read

 private:
  const boost::json::value* FindMember(std::string_view key);

  const boost::json::object* object = nullptr;
  std::string path;
  absl::Status& status;
  std::vector<std::string> read_keys;
};

}  // namespace ibishold

#endif  // SRC_CONFIG_JSON_READER_H_
