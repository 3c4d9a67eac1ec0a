#include <doctest/doctest.h>

#include <set>
#include <string>

#include "tests/front/sim_front.h"

namespace ibishold::testing {

namespace {

// A front whose leaves crash when they run a query with the term "crash" and answer other queries.
struct CrashingLeaves {
  SimFront front;
  std::set<std::string> crashed;  // leaf and incarnation
  std::map<std::string, Incarnation> incarnation;
  std::size_t calls = 0;

  CrashingLeaves() {
    this->front.on_call = [this](const SendBatch& batch, const LeafCall& call) {
      ++this->calls;
      if (batch.body->find("crash") == std::string::npos) {
        this->front.ReplyIn(milliseconds(5), batch, this->front.Good(batch, call));
        return;
      }
      Incarnation& run = this->incarnation.try_emplace(call.leaf.value, 100).first->second;
      LeafReply reply = SimFront::Failed(call, wire::Outcome::LEAF_LOST, Verdict::kMayHaveRun);
      reply.dead_incarnation = run;
      this->crashed.insert(absl::StrCat(call.leaf.value, "@", run));
      ++run;
      this->front.ReplyIn(milliseconds(5), batch, reply);
    };
  }
};

}  // namespace

TEST_CASE("a query that crashes every leaf that runs it") {
  CrashingLeaves leaves;
  SimFront& front = leaves.front;
  const std::size_t shards = front.view->topology->Find(ServiceName("stock"))->shards.size();

  const std::uint64_t first = front.Ask("crash");
  front.Run(milliseconds(600));
  REQUIRE(front.Answered(first));

  SUBCASE("crashes the leaves of one fan-out and one more leaf, not all replicas") {
    // Guards against retries that send the query to the other replica of every shard.
    CHECK(leaves.crashed.size() <= shards + 1);
  }

  SUBCASE("is refused after two crashed canary runs, however often its caller repeats it") {
    for (int i = 0; i < 50; ++i) {
      front.Ask("crash");
      front.Run(std::chrono::seconds(12));
    }
    // Upper bound by design: the leaves of one fan-out and one leaf for each of two canary runs.
    CHECK(leaves.crashed.size() <= shards + 2);

    SUBCASE("the refusal is immediate and states that the query did not run and when to retry") {
      const std::size_t calls = leaves.calls;
      const std::uint64_t refused = front.Ask("crash");
      REQUIRE(front.Answered(refused));
      CHECK(front.AnswerOf(refused).status == 503);
      CHECK(front.BodyOf(refused).at("verdict").as_string() == "not_run");
      CHECK(front.BodyOf(refused).at("retry_after_ms").to_number<int>() > 0);
      CHECK(leaves.calls == calls);
    }
  }

  SUBCASE("another query runs on a canary leaf first and is then answered with full coverage") {
    const std::size_t calls = leaves.calls;
    const std::uint64_t innocent = front.Ask("tray");
    CHECK(leaves.calls == calls + 1);
    front.Run(milliseconds(600));
    CHECK(front.FractionOf(innocent) == doctest::Approx(1.0));
  }

  SUBCASE("a harmless query that was in flight at a crash is cleared by its canary run") {
    front.core.OnQuarantineReport(
        {.fingerprint = Fingerprint(ServiceName("stock"), "{\"term\":\"tray\"}"),
         .crash_age = milliseconds(10)},
        front.now);
    const std::uint64_t alone = front.Ask("tray");
    front.Run(milliseconds(600));
    CHECK(front.FractionOf(alone) == doctest::Approx(1.0));
    const std::size_t calls = leaves.calls;
    const std::uint64_t again = front.Ask("tray");
    CHECK(leaves.calls == calls + shards);
    front.Run(milliseconds(600));
    CHECK(front.FractionOf(again) == doctest::Approx(1.0));
  }
}

}  // namespace ibishold::testing
