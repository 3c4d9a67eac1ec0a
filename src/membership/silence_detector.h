#ifndef SRC_MEMBERSHIP_SILENCE_DETECTOR_H_
#define SRC_MEMBERSHIP_SILENCE_DETECTOR_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ibishold/membership.h"

namespace ibishold {

// Detects monitored VMs that have stopped sending heartbeats, and counts the reports of their
// monitors.
class SilenceDetector {
 public:
  SilenceDetector(VmId self, Duration loss_limit, Duration report_limit)
      : self(std::move(self)), loss_limit(loss_limit), report_limit(report_limit) {}

  // Computes which VMs this VM monitors, and the other monitors of those VMs.
  void SetPublishedList(const VmList& list, std::size_t monitors, TimePoint now);
  void RecordHeartbeat(const VmId& vm, TimePoint now);
  // Restarts the silence timers at `now`, after this VM was paused.
  void Resume(TimePoint now);

  struct Silent {
    VmId vm;
    std::vector<VmId> monitors;  // all monitors of the VM
  };
  std::vector<Silent> SilentVms(TimePoint now) const;

  // Records a report by a monitor, which may be this VM. Returns true if more than half of the
  // monitors of the VM report this incarnation silent.
  bool RecordReport(const VmId& reporter, const SilentVm& report, TimePoint now);

  // Permanently false once this VM has reported that run silent. The report may have led others to
  // declare the run lost without this VM knowing, and an acknowledgement would let the run hold
  // slots that have a new owner. The run must return with a new incarnation.
  bool MayAcknowledge(const VmId& vm, Incarnation incarnation) const;

 private:
  struct MonitoredVm {
    TimePoint heard_at{};
    std::vector<VmId> monitors;
    std::map<VmId, std::pair<Incarnation, TimePoint>> reports;
    std::optional<Incarnation> own_reported_incarnation;  // last run reported by this VM
  };

  VmId self;
  Duration loss_limit;
  Duration report_limit;
  std::map<std::string, MonitoredVm> monitored;
};

}  // namespace ibishold

#endif  // SRC_MEMBERSHIP_SILENCE_DETECTOR_H_
