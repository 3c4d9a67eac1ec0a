#ifndef TESTS_FRONT_CALLER_HTTP_H_
#define TESTS_FRONT_CALLER_HTTP_H_

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <string>

namespace ibishold::testing {

struct HttpAnswer {
  int status = 0;  // 0: connection closed without an answer
  std::string body;
  std::map<std::string, std::string> headers;
  bool keep_alive = false;
};

// HTTP client with one connection; all calls block, at most 10 s in total.
class BlockingHttpClient {
 public:
  BlockingHttpClient(const std::string& address, std::uint16_t port) : stream(this->context) {
    this->stream.expires_after(std::chrono::seconds(10));
    this->stream.connect({boost::asio::ip::make_address(address), port});
  }

  HttpAnswer Post(const std::string& target,
                  const std::string& body,
                  const std::map<std::string, std::string>& headers) {
    namespace http = boost::beast::http;
    http::request<http::string_body> request(http::verb::post, target, 11);
    request.set(http::field::host, "front");
    for (const auto& [name, value] : headers) {
      request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    boost::system::error_code error;
    http::write(this->stream, request, error);
    return this->ReadAnswer();
  }

  void SendBytes(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(this->stream.socket(), boost::asio::buffer(bytes), ignored);
  }

  HttpAnswer ReadAnswer() {
    namespace http = boost::beast::http;
    http::response<http::string_body> response;
    boost::system::error_code error;
    http::read(this->stream, this->buffer, response, error);
    HttpAnswer answer;
    if (error) {
      return answer;
    }
    answer.status = static_cast<int>(response.result_int());
    answer.body = response.body();
    answer.keep_alive = response.keep_alive();
    for (const auto& field : response) {
      answer.headers[std::string(field.name_string())] = std::string(field.value());
    }
    return answer;
  }

  boost::asio::ip::tcp::socket& socket() { return this->stream.socket(); }

 private:
  boost::asio::io_context context;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
};

}  // namespace ibishold::testing

#endif  // TESTS_FRONT_CALLER_HTTP_H_
