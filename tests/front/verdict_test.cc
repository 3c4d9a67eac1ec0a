#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "tests/front/sim_front.h"

namespace ibishold {

using std::chrono::milliseconds;
using testing::SimFront;

namespace {

// Answers every cancel after 1 ms.
void ConfirmCancels(SimFront& front, Verdict verdict) {
  front.on_cancel = [&front, verdict](const SendCancel& cancel) {
    for (const std::uint64_t attempt : cancel.attempts) {
      front.At(milliseconds(1), [&front, attempt, verdict] {
        front.core.OnCancelResult(attempt, verdict, front.now);
      });
    }
  };
}

void Silent(const SendBatch&, const LeafCall&) {}

}  // namespace

TEST_CASE("verdicts of queries that time out, fail or lose a broker") {
  SimFront front;
  SUBCASE("a query that times out after it was sent may have run") {
    front.on_call = Silent;
    const std::uint64_t ticket = front.Ask("a", milliseconds(100));
    front.Run(milliseconds(100));
    CHECK(front.AnswerOf(ticket).status == 504);
    CHECK(front.AnswerOf(ticket).verdict == Verdict::kMayHaveRun);
  }
  SUBCASE("a query that could not be sent has not run and is answered at once") {
    // Guards against a query without any route left that is answered only at its deadline.
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      if (call.attempt == batch.calls.back().attempt) {
        front.core.OnNotSent(batch, front.now);
      }
    };
    const std::uint64_t ticket = front.Ask("a", milliseconds(5000));
    front.Run(milliseconds(200));
    REQUIRE(front.Answered(ticket));
    CHECK(front.AnswerOf(ticket).status == 503);
    CHECK(front.AnswerOf(ticket).verdict == Verdict::kNotRun);
    CHECK(front.AnswerOf(ticket).retry_after > Duration{});
  }
  SUBCASE("a query that all leaves shed has not run and returns their retry time") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      LeafReply reply = SimFront::Failed(call, wire::Outcome::SHED, Verdict::kNotRun);
      reply.retry_after = milliseconds(700);
      front.ReplyIn(milliseconds(1), batch, reply);
    };
    const std::uint64_t ticket = front.Ask("a", milliseconds(5000));
    front.Run(milliseconds(50));
    CHECK(front.AnswerOf(ticket).status == 503);
    CHECK(front.AnswerOf(ticket).verdict == Verdict::kNotRun);
    CHECK(front.AnswerOf(ticket).retry_after == milliseconds(700));
  }
  SUBCASE("shards whose broker was lost are retried through other brokers") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      if (batch.broker != VmId("vm-0")) {
        front.ReplyIn(milliseconds(5), batch, front.Good(batch, call));
      }
    };
    const std::uint64_t ticket = front.Ask("a", milliseconds(500));
    front.Run(milliseconds(1));
    front.core.OnLinkLost(VmId("vm-0"), front.now);
    front.Run(milliseconds(100));
    CHECK(front.FractionOf(ticket) == 1.0);
  }
}

TEST_CASE("a non-repeatable request runs at most once") {
  SimFront front;
  SUBCASE("a request without a token does not run and its answer contains a new token") {
    const std::uint64_t ticket = front.Execute("", "x");
    CHECK(front.AnswerOf(ticket).status == 428);
    CHECK(front.AnswerOf(ticket).verdict == Verdict::kNotRun);
    CHECK_FALSE(front.AnswerOf(ticket).new_token.empty());
    CHECK(front.CallCount() == 0);
  }
  const std::string token = front.NewToken();
  SUBCASE("a repeated request is answered from the token table, with its own request ID") {
    const std::uint64_t first = front.Execute(token, "x");
    front.Run(milliseconds(50));
    const std::uint64_t second = front.Execute(token, "x");
    CHECK(front.AnswerOf(first).status == 200);
    CHECK(front.AnswerOf(second).status == 200);
    CHECK(front.BodyOf(second).at("records") == front.BodyOf(first).at("records"));
    CHECK(front.BodyOf(second).at("request_id").as_string() == absl::StrCat("r-", second));
    CHECK(front.CallCount() == 1);
    CHECK(front.core.counters().replays == 1);
  }
  SUBCASE("a request repeated while the first one runs shares its result") {
    const std::uint64_t first = front.Execute(token, "x");
    const std::uint64_t second = front.Execute(token, "x");
    front.Run(milliseconds(50));
    CHECK(front.AnswerOf(first).status == 200);
    CHECK(front.AnswerOf(second).status == 200);
    CHECK(front.CallCount() == 1);
  }
  SUBCASE("a token of one operation is refused for another operation") {
    front.Execute(token, "x");
    front.Run(milliseconds(50));
    const std::uint64_t other = front.Execute(token, "y");
    CHECK(front.AnswerOf(other).status == 422);
    CHECK(front.CallCount() == 1);
  }
  SUBCASE("a slow request is neither hedged nor retried") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ReplyIn(milliseconds(400), batch, front.Good(batch, call));
    };
    const std::uint64_t ticket = front.Execute(token, "x");
    front.Run(milliseconds(600));
    CHECK(front.AnswerOf(ticket).status == 200);
    CHECK(front.CallCount() == 1);
  }
  SUBCASE("a request that times out may have run unless the broker confirms the cancel") {
    front.on_call = Silent;
    ConfirmCancels(front, Verdict::kMayHaveRun);
    const std::uint64_t ticket = front.Execute(token, "x", milliseconds(200));
    front.Run(milliseconds(200));
    CHECK(front.AnswerOf(ticket).status == 504);
    CHECK(front.AnswerOf(ticket).verdict == Verdict::kMayHaveRun);
    // Guards against a second run when a caller repeats a request with an uncertain verdict.
    const std::uint64_t again = front.Execute(token, "x", milliseconds(200));
    front.Run(milliseconds(300));
    CHECK(front.AnswerOf(again).verdict == Verdict::kMayHaveRun);
    CHECK(front.CallCount() == 1);
  }
  SUBCASE("a request whose cancel is confirmed has not run, and its token can be used again") {
    front.on_call = Silent;
    ConfirmCancels(front, Verdict::kNotRun);
    const std::uint64_t ticket = front.Execute(token, "x", milliseconds(200));
    front.Run(milliseconds(200));
    CHECK(front.AnswerOf(ticket).verdict == Verdict::kNotRun);
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ReplyIn(milliseconds(5), batch, front.Good(batch, call));
    };
    const std::uint64_t again = front.Execute(token, "x", milliseconds(200));
    front.Run(milliseconds(100));
    CHECK(front.AnswerOf(again).status == 200);
    CHECK(front.CallCount() == 2);
  }
  SUBCASE("a late result replaces the uncertain one in the token table") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ReplyIn(milliseconds(300), batch, front.Good(batch, call));
    };
    const std::uint64_t ticket = front.Execute(token, "x", milliseconds(200));
    front.Run(milliseconds(400));
    CHECK(front.AnswerOf(ticket).verdict == Verdict::kMayHaveRun);
    const std::uint64_t again = front.Execute(token, "x", milliseconds(200));
    CHECK(front.AnswerOf(again).status == 200);
    CHECK(front.CallCount() == 1);
  }
  SUBCASE("a request that was shed is rerouted once, to the other owner of the same leaf") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(seed);
      SimFront refused({.seed = seed});
      refused.on_call = [&](const SendBatch& batch, const LeafCall& call) {
        refused.ReplyIn(milliseconds(1), batch,
                        SimFront::Failed(call, wire::Outcome::SHED, Verdict::kNotRun));
      };
      const std::uint64_t ticket = refused.Execute(refused.NewToken(), "x");
      refused.Run(milliseconds(100));
      CHECK(refused.AnswerOf(ticket).status == 503);
      CHECK(refused.AnswerOf(ticket).verdict == Verdict::kNotRun);
      REQUIRE(refused.batches.size() == 2);
      CHECK(refused.batches[0].calls[0].leaf == refused.batches[1].calls[0].leaf);
      CHECK(refused.batches[0].broker != refused.batches[1].broker);
    }
  }
  SUBCASE("a request whose link was lost may have run and is not sent again") {
    front.on_call = Silent;
    const std::uint64_t ticket = front.Execute(token, "x");
    front.Run(milliseconds(1));
    front.core.OnLinkLost(front.batches[0].broker, front.now);
    front.Run(milliseconds(100));
    CHECK(front.AnswerOf(ticket).verdict == Verdict::kMayHaveRun);
    CHECK(front.CallCount() == 1);
  }
  SUBCASE("a request that the leaf answers with an error has run") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ReplyIn(milliseconds(1), batch,
                    SimFront::Failed(call, wire::Outcome::FAILED, Verdict::kRan));
    };
    const std::uint64_t ticket = front.Execute(token, "x");
    front.Run(milliseconds(100));
    CHECK(front.AnswerOf(ticket).status == 502);
    CHECK(front.AnswerOf(ticket).verdict == Verdict::kRan);
    CHECK(front.CallCount() == 1);
  }
  SUBCASE("records are extracted from the leaf's answer, and a malformed answer has still run") {
    const auto answer_with = [&](const std::string& body) {
      front.on_call = [&front, body](const SendBatch& batch, const LeafCall& call) {
        LeafReply reply = front.Good(batch, call);
        reply.records = body;
        front.ReplyIn(milliseconds(1), batch, reply);
      };
      const std::uint64_t ticket = front.Execute(front.NewToken(), "x");
      front.Run(milliseconds(10));
      return ticket;
    };
    const std::uint64_t whole = answer_with(R"({"records":[{"key":5}],"complete":true})");
    CHECK(front.BodyOf(whole).at("records").as_array().size() == 1);
    const std::uint64_t broken = answer_with("{\"records\":");
    CHECK(front.AnswerOf(broken).status == 502);
    CHECK(front.AnswerOf(broken).verdict == Verdict::kRan);
  }
  SUBCASE("a request continues after its caller disconnects") {
    const std::uint64_t ticket = front.Execute(token, "x");
    front.core.OnAbandoned(ticket, front.now);
    front.Run(milliseconds(50));
    CHECK_FALSE(front.Answered(ticket));
    const std::uint64_t again = front.Execute(token, "x");
    CHECK(front.AnswerOf(again).status == 200);
    CHECK(front.CallCount() == 1);
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
  std::map<std::uint64_t, std::uint64_t> forward_of_waiter;
  entry.on_forward = [&](const ForwardExecute& forward) {
    CHECK(forward.home == VmId("vm-0"));
    CallerRequest request = forward.request;
    request.deadline = forward.deadline;
    forward_of_waiter[home.core.OnForwarded(request, home.now)] = forward.forward;
  };
  home.on_forward_result = [&](const ForwardResult& result) {
    entry.core.OnForwardedResult(forward_of_waiter.at(result.waiter), result.result, entry.now);
  };
  const auto run = [&](Duration duration) {
    home.Run(duration);
    entry.Run(duration);
  };
  const std::string token = home.NewToken();

  SUBCASE("only the home of the token dispatches the request") {
    const std::uint64_t elsewhere = entry.Execute(token, "x");
    const std::uint64_t here = home.Execute(token, "x");
    run(milliseconds(50));
    CHECK(entry.AnswerOf(elsewhere).status == 200);
    CHECK(home.AnswerOf(here).status == 200);
    CHECK(entry.BodyOf(elsewhere).at("request_id").as_string() == absl::StrCat("r-", elsewhere));
    CHECK(home.CallCount() == 1);
    CHECK(entry.CallCount() == 0);
  }
  SUBCASE("a cancel that is confirmed at the home reaches the caller of another front in time") {
    // Guards against a lost not_run verdict: the home must answer before the forwarding front times
    // out.
    home.on_call = Silent;
    ConfirmCancels(home, Verdict::kNotRun);
    const std::uint64_t ticket = entry.Execute(token, "x", milliseconds(200));
    for (int i = 0; i < 200; ++i) {
      run(milliseconds(1));
    }
    CHECK(entry.AnswerOf(ticket).verdict == Verdict::kNotRun);
  }
  SUBCASE("a request with an unreachable home may have run, and no other front runs it") {
    entry.on_forward = [&](const ForwardExecute& forward) {
      entry.core.OnForwardNotSent(forward.forward, entry.now);
    };
    const std::uint64_t ticket = entry.Execute(token, "x", std::chrono::seconds(10));
    entry.Run(milliseconds(1100));
    REQUIRE(entry.Answered(ticket));
    CHECK(entry.AnswerOf(ticket).verdict == Verdict::kMayHaveRun);
    CHECK(entry.CallCount() == 0);
  }
  SUBCASE("a request may have run if the link to the home closes before the result") {
    std::uint64_t sent = 0;
    entry.on_forward = [&](const ForwardExecute& forward) { sent = forward.forward; };
    const std::uint64_t ticket = entry.Execute(token, "x");
    entry.core.OnForwardLost(sent, entry.now);
    entry.Run(milliseconds(1));
    CHECK(entry.AnswerOf(ticket).verdict == Verdict::kMayHaveRun);
  }
  SUBCASE("a front hands its tokens to one successor before a planned stop") {
    const std::string used = home.NewToken();
    const std::string running = home.NewToken();
    home.Execute(used, "x");
    run(milliseconds(50));
    home.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      home.ReplyIn(milliseconds(100), batch, home.Good(batch, call));
    };
    home.Execute(running, "z");
    home.core.HandOver({VmId("vm-1"), 2}, home.now);
    home.Run(Duration{});
    for (const TokenHandOver& part : std::exchange(home.hand_over, {})) {
      CHECK(entry.core.OnHandOver(part, entry.now).ok());
    }
    // The successor runs a request with an unused token and replays the result of a used one.
    const std::uint64_t fresh = entry.Execute(token, "y");
    const std::uint64_t replayed = entry.Execute(used, "x");
    const std::uint64_t joined = entry.Execute(running, "z");
    run(milliseconds(50));
    CHECK(entry.AnswerOf(fresh).status == 200);
    CHECK(entry.AnswerOf(replayed).status == 200);
    CHECK(entry.CallCount() == 1);
    CHECK_FALSE(entry.Answered(joined));
    // The result of the execution in flight at the hand-over arrives in a later part.
    run(milliseconds(100));
    for (const TokenHandOver& part : std::exchange(home.hand_over, {})) {
      CHECK(entry.core.OnHandOver(part, entry.now).ok());
    }
    entry.Run(milliseconds(1));
    CHECK(entry.AnswerOf(joined).status == 200);
    CHECK(entry.CallCount() == 1);
    // Guards against a dispatch by the front that has handed its tokens over.
    std::string forwarded_to;
    home.on_forward = [&](const ForwardExecute& forward) { forwarded_to = forward.home.value; };
    const std::size_t calls = home.CallCount();
    home.Execute(token, "y");
    CHECK(forwarded_to == "vm-1");
    CHECK(home.CallCount() == calls);
  }
  SUBCASE("a request that was in flight when the home stopped may have run") {
    home.on_call = Silent;
    home.Execute(token, "x");
    home.core.HandOver({VmId("vm-1"), 2}, home.now);
    home.Run(Duration{});
    for (const TokenHandOver& part : home.hand_over) {
      CHECK(entry.core.OnHandOver(part, entry.now).ok());
    }
    const std::uint64_t joined = entry.Execute(token, "x");
    entry.core.OnSenderStopped({VmId("vm-0"), 1}, entry.now);
    entry.Run(milliseconds(1));
    CHECK(entry.AnswerOf(joined).verdict == Verdict::kMayHaveRun);
    CHECK(entry.CallCount() == 0);
  }
}

}  // namespace ibishold
