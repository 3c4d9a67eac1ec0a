#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

#include "ibishold/call.h"

namespace ibishold {

namespace {

std::string Record(unsigned char first) {
  std::string record(kRecordBytes, '\0');
  record[0] = static_cast<char>(first);
  return record;
}

}  // namespace

TEST_CASE("MergeTopRecords returns the greatest records of all parts") {
  const std::string low = Record(1) + Record(200);
  const std::string high = Record(255) + Record(127);
  SUBCASE("bytes are compared as unsigned numbers, greatest first") {
    CHECK(MergeTopRecords({low, high}, 3) == Record(255) + Record(200) + Record(127));
  }
  SUBCASE("equal records are all kept") {
    CHECK(MergeTopRecords({low, low}, 3) == Record(200) + Record(200) + Record(1));
  }
  SUBCASE("bytes after the last whole record are ignored") {
    const std::string with_remainder = high + "abc";
    CHECK(MergeTopRecords({with_remainder}, 10) == Record(255) + Record(127));
  }
  SUBCASE("all records are returned if there are fewer than requested") {
    CHECK(MergeTopRecords({low}, 20) == Record(200) + Record(1));
    CHECK(MergeTopRecords({}, 20).empty());
  }
  SUBCASE("the result equals a full sort for random parts") {
    Random random(11);
    for (int round = 0; round < 50; ++round) {
      std::vector<std::string> parts(1 + random.NextBelow(8));
      std::vector<std::string> all;
      for (std::string& part : parts) {
        for (std::uint64_t i = random.NextBelow(12); i > 0; --i) {
          std::string record;
          for (std::size_t b = 0; b < kRecordBytes; ++b) {
            record.push_back(static_cast<char>(random.NextBelow(3) * 127));
          }
          part += record;
          all.push_back(record);
        }
      }
      std::sort(all.begin(), all.end(), std::greater<>());
      std::string expected;
      for (std::size_t i = 0; i < std::min<std::size_t>(5, all.size()); ++i) {
        expected += all[i];
      }
      CHECK(MergeTopRecords({parts.begin(), parts.end()}, 5) == expected);
    }
  }
}

}  // namespace ibishold
