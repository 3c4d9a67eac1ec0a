#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <string>

#include "ibishold/net.h"

namespace ibishold {

using boost::asio::ip::tcp;

TEST_CASE("OpenListener reports the address that cannot be opened") {
  // Guards against a daemon that fails to start without an error that names the address.
  boost::asio::io_context context;
  tcp::acceptor first_acceptor(context);
  REQUIRE(OpenListener(first_acceptor, "127.0.0.1", 0).ok());
  const std::uint16_t port = first_acceptor.local_endpoint().port();
  SUBCASE("address already in use") {
    tcp::acceptor second_acceptor(context);
    const absl::Status status = OpenListener(second_acceptor, "127.0.0.1", port);
    CHECK(absl::IsUnavailable(status));
    const std::string expected_prefix = "listen on 127.0.0.1:" + std::to_string(port) + ": ";
    CHECK(std::string(status.message()).starts_with(expected_prefix));
  }
  SUBCASE("text that is not an IP address") {
    tcp::acceptor second_acceptor(context);
    const absl::Status status = OpenListener(second_acceptor, "nowhere", port);
    CHECK(absl::IsUnavailable(status));
    CHECK(std::string(status.message()).starts_with("listen on nowhere:"));
  }
}

}  // namespace ibishold
