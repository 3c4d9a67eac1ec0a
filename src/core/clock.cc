#include <ctime>

#include "ibishold/core.h"

namespace ibishold {

TimePoint BootClock::now() {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return TimePoint(std::chrono::seconds(reading.tv_sec) +
                   std::chrono::nanoseconds(reading.tv_nsec));
}

double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace ibishold
