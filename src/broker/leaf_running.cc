#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "broker/leaf_dispatcher.h"

namespace ibishold {

// Calls that a leaf may be running: from the first byte handed to a connection until the leaf has
// answered, has confirmed the end, or the time limit has passed.

void LeafDispatcher::Start(std::uint64_t call, std::uint64_t id, TimePoint now) {
  auto node = this->waiting.extract(call);
  LeafWork& work = node.mapped();
  Connection& connection = this->connections.at(id);
  this->limiter.Start(call);
  connection.state = ConnectionState::kWorking;
  connection.call = call;
  CallLeaf action{.connection = id};
  action.call.kind = work.repeatable() ? LeafCallKind::kSearch : LeafCallKind::kExecute;
  action.call.leaf = work.leaf;
  action.call.id = work.id;
  action.call.time_left = work.deadline - now;
  action.call.index_version = work.index_version;
  action.call.service = work.service;
  action.call.shard = work.shard;
  action.call.body = work.body;
  this->actions.emplace_back(std::move(action));
  ++this->counters.sent;
  this->running.emplace(call, Running{.work = std::move(work),
                                      .connection = id,
                                      .stage = this->warm_up.stage(),
                                      .incarnation = connection.incarnation,
                                      .sent_at = now});
}

// The leaf may go on with the call, so its slot stays occupied.
void LeafDispatcher::AbandonRunning(std::uint64_t call, bool cancel_at_leaf) {
  Running& entry = this->running.at(call);
  entry.answered = true;
  this->calls.erase({entry.work.link, entry.work.attempt});
  this->limiter.Abandon(call, entry.work.deadline + this->options.occupied_after_deadline);
  if (cancel_at_leaf) {
    this->to_cancel.insert(call);
  }
}

void LeafDispatcher::FinishReply(std::uint64_t call, const LeafReply& reply, TimePoint now) {
  const auto found = this->running.find(call);
  if (found == this->running.end()) {
    ++this->counters.late_answers;
    return;
  }
  Running& entry = found->second;
  this->limiter.Finish(call);
  this->to_cancel.erase(call);
  if (entry.answered) {
    ++this->counters.late_answers;
  } else {
    LeafResult result = this->ResultOf(entry, reply, now);
    this->Answer(entry.work, std::move(result));
  }
  this->running.erase(found);
}

LeafResult LeafDispatcher::ResultOf(Running& entry, const LeafReply& reply, TimePoint now) {
  LeafResult result;
  result.index_version = reply.index_version;
  result.map_version = reply.map_version;
  result.versions_held = reply.versions_held;
  result.leaf_incarnation = reply.incarnation;
  result.leaf_uptime = reply.uptime;
  result.queue_time = entry.sent_at - entry.work.received;
  result.service_time = now - entry.sent_at;
  switch (reply.status) {
    case 200: {
      result.verdict = Verdict::kRan;
      this->drain.RecordCompletion(now);
      this->times.Record(result.service_time);
      this->warm_up.RecordSuccess(entry.stage);
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
        this->warm_up.RecordShed(entry.stage);
      }
      break;
    case 504:
      result.outcome = wire::Outcome::DEADLINE;
      result.verdict = Verdict::kNotRun;
      this->warm_up.RecordTimeout(entry.stage);
      break;
    default:
      result.outcome = wire::Outcome::FAILED;
      result.message = absl::StrCat("leaf answered with status ", reply.status);
      break;
  }
  if (this->warm_up.is_warm() && this->times.IsFarAboveHistory()) {
    this->warm_up.MarkCold(ColdReason::kLatency);
    this->times.Forget();
  }
  this->CountCold();
  return result;
}

void LeafDispatcher::LoseRunning(std::uint64_t call, const std::string& message, TimePoint now) {
  const auto found = this->running.find(call);
  if (found == this->running.end()) {
    return;
  }
  Running& entry = found->second;
  entry.connection = 0;
  if (entry.answered) {
    return;
  }
  LeafResult result;
  result.outcome = wire::Outcome::LEAF_LOST;
  result.message = message;
  result.leaf_incarnation = entry.incarnation;
  result.queue_time = entry.sent_at - entry.work.received;
  result.service_time = now - entry.sent_at;
  this->Answer(entry.work, std::move(result));
  this->AbandonRunning(call, true);
}

void LeafDispatcher::ReportRunning() {
  ReportSuspects report;
  for (auto& [call, entry] : this->running) {
    // A cancelled attempt may have crashed the leaf as well as one that is waited for.
    if (!std::exchange(entry.reported, true)) {
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
  std::vector<std::uint64_t> over;
  for (auto& [call, entry] : this->running) {
    if (now >= entry.work.deadline + this->options.occupied_after_deadline) {
      over.push_back(call);
    }
    if (!entry.answered && now >= entry.work.deadline) {
      ++this->counters.timeouts;
      LeafResult result;
      result.outcome = wire::Outcome::DEADLINE;
      result.message = "no answer of the leaf before the deadline";
      result.queue_time = entry.sent_at - entry.work.received;
      result.service_time = now - entry.sent_at;
      this->Answer(entry.work, std::move(result));
      this->AbandonRunning(call, true);
      this->warm_up.RecordTimeout(entry.stage);
      this->CountCold();
    }
    if (entry.connection != 0 && now >= entry.work.deadline + this->options.silent_after_deadline) {
      ++this->counters.silent_connections;
      this->CloseOwn(entry.connection);
      entry.connection = 0;
    }
  }
  for (const std::uint64_t call : over) {
    this->limiter.Finish(call);
    this->to_cancel.erase(call);
    this->running.erase(call);
  }
}

}  // namespace ibishold
