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
    : socket(std::move(socket)), timer(this->socket.get_executor()), options(std::move(options)) {}

void FrameLink::Start(FrameHandler frame_handler, CloseHandler close_handler) {
  this->on_frame = std::move(frame_handler);
  this->on_close = std::move(close_handler);
  this->heard_at = BootClock::now();
  boost::system::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->SendHello();
  this->ReadLength();
  this->ScheduleTick();
}

absl::Status FrameLink::Send(capnp::MessageBuilder& message) {
  if (this->is_closed) {
    return absl::UnavailableError("link is closed");
  }
  auto frame = message.getRoot<wire::Frame>();
  frame.setSenderIncarnation(this->options.incarnation);
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  if (this->queued_bytes + bytes.size() > this->options.queue_limit) {
    return absl::ResourceExhaustedError("link queue is full");
  }
  Outgoing item;
  item.correlation = frame.getCorrelation();
  const auto length = static_cast<std::uint32_t>(bytes.size());
  item.bytes.reserve(bytes.size() + 4);
  for (unsigned shift = 0; shift < 32; shift += 8) {
    item.bytes.push_back(static_cast<char>((length >> shift) & 0xffU));
  }
  item.bytes.append(bytes.asChars().begin(), bytes.size());
  this->queued_bytes += item.bytes.size();
  this->outgoing.push_back(std::move(item));
  this->WriteNext();
  return absl::OkStatus();
}

bool FrameLink::RemoveUnsent(std::uint64_t correlation) {
  // While a write is running, the first item's bytes may already be on their way.
  const std::size_t first = this->writing ? 1 : 0;
  for (std::size_t i = first; i < this->outgoing.size(); ++i) {
    if (this->outgoing[i].correlation != correlation) {
      continue;
    }
    this->queued_bytes -= this->outgoing[i].bytes.size();
    this->outgoing.erase(this->outgoing.begin() + static_cast<std::ptrdiff_t>(i));
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
  this->timer.cancel();
  auto self = this->shared_from_this();
  // The handler may drop the last reference to this link, so it runs after the current call
  // returns.
  asio::post(this->socket.get_executor(), [self, reason] {
    if (self->on_close) {
      self->on_close(*self, reason);
    }
    self->on_close = nullptr;
    self->on_frame = nullptr;
  });
}

void FrameLink::ReadLength() {
  asio::async_read(
      this->socket, asio::buffer(this->length_bytes),
      [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
        if (error) {
          self->Close(absl::UnavailableError(error.message()));
          return;
        }
        std::uint32_t length = 0;
        for (unsigned i = 0; i < 4; ++i) {
          length |= static_cast<std::uint32_t>(self->length_bytes[i]) << (8 * i);
        }
        if (length == 0 || length > self->options.frame_limit || length % 8 != 0) {
          self->Close(absl::InvalidArgumentError(absl::StrCat("frame length ", length)));
          return;
        }
        self->ReadBody(length);
      });
}

void FrameLink::ReadBody(std::uint32_t length) {
  this->body_words.resize(length / 8);
  asio::async_read(this->socket, asio::buffer(this->body_words.data(), length),
                   [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                     if (error) {
                       self->Close(absl::UnavailableError(error.message()));
                       return;
                     }
                     self->heard_at = BootClock::now();
                     try {
                       capnp::FlatArrayMessageReader reader(kj::arrayPtr(
                           reinterpret_cast<const capnp::word*>(self->body_words.data()),
                           self->body_words.size()));
                       self->Dispatch(reader.getRoot<wire::Frame>());
                     } catch (const kj::Exception& exception) {
                       self->Close(absl::InvalidArgumentError(exception.getDescription().cStr()));
                     }
                     if (!self->is_closed) {
                       self->ReadLength();
                     }
                   });
}

void FrameLink::Dispatch(wire::Frame::Reader frame) {
  const auto body = frame.getBody();
  switch (body.which()) {
    case wire::Frame::Body::PING:
      this->SendControl(true, frame.getCorrelation());
      return;
    case wire::Frame::Body::PONG:
      return;
    case wire::Frame::Body::HELLO: {
      const auto hello = body.getHello();
      this->remote_vm = VmId(std::string(hello.getVm().cStr()));
      this->remote_role = hello.getRole();
      this->remote_incarnation = frame.getSenderIncarnation();
      return;
    }
    default:
      if (this->on_frame) {
        this->on_frame(*this, frame);
      }
  }
}

void FrameLink::WriteNext() {
  if (this->writing || this->outgoing.empty() || this->is_closed) {
    return;
  }
  this->writing = true;
  asio::async_write(
      this->socket, asio::buffer(this->outgoing.front().bytes),
      [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
        self->writing = false;
        if (error) {
          self->Close(absl::UnavailableError(error.message()));
          return;
        }
        self->queued_bytes -= self->outgoing.front().bytes.size();
        self->outgoing.pop_front();
        self->WriteNext();
      });
}

void FrameLink::ScheduleTick() {
  this->timer.expires_after(this->options.ping_interval);
  this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
    if (error || self->is_closed) {
      return;
    }
    const Duration silence = BootClock::now() - self->heard_at;
    if (silence > self->options.silence_limit) {
      self->Close(absl::DeadlineExceededError("link is silent"));
      return;
    }
    // Traffic shows that the peer lives. At 1,100 VMs each one has some 2,200 links that carry ten
    // requests a second; pings on all of them would be 4,400 frames a second.
    if (silence >= self->options.ping_interval / 2) {
      self->SendControl(false, 0);
    }
    self->ScheduleTick();
  });
}

void FrameLink::SendControl(bool pong, std::uint64_t correlation) {
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(correlation);
  if (pong) {
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
