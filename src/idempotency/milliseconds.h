#ifndef IBISHOLD_IDEMPOTENCY_MILLISECONDS_H_
#define IBISHOLD_IDEMPOTENCY_MILLISECONDS_H_

#include <chrono>
#include <cstdint>

#include "ibishold/core.h"

namespace ibishold {

// Whole milliseconds, rounded down.
inline std::uint64_t ToWholeMilliseconds(Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace ibishold

#endif  // IBISHOLD_IDEMPOTENCY_MILLISECONDS_H_
