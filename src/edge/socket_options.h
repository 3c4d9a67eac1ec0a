#ifndef SRC_EDGE_SOCKET_OPTIONS_H_
#define SRC_EDGE_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "ibishold/core.h"

namespace ibishold {

// Disables Nagle's algorithm and makes the socket fail about `silence_limit` after the peer stops
// acknowledging, whether sent bytes are outstanding (TCP_USER_TIMEOUT) or the connection is idle
// (keep-alive probes every second).
void SetLivenessOptions(boost::asio::ip::tcp::socket& socket, Duration silence_limit);

// Returns the smoothed round trip time measured by the kernel; nullopt if there is none.
std::optional<Duration> GetSmoothedRoundTrip(boost::asio::ip::tcp::socket& socket);

}  // namespace ibishold

#endif  // SRC_EDGE_SOCKET_OPTIONS_H_
