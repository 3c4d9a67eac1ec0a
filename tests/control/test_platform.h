#ifndef TESTS_CONTROL_TEST_PLATFORM_H_
#define TESTS_CONTROL_TEST_PLATFORM_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "absl/strings/numbers.h"

namespace ibishold {

// HTTP server that implements the platform's protocol on one thread. A watch polls its value every
// 10 ms.
class TestPlatform {
 public:
  TestPlatform(const std::string& address, std::uint16_t port)
      : acceptor(context, {boost::asio::ip::make_address(address), port}) {
    this->Accept();
    this->thread = std::thread([this] { this->context.run(); });
  }
  ~TestPlatform() {
    this->context.stop();
    this->thread.join();
  }

  void Set(const std::string& key, std::uint64_t generation, std::string text) {
    const std::lock_guard lock(this->values_mutex);
    this->values[key] = {generation, std::move(text)};
  }

  std::atomic<bool> down{false};            // closes connections without a response
  std::atomic<bool> watches_silent{false};  // never answers a watch with a wait time
  std::atomic<std::uint64_t> request_count{0};

 private:
  struct HttpExchange : std::enable_shared_from_this<HttpExchange> {
    HttpExchange(boost::asio::ip::tcp::socket socket, TestPlatform& platform)
        : stream(std::move(socket)), poll_timer(stream.get_executor()), platform(platform) {}

    void Start() {
      boost::beast::http::async_read(
          this->stream, this->buffer, this->request,
          [self = this->shared_from_this()](boost::beast::error_code error, std::size_t) {
            if (!error && !self->platform.down) {
              ++self->platform.request_count;
              self->ParseRequest();
            }
          });
    }

    void ParseRequest() {
      const std::string target(this->request.target());
      const std::size_t query_start = target.find('?');
      this->requested_key =
          target.substr(9, query_start == std::string::npos ? query_start : query_start - 9);
      std::int64_t wait_ms = 0;
      if (query_start != std::string::npos) {
        const std::size_t watch_start = target.find("watch=") + 6;
        const std::size_t wait_start = target.find("wait_ms=") + 8;
        this->is_watch = absl::SimpleAtoi(
            target.substr(watch_start, target.find('&') - watch_start), &this->known_generation);
        this->is_watch = absl::SimpleAtoi(target.substr(wait_start), &wait_ms) && this->is_watch;
      }
      this->wait_deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
      this->may_wait = wait_ms > 0;
      this->AnswerOrWait();
    }

    void AnswerOrWait() {
      const std::lock_guard lock(this->platform.values_mutex);
      const auto value = this->platform.values.find(this->requested_key);
      if (value == this->platform.values.end()) {
        this->SendResponse(boost::beast::http::status::not_found, 0, "");
        return;
      }
      if (!this->is_watch || value->second.first > this->known_generation) {
        if (!(this->may_wait && this->platform.watches_silent)) {
          this->SendResponse(boost::beast::http::status::ok, value->second.first,
                             value->second.second);
        }
        return;
      }
      if (std::chrono::steady_clock::now() >= this->wait_deadline &&
          !this->platform.watches_silent) {
        this->SendResponse(boost::beast::http::status::not_modified, value->second.first, "");
        return;
      }
      this->poll_timer.expires_after(std::chrono::milliseconds(10));
      this->poll_timer.async_wait(
          [self = this->shared_from_this()](boost::system::error_code error) {
            if (!error && !self->platform.down) {
              self->AnswerOrWait();
            }
          });
    }

    void SendResponse(boost::beast::http::status status,
                      std::uint64_t value_generation,
                      const std::string& body) {
      this->response.result(status);
      this->response.version(11);
      this->response.set("X-Generation", std::to_string(value_generation));
      this->response.body() = body;
      this->response.prepare_payload();
      boost::beast::http::async_write(
          this->stream, this->response,
          [self = this->shared_from_this()](boost::beast::error_code, std::size_t) {});
    }

    boost::beast::tcp_stream stream;
    boost::asio::steady_timer poll_timer;
    TestPlatform& platform;
    boost::beast::flat_buffer buffer;
    boost::beast::http::request<boost::beast::http::empty_body> request;
    boost::beast::http::response<boost::beast::http::string_body> response;
    std::string requested_key;
    std::uint64_t known_generation = 0;
    bool is_watch = false;
    bool may_wait = false;
    std::chrono::steady_clock::time_point wait_deadline;
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
          if (!error) {
            std::make_shared<HttpExchange>(std::move(socket), *this)->Start();
          }
          this->Accept();
        });
  }

  boost::asio::io_context context{1};
  boost::asio::ip::tcp::acceptor acceptor;
  std::mutex values_mutex;  // protects values
  std::map<std::string, std::pair<std::uint64_t, std::string>> values;
  std::thread thread;
};

}  // namespace ibishold

#endif  // TESTS_CONTROL_TEST_PLATFORM_H_
