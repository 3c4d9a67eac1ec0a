#include "absl/strings/str_cat.h"
#include "ibishold/net.h"

namespace ibishold {

namespace asio = boost::asio;
using asio::ip::tcp;

absl::Status OpenListener(tcp::acceptor& acceptor, const std::string& address, std::uint16_t port) {
  try {
    const tcp::endpoint endpoint(asio::ip::make_address(address), port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
  } catch (const boost::system::system_error& error) {
    return absl::UnavailableError(
        absl::StrCat("listen on ", address, ":", port, ": ", error.what()));
  }
  return absl::OkStatus();
}

}  // namespace ibishold
