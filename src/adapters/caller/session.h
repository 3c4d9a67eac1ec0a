#ifndef SRC_ADAPTERS_CALLER_SESSION_H_
#define SRC_ADAPTERS_CALLER_SESSION_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>

#include "ibishold/caller.h"

namespace ibishold {

// One HTTP connection of a caller. It uses a socket and a timer of its own, because
// beast::tcp_stream closes the socket on a timeout, before a slow sender could get its 408.
class CallerServer::Session : public std::enable_shared_from_this<CallerServer::Session> {
 public:
  Session(boost::asio::ip::tcp::socket socket, CallerServer& server);

  void Start();
  void RejectConnection();  // answers 503 and closes
  void SendAnswer(const CallerAnswer& answer);
  void Close();

 private:
  enum class Phase : std::uint8_t { kIdle, kReceiving, kWaiting, kWriting, kDraining, kClosed };

  void ReadNextRequest();
  void WaitForFirstByte();
  void ReceiveRequest();
  void OnRequestReceived();
  void OnReadError(boost::system::error_code error);
  void WatchForDisconnect();
  void SendError(int status,
                 std::string_view error,
                 std::string_view message,
                 Duration retry_after,
                 bool close_connection);
  void WriteResponse(int status,
                     std::string body,
                     Duration retry_after,
                     const std::string& new_token,
                     bool close_connection);
  void SetTimer(Duration limit);
  void OnTimer();
  void DrainInput();
  void CloseAndRemove();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  CallerServer& server;
  // Bounds each line of the chunk framing of a request.
  boost::beast::flat_buffer buffer{64U << 10U};
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
  boost::beast::http::response<boost::beast::http::string_body> response;
  Phase phase = Phase::kIdle;
  std::uint64_t ticket = 0;          // of the request that waits for its answer
  std::uint64_t timer_sequence = 0;  // incremented by SetTimer, so that replaced timers are ignored
  std::string request_id;            // of the current request, echoed as X-Request-Id
  std::size_t drained_bytes = 0;     // input discarded after an error answer
  bool receive_timed_out = false;
  bool has_unread_input = false;  // the error answer was sent before the whole request was read
  bool keep_alive = false;
};

}  // namespace ibishold

#endif  // SRC_ADAPTERS_CALLER_SESSION_H_
