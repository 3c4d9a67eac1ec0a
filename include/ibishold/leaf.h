#ifndef IBISHOLD_LEAF_H_
#define IBISHOLD_LEAF_H_

// HTTP/1.1 towards leaves.
//
// Index of this header:
//   1. LeafCall         one HTTP request to a leaf
//   2. LeafReply        what came back, with the facts that every answer states
//   3. LeafConnection   one connection, one call at a time
//   4. LeafTransport    what the broker needs of a connection

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
  kSearch,   // POST .../search, repeatable
  kExecute,  // POST .../execute, not repeatable
  kCancel,   // DELETE .../requests/{id}
  kLoad,     // GET .../load, also used to verify a connection
};

struct LeafCall {
  LeafCallKind kind = LeafCallKind::kLoad;
  LeafId leaf;
  std::string id;                           // X-Request-Id, unique per attempt
  Duration time_left{};                     // X-Deadline-Ms, rounded down; searches and executes
  std::uint64_t index_version = 0;          // X-Index-Version; searches and executes
  ServiceName service;                      // searches and executes
  ShardId shard;                            // searches and executes
  std::shared_ptr<const std::string> body;  // JSON of the query or operation
};

// ---- 2. LeafReply -------------------------------------------------------------------------------

struct LeafReply {
  unsigned status = 0;                       // HTTP status
  std::string id;                            // X-Request-Id
  Incarnation incarnation = 0;               // X-Incarnation; 0: not stated
  Duration uptime{};                         // X-Uptime-Ms
  std::uint64_t index_version = 0;           // X-Index-Version: version that answered
  std::vector<std::uint64_t> versions_held;  // X-Index-Versions
  std::uint64_t map_version = 0;             // X-Map-Version
  bool draining = false;                     // X-Draining: takes no new work
  Duration retry_after{};                    // Retry-After, 0: none
  std::string body;                          // JSON
};

// Answer of a search or execute: the array "records" as JSON text and whether the leaf calls it
// complete. Errors: InvalidArgument.
struct LeafRecords {
  std::string records;
  bool complete = false;
};
absl::StatusOr<LeafRecords> ParseLeafRecords(std::string_view body);

// State named in the answer of a cancel.
enum class LeafCancelState : std::uint8_t { kRemoved, kRunning, kFinished, kUnknown };

inline constexpr std::array<std::string_view, 4> kLeafCancelStateNames = {"removed", "running",
                                                                          "finished", "unknown"};

LeafCancelState ParseLeafCancelState(std::string_view body);  // unknown if it cannot be read

// ---- 3. LeafConnection --------------------------------------------------------------------------

struct LeafConnectionOptions {
  Duration connect_timeout = std::chrono::seconds(1);  // 1 s
  std::size_t body_limit_bytes = 4U << 20U;            // bytes of one answer, 4 MB
};

// One connection. All calls must be made on the io_context's thread; handlers run there too.
class LeafConnection : public std::enable_shared_from_this<LeafConnection> {
 public:
  using OpenHandler = std::function<void()>;
  using ReplyHandler = std::function<void(LeafReply)>;
  using CloseHandler = std::function<void(const absl::Status&)>;

  struct Handlers {
    OpenHandler on_open;
    ReplyHandler on_reply;  // answer to the last Send
    CloseHandler on_close;  // runs once, also after a failed connect; not after Close
  };

  LeafConnection(boost::asio::io_context& context, LeafConnectionOptions options);

  void Open(const std::string& address, std::uint16_t port, Handlers handlers);

  // Hands the request to the connection. Must not be called while an answer is outstanding.
  void Send(const LeafCall& call);

  // Closes without a further call of a handler.
  void Close();

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void ReadReply();
  void HandleReply();
  void Fail(const absl::Status& reason);

  boost::beast::tcp_stream stream;
  LeafConnectionOptions options;
  Handlers handlers;
  std::string host;
  boost::beast::flat_buffer buffer;
  std::optional<Request> request;
  std::optional<Parser> parser;
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
