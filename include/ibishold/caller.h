#ifndef IBISHOLD_CALLER_H_
#define IBISHOLD_CALLER_H_

// Callers' side: HTTP/1.1 with JSON, as docs/api.md describes it.
//
// Index of this header:
//   1. Requests             what callers ask and what they get
//   2. Refusals             body of an answer that is not a result
//   3. CallerServerOptions  limits of connections and requests
//   4. CallerServer         HTTP server on one io_context

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "absl/status/status.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- 1. Requests --------------------------------------------------------------------------------

enum class RequestKind : std::uint8_t {
  kQuery,    // repeatable, fans out to all shards
  kExecute,  // non-repeatable, one shard
};

struct CallerRequest {
  std::uint64_t ticket = 0;  // names the waiting caller, unique per process
  RequestKind kind = RequestKind::kQuery;
  ServiceName service;
  TenantName tenant;
  RequestClass request_class = RequestClass::kStandard;
  std::string request_id;
  std::string token;      // Idempotency-Key; execute only, may be empty
  std::uint64_t key = 0;  // record key; execute only
  std::string body;       // JSON of the query or the operation
  TimePoint deadline{};
};

struct CallerAnswer {
  std::uint64_t ticket = 0;
  int status = 200;  // HTTP status
  Verdict verdict = Verdict::kRan;
  std::string body;        // JSON
  Duration retry_after{};  // 0: none
  std::string new_token;   // header Idempotency-Key; empty: none
};

// ---- 2. Refusals --------------------------------------------------------------------------------

// {"error","message","verdict","retry_after_ms"}; the last one only if retry_after is above 0.
std::string MakeErrorBody(std::string_view error,
                          std::string_view message,
                          Verdict verdict,
                          Duration retry_after);

// ---- 3. CallerServerOptions ---------------------------------------------------------------------

struct CallerServerOptions {
  std::string request_id_prefix;                           // prefix of generated request ids
  std::size_t header_limit = 8U << 10U;                    // bytes, 8 KB; larger: 431
  std::size_t body_limit = 64U << 10U;                     // bytes, 64 KB; larger: 413
  std::size_t connection_limit = 4096;                     // more: 503 and closed
  Duration receive_limit = std::chrono::seconds(5);        // from the first byte; slower: 408
  Duration idle_limit = std::chrono::seconds(60);          // between requests; then closed
  Duration write_limit = std::chrono::seconds(5);          // an answer that the peer does not read
  Duration max_deadline = std::chrono::seconds(600);       // X-Deadline-Ms above it: 400
  Duration answer_grace = std::chrono::milliseconds(250);  // past the deadline: 504 by the server
};

// ---- 4. CallerServer ----------------------------------------------------------------------------

struct CallerServerCounters {
  std::uint64_t accepted_connections = 0;  // accepted
  std::uint64_t accepted_requests = 0;     // well-formed
  std::uint64_t client_errors = 0;         // 4xx by the server itself
  std::uint64_t receive_timeouts = 0;      // slow senders
  std::uint64_t abandoned_requests = 0;    // callers that left before their answer
  std::uint64_t late_answers = 0;          // answers to callers that are no longer there
};

// One request at a time per connection, so memory is bounded by the number of connections. All
// calls must be made on the io_context's thread; handlers run there too.
class CallerServer {
 public:
  // False: the request cannot be taken in now; the caller gets 503.
  using RequestHandler = std::function<bool(std::shared_ptr<CallerRequest>)>;
  using AbandonHandler = std::function<void(std::uint64_t ticket)>;

  CallerServer(boost::asio::io_context& context, CallerServerOptions options);
  ~CallerServer();

  // Errors: Unavailable if the address cannot be bound.
  absl::Status Listen(const std::string& address,
                      std::uint16_t port,
                      RequestHandler on_request,
                      AbandonHandler on_abandon);

  // Answers that name an unknown ticket are dropped and counted.
  void SendAnswer(const CallerAnswer& answer);

  void AnnounceClose();     // from now on answers carry Connection: close
  void StopAccepting();     // open connections stay
  void CloseConnections();  // all, at once

  std::size_t connection_count() const { return this->sessions.size(); }
  std::size_t waiting_request_count() const { return this->waiting_sessions.size(); }
  const CallerServerCounters& counters() const { return this->counter_values; }

 private:
  class Session;

  void Accept();

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  CallerServerOptions options;
  RequestHandler on_request;
  AbandonHandler on_abandon;
  std::set<std::shared_ptr<Session>> sessions;
  std::unordered_map<std::uint64_t, Session*>
      waiting_sessions;  // by ticket; the session is in sessions
  CallerServerCounters counter_values;
  std::uint64_t last_ticket = 0;
  bool close_announced = false;
};

}  // namespace ibishold

#endif  // IBISHOLD_CALLER_H_
