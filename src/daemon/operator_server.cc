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

constexpr std::size_t kRequestLimit = 8192;  // bytes; operators' requests have no body
constexpr std::chrono::seconds kSessionLimit{5};

}  // namespace

class OperatorServer::Session : public std::enable_shared_from_this<OperatorServer::Session> {
 public:
  Session(tcp::socket socket, const OperatorServer& server)
      : stream(std::move(socket)), server(server) {}

  void Read() {
    this->parser.emplace();
    this->parser->header_limit(kRequestLimit);
    this->parser->body_limit(kRequestLimit);
    this->stream.expires_after(kSessionLimit);
    http::async_read(this->stream, this->buffer, *this->parser,
                     [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                       if (!error) {
                         self->Write();
                       }
                     });
  }

 private:
  void Write() {
    const auto& request = this->parser->get();
    const OperatorReply reply =
        this->server.Reply(std::string(request.method_string()), std::string(request.target()));
    this->response = {};
    this->response.version(request.version());
    this->response.result(static_cast<unsigned>(reply.status));
    this->response.set(http::field::content_type, reply.content_type);
    this->response.keep_alive(request.keep_alive());
    this->response.body() = reply.body;
    this->response.prepare_payload();
    this->stream.expires_after(kSessionLimit);
    http::async_write(this->stream, this->response,
                      [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                        if (!error && self->response.keep_alive()) {
                          self->Read();
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

void OperatorServer::Handle(const std::string& path, Handler handler) {
  this->handlers[path] = std::move(handler);
}

absl::Status OperatorServer::Start(const std::string& address, std::uint16_t port) {
  absl::Status opened = OpenListener(this->acceptor, address, port);
  if (!opened.ok()) {
    return opened;
  }
  this->Accept();
  this->thread = std::thread([this] { this->context.run(); });
  return absl::OkStatus();
}

void OperatorServer::Stop() {
  this->context.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void OperatorServer::Accept() {
  this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      std::make_shared<Session>(std::move(socket), *this)->Read();
    }
    this->Accept();
  });
}

OperatorReply OperatorServer::Reply(const std::string& method, const std::string& target) const {
  if (method != "GET") {
    return {.status = 405, .body = R"({"error":"method_not_allowed"})"};
  }
  const auto found = this->handlers.find(target.substr(0, target.find('?')));
  if (found == this->handlers.end()) {
    return {.status = 404, .body = R"({"error":"not_found"})"};
  }
  return found->second();
}

}  // namespace ibishold
