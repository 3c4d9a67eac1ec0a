#ifndef SRC_ADAPTERS_CALLER_PARSE_REQUEST_H_
#define SRC_ADAPTERS_CALLER_PARSE_REQUEST_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <variant>

#include "ibishold/caller.h"

namespace ibishold {

// Error answer to a request that failed validation.
struct BadRequest {
  int status = 400;     // HTTP status
  std::string error;    // machine-readable code
  std::string message;  // explanation for the caller
};

// Validates method, target, headers and body. The deadline of the request is `now` plus the value
// of X-Deadline-Ms.
std::variant<CallerRequest, BadRequest> ParseCallerRequest(
    const boost::beast::http::request<boost::beast::http::string_body>& message,
    const CallerServerOptions& options,
    TimePoint now);

}  // namespace ibishold

#endif  // SRC_ADAPTERS_CALLER_PARSE_REQUEST_H_
