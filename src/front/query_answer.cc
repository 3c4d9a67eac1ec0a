#include <boost/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "front/query_engine.h"

namespace ibishold {

namespace json = boost::json;

void QueryEngine::FinishQuery(Query& query, TimePoint now) {
  for (std::size_t shard_index = 0; shard_index < query.shards.size(); ++shard_index) {
    const ShardRun& run = query.shards[shard_index];
    if (run.done) {
      continue;
    }
    query.merger->SetReason(shard_index, "deadline");
    for (const std::uint64_t id : run.outstanding_attempt_ids) {
      // Records the time since the send as the latency of a leaf that has not replied.
      if (const Attempt* attempt = this->dispatcher.FindAttempt(id)) {
        this->dispatcher.latency_tracker.Record(attempt->leaf, now - attempt->sent_at);
      }
      query.may_have_run = true;
    }
  }
  this->CancelOutstandingAttempts(query);
  if (query.merger->empty()) {
    this->SendErrorAnswer(query, now);
    this->RemoveQuery(query, now);
    return;
  }
  Reply reply{.request = query.request, .latency = now - query.started_at};
  reply.answer = {.ticket = query.request.ticket,
                  .status = 200,
                  .verdict = Verdict::kRan,
                  .body = this->BuildAnswerBody(query)};
  this->dispatcher.AddAction(std::move(reply));
  this->RemoveQuery(query, now);
}

std::string QueryEngine::BuildAnswerBody(Query& query) {
  const Coverage coverage = query.merger->Close();
  (coverage.full() ? this->dispatcher.counters.answers_full
                   : this->dispatcher.counters.answers_partial)++;
  json::array shard_bodies;
  for (const ShardCoverage& shard : coverage.shards) {
    json::object shard_body{{"shard", shard.shard.value},
                            {"state", ToName(kShardStateNames, shard.state)}};
    if (shard.state != ShardState::kFull) {
      shard_body["reason"] = shard.reason.empty() ? "unknown" : shard.reason;
    }
    shard_bodies.push_back(std::move(shard_body));
  }
  const Snapshot& snapshot = query.header.snapshot;
  const json::object fields{
      {"request_id", query.request.request_id},
      {"snapshot", json::object{{"index_version", snapshot.index_version},
                                {"partition_map_version", snapshot.partition_map_version}}},
      {"coverage",
       json::object{{"fraction", coverage.fraction}, {"shards", std::move(shard_bodies)}}},
      {"verdict", ToName(kVerdictNames, Verdict::kRan)}};
  std::string body = json::serialize(fields);
  body.pop_back();  // removes the closing brace, since the records are serialized JSON already
  absl::StrAppend(&body, ",\"records\":", query.merger->Records(), "}");
  return body;
}

// Answers a query without any shard result with an error, whose verdict says whether a leaf may
// have run it.
void QueryEngine::SendErrorAnswer(Query& query, TimePoint now) {
  const Verdict verdict = query.may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun;
  const bool is_late = now >= query.answer_at || query.last_outcome == wire::Outcome::DEADLINE;
  int status = 503;
  std::string_view error = "unavailable";
  std::string_view message = "no shard could be reached";
  if (is_late) {
    status = 504;
    error = "deadline";
    message = "no shard answered within the deadline";
  } else if (query.last_outcome == wire::Outcome::SHED) {
    error = "overload";
    message = "all shards refused the request";
  } else if (query.last_outcome == wire::Outcome::QUARANTINED) {
    error = "quarantined";
    message = "the request is suspected of crashing upstreams";
  }
  if (status == 503 && query.retry_after == Duration{}) {
    query.retry_after = std::chrono::milliseconds(200);
  }
  ++this->dispatcher.counters.refusals;
  Reply reply{.request = query.request, .latency = now - query.started_at};
  reply.answer = {.ticket = query.request.ticket,
                  .status = status,
                  .verdict = verdict,
                  .body = MakeErrorBody(error, message, verdict, query.retry_after),
                  .retry_after = query.retry_after};
  this->dispatcher.AddAction(std::move(reply));
}

}  // namespace ibishold
