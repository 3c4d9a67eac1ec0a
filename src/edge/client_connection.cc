#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "absl/strings/str_cat.h"
#include "edge/http_fields.h"
#include "edge/socket_options.h"
#include "ibishold/edge.h"
#include "ibishold/http_status.h"

namespace ibishold {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Replies to other requests that may arrive before the reply to a request.
constexpr int kMaxOtherReplies = 32;

std::string Serialize(const HttpRequest& request) {
  std::string text = absl::StrCat(request.method, " ", request.target,
                                  " HTTP/1.1\r\nHost: ", request.host, "\r\n");
  for (const HeaderField& field : request.headers) {
    absl::StrAppend(&text, field.name, ": ", field.value, "\r\n");
  }
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n");
  }
  absl::StrAppend(&text, "\r\n", request.body);
  return text;
}

// Returns the "timeout" parameter of the Keep-Alive header, in whole seconds.
std::optional<Duration> ParseKeepAliveTimeout(const http::fields& fields) {
  const auto found = fields.find("Keep-Alive");
  if (found == fields.end()) {
    return std::nullopt;
  }
  const std::string_view text(found->value().data(), found->value().size());
  const std::size_t at = text.find("timeout=");
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  unsigned seconds = 0;
  const char* begin = text.data() + at + std::string_view("timeout=").size();
  if (std::from_chars(begin, text.data() + text.size(), seconds).ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

ClientConnection::ClientConnection(asio::io_context& context, ClientConnectionOptions options)
    : socket(context), connect_timer(context), options(std::move(options)) {}

void ClientConnection::Open(const asio::ip::tcp::endpoint& endpoint, Handlers new_handlers) {
  this->handlers = std::move(new_handlers);
  this->last_used_at = BootClock::now();
  this->connect_timer.expires_after(this->options.connect_limit);
  this->connect_timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (!error && !self->open) {
          self->End(ConnectionEnd::kNotConnected);
        }
      });
  this->socket.async_connect(endpoint,
                             [self = this->shared_from_this()](boost::system::error_code error) {
                               self->OnConnected(error);
                             });
}

void ClientConnection::OnConnected(boost::system::error_code error) {
  if (this->ended) {
    return;
  }
  if (error) {
    this->End(ConnectionEnd::kNotConnected);
    return;
  }
  this->connect_timer.cancel();
  SetLivenessOptions(this->socket, this->options.silence_limit);
  this->open = true;
  this->last_used_at = BootClock::now();
  this->ResetParser();
  this->Read();
  this->handlers.on_open();
}

void ClientConnection::ResetParser() {
  this->parser.emplace();
  this->parsed_bytes = 0;
  this->parser->eager(true);
  this->parser->body_limit(this->options.body_limit);
  this->parser->header_limit(this->options.header_limit);
  this->parser->skip(this->head_only);
}

void ClientConnection::Send(const HttpRequest& request) {
  this->busy = true;
  this->bytes_received = 0;
  this->informational_replies = 0;
  this->other_replies = 0;
  ++this->requests;
  this->head_only = request.method == "HEAD";
  this->ResetParser();
  this->last_used_at = BootClock::now();
  this->server_closes_at.reset();
  this->output = Serialize(request);
  this->writing = true;
  asio::async_write(this->socket, asio::buffer(this->output),
                    [self = this->shared_from_this()](boost::system::error_code, std::size_t) {
                      // A write error is also reported by the pending read, after the bytes that
                      // the peer sent before it; it is handled there.
                      self->writing = false;
                    });
}

void ClientConnection::Close() {
  if (this->ended) {
    return;
  }
  this->ended = true;
  this->open = false;
  this->handlers = {};
  if (this->options.memory) {
    this->options.memory->Remove(this);
  }
  this->connect_timer.cancel();
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

void ClientConnection::End(ConnectionEnd end) {
  if (this->ended) {
    return;
  }
  const auto on_end = std::move(this->handlers.on_end);
  this->Close();
  on_end(end);
}

void ClientConnection::Read() {
  this->socket.async_read_some(
      asio::buffer(this->read_buffer),
      [self = this->shared_from_this()](boost::system::error_code error, std::size_t bytes) {
        if (!self->ended) {
          self->OnRead(error, bytes);
        }
      });
}

void ClientConnection::OnRead(boost::system::error_code error, std::size_t bytes) {
  if (error) {
    if (this->busy && error == asio::error::eof && this->parser->got_some()) {
      boost::beast::error_code parse_error;
      this->parser->put_eof(parse_error);
      if (!parse_error && this->parser->is_done()) {
        this->open = false;
        this->OnMessageComplete();
        return;
      }
    }
    this->End(this->busy ? ConnectionEnd::kBroken : ConnectionEnd::kClosed);
    return;
  }
  this->input.append(this->read_buffer.data(), bytes);
  if (!this->busy) {
    // Bytes that arrive after a reply belong to no request and may be incomplete, so the position
    // in the stream is unknown.
    this->End(ConnectionEnd::kProtocolError);
    return;
  }
  this->bytes_received += bytes;
  if (this->Parse() && this->WithinLimits()) {
    this->Read();
  }
}

bool ClientConnection::WithinLimits() {
  if (!this->busy) {
    return true;
  }
  if (this->bytes_received > this->options.body_limit + this->options.overhead_limit ||
      this->HasExcessiveFraming()) {
    this->End(ConnectionEnd::kProtocolError);
    return false;
  }
  if (this->options.memory) {
    this->options.memory->SetUsage(this->shared_from_this(),
                                   this->parser->get().body().capacity() + this->input.capacity());
  }
  return !this->ended;
}

// The parser limits neither the lines of the chunk framing, which it reads only when they are
// complete, nor their share of the reply.
bool ClientConnection::HasExcessiveFraming() const {
  const std::uint64_t body_bytes = this->parser->get().body().size();
  return this->input.size() > this->options.header_limit ||
         this->parsed_bytes > 2 * body_bytes + this->options.overhead_limit;
}

bool ClientConnection::Parse() {
  while (!this->input.empty() && this->busy) {
    boost::beast::error_code error;
    const std::size_t used =
        this->parser->put(asio::const_buffer(this->input.data(), this->input.size()), error);
    this->input.erase(0, used);
    this->parsed_bytes += used;
    // Checked before the body is complete, because the body of an invalid reply may never end.
    if ((error && error != http::error::need_more) || this->HasInvalidStatus()) {
      this->End(ConnectionEnd::kProtocolError);
      return false;
    }
    if (error) {
      return true;
    }
    if (this->parser->is_done()) {
      this->OnMessageComplete();
      if (this->ended) {
        return false;
      }
    } else if (used == 0) {
      return true;
    }
  }
  return true;
}

bool ClientConnection::HasInvalidStatus() const {
  return this->parser->is_header_done() &&
         ClassifyStatus(static_cast<int>(this->parser->get().result_int())) ==
             StatusClass::kInvalid;
}

void ClientConnection::OnMessageComplete() {
  const auto& message = this->parser->get();
  if (ClassifyStatus(static_cast<int>(message.result_int())) == StatusClass::kInformational) {
    if (++this->informational_replies > kMaxInformationalReplies) {
      this->End(ConnectionEnd::kProtocolError);
    } else {
      this->ResetParser();
    }
    return;
  }
  HttpReply reply = {.status = static_cast<int>(message.result_int()),
                     .headers = EndToEndHeaders(message.base()),
                     .body = std::move(this->parser->get().body()),
                     .keep_alive = this->open && message.keep_alive() && !message.need_eof(),
                     .keep_alive_time = ParseKeepAliveTimeout(message.base())};
  const ReplyMatch match =
      this->handlers.match_reply ? this->handlers.match_reply(reply) : ReplyMatch::kMatches;
  if (match == ReplyMatch::kNoRequestId && this->requests > 1) {
    this->End(ConnectionEnd::kProtocolError);
    return;
  }
  if (match == ReplyMatch::kOtherRequest) {
    if (!this->open) {
      this->End(ConnectionEnd::kBroken);
    } else if (++this->other_replies > kMaxOtherReplies) {
      this->End(ConnectionEnd::kProtocolError);
    } else {
      this->ResetParser();
    }
    return;
  }
  this->busy = false;
  if (this->options.memory) {
    this->options.memory->Remove(this);
  }
  this->last_used_at = BootClock::now();
  if (reply.keep_alive_time) {
    this->server_closes_at = this->last_used_at + *reply.keep_alive_time;
  }
  // The connection is not reused if bytes follow the reply, which belong to no request, or if the
  // request has not been written in full, because then the state of the connection is unknown.
  const bool reusable =
      reply.keep_alive && match == ReplyMatch::kMatches && this->input.empty() && !this->writing;
  const auto self = this->shared_from_this();
  const auto on_reply = this->handlers.on_reply;
  if (!reusable) {
    this->Close();
  }
  on_reply(std::move(reply));
}

}  // namespace ibishold
