#include <utility>

#include "ibishold/net.h"

namespace ibishold {

namespace asio = boost::asio;
using asio::ip::tcp;

LinkServer::LinkServer(asio::io_context& context, LinkOptions options)
    : context(context), acceptor(context), options(std::move(options)) {}

absl::Status LinkServer::Listen(const std::string& address,
                                std::uint16_t port,
                                FrameLink::FrameHandler frame_handler,
                                FrameLink::CloseHandler close_handler) {
  this->on_frame = std::move(frame_handler);
  this->on_close = std::move(close_handler);
  absl::Status listen_status = OpenListener(this->acceptor, address, port);
  if (!listen_status.ok()) {
    return listen_status;
  }
  this->Accept();
  return absl::OkStatus();
}

void LinkServer::Close() {
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
}

void LinkServer::Accept() {
  this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !this->acceptor.is_open()) {
      return;
    }
    if (!error) {
      std::make_shared<FrameLink>(std::move(socket), this->options)
          ->Start(this->on_frame, this->on_close);
    }
    this->Accept();
  });
}

}  // namespace ibishold
