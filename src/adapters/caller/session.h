#ifndef SRC_ADAPTERS_CALLER_SESSION_H_
#define SRC_ADAPTERS_CALLER_SESSION_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>

#include "ibishold/caller.h"

namespace ibishold {

// One caller's connection. The socket and a timer are used instead of beast::tcp_stream, because
// that closes the socket on a timeout, and a slow sender must get its 408 first.
class CallerServer::Session : public std::enable_shared_from_this<CallerServer::Session> {
 public:
  Session(boost::asio::ip::tcp::socket socket, CallerServer& server);

  void Start();
  void RefuseConnection();  // 503 and closed
  void Answer(const CallerAnswer& answer);
  void Close();

 private:
  enum class Phase : std::uint8_t { kIdle, kReceiving, kWaiting, kWriting, kDraining, kClosed };

  void ReadNext();
  void WaitForFirstByte();
  void ReadMessage();
  void OnMessage();
  void OnReadError(boost::system::error_code error);
  void WatchForClose();
  void Refuse(int status,
              std::string_view error,
              std::string_view message,
              Duration retry_after,
              bool close);
  void Write(int status,
             std::string body,
             Duration retry_after,
             const std::string& new_token,
             bool close);
  void SetTimer(Duration limit);
  void OnTimer();
  void DrainInput();
  void Leave();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  CallerServer& server;
  boost::beast::flat_buffer buffer;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
  boost::beast::http::response<boost::beast::http::string_body> response;
  Phase phase = Phase::kIdle;
  std::uint64_t ticket = 0;     // while waiting
  std::uint64_t timer_run = 0;  // timers that were replaced do nothing
  std::string request_id;       // of the current request
  std::size_t drained = 0;      // bytes thrown away after a refusal
  bool timed_out = false;
  bool input_unread = false;  // refused before the whole request was read
  bool keep_alive = false;
};

}  // namespace ibishold

#endif  // SRC_ADAPTERS_CALLER_SESSION_H_
