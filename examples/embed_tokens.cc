// Embeds at-most-once execution without the daemons: a payment service that keeps its own threads
// and sockets and asks TokenHome what to do with each request. Prints the decisions and fails if an
// order would run twice.

#include <cstdlib>
#include <iostream>
#include <string>

#include "ibishold/idempotency.h"

namespace {

using ibishold::FrontRun;
using ibishold::NameOf;
using ibishold::TimePoint;
using ibishold::Token;
using ibishold::TokenAction;
using ibishold::TokenDecision;
using ibishold::TokenHome;
using ibishold::TokenResult;
using ibishold::Verdict;
using ibishold::VmId;

// Prints a decision and ends the program if it is not the expected one.
void Expect(const std::string& what, const TokenDecision& decision, TokenAction expected) {
  std::cout << what << ": " << NameOf(ibishold::kTokenActionNames, decision.action) << "\n";
  if (decision.action != expected) {
    std::cerr << "expected " << NameOf(ibishold::kTokenActionNames, expected) << "\n";
    std::exit(EXIT_FAILURE);
  }
}

}  // namespace

int main() {
  const TimePoint now = ibishold::BootClock::now();
  const FrontRun first{.vm = VmId("vm-1"), .incarnation = 1001};
  const FrontRun second{.vm = VmId("vm-2"), .incarnation = 1002};
  TokenHome home({.self = first});
  TokenHome other({.self = second});

  // A caller asks for a token and sends its order with it.
  const std::string header = ibishold::FormatToken(home.Issue(now).value());
  const Token token = ibishold::ParseToken(header).value();
  const std::uint64_t order = ibishold::StableHash("deposit 42");
  constexpr std::uint64_t kCaller = 1;
  const TokenDecision dispatch = home.Begin(token, order, kCaller, now);
  Expect("first sending", dispatch, TokenAction::kDispatch);
  Expect("resent while it runs", home.Begin(token, order, kCaller + 1, now), TokenAction::kJoin);
  Expect("resent through another VM", other.Begin(token, order, kCaller, now),
         TokenAction::kForward);

  // The order has run; everyone who joined is answered, and so is every later resend.
  const TokenResult result{.verdict = Verdict::kRan, .status = 200, .body = "{\"deposit\":42}"};
  for (const auto& reply : home.Finish(token, dispatch.dispatch_id, result, now)) {
    std::cout << "caller " << reply.waiter_id << " is told " << reply.result.body << "\n";
  }
  Expect("resent after the result", home.Begin(token, order, kCaller, now), TokenAction::kReplay);

  // A planned stop hands the table to one successor, which replays the same result.
  const auto parts = home.Export(second, now);
  for (const auto& part : *parts) {
    if (!other.Import(part, now).ok()) {
      return EXIT_FAILURE;
    }
  }
  Expect("resent to the successor", other.Begin(token, order, kCaller, now), TokenAction::kReplay);
  return EXIT_SUCCESS;
}
