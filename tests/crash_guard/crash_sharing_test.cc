#include <doctest/doctest.h>

#include <queue>
#include <vector>

#include "ibishold/crash_guard.h"

namespace ibishold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kFingerprint = 99;
constexpr std::uint64_t kService = 7;
constexpr std::uint64_t kOtherService = 8;
// Targets of the platform: a VM has kContactTime to learn of the third crash, and
// kLateRequestLimit requests that arrive later may still reach leaves.
constexpr Duration kContactTime = seconds(5);
constexpr int kLateRequestLimit = 3;

// A fleet in which each VM runs the calls that it gets. Its messages are sent as in ibishold-node:
// a crash goes to 16 random VMs at once, news to 4 at the next tick, and every 500 ms all that
// counts goes to 2. One in ten datagrams is lost.
class Fleet {
 public:
  Fleet(std::size_t vm_count, std::uint64_t seed) : random(seed), guards(vm_count) {}

  void RunFor(Duration duration) {
    const TimePoint end = this->now + duration;
    while (this->now < end) {
      this->now += kTick;
      ++this->tick;
      while (!this->datagrams.empty() && this->datagrams.front().arrives_at <= this->now) {
        this->Deliver(this->datagrams.front());
        this->datagrams.pop();
      }
      for (std::size_t vm = 0; vm < this->guards.size(); ++vm) {
        this->Send(vm, this->guards[vm].TakeNews(this->now), 4);
        if ((this->tick + vm) % kTicksPerGossip == 0) {
          this->Send(vm, this->guards[vm].ListNews(this->now), 2);
        }
      }
    }
  }

  // Runs a request of a call of one leaf that crashes each leaf that begins to run it. Returns the
  // number of leaves that it reached.
  int RunCrashingRequest(std::size_t vm, int attempt_limit, std::uint64_t service = kService) {
    ++this->request_count;
    int reached = 0;
    while (reached < attempt_limit && !this->IsBlocked(vm, service)) {
      ++reached;
      this->guards[vm].RecordCrash({.fingerprint = kFingerprint,
                                    .part = CallPart::kWhole,
                                    .request = this->request_count,
                                    .service = service,
                                    .leaf = ++this->crash_count},
                                   this->now);
      this->Send(vm, {.crashes = this->guards[vm].TakeReports()}, 16);
    }
    return reached;
  }

  bool IsBlocked(std::size_t vm, std::uint64_t service = kService) const {
    return this->guards[vm].GetBlockTimeLeft(kFingerprint, service, this->now) > Duration::zero();
  }
  std::size_t CountBlocked() const {
    std::size_t blocked = 0;
    for (std::size_t vm = 0; vm < this->guards.size(); ++vm) {
      blocked += this->IsBlocked(vm) ? 1 : 0;
    }
    return blocked;
  }
  std::size_t CountRemembered() const {
    std::size_t remembered = 0;
    for (const CrashGuard& guard : this->guards) {
      remembered += guard.ListNews(this->now).empty() ? 0 : 1;
    }
    return remembered;
  }

  static constexpr Duration kTick = milliseconds(100);
  static constexpr std::size_t kTicksPerGossip = 5;

  TimePoint now = TimePoint() + std::chrono::hours(1);
  Random random;
  std::vector<CrashGuard> guards;
  std::uint64_t crash_count = 0;
  std::uint64_t datagram_count = 0;

 private:
  struct Datagram {
    std::size_t receiver = 0;
    TimePoint arrives_at{};
    CrashNews news;
  };

  void Send(std::size_t sender, const CrashNews& news, int receiver_count) {
    if (news.empty()) {
      return;
    }
    for (int i = 0; i < receiver_count; ++i) {
      const std::size_t receiver = this->random.NextBelow(this->guards.size());
      if (receiver == sender || this->random.NextBelow(10) == 0) {
        continue;
      }
      ++this->datagram_count;
      this->datagrams.push(
          {.receiver = receiver, .arrives_at = this->now + milliseconds(5), .news = news});
    }
  }

  void Deliver(const Datagram& datagram) {
    CrashGuard& guard = this->guards[datagram.receiver];
    for (const CallRefusal& refusal : datagram.news.refusals) {
      guard.MergeRefusal(refusal, this->now);
    }
    for (const LeafCrash& crash : datagram.news.crashes) {
      guard.RecordPeerCrash(crash, this->now);
    }
  }

  std::queue<Datagram> datagrams;
  std::uint64_t request_count = 0;
  std::uint64_t tick = 0;
};

}  // namespace

// Guards against crashes of calls of one leaf that reach only the coordinators of fan-out calls:
// each VM that got such a call for the first time passed it on, and it crashed two leaves more.
TEST_CASE("a call that crashes each leaf and comes again at another VM each time") {
  for (const std::size_t vm_count : {13U, 32U, 139U, 300U}) {
    for (const int attempt_limit : {1, 2}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(vm_count);
        CAPTURE(attempt_limit);
        CAPTURE(seed);
        Fleet fleet(vm_count, seed);
        std::optional<TimePoint> third_crash_at;
        int late_requests = 0;
        for (std::size_t request = 0; request < 24; ++request) {
          const bool is_late = third_crash_at && fleet.now > *third_crash_at + kContactTime;
          const int reached = fleet.RunCrashingRequest(request % vm_count, attempt_limit);
          late_requests += is_late && reached > 0 ? 1 : 0;
          if (!third_crash_at && fleet.crash_count >= 3) {
            third_crash_at = fleet.now;
          }
          fleet.RunFor(seconds(2));
        }
        CHECK(late_requests <= kLateRequestLimit);
        CHECK(fleet.CountBlocked() == vm_count);
      }
    }
  }
}

// Guards against crashes that are counted for each service: after the operator had moved the route
// of a call that crashes each leaf, or split it, it crashed three leaves more.
TEST_CASE("a call that crashes each leaf, at two services and at another VM each time") {
  for (const std::size_t vm_count : {13U, 32U, 139U, 300U, 1100U}) {
    for (const std::size_t requests_before_move : {1U, 2U, 3U}) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(vm_count);
        CAPTURE(requests_before_move);
        CAPTURE(seed);
        Fleet fleet(vm_count, seed);
        std::optional<TimePoint> third_crash_at;
        int late_requests = 0;
        for (std::size_t request = 0; request < 12; ++request) {
          const std::uint64_t service = request < requests_before_move ? kService : kOtherService;
          const bool is_late = third_crash_at && fleet.now > *third_crash_at + kContactTime;
          const int reached = fleet.RunCrashingRequest(request % vm_count, 1, service);
          late_requests += is_late ? reached : 0;
          if (!third_crash_at && fleet.crash_count >= 3) {
            third_crash_at = fleet.now;
          }
          fleet.RunFor(seconds(2));
        }
        CHECK(late_requests == 0);
        CHECK(fleet.crash_count <= 4);
        // VMs that start after the move learn of it as well.
        fleet.guards[vm_count - 1] = CrashGuard();
        fleet.RunFor(seconds(10));
        CHECK(fleet.IsBlocked(vm_count - 1, kOtherService));
      }
    }
  }
}

TEST_CASE("a fleet in which a call is blocked") {
  Fleet fleet(32, 3);
  for (std::size_t vm = 0; vm < 3; ++vm) {
    fleet.RunCrashingRequest(vm, 2);
    fleet.RunFor(seconds(2));
  }
  REQUIRE(fleet.CountBlocked() == 32);

  SUBCASE("tells a VM that starts afterwards") {
    fleet.guards[20] = CrashGuard();
    fleet.RunFor(seconds(5));
    CHECK(fleet.IsBlocked(20));
  }
  SUBCASE("still refuses it after all VMs have restarted one after the other") {
    for (CrashGuard& guard : fleet.guards) {
      guard = CrashGuard();
      fleet.RunFor(seconds(1));
    }
    fleet.RunFor(seconds(5));
    CHECK(fleet.CountBlocked() == 32);
  }
  SUBCASE("sends the call again when the refusal is over") {
    // Guards against VMs that renew a block or a suspicion for ever by telling each other.
    fleet.RunFor(std::chrono::minutes(11));
    CHECK(fleet.CountBlocked() == 0);
    CHECK(fleet.CountRemembered() == 0);
  }
}

// Guards against a report that is passed through the whole fleet for each leaf that crashes.
TEST_CASE("crashes of leaves that other calls get over are not passed on") {
  Fleet fleet(300, 4);
  fleet.RunCrashingRequest(0, 1);
  fleet.RunFor(seconds(10));
  CHECK(fleet.datagram_count <= 16);
}

TEST_CASE("a suspicion that no further crash confirms is forgotten by the whole fleet") {
  Fleet fleet(32, 5);
  fleet.RunCrashingRequest(0, 2);
  fleet.RunFor(seconds(10));
  CHECK(fleet.CountRemembered() == 32);
  fleet.RunFor(seconds(55));
  CHECK(fleet.CountRemembered() == 0);
}

// Guards against a popular call that is refused everywhere because each VM counts the lost replies
// of the whole fleet, but only its own successes.
TEST_CASE("a call that each VM gets answered is not blocked by the lost replies of all VMs") {
  Fleet fleet(32, 6);
  std::uint64_t request = 0;
  for (std::uint64_t round = 0; round < 100; ++round) {
    for (std::size_t vm = 0; vm < fleet.guards.size(); ++vm) {
      REQUIRE_FALSE(fleet.IsBlocked(vm));
      ++request;
      // Every twentieth reply is lost on each VM, so no VM sees two in a row.
      if (round == 0 || (round + vm) % 20 != 0) {
        fleet.guards[vm].RecordSuccess(kFingerprint, kService, CallPart::kWhole, fleet.now);
        continue;
      }
      const LeafCrash crash = {.fingerprint = kFingerprint,
                               .part = CallPart::kWhole,
                               .request = request,
                               .service = kService,
                               .leaf = request};
      fleet.guards[vm].RecordCrash(crash, fleet.now);
      for (CrashGuard& guard : fleet.guards) {
        guard.RecordPeerCrash(crash, fleet.now);
      }
    }
    fleet.RunFor(seconds(2));
  }
}

}  // namespace ibishold
