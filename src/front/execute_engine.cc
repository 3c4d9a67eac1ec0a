#include "front/execute_engine.h"

#include <algorithm>
#include <utility>

#include "front/request_checks.h"

namespace ibishold {

namespace {

TokenHomeOptions HomeOptions(const FrontOptions& options) {
  TokenHomeOptions tokens = options.tokens;
  tokens.self = {.vm = options.vm, .incarnation = options.incarnation};
  return tokens;
}

// Returns a hash of the operation, which detects the use of one token for two operations.
std::uint64_t FingerprintOf(const CallerRequest& request) {
  return StableHash(request.body, StableHash(request.service.value, request.key));
}

}  // namespace

ExecuteEngine::ExecuteEngine(const FrontOptions& options, Dispatcher& dispatcher)
    : options(options),
      dispatcher(dispatcher),
      home(HomeOptions(options)),
      planner(dispatcher.tracker) {}

void ExecuteEngine::Start(CallerRequest request, TimePoint now) {
  if (RefusedBy(CheckService(this->dispatcher, request), this->dispatcher, request)) {
    return;
  }
  if (request.token.empty()) {
    const absl::StatusOr<Token> token = this->home.Issue(now);
    if (!token.ok()) {
      Refuse(this->dispatcher, request,
             {.status = 503,
              .error = "no_token",
              .message = token.status().ToString(),
              .retry_after = std::chrono::seconds(1)});
      return;
    }
    Refuse(this->dispatcher, request,
           {.status = 428,
            .error = "token_required",
            .message = "send the request again with the Idempotency-Key of this answer",
            .new_token = ToText(*token)});
    return;
  }
  const absl::StatusOr<Token> token = ParseToken(request.token);
  if (!token.ok()) {
    Refuse(this->dispatcher, request,
           {.status = 400, .error = "bad_token", .message = token.status().ToString()});
    return;
  }
  if (RefusedBy(CheckDeadline(this->options, request, now), this->dispatcher, request)) {
    return;
  }
  if (RefusedBy(CheckAdmission(this->dispatcher, request, now), this->dispatcher, request)) {
    return;
  }
  const std::uint64_t id = this->dispatcher.NextId();
  Waiter& waiter = this->waiters[id];
  this->by_ticket[request.ticket] = id;
  waiter.token = *token;
  waiter.started = now;
  waiter.answer_at = this->AnswerAt(request.deadline, now);
  waiter.forward_until = std::min(waiter.answer_at, now + this->options.forward_limit);
  waiter.request = std::move(request);
  this->Begin(id, now);
}

TimePoint ExecuteEngine::AnswerAt(TimePoint deadline, TimePoint now) const {
  const auto left = static_cast<double>(std::max(Duration{}, deadline - now).count());
  const auto share = Duration(static_cast<Duration::rep>(left * this->options.answer_margin_share));
  return deadline - std::min(this->options.answer_margin, share);
}

std::uint64_t ExecuteEngine::StartForwarded(CallerRequest request, TimePoint now) {
  const std::uint64_t id = this->dispatcher.NextId();
  const absl::StatusOr<Token> token = ParseToken(request.token);
  Waiter& waiter = this->waiters[id];
  waiter.forwarded = true;
  waiter.started = now;
  // The forwarding front waits only until the deadline that it sent, so this front must answer
  // earlier.
  waiter.answer_at = this->AnswerAt(request.deadline, now);
  waiter.forward_until = std::min(waiter.answer_at, now + this->options.forward_limit);
  waiter.request = std::move(request);
  if (!token.ok()) {
    this->Answer(id, RefusedResult(400, "bad_token", token.status().ToString(), Verdict::kNotRun),
                 now);
    return id;
  }
  waiter.token = *token;
  this->Begin(id, now);
  return id;
}

void ExecuteEngine::Begin(std::uint64_t id, TimePoint now) {
  Waiter& waiter = this->waiters.at(id);
  const Token& token = waiter.token;
  if (const ControlViewPtr& view = this->dispatcher.view()) {
    const auto report = view->successors.find({token.home.vm, token.home.incarnation});
    if (report != view->successors.end()) {
      this->home.LearnSuccessor(token.home, report->second.vm, report->second.hops, now);
    }
  }
  const TokenDecision decision = this->home.Begin(token, FingerprintOf(waiter.request), id, now);
  switch (decision.action) {
    case TokenAction::kDispatch:
      this->Dispatch(id, decision.dispatch, now);
      return;
    case TokenAction::kJoin:
      this->dispatcher.timers.Add({.at = waiter.answer_at, .kind = TimerKind::kAnswer, .id = id});
      return;
    case TokenAction::kReplay:
      ++this->dispatcher.counters.replays;
      this->Answer(id, decision.result, now);
      return;
    case TokenAction::kForward:
      ++this->dispatcher.counters.forwards;
      this->dispatcher.timers.Add({.at = waiter.answer_at, .kind = TimerKind::kAnswer, .id = id});
      this->dispatcher.Act(ForwardExecute{.forward = id,
                                          .home = decision.forward_to,
                                          .request = waiter.request,
                                          .deadline = waiter.answer_at});
      return;
    case TokenAction::kExpired:
      this->Answer(
          id, RefusedResult(410, "token_expired", "the token has expired", Verdict::kMayHaveRun),
          now);
      return;
    case TokenAction::kUnknownRun:
      this->Answer(id,
                   RefusedResult(504, "home_lost", "the home of the token has stopped",
                                 Verdict::kMayHaveRun),
                   now);
      return;
    case TokenAction::kFull:
      this->Answer(id,
                   RefusedResult(503, "token_table_full", "too many tokens are in use",
                                 Verdict::kNotRun, std::chrono::seconds(1)),
                   now);
      return;
    case TokenAction::kMismatch:
      this->Answer(id,
                   RefusedResult(422, "token_mismatch", "the token was used for another operation",
                                 Verdict::kNotRun),
                   now);
      return;
  }
}

void ExecuteEngine::OnForwardedResult(std::uint64_t forward,
                                      const TokenResult& result,
                                      TimePoint now) {
  this->Answer(forward, result, now);
}

void ExecuteEngine::OnForwardNotSent(std::uint64_t forward, TimePoint now) {
  const auto found = this->waiters.find(forward);
  if (found == this->waiters.end()) {
    return;
  }
  if (now + this->options.forward_wait < found->second.forward_until) {
    this->dispatcher.timers.Add(
        {.at = now + this->options.forward_wait, .kind = TimerKind::kForward, .id = forward});
    return;
  }
  // An earlier request with this token may have reached the home, so "not run" is not certain.
  this->Answer(forward,
               RefusedResult(503, "home_unreachable", "the home of the token is unreachable",
                             Verdict::kMayHaveRun, std::chrono::seconds(1)),
               now);
}

void ExecuteEngine::OnForwardLost(std::uint64_t forward, TimePoint now) {
  this->Answer(forward,
               RefusedResult(504, "home_lost",
                             "the link to the home of the token closed before a result arrived",
                             Verdict::kMayHaveRun),
               now);
}

void ExecuteEngine::Abandon(std::uint64_t ticket, TimePoint now) {
  const auto found = this->by_ticket.find(ticket);
  if (found == this->by_ticket.end()) {
    return;
  }
  // The execution continues, and the token table stores its result.
  ++this->dispatcher.counters.abandoned;
  this->home.RemoveWaiter(this->waiters.at(found->second).token, found->second);
  this->Release(found->second, now);
}

void ExecuteEngine::HandOver(const FrontRun& successor, TimePoint now) {
  absl::StatusOr<std::vector<TokenHandOver>> parts = this->home.Export(successor, now);
  if (!parts.ok()) {
    return;
  }
  for (TokenHandOver& part : *parts) {
    this->dispatcher.Act(SendHandOver{std::move(part)});
  }
}

absl::Status ExecuteEngine::OnHandOver(const TokenHandOver& part, TimePoint now) {
  const absl::StatusOr<std::vector<TokenReply>> replies = this->home.Import(part, now);
  if (!replies.ok()) {
    return replies.status();
  }
  for (const TokenReply& reply : *replies) {
    this->Answer(reply.waiter, reply.result, now);
  }
  return absl::OkStatus();
}

void ExecuteEngine::OnSenderStopped(const FrontRun& sender, TimePoint now) {
  for (const TokenReply& reply : this->home.SenderStopped(sender, now)) {
    this->Answer(reply.waiter, reply.result, now);
  }
}

void ExecuteEngine::SendLateResults(TimePoint now) {
  if (!this->home.handed_over()) {
    return;
  }
  for (TokenHandOver& part : this->home.ExportResults(now)) {
    this->dispatcher.Act(SendHandOver{std::move(part)});
  }
}

std::size_t ExecuteEngine::running() const {
  return static_cast<std::size_t>(
      std::count_if(this->executions.begin(), this->executions.end(),
                    [](const auto& item) { return !item.second.finished; }));
}

}  // namespace ibishold
