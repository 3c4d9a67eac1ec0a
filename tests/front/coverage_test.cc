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

std::string Record(std::uint64_t key) {
  return absl::StrCat("{\"key\":", key, ",\"value\":1}");
}

std::size_t CountRecords(const AnswerMerger& merger) {
  return boost::json::parse(merger.Records()).as_array().size();
}

}  // namespace

TEST_CASE("merging by key range") {
  const DocumentOptions documents{.shards = 2};
  const Snapshot pinned{7, 1};
  AnswerMerger merger = MakeMerger(documents);
  constexpr std::uint64_t kHalf = 1ULL << 63U;

  SUBCASE("counts each range once") {
    // Guards against doubled records when a leaf still holds the ranges of an older map.
    const std::string both = absl::StrCat("[", Record(1), ",", Record(kHalf + 1), "]");
    CHECK(merger.Add(0, {pinned, true, both}) == MergeResult::kFull);
    CHECK(merger.Add(1, {pinned, true, both}) == MergeResult::kFull);
    CHECK(CountRecords(merger) == 2);
    CHECK(merger.Close().fraction == 1.0);
  }
  SUBCASE("keeps the highest key and drops a repeated one") {
    const std::string records =
        absl::StrCat("[", Record(~0ULL), ",", Record(~0ULL), ",", Record(kHalf), "]");
    CHECK(merger.Add(1, {pinned, true, records}) == MergeResult::kFull);
    CHECK(CountRecords(merger) == 2);
  }
  SUBCASE("never merges another index version or map") {
    CHECK(merger.Add(0, {{8, 1}, true, "[]"}) == MergeResult::kOtherVersion);
    CHECK(merger.Add(0, {{7, 2}, true, "[]"}) == MergeResult::kOtherVersion);
    CHECK(merger.empty());
    CHECK(merger.Close().fraction == 0.0);
  }
  SUBCASE("a hedged duplicate changes nothing") {
    CHECK(merger.Add(0, {pinned, true, absl::StrCat("[", Record(1), "]")}) == MergeResult::kFull);
    CHECK(merger.Add(0, {pinned, true, absl::StrCat("[", Record(2), "]")}) ==
          MergeResult::kDuplicate);
    CHECK(CountRecords(merger) == 1);
    CHECK(merger.Close().fraction == doctest::Approx(0.5));
  }
  SUBCASE("a partial answer is replaced as a whole by a complete one") {
    CHECK(merger.Add(0, {pinned, false, absl::StrCat("[", Record(1), "]")}) ==
          MergeResult::kPartial);
    CHECK(merger.Add(0, {pinned, true, absl::StrCat("[", Record(1), ",", Record(2), "]")}) ==
          MergeResult::kFull);
    CHECK(CountRecords(merger) == 2);
  }
  SUBCASE("a partial answer counts as partial, not as full") {
    CHECK(merger.Add(0, {pinned, false, absl::StrCat("[", Record(1), "]")}) ==
          MergeResult::kPartial);
    CHECK(merger.Add(1, {pinned, true, "[]"}) == MergeResult::kFull);
    const Coverage coverage = merger.Close();
    CHECK(coverage.fraction == doctest::Approx(0.5));
    CHECK(coverage.shards[0].state == ShardState::kPartial);
    CHECK(coverage.shards[0].reason == "leaf_partial");
    CHECK_FALSE(coverage.full());
  }
  SUBCASE("an answer after the final one changes nothing") {
    const Coverage before = merger.Close();
    CHECK(merger.Add(0, {pinned, true, absl::StrCat("[", Record(1), "]")}) == MergeResult::kClosed);
    CHECK(CountRecords(merger) == 0);
    CHECK(before.fraction == 0.0);
  }
  SUBCASE("refuses records that it cannot read") {
    for (const char* text : {"", "{", "{}", "[1]", "[{}]", R"([{"key":-1}])", R"([{"key":"1"}])"}) {
      CHECK(merger.Add(0, {pinned, true, text}) == MergeResult::kMalformed);
    }
    CHECK(merger.Close().fraction == 0.0);
  }
  SUBCASE("rounding never makes an incomplete answer look complete") {
    AnswerMerger many = MakeMerger({.shards = 3});
    CHECK(many.Add(0, {pinned, true, "[]"}) == MergeResult::kFull);
    CHECK(many.Add(1, {pinned, true, "[]"}) == MergeResult::kFull);
    CHECK(many.Close().fraction < 1.0);
  }
}

TEST_CASE("coverage that callers see") {
  SimFront front;
  SUBCASE("states a silent shard as missing at the deadline") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      if (call.shard != ShardId("s1")) {
        front.ReplyIn(milliseconds(5), batch, front.Good(batch, call));
      }
    };
    const std::uint64_t ticket = front.Ask("a", milliseconds(200));
    front.Run(milliseconds(200));
    REQUIRE(front.Answered(ticket));
    CHECK(front.replies.at(ticket).latency <= milliseconds(200));
    CHECK(front.FractionOf(ticket) == doctest::Approx(0.75));
    const auto shard = front.BodyOf(ticket).at("coverage").at("shards").as_array()[1];
    CHECK(shard.at("state").as_string() == "missing");
    CHECK(shard.at("reason").as_string() == "deadline");
  }
  SUBCASE("a late answer after the final one changes nothing and is counted") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      const bool late = call.shard == ShardId("s1");
      front.ReplyIn(milliseconds(late ? 300 : 5), batch, front.Good(batch, call));
    };
    const std::uint64_t ticket = front.Ask("a", milliseconds(200));
    front.Run(milliseconds(200));
    const std::string before = front.AnswerOf(ticket).body;
    front.Run(milliseconds(1000));
    CHECK(front.AnswerOf(ticket).body == before);
    CHECK(front.reply_counts[ticket] == 1);
    CHECK(front.core.counters().late_replies >= 1);
  }
  SUBCASE("slots that change their owner cost no coverage") {
    // Guards against partial answers during a planned stop, seen as "not_owner" in a rolling stop.
    const TimePoint moved = front.now + milliseconds(150);
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ReplyIn(milliseconds(2), batch,
                    front.now < moved
                        ? SimFront::Failed(call, wire::Outcome::NOT_OWNER, Verdict::kNotRun)
                        : front.Good(batch, call));
    };
    const std::uint64_t ticket = front.Ask("a", milliseconds(1000));
    front.Run(milliseconds(1000));
    CHECK(front.FractionOf(ticket) == 1.0);
    CHECK(front.replies.at(ticket).latency < milliseconds(250));
    // A query that finds no owner for long is answered with half of its time left.
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ReplyIn(milliseconds(2), batch,
                    SimFront::Failed(call, wire::Outcome::NOT_OWNER, Verdict::kNotRun));
    };
    const std::uint64_t refused = front.Ask("a", milliseconds(400));
    front.Run(milliseconds(210));
    REQUIRE(front.Answered(refused));
    CHECK(front.AnswerOf(refused).verdict == Verdict::kNotRun);
  }
  SUBCASE("a data centre that is out is missing only if it holds the only replica") {
    ControlView view = testing::MakeView({});
    auto table = std::make_shared<Table>();
    table->generation = 2;
    table->rows.push_back(testing::MakeRow("dc-0", RowState::kOut));
    view.table = table;
    front.SetView(view);
    const std::uint64_t ticket = front.Ask("a");
    front.Run(milliseconds(600));
    CHECK(front.FractionOf(ticket) == 1.0);
    for (const SendBatch& batch : front.batches) {
      for (const LeafCall& call : batch.calls) {
        CHECK(call.leaf.value.back() == '1');
      }
    }
    auto both = std::make_shared<Table>(*table);
    both->rows.push_back(testing::MakeRow("dc-1", RowState::kOut));
    view.table = both;
    front.SetView(view);
    const std::size_t sent = front.batches.size();
    const std::uint64_t refused = front.Ask("a");
    front.Run(milliseconds(600));
    CHECK(front.AnswerOf(refused).status == 503);
    CHECK(front.AnswerOf(refused).verdict == Verdict::kNotRun);
    CHECK(front.batches.size() == sent);
  }
}

}  // namespace ibishold
