#include <algorithm>
#include <cstring>
#include <functional>

#include "ibishold/call.h"

namespace ibishold {

std::string MergeTopRecords(const std::vector<std::string_view>& parts, std::size_t record_limit) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (std::size_t offset = 0; offset + kRecordBytes <= part.size(); offset += kRecordBytes) {
      records.push_back(part.substr(offset, kRecordBytes));
    }
  }
  const std::size_t returned_count = std::min(record_limit, records.size());
  // string_view compares with char_traits<char>, which treats bytes as unsigned numbers.
  std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(returned_count),
                    records.end(), std::greater<>());
  std::string merged;
  merged.reserve(returned_count * kRecordBytes);
  for (std::size_t i = 0; i < returned_count; ++i) {
    merged.append(records[i]);
  }
  return merged;
}

}  // namespace ibishold
