#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include "tests/front/sim_front.h"

namespace ibishold {

using std::chrono::milliseconds;
using testing::SimFront;

namespace {

void IgnoreCall(const SendBatch&, const LeafCall&) {}

}  // namespace

TEST_CASE("hedges and retries stay within their budgets") {
  FrontOptions options;
  // Below the 90 % share of fast replies, so that the slow 10 % trigger hedges.
  options.hedge_quantile = 0.8;
  SimFront front(options);
  Random random(5);
  SUBCASE("hedges are at most 4 % of leaf requests, and the slower of two attempts is cancelled") {
    // Guards against hedges that double the load of a slow service.
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      const bool is_slow = random.NextBelow(10) == 0;
      front.ScheduleReply(milliseconds(is_slow ? 120 : 4), batch, front.MakeReply(batch, call));
    };
    constexpr int kQueries = 2000;
    std::vector<std::uint64_t> tickets;
    for (int i = 0; i < kQueries; ++i) {
      tickets.push_back(front.SendQuery("a"));
      front.Advance(milliseconds(10));
    }
    front.Advance(milliseconds(1000));
    const FrontCounters& counters = front.core.counters();
    CHECK(counters.hedges <= kQueries * 4 * 0.04);
    CHECK(counters.hedges > kQueries * 4 * 0.03);
    CHECK(counters.hedge_wins > counters.hedges / 2);
    CHECK(counters.cancels >= counters.hedge_wins);
    CHECK(counters.answers_full == kQueries);
    for (const SendBatch& batch : front.batches) {
      for (const LeafCall& call : batch.calls) {
        if (call.hedge) {
          CHECK(batch.calls.size() == 1);
        }
      }
    }
  }
  SUBCASE("retries are at most 5 % of leaf requests plus an initial credit of 10") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ScheduleReply(milliseconds(1), batch,
                          SimFront::MakeFailure(call, wire::Outcome::FAILED, Verdict::kRan));
    };
    constexpr int kQueries = 1000;
    for (int i = 0; i < kQueries; ++i) {
      front.SendQuery("a");
      front.Advance(milliseconds(10));
    }
    CHECK(front.core.counters().retries <= kQueries * 4 * 0.05 + 10);
    CHECK(front.core.counters().retries > kQueries * 4 * 0.04);
  }
  SUBCASE("hedges are not sent to a data centre that was just taken out of service") {
    front.on_call = IgnoreCall;
    FrontOptions hedging_options;
    hedging_options.hedge_budget.initial = 50;
    SimFront hedging_front(hedging_options);
    hedging_front.on_call = IgnoreCall;
    hedging_front.SendQuery("a");
    hedging_front.Advance(milliseconds(10));
    ControlView new_view = testing::MakeView({});
    auto table = std::make_shared<Table>(Table{.generation = 2});
    table->rows.push_back(testing::MakeRow("dc-0", RowState::kOut));
    TableRow zero_weight_row = testing::MakeRow("dc-1");
    zero_weight_row.weight = 0;
    table->rows.push_back(zero_weight_row);
    new_view.table = table;
    const std::size_t calls_before = hedging_front.CountCalls();
    hedging_front.SetView(new_view);
    hedging_front.Advance(milliseconds(1000));
    CHECK(hedging_front.CountCalls() == calls_before);
  }
}

}  // namespace ibishold
