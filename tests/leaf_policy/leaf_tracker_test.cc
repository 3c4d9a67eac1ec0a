#include <doctest/doctest.h>

#include <vector>

#include "ibishold/leaf_policy.h"

namespace ibishold {

namespace {

using std::chrono::milliseconds;

LeafEntry LeafNamed(const char* id, const char* centre = "east") {
  return {.id = LeafId(id), .data_centre = DataCentre(centre), .slots = 2, .revision = 1};
}

const LeafReply kSuccess = {.status = 200, .signature = "s"};

}  // namespace

TEST_CASE("which leaf is expected to answer first") {
  LeafTracker tracker({.data_centre = DataCentre("east")}, 1);
  const LeafEntry a = LeafNamed("a");
  const LeafEntry b = LeafNamed("b");
  const LeafEntry far = LeafNamed("far", "west");
  const Duration usual = milliseconds(10);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  AttemptId attempt = 0;
  const auto answer_after = [&](const LeafEntry& leaf, Duration took) {
    tracker.RecordSend(++attempt, leaf, usual, now);
    tracker.RecordReply(attempt, kSuccess, now + took);
  };

  SUBCASE("the own data centre is preferred among equals") {
    CHECK(tracker.Choose({&far, &a}, usual, now) == &a);
  }
  SUBCASE("a slower leaf nearby is soon enough for a distant objective, not for a close one") {
    // Pattern: leaves differ in speed by half; 44 of 100 parts crossed between data centres
    // although each shard had a leaf nearby that would have answered in time.
    for (int i = 0; i < 12; ++i) {
      answer_after(a, milliseconds(18));
      now += milliseconds(50);
    }
    CHECK(tracker.Choose({&far, &a}, usual, now, milliseconds(200)) == &a);
    CHECK(tracker.Choose({&far, &a}, usual, now, milliseconds(30)) == &far);
    SUBCASE("nor is one that waits for a slot for long") {
      for (int i = 0; i < 12; ++i) {
        tracker.RecordSend(++attempt, a, usual, now);
      }
      CHECK(tracker.Choose({&far, &a}, usual, now, milliseconds(200)) == &far);
    }
  }
  SUBCASE("one long answer does not send work to another data centre") {
    // Pattern: service times spread by a third and more; each exchange with another data centre
    // costs bytes on the links between them and a round trip.
    answer_after(a, milliseconds(25));
    now += milliseconds(25);
    CHECK(tracker.Choose({&a, &far}, usual, now) == &a);
  }
  SUBCASE("a leaf that pauses gets no new work until it answers") {
    // Pattern: each leaf stops for 100 to 200 ms now and then, with requests waiting at it.
    tracker.RecordSend(++attempt, a, usual, now);
    now += milliseconds(40);
    CHECK(tracker.Stalled(a.id, now));
    CHECK(tracker.Choose({&a, &far}, usual, now) == &far);
    tracker.RecordReply(attempt, kSuccess, now);
    CHECK_FALSE(tracker.Stalled(a.id, now));
  }
  SUBCASE("a slow leaf is avoided, and tried again after a time") {
    for (int i = 0; i < 6; ++i) {
      answer_after(a, milliseconds(80));
      answer_after(b, milliseconds(10));
    }
    now += milliseconds(80);
    CHECK(tracker.Choose({&a, &b}, usual, now) == &b);
    CHECK(tracker.Score(a, usual, now + std::chrono::seconds(20)) <
          1.2 * tracker.Score(b, usual, now + std::chrono::seconds(20)));
  }
  SUBCASE("a leaf that fails requests while it looks healthy is avoided") {
    tracker.RecordSend(++attempt, a, usual, now);
    tracker.RecordReply(attempt, {.status = 500, .signature = "s"}, now + milliseconds(1));
    now += milliseconds(1);
    CHECK(tracker.Choose({&a, &b}, usual, now) == &b);
  }
  SUBCASE("the load that a leaf told counts, less with its age") {
    tracker.RecordSend(++attempt, a, usual, now);
    tracker.RecordReply(attempt,
                        {.status = 200,
                         .signature = "s",
                         .load = LoadReport{.running = 2, .waiting = 6, .slots = 2}},
                        now + milliseconds(10));
    now += milliseconds(10);
    CHECK(tracker.Choose({&a, &b}, usual, now) == &b);
    const double fresh = tracker.Score(a, usual, now);
    CHECK(tracker.Score(a, usual, now + milliseconds(600)) < 0.6 * fresh);
  }
}

TEST_CASE("a cold leaf gets no more than it bears from the whole fleet") {
  LeafTracker tracker({}, 1);
  const LeafEntry leaf = LeafNamed("a");
  TimePoint now = TimePoint() + std::chrono::hours(1);
  constexpr double kRate = 40;      // requests/s
  constexpr std::size_t kVms = 10;  // senders
  tracker.SetColdUntil(leaf.id, now + std::chrono::seconds(3), now);
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(1);
    taken += tracker.TryTakeWarmUpToken(leaf, kRate, kVms, now) ? 1 : 0;
  }
  CHECK(taken <= 5);
  CHECK(taken >= 3);
  SUBCASE("a warm one has no such limit") {
    CHECK(tracker.TryTakeWarmUpToken(leaf, kRate, kVms, now + std::chrono::seconds(3)));
    CHECK(tracker.TryTakeWarmUpToken(leaf, kRate, kVms, now + std::chrono::seconds(3)));
  }
}

TEST_CASE("a leaf that pauses is seen by one VM and avoided by all") {
  // Pattern: each leaf stops for 100 to 200 ms every few seconds. A VM that sends to a shard seven
  // times a second would find most pauses by itself, each with a request that waits.
  constexpr std::size_t kVms = 13;
  const Duration usual = milliseconds(10);
  const LeafEntry paused = LeafNamed("paused");
  const LeafEntry other = LeafNamed("other", "west");
  std::vector<LeafTracker> vms;
  for (std::size_t i = 0; i < kVms; ++i) {
    vms.emplace_back(LeafTrackerOptions{.data_centre = DataCentre("east")}, i);
  }
  TimePoint now = TimePoint() + std::chrono::hours(1);
  vms[0].RecordSend(1, paused, usual, now - milliseconds(200));
  vms[0].RecordReply(1, kSuccess, now - milliseconds(190));
  vms[0].RecordSend(1, paused, usual, now);
  now += milliseconds(30);
  vms[0].RecordOverdue(1, now);
  const std::vector<SilentLeaf> news = vms[0].TakeSilentLeaves();
  REQUIRE(news.size() == 1);
  CHECK(news[0].waited == milliseconds(30));

  SUBCASE("those that are told send elsewhere") {
    for (LeafTracker& vm : vms) {
      vm.RecordPeerSilence(news[0], now);
      CHECK(vm.Choose({&paused, &other}, usual, now) == &other);
    }
    SUBCASE("until the leaf answers them") {
      vms[1].RecordSend(2, paused, usual, now);
      vms[1].RecordReply(2, kSuccess, now);
      CHECK(vms[1].Choose({&paused, &other}, usual, now) == &paused);
    }
    SUBCASE("or the news are old") {
      now += milliseconds(200);
      CHECK(vms[1].Choose({&paused, &other}, usual, now) == &paused);
    }
  }
  SUBCASE("a VM that the leaf has answered meanwhile knows better") {
    vms[1].RecordSend(2, paused, usual, now - milliseconds(20));
    vms[1].RecordReply(2, kSuccess, now - milliseconds(10));
    vms[1].RecordPeerSilence(news[0], now);
    CHECK(vms[1].Choose({&paused, &other}, usual, now) == &paused);
  }
  SUBCASE("a long request at a leaf that answers others is no silence") {
    vms[1].RecordSend(2, paused, usual, now - milliseconds(30));
    vms[1].RecordSend(3, paused, usual, now - milliseconds(20));
    vms[1].RecordReply(3, kSuccess, now - milliseconds(10));
    vms[1].RecordOverdue(2, now);
    CHECK(vms[1].TakeSilentLeaves().empty());
  }
  SUBCASE("a leaf that this VM cannot reach is not told: others may reach it") {
    // Pattern: packets pass one way only, or not at all, between one VM and a leaf that is sound.
    vms[1].RecordSend(2, paused, usual, now - milliseconds(30));
    vms[1].RecordOverdue(2, now);
    CHECK(vms[1].TakeSilentLeaves().empty());
    CHECK(vms[1].Choose({&paused, &other}, usual, now) == &other);
    vms[0].RecordSend(4, paused, usual, now + std::chrono::seconds(2));
    vms[0].RecordOverdue(4, now + std::chrono::milliseconds(2030));
    CHECK(vms[0].TakeSilentLeaves().empty());
  }
  SUBCASE("one silence is told once, also when several requests meet it") {
    vms[0].RecordSend(2, paused, usual, now - milliseconds(25));
    vms[0].RecordOverdue(2, now + milliseconds(5));
    CHECK(vms[0].TakeSilentLeaves().empty());
    vms[1].RecordPeerSilence(news[0], now);
    vms[1].RecordSend(3, paused, usual, now - milliseconds(25));
    vms[1].RecordOverdue(3, now + milliseconds(5));
    CHECK(vms[1].TakeSilentLeaves().empty());
  }
}

TEST_CASE("a leaf that went dark is tried ever less often, and used again when it answers") {
  // Pattern: 48 of 300 leaves go dark for some seconds without leaving the list; each first send to
  // one of them costs its call a second send or its shard.
  LeafTracker tracker({.data_centre = DataCentre("east")}, 1);
  const LeafEntry unresponsive = LeafNamed("dark");
  const LeafEntry other = LeafNamed("other", "west");
  const Duration usual = milliseconds(28);
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  TimePoint now = start;
  AttemptId attempt = 0;
  int tries = 0;
  // A call each 60 ms; the dark leaf's part is given up after 100 ms.
  const auto run_until = [&](Duration end, bool answers) {
    for (; now < start + end; now += milliseconds(60)) {
      const LeafEntry* chosen = tracker.Choose({&unresponsive, &other}, usual, now);
      tracker.RecordSend(++attempt, *chosen, usual, now);
      if (chosen == &other || answers) {
        tracker.RecordReply(attempt, kSuccess, now + usual);
        continue;
      }
      ++tries;
      tracker.RecordOverdue(attempt, now + milliseconds(40));
      tracker.RecordCancellation(attempt, now + milliseconds(50));
    }
  };
  run_until(std::chrono::seconds(4), false);
  CHECK(tries <= 7);
  SUBCASE("the longest time to be avoided is bounded") {
    const int before = tries;
    run_until(std::chrono::seconds(24), false);
    CHECK(tries - before >= 5);
  }
  SUBCASE("after one answer it is a leaf like others") {
    now += std::chrono::seconds(20);
    run_until(now - start + milliseconds(100), true);
    CHECK(tracker.Choose({&unresponsive, &other}, usual, now + milliseconds(100)) == &unresponsive);
  }
}

TEST_CASE("a pause says nothing about the next request") {
  // Pattern: each leaf pauses for 250 ms each 6 s. One request that met the pause made the leaf
  // look slow for 4 s, and a fifth of all parts came from another data centre.
  LeafTracker tracker({.data_centre = DataCentre("east")}, 1);
  const LeafEntry near = LeafNamed("near");
  const LeafEntry far = LeafNamed("far", "west");
  const Duration usual = milliseconds(28);
  const Duration objective = milliseconds(200);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  tracker.RecordSend(1, near, usual, now);
  tracker.RecordReply(1, kSuccess, now + usual);
  now += milliseconds(100);
  const auto send_slow_request = [&](AttemptId attempt, Duration length) {
    tracker.RecordSend(attempt, near, usual, now);
    tracker.RecordOverdue(attempt, now + milliseconds(60));
    tracker.RecordReply(attempt, kSuccess, now + length);
    now += length + milliseconds(10);
  };
  send_slow_request(2, milliseconds(250));
  CHECK(tracker.Choose({&near, &far}, usual, now, objective) == &near);
  SUBCASE("a leaf that is slow each time is seen") {
    for (AttemptId attempt = 3; attempt < 8; ++attempt) {
      send_slow_request(attempt, milliseconds(250));
    }
    CHECK(tracker.Choose({&near, &far}, usual, now, objective) == &far);
  }
  SUBCASE("so is one that never answers in time") {
    for (AttemptId attempt = 3; attempt < 8; ++attempt) {
      tracker.RecordSend(attempt, near, usual, now);
      tracker.RecordOverdue(attempt, now + milliseconds(60));
      tracker.RecordCancellation(attempt, now + milliseconds(90));
      now += milliseconds(300);
    }
    CHECK(tracker.Choose({&near, &far}, usual, now, objective) == &far);
  }
}

}  // namespace ibishold
