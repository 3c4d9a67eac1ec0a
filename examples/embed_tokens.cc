// Embeds at-most-once execution without the daemons: a payment service that keeps its own threads
// and sockets and asks TokenHome what to do with each request. Prints the decisions and fails if an
// order would run twice.

#include <cstdlib>
#include <iostream>
#include <string>

#include "ibishold/idempotency.h"

namespace {

using ibishold::FrontRun;
using ibishold::TimePoint;
using ibishold::Token;
using ibishold::TokenAction;
using ibishold::TokenDecision;
using ibishold::TokenHome;
using ibishold::TokenResult;
using ibishold::ToName;
using ibishold::Verdict;
using ibishold::VmId;

// Prints a decision and ends the program if it is not the expected one.
void ExpectAction(const std::string& step, const TokenDecision& decision, TokenAction expected) {
  std::cout << step << ": " << ToName(ibishold::kTokenActionNames, decision.action) << "\n";
  if (decision.action != expected) {
    std::cerr << "expected " << ToName(ibishold::kTokenActionNames, expected) << "\n";
    std::exit(EXIT_FAILURE);
  }
}

}  // namespace

int main() {
  const TimePoint now = ibishold::BootClock::now();
  const FrontRun front_1{.vm = VmId("vm-1"), .incarnation = 1001};
  const FrontRun front_2{.vm = VmId("vm-2"), .incarnation = 1002};
  TokenHome home({.self = front_1});
  TokenHome successor({.self = front_2});

  // A caller asks for a token and sends its order with it.
  const std::string token_header = ibishold::ToText(home.Issue(now).value());
  const Token token = ibishold::ParseToken(token_header).value();
  const std::uint64_t request_hash = ibishold::StableHash("deposit 42");
  constexpr std::uint64_t kCallerId = 1;
  const TokenDecision first_decision = home.Begin(token, request_hash, kCallerId, now);
  ExpectAction("first sending", first_decision, TokenAction::kDispatch);
  ExpectAction("resent while it runs", home.Begin(token, request_hash, kCallerId + 1, now),
               TokenAction::kJoin);
  ExpectAction("resent through another VM", successor.Begin(token, request_hash, kCallerId, now),
               TokenAction::kForward);

  // The order has run; everyone who joined is answered, and so is every later resend.
  const TokenResult result{.verdict = Verdict::kRan, .status = 200, .body = "{\"deposit\":42}"};
  for (const auto& reply : home.Finish(token, first_decision.dispatch, result, now)) {
    std::cout << "caller " << reply.waiter << " is told " << reply.result.body << "\n";
  }
  ExpectAction("resent after the result", home.Begin(token, request_hash, kCallerId, now),
               TokenAction::kReplay);

  // A planned stop hands the table to one successor, which replays the same result.
  const auto parts = home.Export(front_2, now);
  for (const auto& part : *parts) {
    if (!successor.Import(part, now).ok()) {
      return EXIT_FAILURE;
    }
  }
  ExpectAction("resent to the successor", successor.Begin(token, request_hash, kCallerId, now),
               TokenAction::kReplay);
  return EXIT_SUCCESS;
}
