#include "membership/silence_detector.h"

#include <algorithm>
#include <utility>

#include "membership/monitors.h"

namespace ibishold {

namespace {

// Same answer as a search in MonitorsOf. It stops at the first `count` better candidates, which
// keeps a list change cheap for a data centre of hundreds of VMs.
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

void SilenceDetector::SetPublished(const VmList& list, std::size_t monitors, TimePoint now) {
  std::map<std::string, Watched> next;
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
      std::vector<VmId> its_monitors = MonitorsOf(entry.id, entry.data_centre, local, monitors);
      Watched watch;
      const auto old = this->watched.find(entry.id.value);
      if (old != this->watched.end()) {
        watch = std::move(old->second);
      } else {
        watch.heard_at = now;
      }
      watch.monitors = std::move(its_monitors);
      next.emplace(entry.id.value, std::move(watch));
    }
  }
  this->watched = std::move(next);
}

void SilenceDetector::Heard(const VmId& vm, TimePoint now) {
  const auto found = this->watched.find(vm.value);
  if (found != this->watched.end()) {
    found->second.heard_at = now;
    found->second.reports.erase(this->self);
  }
}

void SilenceDetector::Resume(TimePoint now) {
  for (auto& [vm, watch] : this->watched) {
    watch.heard_at = now;
    watch.reports.clear();
  }
}

std::vector<SilenceDetector::Silent> SilenceDetector::SilentVms(TimePoint now) const {
  std::vector<Silent> result;
  for (const auto& [vm, watch] : this->watched) {
    if (now - watch.heard_at >= this->loss_limit) {
      result.push_back({VmId(vm), watch.monitors});
    }
  }
  return result;
}

bool SilenceDetector::Report(const VmId& reporter, const SilentVm& report, TimePoint now) {
  const auto found = this->watched.find(report.vm.value);
  if (found == this->watched.end()) {
    return false;
  }
  Watched& watch = found->second;
  if (std::find(watch.monitors.begin(), watch.monitors.end(), reporter) == watch.monitors.end()) {
    return false;
  }
  watch.reports[reporter] = {report.incarnation, now};
  if (reporter == this->self) {
    watch.own_report = report.incarnation;
  }
  std::size_t agreeing = 0;
  for (const auto& [monitor, noted] : watch.reports) {
    const bool counted =
        std::find(watch.monitors.begin(), watch.monitors.end(), monitor) != watch.monitors.end();
    if (counted && noted.first == report.incarnation && now - noted.second <= this->report_limit) {
      ++agreeing;
    }
  }
  return agreeing * 2 > watch.monitors.size();
}

bool SilenceDetector::MayAcknowledge(const VmId& vm, Incarnation incarnation) const {
  const auto found = this->watched.find(vm.value);
  if (found == this->watched.end() || !found->second.own_report) {
    return true;
  }
  return incarnation > *found->second.own_report;
}

}  // namespace ibishold
