#include <boost/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "front/execute_engine.h"

namespace ibishold {

namespace json = boost::json;

namespace {

// Adds the request ID to a result. A replay can answer a request with another ID than the first
// one.
std::string AddRequestId(const std::string& body, const std::string& request_id) {
  const std::string id_json = json::serialize(json::value(request_id));
  if (body.size() <= 2) {
    return absl::StrCat("{\"request_id\":", id_json, "}");
  }
  return absl::StrCat("{\"request_id\":", id_json, ",", body.substr(1));
}

}  // namespace

TokenResult MakeErrorResult(int status,
                            std::string_view error,
                            std::string_view message,
                            Verdict verdict,
                            Duration retry_after) {
  return {.verdict = verdict,
          .status = static_cast<std::uint16_t>(status),
          .body = MakeErrorBody(error, message, verdict, retry_after),
          .retry_after = retry_after};
}

void ExecuteEngine::AnswerWaiter(std::uint64_t id, const TokenResult& result, TimePoint now) {
  const auto found = this->waiters.find(id);
  if (found == this->waiters.end()) {
    return;
  }
  const Waiter& waiter = found->second;
  if (waiter.is_front) {
    this->dispatcher.AddAction(ForwardResult{.waiter_id = id, .result = result});
    this->ReleaseWaiter(id, now);
    return;
  }
  // The token table stores only the verdict of a result that exceeds its size limit.
  const std::string body =
      result.body.empty()
          ? absl::StrCat("{\"verdict\":\"", std::string(ToName(kVerdictNames, result.verdict)),
                         "\",\"records_omitted\":true}")
          : result.body;
  Reply reply{.request = waiter.request, .latency = now - waiter.started_at};
  reply.request.body.clear();
  reply.answer = {.ticket = waiter.request.ticket,
                  .status = result.status,
                  .verdict = result.verdict,
                  .body = AddRequestId(body, waiter.request.request_id),
                  .retry_after = result.retry_after};
  if (result.status >= 400) {
    ++this->dispatcher.counters.refusals;
  }
  this->dispatcher.AddAction(std::move(reply));
  this->ReleaseWaiter(id, now);
}

void ExecuteEngine::ReleaseWaiter(std::uint64_t id, TimePoint now) {
  const auto found = this->waiters.find(id);
  if (found == this->waiters.end()) {
    return;
  }
  const CallerRequest& request = found->second.request;
  if (!found->second.is_front) {
    this->dispatcher.admission.RecordCompletion(request.service, request.tenant, now);
    this->waiter_by_ticket.erase(request.ticket);
  }
  this->waiters.erase(found);
}

}  // namespace ibishold
