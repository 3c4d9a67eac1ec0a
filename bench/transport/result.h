#ifndef BENCH_TRANSPORT_RESULT_H_
#define BENCH_TRANSPORT_RESULT_H_

#include <algorithm>
#include <cstdio>
#include <vector>

#include "ibishold/core.h"

namespace ibishold::bench {

struct TransportOptions {
  std::size_t calls = 100000;       // per run
  std::size_t in_flight = 16;       // calls waiting at a time
  std::size_t payload_bytes = 600;  // bytes each way
};

struct TransportResult {
  std::vector<Duration> round_trips;
  Duration elapsed{};
};

inline void Print(const char* name, TransportResult result, std::size_t in_flight) {
  std::sort(result.round_trips.begin(), result.round_trips.end());
  const auto at = [&](double share) {
    const auto index = static_cast<std::size_t>(share * (result.round_trips.size() - 1));
    return ToMilliseconds(result.round_trips[index]) * 1000;
  };
  const double seconds = ToMilliseconds(result.elapsed) / 1000;
  std::printf(
      "{\"transport\":\"%s\",\"in_flight\":%zu,\"calls\":%zu,\"calls_per_s\":%.0f,"
      "\"p50_us\":%.1f,\"p99_us\":%.1f}\n",
      name, in_flight, result.round_trips.size(), result.round_trips.size() / seconds, at(0.5),
      at(0.99));
}

TransportResult RunFrameLinks(const TransportOptions& options);
TransportResult RunRpc(const TransportOptions& options);

}  // namespace ibishold::bench

#endif  // BENCH_TRANSPORT_RESULT_H_
