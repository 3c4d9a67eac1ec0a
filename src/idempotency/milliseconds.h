#ifndef IBISHOLD_IDEMPOTENCY_MILLISECONDS_H_
#define IBISHOLD_IDEMPOTENCY_MILLISECONDS_H_

#include <chrono>
#include <cstdint>

#include "ibishold/core.h"

namespace ibishold {

// Converts a duration to whole milliseconds, rounded toward zero.
inline std::uint64_t ToWholeMilliseconds(Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace ibishold

#endif  // IBISHOLD_IDEMPOTENCY_MILLISECONDS_H_
