#ifndef SRC_EDGE_CALLER_SESSION_H_
#define SRC_EDGE_CALLER_SESSION_H_

#include <boost/asio/steady_timer.hpp>

#include "ibishold/edge.h"

namespace ibishold {

// A connection from a caller. It repeatedly reads a request, waits for the reply and writes it. It
// keeps reading while it waits for the reply, so that a disconnect is detected at once.
class CallerPort::Session : public std::enable_shared_from_this<CallerPort::Session> {
 public:
  Session(boost::asio::ip::tcp::socket socket, CallerPort& port);

  void Start();
  void Reply(const CallerReply& reply);
  void CloseIfIdle();  // only if it waits for the next request
  void Close();
  void AbortReceive();  // refuses the request that is being received, for lack of memory

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  enum class Phase : std::uint8_t {
    kIdle,
    kReceiving,
    kAwaitingReply,
    kWriting,
    kLingeringClose,
    kClosed
  };

  void StartNextRequest();
  void Read();
  void OnRead(boost::system::error_code error, std::size_t bytes);
  void Parse();
  void OnRequest();
  void RefuseInput(int status);
  std::size_t ReceivedBytes() const;  // memory of the request in bytes
  void Write(int status, const CallerReply& reply);
  void OnWritten(boost::system::error_code error);
  void SetTimer(Duration duration);
  void OnTimer();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  CallerPort& port;
  Phase phase = Phase::kIdle;
  std::optional<Parser> parser;
  std::string input;  // received but not parsed
  std::array<char, 8192> read_buffer{};
  std::string output;
  std::uint64_t ticket = 0;
  std::uint64_t requests = 0;  // number of requests read on this connection
  TimePoint accepted_at = BootClock::now();
  std::optional<TimePoint> first_byte_at;
  bool keep_alive = true;
  bool head_only = false;
  bool reading = false;
  bool continue_sent = false;
};

}  // namespace ibishold

#endif  // SRC_EDGE_CALLER_SESSION_H_
