#include <doctest/doctest.h>

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
