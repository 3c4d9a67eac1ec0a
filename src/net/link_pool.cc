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
  const std::string key = absl::StrCat(address, ":", port);
  Entry& entry = this->entries[key];
  if (entry.link && !entry.link->closed()) {
    return entry.link;
  }
  entry.link.reset();
  if (entry.connecting || BootClock::now() < entry.retry_at) {
    return nullptr;
  }
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address, error);
  if (error) {
    return nullptr;
  }
  entry.connecting = true;
  this->Connect(key, tcp::endpoint(ip, port));
  return nullptr;
}

void LinkPool::CloseAll(const absl::Status& reason) {
  for (auto& [key, entry] : this->entries) {
    if (entry.link) {
      entry.link->Close(reason);
    }
  }
  this->entries.clear();
}

void LinkPool::Connect(const std::string& key, const tcp::endpoint& endpoint) {
  auto socket = std::make_shared<tcp::socket>(this->context);
  auto timer = std::make_shared<asio::steady_timer>(this->context, this->options.connect_limit);
  timer->async_wait([socket](boost::system::error_code error) {
    if (!error) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
  socket->async_connect(endpoint, [this, key, socket, timer](boost::system::error_code error) {
    timer->cancel();
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
      return;
    }
    Entry& entry = found->second;
    entry.connecting = false;
    if (error || !socket->is_open()) {
      this->Failed(key);
      return;
    }
    entry.backoff = Duration{};
    entry.link = std::make_shared<FrameLink>(std::move(*socket), this->options);
    entry.link->Start(this->on_frame, [this, key](FrameLink& link, const absl::Status& reason) {
      if (this->on_close) {
        this->on_close(link, reason);
      }
      this->Failed(key);
    });
  });
}

void LinkPool::Failed(const std::string& key) {
  const auto found = this->entries.find(key);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.backoff =
      std::clamp(entry.backoff * 2, this->options.minimum_backoff, this->options.maximum_backoff);
  entry.retry_at = BootClock::now() + entry.backoff;
}

}  // namespace ibishold
