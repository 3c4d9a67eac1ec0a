#ifndef IBISHOLD_PLATFORM_H_
#define IBISHOLD_PLATFORM_H_

// Adapter to the platform's configuration service: HTTP/1.1, read and watch only.
//
// Index of this header:
//   1. PlatformValue    what one call returned
//   2. PlatformReader   concept that control code is written against
//   3. PlatformClient   HTTP implementation on one io_context

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
  bool changed = true;           // false: a watch ended without a higher generation
  std::uint64_t generation = 0;  // header X-Generation; 0 if absent
  std::string text;              // body, at most 1 MB
};

// Errors: NotFound (no such key), DeadlineExceeded (no answer in time), Unavailable (anything
// else).
using PlatformHandler = std::function<void(absl::StatusOr<PlatformValue>)>;

// ---- 2. PlatformReader --------------------------------------------------------------------------

// Handlers run once each, on the io_context, never from within the call itself.
template <typename T>
concept PlatformReader = requires(T reader,
                                  const std::string& key,
                                  std::uint64_t generation,
                                  Duration wait,
                                  PlatformHandler handler) {
  reader.Read(key, handler);                     // the value now
  reader.Watch(key, generation, wait, handler);  // the value once above `generation`
};

// ---- 3. PlatformClient --------------------------------------------------------------------------

struct PlatformClientOptions {
  std::string address = "127.0.0.1";                        // IP number
  std::uint16_t port = 8080;                                // HTTP
  std::string local_address;                                // IP number to call from; empty: any
  Duration call_timeout = std::chrono::milliseconds(2000);  // 2 s for a read
  Duration watch_margin = std::chrono::milliseconds(1000);  // 1 s for a watch beyond its wait
  std::size_t body_limit_bytes = 1U << 20U;                 // bytes, 1 MB as the service serves
};

// One connection a call. Every call ends by its own deadline, so that a connection that went silent
// delays no later call.
class PlatformClient {
 public:
  PlatformClient(boost::asio::io_context& context, PlatformClientOptions options);

  void Read(const std::string& key, PlatformHandler handler);
  void Watch(const std::string& key,
             std::uint64_t generation,
             Duration wait,
             PlatformHandler handler);

  std::uint64_t calls() const { return this->call_count; }  // since start

 private:
  void Call(const std::string& target, Duration timeout, PlatformHandler handler);

  boost::asio::io_context& context;
  PlatformClientOptions options;
  std::uint64_t call_count = 0;
};

static_assert(PlatformReader<PlatformClient>);

}  // namespace ibishold

#endif  // IBISHOLD_PLATFORM_H_
