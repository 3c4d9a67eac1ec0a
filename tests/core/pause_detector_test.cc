#include <doctest/doctest.h>

#include "ibishold/core.h"

namespace ibishold {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against news that waited while a process was paused, and is then passed on as new.
TEST_CASE("messages that a process reads after a pause of 3 s") {
  TimePoint now = TimePoint() + std::chrono::hours(1);
  PauseDetector detector(milliseconds(100), now);
  for (int i = 0; i < 5; ++i) {
    now += milliseconds(110);
    detector.OnTick(now);
    CHECK(detector.EstimateWait(now + milliseconds(90)) == Duration::zero());
  }
  now += milliseconds(50) + seconds(3);
  SUBCASE("may have waited that long, if they are read before the late tick") {
    CHECK(detector.EstimateWait(now) >= milliseconds(2900));
  }
  SUBCASE("and if they are read just after it") {
    detector.OnTick(now);
    CHECK(detector.EstimateWait(now + milliseconds(20)) >= milliseconds(2900));
    SUBCASE("but not those that are read later") {
      for (int i = 0; i < 11; ++i) {
        now += milliseconds(100);
        detector.OnTick(now);
      }
      CHECK(detector.EstimateWait(now) == Duration::zero());
    }
  }
}

}  // namespace ibishold
