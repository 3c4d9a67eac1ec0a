#include "broker/control_report.h"

#include <boost/json.hpp>

namespace ibishold {

namespace json = boost::json;

namespace {

template <typename Document>
std::uint64_t GenerationOf(const std::shared_ptr<const Document>& document) {
  return document ? document->generation : 0;
}

// Milliseconds for which this VM may still start leaf work; without monitors there is no limit.
std::int64_t HoldMilliseconds(const ControlThread& control) {
  const Duration left = control.hold_until() - BootClock::now();
  return std::max<std::int64_t>(
      0, std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
}

}  // namespace

void DocumentAlarm::Set(const std::string& new_reason) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->reason = new_reason;
}

std::string DocumentAlarm::text() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->reason;
}

std::string ControlStateJson(const ControlThread& control, const std::string& alarm) {
  const ControlViewPtr view = control.view();
  const ControlCounters counters = control.counters();
  json::array lost;
  for (const VmId& vm : view->lost_vms) {
    lost.emplace_back(vm.value);
  }
  return json::serialize(
      json::object{{"ready", view->ready},
                   {"may_hold_slots", HoldMilliseconds(control) > 0},
                   {"generations", json::object{{"topology", GenerationOf(view->topology)},
                                                {"table", GenerationOf(view->table)},
                                                {"vms", GenerationOf(view->vms)}}},
                   {"lost_vms", std::move(lost)},
                   {"documents_refused", counters.documents_refused},
                   {"document_conflicts", counters.document_conflicts},
                   {"latest_alarm", alarm},
                   {"platform_calls", counters.platform_calls},
                   {"documents_fetched", counters.documents_fetched}});
}

void ExportControl(const ControlThread& control, Metrics& metrics) {
  const ControlViewPtr view = control.view();
  const ControlCounters counters = control.counters();
  const auto set = [&metrics](const char* name, const char* help, double value) {
    metrics.AddGauge(name, help).Set(value);
  };
  const auto number = [](std::uint64_t value) { return static_cast<double>(value); };
  set("ibishold_control_topology_generation", "Topology in force",
      number(GenerationOf(view->topology)));
  set("ibishold_control_table_generation", "Table in force", number(GenerationOf(view->table)));
  set("ibishold_control_vms_generation", "VM list in force", number(GenerationOf(view->vms)));
  set("ibishold_control_may_hold_slots", "1 if this VM may start leaf work",
      HoldMilliseconds(control) > 0 ? 1 : 0);
  set("ibishold_control_lost_vms", "VMs that their monitors cannot reach",
      number(view->lost_vms.size()));
  set("ibishold_control_documents_refused", "Documents refused since start",
      number(counters.documents_refused));
  set("ibishold_control_document_conflicts", "Two texts of one generation since start",
      number(counters.document_conflicts));
  set("ibishold_control_platform_calls", "Calls to the platform since start",
      number(counters.platform_calls));
  set("ibishold_control_datagram_bytes_sent", "Heartbeat bytes sent since start",
      number(counters.datagram_bytes_sent));
  set("ibishold_control_datagram_bytes_received", "Heartbeat bytes received since start",
      number(counters.datagram_bytes_received));
}

}  // namespace ibishold
