#include "edge/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace ibishold {

namespace {

void SetTcpOption(int descriptor, int name, int value) {
  // On failure, the slower default of the kernel applies; the connection still works.
  (void)setsockopt(descriptor, IPPROTO_TCP, name, &value, sizeof(value));
}

}  // namespace

void SetLivenessOptions(boost::asio::ip::tcp::socket& socket, Duration silence_limit) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  const int descriptor = socket.native_handle();
  const auto seconds = static_cast<int>(std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::seconds>(silence_limit).count()));
  SetTcpOption(descriptor, TCP_KEEPIDLE, 1);
  SetTcpOption(descriptor, TCP_KEEPINTVL, 1);
  SetTcpOption(descriptor, TCP_KEEPCNT, std::max(1, seconds - 1));
  SetTcpOption(descriptor, TCP_USER_TIMEOUT,
               static_cast<int>(
                   std::chrono::duration_cast<std::chrono::milliseconds>(silence_limit).count()));
}

std::optional<Duration> GetSmoothedRoundTrip(boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      info.tcpi_rtt == 0) {
    return std::nullopt;
  }
  return std::chrono::microseconds(info.tcpi_rtt);
}

}  // namespace ibishold
