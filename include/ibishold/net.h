#ifndef IBISHOLD_NET_H_
#define IBISHOLD_NET_H_

// Links: TCP connections between processes of the system that carry length-prefixed Cap'n Proto
// messages (frames). Also opens the listening sockets of all servers.
//
// Index of this header:
//   1. LinkOptions   identity of the local process, timeouts and size limits of a link
//   2. FrameLink     one connection, on the connecting or the accepting side
//   3. LinkServer    accepts links on one address
//   4. LinkPool      outgoing links by address, reconnected with backoff
//   5. OpenListener  binds and opens a listening socket

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
  VmId vm;                                                   // VM of the local process
  wire::Hello::Role role = wire::Hello::Role::FRONT;         // of the local process
  Incarnation incarnation = 0;                               // of the local process
  Duration ping_interval = std::chrono::milliseconds(500);   // between liveness checks; 500 ms
  Duration silence_limit = std::chrono::milliseconds(1500);  // without a frame, then closed; 1.5 s
  Duration connect_limit = std::chrono::milliseconds(1000);  // to establish a connection; 1 s
  Duration minimum_backoff = std::chrono::milliseconds(50);  // first reconnect delay; 50 ms
  Duration maximum_backoff = std::chrono::milliseconds(2000);  // longest reconnect delay; 2 s
  std::size_t frame_size_limit = 4U << 20U;       // bytes of a received frame, above: closed; 4 MB
  std::size_t send_queue_size_limit = 8U << 20U;  // bytes of all queued frames; 8 MB
};

// ---- 2. FrameLink -------------------------------------------------------------------------------

// One connection. All methods must be called on the io_context's thread, and the handlers run on
// it. The link handles ping, pong and hello frames itself and does not pass them to the handler.
class FrameLink : public std::enable_shared_from_this<FrameLink> {
 public:
  using FrameHandler = std::function<void(FrameLink&, wire::Frame::Reader)>;
  using CloseHandler = std::function<void(FrameLink&, const absl::Status&)>;

  FrameLink(boost::asio::ip::tcp::socket socket, LinkOptions options);

  // Sends the hello and starts reading and the periodic liveness check. Pending operations keep the
  // link alive until it is closed.
  void Start(FrameHandler on_frame, CloseHandler on_close);

  // Queues a frame whose correlation is already set. Errors: Unavailable (link closed),
  // ResourceExhausted (send_queue_size_limit reached). A frame that returns an error is never sent.
  absl::Status Send(capnp::MessageBuilder& message);

  // Removes a queued frame. Returns true only if none of its bytes was passed to the socket.
  bool RemoveUnsentFrame(std::uint64_t correlation);

  void Close(const absl::Status& reason);  // idempotent; runs the close handler once

  bool closed() const { return this->is_closed; }
  std::uint64_t AllocateCorrelation() { return ++this->last_correlation; }
  const VmId& peer_vm() const { return this->hello_vm; }  // empty before the peer's hello
  Incarnation peer_incarnation() const { return this->hello_incarnation; }
  wire::Hello::Role peer_role() const { return this->hello_role; }
  TimePoint last_received_at() const { return this->received_at; }

 private:
  struct QueuedFrame {
    std::uint64_t correlation = 0;
    std::string bytes;  // length prefix and serialized message
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

// Accepts links on one address. Close stops accepting and leaves accepted links open.
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

// Outgoing links by address. Get opens a missing link and reopens a closed one. The delay before a
// reconnect doubles per failure from minimum_backoff to maximum_backoff.
class LinkPool {
 public:
  LinkPool(boost::asio::io_context& context, LinkOptions options);

  void Start(FrameLink::FrameHandler on_frame, FrameLink::CloseHandler on_close);

  // Returns the open link to the address. Without one, returns null and starts to connect unless an
  // attempt is running or the backoff has not expired.
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

// Opens a closed acceptor on a numeric IP address and a port; port 0 selects a free port. Errors:
// Unavailable, with address, port and cause, if the address is invalid or cannot be bound.
absl::Status OpenListener(boost::asio::ip::tcp::acceptor& acceptor,
                          const std::string& address,
                          std::uint16_t port);

}  // namespace ibishold

#endif  // IBISHOLD_NET_H_
