#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "ibishold/daemon.h"
#include "ibishold/net.h"

namespace ibishold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t kRequestLimitBytes = 8192;     // operators' requests have no body
constexpr std::chrono::seconds kExchangeTimeout{5};  // for reading a request or writing a reply

}  // namespace

class OperatorServer::Session : public std::enable_shared_from_this<OperatorServer::Session> {
 public:
  Session(tcp::socket socket, const OperatorServer& server)
      : stream(std::move(socket)), server(server) {}

  void ReadRequest() {
    this->parser.emplace();
    this->parser->header_limit(kRequestLimitBytes);
    this->parser->body_limit(kRequestLimitBytes);
    this->stream.expires_after(kExchangeTimeout);
    http::async_read(this->stream, this->buffer, *this->parser,
                     [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                       if (!error) {
                         self->WriteResponse();
                       }
                     });
  }

 private:
  void WriteResponse() {
    const auto& request = this->parser->get();
    const OperatorReply reply = this->server.HandleRequest(std::string(request.method_string()),
                                                           std::string(request.target()));
    this->response = {};
    this->response.version(request.version());
    this->response.result(static_cast<unsigned>(reply.status));
    this->response.set(http::field::content_type, reply.content_type);
    this->response.keep_alive(request.keep_alive());
    this->response.body() = reply.body;
    this->response.prepare_payload();
    this->stream.expires_after(kExchangeTimeout);
    http::async_write(this->stream, this->response,
                      [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                        if (!error && self->response.keep_alive()) {
                          self->ReadRequest();
                        }
                      });
  }

  beast::tcp_stream stream;
  const OperatorServer& server;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
};

OperatorServer::~OperatorServer() {
  this->Stop();
}

void OperatorServer::AddHandler(const std::string& path, Handler handler) {
  this->handlers[path] = std::move(handler);
}

absl::Status OperatorServer::Start(const std::string& address, std::uint16_t port) {
  absl::Status status = OpenListener(this->acceptor, address, port);
  if (!status.ok()) {
    return status;
  }
  this->AcceptNext();
  this->thread = std::thread([this] { this->context.run(); });
  return absl::OkStatus();
}

void OperatorServer::Stop() {
  this->context.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void OperatorServer::AcceptNext() {
  this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      std::make_shared<Session>(std::move(socket), *this)->ReadRequest();
    }
    this->AcceptNext();
  });
}

OperatorReply OperatorServer::HandleRequest(const std::string& method,
                                            const std::string& target) const {
  if (method != "GET") {
    return {.status = 405, .body = R"({"error":"method_not_allowed"})"};
  }
  const auto handler = this->handlers.find(target.substr(0, target.find('?')));
  if (handler == this->handlers.end()) {
    return {.status = 404, .body = R"({"error":"not_found"})"};
  }
  return handler->second();
}

}  // namespace ibishold
