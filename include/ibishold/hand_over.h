#ifndef IBISHOLD_HAND_OVER_H_
#define IBISHOLD_HAND_OVER_H_

// Calls that another VM coordinates, followed until their answer. Reads no clock and no socket.
//
// Index of this header:
//   1. HandOver   the calls that were handed over

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/hash/hash.h"
#include "ibishold/call.h"
#include "ibishold/core.h"
#include "ibishold/fleet.h"
#include "ibishold/routing.h"

namespace ibishold {

// ---- 1. HandOver --------------------------------------------------------------------------------

struct HandOverOptions {
  // A coordinator that has not answered after this share of the objective is asked whether it is
  // there; if it does not say so within the probe limit, the call ends: its caller may come again.
  double probe_delay_share = 0.5;
  Duration min_probe_delay = std::chrono::milliseconds(40);
  Duration probe_timeout = std::chrono::milliseconds(250);
  // A coordinator that dies before this share of the objective has passed has not sent to second
  // leaves, so that another one may send to one leaf of each shard.
  double retry_window_share = 0.2;
  Duration suspect_duration =
      std::chrono::milliseconds(2500);  // after silence or a broken connection
  // Kept back from the time limit for the way back to the caller.
  Duration limit_margin = std::chrono::milliseconds(15);
  int coordinator_limit = 2;      // coordinators that may have begun to work on one call
  int connect_failure_limit = 3;  // coordinators that could not be connected to
};

enum class HandOverStep : std::uint8_t {
  kSend,               // to `coordinator`
  kProbe,              // ask `coordinator` for a sign of life
  kCoordinateLocally,  // this VM coordinates the call itself
  kCancel,             // the attempt is not needed any more
  kAnswer,             // final answer by this VM
  kSuspect,            // the coordinator does not answer
};

struct HandOverAction {
  HandOverStep step = HandOverStep::kSend;
  std::uint64_t ticket = 0;         // of the call
  AttemptId attempt = 0;            // kSend, kProbe, kCancel
  PeerAddress coordinator;          // kSend, kProbe, kSuspect
  Duration time_left{};             // kSend: that the caller still waits
  bool may_have_been_sent = false;  // kSend, kCoordinateLocally
  Answer answer;                    // kAnswer
};

// Follows calls that were handed over to a coordinator until their answer. Coordinators are taken
// from the plan, nearest first. One that cannot be reached is replaced; one that dies is replaced
// only while it cannot have sent to second leaves, else the call ends at once as failed.
class HandOver {
 public:
  HandOver(HandOverOptions options, std::uint64_t seed);

  void SetCoordinators(std::vector<PeerAddress> coordinators, std::size_t near);
  bool has_coordinators() const { return !this->coordinators.empty(); }

  void Begin(std::uint64_t ticket,
             const Call& call,
             const Route& route,
             TimePoint now,
             std::vector<HandOverAction>& actions);
  // The call that the reply answers, which then has ended; nothing for the reply to a probe.
  std::optional<std::uint64_t> OnReply(AttemptId attempt,
                                       TimePoint now,
                                       std::vector<HandOverAction>& actions);
  // The coordinator has not taken the call; it runs here.
  void OnDeclined(AttemptId attempt, TimePoint now, std::vector<HandOverAction>& actions);
  void OnFailure(AttemptId attempt,
                 AttemptFailure failure,
                 TimePoint now,
                 std::vector<HandOverAction>& actions);
  void OnCallerLeft(std::uint64_t ticket, std::vector<HandOverAction>& actions);
  void OnTimer(TimePoint now, std::vector<HandOverAction>& actions);
  // Answers every call as failed: this process is about to end.
  void EndAll(std::vector<HandOverAction>& actions);
  std::optional<TimePoint> NextTimer() const;
  std::size_t in_progress() const { return this->calls.size(); }

 private:
  struct RunningAttempt {
    AttemptId attempt = 0;
    PeerAddress coordinator;
  };
  struct Progress {
    TimePoint deadline{};      // of the caller
    TimePoint time_left_at{};  // when the caller's remaining time is counted from
    Duration time_left{};      // at time_left_at
    Duration probe_delay{};
    TimePoint retry_until{};  // a coordinator that dies before is replaced
    TimePoint wake_at{};      // the newest attempt counts as silent then
    AttemptId probe = 0;      // in progress, of the newest attempt
    std::vector<RunningAttempt> running;
    std::vector<PeerAddress> tried;
    int possibly_started = 0;  // coordinators that may have begun
    int connect_failures = 0;
  };

  void Send(std::uint64_t ticket,
            Progress& progress,
            TimePoint now,
            std::vector<HandOverAction>& actions);
  std::optional<PeerAddress> ChooseCoordinator(const Progress& progress);
  void FailUnresponsive(std::uint64_t ticket,
                        const Progress& progress,
                        std::vector<HandOverAction>& actions);
  void Fail(std::uint64_t ticket, AnswerReason reason, std::vector<HandOverAction>& actions);
  void ScheduleTimer(std::uint64_t ticket, Progress& progress, TimePoint at);
  void CancelProbe(Progress& progress, std::uint64_t ticket, std::vector<HandOverAction>& actions);
  void End(std::uint64_t ticket, std::vector<HandOverAction>& actions);

  HandOverOptions options;
  Random random;
  std::vector<PeerAddress> coordinators;
  std::size_t near_count = 0;
  AttemptId last_attempt = 0;
  std::unordered_map<std::uint64_t, Progress> calls;
  std::unordered_map<AttemptId, std::uint64_t> attempts;
  std::unordered_map<PeerAddress, std::uint32_t, absl::Hash<PeerAddress>> in_flight;
  std::set<std::pair<TimePoint, std::uint64_t>> timers;
};

}  // namespace ibishold

#endif  // IBISHOLD_HAND_OVER_H_
