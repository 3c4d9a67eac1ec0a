#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "broker/leaf_dispatcher.h"

namespace ibishold {

// Calls that the leaf may be running. A call begins when its first byte is handed to a connection.
// It ends when the leaf answers or confirms the end, or when slot_hold_after_deadline has passed.

void LeafDispatcher::StartCall(std::uint64_t call_id, std::uint64_t connection_id, TimePoint now) {
  auto work_node = this->queued_work.extract(call_id);
  LeafWork& work = work_node.mapped();
  Connection& connection = this->connections.at(connection_id);
  this->limiter.Start(call_id);
  connection.state = ConnectionState::kWorking;
  connection.call_id = call_id;
  CallLeaf action{.connection = connection_id};
  action.call.kind = work.repeatable() ? LeafCallKind::kSearch : LeafCallKind::kExecute;
  action.call.leaf = work.leaf;
  action.call.id = work.request_id;
  action.call.time_left = work.deadline - now;
  action.call.index_version = work.index_version;
  action.call.service = work.service;
  action.call.shard = work.shard;
  action.call.body = work.body;
  this->actions.emplace_back(std::move(action));
  ++this->counters.sent;
  this->running_calls.emplace(call_id, RunningCall{.work = std::move(work),
                                                   .connection_id = connection_id,
                                                   .warm_up_stage = this->warm_up.stage(),
                                                   .incarnation = connection.incarnation,
                                                   .sent_at = now});
}

// The leaf may still run the call, so its slot stays occupied.
void LeafDispatcher::AbandonCall(std::uint64_t call_id, bool cancel_at_leaf) {
  RunningCall& call = this->running_calls.at(call_id);
  call.front_notified = true;
  this->open_attempts.erase({call.work.link_id, call.work.attempt});
  this->limiter.Abandon(call_id, call.work.deadline + this->options.slot_hold_after_deadline);
  if (cancel_at_leaf) {
    this->calls_to_cancel.insert(call_id);
  }
}

void LeafDispatcher::HandleWorkReply(std::uint64_t call_id, const LeafReply& reply, TimePoint now) {
  const auto found = this->running_calls.find(call_id);
  if (found == this->running_calls.end()) {
    ++this->counters.late_answers;
    return;
  }
  RunningCall& call = found->second;
  this->limiter.Finish(call_id);
  this->calls_to_cancel.erase(call_id);
  if (call.front_notified) {
    ++this->counters.late_answers;
  } else {
    LeafResult result = this->MakeResult(call, reply, now);
    this->AnswerAttempt(call.work, std::move(result));
  }
  this->running_calls.erase(found);
}

LeafResult LeafDispatcher::MakeResult(RunningCall& call, const LeafReply& reply, TimePoint now) {
  LeafResult result;
  result.index_version = reply.index_version;
  result.map_version = reply.map_version;
  result.versions_held = reply.versions_held;
  result.leaf_incarnation = reply.incarnation;
  result.leaf_uptime = reply.uptime;
  result.queue_time = call.sent_at - call.work.received_at;
  result.service_time = now - call.sent_at;
  switch (reply.status) {
    case 200: {
      result.verdict = Verdict::kRan;
      this->queue_drain_rate.RecordCompletion(now);
      this->service_times.Record(result.service_time);
      this->warm_up.RecordSuccess(call.warm_up_stage);
      absl::StatusOr<LeafRecords> records = ParseLeafRecords(reply.body);
      if (!records.ok()) {
        // The outcome stays FAILED, and the verdict kRan: the leaf has run the call.
        result.message = std::string(records.status().message());
        break;
      }
      result.outcome = wire::Outcome::OK;
      result.complete = records->complete;
      result.records = std::move(records->records);
      break;
    }
    case 409:
      result.outcome = wire::Outcome::VERSION_GONE;
      result.verdict = Verdict::kNotRun;
      break;
    case 503:
      ++this->counters.leaf_sheds;
      result.outcome = reply.draining ? wire::Outcome::DRAINING : wire::Outcome::SHED;
      result.verdict = Verdict::kNotRun;
      result.retry_after = reply.retry_after;
      if (!reply.draining) {
        this->warm_up.RecordShed(call.warm_up_stage);
      }
      break;
    case 504:
      result.outcome = wire::Outcome::DEADLINE;
      result.verdict = Verdict::kNotRun;
      this->warm_up.RecordTimeout(call.warm_up_stage);
      break;
    default:
      result.outcome = wire::Outcome::FAILED;
      result.message = absl::StrCat("leaf answered with status ", reply.status);
      break;
  }
  if (this->warm_up.is_warm() && this->service_times.IsFarAboveHistory()) {
    this->warm_up.MarkCold(ColdReason::kLatency);
    this->service_times.Forget();
  }
  this->UpdateColdCounter();
  return result;
}

void LeafDispatcher::HandleLostCall(std::uint64_t call_id,
                                    wire::Outcome outcome,
                                    const std::string& message,
                                    TimePoint now) {
  const auto found = this->running_calls.find(call_id);
  if (found == this->running_calls.end()) {
    return;
  }
  RunningCall& call = found->second;
  call.connection_id = 0;
  if (call.front_notified) {
    return;
  }
  LeafResult result;
  result.outcome = outcome;
  result.message = message;
  result.leaf_incarnation = call.incarnation;
  result.queue_time = call.sent_at - call.work.received_at;
  result.service_time = now - call.sent_at;
  this->AnswerAttempt(call.work, std::move(result));
  this->AbandonCall(call_id, true);
}

void LeafDispatcher::ReportSuspectCalls() {
  ReportSuspects report;
  for (auto& [call_id, call] : this->running_calls) {
    // Cancelled calls are included, because they may have crashed the leaf too.
    if (!std::exchange(call.reported_as_suspect, true)) {
      report.crash.incarnation = std::max(report.crash.incarnation, call.incarnation);
      report.crash.in_flight.push_back(
          {.fingerprint = call.work.fingerprint, .alone = call.work.canary});
    }
  }
  if (!report.crash.in_flight.empty()) {
    report.crash.leaf = this->options.leaf;
    this->actions.emplace_back(std::move(report));
  }
}

void LeafDispatcher::CheckDeadlines(TimePoint now) {
  std::vector<std::uint64_t> expired_calls;
  for (auto& [call_id, call] : this->running_calls) {
    if (now >= call.work.deadline + this->options.slot_hold_after_deadline) {
      expired_calls.push_back(call_id);
    }
    if (!call.front_notified && now >= call.work.deadline) {
      ++this->counters.timeouts;
      LeafResult result;
      result.outcome = wire::Outcome::DEADLINE;
      result.message = "no answer of the leaf before the deadline";
      result.queue_time = call.sent_at - call.work.received_at;
      result.service_time = now - call.sent_at;
      this->AnswerAttempt(call.work, std::move(result));
      this->AbandonCall(call_id, true);
      this->warm_up.RecordTimeout(call.warm_up_stage);
      this->UpdateColdCounter();
    }
    if (call.connection_id != 0 &&
        now >= call.work.deadline + this->options.silent_after_deadline) {
      ++this->counters.silent_connections;
      this->DropConnection(call.connection_id);
      call.connection_id = 0;
    }
  }
  for (const std::uint64_t call_id : expired_calls) {
    this->limiter.Finish(call_id);
    this->calls_to_cancel.erase(call_id);
    this->running_calls.erase(call_id);
  }
}

}  // namespace ibishold
