#include <chrono>

#include "ibishold/control.h"

namespace ibishold {

QuarantineReport ReadQuarantineReport(wire::Quarantine::Reader frame) {
  QuarantineReport report;
  report.fingerprint = frame.getFingerprint();
  report.crash_age = std::chrono::milliseconds(frame.getCrashAgeMillis());
  for (const std::uint64_t crash_id : frame.getAloneCrashes()) {
    report.alone_crashes.push_back(crash_id);
  }
  return report;
}

}  // namespace ibishold
