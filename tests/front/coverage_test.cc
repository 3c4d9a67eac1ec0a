#include <doctest/doctest.h>

#include <boost/json.hpp>

#include "ibishold/snapshot.h"
#include "tests/front/front_documents.h"
#include "tests/front/sim_front.h"

namespace ibishold {

using std::chrono::milliseconds;
using testing::DocumentOptions;
using testing::SimFront;

namespace {

AnswerMerger MakeMerger(const DocumentOptions& documents) {
  const auto topology = testing::MakeTopology(documents);
  return AnswerMerger({.topology = topology,
                       .service = &topology->services[0],
                       .snapshot = {documents.index_version, documents.map_version}});
}

std::string MakeRecord(std::uint64_t key) {
  return absl::StrCat("{\"key\":", key, ",\"value\":1}");
}

std::size_t CountRecords(const AnswerMerger& merger) {
  return boost::json::parse(merger.Records()).as_array().size();
}

}  // namespace

TEST_CASE("merging leaf answers by key range") {
  const DocumentOptions documents{.shards = 2};
  const Snapshot pinned{7, 1};
  AnswerMerger merger = MakeMerger(documents);
  constexpr std::uint64_t kSecondShardBegin = 1ULL << 63U;

  SUBCASE("records outside the shard's key range are dropped") {
    // Guards against duplicate records while a leaf still holds key ranges of an older partition
    // map.
    const std::string records_of_both_shards =
        absl::StrCat("[", MakeRecord(1), ",", MakeRecord(kSecondShardBegin + 1), "]");
    CHECK(merger.Add(0, {pinned, true, records_of_both_shards}) == MergeResult::kFull);
    CHECK(merger.Add(1, {pinned, true, records_of_both_shards}) == MergeResult::kFull);
    CHECK(CountRecords(merger) == 2);
    CHECK(merger.Close().fraction == 1.0);
  }
  SUBCASE("the highest possible key is merged, and repeated keys are dropped") {
    const std::string records = absl::StrCat("[", MakeRecord(~0ULL), ",", MakeRecord(~0ULL), ",",
                                             MakeRecord(kSecondShardBegin), "]");
    CHECK(merger.Add(1, {pinned, true, records}) == MergeResult::kFull);
    CHECK(CountRecords(merger) == 2);
  }
  SUBCASE("an answer of another index version or partition map is not merged") {
    CHECK(merger.Add(0, {{8, 1}, true, "[]"}) == MergeResult::kOtherVersion);
    CHECK(merger.Add(0, {{7, 2}, true, "[]"}) == MergeResult::kOtherVersion);
    CHECK(merger.empty());
    CHECK(merger.Close().fraction == 0.0);
  }
  SUBCASE("a second complete answer for a shard is ignored") {
    CHECK(merger.Add(0, {pinned, true, absl::StrCat("[", MakeRecord(1), "]")}) ==
          MergeResult::kFull);
    CHECK(merger.Add(0, {pinned, true, absl::StrCat("[", MakeRecord(2), "]")}) ==
          MergeResult::kDuplicate);
    CHECK(CountRecords(merger) == 1);
    CHECK(merger.Close().fraction == doctest::Approx(0.5));
  }
  SUBCASE("a complete answer replaces all records of a partial one") {
    CHECK(merger.Add(0, {pinned, false, absl::StrCat("[", MakeRecord(1), "]")}) ==
          MergeResult::kPartial);
    CHECK(
        merger.Add(0, {pinned, true, absl::StrCat("[", MakeRecord(1), ",", MakeRecord(2), "]")}) ==
        MergeResult::kFull);
    CHECK(CountRecords(merger) == 2);
  }
  SUBCASE("a shard with a partial answer is stated as partial") {
    CHECK(merger.Add(0, {pinned, false, absl::StrCat("[", MakeRecord(1), "]")}) ==
          MergeResult::kPartial);
    CHECK(merger.Add(1, {pinned, true, "[]"}) == MergeResult::kFull);
    const Coverage coverage = merger.Close();
    CHECK(coverage.fraction == doctest::Approx(0.5));
    CHECK(coverage.shards[0].state == ShardState::kPartial);
    CHECK(coverage.shards[0].reason == "leaf_partial");
    CHECK_FALSE(coverage.full());
  }
  SUBCASE("an answer that arrives after Close is ignored") {
    const Coverage coverage = merger.Close();
    CHECK(merger.Add(0, {pinned, true, absl::StrCat("[", MakeRecord(1), "]")}) ==
          MergeResult::kClosed);
    CHECK(CountRecords(merger) == 0);
    CHECK(coverage.fraction == 0.0);
  }
  SUBCASE("malformed records are refused") {
    for (const char* malformed :
         {"", "{", "{}", "[1]", "[{}]", R"([{"key":-1}])", R"([{"key":"1"}])"}) {
      CHECK(merger.Add(0, {pinned, true, malformed}) == MergeResult::kMalformed);
    }
    CHECK(merger.Close().fraction == 0.0);
  }
  SUBCASE("an incomplete answer is never rounded up to full coverage") {
    AnswerMerger merger_of_three = MakeMerger({.shards = 3});
    CHECK(merger_of_three.Add(0, {pinned, true, "[]"}) == MergeResult::kFull);
    CHECK(merger_of_three.Add(1, {pinned, true, "[]"}) == MergeResult::kFull);
    CHECK(merger_of_three.Close().fraction < 1.0);
  }
}

TEST_CASE("coverage in answers to callers") {
  SimFront front;
  SUBCASE("a shard without a reply by the deadline is stated as missing") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      if (call.shard != ShardId("s1")) {
        front.ScheduleReply(milliseconds(5), batch, front.MakeReply(batch, call));
      }
    };
    const std::uint64_t ticket = front.SendQuery("a", milliseconds(200));
    front.Advance(milliseconds(200));
    REQUIRE(front.IsAnswered(ticket));
    CHECK(front.replies.at(ticket).latency <= milliseconds(200));
    CHECK(front.GetCoverage(ticket) == doctest::Approx(0.75));
    const auto shard = front.GetBody(ticket).at("coverage").at("shards").as_array()[1];
    CHECK(shard.at("state").as_string() == "missing");
    CHECK(shard.at("reason").as_string() == "deadline");
  }
  SUBCASE("a leaf reply that arrives after the answer is counted and otherwise ignored") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      const bool is_late = call.shard == ShardId("s1");
      front.ScheduleReply(milliseconds(is_late ? 300 : 5), batch, front.MakeReply(batch, call));
    };
    const std::uint64_t ticket = front.SendQuery("a", milliseconds(200));
    front.Advance(milliseconds(200));
    const std::string body_before = front.GetAnswer(ticket).body;
    front.Advance(milliseconds(1000));
    CHECK(front.GetAnswer(ticket).body == body_before);
    CHECK(front.reply_counts[ticket] == 1);
    CHECK(front.core.counters().late_replies >= 1);
  }
  SUBCASE("a change of slot owners does not reduce coverage") {
    // Guards against partial answers during planned stops. A rolling stop once gave answers with
    // the reason "not_owner".
    const TimePoint hand_over_time = front.now + milliseconds(150);
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ScheduleReply(
          milliseconds(2), batch,
          front.now < hand_over_time
              ? SimFront::MakeFailure(call, wire::Outcome::NOT_OWNER, Verdict::kNotRun)
              : front.MakeReply(batch, call));
    };
    const std::uint64_t ticket = front.SendQuery("a", milliseconds(1000));
    front.Advance(milliseconds(1000));
    CHECK(front.GetCoverage(ticket) == 1.0);
    CHECK(front.replies.at(ticket).latency < milliseconds(250));
    // A query that finds no owner is refused after half of its time.
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ScheduleReply(milliseconds(2), batch,
                          SimFront::MakeFailure(call, wire::Outcome::NOT_OWNER, Verdict::kNotRun));
    };
    const std::uint64_t refused_ticket = front.SendQuery("a", milliseconds(400));
    front.Advance(milliseconds(210));
    REQUIRE(front.IsAnswered(refused_ticket));
    CHECK(front.GetAnswer(refused_ticket).verdict == Verdict::kNotRun);
  }
  SUBCASE("shards are missing only if all their replicas are in data centres out of service") {
    ControlView view = testing::MakeView({});
    auto table = std::make_shared<Table>();
    table->generation = 2;
    table->rows.push_back(testing::MakeRow("dc-0", RowState::kOut));
    view.table = table;
    front.SetView(view);
    const std::uint64_t ticket = front.SendQuery("a");
    front.Advance(milliseconds(600));
    CHECK(front.GetCoverage(ticket) == 1.0);
    for (const SendBatch& batch : front.batches) {
      for (const LeafCall& call : batch.calls) {
        CHECK(call.leaf.value.back() == '1');
      }
    }
    auto table_both_out = std::make_shared<Table>(*table);
    table_both_out->rows.push_back(testing::MakeRow("dc-1", RowState::kOut));
    view.table = table_both_out;
    front.SetView(view);
    const std::size_t batches_before = front.batches.size();
    const std::uint64_t refused_ticket = front.SendQuery("a");
    front.Advance(milliseconds(600));
    CHECK(front.GetAnswer(refused_ticket).status == 503);
    CHECK(front.GetAnswer(refused_ticket).verdict == Verdict::kNotRun);
    CHECK(front.batches.size() == batches_before);
  }
}

}  // namespace ibishold
