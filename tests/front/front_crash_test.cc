#include <doctest/doctest.h>

#include <set>
#include <string>

#include "tests/front/sim_front.h"

namespace ibishold::testing {

namespace {

// A front whose leaves crash when they run a query with the term "crash" and answer other queries.
struct CrashingLeaves {
  SimFront front;
  std::set<std::string> crashed_runs;  // leaf and incarnation
  std::map<std::string, Incarnation> incarnations;
  std::size_t call_count = 0;

  CrashingLeaves() {
    this->front.on_call = [this](const SendBatch& batch, const LeafCall& call) {
      ++this->call_count;
      if (batch.body->find("crash") == std::string::npos) {
        this->front.ScheduleReply(milliseconds(5), batch, this->front.MakeReply(batch, call));
        return;
      }
      Incarnation& incarnation = this->incarnations.try_emplace(call.leaf.value, 100).first->second;
      LeafReply reply = SimFront::MakeFailure(call, wire::Outcome::LEAF_LOST, Verdict::kMayHaveRun);
      reply.dead_incarnation = incarnation;
      this->crashed_runs.insert(absl::StrCat(call.leaf.value, "@", incarnation));
      ++incarnation;
      this->front.ScheduleReply(milliseconds(5), batch, reply);
    };
  }
};

}  // namespace

TEST_CASE("a query that crashes every leaf that runs it") {
  CrashingLeaves leaves;
  SimFront& front = leaves.front;
  const std::size_t shard_count = front.view->topology->Find(ServiceName("stock"))->shards.size();

  const std::uint64_t first_ticket = front.SendQuery("crash");
  front.Advance(milliseconds(600));
  REQUIRE(front.IsAnswered(first_ticket));

  SUBCASE("crashes the leaves of one fan-out and one more leaf, not all replicas") {
    // Guards against retries that send the query to the other replica of every shard.
    CHECK(leaves.crashed_runs.size() <= shard_count + 1);
  }

  SUBCASE("is refused after two crashed canary runs, however often its caller repeats it") {
    for (int i = 0; i < 50; ++i) {
      front.SendQuery("crash");
      front.Advance(std::chrono::seconds(12));
    }
    // Upper bound by design: the leaves of one fan-out and one leaf for each of two canary runs.
    CHECK(leaves.crashed_runs.size() <= shard_count + 2);

    SUBCASE("the refusal is immediate and states that the query did not run and when to retry") {
      const std::size_t calls_before = leaves.call_count;
      const std::uint64_t refused_ticket = front.SendQuery("crash");
      REQUIRE(front.IsAnswered(refused_ticket));
      CHECK(front.GetAnswer(refused_ticket).status == 503);
      CHECK(front.GetBody(refused_ticket).at("verdict").as_string() == "not_run");
      CHECK(front.GetBody(refused_ticket).at("retry_after_ms").to_number<int>() > 0);
      CHECK(leaves.call_count == calls_before);
    }
  }

  SUBCASE("another query runs on a canary leaf first and is then answered with full coverage") {
    const std::size_t calls_before = leaves.call_count;
    const std::uint64_t other_ticket = front.SendQuery("tray");
    CHECK(leaves.call_count == calls_before + 1);
    front.Advance(milliseconds(600));
    CHECK(front.GetCoverage(other_ticket) == doctest::Approx(1.0));
  }

  SUBCASE("a harmless query that was in flight at a crash is cleared by its canary run") {
    front.core.OnQuarantineReport(
        {.fingerprint = ComputeFingerprint(ServiceName("stock"), "{\"term\":\"tray\"}"),
         .crash_age = milliseconds(10)},
        front.now);
    const std::uint64_t canary_ticket = front.SendQuery("tray");
    front.Advance(milliseconds(600));
    CHECK(front.GetCoverage(canary_ticket) == doctest::Approx(1.0));
    const std::size_t calls_before = leaves.call_count;
    const std::uint64_t repeated_ticket = front.SendQuery("tray");
    CHECK(leaves.call_count == calls_before + shard_count);
    front.Advance(milliseconds(600));
    CHECK(front.GetCoverage(repeated_ticket) == doctest::Approx(1.0));
  }
}

}  // namespace ibishold::testing
