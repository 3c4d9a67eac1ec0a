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
  std::size_t running() const;  // executions without a result
  const TokenHome& tokens() const { return this->home; }

 private:
  // A caller of this front or another front that waits for the result of a token.
  struct Waiter {
    CallerRequest request;
    Token token;
    TimePoint started{};
    TimePoint answer_at{};
    TimePoint forward_until{};  // end of the tries to reach the home
    bool forwarded = false;     // true: another front waits, not a caller
  };

  // One dispatch of a token's request to a leaf.
  struct Execution {
    BatchHeader header;
    Token token;
    std::uint64_t dispatch = 0;
    std::uint64_t waiter = 0;  // that caused the dispatch; 0 once answered
    std::uint64_t key = 0;
    std::uint64_t attempt = 0;    // in flight; 0 if none
    LeafId leaf;                  // chosen for the last attempt
    std::vector<RouteKey> avoid;  // routes that refused the request
    std::uint32_t passes = 0;     // refusals after which another owner of the leaf was tried
    std::uint32_t waits = 0;      // for an owner that accepts the request
    bool owner_changes = false;   // a broker replied NOT_OWNER
    bool finished = false;        // has a result, which a late one may still replace
  };

  TimePoint AnswerAt(TimePoint deadline, TimePoint now) const;
  void Begin(std::uint64_t waiter, TimePoint now);
  void Dispatch(std::uint64_t waiter, std::uint64_t dispatch, TimePoint now);
  // Sends an attempt to a leaf; false if there is no route.
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

// Returns a result that reports an error.
TokenResult RefusedResult(int status,
                          std::string_view error,
                          std::string_view message,
                          Verdict verdict,
                          Duration retry_after = Duration{});

}  // namespace ibishold

#endif  // SRC_FRONT_EXECUTE_ENGINE_H_
