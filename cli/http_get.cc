#include "http_get.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "absl/strings/str_cat.h"

namespace ibishold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t kBodyLimitBytes = 8U << 20U;  // documents have at most 1 MB

}  // namespace

absl::StatusOr<HttpReply> HttpGet(const std::string& address,
                                  std::uint16_t port,
                                  const std::string& target,
                                  std::chrono::milliseconds timeout) {
  asio::io_context context;
  beast::tcp_stream stream(context);
  beast::error_code error;
  const auto ip = asio::ip::make_address(address, error);
  if (error) {
    return absl::InvalidArgumentError(absl::StrCat(address, " is not an IP address"));
  }
  http::request<http::empty_body> request(http::verb::get, target, 11);
  request.set(http::field::host, address);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kBodyLimitBytes);
  stream.expires_after(timeout);
  stream.async_connect({ip, port}, [&](beast::error_code connect_error) {
    error = connect_error;
    if (error) {
      return;
    }
    http::async_write(stream, request, [&](beast::error_code write_error, std::size_t) {
      error = write_error;
      if (error) {
        return;
      }
      http::async_read(stream, buffer, parser,
                       [&](beast::error_code read_error, std::size_t) { error = read_error; });
    });
  });
  context.run();
  if (error) {
    return absl::UnavailableError(absl::StrCat(address, ":", port, target, ": ", error.message()));
  }
  return HttpReply{.status = static_cast<int>(parser.get().result_int()),
                   .body = parser.get().body()};
}

}  // namespace ibishold
