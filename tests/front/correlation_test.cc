#include <doctest/doctest.h>

#include <boost/json.hpp>
#include <map>
#include <set>

#include "tests/front/sim_front.h"

namespace ibishold {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using testing::SimFront;

namespace {

// Limits out of the way: this test is about answers, not admission.
ControlView OpenView() {
  ControlView view = testing::MakeView({.shards = 8, .vms = 5});
  auto table = std::make_shared<Table>();
  table->generation = 2;
  for (const char* data_centre : {"dc-0", "dc-1"}) {
    TableRow row = testing::MakeRow(data_centre);
    row.max_in_flight = 100000;
    row.rate_limit = 1000000;
    table->rows.push_back(row);
  }
  view.table = table;
  return view;
}

}  // namespace

// Guards against an answer that reaches another caller, or that is put together from leaf answers
// of several requests, when thousands of leaf answers are delayed, reordered, doubled or lost.
TEST_CASE("each of 1,000 concurrent callers gets exactly its own whole answer") {
  for (const std::uint64_t seed : {1ULL, 2ULL, 3ULL}) {
    CAPTURE(seed);
    Random random(seed);
    FrontOptions options;
    options.seed = seed;
    // Lost answers are replaced by hedges and retries; here they may all be.
    options.hedge_budget = {.share = 1, .initial = 100000, .maximum = 100000};
    options.retry_budget = {.share = 1, .initial = 100000, .maximum = 100000};
    options.default_hedge_delay = milliseconds(20);
    SimFront front(options);
    front.SetView(OpenView());
    std::set<std::pair<std::string, std::string>> lost;  // one answer per query and shard at most
    std::vector<std::pair<SendBatch, LeafReply>> seen;
    std::size_t doubled = 0;
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      const LeafReply reply = front.Good(batch, call);
      const std::uint64_t dice = random.NextBelow(100);
      if (dice < 5 && lost.emplace(batch.request_id, call.shard.value).second) {
        return;  // abandoned: no answer ever
      }
      const Duration delay = microseconds(random.NextBelow(15000));
      if (dice < 10) {
        front.ReplyIn(delay + milliseconds(40), batch, reply);  // late, after the hedge
      } else {
        front.ReplyIn(delay, batch, reply);
      }
      if (dice > 80) {
        ++doubled;
        front.ReplyIn(delay + microseconds(random.NextBelow(30000)), batch, reply);
      }
      if (!seen.empty() && dice > 95) {
        front.ReplyIn(delay, seen[random.NextBelow(seen.size())].first,
                      seen[random.NextBelow(seen.size())].second);  // of any other request
      }
      seen.emplace_back(batch, reply);
    };

    std::map<std::uint64_t, std::string> terms;
    std::set<std::uint64_t> left;
    for (int i = 0; i < 1000; ++i) {
      const std::string term = absl::StrCat("term-", i);
      const std::uint64_t ticket = front.Ask(term, milliseconds(2000));
      terms[ticket] = term;
      if (i % 50 == 7) {
        front.core.OnAbandoned(ticket, front.now);
        left.insert(ticket);
      }
      if (i % 10 == 0) {
        front.Run(microseconds(200));
      }
    }
    CHECK(front.core.requests_in_progress() > 500);
    front.Run(std::chrono::seconds(10));

    CHECK(doubled > 100);
    CHECK(lost.size() > 100);
    for (const auto& [ticket, term] : terms) {
      CAPTURE(term);
      if (left.contains(ticket)) {
        CHECK_FALSE(front.Answered(ticket));
        continue;
      }
      REQUIRE(front.Answered(ticket));
      REQUIRE(front.reply_counts[ticket] == 1);
      const auto body = front.BodyOf(ticket);
      REQUIRE(front.AnswerOf(ticket).status == 200);
      REQUIRE(body.at("request_id").as_string() == absl::StrCat("r-", ticket));
      REQUIRE(body.at("coverage").at("fraction").to_number<double>() == 1.0);
      const auto& records = body.at("records").as_array();
      REQUIRE(records.size() == 8);
      for (const auto& record : records) {
        REQUIRE(record.at("value").at("term").as_string() == term);
      }
    }
    CHECK(front.core.requests_in_progress() == 0);
    CHECK(front.core.attempts_outstanding() == 0);  // guards against a leak
  }
}

// Guards against an answer that is taken from a broker that was not asked.
TEST_CASE("an answer counts only from the broker that was asked") {
  SimFront front;
  front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
    SendBatch other = batch;
    other.broker = VmId(batch.broker == VmId("vm-0") ? "vm-1" : "vm-0");
    front.ReplyIn(milliseconds(1), other, front.Good(batch, call));
  };
  const std::uint64_t ticket = front.Ask("a", milliseconds(100));
  front.Run(milliseconds(200));
  CHECK(front.AnswerOf(ticket).status == 504);
  CHECK(front.core.counters().late_replies >= 4);
}

}  // namespace ibishold
