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

// Returns a view whose limits are too high for admission control to refuse requests of this test.
ControlView MakeUnlimitedView() {
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

// Guards against an answer that reaches the wrong caller or merges leaf replies of several
// requests, while thousands of leaf replies are delayed, reordered, duplicated or lost.
TEST_CASE("each of 1,000 concurrent callers receives its own complete answer exactly once") {
  for (const std::uint64_t seed : {1ULL, 2ULL, 3ULL}) {
    CAPTURE(seed);
    Random random(seed);
    FrontOptions options;
    options.seed = seed;
    // Large budgets, so that a hedge or retry can replace every lost reply.
    options.hedge_budget = {.share = 1, .initial = 100000, .maximum = 100000};
    options.retry_budget = {.share = 1, .initial = 100000, .maximum = 100000};
    options.default_hedge_delay = milliseconds(20);
    SimFront front(options);
    front.SetView(MakeUnlimitedView());
    // At most one reply per query and shard is lost.
    std::set<std::pair<std::string, std::string>> lost_replies;
    std::vector<std::pair<SendBatch, LeafReply>> sent_replies;
    std::size_t duplicate_count = 0;
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      const LeafReply reply = front.MakeReply(batch, call);
      const std::uint64_t percent = random.NextBelow(100);
      if (percent < 5 && lost_replies.emplace(batch.request_id, call.shard.value).second) {
        return;  // the reply is lost
      }
      const Duration delay = microseconds(random.NextBelow(15000));
      if (percent < 10) {
        // Arrives after the hedge was sent.
        front.ScheduleReply(delay + milliseconds(40), batch, reply);
      } else {
        front.ScheduleReply(delay, batch, reply);
      }
      if (percent > 80) {
        ++duplicate_count;
        front.ScheduleReply(delay + microseconds(random.NextBelow(30000)), batch, reply);
      }
      if (!sent_replies.empty() && percent > 95) {
        // A random earlier reply from a random broker.
        front.ScheduleReply(delay, sent_replies[random.NextBelow(sent_replies.size())].first,
                            sent_replies[random.NextBelow(sent_replies.size())].second);
      }
      sent_replies.emplace_back(batch, reply);
    };

    std::map<std::uint64_t, std::string> term_by_ticket;
    std::set<std::uint64_t> abandoned_tickets;
    for (int i = 0; i < 1000; ++i) {
      const std::string term = absl::StrCat("term-", i);
      const std::uint64_t ticket = front.SendQuery(term, milliseconds(2000));
      term_by_ticket[ticket] = term;
      if (i % 50 == 7) {
        front.core.OnRequestAbandoned(ticket, front.now);
        abandoned_tickets.insert(ticket);
      }
      if (i % 10 == 0) {
        front.Advance(microseconds(200));
      }
    }
    CHECK(front.core.requests_in_progress() > 500);
    front.Advance(std::chrono::seconds(10));

    CHECK(duplicate_count > 100);
    CHECK(lost_replies.size() > 100);
    for (const auto& [ticket, term] : term_by_ticket) {
      CAPTURE(term);
      if (abandoned_tickets.contains(ticket)) {
        CHECK_FALSE(front.IsAnswered(ticket));
        continue;
      }
      REQUIRE(front.IsAnswered(ticket));
      REQUIRE(front.reply_counts[ticket] == 1);
      const auto body = front.GetBody(ticket);
      REQUIRE(front.GetAnswer(ticket).status == 200);
      REQUIRE(body.at("request_id").as_string() == absl::StrCat("r-", ticket));
      REQUIRE(body.at("coverage").at("fraction").to_number<double>() == 1.0);
      const auto& records = body.at("records").as_array();
      REQUIRE(records.size() == 8);
      for (const auto& record : records) {
        REQUIRE(record.at("value").at("term").as_string() == term);
      }
    }
    CHECK(front.core.requests_in_progress() == 0);
    CHECK(front.core.attempts_outstanding() == 0);  // guards against leaked attempts
  }
}

// Guards against merging a reply from a broker to which the attempt was not sent.
TEST_CASE("a reply is accepted only from the broker of its attempt") {
  SimFront front;
  front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
    SendBatch batch_of_other_broker = batch;
    batch_of_other_broker.broker = VmId(batch.broker == VmId("vm-0") ? "vm-1" : "vm-0");
    front.ScheduleReply(milliseconds(1), batch_of_other_broker, front.MakeReply(batch, call));
  };
  const std::uint64_t ticket = front.SendQuery("a", milliseconds(100));
  front.Advance(milliseconds(200));
  CHECK(front.GetAnswer(ticket).status == 504);
  CHECK(front.core.counters().late_replies >= 4);
}

}  // namespace ibishold
