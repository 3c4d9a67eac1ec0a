#ifndef SRC_FRONT_REQUEST_CHECKS_H_
#define SRC_FRONT_REQUEST_CHECKS_H_

#include <optional>
#include <string>

#include "front/dispatcher.h"
#include "ibishold/front.h"

namespace ibishold {

// Answer to a request of which nothing was sent. Its verdict is "not run".
struct RequestRefusal {
  int status = 503;
  std::string error;
  std::string message;
  Duration retry_after{};
  std::string new_token;  // with status 428 only
};

// Nothing if the request passes.
using CheckResult = std::optional<RequestRefusal>;

// Checks of queries and of non-repeatable requests. The engines have checks of their own between
// them, and the order decides which error a caller sees.
CheckResult CheckService(const Dispatcher& dispatcher, const CallerRequest& request);
CheckResult CheckDeadline(const FrontOptions& options, const CallerRequest& request, TimePoint now);
// An admitted request must be given back with Admission::Done.
CheckResult CheckAdmission(Dispatcher& dispatcher, const CallerRequest& request, TimePoint now);

// Answers the caller.
void Refuse(Dispatcher& dispatcher, const CallerRequest& request, const RequestRefusal& refusal);
// Answers the caller if the check refused the request; true then.
bool RefusedBy(const CheckResult& result, Dispatcher& dispatcher, const CallerRequest& request);

}  // namespace ibishold

#endif  // SRC_FRONT_REQUEST_CHECKS_H_
