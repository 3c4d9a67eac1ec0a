#include "front/execute_engine.h"

#include <algorithm>
#include <utility>

#include "front/request_checks.h"

namespace ibishold {

namespace {

TokenHomeOptions MakeHomeOptions(const FrontOptions& options) {
  TokenHomeOptions home_options = options.token_options;
  home_options.self = {.vm = options.vm, .incarnation = options.incarnation};
  return home_options;
}

// Returns a hash of the operation, which detects the use of one token for two operations.
std::uint64_t ComputeFingerprint(const CallerRequest& request) {
  return StableHash(request.body, StableHash(request.service.value, request.key));
}

}  // namespace

ExecuteEngine::ExecuteEngine(const FrontOptions& options, Dispatcher& dispatcher)
    : options(options),
      dispatcher(dispatcher),
      token_home(MakeHomeOptions(options)),
      planner(dispatcher.snapshot_tracker) {}

void ExecuteEngine::Start(CallerRequest request, TimePoint now) {
  if (RefuseIfFailed(CheckService(this->dispatcher, request), this->dispatcher, request)) {
    return;
  }
  if (request.token.empty()) {
    const absl::StatusOr<Token> token = this->token_home.Issue(now);
    if (!token.ok()) {
      SendRefusal(this->dispatcher, request,
                  {.status = 503,
                   .error = "no_token",
                   .message = token.status().ToString(),
                   .retry_after = std::chrono::seconds(1)});
      return;
    }
    SendRefusal(this->dispatcher, request,
                {.status = 428,
                 .error = "token_required",
                 .message = "send the request again with the Idempotency-Key of this answer",
                 .new_token = FormatToken(*token)});
    return;
  }
  const absl::StatusOr<Token> token = ParseToken(request.token);
  if (!token.ok()) {
    SendRefusal(this->dispatcher, request,
                {.status = 400, .error = "bad_token", .message = token.status().ToString()});
    return;
  }
  if (RefuseIfFailed(CheckDeadline(this->options, request, now), this->dispatcher, request)) {
    return;
  }
  if (RefuseIfFailed(CheckAdmission(this->dispatcher, request, now), this->dispatcher, request)) {
    return;
  }
  const std::uint64_t id = this->dispatcher.AllocateId();
  Waiter& waiter = this->waiters[id];
  this->waiter_by_ticket[request.ticket] = id;
  waiter.token = *token;
  waiter.started_at = now;
  waiter.answer_at = this->ComputeAnswerTime(request.deadline, now);
  waiter.forward_until = std::min(waiter.answer_at, now + this->options.forward_timeout);
  waiter.request = std::move(request);
  this->ResolveToken(id, now);
}

TimePoint ExecuteEngine::ComputeAnswerTime(TimePoint deadline, TimePoint now) const {
  const auto time_left = static_cast<double>(std::max(Duration{}, deadline - now).count());
  const auto margin =
      Duration(static_cast<Duration::rep>(time_left * this->options.answer_margin_share));
  return deadline - std::min(this->options.answer_margin, margin);
}

std::uint64_t ExecuteEngine::StartForwarded(CallerRequest request, TimePoint now) {
  const std::uint64_t id = this->dispatcher.AllocateId();
  const absl::StatusOr<Token> token = ParseToken(request.token);
  Waiter& waiter = this->waiters[id];
  waiter.is_front = true;
  waiter.started_at = now;
  // The forwarding front waits only until the deadline that it sent, so this front must answer
  // earlier.
  waiter.answer_at = this->ComputeAnswerTime(request.deadline, now);
  waiter.forward_until = std::min(waiter.answer_at, now + this->options.forward_timeout);
  waiter.request = std::move(request);
  if (!token.ok()) {
    this->AnswerWaiter(
        id, MakeErrorResult(400, "bad_token", token.status().ToString(), Verdict::kNotRun), now);
    return id;
  }
  waiter.token = *token;
  this->ResolveToken(id, now);
  return id;
}

void ExecuteEngine::ResolveToken(std::uint64_t id, TimePoint now) {
  Waiter& waiter = this->waiters.at(id);
  const Token& token = waiter.token;
  if (const ControlViewPtr& view = this->dispatcher.view()) {
    const auto report = view->successors.find({token.home.vm, token.home.incarnation});
    if (report != view->successors.end()) {
      this->token_home.RecordSuccessor(token.home, report->second.vm, report->second.hops, now);
    }
  }
  const TokenDecision decision =
      this->token_home.Begin(token, ComputeFingerprint(waiter.request), id, now);
  switch (decision.action) {
    case TokenAction::kDispatch:
      this->StartExecution(id, decision.dispatch_id, now);
      return;
    case TokenAction::kJoin:
      this->dispatcher.timers.Add(
          {.due_at = waiter.answer_at, .kind = TimerKind::kAnswer, .id = id});
      return;
    case TokenAction::kReplay:
      ++this->dispatcher.counters.replays;
      this->AnswerWaiter(id, decision.result, now);
      return;
    case TokenAction::kForward:
      ++this->dispatcher.counters.forwards;
      this->dispatcher.timers.Add(
          {.due_at = waiter.answer_at, .kind = TimerKind::kAnswer, .id = id});
      this->dispatcher.AddAction(ForwardExecute{.forward_id = id,
                                                .home = decision.forward_to,
                                                .request = waiter.request,
                                                .deadline = waiter.answer_at});
      return;
    case TokenAction::kExpired:
      this->AnswerWaiter(id,
                         MakeErrorResult(410, "token_expired", "the token is too old to be decided",
                                         Verdict::kMayHaveRun),
                         now);
      return;
    case TokenAction::kUnknownRun:
      this->AnswerWaiter(
          id,
          MakeErrorResult(504, "home_lost", "the front that decides about the token is gone",
                          Verdict::kMayHaveRun),
          now);
      return;
    case TokenAction::kTableFull:
      this->AnswerWaiter(id,
                         MakeErrorResult(503, "token_table_full", "too many tokens are in use",
                                         Verdict::kNotRun, std::chrono::seconds(1)),
                         now);
      return;
    case TokenAction::kOperationMismatch:
      this->AnswerWaiter(
          id,
          MakeErrorResult(422, "token_mismatch", "the token belongs to another operation",
                          Verdict::kNotRun),
          now);
      return;
  }
}

void ExecuteEngine::OnForwardedResult(std::uint64_t forward_id,
                                      const TokenResult& result,
                                      TimePoint now) {
  this->AnswerWaiter(forward_id, result, now);
}

void ExecuteEngine::OnForwardNotSent(std::uint64_t forward_id, TimePoint now) {
  const auto found = this->waiters.find(forward_id);
  if (found == this->waiters.end()) {
    return;
  }
  if (now + this->options.forward_retry_delay < found->second.forward_until) {
    this->dispatcher.timers.Add({.due_at = now + this->options.forward_retry_delay,
                                 .kind = TimerKind::kForwardRetry,
                                 .id = forward_id});
    return;
  }
  // An earlier request with this token may have reached the home, so "not run" is not certain.
  this->AnswerWaiter(forward_id,
                     MakeErrorResult(503, "home_unreachable",
                                     "the front that decides about the token cannot be reached",
                                     Verdict::kMayHaveRun, std::chrono::seconds(1)),
                     now);
}

void ExecuteEngine::OnForwardLost(std::uint64_t forward_id, TimePoint now) {
  this->AnswerWaiter(
      forward_id,
      MakeErrorResult(504, "home_lost", "the link to the home closed before its answer",
                      Verdict::kMayHaveRun),
      now);
}

void ExecuteEngine::Abandon(std::uint64_t ticket, TimePoint now) {
  const auto found = this->waiter_by_ticket.find(ticket);
  if (found == this->waiter_by_ticket.end()) {
    return;
  }
  // The execution continues, and the token table stores its result.
  ++this->dispatcher.counters.abandoned_requests;
  this->token_home.RemoveWaiter(this->waiters.at(found->second).token, found->second);
  this->ReleaseWaiter(found->second, now);
}

void ExecuteEngine::HandOverTokens(const FrontRun& successor, TimePoint now) {
  absl::StatusOr<std::vector<TokenHandOver>> parts = this->token_home.Export(successor, now);
  if (!parts.ok()) {
    return;
  }
  for (TokenHandOver& part : *parts) {
    this->dispatcher.AddAction(SendHandOver{std::move(part)});
  }
}

absl::Status ExecuteEngine::OnTokenHandOver(const TokenHandOver& part, TimePoint now) {
  const absl::StatusOr<std::vector<TokenReply>> replies = this->token_home.Import(part, now);
  if (!replies.ok()) {
    return replies.status();
  }
  for (const TokenReply& reply : *replies) {
    this->AnswerWaiter(reply.waiter_id, reply.result, now);
  }
  return absl::OkStatus();
}

void ExecuteEngine::OnSenderStopped(const FrontRun& sender, TimePoint now) {
  for (const TokenReply& reply : this->token_home.OnSenderStopped(sender, now)) {
    this->AnswerWaiter(reply.waiter_id, reply.result, now);
  }
}

void ExecuteEngine::SendResultsToSuccessor(TimePoint now) {
  if (!this->token_home.handed_over()) {
    return;
  }
  for (TokenHandOver& part : this->token_home.ExportLateResults(now)) {
    this->dispatcher.AddAction(SendHandOver{std::move(part)});
  }
}

std::size_t ExecuteEngine::running_execution_count() const {
  return static_cast<std::size_t>(
      std::count_if(this->executions.begin(), this->executions.end(),
                    [](const auto& entry) { return !entry.second.finished; }));
}

}  // namespace ibishold
