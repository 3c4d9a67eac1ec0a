#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "ibishold/platform.h"

namespace ibishold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// One HTTP exchange on its own connection; lives until its handler has run.
class PlatformCall : public std::enable_shared_from_this<PlatformCall> {
 public:
  PlatformCall(asio::io_context& context, std::size_t body_limit, PlatformHandler handler)
      : stream(context), handler(std::move(handler)) {
    this->parser.body_limit(body_limit);
  }

  void Start(const PlatformClientOptions& options, const std::string& target, Duration limit) {
    this->request.method(http::verb::get);
    this->request.version(11);
    this->request.target(target);
    this->request.set(http::field::host, options.address);
    this->request.set(http::field::connection, "close");
    boost::system::error_code error;
    const auto address = asio::ip::make_address(options.address, error);
    if (!error && !options.local_address.empty()) {
      const auto local = asio::ip::make_address(options.local_address, error);
      if (!error) {
        this->stream.socket().open(local.is_v4() ? tcp::v4() : tcp::v6(), error);
      }
      if (!error) {
        this->stream.socket().bind(tcp::endpoint(local, 0), error);
      }
    }
    if (error) {
      asio::post(this->stream.get_executor(),
                 [self = this->shared_from_this(), error] { self->Fail(error); });
      return;
    }
    // One deadline for the whole exchange, so that a peer that trickles bytes cannot extend it.
    this->stream.expires_after(limit);
    this->stream.async_connect(tcp::endpoint(address, options.port),
                               [self = this->shared_from_this()](beast::error_code failed) {
                                 failed ? self->Fail(failed) : self->Write();
                               });
  }

 private:
  void Write() {
    http::async_write(this->stream, this->request,
                      [self = this->shared_from_this()](beast::error_code failed, std::size_t) {
                        failed ? self->Fail(failed) : self->ReadAnswer();
                      });
  }

  void ReadAnswer() {
    http::async_read(this->stream, this->buffer, this->parser,
                     [self = this->shared_from_this()](beast::error_code failed, std::size_t) {
                       failed ? self->Fail(failed) : self->Finish();
                     });
  }

  void Finish() {
    const auto& answer = this->parser.get();
    PlatformValue value;
    const beast::string_view header = answer["X-Generation"];
    if (!absl::SimpleAtoi(absl::string_view(header.data(), header.size()), &value.generation)) {
      value.generation = 0;
    }
    if (answer.result() == http::status::not_modified) {
      value.changed = false;
      this->Deliver(std::move(value));
      return;
    }
    if (answer.result() == http::status::not_found) {
      this->Deliver(absl::NotFoundError("the platform has no such key"));
      return;
    }
    if (answer.result() != http::status::ok) {
      this->Deliver(absl::UnavailableError(
          absl::StrCat("the platform answered with status ", answer.result_int())));
      return;
    }
    value.text = answer.body();
    this->Deliver(std::move(value));
  }

  void Fail(beast::error_code error) {
    if (error == beast::error::timeout) {
      this->Deliver(absl::DeadlineExceededError("the platform did not answer in time"));
    } else {
      this->Deliver(absl::UnavailableError(absl::StrCat("platform call: ", error.message())));
    }
  }

  void Deliver(absl::StatusOr<PlatformValue> value) {
    boost::system::error_code ignored;
    this->stream.socket().close(ignored);
    auto deliver = std::move(this->handler);
    deliver(std::move(value));
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  http::response_parser<http::string_body> parser;
  PlatformHandler handler;
};

}  // namespace

PlatformClient::PlatformClient(asio::io_context& context, PlatformClientOptions options)
    : context(context), options(std::move(options)) {}

void PlatformClient::Read(const std::string& key, PlatformHandler handler) {
  this->Call(absl::StrCat("/v1/keys/", key), this->options.call_limit, std::move(handler));
}

void PlatformClient::Watch(const std::string& key,
                           std::uint64_t generation,
                           Duration wait,
                           PlatformHandler handler) {
  const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  this->Call(absl::StrCat("/v1/keys/", key, "?watch=", generation, "&wait_ms=", wait_ms),
             wait + this->options.watch_slack, std::move(handler));
}

void PlatformClient::Call(const std::string& target, Duration limit, PlatformHandler handler) {
  ++this->call_count;
  std::make_shared<PlatformCall>(this->context, this->options.body_limit, std::move(handler))
      ->Start(this->options, target, limit);
}

}  // namespace ibishold
