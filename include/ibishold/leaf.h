#ifndef IBISHOLD_LEAF_H_
#define IBISHOLD_LEAF_H_

// HTTP/1.1 client for leaves.
//
// Index of this header:
//   1. LeafCall         one HTTP request to a leaf
//   2. LeafReply        response of a leaf, with the leaf's state from the headers
//   3. LeafConnection   HTTP connection with one call at a time
//   4. LeafTransport    concept of a connection, as the broker uses it

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- 1. LeafCall --------------------------------------------------------------------------------

enum class LeafCallKind : std::uint8_t {
  kSearch,   // POST .../search, safe to retry
  kExecute,  // POST .../execute, not safe to retry
  kCancel,   // DELETE .../requests/{id}
  kLoad,     // GET .../load, also used as a health check of a connection
};

struct LeafCall {
  LeafCallKind kind = LeafCallKind::kLoad;
  LeafId leaf;
  std::string id;                   // X-Request-Id, unique per attempt
  Duration time_left{};             // X-Deadline-Ms, rounded down to 1 ms; search and execute
  std::uint64_t index_version = 0;  // X-Index-Version; search and execute
  ServiceName service;              // search and execute
  ShardId shard;                    // search and execute
  std::shared_ptr<const std::string> body;  // query or operation (JSON); null: {}
};

// ---- 2. LeafReply -------------------------------------------------------------------------------

struct LeafReply {
  unsigned status = 0;                       // HTTP status
  std::string id;                            // X-Request-Id
  Incarnation incarnation = 0;               // X-Incarnation; 0 if absent
  Duration uptime{};                         // X-Uptime-Ms; 0 if absent
  std::uint64_t index_version = 0;           // X-Index-Version: index version that served the call
  std::vector<std::uint64_t> versions_held;  // X-Index-Versions: versions on the leaf
  std::uint64_t map_version = 0;             // X-Map-Version: partition map version
  bool draining = false;                     // X-Draining: the leaf accepts no new work
  Duration retry_after{};                    // Retry-After, at most 1 h; 0 if absent
  std::string body;                          // JSON
};

// Body of the reply to a search or execute.
struct LeafRecords {
  std::string records;    // array "records" as JSON text
  bool complete = false;  // whether the leaf reports the records as complete
};

// Errors: InvalidArgument (the body is not JSON or has no array "records").
absl::StatusOr<LeafRecords> ParseLeafRecords(std::string_view body);

// State of the cancelled request, from the reply to a cancel.
enum class LeafCancelState : std::uint8_t { kRemoved, kRunning, kFinished, kUnknown };

inline constexpr std::array<std::string_view, 4> kLeafCancelStateNames = {"removed", "running",
                                                                          "finished", "unknown"};

LeafCancelState ParseLeafCancelState(std::string_view body);  // kUnknown on a parse error

// ---- 3. LeafConnection --------------------------------------------------------------------------

struct LeafConnectionOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  std::size_t body_limit_bytes = 4U << 20U;  // body of one reply, 4 MB
  // Received but not parsed; bounds each line of a reply's chunk framing, 64 KB.
  std::size_t buffer_limit_bytes = 64U << 10U;
};

// HTTP connection to one leaf. Not thread-safe: call all functions on the thread of the io_context.
// Handlers run on that thread.
class LeafConnection : public std::enable_shared_from_this<LeafConnection> {
 public:
  using OpenHandler = std::function<void()>;
  using ReplyHandler = std::function<void(LeafReply)>;
  using CloseHandler = std::function<void(const absl::Status&)>;

  struct Handlers {
    OpenHandler on_open;
    ReplyHandler on_reply;  // reply to the last Send
    // Runs at most once, on any error, and not after Close. Internal: the leaf sent an invalid
    // reply; the call may have run. Unavailable: there was no connection or it was lost.
    CloseHandler on_close;
  };

  LeafConnection(boost::asio::io_context& context, LeafConnectionOptions options);

  void Open(const std::string& address, std::uint16_t port, Handlers handlers);

  // Sends a call. Must not be called before the reply to the previous call has arrived.
  void Send(const LeafCall& call);

  // Closes the connection. No handler runs afterwards.
  void Close();

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void ReadReply();
  void HandleHeaders();
  void ReadBody();
  void HandleReply();
  void Fail(const absl::Status& reason);

  boost::beast::tcp_stream stream;
  LeafConnectionOptions options;
  Handlers handlers;
  std::string host;
  boost::beast::flat_buffer buffer;
  std::optional<Request> request;
  std::optional<Parser> parser;
  int informational_replies = 0;  // to the call in progress
  bool reply_pending = false;
  bool write_pending = false;
  bool is_closed = false;
};

// ---- 4. LeafTransport ---------------------------------------------------------------------------

template <typename T>
concept LeafTransport = requires(T connection,
                                 const std::string& address,
                                 std::uint16_t port,
                                 typename T::Handlers handlers,
                                 const LeafCall& call) {
  connection.Open(address, port, handlers);
  connection.Send(call);
  connection.Close();
};

static_assert(LeafTransport<LeafConnection>);

}  // namespace ibishold

#endif  // IBISHOLD_LEAF_H_
