#include <doctest/doctest.h>

#include <map>
#include <set>

#include "dispatch/dispatch_fixture.h"
#include "ibishold/hand_over.h"

namespace ibishold {

namespace {

using LeavesByService = std::map<std::string, std::set<std::string>>;

// A coordinator whose leaves fail part of the requests at once and leave others without a reply.
class FailingCoordinator {
 public:
  FailingCoordinator(int attempt_limit, std::uint64_t seed, TimePoint now) : random(seed) {
    for (int shard = 0; shard < 4; ++shard) {
      for (const char* suffix : {"c", "d", "e"}) {
        this->fixture.AddLeaf(ServiceName("shard-" + std::to_string(shard)), suffix, "east");
      }
    }
    this->fixture.SetAttemptLimit(attempt_limit);
    this->fixture.now = now;
  }

  void Begin(const HandOverAction& send) {
    this->fixture.coordinator.Begin({.request_id = "r",
                                     .host = "h",
                                     .path = "/all/1",
                                     .time_left = milliseconds(1000),
                                     .may_have_been_sent = send.may_have_been_sent,
                                     .single_attempt_time = send.single_attempt_time},
                                    this->fixture.now, this->fixture.actions);
    this->ProcessSends();
  }

  void RunUntil(TimePoint end) {
    while (this->fixture.now < end) {
      this->fixture.RunUntil(this->fixture.now + milliseconds(1) - this->fixture.start);
      this->ProcessSends();
    }
  }

  std::size_t CountAnswers() const { return this->fixture.GetAnswers().size(); }

  LeavesByService leaves;  // that have received the call

 private:
  void ProcessSends() {
    for (std::size_t i = 0; i < this->fixture.GetSendActions().size(); ++i) {
      const SendAction send = this->fixture.GetSendActions()[i];
      if (!this->seen.insert(send.attempt).second) {
        continue;
      }
      this->leaves[send.leaf.service.value].insert(send.leaf.id.value);
      if (this->random.NextBelow(2) == 0) {
        this->fixture.Fail(send, AttemptFailure::kBroken);
      }
    }
  }

  DispatchFixture fixture;
  Random random;
  std::set<AttemptId> seen;
};

}  // namespace

TEST_CASE("two coordinators together keep the limit of attempts of a call") {
  // Guards against a call that runs on more leaves of a shard than its route allows, because its
  // first coordinator retried failed attempts before it failed itself, or because the second one
  // sent although no attempt was left (review/10).
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  const Route route = {
      .repeatable = true, .time_limit = milliseconds(1000), .objective = milliseconds(100)};
  const PeerAddress vms[] = {{.ip = 1, .port = 1}, {.ip = 2, .port = 1}};
  std::size_t hand_overs = 0;
  std::size_t most_leaves = 0;
  for (const int attempt_limit : {1, 2, 3, 4}) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      CAPTURE(attempt_limit);
      CAPTURE(seed);
      Random random(seed);
      HandOver hand_over({}, seed);
      hand_over.SetCoordinators({vms[0], vms[1]}, 2);
      Route limited_route = route;
      limited_route.attempt_limit = attempt_limit;
      std::vector<HandOverAction> actions;
      hand_over.Begin(1, {.time_left = milliseconds(1000)}, limited_route, start, actions);
      FailingCoordinator first(attempt_limit, seed, start + milliseconds(1));
      first.Begin(actions[0]);
      const TimePoint failed_at = start + milliseconds(2 + random.NextBelow(40));
      first.RunUntil(failed_at);
      const AttemptId first_attempt = actions[0].attempt;
      actions.clear();
      hand_over.OnFailure(first_attempt, AttemptFailure::kBroken, failed_at, actions);
      LeavesByService leaves = first.leaves;
      for (const HandOverAction& action : actions) {
        REQUIRE(action.step != HandOverStep::kCoordinateLocally);
        if (action.step != HandOverStep::kSend) {
          continue;
        }
        ++hand_overs;
        FailingCoordinator second(attempt_limit, seed + 1000, failed_at);
        second.Begin(action);
        second.RunUntil(failed_at + milliseconds(900));
        for (const auto& [service, ids] : second.leaves) {
          leaves[service].insert(ids.begin(), ids.end());
        }
      }
      for (const auto& [service, ids] : leaves) {
        CHECK(ids.size() <= static_cast<std::size_t>(attempt_limit));
        most_leaves = std::max(most_leaves, ids.size());
      }
    }
  }
  CHECK(hand_overs >= 50);
  CHECK(most_leaves == 4);
}

TEST_CASE("a coordinator that must leave attempts for another one") {
  DispatchFixture fixture(1);
  fixture.coordinator.Begin({.request_id = "r",
                             .host = "h",
                             .path = "/all/1",
                             .time_left = milliseconds(1000),
                             .single_attempt_time = milliseconds(30)},
                            fixture.now, fixture.actions);
  const SendAction first_send = fixture.GetSendActions()[0];
  fixture.Clear();
  fixture.RunUntil(milliseconds(5));
  SUBCASE("sends a failed attempt again when that time is over") {
    fixture.Fail(first_send, AttemptFailure::kBroken);
    fixture.RunUntil(milliseconds(29));
    CHECK(fixture.GetSendActions().empty());
    CHECK(fixture.GetAnswers().empty());
    fixture.RunUntil(milliseconds(31));
    CHECK(fixture.GetSendActions().size() == 1);
  }
  SUBCASE("sends a request that has not run again at once") {
    fixture.Fail(first_send, AttemptFailure::kNoConnection);
    CHECK(fixture.GetSendActions().size() == 1);
  }
}

TEST_CASE("a call that another VM may have sent already, without attempts left") {
  DispatchFixture fixture;
  const auto begin = [&](const char* path) {
    fixture.coordinator.Begin({.request_id = "r",
                               .host = "h",
                               .path = path,
                               .time_left = milliseconds(1000),
                               .may_have_been_sent = true},
                              fixture.now, fixture.actions);
    CHECK(fixture.GetSendActions().empty());
    REQUIRE(fixture.GetAnswers().size() == 1);
    CHECK(fixture.GetAnswers()[0].kind == AnswerKind::kFailed);
    CHECK(fixture.coordinator.in_progress() == 0);
  };
  SUBCASE("fails if its route allows one attempt for each shard") {
    fixture.SetAttemptLimit(1);
    begin("/all/1");
  }
  SUBCASE("fails if a newer configuration allows it to run only once") {
    begin("/order/1");
  }
}

}  // namespace ibishold
