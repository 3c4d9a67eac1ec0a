#include "adapters/caller/session.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "adapters/caller/parse_request.h"

namespace ibishold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::chrono::milliseconds kCancelRetryInterval{10};
constexpr std::chrono::seconds kDrainTimeLimit{1};  // for discarding input after an error answer
constexpr std::size_t kDrainSizeLimit =
    1024UL * 1024;  // bytes of input discarded after an error answer, 1 MB

}  // namespace

CallerServer::Session::Session(asio::ip::tcp::socket peer, CallerServer& server)
    : socket(std::move(peer)), timer(this->socket.get_executor()), server(server) {
  boost::system::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void CallerServer::Session::Start() {
  this->ReadNextRequest();
}

void CallerServer::Session::RejectConnection() {
  this->SendError(503, "overload", "too many connections", std::chrono::seconds(1), true);
}

void CallerServer::Session::ReadNextRequest() {
  this->phase = Phase::kIdle;
  this->receive_timed_out = false;
  this->request_id.clear();
  this->parser.emplace();
  this->parser->header_limit(static_cast<std::uint32_t>(this->server.options.header_limit));
  this->parser->body_limit(this->server.options.body_limit);
  this->SetTimer(this->server.options.idle_limit);
  this->WaitForFirstByte();
}

void CallerServer::Session::WaitForFirstByte() {
  if (this->buffer.size() > 0) {  // a pipelined request is already buffered
    this->ReceiveRequest();
    return;
  }
  this->socket.async_wait(asio::ip::tcp::socket::wait_read,
                          [self = this->shared_from_this()](beast::error_code error) {
                            if (!error && self->phase == Phase::kIdle) {
                              self->ReceiveRequest();
                            }
                          });
}

void CallerServer::Session::ReceiveRequest() {
  // The receive limit covers the whole request and is not extended by further bytes, so that a slow
  // sender cannot hold the connection.
  this->phase = Phase::kReceiving;
  this->SetTimer(this->server.options.receive_limit);
  http::async_read(this->socket, this->buffer, *this->parser,
                   [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                     if (self->phase == Phase::kClosed) {
                       return;
                     }
                     if (error) {
                       self->OnReadError(error);
                     } else {
                       self->OnRequestReceived();
                     }
                   });
}

void CallerServer::Session::OnReadError(boost::system::error_code error) {
  if (this->receive_timed_out) {
    ++this->server.counter_values.receive_timeouts;
    this->SendError(408, "slow_sender", "the request did not arrive in time", Duration{}, true);
    return;
  }
  if (error == http::error::body_limit) {
    this->SendError(
        413, "too_large",
        absl::StrCat("the body is larger than ", this->server.options.body_limit, " bytes"),
        Duration{}, true);
    return;
  }
  if (error == http::error::header_limit) {
    this->SendError(
        431, "header_too_large",
        absl::StrCat("the header is larger than ", this->server.options.header_limit, " bytes"),
        Duration{}, true);
    return;
  }
  const bool is_parser_error =
      error.category() == make_error_code(http::error::bad_method).category();
  if (is_parser_error && error != http::error::end_of_stream &&
      error != http::error::partial_message) {
    this->SendError(400, "bad_http", "not an HTTP/1.1 request: " + error.message(), Duration{},
                    true);
    return;
  }
  this->CloseAndRemove();
}

void CallerServer::Session::OnRequestReceived() {
  const auto& message = this->parser->get();
  this->keep_alive = message.keep_alive();
  auto parsed = ParseCallerRequest(message, this->server.options, BootClock::now());
  if (auto* bad_request = std::get_if<BadRequest>(&parsed)) {
    this->SendError(bad_request->status, bad_request->error, bad_request->message, Duration{},
                    false);
    return;
  }
  auto request = std::make_shared<CallerRequest>(std::move(std::get<CallerRequest>(parsed)));
  ++this->server.counter_values.accepted_requests;
  request->ticket = ++this->server.last_ticket;
  if (request->request_id.empty()) {
    request->request_id =
        absl::StrCat(this->server.options.request_id_prefix, "-", request->ticket);
  }
  this->request_id = request->request_id;
  const TimePoint deadline = request->deadline;
  this->ticket = request->ticket;
  this->parser.reset();  // frees the raw body while the request is processed
  this->phase = Phase::kWaiting;
  this->server.waiting_sessions[this->ticket] = this;
  if (!this->server.on_request(std::move(request))) {
    this->server.waiting_sessions.erase(this->ticket);
    this->SendError(503, "overload", "too many requests are waiting",
                    std::chrono::milliseconds(200), false);
    return;
  }
  // The caller gets 504 even if the answer is lost between the threads.
  this->SetTimer(deadline - BootClock::now() + this->server.options.answer_grace);
  this->WatchForDisconnect();
}

void CallerServer::Session::WatchForDisconnect() {
  this->socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = this->shared_from_this(), watched_ticket = this->ticket](beast::error_code error) {
        if (error || self->phase != Phase::kWaiting || self->ticket != watched_ticket) {
          return;
        }
        char byte = 0;
        boost::system::error_code peek_error;
        self->socket.non_blocking(true, peek_error);
        const std::size_t peeked_bytes = self->socket.receive(
            asio::buffer(&byte, 1), asio::socket_base::message_peek, peek_error);
        if (peeked_bytes > 0 || peek_error == asio::error::would_block) {
          return;  // the caller pipelined its next request
        }
        ++self->server.counter_values.abandoned_requests;
        self->server.waiting_sessions.erase(self->ticket);
        self->server.on_abandon(self->ticket);
        self->CloseAndRemove();
      });
}

void CallerServer::Session::SendAnswer(const CallerAnswer& answer) {
  this->server.waiting_sessions.erase(this->ticket);
  this->WriteResponse(answer.status, answer.body, answer.retry_after, answer.new_token, false);
}

void CallerServer::Session::SendError(int status,
                                      std::string_view error,
                                      std::string_view message,
                                      Duration retry_after,
                                      bool close_connection) {
  this->server.counter_values.client_errors += status < 500 ? 1 : 0;
  this->has_unread_input = close_connection;
  this->WriteResponse(status, MakeErrorBody(error, message, Verdict::kNotRun, retry_after),
                      retry_after, "", close_connection);
}

void CallerServer::Session::WriteResponse(int status,
                                          std::string body,
                                          Duration retry_after,
                                          const std::string& new_token,
                                          bool close_connection) {
  this->phase = Phase::kWriting;
  boost::system::error_code ignored;
  this->socket.cancel(ignored);  // ends the wait of WatchForDisconnect
  this->response = {};
  this->response.version(11);
  this->response.result(static_cast<unsigned>(status));
  this->response.set(http::field::content_type, "application/json");
  if (!this->request_id.empty()) {
    this->response.set("X-Request-Id", this->request_id);
  }
  if (retry_after > Duration{}) {
    // Retry-After has a resolution of seconds; retry_after_ms in the body is exact to the
    // millisecond.
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    this->response.set(http::field::retry_after, std::to_string(seconds));
  }
  if (!new_token.empty()) {
    this->response.set("Idempotency-Key", new_token);
  }
  this->response.keep_alive(this->keep_alive && !close_connection && !this->server.close_announced);
  this->response.body() = std::move(body);
  this->response.prepare_payload();
  this->SetTimer(this->server.options.write_limit);
  http::async_write(this->socket, this->response,
                    [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                      if (self->phase == Phase::kClosed) {
                        return;
                      }
                      if (!error && self->has_unread_input) {
                        boost::system::error_code ignored;
                        self->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                        self->phase = Phase::kDraining;
                        self->SetTimer(kDrainTimeLimit);
                        self->DrainInput();
                        return;
                      }
                      if (error || !self->response.keep_alive()) {
                        self->CloseAndRemove();
                        return;
                      }
                      self->response = {};
                      self->ReadNextRequest();
                    });
}

// Reads and discards input after an error answer. Closing a socket with unread input resets the
// connection, and the caller may then lose the answer.
void CallerServer::Session::DrainInput() {
  this->buffer.clear();
  this->socket.async_read_some(
      this->buffer.prepare(4096),
      [self = this->shared_from_this()](beast::error_code error, std::size_t size) {
        if (self->phase != Phase::kDraining) {
          return;
        }
        self->drained_bytes += size;
        if (error || self->drained_bytes > kDrainSizeLimit) {
          self->CloseAndRemove();
          return;
        }
        self->DrainInput();
      });
}

void CallerServer::Session::SetTimer(Duration limit) {
  this->timer.expires_after(limit);
  this->timer.async_wait([self = this->shared_from_this(),
                          sequence = ++this->timer_sequence](boost::system::error_code error) {
    if (!error && sequence == self->timer_sequence) {
      self->OnTimer();
    }
  });
}

void CallerServer::Session::OnTimer() {
  boost::system::error_code ignored;
  switch (this->phase) {
    case Phase::kReceiving:
      this->receive_timed_out = true;
      this->socket.cancel(ignored);
      // A byte that arrived just before cancel() lets async_read continue, so the cancel is
      // repeated until the read ends.
      this->SetTimer(kCancelRetryInterval);
      return;
    case Phase::kWaiting:
      this->server.waiting_sessions.erase(this->ticket);
      this->server.on_abandon(this->ticket);
      this->WriteResponse(504,
                          MakeErrorBody("deadline", "no answer within the deadline",
                                        Verdict::kMayHaveRun, Duration{}),
                          Duration{}, "", false);
      return;
    case Phase::kIdle:
    case Phase::kWriting:
    case Phase::kDraining:
      this->CloseAndRemove();
      return;
    case Phase::kClosed:
      return;
  }
}

void CallerServer::Session::Close() {
  if (this->phase == Phase::kWaiting) {
    this->server.waiting_sessions.erase(this->ticket);
  }
  this->phase = Phase::kClosed;
  boost::system::error_code ignored;
  this->timer.cancel();
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  this->socket.close(ignored);
}

void CallerServer::Session::CloseAndRemove() {
  this->Close();
  this->server.sessions.erase(this->shared_from_this());
}

}  // namespace ibishold
