#ifndef IBISHOLD_EDGE_H_
#define IBISHOLD_EDGE_H_

// HTTP/1.1 towards callers and leaves on one event loop, and the log of decisions. Nothing here
// decides about a request; every object belongs to the thread of its io_context.
//
// Index of this header:
//   1. HttpRequest, HttpReply   messages as they travel
//   2. InputMemoryLimiter              bounds the bytes of messages that are being received
//   3. ClientConnection         one connection to a server
//   4. ConnectionPool           connections to leaves, kept open between requests
//   5. CallerPort               accepts callers' connections
//   6. EventLog                 structured lines on standard output that never block

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
  std::vector<HeaderField> headers;  // without host and those that concern only one connection
  std::string body;

  std::string_view path() const {
    return std::string_view(this->target).substr(0, this->target.find('?'));
  }
  std::string_view header(std::string_view name) const;  // empty if absent
};

struct HttpReply {
  int status = 0;
  std::vector<HeaderField> headers;  // without those that concern only one connection
  std::string body;
  bool keep_alive = true;
  std::optional<Duration> keep_alive_time;  // the server closes the idle connection after it

  std::string_view header(std::string_view name) const;  // empty if absent
};

// Value of the first header of this name, without regard to case; empty if absent.
std::string_view FindHeader(const std::vector<HeaderField>& headers, std::string_view name);

// ---- 2. InputMemoryLimiter
// -----------------------------------------------------------------------------

template <typename Connection>
concept CanAbortReceive = requires(Connection& connection) {
  connection.AbortReceive();  // gives up the message that is being received
};

// Bounds the bytes of the messages that one process is receiving. Above the limit, the message that
// holds most is given up, so that a peer that sends without end does not cost the others theirs.
template <typename Connection>
class InputMemoryLimiter {
 public:
  explicit InputMemoryLimiter(std::size_t limit) : limit(limit) {}  // bytes

  // `bytes`: all that the connection holds now. May end messages, also this one.
  void SetUsage(const std::shared_ptr<Connection>& connection, std::size_t bytes) {
    // Checked here, where a connection that is declared later is complete.
    static_assert(CanAbortReceive<Connection>);
    Usage& usage = this->usages[connection.get()];
    usage.connection = connection;
    this->total += bytes - usage.bytes;
    usage.bytes = bytes;
    while (this->total > this->limit) {
      const auto largest = std::max_element(
          this->usages.begin(), this->usages.end(),
          [](const auto& a, const auto& b) { return a.second.evictable() < b.second.evictable(); });
      if (largest->second.evictable() == 0) {
        return;  // only whole messages are left
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
  // The message is whole: it counts, but is not given up any more.
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

    std::size_t evictable() const { return this->complete ? 0 : this->bytes; }
  };

  std::size_t limit;
  std::size_t total = 0;
  std::unordered_map<const Connection*, Usage> usages;
};

// ---- 3. ClientConnection ------------------------------------------------------------------------

// Whether a reply belongs to the request in progress.
enum class ReplyMatch : std::uint8_t {
  kMatches,       // it names the request
  kOtherRequest,  // it names another request
  kNoRequestId,   // it names none
};

class ClientConnection;
using ReplyMemoryLimiter = InputMemoryLimiter<ClientConnection>;

struct ClientConnectionOptions {
  std::uint64_t body_limit = 8U << 20U;     // bytes of one reply's body, 8 MB
  std::uint32_t header_limit = 32U << 10U;  // bytes of one reply's head, 32 KB
  // Bytes received for one request beyond the body limit: head, framing of chunks, informational
  // replies and replies to other requests, 256 KB.
  std::uint64_t overhead_limit = 256U << 10U;
  std::shared_ptr<ReplyMemoryLimiter> memory;        // none: only the limits of one reply hold
  Duration silence_limit = std::chrono::seconds(3);  // unacknowledged bytes or probes, 3 s
  // To connect. The kernel repeats a lost opening packet only after 1 s, 2 s, 4 s and so on, so a
  // new connection finds a path that has come back sooner.
  Duration connect_limit = std::chrono::milliseconds(600);  // 600 ms
};

// How a connection ended.
enum class ConnectionEnd : std::uint8_t {
  kNotConnected,   // never open
  kClosed,         // by the peer, with no request in progress
  kBroken,         // with a request in progress
  kProtocolError,  // bytes that are no answer, or that no request asked for
};

// One request at a time. A server may send a second answer to an earlier request late, where the
// next one is expected: a reply that names another request is dropped. One that names none is
// accepted only for the first request of a connection, which then ends; later ones could be either.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  struct Handlers {
    std::function<void()> on_open;
    std::function<void(HttpReply)> on_reply;    // the connection is idle again if it is still open
    std::function<void(ConnectionEnd)> on_end;  // once, and not after Close
    std::function<ReplyMatch(const HttpReply&)> match_reply;  // empty: every reply is the request's
  };

  ClientConnection(boost::asio::io_context& context, ClientConnectionOptions options);

  void Open(const boost::asio::ip::tcp::endpoint& endpoint, Handlers handlers);
  void Send(const HttpRequest& request);  // only while idle
  void Close();                           // silent: no handler runs afterwards
  void AbortReceive() { this->End(ConnectionEnd::kProtocolError); }

  bool idle() const { return this->open && !this->busy; }
  bool is_open() const { return this->open; }
  TimePoint last_used() const { return this->last_used_at; }
  // When the server may close the idle connection; nothing if it has not said.
  std::optional<TimePoint> closes_at() const { return this->server_closes_at; }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void OnConnected(boost::system::error_code error);
  void Read();
  void OnRead(boost::system::error_code error, std::size_t bytes);
  bool Parse();  // false: the connection has ended
  void OnMessageComplete();
  bool WithinLimits();  // false: the connection has ended
  void ResetParser();
  void End(ConnectionEnd end);

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer connect_timer;
  ClientConnectionOptions options;
  Handlers handlers;
  std::optional<Parser> parser;
  std::string input;  // received and not parsed
  std::array<char, 8192> read_buffer{};
  std::string output;
  std::uint64_t received = 0;  // bytes since the request was sent
  std::uint64_t requests = 0;  // sent on this connection
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
  Duration idle_limit = std::chrono::seconds(20);          // unused connections are closed, 20 s
  Duration close_margin = std::chrono::milliseconds(500);  // before the leaf's own idle limit
  // A connection that a leaf used this recently is taken to be alive.
  Duration assumed_alive_time = std::chrono::milliseconds(1500);
};

struct ConnectionPoolCounts {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::uint64_t failed = 0;  // could not connect
  std::uint64_t protocol_errors = 0;
};

class ConnectionPool {
 public:
  struct Handlers {
    std::function<void(AttemptId)> on_sent;
    std::function<void(AttemptId, HttpReply)> on_reply;
    std::function<void(AttemptId, AttemptFailure)> on_failure;
    // Empty: every reply is the attempt's.
    std::function<ReplyMatch(AttemptId, const HttpReply&)> match_reply;
    // A reply that no attempt waits for, of the run of a leaf that the connection was opened to.
    // May be empty.
    std::function<void(const LeafId&, std::uint64_t started, const HttpReply&)> on_unmatched_reply;
  };

  ConnectionPool(boost::asio::io_context& context,
                 ConnectionPoolOptions options,
                 Handlers handlers);
  ~ConnectionPool();

  void Send(const SendAction& send, HttpRequest request);
  void Cancel(const CancelAction& cancel);
  // Fails the requests that wait for a connection to the leaf; they were not sent.
  void FailWaiting(const LeafId& leaf);

  // Opens a connection in advance if the leaf has none.
  void Preconnect(const LeafEntry& leaf);
  // Closes idle connections of leaves that are gone.
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
  bool close = false;  // the connection ends after the reply
};

struct CallerPortCounts {
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t disconnected = 0;  // callers that closed before their answer
  std::uint64_t refused = 0;       // input that is no request, too large or too slow
};

class CallerPort {
 public:
  struct Handlers {
    // The reply goes to Reply with the same ticket. `caller_time`: what the caller spends on the
    // network until the reply arrives, with the set-up of a connection opened for this request.
    std::function<void(std::uint64_t ticket, HttpRequest, Duration caller_time)> on_request;
    std::function<void(std::uint64_t ticket)> on_disconnect;
  };

  // `input_limit`: bytes of the requests that are being received or served, 16 MB.
  CallerPort(boost::asio::io_context& context,
             Handlers handlers,
             std::size_t input_limit = 16U << 20U);
  ~CallerPort();

  // Errors: Unavailable if the address cannot be bound.
  absl::Status Listen(const std::string& address, std::uint16_t port);
  void SetLimits(const CallerLimits& limits) { this->limits = limits; }
  void Reply(std::uint64_t ticket, const CallerReply& reply);

  // Every reply from now on ends its connection.
  void BeginStop();
  // Closes the connections that wait for a next request, and stops accepting.
  void CloseIdle();
  std::size_t open_connections() const { return this->sessions.size(); }
  std::size_t requests_in_progress() const { return this->tickets.size(); }
  std::size_t input_held() const { return this->memory.used_bytes(); }  // bytes
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

// One key=value pair of a line.
struct LogField {
  std::string_view key;
  std::string value;
};

struct EventLogOptions {
  std::size_t buffer_limit = 256U << 10U;                    // bytes waiting to be written, 256 KB
  std::uint32_t lines_per_second = 150;                      // more are dropped and counted
  Duration flush_interval = std::chrono::milliseconds(200);  // 200 ms
};

// One JSON object per line. Writes only what standard output takes at once; when it takes nothing,
// lines are dropped and the number of them is written later.
class EventLog {
 public:
  EventLog(boost::asio::io_context& context, EventLogOptions options, int descriptor = 1);

  void Write(std::string_view event, const std::vector<LogField>& fields);
  // A line that is kept even beyond lines_per_second.
  void WriteUnthrottled(std::string_view event, const std::vector<LogField>& fields);
  // Whether a line of Write would be kept now.
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
  std::uint64_t current_second = 0;   // of the current count
  std::uint32_t lines_in_second = 0;  // in this second
  std::uint64_t dropped_total = 0;
  std::uint64_t dropped_reported = 0;
};

}  // namespace ibishold

#endif  // IBISHOLD_EDGE_H_
