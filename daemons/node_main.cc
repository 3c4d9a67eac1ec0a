#include <cstdlib>
#include <iostream>

#include "node/node_life.h"
#include "platform/translation.h"

int main(int argc, char** argv) {
  using ibishold::native::Translation;
  const char* path = argc > 1 ? argv[1] : std::getenv(ibishold::native::kSettingsVariable);
  if (path == nullptr) {
    std::cerr << "usage: ibishold-node [SETTINGS]; or set " << ibishold::native::kSettingsVariable
              << "\n";
    return 2;
  }
  auto settings = Translation::LoadSettings(path);
  if (!settings.ok()) {
    std::cerr << "ibishold-node: " << settings.status().message() << "\n";
    return 2;
  }
  ibishold::NodeOptions options;
  options.coordinator.tracker.data_centre = settings->data_centre;
  // A tenth of the contract's ratio is left for VMs whose views of the fleet differ.
  constexpr double kRatioUsed = 0.9;
  options.coordinator.extra_sends.slack = settings->extra_send_slack;
  options.coordinator.extra_sends.window = settings->extra_send_window;
  options.coordinator.extra_sends.share = kRatioUsed * settings->extra_send_ratio;
  ibishold::Node<Translation> node(*std::move(settings), path, options);
  const absl::Status status = node.Start();
  if (!status.ok()) {
    std::cerr << "ibishold-node: " << status.message() << "\n";
    return 1;
  }
  node.Run();
  return 0;
}
