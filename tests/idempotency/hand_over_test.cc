#include <doctest/doctest.h>

#include <string>

#include "ibishold/idempotency.h"

namespace ibishold {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kOrderFingerprint = 77;

const FrontRun kRunA{.vm = VmId("a"), .incarnation = 100};
const FrontRun kRunB{.vm = VmId("b"), .incarnation = 100};  // same start time as kRunA
const FrontRun kRunC{.vm = VmId("c"), .incarnation = 300};

const TokenResult kRanResult{.verdict = Verdict::kRan, .status = 200, .body = "{}"};
const TokenResult kNotRunResult{.verdict = Verdict::kNotRun, .status = 503};

std::vector<TokenReply> ImportParts(const std::vector<TokenHandOver>& parts,
                                    TokenHome& receiver,
                                    TimePoint now) {
  std::vector<TokenReply> replies;
  for (const TokenHandOver& part : parts) {
    const auto import_replies = receiver.Import(part, now);
    REQUIRE(import_replies.ok());
    replies.insert(replies.end(), import_replies->begin(), import_replies->end());
  }
  return replies;
}

}  // namespace

TEST_CASE("a home hands its tokens over at a planned stop") {
  // Different machines have different boot clocks.
  const TimePoint now_a{minutes(5)};
  const TimePoint now_b{minutes(900)};
  TokenHome home_a({.self = kRunA});
  TokenHome home_b({.self = kRunB});
  const Token unused_token = home_a.Issue(now_a).value();
  const Token running_token = home_a.Issue(now_a).value();
  const Token finished_token = home_a.Issue(now_a).value();
  const std::uint64_t dispatch_id =
      home_a.Begin(running_token, kOrderFingerprint, 1, now_a).dispatch_id;
  home_a.Finish(finished_token,
                home_a.Begin(finished_token, kOrderFingerprint, 1, now_a).dispatch_id, kRanResult,
                now_a);

  const auto parts = home_a.Export(kRunB, now_a).value();
  SUBCASE("the old home dispatches nothing after the export") {
    // Guards against a dispatch of one token on both sides of a network partition.
    const TokenDecision decision = home_a.Begin(unused_token, kOrderFingerprint, 1, now_a);
    CHECK(decision.action == TokenAction::kForward);
    CHECK(decision.forward_to == kRunB.vm);
    CHECK(home_a.Begin(running_token, kOrderFingerprint, 9, now_a).action == TokenAction::kJoin);
    CHECK(home_a.Begin(finished_token, kOrderFingerprint, 1, now_a).action == TokenAction::kReplay);
    CHECK_FALSE(home_a.Issue(now_a).ok());
    home_a.Finish(running_token, dispatch_id, kNotRunResult, now_a);
    CHECK(home_a.Begin(running_token, kOrderFingerprint, 1, now_a).action == TokenAction::kForward);
  }
  SUBCASE("neither side dispatches if a partition interrupts the hand-over") {
    CHECK(home_b.Begin(unused_token, kOrderFingerprint, 1, now_b).action == TokenAction::kForward);
    CHECK(home_a.Begin(unused_token, kOrderFingerprint, 1, now_a).action == TokenAction::kForward);
    SUBCASE("a second successor is rejected") {
      // Guards against two successors that both dispatch a token.
      CHECK_FALSE(home_a.Export(kRunC, now_a).ok());
      CHECK_FALSE(home_a.Export({.vm = kRunB.vm, .incarnation = 101}, now_a).ok());
      CHECK(home_a.Export(kRunB, now_a).ok());
    }
  }
  SUBCASE("the successor dispatches after it has received all parts") {
    ImportParts(parts, home_b, now_b);
    CHECK(home_b.CollectInheritedRuns() == std::vector<FrontRun>{kRunA});
    CHECK(home_b.Begin(finished_token, kOrderFingerprint, 1, now_b).action == TokenAction::kReplay);
    const TokenDecision unused_decision = home_b.Begin(unused_token, kOrderFingerprint, 1, now_b);
    REQUIRE(unused_decision.action == TokenAction::kDispatch);
    CHECK(home_b.Begin(running_token, kOrderFingerprint, 5, now_b).action == TokenAction::kJoin);

    SUBCASE("a late result of the old home answers the joined caller at the successor") {
      CHECK(home_a.Finish(running_token, dispatch_id, kRanResult, now_a).empty());
      const auto replies = ImportParts(home_a.ExportLateResults(now_a), home_b, now_b);
      REQUIRE(replies.size() == 1);
      CHECK(replies[0].waiter_id == 5);
      CHECK(replies[0].result == kRanResult);
      CHECK(home_a.ExportLateResults(now_a).empty());
    }
    SUBCASE("a running request gets may_have_run if the old home stops without a result") {
      // Guards against a second dispatch of a request that a stopped process was running.
      const auto replies = home_b.OnSenderStopped(kRunA, now_b);
      REQUIRE(replies.size() == 1);
      CHECK(replies[0].result.verdict == Verdict::kMayHaveRun);
      const TokenDecision resend_decision =
          home_b.Begin(running_token, kOrderFingerprint, 6, now_b);
      CHECK(resend_decision.action == TokenAction::kReplay);
      CHECK(resend_decision.result.verdict == Verdict::kMayHaveRun);
    }
    SUBCASE("a late not_run of the old home permits one dispatch") {
      home_a.Finish(running_token, dispatch_id, kNotRunResult, now_a);
      const auto late_results = home_a.ExportLateResults(now_a);
      CHECK(ImportParts(late_results, home_b, now_b).size() == 1);
      REQUIRE(home_b.Begin(running_token, kOrderFingerprint, 6, now_b).action ==
              TokenAction::kDispatch);
      // Guards against a repeated message that permits a second dispatch by the successor.
      ImportParts(late_results, home_b, now_b);
      ImportParts(parts, home_b, now_b);
      home_b.OnSenderStopped(kRunA, now_b);
      CHECK(home_b.Begin(running_token, kOrderFingerprint, 7, now_b).action == TokenAction::kJoin);
    }
    SUBCASE("tokens expire at the successor by the home's clock") {
      // Guards against interpreting the expiry by the successor's clock: the record could be
      // dropped while its token still seems valid, or kept after the token has expired.
      home_b.Finish(unused_token, unused_decision.dispatch_id, kRanResult, now_b);
      CHECK(home_b.Begin(unused_token, kOrderFingerprint, 1, now_b + minutes(9)).action ==
            TokenAction::kReplay);
      CHECK(home_b.Begin(unused_token, kOrderFingerprint, 1, now_b + minutes(10)).action ==
            TokenAction::kExpired);
    }
    SUBCASE("a restarted successor rejects a repeated hand-over") {
      // Guards against a second dispatch of requests that the crashed run had dispatched.
      const FrontRun next_run{.vm = kRunB.vm, .incarnation = 500};
      TokenHome next_home({.self = next_run});
      CHECK_FALSE(next_home.Import(parts[0], now_b).ok());
      next_home.RecordSuccessor(kRunA, kRunB.vm, 1, now_b);
      CHECK(next_home.Begin(unused_token, kOrderFingerprint, 1, now_b).action ==
            TokenAction::kUnknownRun);
    }
    SUBCASE("the successor hands all tokens over to a second successor") {
      TokenHome home_c({.self = kRunC});
      const TimePoint now_c{seconds(1)};
      const auto second_parts = home_b.Export(kRunC, now_b + minutes(1)).value();
      ImportParts(second_parts, home_c, now_c);
      CHECK(home_c.CollectInheritedRuns().size() == 2);
      CHECK(home_b.Begin(unused_token, kOrderFingerprint, 8, now_b).action == TokenAction::kJoin);
      CHECK(home_c.Begin(unused_token, kOrderFingerprint, 8, now_c).action == TokenAction::kJoin);
      CHECK(home_c.Begin(running_token, kOrderFingerprint, 8, now_c).action == TokenAction::kJoin);
      CHECK(home_c.Begin(finished_token, kOrderFingerprint, 8, now_c).action ==
            TokenAction::kReplay);
      SUBCASE("late results are passed on to the second successor") {
        home_a.Finish(running_token, dispatch_id, kRanResult, now_a);
        ImportParts(home_a.ExportLateResults(now_a), home_b, now_b);
        home_b.Finish(unused_token, unused_decision.dispatch_id, kRanResult, now_b);
        CHECK(ImportParts(home_b.ExportLateResults(now_b), home_c, now_c).size() == 2);
        CHECK(home_c.Begin(running_token, kOrderFingerprint, 9, now_c).action ==
              TokenAction::kReplay);
      }
      SUBCASE("repeating the first hand-over causes no dispatch") {
        ImportParts(home_a.Export(kRunB, now_a).value(), home_b, now_b);
        CHECK_FALSE(home_c.Import(parts[0], now_c).ok());
        CHECK(home_b.Begin(unused_token, kOrderFingerprint, 8, now_b).action == TokenAction::kJoin);
      }
      SUBCASE("the expiry is unchanged at the second successor") {
        CHECK(
            home_c.Begin(finished_token, kOrderFingerprint, 9, now_c + minutes(9) - milliseconds(1))
                .action == TokenAction::kReplay);
        CHECK(home_c.Begin(finished_token, kOrderFingerprint, 9, now_c + minutes(9)).action ==
              TokenAction::kExpired);
      }
    }
  }
  SUBCASE("other fronts forward to the successor with the highest hop count") {
    TokenHome front_d({.self = {.vm = VmId("d"), .incarnation = 400}});
    front_d.RecordSuccessor(kRunA, kRunC.vm, 2, now_a);
    front_d.RecordSuccessor(kRunA, kRunB.vm, 1, now_a);
    CHECK(front_d.Begin(unused_token, kOrderFingerprint, 1, now_a).forward_to == kRunC.vm);
  }
}

TEST_CASE("a hand-over consists of several parts") {
  const TimePoint now{minutes(5)};
  TokenHome home_a({.self = kRunA, .part_bytes_limit = 200});
  TokenHome home_b({.self = kRunB});
  const Token unused_token = home_a.Issue(now).value();
  std::vector<Token> tokens;
  for (int i = 0; i < 20; ++i) {
    tokens.push_back(home_a.Issue(now).value());
    home_a.Finish(tokens.back(), home_a.Begin(tokens.back(), kOrderFingerprint, 1, now).dispatch_id,
                  kRanResult, now);
  }
  const auto parts = home_a.Export(kRunB, now).value();
  REQUIRE(parts.size() > 3);

  SUBCASE("nothing is dispatched until every part has arrived") {
    // Guards against a second dispatch of tokens whose records were in a lost part.
    for (std::size_t i = 1; i < parts.size(); ++i) {
      CHECK(home_b.Import(parts[i], now).ok());
      CHECK(home_b.Begin(unused_token, kOrderFingerprint, 1, now).action ==
            TokenAction::kUnknownRun);
      CHECK(home_b.Begin(tokens[0], kOrderFingerprint, 1, now).action != TokenAction::kDispatch);
    }
    CHECK(home_b.Import(parts[0], now).ok());
    CHECK(home_b.Begin(unused_token, kOrderFingerprint, 1, now).action == TokenAction::kDispatch);
  }
  SUBCASE("parts of two exports do not complete a hand-over") {
    // Two exports may distribute the records differently over their parts. Guards against a missing
    // record when parts of both are combined.
    for (std::size_t i = 0; i < parts.size(); ++i) {
      TokenHandOver part = parts[i];
      part.export_number = i == 0 ? 1 : 2;
      CHECK(home_b.Import(part, now).ok());
    }
    CHECK(home_b.Begin(unused_token, kOrderFingerprint, 1, now).action == TokenAction::kUnknownRun);
    CHECK(home_a.Export(kRunB, now).ok());
    ImportParts(home_a.Export(kRunB, now).value(), home_b, now);
    CHECK(home_b.Begin(unused_token, kOrderFingerprint, 1, now).action == TokenAction::kDispatch);
  }
  SUBCASE("a delayed first part does not make tokens valid whose records were dropped") {
    // The part that arrives first contains the home's clock time from before the expiry. Guards
    // against keeping an estimate from that time, by which the tokens would still seem valid.
    const TimePoint expired_at = now + minutes(10);
    CHECK(home_b.Import(parts.back(), expired_at).ok());
    ImportParts(home_a.Export(kRunB, expired_at).value(), home_b, expired_at);
    CHECK(home_b.CollectInheritedRuns().size() == 1);
    CHECK(home_b.Begin(tokens[0], kOrderFingerprint, 1, expired_at).action !=
          TokenAction::kDispatch);
    CHECK(home_b.Begin(tokens[19], kOrderFingerprint, 1, expired_at).action !=
          TokenAction::kDispatch);
    CHECK(home_b.Begin(unused_token, kOrderFingerprint, 1, expired_at).action ==
          TokenAction::kExpired);
  }
  SUBCASE("a front rejects a hand-over after its own hand-over") {
    // Guards against a home that hands its tokens to a successor that is stopping.
    CHECK(home_b.Export(kRunC, now).ok());
    CHECK_FALSE(home_b.Import(parts[0], now).ok());
  }
  SUBCASE("a successor with a full table dispatches no tokens of the run") {
    TokenHome small_home({.self = kRunB, .token_limit = 10});
    bool import_refused = false;
    for (const TokenHandOver& part : parts) {
      import_refused = import_refused || !small_home.Import(part, now).ok();
    }
    CHECK(import_refused);
    CHECK(small_home.Begin(unused_token, kOrderFingerprint, 1, now).action ==
          TokenAction::kUnknownRun);
  }
}

}  // namespace ibishold
