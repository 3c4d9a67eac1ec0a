#include <doctest/doctest.h>

#include <boost/json.hpp>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "ibishold/snapshot.h"
#include "tests/models/split_map.h"

// Replays counterexamples of models/snapshot.pml, each found with one guard removed, against
// AnswerMerger and SnapshotTracker.

namespace ibishold {

using std::chrono::milliseconds;

namespace {

using testing::kIndex;
using testing::kNewMap;
using testing::kOldMap;
using testing::kThird;
using testing::MakeMap;

AnswerMerger MakeMerger(std::uint64_t map_version) {
  const auto topology = MakeMap(map_version);
  return AnswerMerger(
      {.topology = topology, .service = &topology->services[0], .snapshot = {kIndex, map_version}});
}

// One record for each of the ranges.
std::string RecordsOf(const std::vector<std::uint64_t>& ranges) {
  std::string joined;
  for (const std::uint64_t range : ranges) {
    absl::StrAppend(&joined, joined.empty() ? "" : ",", "{\"key\":", range * kThird + 1, "}");
  }
  return absl::StrCat("[", joined, "]");
}

// How often each range was merged.
std::map<std::uint64_t, int> Counts(const AnswerMerger& merger) {
  std::map<std::uint64_t, int> counts;
  const boost::json::value records = boost::json::parse(merger.Records());
  for (const boost::json::value& record : records.as_array()) {
    ++counts[record.at("key").to_number<std::uint64_t>() / kThird];
  }
  return counts;
}

using RangeCounts = std::map<std::uint64_t, int>;

}  // namespace

TEST_CASE("traces of the snapshot model against the merger") {
  SUBCASE("NO_RANGE_FILTER: after the split both leaves send the records of the old shard") {
    // Guards against records that are counted twice while old shard and children overlap.
    AnswerMerger merger = MakeMerger(kNewMap);
    const std::string old_shard = RecordsOf({0, 1});
    merger.Add(0, {{kIndex, kNewMap}, true, old_shard});
    merger.Add(1, {{kIndex, kNewMap}, true, old_shard});
    CHECK(Counts(merger) == RangeCounts{{0, 1}, {1, 1}});
    CHECK(merger.Close().fraction == doctest::Approx(2.0 / 3));
  }
  SUBCASE("MERGE_OTHER_MAP: a child answers for the shard that was split") {
    // Guards against a whole shard that is stated as full although one child has answered.
    AnswerMerger merger = MakeMerger(kOldMap);
    CHECK(merger.Add(0, {{kIndex, kNewMap}, true, RecordsOf({0})}) == MergeResult::kOtherVersion);
    CHECK(Counts(merger).empty());
    CHECK(merger.Close().fraction == 0.0);
  }
  SUBCASE("MERGE_OTHER_INDEX: a leaf answers from the version that it still holds") {
    // Guards against an answer with records of two index versions.
    AnswerMerger merger = MakeMerger(kOldMap);
    merger.Add(0, {{kIndex, kOldMap}, true, RecordsOf({0, 1})});
    merger.Add(1, {{kIndex + 1, kOldMap}, true, RecordsOf({2})});
    CHECK(Counts(merger) == RangeCounts{{0, 1}, {1, 1}});
    CHECK(merger.Close().fraction == doctest::Approx(2.0 / 3));
  }
  SUBCASE("DUPLICATE_ADDS: the hedge answers too") {
    // Guards against records that are counted twice when both replicas answer.
    AnswerMerger merger = MakeMerger(kOldMap);
    merger.Add(0, {{kIndex, kOldMap}, true, RecordsOf({0, 1})});
    merger.Add(0, {{kIndex, kOldMap}, true, RecordsOf({0, 1})});
    CHECK(Counts(merger) == RangeCounts{{0, 1}, {1, 1}});
    CHECK_FALSE(merger.complete());
  }
  SUBCASE("PARTIAL_KEPT: a complete answer follows a partial one") {
    // Guards against a complete answer that is added to the partial one instead of replacing it.
    AnswerMerger merger = MakeMerger(kOldMap);
    merger.Add(0, {{kIndex, kOldMap}, false, RecordsOf({0})});
    merger.Add(0, {{kIndex, kOldMap}, true, RecordsOf({0, 1})});
    CHECK(Counts(merger) == RangeCounts{{0, 1}, {1, 1}});
  }
  SUBCASE("PARTIAL_COUNTS_FULL: a leaf has only part of its range") {
    // Guards against coverage that counts a partial answer.
    AnswerMerger merger = MakeMerger(kOldMap);
    merger.Add(0, {{kIndex, kOldMap}, false, RecordsOf({0})});
    CHECK(merger.Close().fraction == 0.0);
  }
  SUBCASE("LATE_CHANGES: an answer comes after the close") {
    // Guards against records that the stated coverage does not include.
    AnswerMerger merger = MakeMerger(kOldMap);
    merger.Add(1, {{kIndex, kOldMap}, true, RecordsOf({2})});
    const double stated = merger.Close().fraction;
    CHECK(merger.Add(0, {{kIndex, kOldMap}, true, RecordsOf({0, 1})}) == MergeResult::kClosed);
    CHECK(Counts(merger) == RangeCounts{{2, 1}});
    CHECK(merger.Close().fraction == stated);
  }
  SUBCASE("COVERAGE_OF_ANSWERS: only one of the new shards answers") {
    // Guards against a denominator of the shards that were reached.
    AnswerMerger merger = MakeMerger(kNewMap);
    merger.Add(2, {{kIndex, kNewMap}, true, RecordsOf({2})});
    CHECK(merger.Close().fraction == doctest::Approx(1.0 / 3));
  }
}

TEST_CASE("traces of the snapshot model against the tracker") {
  SUBCASE("OLD_STATEMENTS_COUNT: the answer to the first plan comes after that to the second") {
    // Guards against a late statement that brings back a version the leaf has dropped.
    SnapshotTracker tracker;
    const TimePoint start{std::chrono::seconds(100)};
    const LeafId leaf("c");
    tracker.SetTopology(MakeMap(kOldMap), start);
    const LeafStatement first{leaf, {kIndex, kIndex + 1}, kOldMap, start};
    const LeafStatement second{leaf, {kIndex + 1}, kOldMap, start + milliseconds(5)};
    tracker.RecordStatement(first);
    tracker.RecordStatement(second);
    tracker.RecordStatement(first);
    CHECK_FALSE(tracker.MayHold(leaf, {kIndex, kOldMap}));
    CHECK(
        tracker.Select(ServiceName("stock"), {}, start + milliseconds(9))->snapshot.index_version ==
        kIndex + 1);
  }
}

}  // namespace ibishold
