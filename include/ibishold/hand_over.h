#ifndef IBISHOLD_HAND_OVER_H_
#define IBISHOLD_HAND_OVER_H_

// Tracks calls that another VM coordinates until their answer arrives. Uses no clock and no
// sockets.
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
  // A coordinator that has not answered after this share of the objective is probed. If the probe
  // is not answered within probe_timeout, the call fails and the caller may retry.
  double probe_delay_share = 0.5;
  Duration min_probe_delay = std::chrono::milliseconds(40);
  Duration probe_timeout = std::chrono::milliseconds(250);
  // A coordinator that fails before this share of the objective has passed has sent no hedges yet,
  // so another coordinator may still send to one leaf of each shard.
  double retry_window_share = 0.2;
  // Time for which a coordinator is not used after an unanswered probe or a broken connection.
  Duration suspect_duration = std::chrono::milliseconds(2500);
  // Subtracted from the time limit, so that the answer reaches the caller within it.
  Duration limit_margin = std::chrono::milliseconds(15);
  int coordinator_limit = 2;      // coordinators that may have started one call
  int connect_failure_limit = 3;  // coordinators that could not be connected to
};

enum class HandOverStep : std::uint8_t {
  kSend,               // to `coordinator`
  kProbe,              // check whether `coordinator` responds
  kCoordinateLocally,  // this VM coordinates the call itself
  kCancel,             // cancel the attempt
  kAnswer,             // final answer by this VM
  kSuspect,            // `coordinator` does not respond
};

struct HandOverAction {
  HandOverStep step = HandOverStep::kSend;
  std::uint64_t ticket = 0;         // identifies the call
  AttemptId attempt = 0;            // kSend, kProbe, kCancel
  PeerAddress coordinator;          // kSend, kProbe, kSuspect
  Duration time_left{};             // kSend: of the caller
  bool may_have_been_sent = false;  // kSend, kCoordinateLocally
  Answer answer;                    // kAnswer
};

// Tracks calls that were handed over to a coordinator until their answer. Near coordinators are
// used before all others. A coordinator that cannot be connected to is replaced. One that fails
// later is replaced only while it cannot have sent hedges; after that the call fails at once.
class HandOver {
 public:
  HandOver(HandOverOptions options, std::uint64_t seed);

  // The first `near` coordinators are preferred.
  void SetCoordinators(std::vector<PeerAddress> coordinators, std::size_t preferred_count);
  bool has_coordinators() const { return !this->coordinators.empty(); }

  void Begin(std::uint64_t ticket,
             const Call& call,
             const Route& route,
             TimePoint now,
             std::vector<HandOverAction>& actions);
  // Ends the call that the reply answers and returns its ticket; nullopt for the reply to a probe.
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
    TimePoint deadline{};      // of the answer
    TimePoint time_left_at{};  // time at which time_left was the caller's remaining time
    Duration time_left{};
    Duration probe_delay{};
    TimePoint retry_until{};  // a coordinator that fails once connected is replaced until then
    TimePoint timer_at{};     // deadline of the probe, or start of the next one
    AttemptId probe = 0;      // 0: no probe of the newest attempt in progress
    std::vector<RunningAttempt> running_attempts;
    std::vector<PeerAddress> tried_coordinators;
    int possibly_started = 0;  // coordinators that may have started the call
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
