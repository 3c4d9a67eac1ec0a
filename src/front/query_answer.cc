#include <boost/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "front/query_engine.h"

namespace ibishold {

namespace json = boost::json;

void QueryEngine::Finish(Query& query, TimePoint now) {
  for (std::size_t shard = 0; shard < query.shards.size(); ++shard) {
    const ShardRun& run = query.shards[shard];
    if (run.done) {
      continue;
    }
    query.merger->SetReason(shard, "deadline");
    for (const std::uint64_t id : run.out) {
      // The time waited so far stands for the latency of a leaf that did not answer.
      if (const Attempt* attempt = this->dispatcher.Find(id)) {
        this->dispatcher.latency.Record(attempt->leaf, now - attempt->sent_at);
      }
      query.may_have_run = true;
    }
  }
  this->CancelOut(query);
  if (query.merger->empty()) {
    this->RefuseFinished(query, now);
    this->Release(query, now);
    return;
  }
  Reply reply{.request = query.request, .latency = now - query.started};
  reply.answer = {.ticket = query.request.ticket,
                  .status = 200,
                  .verdict = Verdict::kRan,
                  .body = this->AnswerBody(query)};
  this->dispatcher.Act(std::move(reply));
  this->Release(query, now);
}

std::string QueryEngine::AnswerBody(Query& query) {
  const Coverage coverage = query.merger->Close();
  (coverage.full() ? this->dispatcher.counters.answers_full
                   : this->dispatcher.counters.answers_partial)++;
  json::array shards;
  for (const ShardCoverage& shard : coverage.shards) {
    json::object item{{"shard", shard.shard.value},
                      {"state", ToName(kShardStateNames, shard.state)}};
    if (shard.state != ShardState::kFull) {
      item["reason"] = shard.reason.empty() ? "unknown" : shard.reason;
    }
    shards.push_back(std::move(item));
  }
  const Snapshot& snapshot = query.header.snapshot;
  const json::object head{
      {"request_id", query.request.request_id},
      {"snapshot", json::object{{"index_version", snapshot.index_version},
                                {"partition_map_version", snapshot.partition_map_version}}},
      {"coverage", json::object{{"fraction", coverage.fraction}, {"shards", std::move(shards)}}},
      {"verdict", ToName(kVerdictNames, Verdict::kRan)}};
  std::string body = json::serialize(head);
  body.pop_back();  // the closing brace; the records are JSON text already
  absl::StrAppend(&body, ",\"records\":", query.merger->Records(), "}");
  return body;
}

// No shard answered: the caller gets an error that says whether leaves may have done the work.
void QueryEngine::RefuseFinished(Query& query, TimePoint now) {
  const Verdict verdict = query.may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun;
  const bool late = now >= query.answer_at || query.last_outcome == wire::Outcome::DEADLINE;
  int status = 503;
  std::string_view error = "unavailable";
  std::string_view message = "no shard could be reached";
  if (late) {
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
  Reply reply{.request = query.request, .latency = now - query.started};
  reply.answer = {.ticket = query.request.ticket,
                  .status = status,
                  .verdict = verdict,
                  .body = RefusalBody(error, message, verdict, query.retry_after),
                  .retry_after = query.retry_after};
  this->dispatcher.Act(std::move(reply));
}

}  // namespace ibishold
