#include <iostream>

#include "ibishold/daemon.h"
#include "ibishold/front_process.h"

namespace {

using namespace ibishold;

void AddOperatorPages(OperatorServer& server, const FrontProcess& front, const Metrics& metrics) {
  server.AddHandler("/healthz", [] { return OperatorReply{.body = R"({"healthy":true})"}; });
  server.AddHandler("/ready", [&front] {
    const bool ready = front.ready();
    return OperatorReply{.status = ready ? 200 : 503,
                         .body = ready ? R"({"ready":true})" : R"({"ready":false})"};
  });
  server.AddHandler("/metrics", [&metrics] {
    return OperatorReply{.content_type = "text/plain; version=0.0.4",
                         .body = metrics.SerializeText()};
  });
  server.AddHandler("/debug/state", [&front] { return OperatorReply{.body = front.DebugState()}; });
}

}  // namespace

int main(int argc, char** argv) {
  const DaemonCommandLine command = ParseDaemonCommandLine(argc, argv, "ibishold-front");
  if (command.exit_code >= 0) {
    return command.exit_code;
  }
  const absl::StatusOr<Settings> settings = LoadSettings(command.settings_path);
  const absl::StatusOr<FrontProcessOptions> options =
      settings.ok() ? ReadFrontSettings(*settings) : settings.status();
  if (!options.ok()) {
    std::cerr << "ibishold-front: " << options.status().message() << "\n";
    return kExitUsage;
  }
  if (command.check_only) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  ConfigureLogging(settings->log_level, settings->vm, "front");
  const log4cxx::LoggerPtr logger = GetLogger("main");

  Metrics metrics;
  FrontProcess front(*options, metrics);
  OperatorServer operators;
  AddOperatorPages(operators, front, metrics);
  absl::Status status = front.Start();
  if (status.ok()) {
    status = operators.Start(settings->address, settings->ports.front_operator);
  }
  if (!status.ok()) {
    LOG4CXX_ERROR(logger, "cannot start: " << std::string(status.message()));
    return kExitFailed;
  }
  LOG4CXX_INFO(logger,
               "serving callers on " << settings->address << ":" << settings->ports.front_http);
  RunUntilStopped(
      [&] {
        LOG4CXX_INFO(logger, "planned stop begins");
        front.BeginStop();
      },
      front.stopped());
  LOG4CXX_INFO(logger, "stopped");
  return kExitOk;
}
