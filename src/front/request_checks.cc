#include "front/request_checks.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace ibishold {

CheckResult CheckService(const Dispatcher& dispatcher, const CallerRequest& request) {
  const ControlViewPtr& view = dispatcher.view();
  if (!view || !view->topology) {
    return RequestRefusal{.status = 503,
                          .error = "not_ready",
                          .message = "no topology has been received yet",
                          .retry_after = std::chrono::milliseconds(500)};
  }
  if (view->topology->Find(request.service) == nullptr) {
    return RequestRefusal{
        .status = 404,
        .error = "unknown_service",
        .message = absl::StrCat("service ", request.service.value, " is not published")};
  }
  return std::nullopt;
}

CheckResult CheckDeadline(const FrontOptions& options,
                          const CallerRequest& request,
                          TimePoint now) {
  if (request.deadline - now >= options.minimum_deadline) {
    return std::nullopt;
  }
  return RequestRefusal{
      .status = 504, .error = "deadline", .message = "the deadline is too near to start"};
}

CheckResult CheckAdmission(Dispatcher& dispatcher, const CallerRequest& request, TimePoint now) {
  const AdmissionResult result =
      dispatcher.admission.Admit(request.service, request.tenant, request.request_class,
                                 dispatcher.GetLimits(request.service), now);
  if (result.admitted) {
    return std::nullopt;
  }
  return RequestRefusal{.status = result.refusal == AdmissionRefusal::kRate ? 429 : 503,
                        .error = std::string(ToName(kAdmissionRefusalNames, result.refusal)),
                        .message = "refused by admission; nothing was sent",
                        .retry_after = result.retry_after};
}

void SendRefusal(Dispatcher& dispatcher,
                 const CallerRequest& request,
                 const RequestRefusal& refusal) {
  ++dispatcher.counters.refusals;
  Reply reply{.request = request};
  reply.request.body.clear();
  reply.answer = {
      .ticket = request.ticket,
      .status = refusal.status,
      .verdict = Verdict::kNotRun,
      .body = MakeErrorBody(refusal.error, refusal.message, Verdict::kNotRun, refusal.retry_after),
      .retry_after = refusal.retry_after,
      .new_token = refusal.new_token};
  dispatcher.AddAction(std::move(reply));
}

bool RefuseIfFailed(const CheckResult& result,
                    Dispatcher& dispatcher,
                    const CallerRequest& request) {
  if (result) {
    SendRefusal(dispatcher, request, *result);
  }
  return result.has_value();
}

}  // namespace ibishold
