#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "node/node_lifecycle.h"
#include "platform/translation.h"

namespace {

// By default, glibc keeps ever larger freed blocks in the heap, up to 64 MB: more than half of the
// memory of a small VM after replies of several MB.
void ReturnFreedMemoryAtOnce() {
  constexpr int kThresholdBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kThresholdBytes);
}

}  // namespace

int main(int argc, char** argv) {
  ReturnFreedMemoryAtOnce();
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
  // Share of the contract's ratio of extra attempts that is used. The rest is a margin for VMs
  // whose views of the fleet differ.
  constexpr double kRatioUsed = 0.9;
  // Shares of the process's memory limit: for all replies of leaves and peers while they are
  // received, for the largest such reply, and for the requests of callers. The rest is left for the
  // state and the answers.
  constexpr double kReplyShare = 0.25;
  constexpr double kLargestReplyShare = 1.0 / 16;
  constexpr double kCallersShare = 0.125;
  const double memory_bytes = settings->memory_mb * (1U << 20U);
  options.pool.connection.memory = std::make_shared<ibishold::ReplyMemoryLimiter>(
      static_cast<std::size_t>(kReplyShare * memory_bytes));
  options.pool.connection.body_limit =
      std::min(options.pool.connection.body_limit,
               static_cast<std::uint64_t>(kLargestReplyShare * memory_bytes));
  options.caller_request_bytes_limit = static_cast<std::size_t>(kCallersShare * memory_bytes);
  constexpr double kBytesPerMegabit = 125000;
  if (settings->link_mbps > 0) {
    options.caller_path.link_bytes_per_second = settings->link_mbps * kBytesPerMegabit;
  }
  options.coordinator.extra_attempts.slack = settings->extra_attempt_slack;
  options.coordinator.extra_attempts.window = settings->extra_attempt_window;
  options.coordinator.extra_attempts.share = kRatioUsed * settings->extra_attempt_ratio;
  ibishold::Node<Translation> node(*std::move(settings), path, options);
  const absl::Status status = node.Start();
  if (!status.ok()) {
    std::cerr << "ibishold-node: " << status.message() << "\n";
    return 1;
  }
  node.Run();
  return 0;
}
