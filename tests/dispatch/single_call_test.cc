#include <doctest/doctest.h>

#include <algorithm>

#include "dispatch/dispatch_fixture.h"

namespace ibishold {

TEST_CASE("a call that is not repeatable") {
  DispatchFixture fixture;
  fixture.Begin("/order/1");
  REQUIRE(fixture.GetSendActions().size() == 1);
  const SendAction first_send = fixture.GetSendActions()[0];
  CHECK_FALSE(first_send.repeatable);
  fixture.Clear();

  SUBCASE("fails as possibly run, without a retry, when its connection breaks") {
    fixture.Fail(first_send, AttemptFailure::kBroken);
    CHECK(fixture.GetSendActions().empty());
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kFailed);
  }
  SUBCASE("is not hedged while its leaf does not reply") {
    fixture.RunUntil(milliseconds(990));
    CHECK(fixture.GetSendActions().empty());
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kTimedOut);
  }
  SUBCASE("is sent to another leaf when the first leaf states that it did not run it") {
    fixture.Reply(first_send, 503, true);
    REQUIRE(fixture.GetSendActions().size() == 1);
    const SendAction second_send = fixture.GetSendActions()[0];
    CHECK(second_send.leaf.id != first_send.leaf.id);
    fixture.Clear();
    SUBCASE("is refused with a Retry-After when no leaf ran it") {
      fixture.Reply(second_send, 503, true);
      for (const SendAction& retry : fixture.GetSendActions()) {
        fixture.Reply(retry, 503, true);
      }
      fixture.RunUntil(milliseconds(990));
      REQUIRE(fixture.GetAnswers().size() == 1);
      CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kRefused);
      CHECK(fixture.GetAnswers()[0].retry_after > Duration::zero());
    }
  }
  SUBCASE("is sent to another leaf when no connection could be opened") {
    fixture.Fail(first_send, AttemptFailure::kNoConnection);
    CHECK(fixture.GetSendActions().size() == 1);
  }
  SUBCASE("does not use a leaf whose address now belongs to another leaf") {
    fixture.coordinator.OnReply(first_send.attempt, {.status = 421, .wrong_leaf = true},
                                fixture.now, fixture.actions);
    REQUIRE(fixture.GetSendActions().size() == 1);
    CHECK(fixture.GetSendActions()[0].leaf.id != first_send.leaf.id);
    fixture.Reply(fixture.GetSendActions()[0]);
    fixture.Clear();
    for (int i = 0; i < 8; ++i) {
      fixture.Begin("/order/" + std::to_string(i));
    }
    for (const SendAction& send : fixture.GetSendActions()) {
      CHECK(send.leaf.id != first_send.leaf.id);
    }
  }
  SUBCASE("passes the signed error of its leaf through") {
    fixture.Reply(first_send, 500);
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kPassedThrough);
    CHECK(fixture.GetAnswers()[0].reply.status == 500);
  }
  SUBCASE("fails as possibly run after a 503 that does not state that the call did not run") {
    fixture.Reply(first_send, 503, false);
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kFailed);
  }
}

// Guards against a refusal that promises "not run" in the step in which the request is sent, as
// when a VM resumes after a pause that lasted beyond the deadline of a waiting call.
TEST_CASE("a call that waits for a leaf when its deadline passes during a pause of the VM") {
  // One connection to each of the two leaves.
  DispatchFixture fixture(4, {.connection_share = 0.02});
  fixture.Begin("/one/1");
  fixture.Begin("/one/2");
  const std::vector<SendAction> running = fixture.GetSendActions();
  REQUIRE(running.size() == 2);
  fixture.Clear();

  SUBCASE("is refused without being sent, although a leaf is free") {
    fixture.Begin("/order/1");
    REQUIRE(fixture.GetSendActions().empty());
    fixture.now += milliseconds(1500);
    fixture.Reply(running[0]);
    fixture.Clear();
    fixture.coordinator.OnTimer(fixture.now, fixture.actions);
    CHECK(fixture.GetSendActions().empty());
    const std::vector<Answer> answers = fixture.GetAnswers();
    const auto refused = std::count_if(answers.begin(), answers.end(), [](const Answer& answer) {
      return answer.kind == AnswerKind::kRefused && answer.retry_after > Duration::zero();
    });
    CHECK(refused == 1);
  }
  SUBCASE("is sent when a leaf is free before the deadline") {
    fixture.Begin("/order/1");
    fixture.now += milliseconds(500);
    fixture.Reply(running[0]);
    fixture.Clear();
    fixture.coordinator.OnTimer(fixture.now, fixture.actions);
    CHECK(fixture.GetSendActions().size() == 1);
  }
}

// Guards against a call that arrives too late to be served being sent and refused in one step.
TEST_CASE("a call that arrives with less time left than the margins of this VM") {
  for (const std::string path : {"/order/1", "/one/1", "/all/1"}) {
    CAPTURE(path);
    DispatchFixture fixture;
    fixture.coordinator.Begin(
        {.request_id = "late", .host = "h", .path = path, .time_left = milliseconds(12)},
        fixture.now, fixture.actions);
    CHECK(fixture.GetSendActions().empty());
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kRefused);
    CHECK(fixture.coordinator.in_progress() == 0);
  }
}

TEST_CASE("a repeatable call to one service") {
  DispatchFixture fixture;
  fixture.Begin("/one/1");
  const SendAction first_send = fixture.GetSendActions()[0];
  fixture.Clear();
  SUBCASE("is retried after a successful reply without signature") {
    fixture.coordinator.OnReply(first_send.attempt, {.status = 200, .body = "?"}, fixture.now,
                                fixture.actions);
    CHECK(fixture.GetAnswers().empty());
    CHECK(fixture.GetSendActions().size() == 1);
  }
  SUBCASE("passes a signed 4xx reply through without a retry") {
    fixture.Reply(first_send, 404);
    CHECK(fixture.GetSendActions().empty());
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].reply.status == 404);
  }
  SUBCASE("fails at once when both attempts failed") {
    fixture.Fail(first_send, AttemptFailure::kBroken);
    fixture.Fail(fixture.GetSendActions()[0], AttemptFailure::kInvalidReply);
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kFailed);
  }
}

}  // namespace ibishold
