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

// Sends one GET request on a new connection. Errors: InvalidArgument (the address is not an IP
// address), Unavailable (timeout or any other failure).
absl::StatusOr<HttpReply> HttpGet(const std::string& address,
                                  std::uint16_t port,
                                  const std::string& target,
                                  std::chrono::milliseconds timeout = std::chrono::seconds(3));

}  // namespace ibishold

#endif  // CLI_HTTP_GET_H_
