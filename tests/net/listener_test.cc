#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <string>

#include "ibishold/net.h"

namespace ibishold {

using boost::asio::ip::tcp;

TEST_CASE("a listening socket that cannot be opened") {
  // Guards against a daemon that stops without naming the address that it could not use.
  boost::asio::io_context context;
  tcp::acceptor first(context);
  REQUIRE(OpenListener(first, "127.0.0.1", 0).ok());
  const std::uint16_t port = first.local_endpoint().port();
  SUBCASE("the address is in use") {
    tcp::acceptor second(context);
    const absl::Status status = OpenListener(second, "127.0.0.1", port);
    CHECK(absl::IsUnavailable(status));
    const std::string expected = "listen on 127.0.0.1:" + std::to_string(port) + ": ";
    CHECK(std::string(status.message()).starts_with(expected));
  }
  SUBCASE("the text is no address") {
    tcp::acceptor second(context);
    const absl::Status status = OpenListener(second, "nowhere", port);
    CHECK(absl::IsUnavailable(status));
    CHECK(std::string(status.message()).starts_with("listen on nowhere:"));
  }
}

}  // namespace ibishold
