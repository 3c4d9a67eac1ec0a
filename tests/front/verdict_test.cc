#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "tests/front/sim_front.h"

namespace ibishold {

using std::chrono::milliseconds;
using testing::SimFront;

namespace {

// Lets brokers answer every cancel with `verdict` after 1 ms.
void ConfirmCancels(SimFront& front, Verdict verdict) {
  front.on_cancel = [&front, verdict](const SendCancel& cancel) {
    for (const std::uint64_t attempt_id : cancel.attempt_ids) {
      front.Schedule(milliseconds(1), [&front, attempt_id, verdict] {
        front.core.OnCancelResult(attempt_id, verdict, front.now);
      });
    }
  };
}

void IgnoreCall(const SendBatch&, const LeafCall&) {}

}  // namespace

TEST_CASE("verdicts of queries that time out, fail or lose a broker") {
  SimFront front;
  SUBCASE("a query that times out after it was sent may have run") {
    front.on_call = IgnoreCall;
    const std::uint64_t ticket = front.SendQuery("a", milliseconds(100));
    front.Advance(milliseconds(100));
    CHECK(front.GetAnswer(ticket).status == 504);
    CHECK(front.GetAnswer(ticket).verdict == Verdict::kMayHaveRun);
  }
  SUBCASE("a query that could not be sent has not run and is answered at once") {
    // Guards against a query without any route left that is answered only at its deadline.
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      if (call.attempt_id == batch.calls.back().attempt_id) {
        front.core.OnBatchNotSent(batch, front.now);
      }
    };
    const std::uint64_t ticket = front.SendQuery("a", milliseconds(5000));
    front.Advance(milliseconds(200));
    REQUIRE(front.IsAnswered(ticket));
    CHECK(front.GetAnswer(ticket).status == 503);
    CHECK(front.GetAnswer(ticket).verdict == Verdict::kNotRun);
    CHECK(front.GetAnswer(ticket).retry_after > Duration{});
  }
  SUBCASE("a query that all leaves shed has not run and returns their retry time") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      LeafReply reply = SimFront::MakeFailure(call, wire::Outcome::SHED, Verdict::kNotRun);
      reply.retry_after = milliseconds(700);
      front.ScheduleReply(milliseconds(1), batch, reply);
    };
    const std::uint64_t ticket = front.SendQuery("a", milliseconds(5000));
    front.Advance(milliseconds(50));
    CHECK(front.GetAnswer(ticket).status == 503);
    CHECK(front.GetAnswer(ticket).verdict == Verdict::kNotRun);
    CHECK(front.GetAnswer(ticket).retry_after == milliseconds(700));
  }
  SUBCASE("shards whose broker was lost are retried through other brokers") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      if (batch.broker != VmId("vm-0")) {
        front.ScheduleReply(milliseconds(5), batch, front.MakeReply(batch, call));
      }
    };
    const std::uint64_t ticket = front.SendQuery("a", milliseconds(500));
    front.Advance(milliseconds(1));
    front.core.OnLinkLost(VmId("vm-0"), front.now);
    front.Advance(milliseconds(100));
    CHECK(front.GetCoverage(ticket) == 1.0);
  }
}

TEST_CASE("a non-repeatable request runs at most once") {
  SimFront front;
  SUBCASE("a request without a token does not run and its answer contains a new token") {
    const std::uint64_t ticket = front.SendExecute("", "x");
    CHECK(front.GetAnswer(ticket).status == 428);
    CHECK(front.GetAnswer(ticket).verdict == Verdict::kNotRun);
    CHECK_FALSE(front.GetAnswer(ticket).new_token.empty());
    CHECK(front.CountCalls() == 0);
  }
  const std::string token = front.RequestToken();
  SUBCASE("a repeated request is answered from the token table, with its own request ID") {
    const std::uint64_t first_ticket = front.SendExecute(token, "x");
    front.Advance(milliseconds(50));
    const std::uint64_t second_ticket = front.SendExecute(token, "x");
    CHECK(front.GetAnswer(first_ticket).status == 200);
    CHECK(front.GetAnswer(second_ticket).status == 200);
    CHECK(front.GetBody(second_ticket).at("records") == front.GetBody(first_ticket).at("records"));
    CHECK(front.GetBody(second_ticket).at("request_id").as_string() ==
          absl::StrCat("r-", second_ticket));
    CHECK(front.CountCalls() == 1);
    CHECK(front.core.counters().replays == 1);
  }
  SUBCASE("a request repeated while the first one runs shares its result") {
    const std::uint64_t first_ticket = front.SendExecute(token, "x");
    const std::uint64_t second_ticket = front.SendExecute(token, "x");
    front.Advance(milliseconds(50));
    CHECK(front.GetAnswer(first_ticket).status == 200);
    CHECK(front.GetAnswer(second_ticket).status == 200);
    CHECK(front.CountCalls() == 1);
  }
  SUBCASE("a token of one operation is refused for another operation") {
    front.SendExecute(token, "x");
    front.Advance(milliseconds(50));
    const std::uint64_t other_ticket = front.SendExecute(token, "y");
    CHECK(front.GetAnswer(other_ticket).status == 422);
    CHECK(front.CountCalls() == 1);
  }
  SUBCASE("a slow request is neither hedged nor retried") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ScheduleReply(milliseconds(400), batch, front.MakeReply(batch, call));
    };
    const std::uint64_t ticket = front.SendExecute(token, "x");
    front.Advance(milliseconds(600));
    CHECK(front.GetAnswer(ticket).status == 200);
    CHECK(front.CountCalls() == 1);
  }
  SUBCASE("a request that times out may have run unless the broker confirms the cancel") {
    front.on_call = IgnoreCall;
    ConfirmCancels(front, Verdict::kMayHaveRun);
    const std::uint64_t ticket = front.SendExecute(token, "x", milliseconds(200));
    front.Advance(milliseconds(200));
    CHECK(front.GetAnswer(ticket).status == 504);
    CHECK(front.GetAnswer(ticket).verdict == Verdict::kMayHaveRun);
    // Guards against a second run when a caller repeats a request with an uncertain verdict.
    const std::uint64_t repeated_ticket = front.SendExecute(token, "x", milliseconds(200));
    front.Advance(milliseconds(300));
    CHECK(front.GetAnswer(repeated_ticket).verdict == Verdict::kMayHaveRun);
    CHECK(front.CountCalls() == 1);
  }
  SUBCASE("a request whose cancel is confirmed has not run, and its token can be used again") {
    front.on_call = IgnoreCall;
    ConfirmCancels(front, Verdict::kNotRun);
    const std::uint64_t ticket = front.SendExecute(token, "x", milliseconds(200));
    front.Advance(milliseconds(200));
    CHECK(front.GetAnswer(ticket).verdict == Verdict::kNotRun);
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ScheduleReply(milliseconds(5), batch, front.MakeReply(batch, call));
    };
    const std::uint64_t repeated_ticket = front.SendExecute(token, "x", milliseconds(200));
    front.Advance(milliseconds(100));
    CHECK(front.GetAnswer(repeated_ticket).status == 200);
    CHECK(front.CountCalls() == 2);
  }
  SUBCASE("a late result replaces the uncertain one in the token table") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ScheduleReply(milliseconds(300), batch, front.MakeReply(batch, call));
    };
    const std::uint64_t ticket = front.SendExecute(token, "x", milliseconds(200));
    front.Advance(milliseconds(400));
    CHECK(front.GetAnswer(ticket).verdict == Verdict::kMayHaveRun);
    const std::uint64_t repeated_ticket = front.SendExecute(token, "x", milliseconds(200));
    CHECK(front.GetAnswer(repeated_ticket).status == 200);
    CHECK(front.CountCalls() == 1);
  }
  SUBCASE("a request that was shed is rerouted once, to the other owner of the same leaf") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(seed);
      SimFront shedding_front({.seed = seed});
      shedding_front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
        shedding_front.ScheduleReply(
            milliseconds(1), batch,
            SimFront::MakeFailure(call, wire::Outcome::SHED, Verdict::kNotRun));
      };
      const std::uint64_t ticket = shedding_front.SendExecute(shedding_front.RequestToken(), "x");
      shedding_front.Advance(milliseconds(100));
      CHECK(shedding_front.GetAnswer(ticket).status == 503);
      CHECK(shedding_front.GetAnswer(ticket).verdict == Verdict::kNotRun);
      REQUIRE(shedding_front.batches.size() == 2);
      CHECK(shedding_front.batches[0].calls[0].leaf == shedding_front.batches[1].calls[0].leaf);
      CHECK(shedding_front.batches[0].broker != shedding_front.batches[1].broker);
    }
  }
  SUBCASE("a request whose link was lost may have run and is not sent again") {
    front.on_call = IgnoreCall;
    const std::uint64_t ticket = front.SendExecute(token, "x");
    front.Advance(milliseconds(1));
    front.core.OnLinkLost(front.batches[0].broker, front.now);
    front.Advance(milliseconds(100));
    CHECK(front.GetAnswer(ticket).verdict == Verdict::kMayHaveRun);
    CHECK(front.CountCalls() == 1);
  }
  SUBCASE("a request that the leaf answers with an error has run") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ScheduleReply(milliseconds(1), batch,
                          SimFront::MakeFailure(call, wire::Outcome::FAILED, Verdict::kRan));
    };
    const std::uint64_t ticket = front.SendExecute(token, "x");
    front.Advance(milliseconds(100));
    CHECK(front.GetAnswer(ticket).status == 502);
    CHECK(front.GetAnswer(ticket).verdict == Verdict::kRan);
    CHECK(front.CountCalls() == 1);
  }
  SUBCASE("records are extracted from the leaf's answer; a malformed answer has the verdict ran") {
    const auto execute_with_answer = [&](const std::string& body) {
      front.on_call = [&front, body](const SendBatch& batch, const LeafCall& call) {
        LeafReply reply = front.MakeReply(batch, call);
        reply.records = body;
        front.ScheduleReply(milliseconds(1), batch, reply);
      };
      const std::uint64_t ticket = front.SendExecute(front.RequestToken(), "x");
      front.Advance(milliseconds(10));
      return ticket;
    };
    const std::uint64_t valid_ticket =
        execute_with_answer(R"({"records":[{"key":5}],"complete":true})");
    CHECK(front.GetBody(valid_ticket).at("records").as_array().size() == 1);
    const std::uint64_t malformed_ticket = execute_with_answer("{\"records\":");
    CHECK(front.GetAnswer(malformed_ticket).status == 502);
    CHECK(front.GetAnswer(malformed_ticket).verdict == Verdict::kRan);
  }
  SUBCASE("a request continues after its caller disconnects") {
    const std::uint64_t ticket = front.SendExecute(token, "x");
    front.core.OnRequestAbandoned(ticket, front.now);
    front.Advance(milliseconds(50));
    CHECK_FALSE(front.IsAnswered(ticket));
    const std::uint64_t repeated_ticket = front.SendExecute(token, "x");
    CHECK(front.GetAnswer(repeated_ticket).status == 200);
    CHECK(front.CountCalls() == 1);
  }
}

TEST_CASE("requests with tokens of another front") {
  FrontOptions home_options;
  home_options.vm = VmId("vm-0");
  FrontOptions entry_options;
  entry_options.vm = VmId("vm-1");
  entry_options.incarnation = 2;
  SimFront home(home_options);
  SimFront entry(entry_options);
  std::map<std::uint64_t, std::uint64_t> forward_by_waiter;
  entry.on_forward = [&](const ForwardExecute& forward) {
    CHECK(forward.home == VmId("vm-0"));
    CallerRequest request = forward.request;
    request.deadline = forward.deadline;
    forward_by_waiter[home.core.OnForwardedRequest(request, home.now)] = forward.forward_id;
  };
  home.on_forward_result = [&](const ForwardResult& result) {
    entry.core.OnForwardedResult(forward_by_waiter.at(result.waiter_id), result.result, entry.now);
  };
  const auto advance_both = [&](Duration duration) {
    home.Advance(duration);
    entry.Advance(duration);
  };
  const std::string token = home.RequestToken();

  SUBCASE("only the home of the token dispatches the request") {
    const std::uint64_t entry_ticket = entry.SendExecute(token, "x");
    const std::uint64_t home_ticket = home.SendExecute(token, "x");
    advance_both(milliseconds(50));
    CHECK(entry.GetAnswer(entry_ticket).status == 200);
    CHECK(home.GetAnswer(home_ticket).status == 200);
    CHECK(entry.GetBody(entry_ticket).at("request_id").as_string() ==
          absl::StrCat("r-", entry_ticket));
    CHECK(home.CountCalls() == 1);
    CHECK(entry.CountCalls() == 0);
  }
  SUBCASE("a cancel that is confirmed at the home reaches the caller of another front in time") {
    // Guards against a lost not_run verdict: the home must answer before the forwarding front times
    // out.
    home.on_call = IgnoreCall;
    ConfirmCancels(home, Verdict::kNotRun);
    const std::uint64_t ticket = entry.SendExecute(token, "x", milliseconds(200));
    for (int i = 0; i < 200; ++i) {
      advance_both(milliseconds(1));
    }
    CHECK(entry.GetAnswer(ticket).verdict == Verdict::kNotRun);
  }
  SUBCASE("a request with an unreachable home may have run, and no other front runs it") {
    entry.on_forward = [&](const ForwardExecute& forward) {
      entry.core.OnForwardNotSent(forward.forward_id, entry.now);
    };
    const std::uint64_t ticket = entry.SendExecute(token, "x", std::chrono::seconds(10));
    entry.Advance(milliseconds(1100));
    REQUIRE(entry.IsAnswered(ticket));
    CHECK(entry.GetAnswer(ticket).verdict == Verdict::kMayHaveRun);
    CHECK(entry.CountCalls() == 0);
  }
  SUBCASE("a request may have run if the link to the home closes before the result") {
    std::uint64_t forward_id = 0;
    entry.on_forward = [&](const ForwardExecute& forward) { forward_id = forward.forward_id; };
    const std::uint64_t ticket = entry.SendExecute(token, "x");
    entry.core.OnForwardLost(forward_id, entry.now);
    entry.Advance(milliseconds(1));
    CHECK(entry.GetAnswer(ticket).verdict == Verdict::kMayHaveRun);
  }
  SUBCASE("a front hands its tokens to one successor before a planned stop") {
    const std::string used_token = home.RequestToken();
    const std::string running_token = home.RequestToken();
    home.SendExecute(used_token, "x");
    advance_both(milliseconds(50));
    home.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      home.ScheduleReply(milliseconds(100), batch, home.MakeReply(batch, call));
    };
    home.SendExecute(running_token, "z");
    home.core.HandOverTokens({VmId("vm-1"), 2}, home.now);
    home.Advance(Duration{});
    for (const TokenHandOver& part : std::exchange(home.hand_over_parts, {})) {
      CHECK(entry.core.OnTokenHandOver(part, entry.now).ok());
    }
    // The successor runs a request with an unused token and replays the result of a used one.
    const std::uint64_t fresh_ticket = entry.SendExecute(token, "y");
    const std::uint64_t replayed_ticket = entry.SendExecute(used_token, "x");
    const std::uint64_t joined_ticket = entry.SendExecute(running_token, "z");
    advance_both(milliseconds(50));
    CHECK(entry.GetAnswer(fresh_ticket).status == 200);
    CHECK(entry.GetAnswer(replayed_ticket).status == 200);
    CHECK(entry.CountCalls() == 1);
    CHECK_FALSE(entry.IsAnswered(joined_ticket));
    // The result of the execution in flight at the hand-over arrives in a later part.
    advance_both(milliseconds(100));
    for (const TokenHandOver& part : std::exchange(home.hand_over_parts, {})) {
      CHECK(entry.core.OnTokenHandOver(part, entry.now).ok());
    }
    entry.Advance(milliseconds(1));
    CHECK(entry.GetAnswer(joined_ticket).status == 200);
    CHECK(entry.CountCalls() == 1);
    // Guards against a dispatch by the front that has handed its tokens over.
    std::string forwarded_to;
    home.on_forward = [&](const ForwardExecute& forward) { forwarded_to = forward.home.value; };
    const std::size_t calls_before = home.CountCalls();
    home.SendExecute(token, "y");
    CHECK(forwarded_to == "vm-1");
    CHECK(home.CountCalls() == calls_before);
  }
  SUBCASE("a request that was in flight when the home stopped may have run") {
    home.on_call = IgnoreCall;
    home.SendExecute(token, "x");
    home.core.HandOverTokens({VmId("vm-1"), 2}, home.now);
    home.Advance(Duration{});
    for (const TokenHandOver& part : home.hand_over_parts) {
      CHECK(entry.core.OnTokenHandOver(part, entry.now).ok());
    }
    const std::uint64_t joined_ticket = entry.SendExecute(token, "x");
    entry.core.OnSenderStopped({VmId("vm-0"), 1}, entry.now);
    entry.Advance(milliseconds(1));
    CHECK(entry.GetAnswer(joined_ticket).verdict == Verdict::kMayHaveRun);
    CHECK(entry.CountCalls() == 0);
  }
}

}  // namespace ibishold
