#ifndef STANDINS_LOAD_CLIENT_H_
#define STANDINS_LOAD_CLIENT_H_

// The callers' side of the load program: keep-alive HTTP client and round-robin balancer.

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "ibishold/config.h"
#include "standins/http.h"

namespace ibishold::standin {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;

enum class CallResult : std::uint8_t {
  kAnswered,
  kNotConnected,  // no byte was sent
  kCut,           // the connection ended after the request was sent and before its answer
  kTimeout,       // no answer in time
};

struct Call {
  CallResult result = CallResult::kNotConnected;
  HttpResponse response;
};

// Idle keep-alive connections to one address.
class HttpClient {
 public:
  HttpClient(asio::io_context& context, const std::string& address, std::uint16_t port);

  asio::awaitable<Call> Send(HttpRequest request, Milliseconds limit);

 private:
  using Stream = boost::beast::tcp_stream;
  std::shared_ptr<Stream> TakeIdle();

  asio::io_context& context;
  tcp::endpoint endpoint;
  std::deque<std::shared_ptr<Stream>> idle;
};

struct BalancerOptions {
  double poll_ms = 1000;            // between polls of /ready; 1000
  double lag_ms = 1000;             // from a poll's answer until it takes effect; 1000
  std::uint16_t port = 8080;        // callers' HTTP; 8080
  std::uint16_t ready_port = 8082;  // operators' HTTP with /ready; 8082
};

// Round robin over the fronts whose /ready answered 200 at the last poll, minus a lag.
class Balancer {
 public:
  struct Target {
    std::string address;
    bool ready = true;
    std::unique_ptr<HttpClient> caller;
    std::unique_ptr<HttpClient> poll;
  };

  Balancer(asio::io_context& context, const VmList& vms, const BalancerOptions& options);

  Target* Next();  // null if no front is ready

 private:
  asio::awaitable<void> Poll(Target& target);

  asio::io_context& context;
  BalancerOptions options;
  std::vector<std::unique_ptr<Target>> targets;
  std::size_t position = 0;
};

}  // namespace ibishold::standin

#endif  // STANDINS_LOAD_CLIENT_H_
