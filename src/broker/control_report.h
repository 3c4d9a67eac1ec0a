#ifndef SRC_BROKER_CONTROL_REPORT_H_
#define SRC_BROKER_CONTROL_REPORT_H_

#include <mutex>
#include <string>

#include "ibishold/control.h"
#include "ibishold/metrics.h"

namespace ibishold {

// Latest alarm about a document: why it was refused, or that two different texts of one generation
// exist. Set on the control thread, read on the operators' thread.
class DocumentAlarm {
 public:
  void SetReason(const std::string& new_reason);
  std::string GetReason() const;

 private:
  mutable std::mutex mutex;
  std::string reason;
};

// Returns the JSON object for /debug/control: generations in force, the right to hold slots, lost
// VMs, counters and the latest alarm.
std::string ControlStateJson(const ControlThread& control, const std::string& alarm);

// Sets the gauges ibishold_control_*.
void ExportControlMetrics(const ControlThread& control, Metrics& metrics);

}  // namespace ibishold

#endif  // SRC_BROKER_CONTROL_REPORT_H_
