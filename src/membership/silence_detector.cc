#include "membership/silence_detector.h"

#include <algorithm>
#include <utility>

#include "membership/monitors.h"

namespace ibishold {

namespace {

// Whether SelectMonitors would choose `own` as a monitor of `vm`. Stops after `count` better
// candidates, which keeps list changes cheap in data centres with hundreds of VMs.
bool IsMonitorOf(const VmId& vm, const VmEntry& own, const VmList& local, std::size_t count) {
  if (own.state != VmState::kLive) {
    return false;
  }
  const std::uint64_t own_score = RendezvousScore(vm.value, own.id.value);
  std::size_t better = 0;
  for (const VmEntry& entry : local.vms) {
    if (entry.state != VmState::kLive || entry.id == vm || entry.id == own.id) {
      continue;
    }
    const std::uint64_t score = RendezvousScore(vm.value, entry.id.value);
    if (score > own_score || (score == own_score && entry.id < own.id)) {
      if (++better == count) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace

void SilenceDetector::SetPublishedList(const VmList& list, std::size_t monitors, TimePoint now) {
  std::map<std::string, MonitoredVm> next;
  const VmEntry* own = list.Find(this->self);
  if (own != nullptr) {
    VmList local;
    for (const VmEntry& entry : list.vms) {
      if (entry.data_centre == own->data_centre) {
        local.vms.push_back(entry);
      }
    }
    for (const VmEntry& entry : local.vms) {
      if (entry.id == this->self || !IsMonitorOf(entry.id, *own, local, monitors)) {
        continue;
      }
      std::vector<VmId> vm_monitors = SelectMonitors(entry.id, entry.data_centre, local, monitors);
      MonitoredVm record;
      const auto old = this->monitored.find(entry.id.value);
      if (old != this->monitored.end()) {
        record = std::move(old->second);
      } else {
        record.heard_at = now;
      }
      record.monitors = std::move(vm_monitors);
      next.emplace(entry.id.value, std::move(record));
    }
  }
  this->monitored = std::move(next);
}

void SilenceDetector::RecordHeartbeat(const VmId& vm, TimePoint now) {
  const auto found = this->monitored.find(vm.value);
  if (found != this->monitored.end()) {
    found->second.heard_at = now;
    found->second.reports.erase(this->self);
  }
}

void SilenceDetector::Resume(TimePoint now) {
  for (auto& [vm, record] : this->monitored) {
    record.heard_at = now;
    record.reports.clear();
  }
}

std::vector<SilenceDetector::Silent> SilenceDetector::SilentVms(TimePoint now) const {
  std::vector<Silent> result;
  for (const auto& [vm, record] : this->monitored) {
    if (now - record.heard_at >= this->loss_limit) {
      result.push_back({VmId(vm), record.monitors});
    }
  }
  return result;
}

bool SilenceDetector::RecordReport(const VmId& reporter, const SilentVm& report, TimePoint now) {
  const auto found = this->monitored.find(report.vm.value);
  if (found == this->monitored.end()) {
    return false;
  }
  MonitoredVm& record = found->second;
  if (std::find(record.monitors.begin(), record.monitors.end(), reporter) ==
      record.monitors.end()) {
    return false;
  }
  record.reports[reporter] = {report.incarnation, now};
  if (reporter == this->self) {
    record.own_reported_incarnation = report.incarnation;
  }
  std::size_t agreeing = 0;
  for (const auto& [monitor, noted] : record.reports) {
    const bool counted =
        std::find(record.monitors.begin(), record.monitors.end(), monitor) != record.monitors.end();
    if (counted && noted.first == report.incarnation && now - noted.second <= this->report_limit) {
      ++agreeing;
    }
  }
  return agreeing * 2 > record.monitors.size();
}

bool SilenceDetector::MayAcknowledge(const VmId& vm, Incarnation incarnation) const {
  const auto found = this->monitored.find(vm.value);
  if (found == this->monitored.end() || !found->second.own_reported_incarnation) {
    return true;
  }
  return incarnation > *found->second.own_reported_incarnation;
}

}  // namespace ibishold
