#include "broker/control_report.h"

#include <boost/json.hpp>

namespace ibishold {

namespace json = boost::json;

namespace {

template <typename Document>
std::uint64_t GetGeneration(const std::shared_ptr<const Document>& document) {
  return document ? document->generation : 0;
}

// Returns the time in milliseconds for which this VM may still start leaf work. A VM without
// monitors has no limit.
std::int64_t GetRemainingHoldMs(const ControlThread& control) {
  const Duration time_left = control.hold_until() - BootClock::now();
  return std::max<std::int64_t>(
      0, std::chrono::duration_cast<std::chrono::milliseconds>(time_left).count());
}

}  // namespace

void DocumentAlarm::SetReason(const std::string& new_reason) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->reason = new_reason;
}

std::string DocumentAlarm::GetReason() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->reason;
}

std::string ControlStateJson(const ControlThread& control, const std::string& alarm) {
  const ControlViewPtr view = control.view();
  const ControlCounters counters = control.counters();
  json::array lost_vms;
  for (const VmId& vm : view->lost_vms) {
    lost_vms.emplace_back(vm.value);
  }
  return json::serialize(
      json::object{{"ready", view->ready},
                   {"may_hold_slots", GetRemainingHoldMs(control) > 0},
                   {"generations", json::object{{"topology", GetGeneration(view->topology)},
                                                {"table", GetGeneration(view->table)},
                                                {"vms", GetGeneration(view->vms)}}},
                   {"lost_vms", std::move(lost_vms)},
                   {"documents_refused", counters.documents_refused},
                   {"document_conflicts", counters.document_conflicts},
                   {"latest_alarm", alarm},
                   {"platform_calls", counters.platform_calls},
                   {"documents_fetched", counters.documents_fetched}});
}

void ExportControlMetrics(const ControlThread& control, Metrics& metrics) {
  const ControlViewPtr view = control.view();
  const ControlCounters counters = control.counters();
  const auto set_gauge = [&metrics](const char* name, const char* help, double value) {
    metrics.AddGauge(name, help).Set(value);
  };
  const auto to_double = [](std::uint64_t value) { return static_cast<double>(value); };
  set_gauge("ibishold_control_topology_generation", "Topology in force",
            to_double(GetGeneration(view->topology)));
  set_gauge("ibishold_control_table_generation", "Table in force",
            to_double(GetGeneration(view->table)));
  set_gauge("ibishold_control_vms_generation", "VM list in force",
            to_double(GetGeneration(view->vms)));
  set_gauge("ibishold_control_may_hold_slots", "1 if this VM may start leaf work",
            GetRemainingHoldMs(control) > 0 ? 1 : 0);
  set_gauge("ibishold_control_lost_vms", "VMs that their monitors cannot reach",
            to_double(view->lost_vms.size()));
  set_gauge("ibishold_control_documents_refused", "Documents refused since start",
            to_double(counters.documents_refused));
  set_gauge("ibishold_control_document_conflicts", "Two texts of one generation since start",
            to_double(counters.document_conflicts));
  set_gauge("ibishold_control_platform_calls", "Calls to the platform since start",
            to_double(counters.platform_calls));
  set_gauge("ibishold_control_datagram_bytes_sent", "Heartbeat bytes sent since start",
            to_double(counters.datagram_bytes_sent));
  set_gauge("ibishold_control_datagram_bytes_received", "Heartbeat bytes received since start",
            to_double(counters.datagram_bytes_received));
}

}  // namespace ibishold
