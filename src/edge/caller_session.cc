#include "edge/caller_session.h"

#include <boost/asio/write.hpp>

#include "absl/strings/str_cat.h"
#include "edge/http_fields.h"
#include "edge/socket_options.h"
#include "ibishold/http_status.h"

namespace ibishold {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadAheadLimit = 64U << 10U;  // buffered bytes of pipelined requests, 64 KB
constexpr std::chrono::seconds kLingeringCloseTimeout{
    1};  // time to read and discard input after the last reply, 1 s
constexpr std::chrono::seconds kBodyTimeout{30};           // time to receive a body, 30 s
constexpr std::chrono::seconds kUnacknowledgedTimeout{5};  // time without an acknowledgement, 5 s
constexpr std::chrono::milliseconds kDefaultRoundTrip{6};  // if the kernel has no measurement, 6 ms
// A first request that arrives within one round trip and this delay after the accept is taken as
// the one that the connection was opened for.
constexpr std::chrono::milliseconds kMaxConnectToSendDelay{20};
constexpr std::chrono::milliseconds kFirstRequestGrace{
    500};  // time to send a first request during a stop, 500 ms
constexpr const char* kMemoryLimitRetryAfter =
    "1";  // s, Retry-After when the input memory is exhausted

}  // namespace

CallerPort::Session::Session(asio::ip::tcp::socket socket, CallerPort& port)
    : socket(std::move(socket)), timer(this->socket.get_executor()), port(port) {
  SetLivenessOptions(this->socket, kUnacknowledgedTimeout);
}

void CallerPort::Session::Start() {
  this->StartNextRequest();
}

void CallerPort::Session::StartNextRequest() {
  this->phase = Phase::kIdle;
  this->ticket = 0;
  this->continue_sent = false;
  this->port.memory.Remove(this);
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->header_limit(this->port.limits.header_bytes);
  this->parser->body_limit(this->port.limits.body_bytes);
  this->SetTimer(this->port.limits.idle_time);
  if (!this->input.empty()) {
    this->Parse();
  }
  if (this->phase != Phase::kClosed) {
    this->Read();
  }
}

void CallerPort::Session::Read() {
  if (this->reading || this->input.size() >= kReadAheadLimit) {
    return;
  }
  this->reading = true;
  this->socket.async_read_some(
      asio::buffer(this->read_buffer),
      [self = this->shared_from_this()](boost::system::error_code error, std::size_t bytes) {
        self->reading = false;
        if (self->phase != Phase::kClosed) {
          self->OnRead(error, bytes);
        }
      });
}

void CallerPort::Session::OnRead(boost::system::error_code error, std::size_t bytes) {
  if (error) {
    if (this->phase == Phase::kAwaitingReply) {
      ++this->port.total.disconnected;
      const std::uint64_t disconnected = this->ticket;
      this->Close();
      this->port.handlers.on_disconnect(disconnected);
      return;
    }
    if (this->phase != Phase::kWriting) {
      this->Close();
    }
    return;
  }
  if (this->phase == Phase::kLingeringClose) {
    this->Read();  // input is discarded, because closing with unread input would reset the
                   // connection
    return;
  }
  this->input.append(this->read_buffer.data(), bytes);
  if (!this->first_byte_at) {
    this->first_byte_at = BootClock::now();
  }
  if (this->phase == Phase::kIdle || this->phase == Phase::kReceiving) {
    this->Parse();
  }
  if (this->phase == Phase::kReceiving) {
    this->port.memory.SetUsage(this->shared_from_this(), this->ReceivedBytes());
  }
  if (this->phase != Phase::kClosed) {
    this->Read();
  }
}

std::size_t CallerPort::Session::ReceivedBytes() const {
  return this->parser->get().body().capacity() + this->input.capacity();
}

void CallerPort::Session::AbortReceive() {
  ++this->port.total.refused;
  this->parser.emplace();
  this->input = {};
  this->keep_alive = false;
  this->Write(503, {.headers = {{"Retry-After", kMemoryLimitRetryAfter}}, .close = true});
}

void CallerPort::Session::Parse() {
  if (this->phase == Phase::kIdle) {
    this->phase = Phase::kReceiving;
    this->SetTimer(this->port.limits.header_time);
  }
  while (!this->input.empty() && this->phase == Phase::kReceiving) {
    boost::beast::error_code error;
    const std::size_t used =
        this->parser->put(asio::const_buffer(this->input.data(), this->input.size()), error);
    this->input.erase(0, used);
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      this->RefuseInput(error == http::error::body_limit     ? 413
                        : error == http::error::header_limit ? 431
                                                             : 400);
      return;
    }
    if (this->parser->is_done()) {
      this->OnRequest();
      return;
    }
    if (used == 0) {
      break;
    }
  }
  if (this->phase == Phase::kReceiving && this->parser->is_header_done() && !this->continue_sent) {
    this->continue_sent = true;
    this->SetTimer(kBodyTimeout);
    const auto expect = this->parser->get()[http::field::expect];
    if (EqualsIgnoreCase(std::string_view(expect.data(), expect.size()), "100-continue")) {
      boost::system::error_code ignored;
      this->socket.write_some(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")),
                              ignored);
    }
  }
}

void CallerPort::Session::OnRequest() {
  auto& message = this->parser->get();
  this->timer.cancel();
  this->port.memory.SetUsage(this->shared_from_this(), this->ReceivedBytes());
  if (this->phase != Phase::kReceiving) {
    return;  // aborted because the memory limit was exceeded
  }
  this->port.memory.MarkComplete(this);
  this->keep_alive = message.keep_alive();
  this->head_only = message.method() == http::verb::head;
  HttpRequest request = {
      .method = std::string(message.method_string().data(), message.method_string().size()),
      .target = std::string(message.target().data(), message.target().size()),
      .host = std::string(message[http::field::host].data(), message[http::field::host].size()),
      .headers = EndToEndHeaders(message.base()),
      .body = std::move(message.body())};
  if (request.host.empty() || message.count(http::field::host) != 1 || request.target.empty() ||
      request.target.front() != '/') {
    this->RefuseInput(400);
    return;
  }
  this->phase = Phase::kAwaitingReply;
  this->ticket = ++this->port.last_ticket;
  ++this->requests;
  ++this->port.total.requests;
  this->port.tickets[this->ticket] = this;
  const Duration round_trip = GetSmoothedRoundTrip(this->socket).value_or(kDefaultRoundTrip);
  const bool opened_for_request = this->requests == 1 && *this->first_byte_at - this->accepted_at <
                                                             round_trip + kMaxConnectToSendDelay;
  // The handler may reply before it returns. The reply is written asynchronously, so the next
  // request does not start within this call.
  this->port.handlers.on_request(this->ticket, std::move(request),
                                 opened_for_request ? 2 * round_trip : round_trip);
}

void CallerPort::Session::RefuseInput(int status) {
  ++this->port.total.refused;
  this->keep_alive = false;
  this->Write(status, {.status = status, .close = true});
}

void CallerPort::Session::Reply(const CallerReply& reply) {
  if (ClassifyStatus(reply.status) != StatusClass::kFinal) {
    ++this->port.total.invalid_statuses;
    this->Write(502, {.status = 502, .close = reply.close});
    return;
  }
  this->Write(reply.status, reply);
}

void CallerPort::Session::Write(int status, const CallerReply& reply) {
  this->phase = Phase::kWriting;
  this->timer.cancel();
  this->keep_alive = this->keep_alive && !reply.close && !this->port.stopping;
  this->output = absl::StrCat("HTTP/1.1 ", status, " ");
  const auto reason = http::obsolete_reason(static_cast<http::status>(status));
  this->output.append(reason.data(), reason.size());
  this->output += "\r\n";
  for (const HeaderField& field : reply.headers) {
    absl::StrAppend(&this->output, field.name, ": ", field.value, "\r\n");
  }
  if (!this->keep_alive) {
    this->output += "Connection: close\r\n";
  }
  if (status != 204 && status != 304) {
    absl::StrAppend(&this->output, "Content-Length: ", reply.body.size(), "\r\n");
  }
  this->output += "\r\n";
  if (!this->head_only) {
    this->output += reply.body;
  }
  asio::async_write(this->socket, asio::buffer(this->output),
                    [self = this->shared_from_this()](boost::system::error_code error,
                                                      std::size_t) { self->OnWritten(error); });
}

void CallerPort::Session::OnWritten(boost::system::error_code error) {
  if (this->phase == Phase::kClosed) {
    return;
  }
  if (error) {
    this->Close();
    return;
  }
  if (this->keep_alive) {
    this->StartNextRequest();
    return;
  }
  // Closing with unread input would reset the connection, and the caller could lose the reply.
  this->phase = Phase::kLingeringClose;
  boost::system::error_code ignored;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  this->input.clear();
  this->SetTimer(kLingeringCloseTimeout);
  this->Read();
}

// A request may be in flight. One whose bytes have arrived is served, and a connection that has
// just been accepted is given time to send its first request.
void CallerPort::Session::CloseIfIdle() {
  if (this->phase != Phase::kIdle || !this->input.empty()) {
    return;
  }
  boost::system::error_code error;
  const bool arrived = this->socket.available(error) > 0 && !error;
  const bool awaits_first_request =
      this->requests == 0 && BootClock::now() - this->accepted_at < kFirstRequestGrace;
  if (!arrived && !awaits_first_request) {
    this->Close();
  }
}

void CallerPort::Session::Close() {
  if (this->phase == Phase::kClosed) {
    return;
  }
  const auto self = this->shared_from_this();
  this->phase = Phase::kClosed;
  this->port.memory.Remove(this);
  this->timer.cancel();
  boost::system::error_code ignored;
  this->socket.close(ignored);
  if (this->ticket != 0) {
    this->port.tickets.erase(this->ticket);
  }
  this->port.sessions.erase(self);
}

void CallerPort::Session::SetTimer(Duration duration) {
  this->timer.expires_after(duration);
  this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
    if (!error) {
      self->OnTimer();
    }
  });
}

void CallerPort::Session::OnTimer() {
  if (this->phase == Phase::kReceiving) {
    this->RefuseInput(408);
  } else if (this->phase == Phase::kIdle || this->phase == Phase::kLingeringClose) {
    this->Close();
  }
}

// ---- CallerPort ---------------------------------------------------------------------------------

CallerPort::CallerPort(asio::io_context& context, Handlers handlers, std::size_t input_limit)
    : context(context), acceptor(context), handlers(std::move(handlers)), memory(input_limit) {}

CallerPort::~CallerPort() {
  const auto open = this->sessions;
  for (const auto& session : open) {
    session->Close();
  }
}

void CallerPort::Reply(std::uint64_t ticket, const CallerReply& reply) {
  const auto found = this->tickets.find(ticket);
  if (found == this->tickets.end()) {
    return;  // the caller has disconnected
  }
  Session* session = found->second;
  this->tickets.erase(found);
  session->Reply(reply);
}

void CallerPort::BeginStop() {
  this->stopping = true;
}

void CallerPort::CloseIdle() {
  this->closing = true;
  this->AcceptPending();
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  const auto open = this->sessions;
  for (const auto& session : open) {
    session->CloseIfIdle();
  }
}

}  // namespace ibishold
