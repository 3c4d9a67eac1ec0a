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
  options.hedge_quantile =
      0.8;  // below the 90 % of fast answers, so that the slow 10 % want a hedge
  SimFront front(options);
  Random random(5);
  SUBCASE("hedges are at most 4 % of leaf requests, and the slower attempts are cancelled") {
    // Guards against hedges that double the load of a slow service.
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      const bool slow = random.NextBelow(10) == 0;
      front.ReplyIn(milliseconds(slow ? 120 : 4), batch, front.Good(batch, call));
    };
    constexpr int kQueries = 2000;
    std::vector<std::uint64_t> tickets;
    for (int i = 0; i < kQueries; ++i) {
      tickets.push_back(front.Ask("a"));
      front.Run(milliseconds(10));
    }
    front.Run(milliseconds(1000));
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
  SUBCASE("retries are at most 5 % of leaf requests plus ten in advance") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ReplyIn(milliseconds(1), batch,
                    SimFront::Failed(call, wire::Outcome::FAILED, Verdict::kRan));
    };
    constexpr int kQueries = 1000;
    for (int i = 0; i < kQueries; ++i) {
      front.Ask("a");
      front.Run(milliseconds(10));
    }
    CHECK(front.core.counters().retries <= kQueries * 4 * 0.05 + 10);
    CHECK(front.core.counters().retries > kQueries * 4 * 0.04);
  }
  SUBCASE("neither is sent to a data centre that has just been taken out of service") {
    front.on_call = IgnoreCall;
    FrontOptions generous;
    generous.hedge_budget.initial = 50;
    SimFront hedging(generous);
    hedging.on_call = IgnoreCall;
    hedging.Ask("a");
    hedging.Run(milliseconds(10));
    ControlView out = testing::MakeView({});
    auto table = std::make_shared<Table>(Table{.generation = 2});
    table->rows.push_back(testing::MakeRow("dc-0", RowState::kOut));
    TableRow weightless = testing::MakeRow("dc-1");
    weightless.weight = 0;
    table->rows.push_back(weightless);
    out.table = table;
    const std::size_t sent = hedging.CallCount();
    hedging.SetView(out);
    hedging.Run(milliseconds(1000));
    CHECK(hedging.CallCount() == sent);
  }
}

}  // namespace ibishold
