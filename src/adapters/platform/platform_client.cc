#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "ibishold/http_status.h"
#include "ibishold/platform.h"

namespace ibishold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// One HTTP request and response on its own connection. Keeps itself alive until the handler has
// run.
class PlatformCall : public std::enable_shared_from_this<PlatformCall> {
 public:
  PlatformCall(asio::io_context& context, std::size_t body_limit_bytes, PlatformHandler handler)
      : stream(context), body_limit_bytes(body_limit_bytes), handler(std::move(handler)) {}

  void Start(const PlatformClientOptions& options, const std::string& target, Duration timeout) {
    this->request.method(http::verb::get);
    this->request.version(11);
    this->request.target(target);
    this->request.set(http::field::host, options.address);
    this->request.set(http::field::connection, "close");
    boost::system::error_code error;
    const auto remote_ip = asio::ip::make_address(options.address, error);
    if (!error && !options.local_address.empty()) {
      const auto local_ip = asio::ip::make_address(options.local_address, error);
      if (!error) {
        this->stream.socket().open(local_ip.is_v4() ? tcp::v4() : tcp::v6(), error);
      }
      if (!error) {
        this->stream.socket().bind(tcp::endpoint(local_ip, 0), error);
      }
    }
    if (error) {
      asio::post(this->stream.get_executor(),
                 [self = this->shared_from_this(), error] { self->Fail(error); });
      return;
    }
    // One timeout covers connect, write and read, so that a slow peer cannot extend the call by
    // sending single bytes.
    this->stream.expires_after(timeout);
    this->stream.async_connect(tcp::endpoint(remote_ip, options.port),
                               [self = this->shared_from_this()](beast::error_code connect_error) {
                                 connect_error ? self->Fail(connect_error) : self->WriteRequest();
                               });
  }

 private:
  void WriteRequest() {
    http::async_write(this->stream, this->request,
                      [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                        error ? self->Fail(error) : self->ReadHeaders();
                      });
  }

  void ReadHeaders() {
    this->parser.emplace();
    this->parser->body_limit(this->body_limit_bytes);
    http::async_read_header(
        this->stream, this->buffer, *this->parser,
        [self = this->shared_from_this()](beast::error_code error, std::size_t) {
          error ? self->Fail(error) : self->HandleHeaders();
        });
  }

  // Checks the status before the body is read, because the body of an invalid response may never
  // end.
  void HandleHeaders() {
    const auto status = static_cast<int>(this->parser->get().result_int());
    const StatusClass status_class = ClassifyStatus(status);
    if (status_class == StatusClass::kFinal) {
      this->ReadBody();
    } else if (status_class == StatusClass::kInformational &&
               ++this->informational_responses <= kMaxInformationalReplies) {
      this->ReadHeaders();
    } else {
      this->Complete(absl::UnavailableError(
          absl::StrCat("the platform sent an invalid response, status ", status)));
    }
  }

  void ReadBody() {
    http::async_read(this->stream, this->buffer, *this->parser,
                     [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                       error ? self->Fail(error) : self->HandleResponse();
                     });
  }

  void HandleResponse() {
    const auto& response = this->parser->get();
    PlatformValue value;
    const beast::string_view generation_text = response["X-Generation"];
    if (!absl::SimpleAtoi(absl::string_view(generation_text.data(), generation_text.size()),
                          &value.generation)) {
      value.generation = 0;
    }
    if (response.result() == http::status::not_modified) {
      value.changed = false;
      this->Complete(std::move(value));
      return;
    }
    if (response.result() == http::status::not_found) {
      this->Complete(absl::NotFoundError("the platform has no such key"));
      return;
    }
    if (response.result() != http::status::ok) {
      this->Complete(absl::UnavailableError(
          absl::StrCat("the platform answered with status ", response.result_int())));
      return;
    }
    value.text = response.body();
    this->Complete(std::move(value));
  }

  void Fail(beast::error_code error) {
    if (error == beast::error::timeout) {
      this->Complete(absl::DeadlineExceededError("the platform did not answer in time"));
    } else {
      this->Complete(absl::UnavailableError(
          absl::StrCat("the call to the platform failed: ", error.message())));
    }
  }

  void Complete(absl::StatusOr<PlatformValue> value) {
    boost::system::error_code ignored;
    this->stream.socket().close(ignored);
    auto completion_handler = std::move(this->handler);
    completion_handler(std::move(value));
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer{64U << 10U};  // bounds each line of the chunk framing
  http::request<http::empty_body> request;
  std::size_t body_limit_bytes;
  std::optional<http::response_parser<http::string_body>> parser;
  int informational_responses = 0;
  PlatformHandler handler;
};

}  // namespace

PlatformClient::PlatformClient(asio::io_context& context, PlatformClientOptions options)
    : context(context), options(std::move(options)) {}

void PlatformClient::Read(const std::string& key, PlatformHandler handler) {
  this->Call(absl::StrCat("/v1/keys/", key), this->options.call_timeout, std::move(handler));
}

void PlatformClient::Watch(const std::string& key,
                           std::uint64_t generation,
                           Duration wait,
                           PlatformHandler handler) {
  const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  this->Call(absl::StrCat("/v1/keys/", key, "?watch=", generation, "&wait_ms=", wait_ms),
             wait + this->options.watch_margin, std::move(handler));
}

void PlatformClient::Call(const std::string& target, Duration timeout, PlatformHandler handler) {
  ++this->call_count;
  std::make_shared<PlatformCall>(this->context, this->options.body_limit_bytes, std::move(handler))
      ->Start(this->options, target, timeout);
}

}  // namespace ibishold
