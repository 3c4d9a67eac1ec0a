#ifndef IBISHOLD_EDGE_H_
#define IBISHOLD_EDGE_H_

// HTTP/1.1 transport to callers and leaves on an event loop, and the structured event log. This
// layer makes no decisions about requests. Every object may be used only on the thread that runs
// its io_context.
//
// Index of this header:
//   1. HttpRequest, HttpReply   HTTP messages
//   2. InputMemoryLimiter       limits the memory of messages that are being received
//   3. ClientConnection         one connection to a server
//   4. ConnectionPool           connections to leaves, kept open between requests
//   5. CallerPort               accepts callers' connections
//   6. EventLog                 non-blocking structured log on standard output

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "absl/status/status.h"
#include "ibishold/call.h"
#include "ibishold/core.h"
#include "ibishold/routing.h"

namespace ibishold {

// ---- 1. HttpRequest, HttpReply ------------------------------------------------------------------

struct HttpRequest {
  std::string method;
  std::string target;  // path and query
  std::string host;
  std::vector<HeaderField> headers;  // without Host and hop-by-hop headers
  std::string body;

  std::string_view path() const {
    return std::string_view(this->target).substr(0, this->target.find('?'));
  }
  std::string_view header(std::string_view name) const;  // empty if absent
};

struct HttpReply {
  int status = 0;
  std::vector<HeaderField> headers;  // without hop-by-hop headers
  std::string body;
  bool keep_alive = true;
  std::optional<Duration> keep_alive_time;  // idle time after which the server closes

  std::string_view header(std::string_view name) const;  // empty if absent
};

// Returns the value of the first header with this name (case-insensitive); empty if absent.
std::string_view FindHeader(const std::vector<HeaderField>& headers, std::string_view name);

// ---- 2. InputMemoryLimiter ----------------------------------------------------------------------

template <typename Connection>
concept CanAbortReceive = requires(Connection& connection) {
  connection.AbortReceive();  // aborts the message that is being received
};

// Limits the memory of the messages that one process is receiving. When the total exceeds the
// limit, the largest incomplete message is aborted, so that a peer that sends without end does not
// cause the messages of other peers to be lost.
template <typename Connection>
class InputMemoryLimiter {
 public:
  explicit InputMemoryLimiter(std::size_t limit) : limit(limit) {}  // bytes

  // Records that the connection now uses `bytes` in all. May abort messages, including the one of
  // this connection.
  void SetUsage(const std::shared_ptr<Connection>& connection, std::size_t bytes) {
    // Checked here and not at the class, because Connection may be incomplete there.
    static_assert(CanAbortReceive<Connection>);
    Usage& usage = this->usages[connection.get()];
    usage.connection = connection;
    this->total += bytes - usage.bytes;
    usage.bytes = bytes;
    while (this->total > this->limit) {
      const auto largest = std::max_element(
          this->usages.begin(), this->usages.end(), [](const auto& a, const auto& b) {
            return a.second.evictable_bytes() < b.second.evictable_bytes();
          });
      if (largest->second.evictable_bytes() == 0) {
        return;  // only complete messages are left
      }
      const std::shared_ptr<Connection> aborted = largest->second.connection.lock();
      this->Remove(largest->first);
      if (aborted) {
        aborted->AbortReceive();
      }
      if (this->usages.empty()) {
        return;
      }
    }
  }
  // Marks the message as fully received: it still counts, but is no longer aborted.
  void MarkComplete(const Connection* connection) {
    if (const auto found = this->usages.find(connection); found != this->usages.end()) {
      found->second.complete = true;
    }
  }
  void Remove(const Connection* connection) {
    if (const auto found = this->usages.find(connection); found != this->usages.end()) {
      this->total -= found->second.bytes;
      this->usages.erase(found);
    }
  }
  std::size_t used_bytes() const { return this->total; }

 private:
  struct Usage {
    std::weak_ptr<Connection> connection;
    std::size_t bytes = 0;
    bool complete = false;

    std::size_t evictable_bytes() const { return this->complete ? 0 : this->bytes; }
  };

  std::size_t limit;
  std::size_t total = 0;
  std::unordered_map<const Connection*, Usage> usages;
};

// ---- 3. ClientConnection ------------------------------------------------------------------------

// Whether a reply belongs to the request in progress, by the request ID that it carries.
enum class ReplyMatch : std::uint8_t {
  kMatches,       // the ID of the request in progress
  kOtherRequest,  // the ID of another request
  kNoRequestId,
};

class ClientConnection;
using ReplyMemoryLimiter = InputMemoryLimiter<ClientConnection>;

struct ClientConnectionOptions {
  std::uint64_t body_limit = 8U << 20U;  // bytes of one reply's body, 8 MB
  // Bytes of one reply's status line and headers, and of each line of its chunk framing, 32 KB.
  std::uint32_t header_limit = 32U << 10U;
  // Bytes that may be received for one request beyond the body limit, for headers, chunk framing,
  // informational replies and replies to other requests, 256 KB. The chunk framing of a reply may
  // exceed its body by as much.
  std::uint64_t overhead_limit = 256U << 10U;
  std::shared_ptr<ReplyMemoryLimiter> memory;        // null: only the limits per reply apply
  Duration silence_limit = std::chrono::seconds(3);  // time without an acknowledgement
  // Timeout for connecting. The kernel retransmits a lost SYN only after 1 s, 2 s, 4 s and so on,
  // so a new connection attempt detects a restored network path sooner.
  Duration connect_limit = std::chrono::milliseconds(600);
};

// How a connection ended.
enum class ConnectionEnd : std::uint8_t {
  kNotConnected,   // the connection was never established
  kClosed,         // the peer closed it while no request was in progress
  kBroken,         // it failed while a request was in progress
  kProtocolError,  // the peer sent an invalid reply or bytes that no request asked for
};

// An HTTP/1.1 client connection that carries one request at a time. A server may send a late
// duplicate reply to an earlier request when the reply to the next one is expected, so a reply with
// the ID of another request is dropped. A reply without an ID is accepted only for the first
// request, after which the connection is closed; on later requests it could be such a duplicate.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  struct Handlers {
    std::function<void()> on_open;
    std::function<void(HttpReply)> on_reply;    // if still open, the connection is idle again
    std::function<void(ConnectionEnd)> on_end;  // runs once, and never after Close
    std::function<ReplyMatch(const HttpReply&)> match_reply;  // may be empty: all replies match
  };

  ClientConnection(boost::asio::io_context& context, ClientConnectionOptions options);

  void Open(const boost::asio::ip::tcp::endpoint& endpoint, Handlers handlers);
  void Send(const HttpRequest& request);  // only while idle
  void Close();                           // no handler runs afterwards
  void AbortReceive() { this->End(ConnectionEnd::kProtocolError); }

  bool idle() const { return this->open && !this->busy; }
  bool is_open() const { return this->open; }
  TimePoint last_used() const { return this->last_used_at; }
  // Time at which the server may close the idle connection; nullopt if it has not announced one.
  std::optional<TimePoint> closes_at() const { return this->server_closes_at; }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void OnConnected(boost::system::error_code error);
  void Read();
  void OnRead(boost::system::error_code error, std::size_t bytes);
  bool Parse();  // false: the connection has ended
  void OnMessageComplete();
  bool HasInvalidStatus() const;  // false until the headers of the reply are complete
  bool WithinLimits();            // false: the connection has ended
  bool HasExcessiveFraming() const;
  void ResetParser();
  void End(ConnectionEnd end);

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer connect_timer;
  ClientConnectionOptions options;
  Handlers handlers;
  std::optional<Parser> parser;
  std::string input;  // received but not parsed
  std::array<char, 8192> read_buffer{};
  std::string output;
  std::uint64_t bytes_received = 0;  // since the request was sent
  std::uint64_t parsed_bytes = 0;    // of the reply in progress
  int informational_replies = 0;     // since the request was sent
  int other_replies = 0;             // to other requests, since the request was sent
  std::uint64_t requests = 0;        // number of requests sent on this connection
  bool writing = false;
  bool open = false;
  bool busy = false;
  bool ended = false;
  bool head_only = false;
  TimePoint last_used_at{};
  std::optional<TimePoint> server_closes_at;
};

// ---- 4. ConnectionPool --------------------------------------------------------------------------

struct ConnectionPoolOptions {
  ClientConnectionOptions connection;
  Duration idle_limit = std::chrono::seconds(20);          // idle time before closing
  Duration close_margin = std::chrono::milliseconds(500);  // before the leaf closes it
  // A connection that was used within this time is assumed to be alive.
  Duration assumed_alive_time = std::chrono::milliseconds(1500);
};

struct ConnectionPoolCounts {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::uint64_t failed_connects = 0;
  std::uint64_t protocol_errors = 0;
};

// Keeps HTTP connections to leaves open between requests and reuses them. A request for which no
// connection is free waits until one is open.
class ConnectionPool {
 public:
  struct Handlers {
    std::function<void(AttemptId)> on_sent;
    std::function<void(AttemptId, HttpReply)> on_reply;
    std::function<void(AttemptId, AttemptFailure)> on_failure;
    // May be empty: all replies match.
    std::function<ReplyMatch(AttemptId, const HttpReply&)> match_reply;
    // Runs for a reply that no attempt waits for. `started` identifies the run of the leaf that the
    // connection was opened to. May be empty.
    std::function<void(const LeafId&, std::uint64_t started, const HttpReply&)> on_unmatched_reply;
  };

  ConnectionPool(boost::asio::io_context& context,
                 ConnectionPoolOptions options,
                 Handlers handlers);
  ~ConnectionPool();

  void Send(const SendAction& send, HttpRequest request);
  void Cancel(const CancelAction& cancel);
  // Fails the requests that wait for a connection to the leaf and so have not been sent.
  void FailWaiting(const LeafId& leaf);

  // Opens a connection in advance if the leaf has none.
  void Preconnect(const LeafEntry& leaf);
  // Closes the idle connections to all leaves for which `keep` returns false.
  void Retain(const std::function<bool(const LeafId&)>& keep);
  void CloseAll();

  const ConnectionPoolCounts& counts() const { return this->total; }

 private:
  struct PooledConnection;
  using PooledConnectionPtr = std::shared_ptr<PooledConnection>;
  struct Waiting {
    AttemptId attempt = 0;
    HttpRequest request;
    bool repeatable = true;
  };
  struct Leaf {
    std::list<PooledConnectionPtr> connections;
    std::deque<Waiting> waiting;
  };

  void OpenConnection(const LeafEntry& leaf);
  void Assign(const PooledConnectionPtr& pooled, const Waiting& waiting);
  void ServeWaiting(const LeafId& id);
  ReplyMatch MatchReply(const PooledConnection& pooled, const HttpReply& reply) const;
  void OnConnectionEnd(const PooledConnectionPtr& pooled, ConnectionEnd end);
  void CloseConnection(const PooledConnectionPtr& pooled);
  void Sweep();
  bool IsUsable(const PooledConnection& pooled, bool repeatable, TimePoint now) const;

  boost::asio::io_context& context;
  ConnectionPoolOptions options;
  Handlers handlers;
  boost::asio::steady_timer timer;
  std::unordered_map<LeafId, Leaf, absl::Hash<LeafId>> leaves;
  std::unordered_map<AttemptId, PooledConnectionPtr> busy;
  std::unordered_map<AttemptId, LeafId> queued;
  ConnectionPoolCounts total;
};

// ---- 5. CallerPort ------------------------------------------------------------------------------

struct CallerReply {
  int status = 200;
  std::vector<HeaderField> headers;
  std::string body;
  bool close = false;  // close the connection after the reply
};

struct CallerPortCounts {
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t disconnected = 0;  // callers that closed before their reply
  std::uint64_t refused = 0;       // requests that were malformed, too large or too slow
  // Replies that the process gave a status that is not final; 502 was sent in their place.
  std::uint64_t invalid_statuses = 0;
};

// Listens for HTTP connections of callers and hands each complete request to a handler.
class CallerPort {
 public:
  struct Handlers {
    // The reply is passed to Reply with the same ticket. `caller_time` is the estimated network
    // time of the caller until the reply arrives, including the set-up of a connection that was
    // opened for this request.
    std::function<void(std::uint64_t ticket, HttpRequest, Duration caller_time)> on_request;
    std::function<void(std::uint64_t ticket)> on_disconnect;
  };

  // `input_limit`: bytes of all requests that are being received or served, 16 MB.
  CallerPort(boost::asio::io_context& context,
             Handlers handlers,
             std::size_t input_limit = 16U << 20U);
  ~CallerPort();

  // Errors: Unavailable if the address cannot be bound.
  absl::Status Listen(const std::string& address, std::uint16_t port);
  void SetLimits(const CallerLimits& limits) { this->limits = limits; }
  void Reply(std::uint64_t ticket, const CallerReply& reply);

  // From now on, closes each connection after its next reply.
  void BeginStop();
  // Closes the connections that are idle between two requests and stops accepting new ones.
  void CloseIdle();
  std::size_t open_connections() const { return this->sessions.size(); }
  std::size_t requests_in_progress() const { return this->tickets.size(); }
  std::size_t input_bytes() const { return this->memory.used_bytes(); }
  std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }
  const CallerPortCounts& counts() const { return this->total; }

 private:
  class Session;

  void Accept();
  void StartSession(boost::asio::ip::tcp::socket socket);
  void AcceptPending();

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  Handlers handlers;
  CallerLimits limits;
  std::uint64_t last_ticket = 0;
  bool stopping = false;
  bool closing = false;
  std::unordered_set<std::shared_ptr<Session>> sessions;
  std::unordered_map<std::uint64_t, Session*> tickets;
  CallerPortCounts total;
  InputMemoryLimiter<Session> memory;
};

// ---- 6. EventLog --------------------------------------------------------------------------------

// One key-value pair of a log line.
struct LogField {
  std::string_view key;
  std::string value;
};

struct EventLogOptions {
  std::size_t buffer_limit = 256U << 10U;  // bytes that await writing, 256 KB
  std::uint32_t lines_per_second = 150;    // further lines are dropped and counted
  Duration flush_interval = std::chrono::milliseconds(200);
};

// Writes one JSON object per line, never blocking: it writes only as much as the descriptor accepts
// at once. When the buffer is full, lines are dropped and their number is logged later.
class EventLog {
 public:
  EventLog(boost::asio::io_context& context, EventLogOptions options, int descriptor = 1);

  void Write(std::string_view event, const std::vector<LogField>& fields);
  // Writes a line that is exempt from lines_per_second.
  void WriteUnthrottled(std::string_view event, const std::vector<LogField>& fields);
  // Whether Write would accept a line now.
  bool has_room() const;
  void Flush();
  std::uint64_t dropped() const { return this->dropped_total; }

 private:
  void Append(std::string_view event, const std::vector<LogField>& fields);
  void ScheduleFlush();

  EventLogOptions options;
  int descriptor;
  boost::asio::steady_timer timer;
  bool scheduled = false;
  std::string buffer;
  std::uint64_t current_second = 0;  // Unix time, s
  std::uint32_t lines_in_second = 0;
  std::uint64_t dropped_total = 0;
  std::uint64_t dropped_reported = 0;
};

}  // namespace ibishold

#endif  // IBISHOLD_EDGE_H_
