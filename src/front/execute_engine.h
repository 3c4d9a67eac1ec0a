#ifndef SRC_FRONT_EXECUTE_ENGINE_H_
#define SRC_FRONT_EXECUTE_ENGINE_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "front/dispatcher.h"
#include "front/timer_queue.h"
#include "ibishold/front.h"
#include "ibishold/idempotency.h"

namespace ibishold {

// Runs non-repeatable requests: at the front that took the request in (tokens, forwarding) and at
// the home of the token (one dispatch, joined callers, replay).
class ExecuteEngine {
 public:
  ExecuteEngine(const FrontOptions& options, Dispatcher& dispatcher);

  void Start(CallerRequest request, TimePoint now);
  std::uint64_t StartForwarded(CallerRequest request, TimePoint now);  // returns the waiter
  void Abandon(std::uint64_t ticket, TimePoint now);

  bool Owns(std::uint64_t request) const { return this->executions.contains(request); }
  void OnReply(const Attempt& attempt, const LeafReply& reply, TimePoint now);
  void OnTimer(const Timer& timer, TimePoint now);

  void OnForwardedResult(std::uint64_t forward, const TokenResult& result, TimePoint now);
  void OnForwardNotSent(std::uint64_t forward, TimePoint now);
  void OnForwardLost(std::uint64_t forward, TimePoint now);

  void HandOver(const FrontRun& successor, TimePoint now);
  absl::Status OnHandOver(const TokenHandOver& part, TimePoint now);
  void OnSenderStopped(const FrontRun& sender, TimePoint now);

  std::size_t size() const { return this->waiters.size(); }
  std::size_t running() const;  // dispatches without a result
  const TokenHome& tokens() const { return this->home; }

 private:
  // Somebody who waits for the result of a token: a caller of this front or another front.
  struct Waiter {
    CallerRequest request;
    Token token;
    TimePoint started{};
    TimePoint answer_at{};
    TimePoint forward_until{};  // tries to reach the home end
    bool forwarded = false;     // the waiter is another front
  };

  // One dispatch to a leaf.
  struct Execution {
    BatchHeader header;
    Token token;
    std::uint64_t dispatch = 0;
    std::uint64_t waiter = 0;  // who began it; 0: answered
    std::uint64_t key = 0;
    std::uint64_t attempt = 0;    // out; 0: none
    LeafId leaf;                  // that it may run on
    std::vector<RouteKey> avoid;  // routes that refused it
    std::uint32_t passes = 0;     // to another owner after a refusal
    std::uint32_t waits = 0;      // for a reachable owner
    bool owner_changes = false;   // a broker said that it is not the owner
    bool finished = false;        // a result was given; a late one may still improve it
  };

  TimePoint AnswerAt(TimePoint deadline, TimePoint now) const;
  void Begin(std::uint64_t waiter, TimePoint now);
  void Dispatch(std::uint64_t waiter, std::uint64_t dispatch, TimePoint now);
  // Sends the execution to its leaf; false if no owner is reachable.
  bool Ask(Execution& execution, TimePoint now);
  void AskOrRefuse(Execution& execution, TimePoint now);
  void Finish(Execution& execution, const TokenResult& result, TimePoint now);
  void Answer(std::uint64_t waiter, const TokenResult& result, TimePoint now);
  void Release(std::uint64_t waiter, TimePoint now);
  void SendLateResults(TimePoint now);

  FrontOptions options;
  Dispatcher& dispatcher;
  TokenHome home;
  QueryPlanner planner;
  std::unordered_map<std::uint64_t, Waiter> waiters;
  std::unordered_map<std::uint64_t, std::uint64_t> by_ticket;
  std::unordered_map<std::uint64_t, Execution> executions;
};

// Result that says why there is none.
TokenResult RefusedResult(int status,
                          std::string_view error,
                          std::string_view message,
                          Verdict verdict,
                          Duration retry_after = Duration{});

}  // namespace ibishold

#endif  // SRC_FRONT_EXECUTE_ENGINE_H_
