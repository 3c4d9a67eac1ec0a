#ifndef IBISHOLD_TESTS_MODELS_ONE_SLOT_H_
#define IBISHOLD_TESTS_MODELS_ONE_SLOT_H_

#include <array>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "membership/hold_clock.h"
#include "membership/monitors.h"
#include "membership/silence_detector.h"

namespace ibishold {

// The holder H of models/ownership.pml, its two monitors and the new owner, built from HoldClock
// and SilenceDetector. Each call is one step of Spin's trace.
class OneSlot {
 public:
  OneSlot() {
    VmList list;
    for (const char* id : {"h", "m0", "m1"}) {
      list.vms.push_back({.id = VmId(id), .data_centre = DataCentre("dc"), .incarnation = 1});
    }
    this->hold.SetMonitors(SelectMonitors(this->holder, DataCentre("dc"), list, 5));
    for (SilenceDetector& detector : this->detectors) {
      detector.SetPublishedList(list, 5, this->now);
    }
  }

  void Advance(Duration time) { this->now += time; }
  std::uint64_t Beat() {
    this->hold.RecordSent(++this->sequence, this->now);
    return this->sequence;
  }
  // The heartbeat reaches the monitor; true if it acknowledges.
  bool Hear(std::size_t monitor) {
    this->detectors[monitor].RecordHeartbeat(this->holder, this->now);
    return this->detectors[monitor].MayAcknowledge(this->holder, 1);
  }
  void Acknowledge(std::size_t monitor, std::uint64_t beat) {
    this->hold.RecordAcknowledgement(Monitor(monitor), beat);
  }
  // The monitor reports the holder if it is silent; `reaches` is the other monitor's turn to hear.
  bool Report(std::size_t monitor, bool reaches) {
    bool silent = false;
    for (const auto& each : this->detectors[monitor].SilentVms(this->now)) {
      silent = silent || each.vm == this->holder;
    }
    if (!silent) {
      return false;
    }
    const SilentVm report{this->holder, 1};
    this->lost |= this->detectors[monitor].RecordReport(Monitor(monitor), report, this->now);
    if (reaches) {
      this->lost |= this->detectors[1 - monitor].RecordReport(Monitor(monitor), report, this->now);
    }
    return true;
  }
  bool holder_sends() const { return this->now < this->hold.HoldUntil(); }
  bool taken_over() const { return this->lost; }

 private:
  static VmId Monitor(std::size_t index) { return VmId("m" + std::to_string(index)); }

  VmId holder{"h"};
  TimePoint now{std::chrono::minutes(5)};
  std::uint64_t sequence = 0;
  HoldClock hold{std::chrono::seconds(5)};
  std::array<SilenceDetector, 2> detectors{
      SilenceDetector(VmId("m0"), std::chrono::seconds(60), std::chrono::seconds(5)),
      SilenceDetector(VmId("m1"), std::chrono::seconds(60), std::chrono::seconds(5))};
  bool lost = false;
};

}  // namespace ibishold

#endif  // IBISHOLD_TESTS_MODELS_ONE_SLOT_H_
