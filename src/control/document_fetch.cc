#include "control/document_fetch.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "ibishold/control.h"

namespace ibishold {

namespace asio = boost::asio;
using asio::ip::tcp;

DocumentFetch::DocumentFetch(asio::io_context& context, LinkOptions link_options, Handler handler)
    : link_options(std::move(link_options)),
      socket(context),
      timeout_timer(context),
      handler(std::move(handler)) {}

void DocumentFetch::Start(const std::string& address,
                          std::uint16_t port,
                          std::string document_key,
                          Duration timeout) {
  this->requested_key = std::move(document_key);
  auto self = this->shared_from_this();
  this->timeout_timer.expires_after(timeout);
  this->timeout_timer.async_wait([self](boost::system::error_code error) {
    if (!error) {
      self->Finish(
          absl::DeadlineExceededError("the peer did not send the document before the timeout"));
    }
  });
  boost::system::error_code address_error;
  const auto ip_address = asio::ip::make_address(address, address_error);
  if (address_error) {
    asio::post(this->socket.get_executor(), [self] {
      self->Finish(absl::InvalidArgumentError("the peer's address is not an IP address"));
    });
    return;
  }
  this->socket.async_connect(tcp::endpoint(ip_address, port),
                             [self](boost::system::error_code connect_error) {
                               if (connect_error) {
                                 self->Finish(absl::UnavailableError(connect_error.message()));
                                 return;
                               }
                               self->OnConnected();
                             });
}

void DocumentFetch::OnConnected() {
  if (!this->handler) {
    return;
  }
  this->link = std::make_shared<FrameLink>(std::move(this->socket), this->link_options);
  // The link's handlers hold a weak pointer, because a shared one would form a cycle with `link`.
  // The handler of timeout_timer keeps this object alive until Finish.
  const std::weak_ptr<DocumentFetch> weak_self = this->weak_from_this();
  this->link->Start(
      [weak_self](FrameLink&, wire::Frame::Reader reply) {
        const auto self = weak_self.lock();
        if (self && reply.getBody().isDocument()) {
          self->Finish(ReadDocument(reply.getBody().getDocument()));
        }
      },
      [weak_self](FrameLink&, const absl::Status& reason) {
        if (const auto self = weak_self.lock()) {
          self->Finish(reason);
        }
      });
  capnp::MallocMessageBuilder message;
  auto request = message.initRoot<wire::Frame>();
  request.setCorrelation(this->link->AllocateCorrelation());
  request.getBody().initGetDocument().setKey(this->requested_key);
  const absl::Status send_status = this->link->Send(message);
  if (!send_status.ok()) {
    this->Finish(send_status);
  }
}

void DocumentFetch::Finish(absl::StatusOr<std::optional<Document>> result) {
  if (!this->handler) {
    return;
  }
  this->timeout_timer.cancel();
  auto pending_handler = std::exchange(this->handler, nullptr);
  if (this->link) {
    this->link->Close(absl::CancelledError("the document fetch has finished"));
  } else {
    boost::system::error_code ignored_error;
    this->socket.close(ignored_error);
  }
  pending_handler(std::move(result));
}

}  // namespace ibishold
