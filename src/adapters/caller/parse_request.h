#ifndef SRC_ADAPTERS_CALLER_PARSE_REQUEST_H_
#define SRC_ADAPTERS_CALLER_PARSE_REQUEST_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <variant>

#include "ibishold/caller.h"

namespace ibishold {

struct BadRequest {
  int status = 400;
  std::string error;
  std::string message;
};

// Checks method, target, headers and body. The deadline counts from `now`.
std::variant<CallerRequest, BadRequest> ParseCallerRequest(
    const boost::beast::http::request<boost::beast::http::string_body>& message,
    const CallerServerOptions& options,
    TimePoint now);

}  // namespace ibishold

#endif  // SRC_ADAPTERS_CALLER_PARSE_REQUEST_H_
