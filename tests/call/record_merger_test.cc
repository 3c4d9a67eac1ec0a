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

TEST_CASE("the greatest records of many parts") {
  const std::string low = Record(1) + Record(200);
  const std::string high = Record(255) + Record(127);
  SUBCASE("bytes compare as unsigned numbers, greatest first") {
    CHECK(MergeTopRecords({low, high}, 3) == Record(255) + Record(200) + Record(127));
  }
  SUBCASE("equal records all count") {
    CHECK(MergeTopRecords({low, low}, 3) == Record(200) + Record(200) + Record(1));
  }
  SUBCASE("a remainder shorter than a record is none") {
    const std::string with_remainder = high + "abc";
    CHECK(MergeTopRecords({with_remainder}, 10) == Record(255) + Record(127));
  }
  SUBCASE("fewer records than asked for are all returned") {
    CHECK(MergeTopRecords({low}, 20) == Record(200) + Record(1));
    CHECK(MergeTopRecords({}, 20).empty());
  }
  SUBCASE("the order agrees with a full sort for random parts") {
    Random random(11);
    for (int round = 0; round < 50; ++round) {
      std::vector<std::string> parts(1 + random.Below(8));
      std::vector<std::string> all;
      for (std::string& part : parts) {
        for (std::uint64_t i = random.Below(12); i > 0; --i) {
          std::string record;
          for (std::size_t b = 0; b < kRecordBytes; ++b) {
            record.push_back(static_cast<char>(random.Below(3) * 127));
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
