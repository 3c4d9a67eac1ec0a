#ifndef CLI_HTTP_GET_H_
#define CLI_HTTP_GET_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

namespace ibishold {

struct HttpReply {
  int status = 0;  // HTTP status
  std::string body;
};

// One GET request on a connection of its own. Errors: Unavailable if no answer came in time.
absl::StatusOr<HttpReply> HttpGet(const std::string& address,
                                  std::uint16_t port,
                                  const std::string& target,
                                  std::chrono::milliseconds timeout = std::chrono::seconds(3));

}  // namespace ibishold

#endif  // CLI_HTTP_GET_H_
