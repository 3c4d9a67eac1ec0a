#include <boost/json.hpp>
#include <utility>

#include "front/dispatcher.h"
#include "front/execute_engine.h"
#include "front/query_engine.h"
#include "front/request_checks.h"
#include "ibishold/front.h"

namespace ibishold {

namespace json = boost::json;

namespace {

// Another front serves the request at once.
constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(50);

}  // namespace

FrontCore::FrontCore(FrontOptions front_options)
    : options(std::move(front_options)),
      dispatcher(std::make_unique<Dispatcher>(this->options)),
      query_engine(std::make_unique<QueryEngine>(this->options, *this->dispatcher)),
      execute_engine(std::make_unique<ExecuteEngine>(this->options, *this->dispatcher)) {}

FrontCore::~FrontCore() = default;

void FrontCore::SetView(ControlViewPtr view, TimePoint now) {
  this->dispatcher->SetView(std::move(view), now);
}

void FrontCore::OnRequest(CallerRequest request, TimePoint now) {
  ++this->dispatcher->counters.requests;
  if (request.deadline > this->stop_ends_at) {
    SendRefusal(*this->dispatcher, request,
                {.status = 503,
                 .error = "stopping",
                 .message = "this front is about to stop",
                 .retry_after = kStoppingRetryAfter});
    return;
  }
  if (request.kind == RequestKind::kExecute) {
    this->execute_engine->Start(std::move(request), now);
    return;
  }
  this->query_engine->Start(std::move(request), now);
}

void FrontCore::BeginStop(TimePoint end) {
  this->stop_ends_at = end;
}

void FrontCore::OnRequestAbandoned(std::uint64_t ticket, TimePoint now) {
  this->query_engine->Abandon(ticket, now);
  this->execute_engine->Abandon(ticket, now);
}

void FrontCore::OnLeafReply(const VmId& broker, const LeafReply& reply, TimePoint now) {
  const Attempt* attempt_in_flight = this->dispatcher->FindAttempt(reply.attempt_id);
  if (attempt_in_flight == nullptr || attempt_in_flight->broker != broker) {
    ++this->dispatcher->counters.late_replies;
    return;
  }
  const std::optional<Attempt> attempt = this->dispatcher->TakeAttempt(reply.attempt_id);
  if (!reply.index_versions.empty()) {
    this->dispatcher->snapshot_tracker.RecordStatement(
        {.leaf = attempt->leaf,
         .index_versions = reply.index_versions,
         .map_version = reply.stated_snapshot.partition_map_version,
         .asked_at = attempt->sent_at});
  }
  if (reply.outcome == wire::Outcome::UNREACHABLE || reply.outcome == wire::Outcome::LEAF_LOST) {
    this->dispatcher->snapshot_tracker.MarkUnreachable(attempt->leaf, now);
  }
  if (reply.outcome == wire::Outcome::NOT_OWNER) {
    this->dispatcher->RecordDecline(attempt->leaf, broker, now);
  }
  this->DeliverReply(*attempt, reply, now);
}

void FrontCore::OnCancelResult(std::uint64_t attempt_id, Verdict verdict, TimePoint now) {
  const Attempt* attempt_in_flight = this->dispatcher->FindAttempt(attempt_id);
  if (attempt_in_flight == nullptr) {
    return;
  }
  // An attempt that was sent remains tracked until its reply ends it. The reply to a query's
  // attempt is counted as late.
  if (verdict != Verdict::kNotRun) {
    this->query_engine->RecordAttemptVerdict(*attempt_in_flight, verdict);
    return;
  }
  const std::optional<Attempt> attempt = this->dispatcher->TakeAttempt(attempt_id);
  if (this->execute_engine->OwnsExecution(attempt->local_request_id)) {
    LeafReply reply;
    reply.attempt_id = attempt_id;
    reply.outcome = wire::Outcome::CANCELLED;
    reply.verdict = Verdict::kNotRun;
    this->execute_engine->OnReply(*attempt, reply, now);
  }
}

void FrontCore::DeliverReply(const Attempt& attempt, const LeafReply& reply, TimePoint now) {
  if (this->execute_engine->OwnsExecution(attempt.local_request_id)) {
    this->execute_engine->OnReply(attempt, reply, now);
  } else {
    this->query_engine->OnReply(attempt, reply, now);
  }
}

void FrontCore::OnBatchNotSent(const SendBatch& batch, TimePoint now) {
  this->dispatcher->RecordBrokerFailure(batch.broker, now);
  for (const LeafCall& call : batch.calls) {
    const std::optional<Attempt> attempt = this->dispatcher->TakeAttempt(call.attempt_id);
    if (!attempt) {
      continue;
    }
    LeafReply reply;
    reply.attempt_id = call.attempt_id;
    reply.outcome = wire::Outcome::UNREACHABLE;
    reply.verdict = Verdict::kNotRun;
    this->DeliverReply(*attempt, reply, now);
  }
}

void FrontCore::OnLinkLost(const VmId& broker, TimePoint now) {
  this->dispatcher->RecordBrokerFailure(broker, now);
  for (const std::uint64_t id : this->dispatcher->ListAttempts(broker)) {
    const std::optional<Attempt> attempt = this->dispatcher->TakeAttempt(id);
    if (!attempt) {
      continue;
    }
    LeafReply reply;
    reply.attempt_id = id;
    reply.outcome = wire::Outcome::LEAF_LOST;
    reply.verdict = Verdict::kMayHaveRun;
    this->DeliverReply(*attempt, reply, now);
  }
}

void FrontCore::OnTimer(TimePoint now) {
  while (const std::optional<Timer> timer = this->dispatcher->timers.PopDue(now)) {
    if (timer->kind == TimerKind::kAttemptExpiry) {
      if (const std::optional<Attempt> attempt = this->dispatcher->TakeAttempt(timer->id)) {
        this->query_engine->RecordAttemptVerdict(*attempt, Verdict::kMayHaveRun);
      }
      continue;
    }
    this->query_engine->OnTimer(*timer, now);
    this->execute_engine->OnTimer(*timer, now);
  }
}

void FrontCore::OnQuarantineReport(const QuarantineReport& report, TimePoint now) {
  this->query_engine->OnQuarantineReport(report, now);
}

std::uint64_t FrontCore::OnForwardedRequest(CallerRequest request, TimePoint now) {
  return this->execute_engine->StartForwarded(std::move(request), now);
}

void FrontCore::OnForwardedResult(std::uint64_t forward_id,
                                  const TokenResult& result,
                                  TimePoint now) {
  this->execute_engine->OnForwardedResult(forward_id, result, now);
}

void FrontCore::OnForwardNotSent(std::uint64_t forward_id, TimePoint now) {
  this->execute_engine->OnForwardNotSent(forward_id, now);
}

void FrontCore::OnForwardLost(std::uint64_t forward_id, TimePoint now) {
  this->execute_engine->OnForwardLost(forward_id, now);
}

void FrontCore::HandOverTokens(const FrontRun& successor, TimePoint now) {
  this->execute_engine->HandOverTokens(successor, now);
}

absl::Status FrontCore::OnTokenHandOver(const TokenHandOver& part, TimePoint now) {
  return this->execute_engine->OnTokenHandOver(part, now);
}

void FrontCore::OnSenderStopped(const FrontRun& sender, TimePoint now) {
  this->execute_engine->OnSenderStopped(sender, now);
}

std::vector<FrontRun> FrontCore::GetInheritedRuns() const {
  return this->execute_engine->home().CollectInheritedRuns();
}

std::optional<TimePoint> FrontCore::GetNextTimer() const {
  return this->dispatcher->timers.GetNextDueTime();
}

std::vector<FrontAction> FrontCore::TakeActions() {
  return this->dispatcher->TakeActions();
}

const FrontCounters& FrontCore::counters() const {
  return this->dispatcher->counters;
}

std::size_t FrontCore::requests_in_progress() const {
  return this->query_engine->query_count() + this->execute_engine->waiter_count() +
         this->execute_engine->running_execution_count();
}

std::size_t FrontCore::attempts_outstanding() const {
  return this->dispatcher->attempt_count();
}

std::string FrontCore::BuildDebugState(TimePoint now) const {
  (void)now;
  const ControlViewPtr& view = this->dispatcher->view();
  json::object state{{"requests_in_progress", this->requests_in_progress()},
                     {"attempts_outstanding", this->attempts_outstanding()},
                     {"tokens", this->execute_engine->home().token_count()},
                     {"tokens_handed_over", this->execute_engine->home().handed_over()},
                     {"executions_running", this->execute_engine->running_execution_count()},
                     {"hedge_budget", this->query_engine->hedge_budget().balance()},
                     {"retry_budget", this->query_engine->retry_budget().balance()}};
  if (view) {
    state["topology_generation"] = view->topology ? view->topology->generation : 0;
    state["partition_map_version"] = view->topology ? view->topology->partition_map_version : 0;
    state["table_generation"] = view->table ? view->table->generation : 0;
    state["vms_generation"] = view->vms ? view->vms->generation : 0;
  }
  return json::serialize(state);
}

}  // namespace ibishold
