#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "ibishold/http_status.h"
#include "ibishold/leaf.h"

namespace ibishold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// Returns 0 if the text does not start with a number.
std::uint64_t ParseUint64OrZero(beast::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string_view FindField(const http::fields& fields, const char* name) {
  const auto field = fields.find(name);
  if (field == fields.end()) {
    return {};
  }
  return {field->value().data(), field->value().size()};
}

std::uint64_t FindUint64Field(const http::fields& fields, const char* name) {
  const std::string_view text = FindField(fields, name);
  return ParseUint64OrZero(beast::string_view(text.data(), text.size()));
}

std::vector<std::uint64_t> ParseUint64List(std::string_view text) {
  std::vector<std::uint64_t> numbers;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    std::string_view number_text = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    while (!number_text.empty() && number_text.front() == ' ') {
      number_text.remove_prefix(1);
    }
    if (!number_text.empty()) {
      numbers.push_back(
          ParseUint64OrZero(beast::string_view(number_text.data(), number_text.size())));
    }
  }
  return numbers;
}

// A connection that ends within a reply is lost. Any other error of the parser means that the leaf
// sent bytes that are not a valid reply.
absl::Status MakeReadStatus(boost::system::error_code error) {
  const bool is_lost = error == http::error::end_of_stream || error == http::error::partial_message;
  const bool is_parse_error =
      error.category() == http::make_error_code(http::error::end_of_stream).category();
  return is_parse_error && !is_lost ? absl::InternalError(error.message())
                                    : absl::UnavailableError(error.message());
}

LeafReply BuildReply(http::response<http::string_body> message) {
  LeafReply reply;
  reply.status = message.result_int();
  reply.id = std::string(FindField(message, "X-Request-Id"));
  reply.incarnation = FindUint64Field(message, "X-Incarnation");
  reply.uptime = std::chrono::milliseconds(FindUint64Field(message, "X-Uptime-Ms"));
  reply.index_version = FindUint64Field(message, "X-Index-Version");
  reply.versions_held = ParseUint64List(FindField(message, "X-Index-Versions"));
  reply.map_version = FindUint64Field(message, "X-Map-Version");
  reply.draining = FindField(message, "X-Draining") == "1";
  double retry_after_s = 0;
  if (absl::SimpleAtod(std::string(FindField(message, "Retry-After")), &retry_after_s) &&
      retry_after_s > 0) {
    reply.retry_after = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(retry_after_s, 3600.0)));
  }
  reply.body = std::move(message.body());
  return reply;
}

http::request<http::string_body> BuildRequest(const LeafCall& call, const std::string& host) {
  http::request<http::string_body> request;
  request.version(11);
  request.set(http::field::host, host);
  request.set("X-Request-Id", call.id);
  const std::string leaf_path = absl::StrCat("/v1/leaves/", call.leaf.value);
  if (call.kind == LeafCallKind::kLoad) {
    request.method(http::verb::get);
    request.target(leaf_path + "/load");
    return request;
  }
  if (call.kind == LeafCallKind::kCancel) {
    request.method(http::verb::delete_);
    request.target(absl::StrCat(leaf_path, "/requests/", call.id));
    return request;
  }
  const bool is_search = call.kind == LeafCallKind::kSearch;
  request.method(http::verb::post);
  request.target(leaf_path + (is_search ? "/search" : "/execute"));
  request.set(http::field::content_type, "application/json");
  const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(call.time_left);
  request.set("X-Deadline-Ms", std::to_string(time_left.count()));
  request.set("X-Index-Version", std::to_string(call.index_version));
  // The names come from a validated topology and contain no characters that JSON must escape.
  request.body() = absl::StrCat("{\"service\":\"", call.service.value, "\",\"shard\":\"",
                                call.shard.value, "\",\"", is_search ? "query" : "operation",
                                "\":", call.body ? *call.body : std::string("{}"), "}");
  request.prepare_payload();
  return request;
}

}  // namespace

LeafConnection::LeafConnection(asio::io_context& context, LeafConnectionOptions options)
    : stream(context), options(options), buffer(options.buffer_limit_bytes) {}

void LeafConnection::Open(const std::string& address, std::uint16_t port, Handlers new_handlers) {
  this->handlers = std::move(new_handlers);
  this->host = absl::StrCat(address, ":", port);
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address, error);
  if (error) {
    // The error is posted, because the caller may not expect a handler to run before Open returns.
    asio::post(this->stream.get_executor(), [self = this->shared_from_this()] {
      self->Fail(absl::InvalidArgumentError("leaf address is not an IP number"));
    });
    return;
  }
  this->stream.expires_after(this->options.connect_timeout);
  this->stream.async_connect(
      asio::ip::tcp::endpoint(ip, port),
      [self = this->shared_from_this()](boost::system::error_code connect_error) {
        if (connect_error) {
          self->Fail(absl::UnavailableError(connect_error.message()));
          return;
        }
        // Each call has its own deadline, so the stream needs no timeout once it is connected.
        self->stream.expires_never();
        boost::system::error_code ignored;
        self->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        self->ReadReply();
        if (self->handlers.on_open) {
          self->handlers.on_open();
        }
      });
}

void LeafConnection::Send(const LeafCall& call) {
  if (this->is_closed) {
    return;
  }
  if (this->reply_pending || this->write_pending) {
    this->Fail(absl::FailedPreconditionError("a call is outstanding on this leaf connection"));
    return;
  }
  this->reply_pending = true;
  this->informational_replies = 0;
  this->write_pending = true;
  this->request = BuildRequest(call, this->host);
  http::async_write(
      this->stream, *this->request,
      [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
        self->write_pending = false;
        if (error) {
          self->Fail(absl::UnavailableError(error.message()));
        }
      });
}

void LeafConnection::Close() {
  if (this->is_closed) {
    return;
  }
  this->is_closed = true;
  this->handlers = {};
  this->stream.close();
}

// Keeps a read pending even when no call is active, so that a reset of an idle connection is
// detected at once.
void LeafConnection::ReadReply() {
  this->parser.emplace();
  this->parser->body_limit(this->options.body_limit_bytes);
  http::async_read_header(
      this->stream, this->buffer, *this->parser,
      [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
        if (error) {
          self->Fail(MakeReadStatus(error));
          return;
        }
        self->HandleHeaders();
      });
}

// Checks the status before the body is read, because the body of an invalid reply may never end.
void LeafConnection::HandleHeaders() {
  if (this->is_closed) {
    return;
  }
  if (!this->reply_pending) {
    this->Fail(absl::InternalError("answer without a request on a leaf connection"));
    return;
  }
  const auto status = static_cast<int>(this->parser->get().result_int());
  const StatusClass status_class = ClassifyStatus(status);
  if (status_class == StatusClass::kFinal) {
    this->ReadBody();
  } else if (status_class == StatusClass::kInformational &&
             ++this->informational_replies <= kMaxInformationalReplies) {
    this->ReadReply();
  } else {
    this->Fail(absl::InternalError(absl::StrCat("invalid answer of a leaf, status ", status)));
  }
}

void LeafConnection::ReadBody() {
  http::async_read(this->stream, this->buffer, *this->parser,
                   [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                     if (error) {
                       self->Fail(MakeReadStatus(error));
                       return;
                     }
                     self->HandleReply();
                   });
}

void LeafConnection::HandleReply() {
  if (this->is_closed) {
    return;
  }
  this->reply_pending = false;
  http::response<http::string_body> message = this->parser->release();
  // A leaf may reply before it has read the whole request. The connection cannot be reused then,
  // because the rest of the request would be sent before the next request.
  const bool keep_open = message.keep_alive() && !this->write_pending;
  LeafReply reply = BuildReply(std::move(message));
  const auto self = this->shared_from_this();  // on_reply may release the last reference
  if (this->handlers.on_reply) {
    this->handlers.on_reply(std::move(reply));
  }
  if (!keep_open) {
    this->Fail(absl::UnavailableError("closed by the leaf after an answer"));
    return;
  }
  if (!this->is_closed) {
    this->ReadReply();
  }
}

void LeafConnection::Fail(const absl::Status& reason) {
  if (this->is_closed) {
    return;
  }
  this->is_closed = true;
  this->stream.close();
  const Handlers closing_handlers = std::move(this->handlers);
  this->handlers = {};
  if (closing_handlers.on_close) {
    closing_handlers.on_close(reason);
  }
}

}  // namespace ibishold
