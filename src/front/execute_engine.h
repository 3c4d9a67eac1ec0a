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

// Runs non-repeatable requests. The front that receives a request issues and checks tokens and
// forwards the request to the home of its token. The home has at most one dispatch of a token in
// flight, lets further requests with the token wait for its result, and replays the result to later
// ones.
class ExecuteEngine {
 public:
  ExecuteEngine(const FrontOptions& options, Dispatcher& dispatcher);

  void Start(CallerRequest request, TimePoint now);
  std::uint64_t StartForwarded(CallerRequest request, TimePoint now);  // returns the waiter ID
  void Abandon(std::uint64_t ticket, TimePoint now);

  bool OwnsExecution(std::uint64_t execution_id) const {
    return this->executions.contains(execution_id);
  }
  void OnReply(const Attempt& attempt, const LeafReply& reply, TimePoint now);
  void OnTimer(const Timer& timer, TimePoint now);

  void OnForwardedResult(std::uint64_t forward_id, const TokenResult& result, TimePoint now);
  void OnForwardNotSent(std::uint64_t forward_id, TimePoint now);
  void OnForwardLost(std::uint64_t forward_id, TimePoint now);

  void HandOverTokens(const FrontRun& successor, TimePoint now);
  absl::Status OnTokenHandOver(const TokenHandOver& part, TimePoint now);
  void OnSenderStopped(const FrontRun& sender, TimePoint now);

  std::size_t waiter_count() const { return this->waiters.size(); }
  std::size_t running_execution_count() const;  // executions without a result
  const TokenHome& home() const { return this->token_home; }

 private:
  // A caller of this front or another front that waits for the result of a token.
  struct Waiter {
    CallerRequest request;
    Token token;
    TimePoint started_at{};
    TimePoint answer_at{};
    TimePoint forward_until{};  // end of the tries to reach the home
    bool is_front = false;      // true: another front waits, not a caller
  };

  // One dispatch of a token's request to a leaf.
  struct Execution {
    BatchHeader header;
    Token token;
    std::uint64_t dispatch_id = 0;
    std::uint64_t waiter_id = 0;  // waiter that caused the dispatch; 0 once answered
    std::uint64_t key = 0;
    std::uint64_t attempt_id = 0;             // attempt in flight; 0 if none
    LeafId leaf;                              // chosen for the last attempt
    std::vector<RouteKey> avoided_routes;     // routes that refused the request
    std::uint32_t refusal_reroute_count = 0;  // retries at another owner after a refusal
    std::uint32_t wait_count = 0;             // waits for an owner that accepts the request
    bool owner_is_changing = false;           // a broker replied NOT_OWNER
    bool finished = false;                    // a result exists; a late one may replace it
  };

  TimePoint ComputeAnswerTime(TimePoint deadline, TimePoint now) const;
  void ResolveToken(std::uint64_t waiter_id, TimePoint now);
  void StartExecution(std::uint64_t waiter_id, std::uint64_t dispatch_id, TimePoint now);
  // Sends an attempt to a leaf; false if there is no route.
  bool TryStartAttempt(Execution& execution, TimePoint now);
  void StartAttemptOrRefuse(Execution& execution, TimePoint now);
  void FinishExecution(Execution& execution, const TokenResult& result, TimePoint now);
  void AnswerWaiter(std::uint64_t waiter_id, const TokenResult& result, TimePoint now);
  void ReleaseWaiter(std::uint64_t waiter_id, TimePoint now);
  void SendResultsToSuccessor(TimePoint now);

  FrontOptions options;
  Dispatcher& dispatcher;
  TokenHome token_home;
  QueryPlanner planner;
  std::unordered_map<std::uint64_t, Waiter> waiters;
  std::unordered_map<std::uint64_t, std::uint64_t> waiter_by_ticket;
  std::unordered_map<std::uint64_t, Execution> executions;
};

// Returns a result that reports an error.
TokenResult MakeErrorResult(int status,
                            std::string_view error,
                            std::string_view message,
                            Verdict verdict,
                            Duration retry_after = Duration{});

}  // namespace ibishold

#endif  // SRC_FRONT_EXECUTE_ENGINE_H_
