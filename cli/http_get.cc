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

constexpr std::size_t kBodyLimit = 8U << 20U;  // bytes; documents hold at most 1 MB

}  // namespace

absl::StatusOr<HttpReply> HttpGet(const std::string& address,
                                  std::uint16_t port,
                                  const std::string& target,
                                  std::chrono::milliseconds limit) {
  asio::io_context context;
  beast::tcp_stream stream(context);
  beast::error_code failure;
  const auto ip = asio::ip::make_address(address, failure);
  if (failure) {
    return absl::InvalidArgumentError(absl::StrCat(address, " is not an IP number"));
  }
  http::request<http::empty_body> request(http::verb::get, target, 11);
  request.set(http::field::host, address);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kBodyLimit);
  stream.expires_after(limit);
  stream.async_connect({ip, port}, [&](beast::error_code connect_error) {
    failure = connect_error;
    if (failure) {
      return;
    }
    http::async_write(stream, request, [&](beast::error_code write_error, std::size_t) {
      failure = write_error;
      if (failure) {
        return;
      }
      http::async_read(stream, buffer, parser,
                       [&](beast::error_code read_error, std::size_t) { failure = read_error; });
    });
  });
  context.run();
  if (failure) {
    return absl::UnavailableError(
        absl::StrCat(address, ":", port, target, ": ", failure.message()));
  }
  return HttpReply{.status = static_cast<int>(parser.get().result_int()),
                   .body = parser.get().body()};
}

}  // namespace ibishold
