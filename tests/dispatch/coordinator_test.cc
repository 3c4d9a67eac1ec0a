#include <doctest/doctest.h>

#include <set>

#include "dispatch/dispatch_fixture.h"

namespace ibishold {

TEST_CASE("a fan-out call") {
  DispatchFixture fixture;
  fixture.Begin("/all/1");
  const std::vector<SendAction> first_sends = fixture.GetSendActions();
  REQUIRE(first_sends.size() == 4);
  fixture.Clear();

  SUBCASE("is complete when all shards reply") {
    for (const SendAction& send : first_sends) {
      fixture.Reply(send);
    }
    REQUIRE(fixture.GetAnswers().size() == 1);
    const Answer answer = fixture.GetAnswers()[0];
    CHECK(answer.kind == AnswerKind::kMerged);
    CHECK(answer.reason == AnswerReason::kComplete);
    CHECK(answer.signatures.size() == 4);
    CHECK(answer.missing_shards == 0);
    CHECK(fixture.coordinator.in_progress() == 0);
  }
  SUBCASE("hedges to a second leaf when a shard does not reply, and counts only the first reply") {
    for (std::size_t i = 0; i < 3; ++i) {
      fixture.Reply(first_sends[i]);
    }
    fixture.RunUntil(milliseconds(60));
    REQUIRE(fixture.GetSendActions().size() == 1);
    const SendAction hedge = fixture.GetSendActions()[0];
    CHECK(hedge.leaf.service == first_sends[3].leaf.service);
    CHECK(hedge.leaf.id != first_sends[3].leaf.id);
    fixture.Reply(hedge);
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].missing_shards == 0);
    REQUIRE(fixture.GetCancelActions().size() == 1);
    CHECK(fixture.GetCancelActions()[0].attempt == first_sends[3].attempt);
    SUBCASE("ignores the late reply of the cancelled attempt") {
      fixture.Clear();
      fixture.Reply(first_sends[3]);
      CHECK(fixture.actions.empty());
    }
  }
  SUBCASE("returns a partial answer with the number of missing shards just before the objective") {
    for (std::size_t i = 0; i < 3; ++i) {
      fixture.Reply(first_sends[i]);
    }
    fixture.RunUntil(milliseconds(99));
    REQUIRE(fixture.GetAnswers().size() == 1);
    const Answer answer = fixture.GetAnswers()[0];
    CHECK(answer.reason == AnswerReason::kPartialAtObjective);
    CHECK(answer.signatures.size() == 3);
    CHECK(answer.missing_shards == 1);
  }
  SUBCASE("waits past the objective until the minimum coverage is reached") {
    fixture.Reply(first_sends[0]);
    fixture.Reply(first_sends[1]);
    fixture.RunUntil(milliseconds(300));
    CHECK(fixture.GetAnswers().empty());
    fixture.Reply(first_sends[2]);
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].missing_shards == 1);
  }
  SUBCASE("ends with kTimedOut when the time limit passes") {
    fixture.RunUntil(milliseconds(1000));
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kTimedOut);
  }
  SUBCASE("fails at once when the minimum coverage cannot be reached any more") {
    // Guards against a call that waits for its time limit although it can no longer succeed.
    for (std::size_t i = 0; i < 2; ++i) {
      fixture.Fail(first_sends[i], AttemptFailure::kBroken);
    }
    const std::vector<SendAction> retries = fixture.GetSendActions();
    REQUIRE(retries.size() == 2);
    for (const SendAction& send : retries) {
      fixture.Fail(send, AttemptFailure::kBroken);
    }
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kFailed);
    CHECK(fixture.GetAnswers()[0].reason == AnswerReason::kTooFewShards);
  }
  SUBCASE("counts only one of two parts with the same signature") {
    LeafReply reply = {.status = 200, .signature = "same", .body = {}};
    fixture.coordinator.OnReply(first_sends[0].attempt, reply, fixture.now, fixture.actions);
    fixture.coordinator.OnReply(first_sends[1].attempt, reply, fixture.now, fixture.actions);
    CHECK(fixture.GetSendActions().size() == 1);  // retry for the second shard
  }
  SUBCASE("retries a shard whose leaf returned a signed error") {
    fixture.Reply(first_sends[0], 500);
    CHECK(fixture.GetSendActions().size() == 1);
  }
  SUBCASE("sends the request of each shard to no more leaves than the route allows") {
    std::multiset<std::string> sent_services;
    for (const SendAction& send : first_sends) {
      sent_services.insert(send.leaf.service.value);
    }
    fixture.RunUntil(milliseconds(999));
    for (const SendAction& send : fixture.GetSendActions()) {
      sent_services.insert(send.leaf.service.value);
    }
    for (const SendAction& send : first_sends) {
      CHECK(sent_services.count(send.leaf.service.value) <= 2);
    }
  }
  SUBCASE("cancels all attempts without an answer when the caller disconnects") {
    fixture.coordinator.OnCallerLeft(1, fixture.now, fixture.actions);
    CHECK(fixture.GetCancelActions().size() == 4);
    for (const CancelAction& cancel : fixture.GetCancelActions()) {
      CHECK(cancel.late_reply_grace == Duration::zero());
    }
    CHECK(fixture.GetAnswers().empty());
    CHECK_FALSE(fixture.coordinator.NextTimer().has_value());
  }
  SUBCASE("gives leaves at most the time that the caller has left") {
    for (const SendAction& send : first_sends) {
      CHECK(send.time_left <= milliseconds(1000));
    }
  }
}

TEST_CASE("calls that cannot be served") {
  DispatchFixture fixture;
  SUBCASE("a call is refused with a Retry-After while no configuration is known") {
    LeafDirectory empty_directory;
    Coordinator coordinator({}, empty_directory, 1);
    Actions actions;
    coordinator.Begin({.host = "h", .path = "/all/1"}, fixture.now, actions);
    REQUIRE(actions.size() == 1);
    const Answer answer = std::get<AnswerAction>(actions[0]).answer;
    CHECK(answer.kind == AnswerKind::kRefused);
    CHECK(answer.retry_after > Duration::zero());
  }
  SUBCASE("a call that matches no route is answered with kNoRoute") {
    fixture.Begin("/none/1");
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kNoRoute);
  }
  SUBCASE("a call is refused before any send if too many shards have no leaf") {
    for (const char* leaf : {"shard-0a", "shard-0b", "shard-1a", "shard-1b"}) {
      fixture.directory.Remove(LeafId(leaf), 1000, fixture.now);
    }
    fixture.Begin("/all/1");
    CHECK(fixture.GetSendActions().empty());
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kRefused);
    CHECK(fixture.GetAnswers()[0].reason == AnswerReason::kNoLeaf);
  }
  SUBCASE("a call is answered by the other shards if one shard has no leaf") {
    fixture.directory.Remove(LeafId("shard-0a"), 1000, fixture.now);
    fixture.directory.Remove(LeafId("shard-0b"), 1001, fixture.now);
    fixture.Begin("/all/1");
    const std::vector<SendAction> sends = fixture.GetSendActions();
    REQUIRE(sends.size() == 3);
    for (const SendAction& send : sends) {
      fixture.Reply(send);
    }
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].missing_shards == 1);
  }
}

// Guards against a refusal that promises "not run" while the same step sends one of the shards.
TEST_CASE("a fan-out call that is refused in the step that sends one of its shards") {
  // One connection to each leaf, all of them in use.
  DispatchFixture fixture(4, {.connection_share = 0.02});
  fixture.Begin("/all/1");
  fixture.Begin("/all/2");
  const std::vector<SendAction> running = fixture.GetSendActions();
  REQUIRE(running.size() == 8);
  fixture.Clear();
  fixture.Begin("/all/3");
  REQUIRE(fixture.GetSendActions().empty());

  // A leaf of the first shard becomes free, and two of the four shards lose all leaves.
  for (const SendAction& send : running) {
    if (send.leaf.id == LeafId("shard-0a")) {
      fixture.Reply(send);
    }
    if (send.leaf.service == ServiceName("shard-2") ||
        send.leaf.service == ServiceName("shard-3")) {
      fixture.coordinator.OnLeafNotice(send.leaf.id, send.leaf.started,
                                       {.status = 200, .leaving = true}, fixture.now);
    }
  }
  fixture.Clear();
  fixture.now += milliseconds(6);
  fixture.coordinator.OnTimer(fixture.now, fixture.actions);
  REQUIRE(fixture.GetAnswers().size() == 1);
  CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kRefused);
  CHECK(fixture.GetAnswers()[0].reason == AnswerReason::kTooFewShards);
  CHECK(fixture.GetSendActions().empty());
}

// Guards against a promise of "not run" for a call that an earlier coordinator may have sent.
TEST_CASE("a call that another VM may have sent already fails instead of being refused") {
  DispatchFixture fixture;
  const auto begin_sent_call = [&] {
    fixture.coordinator.Begin({.request_id = "r",
                               .host = "h",
                               .path = "/all/1",
                               .time_left = milliseconds(1000),
                               .may_have_been_sent = true},
                              fixture.now, fixture.actions);
  };
  SUBCASE("when no leaf is usable") {
    fixture.directory.BeginEvacuation(DataCentre("east"));
    fixture.directory.BeginEvacuation(DataCentre("west"));
    begin_sent_call();
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kFailed);
  }
  SUBCASE("when all leaves refuse it") {
    DispatchFixture single_shard_fixture(1);
    single_shard_fixture.coordinator.Begin({.request_id = "r",
                                            .host = "h",
                                            .path = "/all/1",
                                            .time_left = milliseconds(1000),
                                            .may_have_been_sent = true},
                                           single_shard_fixture.now, single_shard_fixture.actions);
    while (single_shard_fixture.GetAnswers().empty()) {
      const std::vector<SendAction> sends = single_shard_fixture.GetSendActions();
      REQUIRE_FALSE(sends.empty());
      single_shard_fixture.Clear();
      for (const SendAction& send : sends) {
        single_shard_fixture.Reply(send, 503, true);
      }
    }
    CHECK(single_shard_fixture.GetAnswers()[0].kind == AnswerKind::kFailed);
  }
}

TEST_CASE("the objective of a caller's retry counts from its first attempt") {
  // Guards against partial answers after the objective, when the caller has spent part of the
  // objective on a refused attempt.
  DispatchFixture fixture;
  fixture.Begin("/all/1");
  for (const SendAction& send : fixture.GetSendActions()) {
    fixture.Reply(send);
  }
  fixture.Clear();
  fixture.coordinator.Begin(
      {.request_id = "r2", .host = "h", .path = "/all/1", .time_left = milliseconds(950)},
      fixture.now, fixture.actions);
  const std::vector<SendAction> sends = fixture.GetSendActions();
  for (std::size_t i = 0; i < 3; ++i) {
    fixture.Reply(sends[i]);
  }
  fixture.RunUntil(milliseconds(49));
  CHECK(fixture.GetAnswers().size() == 1);
}

TEST_CASE("a call that another VM may have sent already goes to one leaf of each shard") {
  // Guards against two coordinators that together send the request of a shard to more leaves than
  // the route allows.
  DispatchFixture fixture;
  fixture.coordinator.Begin({.request_id = "r",
                             .host = "h",
                             .path = "/all/1",
                             .time_left = milliseconds(1000),
                             .may_have_been_sent = true},
                            fixture.now, fixture.actions);
  fixture.RunUntil(milliseconds(900));
  CHECK(fixture.GetSendActions().size() == 4);
}

TEST_CASE("a call that another VM may have sent already is charged to the retry budget") {
  CoordinatorOptions options;
  options.extra_attempts = {.share = 0,
                            .slack = 10,
                            .usable_slack_share = 1,
                            .slack_burst_share = 1,
                            .initial_fill_share = 0.1};
  DispatchFixture fixture(4, options);
  fixture.coordinator.Begin({.request_id = "r",
                             .host = "h",
                             .path = "/all/1",
                             .time_left = milliseconds(1000),
                             .may_have_been_sent = true},
                            fixture.now, fixture.actions);
  // The saved budget allows one extra attempt for each shard.
  CHECK(fixture.GetSendActions().size() == 4);
  fixture.Clear();
  fixture.coordinator.Begin({.request_id = "r",
                             .host = "h",
                             .path = "/all/1",
                             .time_left = milliseconds(1000),
                             .may_have_been_sent = true},
                            fixture.now, fixture.actions);
  CHECK(fixture.GetSendActions().empty());
  CHECK(fixture.GetAnswers().size() == 1);
}

TEST_CASE("the summary of a partial answer says why the missing shard was not hedged") {
  CoordinatorOptions options;
  options.extra_attempts = {.share = 0, .slack = 0, .initial_fill_share = 0};
  DispatchFixture fixture(4, options);
  fixture.Begin("/all/1");
  const std::vector<SendAction> first_sends = fixture.GetSendActions();
  for (std::size_t i = 0; i < 3; ++i) {
    fixture.Reply(first_sends[i]);
  }
  fixture.RunUntil(milliseconds(100));
  REQUIRE(fixture.GetAnswers().size() == 1);
  std::vector<std::string_view> event_names;
  const std::vector<CallSummary> summaries = fixture.coordinator.TakeSummaries();
  REQUIRE(summaries.size() == 1);
  for (const CallEvent& event : summaries[0].events) {
    CHECK(event.service == "shard-3");
    event_names.push_back(event.event);
  }
  // Each reason is recorded once, regardless of the number of tries that failed for it.
  CHECK(event_names == std::vector<std::string_view>{"no_budget", "too_late", "given_up"});
}

TEST_CASE("hedges are sent earlier while leaves have free slots") {
  // On idle leaves a hedge delays no other request, and an early one avoids the occasional pause of
  // a leaf in a large fleet. On busy leaves a hedge would queue ahead of first attempts.
  const auto measure_hedge_delay = [](std::uint32_t waiting_requests) {
    DispatchFixture fixture;
    for (int i = 0; i < 400; ++i) {
      fixture.Clear();
      fixture.Begin("/all/1");
      fixture.now += milliseconds(20);
      for (const SendAction& send : fixture.GetSendActions()) {
        fixture.coordinator.OnReply(
            send.attempt,
            {.status = 200,
             .signature = "sig-" + std::to_string(send.attempt),
             .load = LoadReport{.running = 1, .waiting = waiting_requests, .slots = 2}},
            fixture.now, fixture.actions);
      }
    }
    fixture.Clear();
    const TimePoint call_start = fixture.now;
    fixture.Begin("/all/1");
    const std::size_t first_send_count = fixture.GetSendActions().size();
    while (fixture.GetSendActions().size() == first_send_count && fixture.GetAnswers().empty()) {
      fixture.RunUntil(fixture.now - fixture.start + milliseconds(1));
    }
    return fixture.now - call_start;
  };
  CHECK(measure_hedge_delay(0) <= milliseconds(26));
  CHECK(measure_hedge_delay(2) >= milliseconds(43));
}

}  // namespace ibishold
