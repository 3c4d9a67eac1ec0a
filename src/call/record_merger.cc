#include <algorithm>
#include <cstring>
#include <functional>

#include "ibishold/call.h"

namespace ibishold {

std::string MergeTopRecords(const std::vector<std::string_view>& parts, std::size_t top) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size(); at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  const std::size_t kept = std::min(top, records.size());
  // string_view compares bytes as unsigned numbers, because char_traits<char> does.
  std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept),
                    records.end(), std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (std::size_t i = 0; i < kept; ++i) {
    merged.append(records[i]);
  }
  return merged;
}

}  // namespace ibishold
