#include <doctest/doctest.h>

#include <string>

#include "ibishold/idempotency.h"

namespace ibishold {

using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kOrderFingerprint = 77;

TokenResult MakeRanResult(const std::string& body) {
  return {.verdict = Verdict::kRan, .status = 200, .body = body};
}

const TokenResult kNotRunResult{.verdict = Verdict::kNotRun, .status = 503};

}  // namespace

TEST_CASE("a token is dispatched at most once by its home") {
  TimePoint now{minutes(5)};
  TokenHome home({.self = {.vm = VmId("a"), .incarnation = 100}});
  const Token token = home.Issue(now).value();

  const TokenDecision first_decision = home.Begin(token, kOrderFingerprint, 1, now);
  REQUIRE(first_decision.action == TokenAction::kDispatch);

  SUBCASE("resends of a running request join it") {
    // Guards against a second dispatch while the first one runs, as would happen if the token were
    // not recorded before its dispatch.
    CHECK(home.Begin(token, kOrderFingerprint, 2, now).action == TokenAction::kJoin);
    CHECK(home.Begin(token, kOrderFingerprint, 3, now).action == TokenAction::kJoin);
    home.RemoveWaiter(token, 2);
    const auto replies = home.Finish(token, first_decision.dispatch_id, MakeRanResult("{}"), now);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].waiter_id == 3);
    CHECK(replies[0].result.verdict == Verdict::kRan);

    SUBCASE("a resend after the result gets the stored result") {
      const TokenDecision resend_decision =
          home.Begin(token, kOrderFingerprint, 4, now + minutes(1));
      CHECK(resend_decision.action == TokenAction::kReplay);
      CHECK(resend_decision.result == MakeRanResult("{}"));
    }
    SUBCASE("a late not_run does not replace a stored result") {
      CHECK(home.Finish(token, first_decision.dispatch_id, kNotRunResult, now).empty());
      CHECK(home.Begin(token, kOrderFingerprint, 5, now).action == TokenAction::kReplay);
    }
  }
  SUBCASE("the number of joined callers is bounded") {
    for (std::uint64_t waiter_id = 0; waiter_id < 64; ++waiter_id) {
      CHECK(home.Begin(token, kOrderFingerprint, waiter_id, now).action == TokenAction::kJoin);
    }
    CHECK(home.Begin(token, kOrderFingerprint, 65, now).action == TokenAction::kUnknownRun);
  }
  SUBCASE("a resend through another VM is forwarded to the home") {
    TokenHome other_home({.self = {.vm = VmId("b"), .incarnation = 100}});
    const TokenDecision decision = other_home.Begin(token, kOrderFingerprint, 1, now);
    CHECK(decision.action == TokenAction::kForward);
    CHECK(decision.forward_to == VmId("a"));
  }
  SUBCASE("may_have_run is stored and replaced by a later definite result") {
    home.Finish(token, first_decision.dispatch_id, {.verdict = Verdict::kMayHaveRun, .status = 504},
                now);
    CHECK(home.Begin(token, kOrderFingerprint, 2, now).result.verdict == Verdict::kMayHaveRun);
    home.Finish(token, first_decision.dispatch_id, MakeRanResult("{}"), now);
    CHECK(home.Begin(token, kOrderFingerprint, 2, now).result.verdict == Verdict::kRan);
  }
  SUBCASE("not_run permits one more dispatch") {
    home.Finish(token, first_decision.dispatch_id, kNotRunResult, now);
    const TokenDecision second_decision = home.Begin(token, kOrderFingerprint, 2, now);
    REQUIRE(second_decision.action == TokenAction::kDispatch);
    SUBCASE("a repeated not_run of the first dispatch permits no third dispatch") {
      // Guards against a third dispatch while the second one runs.
      home.Finish(token, first_decision.dispatch_id, kNotRunResult, now);
      CHECK(home.Begin(token, kOrderFingerprint, 3, now).action == TokenAction::kJoin);
    }
  }
  SUBCASE("a token that was used for another operation is not dispatched") {
    CHECK(home.Begin(token, kOrderFingerprint + 1, 2, now).action ==
          TokenAction::kOperationMismatch);
  }
  SUBCASE("the next run of the home's VM does not dispatch tokens of a crashed home") {
    TokenHome next_home({.self = {.vm = VmId("a"), .incarnation = 101}});
    CHECK(next_home.Begin(token, kOrderFingerprint, 2, now).action == TokenAction::kUnknownRun);
  }
  SUBCASE("a resend after the expiry is not dispatched") {
    // Guards against a second dispatch after the record of an executed request was dropped. The
    // expiry check prevents it.
    home.Finish(token, first_decision.dispatch_id, MakeRanResult("{}"), now);
    now += minutes(11);
    const Token new_token = home.Issue(now).value();  // drops the expired record
    CHECK(home.token_count() == 0);
    CHECK(home.Begin(token, kOrderFingerprint, 2, now).action == TokenAction::kExpired);
    CHECK(home.Begin(new_token, kOrderFingerprint, 2, now).action == TokenAction::kDispatch);
  }
  SUBCASE("a result after the expiry still answers the joined callers") {
    CHECK(home.Begin(token, kOrderFingerprint, 2, now).action == TokenAction::kJoin);
    now += minutes(60);
    CHECK(home.Begin(token, kOrderFingerprint, 3, now).action != TokenAction::kDispatch);
    CHECK(home.Finish(token, first_decision.dispatch_id, MakeRanResult("{}"), now).size() == 2);
  }
  SUBCASE("a token that was never issued is not dispatched") {
    Token unissued_token = token;
    unissued_token.sequence += 1;
    CHECK(home.Begin(unissued_token, kOrderFingerprint, 2, now).action == TokenAction::kUnknownRun);
  }
}

TEST_CASE("the token table is bounded and drops no record before its expiry") {
  TimePoint now{minutes(5)};
  TokenHome home({.self = {.vm = VmId("a"), .incarnation = 100}, .token_limit = 3});
  const Token unused_token = home.Issue(now).value();
  std::vector<Token> tokens;
  for (int i = 0; i < 3; ++i) {
    tokens.push_back(home.Issue(now).value());
    const TokenDecision decision = home.Begin(tokens.back(), kOrderFingerprint, 1, now);
    REQUIRE(decision.action == TokenAction::kDispatch);
    home.Finish(tokens.back(), decision.dispatch_id, MakeRanResult("{}"), now);
  }
  SUBCASE("a full table refuses new tokens and still replays stored results") {
    // Guards against eviction of a record: a resend of its request would run a second time.
    CHECK(home.Begin(unused_token, kOrderFingerprint, 1, now).action == TokenAction::kTableFull);
    CHECK(home.Issue(now).status().code() == absl::StatusCode::kResourceExhausted);
    for (const Token& token : tokens) {
      CHECK(home.Begin(token, kOrderFingerprint, 1, now).action == TokenAction::kReplay);
    }
  }
  SUBCASE("expired records free space for new tokens") {
    now += minutes(10);
    CHECK(home.Issue(now).ok());
    CHECK(home.token_count() == 0);
    CHECK(home.stored_bytes() == 0);
  }
}

TEST_CASE("stored bodies are bounded and verdicts are always stored") {
  const TimePoint now{minutes(5)};
  TokenHome home({.self = {.vm = VmId("a"), .incarnation = 100},
                  .body_bytes_limit = 100,
                  .stored_bytes_limit = 150});
  std::vector<Token> tokens;
  for (const std::size_t body_bytes : {101, 100, 51, 50}) {
    const Token token = home.Issue(now).value();
    const TokenDecision decision = home.Begin(token, kOrderFingerprint, 1, now);
    home.Finish(token, decision.dispatch_id, MakeRanResult(std::string(body_bytes, 'x')), now);
    const TokenDecision replay_decision = home.Begin(token, kOrderFingerprint, 1, now);
    CHECK(replay_decision.action == TokenAction::kReplay);
    CHECK(replay_decision.result.verdict == Verdict::kRan);
    CHECK(replay_decision.result.body.size() ==
          (body_bytes == 100 || body_bytes == 50 ? body_bytes : 0));
  }
  CHECK(home.stored_bytes() == 150);
}

}  // namespace ibishold
