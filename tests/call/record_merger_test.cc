#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

#include "ibishold/call.h"

namespace ibishold {

namespace {

std::string MakeRecord(unsigned char first_byte) {
  std::string record(kRecordBytes, '\0');
  record[0] = static_cast<char>(first_byte);
  return record;
}

}  // namespace

TEST_CASE("MergeTopRecords returns the greatest records of all parts") {
  const std::string low_part = MakeRecord(1) + MakeRecord(200);
  const std::string high_part = MakeRecord(255) + MakeRecord(127);
  SUBCASE("bytes are compared as unsigned numbers, greatest first") {
    CHECK(MergeTopRecords({low_part, high_part}, 3) ==
          MakeRecord(255) + MakeRecord(200) + MakeRecord(127));
  }
  SUBCASE("equal records are all kept") {
    CHECK(MergeTopRecords({low_part, low_part}, 3) ==
          MakeRecord(200) + MakeRecord(200) + MakeRecord(1));
  }
  SUBCASE("bytes after the last whole record are ignored") {
    const std::string part_with_remainder = high_part + "abc";
    CHECK(MergeTopRecords({part_with_remainder}, 10) == MakeRecord(255) + MakeRecord(127));
  }
  SUBCASE("all records are returned if there are fewer than requested") {
    CHECK(MergeTopRecords({low_part}, 20) == MakeRecord(200) + MakeRecord(1));
    CHECK(MergeTopRecords({}, 20).empty());
  }
  SUBCASE("the result equals a full sort for random parts") {
    Random random(11);
    for (int round = 0; round < 50; ++round) {
      std::vector<std::string> parts(1 + random.NextBelow(8));
      std::vector<std::string> all_records;
      for (std::string& part : parts) {
        for (std::uint64_t i = random.NextBelow(12); i > 0; --i) {
          std::string record;
          for (std::size_t byte = 0; byte < kRecordBytes; ++byte) {
            record.push_back(static_cast<char>(random.NextBelow(3) * 127));
          }
          part += record;
          all_records.push_back(record);
        }
      }
      std::sort(all_records.begin(), all_records.end(), std::greater<>());
      std::string expected;
      for (std::size_t i = 0; i < std::min<std::size_t>(5, all_records.size()); ++i) {
        expected += all_records[i];
      }
      CHECK(MergeTopRecords({parts.begin(), parts.end()}, 5) == expected);
    }
  }
}

}  // namespace ibishold
