#ifndef IBISHOLD_NET_H_
#define IBISHOLD_NET_H_

// Links between the system's own processes: Cap'n Proto messages framed on TCP; listening sockets.
//
// Index of this header:
//   1. LinkOptions   limits of a link
//   2. FrameLink     one connection, either side
//   3. LinkServer    accepts links
//   4. LinkPool      links to other processes by address, opened on demand and reopened with
//   backoff
//   5. OpenListener  opens the listening socket of any server of a daemon

#include <capnp/message.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "absl/status/status.h"
#include "ibishold/core.h"
#include "schema/ibishold.capnp.h"

namespace ibishold {

// ---- 1. LinkOptions -----------------------------------------------------------------------------

struct LinkOptions {
  VmId vm;                                                     // this process's VM
  wire::Hello::Role role = wire::Hello::Role::FRONT;           // of this process
  Incarnation incarnation = 0;                                 // of this process
  Duration ping_interval = std::chrono::milliseconds(500);     // 500 ms
  Duration silence_limit = std::chrono::milliseconds(1500);    // 1.5 s without any byte: closed
  Duration connect_limit = std::chrono::milliseconds(1000);    // 1 s to connect
  Duration minimum_backoff = std::chrono::milliseconds(50);    // 50 ms, doubles per failure
  Duration maximum_backoff = std::chrono::milliseconds(2000);  // 2 s
  std::size_t frame_size_limit = 4U << 20U;                    // bytes, 4 MB; larger: closed
  std::size_t send_queue_size_limit = 8U << 20U;               // bytes waiting to be written, 8 MB
};

// ---- 2. FrameLink -------------------------------------------------------------------------------

// One connection. All calls must be made on the io_context's thread; handlers run there too.
// Pings, pongs and hellos are answered by the link itself and not shown to the handler.
class FrameLink : public std::enable_shared_from_this<FrameLink> {
 public:
  using FrameHandler = std::function<void(FrameLink&, wire::Frame::Reader)>;
  using CloseHandler = std::function<void(FrameLink&, const absl::Status&)>;

  FrameLink(boost::asio::ip::tcp::socket socket, LinkOptions options);

  // Begins reading, sends the hello and keeps the link alive until it closes.
  void Start(FrameHandler on_frame, CloseHandler on_close);

  // Queues a frame; its correlation must be set. Errors: Unavailable (closed), ResourceExhausted
  // (queue_limit reached). After an error the frame was not sent and will not be.
  absl::Status Send(capnp::MessageBuilder& message);

  // Removes a queued frame. True only if none of its bytes was handed to the socket.
  bool RemoveUnsentFrame(std::uint64_t correlation);

  void Close(const absl::Status& reason);  // idempotent; the close handler runs once

  bool closed() const { return this->is_closed; }
  std::uint64_t AllocateCorrelation() { return ++this->last_correlation; }
  const VmId& peer_vm() const { return this->hello_vm; }  // empty until the hello arrived
  Incarnation peer_incarnation() const { return this->hello_incarnation; }
  wire::Hello::Role peer_role() const { return this->hello_role; }
  TimePoint last_received_at() const { return this->received_at; }

 private:
  struct QueuedFrame {
    std::uint64_t correlation = 0;
    std::string bytes;  // length prefix and message
  };

  void ReadFrameLength();
  void ReadFrameBody(std::uint32_t length);
  void HandleFrame(wire::Frame::Reader frame);
  void WriteNextFrame();
  void ScheduleLivenessCheck();
  void SendPingOrPong(bool is_pong, std::uint64_t correlation);
  void SendHello();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer liveness_timer;
  LinkOptions options;
  FrameHandler on_frame;
  CloseHandler on_close;
  std::array<unsigned char, 4> length_prefix{};
  std::vector<std::uint64_t> body_words;
  std::deque<QueuedFrame> send_queue;
  std::size_t send_queue_bytes = 0;
  bool write_in_progress = false;
  bool is_closed = false;
  std::uint64_t last_correlation = 0;
  VmId hello_vm;
  Incarnation hello_incarnation = 0;
  wire::Hello::Role hello_role = wire::Hello::Role::FRONT;
  TimePoint received_at{};
};

using FrameLinkPtr = std::shared_ptr<FrameLink>;

// ---- 3. LinkServer ------------------------------------------------------------------------------

// Accepts links on one address. Close stops accepting; open links stay.
class LinkServer {
 public:
  LinkServer(boost::asio::io_context& context, LinkOptions options);

  // Errors: Unavailable if the address cannot be bound.
  absl::Status Listen(const std::string& address,
                      std::uint16_t port,
                      FrameLink::FrameHandler on_frame,
                      FrameLink::CloseHandler on_close);
  void Close();

 private:
  void Accept();

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  LinkOptions options;
  FrameLink::FrameHandler on_frame;
  FrameLink::CloseHandler on_close;
};

// ---- 4. LinkPool --------------------------------------------------------------------------------

// Outgoing links by address. A link is opened at the first Get and again after it closed, with a
// backoff that doubles from minimum_backoff to maximum_backoff.
class LinkPool {
 public:
  LinkPool(boost::asio::io_context& context, LinkOptions options);

  void Start(FrameLink::FrameHandler on_frame, FrameLink::CloseHandler on_close);

  // The open link to this address, or null while none is open; then opening has begun or waits.
  FrameLinkPtr Get(const std::string& address, std::uint16_t port);

  void CloseAll(const absl::Status& reason);

 private:
  struct PooledLink {
    FrameLinkPtr link;
    bool connecting = false;
    Duration backoff{};
    TimePoint retry_at{};
  };

  void Connect(const std::string& address_and_port, const boost::asio::ip::tcp::endpoint& endpoint);
  void ScheduleRetry(const std::string& address_and_port);

  boost::asio::io_context& context;
  LinkOptions options;
  FrameLink::FrameHandler on_frame;
  FrameLink::CloseHandler on_close;
  std::unordered_map<std::string, PooledLink> links_by_address;
};

// ---- 5. OpenListener ----------------------------------------------------------------------------

// Binds the closed acceptor to a numeric IP address and port and listens. Port 0: a free port.
// Errors: Unavailable with address, port and cause, if it is no address or cannot be bound.
absl::Status OpenListener(boost::asio::ip::tcp::acceptor& acceptor,
                          const std::string& address,
                          std::uint16_t port);

}  // namespace ibishold

#endif  // IBISHOLD_NET_H_
