#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "ibishold/leaf.h"

namespace ibishold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// 0 if the text is not a number.
std::uint64_t Number(beast::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string_view Field(const http::fields& fields, const char* name) {
  const auto found = fields.find(name);
  if (found == fields.end()) {
    return {};
  }
  return {found->value().data(), found->value().size()};
}

std::uint64_t NumberField(const http::fields& fields, const char* name) {
  const std::string_view text = Field(fields, name);
  return Number(beast::string_view(text.data(), text.size()));
}

std::vector<std::uint64_t> NumberList(std::string_view text) {
  std::vector<std::uint64_t> numbers;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    std::string_view item = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    while (!item.empty() && item.front() == ' ') {
      item.remove_prefix(1);
    }
    if (!item.empty()) {
      numbers.push_back(Number(beast::string_view(item.data(), item.size())));
    }
  }
  return numbers;
}

LeafReply ReplyOf(http::response<http::string_body> message) {
  LeafReply reply;
  reply.status = message.result_int();
  reply.id = std::string(Field(message, "X-Request-Id"));
  reply.incarnation = NumberField(message, "X-Incarnation");
  reply.uptime = std::chrono::milliseconds(NumberField(message, "X-Uptime-Ms"));
  reply.index_version = NumberField(message, "X-Index-Version");
  reply.versions_held = NumberList(Field(message, "X-Index-Versions"));
  reply.map_version = NumberField(message, "X-Map-Version");
  reply.draining = Field(message, "X-Draining") == "1";
  double seconds = 0;
  if (absl::SimpleAtod(std::string(Field(message, "Retry-After")), &seconds) && seconds > 0) {
    reply.retry_after = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(seconds, 3600.0)));
  }
  reply.body = std::move(message.body());
  return reply;
}

http::request<http::string_body> RequestOf(const LeafCall& call, const std::string& host) {
  http::request<http::string_body> request;
  request.version(11);
  request.set(http::field::host, host);
  request.set("X-Request-Id", call.id);
  const std::string base = absl::StrCat("/v1/leaves/", call.leaf.value);
  if (call.kind == LeafCallKind::kLoad) {
    request.method(http::verb::get);
    request.target(base + "/load");
    return request;
  }
  if (call.kind == LeafCallKind::kCancel) {
    request.method(http::verb::delete_);
    request.target(absl::StrCat(base, "/requests/", call.id));
    return request;
  }
  const bool search = call.kind == LeafCallKind::kSearch;
  request.method(http::verb::post);
  request.target(base + (search ? "/search" : "/execute"));
  request.set(http::field::content_type, "application/json");
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(call.time_left);
  request.set("X-Deadline-Ms", std::to_string(left.count()));
  request.set("X-Index-Version", std::to_string(call.index_version));
  // Names come from a validated topology and hold no character that JSON escapes.
  request.body() = absl::StrCat("{\"service\":\"", call.service.value, "\",\"shard\":\"",
                                call.shard.value, "\",\"", search ? "query" : "operation",
                                "\":", call.body ? *call.body : std::string("{}"), "}");
  request.prepare_payload();
  return request;
}

}  // namespace

LeafConnection::LeafConnection(asio::io_context& context, LeafConnectionOptions options)
    : stream(context), options(options) {}

void LeafConnection::Open(const std::string& address, std::uint16_t port, Handlers new_handlers) {
  this->handlers = std::move(new_handlers);
  this->host = absl::StrCat(address, ":", port);
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address, error);
  if (error) {
    // Through the executor, because the caller may not expect a handler within this call.
    asio::post(this->stream.get_executor(), [self = this->shared_from_this()] {
      self->Fail(absl::InvalidArgumentError("leaf address is not an IP number"));
    });
    return;
  }
  this->stream.expires_after(this->options.connect_limit);
  this->stream.async_connect(
      asio::ip::tcp::endpoint(ip, port),
      [self = this->shared_from_this()](boost::system::error_code connect_error) {
        if (connect_error) {
          self->Fail(absl::UnavailableError(connect_error.message()));
          return;
        }
        // Answers have their own deadlines, so the stream's timer is off from here on.
        self->stream.expires_never();
        boost::system::error_code ignored;
        self->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        self->Read();
        if (self->handlers.on_open) {
          self->handlers.on_open();
        }
      });
}

void LeafConnection::Send(const LeafCall& call) {
  if (this->is_closed) {
    return;
  }
  if (this->outstanding || this->writing) {
    this->Fail(absl::FailedPreconditionError("a call is outstanding on this leaf connection"));
    return;
  }
  this->outstanding = true;
  this->writing = true;
  this->request = RequestOf(call, this->host);
  http::async_write(
      this->stream, *this->request,
      [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
        self->writing = false;
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

// A read is always pending, so that a reset of an idle connection is seen at once.
void LeafConnection::Read() {
  this->parser.emplace();
  this->parser->body_limit(this->options.body_limit);
  http::async_read(this->stream, this->buffer, *this->parser,
                   [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                     if (error) {
                       self->Fail(absl::UnavailableError(error.message()));
                       return;
                     }
                     self->Received();
                   });
}

void LeafConnection::Received() {
  if (this->is_closed) {
    return;
  }
  if (!this->outstanding) {
    this->Fail(absl::InternalError("answer without a request on a leaf connection"));
    return;
  }
  this->outstanding = false;
  http::response<http::string_body> message = this->parser->release();
  // A leaf may answer before it has read the whole request; the rest would precede the next one.
  const bool keep = message.keep_alive() && !this->writing;
  LeafReply reply = ReplyOf(std::move(message));
  const auto self = this->shared_from_this();  // the handler may drop the last reference
  if (this->handlers.on_reply) {
    this->handlers.on_reply(std::move(reply));
  }
  if (!keep) {
    this->Fail(absl::UnavailableError("closed by the leaf after an answer"));
    return;
  }
  if (!this->is_closed) {
    this->Read();
  }
}

void LeafConnection::Fail(const absl::Status& reason) {
  if (this->is_closed) {
    return;
  }
  this->is_closed = true;
  this->stream.close();
  const Handlers old = std::move(this->handlers);
  this->handlers = {};
  if (old.on_close) {
    old.on_close(reason);
  }
}

}  // namespace ibishold
