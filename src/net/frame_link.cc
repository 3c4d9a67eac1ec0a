#include <capnp/serialize.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/net.h"

namespace ibishold {

namespace asio = boost::asio;

FrameLink::FrameLink(asio::ip::tcp::socket socket, LinkOptions options)
    : socket(std::move(socket)),
      liveness_timer(this->socket.get_executor()),
      options(std::move(options)) {}

void FrameLink::Start(FrameHandler frame_handler, CloseHandler close_handler) {
  this->on_frame = std::move(frame_handler);
  this->on_close = std::move(close_handler);
  this->received_at = BootClock::now();
  boost::system::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->SendHello();
  this->ReadFrameLength();
  this->ScheduleLivenessCheck();
}

absl::Status FrameLink::Send(capnp::MessageBuilder& message) {
  if (this->is_closed) {
    return absl::UnavailableError("link is closed");
  }
  auto frame = message.getRoot<wire::Frame>();
  frame.setSenderIncarnation(this->options.incarnation);
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto message_bytes = words.asBytes();
  if (this->send_queue_bytes + message_bytes.size() > this->options.send_queue_size_limit) {
    return absl::ResourceExhaustedError("send queue of the link is full");
  }
  QueuedFrame queued_frame;
  queued_frame.correlation = frame.getCorrelation();
  const auto length = static_cast<std::uint32_t>(message_bytes.size());
  queued_frame.bytes.reserve(message_bytes.size() + 4);
  for (unsigned shift = 0; shift < 32; shift += 8) {
    queued_frame.bytes.push_back(static_cast<char>((length >> shift) & 0xffU));
  }
  queued_frame.bytes.append(message_bytes.asChars().begin(), message_bytes.size());
  this->send_queue_bytes += queued_frame.bytes.size();
  this->send_queue.push_back(std::move(queued_frame));
  this->WriteNextFrame();
  return absl::OkStatus();
}

bool FrameLink::RemoveUnsentFrame(std::uint64_t correlation) {
  // While a write is in progress, bytes of the first frame may already have been sent.
  const std::size_t first_removable = this->write_in_progress ? 1 : 0;
  for (std::size_t i = first_removable; i < this->send_queue.size(); ++i) {
    if (this->send_queue[i].correlation != correlation) {
      continue;
    }
    this->send_queue_bytes -= this->send_queue[i].bytes.size();
    this->send_queue.erase(this->send_queue.begin() + static_cast<std::ptrdiff_t>(i));
    return true;
  }
  return false;
}

void FrameLink::Close(const absl::Status& reason) {
  if (this->is_closed) {
    return;
  }
  this->is_closed = true;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  this->liveness_timer.cancel();
  auto self = this->shared_from_this();
  // Posted, because the handler may release the last other reference to the link while a member
  // function of the link is still running.
  asio::post(this->socket.get_executor(), [self, reason] {
    if (self->on_close) {
      self->on_close(*self, reason);
    }
    self->on_close = nullptr;
    self->on_frame = nullptr;
  });
}

void FrameLink::ReadFrameLength() {
  asio::async_read(
      this->socket, asio::buffer(this->length_prefix),
      [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
        if (error) {
          self->Close(absl::UnavailableError(error.message()));
          return;
        }
        std::uint32_t length = 0;
        for (unsigned i = 0; i < 4; ++i) {
          length |= static_cast<std::uint32_t>(self->length_prefix[i]) << (8 * i);
        }
        if (length == 0 || length > self->options.frame_size_limit || length % 8 != 0) {
          self->Close(absl::InvalidArgumentError(absl::StrCat("invalid frame length ", length)));
          return;
        }
        self->ReadFrameBody(length);
      });
}

void FrameLink::ReadFrameBody(std::uint32_t length) {
  this->body_words.resize(length / 8);
  asio::async_read(this->socket, asio::buffer(this->body_words.data(), length),
                   [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                     if (error) {
                       self->Close(absl::UnavailableError(error.message()));
                       return;
                     }
                     self->received_at = BootClock::now();
                     try {
                       capnp::FlatArrayMessageReader reader(kj::arrayPtr(
                           reinterpret_cast<const capnp::word*>(self->body_words.data()),
                           self->body_words.size()));
                       self->HandleFrame(reader.getRoot<wire::Frame>());
                     } catch (const kj::Exception& exception) {
                       self->Close(absl::InvalidArgumentError(exception.getDescription().cStr()));
                     }
                     if (!self->is_closed) {
                       self->ReadFrameLength();
                     }
                   });
}

void FrameLink::HandleFrame(wire::Frame::Reader frame) {
  const auto body = frame.getBody();
  switch (body.which()) {
    case wire::Frame::Body::PING:
      this->SendPingOrPong(true, frame.getCorrelation());
      return;
    case wire::Frame::Body::PONG:
      return;
    case wire::Frame::Body::HELLO: {
      const auto hello = body.getHello();
      this->hello_vm = VmId(std::string(hello.getVm().cStr()));
      this->hello_role = hello.getRole();
      this->hello_incarnation = frame.getSenderIncarnation();
      return;
    }
    default:
      if (this->on_frame) {
        this->on_frame(*this, frame);
      }
  }
}

void FrameLink::WriteNextFrame() {
  if (this->write_in_progress || this->send_queue.empty() || this->is_closed) {
    return;
  }
  this->write_in_progress = true;
  asio::async_write(
      this->socket, asio::buffer(this->send_queue.front().bytes),
      [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
        self->write_in_progress = false;
        if (error) {
          self->Close(absl::UnavailableError(error.message()));
          return;
        }
        self->send_queue_bytes -= self->send_queue.front().bytes.size();
        self->send_queue.pop_front();
        self->WriteNextFrame();
      });
}

void FrameLink::ScheduleLivenessCheck() {
  this->liveness_timer.expires_after(this->options.ping_interval);
  this->liveness_timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (error || self->is_closed) {
          return;
        }
        const Duration silence = BootClock::now() - self->received_at;
        if (silence > self->options.silence_limit) {
          self->Close(absl::DeadlineExceededError("no frame received within the silence limit"));
          return;
        }
        // A received frame proves that the peer is alive, so only quiet links are pinged. At 1,100
        // VMs, each VM has some 2,200 links that carry ten requests a second; pings on all links
        // would add 4,400 frames a second.
        if (silence >= self->options.ping_interval / 2) {
          self->SendPingOrPong(false, 0);
        }
        self->ScheduleLivenessCheck();
      });
}

void FrameLink::SendPingOrPong(bool is_pong, std::uint64_t correlation) {
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(correlation);
  if (is_pong) {
    frame.getBody().setPong();
  } else {
    frame.getBody().setPing();
  }
  this->Send(message).IgnoreError();
}

void FrameLink::SendHello() {
  capnp::MallocMessageBuilder message;
  auto hello = message.initRoot<wire::Frame>().getBody().initHello();
  hello.setVm(this->options.vm.value);
  hello.setRole(this->options.role);
  this->Send(message).IgnoreError();
}

}  // namespace ibishold
