#ifndef SRC_FRONT_REQUEST_CHECKS_H_
#define SRC_FRONT_REQUEST_CHECKS_H_

#include <optional>
#include <string>

#include "front/dispatcher.h"
#include "ibishold/front.h"

namespace ibishold {

// Error answer to a request before anything was sent to a leaf. Its verdict is "not run".
struct RequestRefusal {
  int status = 503;
  std::string error;
  std::string message;
  Duration retry_after{};
  std::string new_token;  // set only with status 428
};

// nullopt if the request passes.
using CheckResult = std::optional<RequestRefusal>;

// Checks that apply to queries and to non-repeatable requests. Each engine runs further checks
// between them; the order determines which error a caller receives.
CheckResult CheckService(const Dispatcher& dispatcher, const CallerRequest& request);
CheckResult CheckDeadline(const FrontOptions& options, const CallerRequest& request, TimePoint now);
// An admitted request must be ended with Admission::RecordCompletion.
CheckResult CheckAdmission(Dispatcher& dispatcher, const CallerRequest& request, TimePoint now);

// Answers the caller with the error.
void SendRefusal(Dispatcher& dispatcher,
                 const CallerRequest& request,
                 const RequestRefusal& refusal);
// Answers the caller and returns true if the check refused the request.
bool RefuseIfFailed(const CheckResult& result,
                    Dispatcher& dispatcher,
                    const CallerRequest& request);

}  // namespace ibishold

#endif  // SRC_FRONT_REQUEST_CHECKS_H_
