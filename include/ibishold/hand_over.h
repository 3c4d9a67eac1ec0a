#ifndef IBISHOLD_HAND_OVER_H_
#define IBISHOLD_HAND_OVER_H_

// Tracks the calls that this VM handed over to coordinators on other VMs, until their answers
// arrive. Reads no clock and no socket.
//
// Index of this header:
//   1. HandOver   state machine of the calls that were handed over

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
  // A coordinator that has not replied after this share of the objective is probed. If it does not
  // answer the probe within probe_timeout, the call fails and the caller may retry.
  double probe_delay_share = 0.5;
  Duration min_probe_delay = std::chrono::milliseconds(40);
  Duration probe_timeout = std::chrono::milliseconds(250);
  // A call is handed over again only if its coordinator fails within this share of the objective.
  // Until then it sends to one leaf of each shard only, so that another one may use the remaining
  // attempts of the route.
  double retry_window_share = 0.2;
  // Time for which a coordinator gets no calls after a broken connection or an unanswered probe.
  Duration suspect_duration = std::chrono::milliseconds(2500);
  // Subtracted from the time limit, so that the answer reaches the caller within it.
  Duration time_limit_margin = std::chrono::milliseconds(15);
  int connect_failure_limit = 3;  // per call; when reached, this VM coordinates it
};

enum class HandOverStep : std::uint8_t {
  kSend,               // to `coordinator`
  kProbe,              // check whether `coordinator` responds
  kCoordinateLocally,  // this VM coordinates the call itself
  kCancel,             // cancel `attempt`
  kAnswer,             // send `answer` to the caller
  kSuspect,            // `coordinator` failed; avoid it for suspect_duration
};

struct HandOverAction {
  HandOverStep step = HandOverStep::kSend;
  std::uint64_t ticket = 0;         // identifies the call
  AttemptId attempt = 0;            // kSend, kProbe, kCancel
  PeerAddress coordinator;          // kSend, kProbe, kSuspect
  Duration time_left{};             // kSend: time until the caller's deadline
  bool may_have_been_sent = false;  // kSend, kCoordinateLocally
  Duration single_attempt_time{};   // kSend: Call::single_attempt_time
  Answer answer;                    // kAnswer
};

// State machine of the handed-over calls. Preferred coordinators are used before all others. If no
// connection to a coordinator can be opened, the call goes to another one. If a coordinator fails
// after the connection was opened, the call goes to one other coordinator if that leaves the number
// of attempts for each shard within the route's limit; otherwise it fails at once.
class HandOver {
 public:
  HandOver(HandOverOptions options, std::uint64_t seed);

  // The first `preferred_count` coordinators are preferred.
  void SetCoordinators(std::vector<PeerAddress> coordinators, std::size_t preferred_count);
  bool has_coordinators() const { return !this->coordinators.empty(); }

  void Begin(std::uint64_t ticket,
             const Call& call,
             const Route& route,
             TimePoint now,
             std::vector<HandOverAction>& actions);
  // Ends the call of this attempt and returns its ticket. Returns nullopt if the attempt is a probe
  // or has ended already.
  std::optional<std::uint64_t> OnReply(AttemptId attempt,
                                       TimePoint now,
                                       std::vector<HandOverAction>& actions);
  // The coordinator declined the call, so this VM coordinates it.
  void OnDeclined(AttemptId attempt, TimePoint now, std::vector<HandOverAction>& actions);
  void OnFailure(AttemptId attempt,
                 AttemptFailure failure,
                 TimePoint now,
                 std::vector<HandOverAction>& actions);
  void OnCallerLeft(std::uint64_t ticket, std::vector<HandOverAction>& actions);
  void OnTimer(TimePoint now, std::vector<HandOverAction>& actions);
  // Answers every call as failed before this process exits.
  void EndAll(std::vector<HandOverAction>& actions);
  std::optional<TimePoint> NextTimer() const;
  std::size_t in_progress() const { return this->calls.size(); }

 private:
  struct RunningAttempt {
    AttemptId attempt = 0;
    PeerAddress coordinator;
  };
  struct CallProgress {
    TimePoint deadline{};      // when this VM must answer the caller
    TimePoint time_left_at{};  // time from which time_left counts
    Duration time_left{};      // Call::time_left
    Duration probe_delay{};
    TimePoint retry_until{};  // end of the retry window (retry_window_share)
    TimePoint timer_at{};     // deadline of the probe in progress, or start of the next one
    AttemptId probe = 0;      // 0: no probe in progress
    std::vector<RunningAttempt> running_attempts;
    std::vector<PeerAddress> tried_coordinators;
    int coordinator_limit = 1;       // limit of possibly_started_count
    int possibly_started_count = 0;  // coordinators that may have started the call
    int connect_failures = 0;
  };

  void SendToCoordinator(std::uint64_t ticket,
                         CallProgress& progress,
                         TimePoint now,
                         std::vector<HandOverAction>& actions);
  std::optional<PeerAddress> ChooseCoordinator(const CallProgress& progress);
  void FailUnresponsiveCall(std::uint64_t ticket,
                            const CallProgress& progress,
                            std::vector<HandOverAction>& actions);
  void FailCall(std::uint64_t ticket, AnswerReason reason, std::vector<HandOverAction>& actions);
  void ScheduleTimer(std::uint64_t ticket, CallProgress& progress, TimePoint at);
  void CancelProbe(CallProgress& progress,
                   std::uint64_t ticket,
                   std::vector<HandOverAction>& actions);
  void EndCall(std::uint64_t ticket, std::vector<HandOverAction>& actions);

  HandOverOptions options;
  Random random;
  std::vector<PeerAddress> coordinators;
  std::size_t preferred_coordinator_count = 0;
  AttemptId last_attempt_id = 0;
  std::unordered_map<std::uint64_t, CallProgress> calls;  // by ticket
  std::unordered_map<AttemptId, std::uint64_t> tickets_by_attempt;
  std::unordered_map<PeerAddress, std::uint32_t, absl::Hash<PeerAddress>> calls_in_flight;
  std::set<std::pair<TimePoint, std::uint64_t>> timers;
};

}  // namespace ibishold

#endif  // IBISHOLD_HAND_OVER_H_
