// Example: at-most-once execution in a payment service that has its own threads and sockets instead
// of the daemons. The service asks TokenHome for a decision on each request. Prints the decisions
// and fails if an order would run twice.

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

// Prints the decision and exits with an error if it differs from the expected action.
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

  // A caller requests a token and sends it with an order.
  const std::string token_header = ibishold::FormatToken(home.Issue(now).value());
  const Token token = ibishold::ParseToken(token_header).value();
  const std::uint64_t request_hash = ibishold::StableHash("deposit 42");
  constexpr std::uint64_t kCallerId = 1;
  const TokenDecision first_decision = home.Begin(token, request_hash, kCallerId, now);
  ExpectAction("first sending", first_decision, TokenAction::kDispatch);
  ExpectAction("resent while it runs", home.Begin(token, request_hash, kCallerId + 1, now),
               TokenAction::kJoin);
  ExpectAction("resent through another VM", successor.Begin(token, request_hash, kCallerId, now),
               TokenAction::kForward);

  // The order has run. All callers that joined receive the result, and so does each later resend.
  const TokenResult result{.verdict = Verdict::kRan, .status = 200, .body = "{\"deposit\":42}"};
  for (const auto& reply : home.Finish(token, first_decision.dispatch_id, result, now)) {
    std::cout << "caller " << reply.waiter_id << " receives " << reply.result.body << "\n";
  }
  ExpectAction("resent after the result", home.Begin(token, request_hash, kCallerId, now),
               TokenAction::kReplay);

  // A planned stop hands the tokens over to a successor, which replays the stored result.
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
