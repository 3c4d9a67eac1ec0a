#include <doctest/doctest.h>

#include "dispatch/dispatch_fixture.h"

namespace ibishold {

TEST_CASE("a call that may run once only") {
  DispatchFixture fixture;
  fixture.Begin("/order/1");
  REQUIRE(fixture.Sends().size() == 1);
  const SendAction first = fixture.Sends()[0];
  CHECK_FALSE(first.repeatable);
  fixture.Clear();

  SUBCASE("its connection breaks: no second send, and no promise that it has not run") {
    fixture.Fail(first, AttemptFailure::kBroken);
    CHECK(fixture.Sends().empty());
    REQUIRE(fixture.Answers().size() == 1);
    CHECK(fixture.Answers()[0].kind == AnswerKind::kFailed);
  }
  SUBCASE("it is silent: no second send") {
    fixture.RunUntil(milliseconds(990));
    CHECK(fixture.Sends().empty());
    CHECK(fixture.Answers()[0].kind == AnswerKind::kTimedOut);
  }
  SUBCASE("the leaf says that it has not run: another leaf is asked") {
    fixture.Reply(first, 503, true);
    REQUIRE(fixture.Sends().size() == 1);
    const SendAction second = fixture.Sends()[0];
    CHECK(second.leaf.id != first.leaf.id);
    fixture.Clear();
    SUBCASE("and refuses too: refused as not run, with a time to come back") {
      fixture.Reply(second, 503, true);
      for (const SendAction& more : fixture.Sends()) {
        fixture.Reply(more, 503, true);
      }
      fixture.RunUntil(milliseconds(990));
      REQUIRE(fixture.Answers().size() == 1);
      CHECK(fixture.Answers()[0].kind == AnswerKind::kRefused);
      CHECK(fixture.Answers()[0].retry_after > Duration::zero());
    }
  }
  SUBCASE("no connection could be opened: another leaf is asked") {
    fixture.Fail(first, AttemptFailure::kNoConnection);
    CHECK(fixture.Sends().size() == 1);
  }
  SUBCASE("another leaf has the address: that address is not used again") {
    fixture.coordinator.OnReply(first.attempt, {.status = 421, .wrong_leaf = true}, fixture.now,
                                fixture.actions);
    REQUIRE(fixture.Sends().size() == 1);
    CHECK(fixture.Sends()[0].leaf.id != first.leaf.id);
    fixture.Reply(fixture.Sends()[0]);
    fixture.Clear();
    for (int i = 0; i < 8; ++i) {
      fixture.Begin("/order/" + std::to_string(i));
    }
    for (const SendAction& send : fixture.Sends()) {
      CHECK(send.leaf.id != first.leaf.id);
    }
  }
  SUBCASE("the leaf ran it and failed: its own answer is passed on") {
    fixture.Reply(first, 500);
    REQUIRE(fixture.Answers().size() == 1);
    CHECK(fixture.Answers()[0].kind == AnswerKind::kPassedThrough);
    CHECK(fixture.Answers()[0].reply.status == 500);
  }
  SUBCASE("a 503 that does not say so is no promise") {
    fixture.Reply(first, 503, false);
    REQUIRE(fixture.Answers().size() == 1);
    CHECK(fixture.Answers()[0].kind == AnswerKind::kFailed);
  }
}

TEST_CASE("a call to one service that may be repeated") {
  DispatchFixture fixture;
  fixture.Begin("/one/1");
  const SendAction first = fixture.Sends()[0];
  fixture.Clear();
  SUBCASE("an unsigned success is no answer") {
    fixture.coordinator.OnReply(first.attempt, {.status = 200, .body = "?"}, fixture.now,
                                fixture.actions);
    CHECK(fixture.Answers().empty());
    CHECK(fixture.Sends().size() == 1);
  }
  SUBCASE("a leaf's judgement of the request itself is passed on at once") {
    fixture.Reply(first, 404);
    CHECK(fixture.Sends().empty());
    REQUIRE(fixture.Answers().size() == 1);
    CHECK(fixture.Answers()[0].reply.status == 404);
  }
  SUBCASE("both attempts break: failed at once") {
    fixture.Fail(first, AttemptFailure::kBroken);
    fixture.Fail(fixture.Sends()[0], AttemptFailure::kInvalidReply);
    REQUIRE(fixture.Answers().size() == 1);
    CHECK(fixture.Answers()[0].kind == AnswerKind::kFailed);
  }
}

}  // namespace ibishold
