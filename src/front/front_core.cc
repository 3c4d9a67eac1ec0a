#include <boost/json.hpp>
#include <utility>

#include "front/dispatcher.h"
#include "front/execute_engine.h"
#include "front/query_engine.h"
#include "ibishold/front.h"

namespace ibishold {

namespace json = boost::json;

FrontCore::FrontCore(FrontOptions front_options)
    : options(std::move(front_options)),
      dispatcher(std::make_unique<Dispatcher>(this->options)),
      queries(std::make_unique<QueryEngine>(this->options, *this->dispatcher)),
      executes(std::make_unique<ExecuteEngine>(this->options, *this->dispatcher)) {}

FrontCore::~FrontCore() = default;

void FrontCore::SetView(ControlViewPtr view, TimePoint now) {
  this->dispatcher->SetView(std::move(view), now);
}

void FrontCore::OnRequest(CallerRequest request, TimePoint now) {
  ++this->dispatcher->counters.requests;
  if (request.kind == RequestKind::kExecute) {
    this->executes->Start(std::move(request), now);
    return;
  }
  this->queries->Start(std::move(request), now);
}

void FrontCore::OnAbandoned(std::uint64_t ticket, TimePoint now) {
  this->queries->Abandon(ticket, now);
  this->executes->Abandon(ticket, now);
}

void FrontCore::OnLeafReply(const VmId& broker, const LeafReply& reply, TimePoint now) {
  const Attempt* attempt_in_flight = this->dispatcher->FindAttempt(reply.attempt);
  if (attempt_in_flight == nullptr || attempt_in_flight->broker != broker) {
    ++this->dispatcher->counters.late_replies;
    return;
  }
  const std::optional<Attempt> attempt = this->dispatcher->TakeAttempt(reply.attempt);
  if (!reply.index_versions.empty()) {
    this->dispatcher->snapshot_tracker.RecordStatement(
        {.leaf = attempt->leaf,
         .index_versions = reply.index_versions,
         .map_version = reply.stated.partition_map_version,
         .asked_at = attempt->sent_at});
  }
  if (reply.outcome == wire::Outcome::UNREACHABLE || reply.outcome == wire::Outcome::LEAF_LOST) {
    this->dispatcher->snapshot_tracker.MarkUnreachable(attempt->leaf, now);
  }
  if (reply.outcome == wire::Outcome::NOT_OWNER) {
    this->dispatcher->RecordDecline(attempt->leaf, broker, now);
  }
  this->Deliver(*attempt, reply, now);
}

void FrontCore::OnCancelResult(std::uint64_t id, Verdict verdict, TimePoint now) {
  const Attempt* attempt_in_flight = this->dispatcher->FindAttempt(id);
  if (attempt_in_flight == nullptr) {
    return;
  }
  // An attempt that was sent remains tracked: its reply ends it and is counted as late.
  if (verdict != Verdict::kNotRun) {
    this->queries->RecordAttemptVerdict(*attempt_in_flight, verdict);
    return;
  }
  const std::optional<Attempt> attempt = this->dispatcher->TakeAttempt(id);
  if (this->executes->OwnsExecution(attempt->local_request_id)) {
    LeafReply reply;
    reply.attempt = id;
    reply.outcome = wire::Outcome::CANCELLED;
    reply.verdict = Verdict::kNotRun;
    this->executes->OnReply(*attempt, reply, now);
  }
}

void FrontCore::Deliver(const Attempt& attempt, const LeafReply& reply, TimePoint now) {
  if (this->executes->OwnsExecution(attempt.local_request_id)) {
    this->executes->OnReply(attempt, reply, now);
  } else {
    this->queries->OnReply(attempt, reply, now);
  }
}

void FrontCore::OnNotSent(const SendBatch& batch, TimePoint now) {
  this->dispatcher->RecordBrokerFailure(batch.broker, now);
  for (const LeafCall& call : batch.calls) {
    const std::optional<Attempt> attempt = this->dispatcher->TakeAttempt(call.attempt);
    if (!attempt) {
      continue;
    }
    LeafReply reply;
    reply.attempt = call.attempt;
    reply.outcome = wire::Outcome::UNREACHABLE;
    reply.verdict = Verdict::kNotRun;
    this->Deliver(*attempt, reply, now);
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
    reply.attempt = id;
    reply.outcome = wire::Outcome::LEAF_LOST;
    reply.verdict = Verdict::kMayHaveRun;
    this->Deliver(*attempt, reply, now);
  }
}

void FrontCore::OnTimer(TimePoint now) {
  while (const std::optional<Timer> timer = this->dispatcher->timers.PopDue(now)) {
    if (timer->kind == TimerKind::kAttemptExpiry) {
      if (const std::optional<Attempt> attempt = this->dispatcher->TakeAttempt(timer->id)) {
        this->queries->RecordAttemptVerdict(*attempt, Verdict::kMayHaveRun);
      }
      continue;
    }
    this->queries->OnTimer(*timer, now);
    this->executes->OnTimer(*timer, now);
  }
}

void FrontCore::OnQuarantineReport(const QuarantineReport& report, TimePoint now) {
  this->queries->OnQuarantineReport(report, now);
}

std::uint64_t FrontCore::OnForwarded(CallerRequest request, TimePoint now) {
  return this->executes->StartForwarded(std::move(request), now);
}

void FrontCore::OnForwardedResult(std::uint64_t forward, const TokenResult& result, TimePoint now) {
  this->executes->OnForwardedResult(forward, result, now);
}

void FrontCore::OnForwardNotSent(std::uint64_t forward, TimePoint now) {
  this->executes->OnForwardNotSent(forward, now);
}

void FrontCore::OnForwardLost(std::uint64_t forward, TimePoint now) {
  this->executes->OnForwardLost(forward, now);
}

void FrontCore::HandOver(const FrontRun& successor, TimePoint now) {
  this->executes->HandOver(successor, now);
}

absl::Status FrontCore::OnHandOver(const TokenHandOver& part, TimePoint now) {
  return this->executes->OnHandOver(part, now);
}

void FrontCore::OnSenderStopped(const FrontRun& sender, TimePoint now) {
  this->executes->OnSenderStopped(sender, now);
}

std::vector<FrontRun> FrontCore::InheritedRuns() const {
  return this->executes->home().InheritedRuns();
}

std::optional<TimePoint> FrontCore::NextTimer() const {
  return this->dispatcher->timers.GetNextDueTime();
}

std::vector<FrontAction> FrontCore::TakeActions() {
  return this->dispatcher->TakeActions();
}

const FrontCounters& FrontCore::counters() const {
  return this->dispatcher->counters;
}

std::size_t FrontCore::requests_in_progress() const {
  return this->queries->query_count() + this->executes->waiter_count() +
         this->executes->running_execution_count();
}

std::size_t FrontCore::attempts_outstanding() const {
  return this->dispatcher->attempt_count();
}

std::string FrontCore::DebugState(TimePoint now) const {
  (void)now;
  const ControlViewPtr& view = this->dispatcher->view();
  json::object state{{"requests_in_progress", this->requests_in_progress()},
                     {"attempts_outstanding", this->attempts_outstanding()},
                     {"tokens", this->executes->home().size()},
                     {"tokens_handed_over", this->executes->home().handed_over()},
                     {"executions_running", this->executes->running_execution_count()},
                     {"hedge_budget", this->queries->hedge_budget().balance()},
                     {"retry_budget", this->queries->retry_budget().balance()}};
  if (view) {
    state["topology_generation"] = view->topology ? view->topology->generation : 0;
    state["partition_map_version"] = view->topology ? view->topology->partition_map_version : 0;
    state["table_generation"] = view->table ? view->table->generation : 0;
    state["vms_generation"] = view->vms ? view->vms->generation : 0;
  }
  return json::serialize(state);
}

}  // namespace ibishold
