#include "control/document_fetch.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "ibishold/control.h"

namespace ibishold {

namespace asio = boost::asio;
using asio::ip::tcp;

DocumentFetch::DocumentFetch(asio::io_context& context, LinkOptions options, Handler handler)
    : options(std::move(options)), socket(context), timer(context), handler(std::move(handler)) {}

void DocumentFetch::Start(const std::string& address,
                          std::uint16_t port,
                          std::string document_key,
                          Duration limit) {
  this->key = std::move(document_key);
  auto self = this->shared_from_this();
  this->timer.expires_after(limit);
  this->timer.async_wait([self](boost::system::error_code error) {
    if (!error) {
      self->Finish(absl::DeadlineExceededError("the peer did not answer in time"));
    }
  });
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address, error);
  if (error) {
    asio::post(this->socket.get_executor(),
               [self] { self->Finish(absl::InvalidArgumentError("not an IP number")); });
    return;
  }
  this->socket.async_connect(tcp::endpoint(ip, port), [self](boost::system::error_code failed) {
    if (failed) {
      self->Finish(absl::UnavailableError(failed.message()));
      return;
    }
    self->Connected();
  });
}

void DocumentFetch::Connected() {
  if (!this->handler) {
    return;
  }
  this->link = std::make_shared<FrameLink>(std::move(this->socket), this->options);
  // Weak, because the link's handlers would otherwise keep this and the link alive in a circle. The
  // timer keeps this alive until Finish.
  const std::weak_ptr<DocumentFetch> weak = this->weak_from_this();
  this->link->Start(
      [weak](FrameLink&, wire::Frame::Reader frame) {
        const auto self = weak.lock();
        if (self && frame.getBody().isDocument()) {
          self->Finish(ReadDocument(frame.getBody().getDocument()));
        }
      },
      [weak](FrameLink&, const absl::Status& reason) {
        if (const auto self = weak.lock()) {
          self->Finish(reason);
        }
      });
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(this->link->AllocateCorrelation());
  frame.getBody().initGetDocument().setKey(this->key);
  const absl::Status sent = this->link->Send(message);
  if (!sent.ok()) {
    this->Finish(sent);
  }
}

void DocumentFetch::Finish(absl::StatusOr<std::optional<Document>> result) {
  if (!this->handler) {
    return;
  }
  this->timer.cancel();
  auto deliver = std::exchange(this->handler, nullptr);
  if (this->link) {
    this->link->Close(absl::CancelledError("the fetch has ended"));
  } else {
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }
  deliver(std::move(result));
}

}  // namespace ibishold
