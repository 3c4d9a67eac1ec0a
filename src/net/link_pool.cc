#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/net.h"

namespace ibishold {

namespace asio = boost::asio;
using asio::ip::tcp;

LinkPool::LinkPool(asio::io_context& context, LinkOptions options)
    : context(context), options(std::move(options)) {}

void LinkPool::Start(FrameLink::FrameHandler frame_handler, FrameLink::CloseHandler close_handler) {
  this->on_frame = std::move(frame_handler);
  this->on_close = std::move(close_handler);
}

FrameLinkPtr LinkPool::Get(const std::string& address, std::uint16_t port) {
  const std::string address_and_port = absl::StrCat(address, ":", port);
  PooledLink& pooled_link = this->links_by_address[address_and_port];
  if (pooled_link.link && !pooled_link.link->closed()) {
    return pooled_link.link;
  }
  pooled_link.link.reset();
  if (pooled_link.connecting || BootClock::now() < pooled_link.retry_at) {
    return nullptr;
  }
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address, error);
  if (error) {
    return nullptr;
  }
  pooled_link.connecting = true;
  this->Connect(address_and_port, tcp::endpoint(ip, port));
  return nullptr;
}

void LinkPool::CloseAll(const absl::Status& reason) {
  for (auto& [address_and_port, pooled_link] : this->links_by_address) {
    if (pooled_link.link) {
      pooled_link.link->Close(reason);
    }
  }
  this->links_by_address.clear();
}

void LinkPool::Connect(const std::string& address_and_port, const tcp::endpoint& endpoint) {
  auto socket = std::make_shared<tcp::socket>(this->context);
  auto connect_timer =
      std::make_shared<asio::steady_timer>(this->context, this->options.connect_limit);
  connect_timer->async_wait([socket](boost::system::error_code error) {
    if (!error) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
  socket->async_connect(
      endpoint, [this, address_and_port, socket, connect_timer](boost::system::error_code error) {
        connect_timer->cancel();
        const auto found_link = this->links_by_address.find(address_and_port);
        if (found_link == this->links_by_address.end()) {
          return;
        }
        PooledLink& pooled_link = found_link->second;
        pooled_link.connecting = false;
        if (error || !socket->is_open()) {
          this->ScheduleRetry(address_and_port);
          return;
        }
        pooled_link.backoff = Duration{};
        pooled_link.link = std::make_shared<FrameLink>(std::move(*socket), this->options);
        pooled_link.link->Start(
            this->on_frame, [this, address_and_port](FrameLink& link, const absl::Status& reason) {
              if (this->on_close) {
                this->on_close(link, reason);
              }
              this->ScheduleRetry(address_and_port);
            });
      });
}

void LinkPool::ScheduleRetry(const std::string& address_and_port) {
  const auto found_link = this->links_by_address.find(address_and_port);
  if (found_link == this->links_by_address.end()) {
    return;
  }
  PooledLink& pooled_link = found_link->second;
  pooled_link.backoff = std::clamp(pooled_link.backoff * 2, this->options.minimum_backoff,
                                   this->options.maximum_backoff);
  pooled_link.retry_at = BootClock::now() + pooled_link.backoff;
}

}  // namespace ibishold
