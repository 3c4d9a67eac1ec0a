#include <doctest/doctest.h>

#include "dispatch/dispatch_fixture.h"

namespace ibishold {

// Guards against requests that are taken and passed on when the process is about to end, and are
// then cut without an answer or end as possibly run.
TEST_CASE("a coordinator that ends in 5 s") {
  const std::vector<std::string> paths = {"/order/1", "/one/1", "/all/1"};
  const Duration stop_time = milliseconds(5000);

  SUBCASE("serves a call that begins early") {
    for (const std::string& path : paths) {
      CAPTURE(path);
      DispatchFixture fixture;
      fixture.coordinator.BeginStop(fixture.start + stop_time);
      fixture.Begin(path);
      CHECK_FALSE(fixture.GetSendActions().empty());
      CHECK(fixture.GetAnswers().empty());
    }
  }
  SUBCASE("refuses a call that cannot be expected to end in time, and does not send it") {
    for (const std::string& path : paths) {
      for (const auto since_start : {milliseconds(4950), milliseconds(5000), milliseconds(5200)}) {
        CAPTURE(path);
        CAPTURE(since_start.count());
        DispatchFixture fixture;
        fixture.coordinator.BeginStop(fixture.start + stop_time);
        fixture.now = fixture.start + since_start;
        fixture.Begin(path);
        CHECK(fixture.GetSendActions().empty());
        REQUIRE(fixture.GetAnswers().size() == 1);
        CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kRefused);
        CHECK(fixture.GetAnswers()[0].reason == AnswerReason::kStopping);
        CHECK(fixture.GetAnswers()[0].retry_after > Duration::zero());
      }
    }
  }
  SUBCASE("answers a call that its leaves hold up before it ends") {
    for (const std::string& path : paths) {
      CAPTURE(path);
      DispatchFixture fixture;
      fixture.coordinator.BeginStop(fixture.start + stop_time);
      fixture.now = fixture.start + milliseconds(4700);
      fixture.Begin(path);
      REQUIRE_FALSE(fixture.GetSendActions().empty());
      for (const SendAction& send : fixture.GetSendActions()) {
        CHECK(send.time_left <= milliseconds(300));
      }
      fixture.RunUntil(stop_time);
      REQUIRE(fixture.GetAnswers().size() == 1);
      CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kTimedOut);
    }
  }
}

}  // namespace ibishold
