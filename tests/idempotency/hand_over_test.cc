#include <doctest/doctest.h>

#include <string>

#include "ibishold/idempotency.h"

namespace ibishold {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kOrder = 77;  // fingerprint of the operation

const FrontRun kA{.vm = VmId("a"), .incarnation = 100};
const FrontRun kB{.vm = VmId("b"), .incarnation = 100};  // started in the same millisecond
const FrontRun kC{.vm = VmId("c"), .incarnation = 300};

const TokenResult kRan{.verdict = Verdict::kRan, .status = 200, .body = "{}"};
const TokenResult kNotRun{.verdict = Verdict::kNotRun, .status = 503};

std::vector<TokenReply> Pass(const std::vector<TokenHandOver>& parts,
                             TokenHome& to,
                             TimePoint now) {
  std::vector<TokenReply> replies;
  for (const TokenHandOver& part : parts) {
    const auto imported = to.Import(part, now);
    REQUIRE(imported.ok());
    replies.insert(replies.end(), imported->begin(), imported->end());
  }
  return replies;
}

}  // namespace

TEST_CASE("hand-over at a planned stop") {
  // The two clocks differ, as those of different machines do.
  const TimePoint now_a{minutes(5)};
  const TimePoint now_b{minutes(900)};
  TokenHome a({.self = kA});
  TokenHome b({.self = kB});
  const Token unused = a.Issue(now_a).value();
  const Token running = a.Issue(now_a).value();
  const Token finished = a.Issue(now_a).value();
  const std::uint64_t dispatch = a.Begin(running, kOrder, 1, now_a).dispatch;
  a.Finish(finished, a.Begin(finished, kOrder, 1, now_a).dispatch, kRan, now_a);

  const auto parts = a.Export(kB, now_a).value();
  SUBCASE("the old home dispatches nothing any more") {
    // Guards against both sides of a partition dispatching the same token.
    const TokenDecision decision = a.Begin(unused, kOrder, 1, now_a);
    CHECK(decision.action == TokenAction::kForward);
    CHECK(decision.forward_to == kB.vm);
    CHECK(a.Begin(running, kOrder, 9, now_a).action == TokenAction::kJoin);
    CHECK(a.Begin(finished, kOrder, 1, now_a).action == TokenAction::kReplay);
    CHECK_FALSE(a.Issue(now_a).ok());
    a.Finish(running, dispatch, kNotRun, now_a);
    CHECK(a.Begin(running, kOrder, 1, now_a).action == TokenAction::kForward);
  }
  SUBCASE("partition during the hand-over: neither side dispatches") {
    CHECK(b.Begin(unused, kOrder, 1, now_b).action == TokenAction::kForward);
    CHECK(a.Begin(unused, kOrder, 1, now_a).action == TokenAction::kForward);
    SUBCASE("and no second successor can be named") {
      // Guards against two successors of which each dispatches.
      CHECK_FALSE(a.Export(kC, now_a).ok());
      CHECK_FALSE(a.Export({.vm = kB.vm, .incarnation = 101}, now_a).ok());
      CHECK(a.Export(kB, now_a).ok());
    }
  }
  SUBCASE("the successor continues") {
    Pass(parts, b, now_b);
    CHECK(b.InheritedRuns() == std::vector<FrontRun>{kA});
    CHECK(b.Begin(finished, kOrder, 1, now_b).action == TokenAction::kReplay);
    const TokenDecision taken = b.Begin(unused, kOrder, 1, now_b);
    REQUIRE(taken.action == TokenAction::kDispatch);
    CHECK(b.Begin(running, kOrder, 5, now_b).action == TokenAction::kJoin);

    SUBCASE("the result of the request that ran at the old home arrives") {
      CHECK(a.Finish(running, dispatch, kRan, now_a).empty());
      const auto replies = Pass(a.ExportResults(now_a), b, now_b);
      REQUIRE(replies.size() == 1);
      CHECK(replies[0].waiter == 5);
      CHECK(replies[0].result == kRan);
      CHECK(a.ExportResults(now_a).empty());
    }
    SUBCASE("the old home stops without a result: may_have_run, never a second run") {
      // Guards against treating a running request of a stopped process as free.
      const auto replies = b.SenderStopped(kA, now_b);
      REQUIRE(replies.size() == 1);
      CHECK(replies[0].result.verdict == Verdict::kMayHaveRun);
      const TokenDecision resend = b.Begin(running, kOrder, 6, now_b);
      CHECK(resend.action == TokenAction::kReplay);
      CHECK(resend.result.verdict == Verdict::kMayHaveRun);
    }
    SUBCASE("not_run of the old home frees the token once") {
      a.Finish(running, dispatch, kNotRun, now_a);
      const auto results = a.ExportResults(now_a);
      CHECK(Pass(results, b, now_b).size() == 1);
      REQUIRE(b.Begin(running, kOrder, 6, now_b).action == TokenAction::kDispatch);
      // Guards against a repeated message that frees the successor's own dispatch.
      Pass(results, b, now_b);
      Pass(parts, b, now_b);
      b.SenderStopped(kA, now_b);
      CHECK(b.Begin(running, kOrder, 7, now_b).action == TokenAction::kJoin);
    }
    SUBCASE("tokens expire at the successor by the home's clock") {
      // Guards against reading the home's clock as the successor's: a record would be dropped while
      // its token still looks valid, or the other way round.
      b.Finish(unused, taken.dispatch, kRan, now_b);
      CHECK(b.Begin(unused, kOrder, 1, now_b + minutes(9)).action == TokenAction::kReplay);
      CHECK(b.Begin(unused, kOrder, 1, now_b + minutes(10)).action == TokenAction::kExpired);
    }
    SUBCASE("the successor dies: its next run refuses a repeated hand-over") {
      // Guards against dispatching again what the dead run had dispatched.
      const FrontRun next_run{.vm = kB.vm, .incarnation = 500};
      TokenHome next({.self = next_run});
      CHECK_FALSE(next.Import(parts[0], now_b).ok());
      next.LearnSuccessor(kA, kB.vm, 1, now_b);
      CHECK(next.Begin(unused, kOrder, 1, now_b).action == TokenAction::kUnknownRun);
    }
    SUBCASE("the successor hands over in turn, with the running request") {
      TokenHome c({.self = kC});
      const TimePoint now_c{seconds(1)};
      const auto second = b.Export(kC, now_b + minutes(1)).value();
      Pass(second, c, now_c);
      CHECK(c.InheritedRuns().size() == 2);
      CHECK(b.Begin(unused, kOrder, 8, now_b).action == TokenAction::kJoin);
      CHECK(c.Begin(unused, kOrder, 8, now_c).action == TokenAction::kJoin);
      CHECK(c.Begin(running, kOrder, 8, now_c).action == TokenAction::kJoin);
      CHECK(c.Begin(finished, kOrder, 8, now_c).action == TokenAction::kReplay);
      SUBCASE("results travel along the chain") {
        a.Finish(running, dispatch, kRan, now_a);
        Pass(a.ExportResults(now_a), b, now_b);
        b.Finish(unused, taken.dispatch, kRan, now_b);
        CHECK(Pass(b.ExportResults(now_b), c, now_c).size() == 2);
        CHECK(c.Begin(running, kOrder, 9, now_c).action == TokenAction::kReplay);
      }
      SUBCASE("a repeated first hand-over reaches nobody who would dispatch") {
        Pass(a.Export(kB, now_a).value(), b, now_b);
        CHECK_FALSE(c.Import(parts[0], now_c).ok());
        CHECK(b.Begin(unused, kOrder, 8, now_b).action == TokenAction::kJoin);
      }
      SUBCASE("the expiry holds through the chain") {
        CHECK(c.Begin(finished, kOrder, 9, now_c + minutes(9) - milliseconds(1)).action ==
              TokenAction::kReplay);
        CHECK(c.Begin(finished, kOrder, 9, now_c + minutes(9)).action == TokenAction::kExpired);
      }
    }
  }
  SUBCASE("fronts that know the successor forward to it, the newest report wins") {
    TokenHome front({.self = {.vm = VmId("d"), .incarnation = 400}});
    front.LearnSuccessor(kA, kC.vm, 2, now_a);
    front.LearnSuccessor(kA, kB.vm, 1, now_a);
    CHECK(front.Begin(unused, kOrder, 1, now_a).forward_to == kC.vm);
  }
}

TEST_CASE("a hand-over in several parts") {
  const TimePoint now{minutes(5)};
  TokenHome a({.self = kA, .part_limit = 200});
  TokenHome b({.self = kB});
  const Token unused = a.Issue(now).value();
  std::vector<Token> tokens;
  for (int i = 0; i < 20; ++i) {
    tokens.push_back(a.Issue(now).value());
    a.Finish(tokens.back(), a.Begin(tokens.back(), kOrder, 1, now).dispatch, kRan, now);
  }
  const auto parts = a.Export(kB, now).value();
  REQUIRE(parts.size() > 3);

  SUBCASE("nothing is dispatched until every part has arrived") {
    // Guards against a link that lost an early part: its records would run a second time.
    for (std::size_t i = 1; i < parts.size(); ++i) {
      CHECK(b.Import(parts[i], now).ok());
      CHECK(b.Begin(unused, kOrder, 1, now).action == TokenAction::kUnknownRun);
      CHECK(b.Begin(tokens[0], kOrder, 1, now).action != TokenAction::kDispatch);
    }
    CHECK(b.Import(parts[0], now).ok());
    CHECK(b.Begin(unused, kOrder, 1, now).action == TokenAction::kDispatch);
  }
  SUBCASE("parts of two exports do not add up") {
    // Guards against records that lie in different parts of two exports and so arrive in neither.
    for (std::size_t i = 0; i < parts.size(); ++i) {
      TokenHandOver part = parts[i];
      part.attempt = i == 0 ? 1 : 2;
      CHECK(b.Import(part, now).ok());
    }
    CHECK(b.Begin(unused, kOrder, 1, now).action == TokenAction::kUnknownRun);
    CHECK(a.Export(kB, now).ok());
    Pass(a.Export(kB, now).value(), b, now);
    CHECK(b.Begin(unused, kOrder, 1, now).action == TokenAction::kDispatch);
  }
  SUBCASE("a front that has handed over itself accepts no tokens") {
    // Guards against a home that believes its tokens are served while the successor stops.
    CHECK(b.Export(kC, now).ok());
    CHECK_FALSE(b.Import(parts[0], now).ok());
  }
  SUBCASE("a successor without room never dispatches for the run") {
    TokenHome small({.self = kB, .table_limit = 10});
    bool refused = false;
    for (const TokenHandOver& part : parts) {
      refused = refused || !small.Import(part, now).ok();
    }
    CHECK(refused);
    CHECK(small.Begin(unused, kOrder, 1, now).action == TokenAction::kUnknownRun);
  }
}

}  // namespace ibishold
