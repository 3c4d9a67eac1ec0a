#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "broker/leaf_dispatcher.h"

namespace ibishold {

// Calls that a leaf may be running: from the first byte handed to a connection until the leaf has
// answered, has confirmed the end, or the time limit has passed.

void LeafDispatcher::StartCall(std::uint64_t call, std::uint64_t connection_id, TimePoint now) {
  auto work_node = this->queued_work.extract(call);
  LeafWork& work = work_node.mapped();
  Connection& connection = this->connections.at(connection_id);
  this->limiter.Start(call);
  connection.state = ConnectionState::kWorking;
  connection.call_id = call;
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
  this->running_calls.emplace(call, RunningCall{.work = std::move(work),
                                                .connection_id = connection_id,
                                                .warm_up_stage = this->warm_up.stage(),
                                                .incarnation = connection.incarnation,
                                                .sent_at = now});
}

// The leaf may go on with the call, so its slot stays occupied.
void LeafDispatcher::AbandonCall(std::uint64_t call, bool cancel_at_leaf) {
  RunningCall& entry = this->running_calls.at(call);
  entry.front_notified = true;
  this->open_attempts.erase({entry.work.link_id, entry.work.attempt});
  this->limiter.Abandon(call, entry.work.deadline + this->options.slot_hold_after_deadline);
  if (cancel_at_leaf) {
    this->calls_to_cancel.insert(call);
  }
}

void LeafDispatcher::HandleWorkReply(std::uint64_t call, const LeafReply& reply, TimePoint now) {
  const auto found = this->running_calls.find(call);
  if (found == this->running_calls.end()) {
    ++this->counters.late_answers;
    return;
  }
  RunningCall& entry = found->second;
  this->limiter.Finish(call);
  this->calls_to_cancel.erase(call);
  if (entry.front_notified) {
    ++this->counters.late_answers;
  } else {
    LeafResult result = this->MakeResult(entry, reply, now);
    this->AnswerAttempt(entry.work, std::move(result));
  }
  this->running_calls.erase(found);
}

LeafResult LeafDispatcher::MakeResult(RunningCall& entry, const LeafReply& reply, TimePoint now) {
  LeafResult result;
  result.index_version = reply.index_version;
  result.map_version = reply.map_version;
  result.versions_held = reply.versions_held;
  result.leaf_incarnation = reply.incarnation;
  result.leaf_uptime = reply.uptime;
  result.queue_time = entry.sent_at - entry.work.received_at;
  result.service_time = now - entry.sent_at;
  switch (reply.status) {
    case 200: {
      result.verdict = Verdict::kRan;
      this->queue_drain_rate.RecordCompletion(now);
      this->service_times.Record(result.service_time);
      this->warm_up.RecordSuccess(entry.warm_up_stage);
      absl::StatusOr<LeafRecords> records = ParseLeafRecords(reply.body);
      if (!records.ok()) {
        // Outcome "failed"; the verdict stays: the leaf has run it.
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
        this->warm_up.RecordShed(entry.warm_up_stage);
      }
      break;
    case 504:
      result.outcome = wire::Outcome::DEADLINE;
      result.verdict = Verdict::kNotRun;
      this->warm_up.RecordTimeout(entry.warm_up_stage);
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

void LeafDispatcher::HandleLostCall(std::uint64_t call, const std::string& message, TimePoint now) {
  const auto found = this->running_calls.find(call);
  if (found == this->running_calls.end()) {
    return;
  }
  RunningCall& entry = found->second;
  entry.connection_id = 0;
  if (entry.front_notified) {
    return;
  }
  LeafResult result;
  result.outcome = wire::Outcome::LEAF_LOST;
  result.message = message;
  result.leaf_incarnation = entry.incarnation;
  result.queue_time = entry.sent_at - entry.work.received_at;
  result.service_time = now - entry.sent_at;
  this->AnswerAttempt(entry.work, std::move(result));
  this->AbandonCall(call, true);
}

void LeafDispatcher::ReportSuspectCalls() {
  ReportSuspects report;
  for (auto& [call, entry] : this->running_calls) {
    // A cancelled attempt may have crashed the leaf as well as one that is waited for.
    if (!std::exchange(entry.reported_as_suspect, true)) {
      report.crash.incarnation = std::max(report.crash.incarnation, entry.incarnation);
      report.crash.in_flight.push_back(
          {.fingerprint = entry.work.fingerprint, .alone = entry.work.canary});
    }
  }
  if (!report.crash.in_flight.empty()) {
    report.crash.leaf = this->options.leaf;
    this->actions.emplace_back(std::move(report));
  }
}

void LeafDispatcher::CheckDeadlines(TimePoint now) {
  std::vector<std::uint64_t> expired_calls;
  for (auto& [call, entry] : this->running_calls) {
    if (now >= entry.work.deadline + this->options.slot_hold_after_deadline) {
      expired_calls.push_back(call);
    }
    if (!entry.front_notified && now >= entry.work.deadline) {
      ++this->counters.timeouts;
      LeafResult result;
      result.outcome = wire::Outcome::DEADLINE;
      result.message = "no answer of the leaf before the deadline";
      result.queue_time = entry.sent_at - entry.work.received_at;
      result.service_time = now - entry.sent_at;
      this->AnswerAttempt(entry.work, std::move(result));
      this->AbandonCall(call, true);
      this->warm_up.RecordTimeout(entry.warm_up_stage);
      this->UpdateColdCounter();
    }
    if (entry.connection_id != 0 &&
        now >= entry.work.deadline + this->options.silent_after_deadline) {
      ++this->counters.silent_connections;
      this->DropConnection(entry.connection_id);
      entry.connection_id = 0;
    }
  }
  for (const std::uint64_t call : expired_calls) {
    this->limiter.Finish(call);
    this->calls_to_cancel.erase(call);
    this->running_calls.erase(call);
  }
}

}  // namespace ibishold
