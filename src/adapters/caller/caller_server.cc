#include <utility>

#include "adapters/caller/session.h"
#include "ibishold/caller.h"
#include "ibishold/net.h"

namespace ibishold {

namespace asio = boost::asio;
using asio::ip::tcp;

CallerServer::CallerServer(asio::io_context& context, CallerServerOptions options)
    : context(context), acceptor(context), options(std::move(options)) {}

CallerServer::~CallerServer() {
  this->CloseConnections();
}

absl::Status CallerServer::Listen(const std::string& address,
                                  std::uint16_t port,
                                  RequestHandler request_handler,
                                  AbandonHandler abandon_handler) {
  this->on_request = std::move(request_handler);
  this->on_abandon = std::move(abandon_handler);
  absl::Status listen_status = OpenListener(this->acceptor, address, port);
  if (!listen_status.ok()) {
    return listen_status;
  }
  this->Accept();
  return absl::OkStatus();
}

void CallerServer::SendAnswer(const CallerAnswer& answer) {
  const auto found_session = this->waiting_sessions.find(answer.ticket);
  if (found_session == this->waiting_sessions.end()) {
    ++this->counter_values.late_answers;
    return;
  }
  found_session->second->SendAnswer(answer);
}

void CallerServer::AnnounceClose() {
  this->close_announced = true;
}

void CallerServer::StopAccepting() {
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
}

void CallerServer::CloseConnections() {
  for (const auto& session : std::exchange(this->sessions, {})) {
    session->Close();
  }
}

void CallerServer::Accept() {
  this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !this->acceptor.is_open()) {
      return;
    }
    if (error) {
      // Accepting may fail, for example because the process is out of file descriptors. The delay
      // keeps the retries from using a whole CPU core.
      auto retry_timer =
          std::make_shared<asio::steady_timer>(this->context, std::chrono::milliseconds(50));
      retry_timer->async_wait([this, retry_timer](boost::system::error_code) {
        if (this->acceptor.is_open()) {
          this->Accept();
        }
      });
      return;
    }
    if (this->sessions.size() >= 2 * this->options.connection_limit) {
      // Connections that are answered with 503 are bounded too: above twice the limit, the socket
      // is closed without an answer.
      this->Accept();
      return;
    }
    ++this->counter_values.accepted_connections;
    const bool over_limit = this->sessions.size() >= this->options.connection_limit;
    auto session = std::make_shared<Session>(std::move(socket), *this);
    this->sessions.insert(session);
    if (over_limit) {
      session->RejectConnection();
    } else {
      session->Start();
    }
    this->Accept();
  });
}

}  // namespace ibishold
