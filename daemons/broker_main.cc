#include <atomic>
#include <iostream>

#include "broker/control_report.h"
#include "ibishold/broker.h"
#include "ibishold/control.h"
#include "ibishold/daemon.h"
#include "ibishold/metrics.h"

namespace {

int Run(const ibishold::Settings& settings, const ibishold::BrokerSettings& limits) {
  using namespace ibishold;  // NOLINT(google-build-using-namespace): one function of a main file
  ConfigureLogging(settings.log_level, settings.vm, "broker");
  const log4cxx::LoggerPtr logger = GetLogger("main");
  Metrics metrics;
  const Incarnation incarnation = MakeIncarnation();
  std::unique_ptr<Broker> broker;

  ControlOptions control_options;
  control_options.vm = settings.vm;
  control_options.data_centre = settings.data_centre;
  control_options.address = settings.address;
  control_options.gossip_port = settings.ports.broker_gossip;
  control_options.link_port = settings.ports.broker_link;
  control_options.platform_address = settings.platform_address;
  control_options.platform_port = settings.platform_port;
  control_options.incarnation = incarnation;
  control_options.seed_addresses = settings.peers;
  DocumentAlarm alarm;
  control_options.on_alarm = [&alarm, logger](const std::string& reason) {
    alarm.SetReason(reason);
    LOG4CXX_WARN(logger, "document alarm: " + reason);
  };
  control_options.on_view_change = [&broker](ControlViewPtr view) {
    broker->OnView(std::move(view));
  };
  ControlThread control(control_options);

  BrokerOptions options;
  options.vm = settings.vm;
  options.address = settings.address;
  options.link_port = settings.ports.broker_link;
  options.incarnation = incarnation;
  options.settings = limits;
  options.metrics = &metrics;
  options.hold_until = [&control] { return control.hold_until(); };
  options.view = [&control] { return control.view(); };
  options.on_successor = [&control, vm = settings.vm](const TokenHomeRun& home) {
    const ControlViewPtr view = control.view();
    const auto reported = view->successors.find(home);
    // If another VM was the previous successor of this home, the new report needs a higher hop
    // count than that VM's report, so that it takes precedence.
    const bool on_this_vm = reported != view->successors.end() && reported->second.vm == vm;
    const std::uint32_t hops =
        reported == view->successors.end() ? 1 : reported->second.hops + !on_this_vm;
    control.AnnounceSuccessor(home, {.vm = vm, .hops = hops});
  };
  broker = std::make_unique<Broker>(options);

  std::atomic<bool> stopped{false};
  std::atomic<bool> stopping{false};
  OperatorServer operators;
  operators.AddHandler("/metrics", [&metrics, &control] {
    ExportControlMetrics(control, metrics);
    return OperatorReply{.content_type = "text/plain; version=0.0.4",
                         .body = metrics.SerializeText()};
  });
  operators.AddHandler("/healthz", [] { return OperatorReply{.body = "{\"alive\":true}"}; });
  operators.AddHandler("/ready", [&control, &stopping] {
    const ControlViewPtr view = control.view();
    const bool ready = !stopping && view->ready;
    return OperatorReply{.status = ready ? 200 : 503,
                         .body = ready ? "{\"ready\":true}" : "{\"ready\":false}"};
  });
  operators.AddHandler("/debug/control", [&control, &alarm] {
    return OperatorReply{.body = ControlStateJson(control, alarm.GetReason())};
  });
  operators.AddHandler("/debug/state",
                       [&broker] { return OperatorReply{.body = broker->StateJson()}; });

  for (const absl::Status& status :
       {control.Start(), broker->Start(),
        operators.Start(settings.address, settings.ports.broker_operator)}) {
    if (!status.ok()) {
      LOG4CXX_ERROR(logger, std::string(status.message()));
      return kExitFailed;
    }
  }
  LOG4CXX_INFO(logger, "started on " + settings.address);
  RunUntilStopped(
      [&] {
        LOG4CXX_INFO(logger, "planned stop begins");
        stopping = true;
        // BeginStop comes first: otherwise the broker could see a view in which this VM is leaving
        // before its stop begins, and would release its slots at once.
        broker->BeginStop([&stopped] { stopped = true; });
        control.AnnounceLeaving();
      },
      stopped);
  control.Stop();
  broker->Stop();
  operators.Stop();
  LOG4CXX_INFO(logger, "stopped");
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  const ibishold::DaemonCommandLine command =
      ibishold::ParseDaemonCommandLine(argc, argv, "ibishold-broker");
  if (command.exit_code >= 0) {
    return command.exit_code;
  }
  const auto settings = ibishold::LoadSettings(command.settings_path);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return ibishold::kExitUsage;
  }
  const auto limits = ibishold::ParseBrokerSettings(settings->broker);
  if (!limits.ok()) {
    std::cerr << limits.status().message() << "\n";
    return ibishold::kExitUsage;
  }
  if (command.check_only) {
    std::cout << "settings are valid\n";
    return ibishold::kExitOk;
  }
  return Run(*settings, *limits);
}
