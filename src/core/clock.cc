#include <ctime>

#include "ibishold/core.h"

namespace ibishold {

TimePoint BootClock::now() {
  timespec boot_time{};
  clock_gettime(CLOCK_BOOTTIME, &boot_time);
  return TimePoint(std::chrono::seconds(boot_time.tv_sec) +
                   std::chrono::nanoseconds(boot_time.tv_nsec));
}

double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace ibishold
