#include "edge/caller_session.h"
#include "ibishold/net.h"

namespace ibishold {

namespace asio = boost::asio;

absl::Status CallerPort::Listen(const std::string& address, std::uint16_t listen_port) {
  absl::Status opened = OpenListener(this->acceptor, address, listen_port);
  if (opened.ok()) {
    this->Accept();
  }
  return opened;
}

void CallerPort::Accept() {
  this->acceptor.async_accept(
      [this](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || this->closing) {
          return;
        }
        if (!error) {
          this->StartSession(std::move(socket));
        }
        this->Accept();
      });
}

void CallerPort::StartSession(asio::ip::tcp::socket socket) {
  ++this->total.connections;
  const auto session = std::make_shared<Session>(std::move(socket), *this);
  this->sessions.insert(session);
  session->Start();
}

// Starts sessions for the connections in the kernel's accept queue, which would be reset when the
// acceptor is closed.
void CallerPort::AcceptPending() {
  if (!this->acceptor.is_open()) {
    return;
  }
  boost::system::error_code error;
  this->acceptor.cancel(error);
  this->acceptor.non_blocking(true, error);
  while (!error) {
    asio::ip::tcp::socket socket(this->context);
    this->acceptor.accept(socket, error);
    if (!error) {
      this->StartSession(std::move(socket));
    }
  }
}

}  // namespace ibishold
