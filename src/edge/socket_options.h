#ifndef SRC_EDGE_SOCKET_OPTIONS_H_
#define SRC_EDGE_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "ibishold/core.h"

namespace ibishold {

// No delay, and an error within about `silence_limit` once the peer stops acknowledging, whether
// bytes wait (TCP_USER_TIMEOUT) or the connection is idle (keep-alive probes each second).
void SetLivenessOptions(boost::asio::ip::tcp::socket& socket, Duration silence_limit);

// Smoothed round trip time that the kernel has measured; nothing if it cannot tell.
std::optional<Duration> GetSmoothedRoundTrip(boost::asio::ip::tcp::socket& socket);

}  // namespace ibishold

#endif  // SRC_EDGE_SOCKET_OPTIONS_H_
