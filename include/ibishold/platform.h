#ifndef IBISHOLD_PLATFORM_H_
#define IBISHOLD_PLATFORM_H_

// Read-only HTTP/1.1 client for the platform's configuration service.
//
// Index of this header:
//   1. PlatformValue    result of a read or watch
//   2. PlatformReader   concept of a client, as the control code uses it
//   3. PlatformClient   implementation over HTTP

#include <boost/asio/io_context.hpp>
#include <concepts>
#include <cstdint>
#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- 1. PlatformValue ---------------------------------------------------------------------------

struct PlatformValue {
  bool changed = true;           // false: a watch timed out without a higher generation
  std::uint64_t generation = 0;  // X-Generation; 0 if absent
  std::string text;              // response body, at most 1 MB
};

// Receives the result of a call. Errors: NotFound (no such key), DeadlineExceeded (timeout),
// Unavailable (any other failure).
using PlatformHandler = std::function<void(absl::StatusOr<PlatformValue>)>;

// ---- 2. PlatformReader --------------------------------------------------------------------------

// Each handler runs exactly once, on the io_context, and never from within Read or Watch.
template <typename T>
concept PlatformReader = requires(T reader,
                                  const std::string& key,
                                  std::uint64_t generation,
                                  Duration wait,
                                  PlatformHandler handler) {
  reader.Read(key, handler);                     // returns the current value
  reader.Watch(key, generation, wait, handler);  // waits for a generation above `generation`
};

// ---- 3. PlatformClient --------------------------------------------------------------------------

struct PlatformClientOptions {
  std::string address = "127.0.0.1";                        // IP address of the service
  std::uint16_t port = 8080;                                // HTTP
  std::string local_address;                                // source IP address; empty: any
  Duration call_timeout = std::chrono::milliseconds(2000);  // of a read
  Duration watch_margin = std::chrono::milliseconds(1000);  // added to the wait of a watch
  std::size_t body_limit_bytes = 1U << 20U;  // 1 MB, the largest value of the service
};

// Opens a new connection for each call. Each call has its own deadline, so that a connection that
// stops responding does not delay later calls.
class PlatformClient {
 public:
  PlatformClient(boost::asio::io_context& context, PlatformClientOptions options);

  void Read(const std::string& key, PlatformHandler handler);
  void Watch(const std::string& key,
             std::uint64_t generation,
             Duration wait,
             PlatformHandler handler);

  std::uint64_t calls() const { return this->call_count; }  // number of calls started

 private:
  void Call(const std::string& target, Duration timeout, PlatformHandler handler);

  boost::asio::io_context& context;
  PlatformClientOptions options;
  std::uint64_t call_count = 0;
};

static_assert(PlatformReader<PlatformClient>);

}  // namespace ibishold

#endif  // IBISHOLD_PLATFORM_H_
