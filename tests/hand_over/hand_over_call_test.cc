#include <doctest/doctest.h>

#include "ibishold/hand_over.h"

namespace ibishold {

namespace {

using std::chrono::milliseconds;

struct HandOverFixture {
  HandOverFixture() {
    this->hand_over.SetCoordinators(
        {this->preferred_coordinator_1, this->preferred_coordinator_2, this->other_coordinator}, 2);
    this->route = {.repeatable = true,
                   .time_limit = milliseconds(1500),
                   .objective = milliseconds(150),
                   .attempt_limit = 2};
    this->call = {.time_left = milliseconds(1500), .external_latency = milliseconds(6)};
  }

  void Begin(std::uint64_t ticket = 1) {
    this->hand_over.Begin(ticket, this->call, this->route, this->now, this->actions);
  }
  void RunUntil(Duration since_start) {
    const TimePoint end_time = this->start + since_start;
    while (this->hand_over.NextTimer() && *this->hand_over.NextTimer() <= end_time) {
      this->now = *this->hand_over.NextTimer();
      this->hand_over.OnTimer(this->now, this->actions);
    }
    this->now = end_time;
  }
  std::vector<HandOverAction> FilterActions(HandOverStep step) const {
    std::vector<HandOverAction> matching;
    for (const HandOverAction& action : this->actions) {
      if (action.step == step) {
        matching.push_back(action);
      }
    }
    return matching;
  }

  const PeerAddress preferred_coordinator_1 = {.ip = 1, .port = 1};
  const PeerAddress preferred_coordinator_2 = {.ip = 2, .port = 1};
  const PeerAddress other_coordinator = {.ip = 3, .port = 1};
  TimePoint start = TimePoint() + std::chrono::hours(1);
  TimePoint now = this->start;
  HandOver hand_over{{}, 1};
  Route route;
  Call call;
  std::vector<HandOverAction> actions;
};

}  // namespace

TEST_CASE("a call that is handed over to a coordinator") {
  HandOverFixture fixture;
  fixture.Begin();
  REQUIRE(fixture.FilterActions(HandOverStep::kSend).size() == 1);
  const HandOverAction first_send = fixture.FilterActions(HandOverStep::kSend)[0];
  CHECK(first_send.coordinator != fixture.other_coordinator);
  CHECK_FALSE(first_send.may_have_been_sent);
  fixture.actions.clear();

  SUBCASE("ends with the reply of the coordinator") {
    CHECK(fixture.hand_over.OnReply(first_send.attempt, fixture.now, fixture.actions) == 1);
    CHECK(fixture.hand_over.in_progress() == 0);
    CHECK_FALSE(fixture.hand_over.NextTimer().has_value());
  }
  SUBCASE(
      "goes to another coordinator, not marked as possibly sent, if no connection could be "
      "opened") {
    fixture.hand_over.OnFailure(first_send.attempt, AttemptFailure::kNoConnection, fixture.now,
                                fixture.actions);
    CHECK(fixture.FilterActions(HandOverStep::kSuspect).size() == 1);
    REQUIRE(fixture.FilterActions(HandOverStep::kSend).size() == 1);
    CHECK(fixture.FilterActions(HandOverStep::kSend)[0].coordinator != first_send.coordinator);
    CHECK_FALSE(fixture.FilterActions(HandOverStep::kSend)[0].may_have_been_sent);
  }
  SUBCASE("leaves attempts for another coordinator while it may be handed over again") {
    CHECK(first_send.single_attempt_time == milliseconds(30));
    fixture.now += milliseconds(10);
    fixture.hand_over.OnFailure(first_send.attempt, AttemptFailure::kNoConnection, fixture.now,
                                fixture.actions);
    const HandOverAction second_send = fixture.FilterActions(HandOverStep::kSend)[0];
    CHECK(second_send.single_attempt_time == milliseconds(20));
    fixture.actions.clear();
    fixture.hand_over.OnFailure(second_send.attempt, AttemptFailure::kBroken, fixture.now,
                                fixture.actions);
    CHECK(fixture.FilterActions(HandOverStep::kSend)[0].single_attempt_time == Duration::zero());
  }
  SUBCASE("goes to one other coordinator, marked as possibly sent, if the first one fails early") {
    fixture.hand_over.OnFailure(first_send.attempt, AttemptFailure::kBroken, fixture.now,
                                fixture.actions);
    REQUIRE(fixture.FilterActions(HandOverStep::kSend).size() == 1);
    const HandOverAction second_send = fixture.FilterActions(HandOverStep::kSend)[0];
    CHECK(second_send.may_have_been_sent);
    fixture.actions.clear();
    fixture.hand_over.OnFailure(second_send.attempt, AttemptFailure::kBroken, fixture.now,
                                fixture.actions);
    CHECK(fixture.FilterActions(HandOverStep::kSend).empty());
    REQUIRE(fixture.FilterActions(HandOverStep::kAnswer).size() == 1);
    CHECK(fixture.FilterActions(HandOverStep::kAnswer)[0].answer.kind == AnswerKind::kFailed);
  }
  SUBCASE("stays at a slow coordinator that answers probes") {
    // Guards against a second fan-out of the call when its coordinator only waits for slow leaves.
    for (int i = 1; i <= 10; ++i) {
      fixture.RunUntil(milliseconds(80 * i));
      for (const HandOverAction& probe : fixture.FilterActions(HandOverStep::kProbe)) {
        fixture.hand_over.OnReply(probe.attempt, fixture.now, fixture.actions);
      }
    }
    CHECK(fixture.FilterActions(HandOverStep::kProbe).size() >= 5);
    CHECK(fixture.FilterActions(HandOverStep::kSend).empty());
    CHECK(fixture.FilterActions(HandOverStep::kSuspect).empty());
  }
  SUBCASE("fails at once if its coordinator fails after it may have sent hedges") {
    // Guards against two coordinators that together send the request of one shard to three leaves,
    // more than the route allows.
    fixture.RunUntil(milliseconds(40));
    fixture.hand_over.OnFailure(first_send.attempt, AttemptFailure::kBroken, fixture.now,
                                fixture.actions);
    CHECK(fixture.FilterActions(HandOverStep::kSend).empty());
    REQUIRE(fixture.FilterActions(HandOverStep::kAnswer).size() == 1);
    CHECK(fixture.FilterActions(HandOverStep::kAnswer)[0].answer.kind == AnswerKind::kFailed);
  }
  SUBCASE("fails long before its time limit if its coordinator hangs, and reports it as suspect") {
    fixture.RunUntil(milliseconds(400));
    CHECK(fixture.FilterActions(HandOverStep::kSend).empty());
    CHECK(fixture.FilterActions(HandOverStep::kSuspect).size() == 1);
    REQUIRE(fixture.FilterActions(HandOverStep::kAnswer).size() == 1);
    CHECK(fixture.FilterActions(HandOverStep::kAnswer)[0].answer.reason ==
          AnswerReason::kCoordinatorLost);
    CHECK(fixture.hand_over.in_progress() == 0);
  }
  SUBCASE("is coordinated locally if the coordinator declines it") {
    fixture.hand_over.OnDeclined(first_send.attempt, fixture.now, fixture.actions);
    REQUIRE(fixture.FilterActions(HandOverStep::kCoordinateLocally).size() == 1);
    CHECK_FALSE(fixture.FilterActions(HandOverStep::kCoordinateLocally)[0].may_have_been_sent);
  }
  SUBCASE("times out if the coordinator answers probes but not the call") {
    for (int i = 1; i <= 30 && fixture.hand_over.in_progress() > 0; ++i) {
      fixture.RunUntil(milliseconds(50 * i));
      for (const HandOverAction& probe : fixture.FilterActions(HandOverStep::kProbe)) {
        fixture.hand_over.OnReply(probe.attempt, fixture.now, fixture.actions);
      }
    }
    REQUIRE(fixture.FilterActions(HandOverStep::kAnswer).size() == 1);
    CHECK(fixture.FilterActions(HandOverStep::kAnswer)[0].answer.kind == AnswerKind::kTimedOut);
    CHECK(fixture.now <= fixture.start + milliseconds(1500));
  }
  SUBCASE("is cancelled at the coordinator when the caller disconnects") {
    fixture.hand_over.OnCallerLeft(1, fixture.actions);
    REQUIRE(fixture.FilterActions(HandOverStep::kCancel).size() == 1);
    CHECK(fixture.FilterActions(HandOverStep::kCancel)[0].attempt == first_send.attempt);
  }
}

TEST_CASE("a call is coordinated locally if no coordinator can be reached") {
  HandOverFixture fixture;
  fixture.Begin();
  for (int i = 0; i < 3; ++i) {
    const auto sends = fixture.FilterActions(HandOverStep::kSend);
    REQUIRE(sends.size() == static_cast<std::size_t>(i + 1));
    fixture.hand_over.OnFailure(sends.back().attempt, AttemptFailure::kNoConnection, fixture.now,
                                fixture.actions);
  }
  CHECK(fixture.FilterActions(HandOverStep::kCoordinateLocally).size() == 1);
  CHECK(fixture.hand_over.in_progress() == 0);
}

TEST_CASE("a call whose route allows one attempt for each shard, handed over to a coordinator") {
  // Guards against two coordinators that both send the call to a leaf of each shard (review/10).
  HandOverFixture fixture;
  fixture.route.attempt_limit = 1;
  fixture.Begin();
  const HandOverAction first_send = fixture.FilterActions(HandOverStep::kSend)[0];
  fixture.actions.clear();
  CHECK(first_send.single_attempt_time == Duration::zero());
  SUBCASE("fails at once if the first coordinator may have started it") {
    fixture.hand_over.OnFailure(first_send.attempt, AttemptFailure::kBroken, fixture.now,
                                fixture.actions);
    CHECK(fixture.FilterActions(HandOverStep::kSend).empty());
    CHECK(fixture.FilterActions(HandOverStep::kCoordinateLocally).empty());
    REQUIRE(fixture.FilterActions(HandOverStep::kAnswer).size() == 1);
    CHECK(fixture.FilterActions(HandOverStep::kAnswer)[0].answer.kind == AnswerKind::kFailed);
  }
  SUBCASE("goes to another coordinator if no connection opens") {
    fixture.hand_over.OnFailure(first_send.attempt, AttemptFailure::kNoConnection, fixture.now,
                                fixture.actions);
    REQUIRE(fixture.FilterActions(HandOverStep::kSend).size() == 1);
    CHECK_FALSE(fixture.FilterActions(HandOverStep::kSend)[0].may_have_been_sent);
  }
}

TEST_CASE("a call that may run once, handed over to a coordinator") {
  HandOverFixture fixture;
  fixture.route.repeatable = false;
  fixture.Begin();
  const HandOverAction first_send = fixture.FilterActions(HandOverStep::kSend)[0];
  fixture.actions.clear();
  SUBCASE("is not handed over again if the first coordinator may have started it") {
    fixture.hand_over.OnFailure(first_send.attempt, AttemptFailure::kBroken, fixture.now,
                                fixture.actions);
    CHECK(fixture.FilterActions(HandOverStep::kSend).empty());
    CHECK(fixture.FilterActions(HandOverStep::kCoordinateLocally).empty());
    REQUIRE(fixture.FilterActions(HandOverStep::kAnswer).size() == 1);
    CHECK(fixture.FilterActions(HandOverStep::kAnswer)[0].answer.kind == AnswerKind::kFailed);
  }
  SUBCASE("goes to another coordinator, not marked as possibly sent, if no connection opens") {
    fixture.hand_over.OnFailure(first_send.attempt, AttemptFailure::kNoConnection, fixture.now,
                                fixture.actions);
    REQUIRE(fixture.FilterActions(HandOverStep::kSend).size() == 1);
    CHECK_FALSE(fixture.FilterActions(HandOverStep::kSend)[0].may_have_been_sent);
  }
  SUBCASE("is run here, not marked as possibly sent, if the coordinator declines it") {
    fixture.hand_over.OnDeclined(first_send.attempt, fixture.now, fixture.actions);
    REQUIRE(fixture.FilterActions(HandOverStep::kCoordinateLocally).size() == 1);
    CHECK_FALSE(fixture.FilterActions(HandOverStep::kCoordinateLocally)[0].may_have_been_sent);
  }
}

}  // namespace ibishold
