#ifndef IBISHOLD_HTTP_STATUS_H_
#define IBISHOLD_HTTP_STATUS_H_

// Rules for the status codes of HTTP replies, for all clients and for the replies to callers.
//
// Index of this header:
//   1. StatusClass   what a client does with a reply that has this status

#include <cstdint>

namespace ibishold {

// ---- 1. StatusClass -----------------------------------------------------------------------------

enum class StatusClass : std::uint8_t {
  kInformational,  // announces a final reply, for which the client keeps waiting
  kFinal,          // 200..599
  kInvalid,        // ends the connection, because no such reply may answer a request
};

// 101 (Switching Protocols) is invalid, because no client here asks for an upgrade.
StatusClass ClassifyStatus(int status);

// Largest number of informational replies to one request. Without a limit, a server could keep a
// request open by sending them without end.
inline constexpr int kMaxInformationalReplies = 8;

}  // namespace ibishold

#endif  // IBISHOLD_HTTP_STATUS_H_
