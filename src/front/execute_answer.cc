#include <boost/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "front/execute_engine.h"

namespace ibishold {

namespace json = boost::json;

namespace {

// Puts the id of the asking request into a result; a replay may answer a request with another id.
std::string WithRequestId(const std::string& body, const std::string& request_id) {
  const std::string id = json::serialize(json::value(request_id));
  if (body.size() <= 2) {
    return absl::StrCat("{\"request_id\":", id, "}");
  }
  return absl::StrCat("{\"request_id\":", id, ",", body.substr(1));
}

}  // namespace

TokenResult RefusedResult(int status,
                          std::string_view error,
                          std::string_view message,
                          Verdict verdict,
                          Duration retry_after) {
  return {.verdict = verdict,
          .status = static_cast<std::uint16_t>(status),
          .body = RefusalBody(error, message, verdict, retry_after),
          .retry_after = retry_after};
}

void ExecuteEngine::Answer(std::uint64_t id, const TokenResult& result, TimePoint now) {
  const auto found = this->waiters.find(id);
  if (found == this->waiters.end()) {
    return;
  }
  const Waiter& waiter = found->second;
  if (waiter.forwarded) {
    this->dispatcher.Act(ForwardResult{.waiter = id, .result = result});
    this->Release(id, now);
    return;
  }
  // A result that was too large to be kept still has its verdict.
  const std::string body =
      result.body.empty()
          ? absl::StrCat("{\"verdict\":\"", std::string(ToName(kVerdictNames, result.verdict)),
                         "\",\"records_omitted\":true}")
          : result.body;
  Reply reply{.request = waiter.request, .latency = now - waiter.started};
  reply.request.body.clear();
  reply.answer = {.ticket = waiter.request.ticket,
                  .status = result.status,
                  .verdict = result.verdict,
                  .body = WithRequestId(body, waiter.request.request_id),
                  .retry_after = result.retry_after};
  if (result.status >= 400) {
    ++this->dispatcher.counters.refusals;
  }
  this->dispatcher.Act(std::move(reply));
  this->Release(id, now);
}

void ExecuteEngine::Release(std::uint64_t id, TimePoint now) {
  const auto found = this->waiters.find(id);
  if (found == this->waiters.end()) {
    return;
  }
  const CallerRequest& request = found->second.request;
  if (!found->second.forwarded) {
    this->dispatcher.admission.RecordCompletion(request.service, request.tenant, now);
    this->by_ticket.erase(request.ticket);
  }
  this->waiters.erase(found);
}

}  // namespace ibishold
