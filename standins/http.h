#ifndef STANDINS_HTTP_H_
#define STANDINS_HTTP_H_

// HTTP/1.1 server loop shared by the stand-ins, as Asio coroutines.

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace ibishold::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

inline constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Value of a header as std::string; empty if absent.
inline std::string HeaderOf(const HttpRequest& request, std::string_view name) {
  const auto found = request.find(boost::beast::string_view(name.data(), name.size()));
  return found == request.end() ? std::string() : std::string(found->value());
}

inline std::string TargetOf(const HttpRequest& request) {
  return std::string(request.target());
}

inline HttpResponse Answer(unsigned status, const json::value& body) {
  HttpResponse response(static_cast<http::status>(status), 11);
  response.set(http::field::content_type, "application/json");
  response.body() = json::serialize(body);
  return response;
}

inline HttpResponse AnswerText(unsigned status, std::string text) {
  HttpResponse response(static_cast<http::status>(status), 11);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(text);
  return response;
}

// Reads requests from one connection and writes the handler's answers until either side closes.
// The handler returns no value to leave the connection without an answer and end it.
// Handler: asio::awaitable<std::optional<HttpResponse>>(const HttpRequest&).
template <typename Handler>
asio::awaitable<void> ServeConnection(std::shared_ptr<tcp::socket> socket, Handler handler) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(4U << 20U);
    const auto [read_error, read_size] = co_await http::async_read(*socket, buffer, parser, kAwait);
    if (read_error) {
      break;
    }
    const HttpRequest request = parser.release();
    const bool keep_alive = request.keep_alive();
    std::optional<HttpResponse> response;
    try {
      response = co_await handler(request);
    } catch (const std::exception& error) {
      response = Answer(400, json::object{{"error", error.what()}});
    }
    if (!response || !socket->is_open()) {
      break;
    }
    response->version(11);
    response->keep_alive(keep_alive);
    response->prepare_payload();
    const auto [write_error, write_size] = co_await http::async_write(*socket, *response, kAwait);
    if (write_error || !keep_alive) {
      break;
    }
  }
  boost::system::error_code ignored;
  socket->close(ignored);
}

// Accepts connections for as long as the io_context runs. Throws if the address cannot be bound.
template <typename Handler>
void Serve(asio::io_context& context,
           const std::string& address,
           std::uint16_t port,
           Handler handler) {
  auto acceptor = std::make_shared<tcp::acceptor>(
      context, tcp::endpoint(asio::ip::make_address(address), port), true);
  asio::co_spawn(
      context,
      [acceptor, handler, &context]() -> asio::awaitable<void> {
        for (;;) {
          auto [error, socket] = co_await acceptor->async_accept(kAwait);
          if (error) {
            continue;
          }
          auto shared = std::make_shared<tcp::socket>(std::move(socket));
          shared->set_option(tcp::no_delay(true));
          asio::co_spawn(context, ServeConnection(shared, handler), asio::detached);
        }
      },
      asio::detached);
}

// Waits for a duration in milliseconds.
inline asio::awaitable<void> Sleep(double milliseconds) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::nanoseconds(static_cast<std::int64_t>(milliseconds * 1e6)));
  co_await timer.async_wait(kAwait);
}

// Member of a JSON object as a number, or the default.
inline double NumberOr(const json::object& object, std::string_view key, double default_value) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) {
    return default_value;
  }
  return value->to_number<double>();
}

}  // namespace ibishold::standin

#endif  // STANDINS_HTTP_H_
