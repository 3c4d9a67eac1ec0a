#include <capnp/message.h>

#include <utility>

#include "broker/link_manager.h"

namespace ibishold {

namespace {

constexpr std::size_t kPeerQueueLimit = 1024;  // messages queued for one VM
// A queued message is dropped after this time.
constexpr Duration kPeerMessageLifetime = std::chrono::seconds(3);
// Queued messages are retried at this interval while their links are being opened.
constexpr Duration kPeerRetryInterval = std::chrono::milliseconds(50);
constexpr std::size_t kQuarantineFanOut = 6;  // brokers to which this one sends each report

std::uint64_t RoundUpToMilliseconds(Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(std::max(duration, Duration{})).count());
}

}  // namespace

// Messages to a VM are queued until its link is open. They keep their order, because an older level
// of a leaf must not replace a newer one.
void LinkManager::SendToPeer(const VmId& vm, PeerMessage message) {
  std::deque<WaitingMessage>& queue = this->waiting_messages[vm];
  if (queue.size() >= kPeerQueueLimit) {
    queue.pop_front();
  }
  queue.push_back(
      {.message = std::move(message), .expires = BootClock::now() + kPeerMessageLifetime});
  this->FlushPeerMessages(vm, queue);
  if (queue.empty()) {
    this->waiting_messages.erase(vm);
  } else {
    this->ScheduleRetry();
  }
}

void LinkManager::FlushPeerMessages(const VmId& vm, std::deque<WaitingMessage>& queue) {
  const ControlViewPtr view = this->options.view();
  const VmEntry* vm_entry = view && view->vms ? view->vms->Find(vm) : nullptr;
  if (vm_entry == nullptr) {
    queue.clear();
    return;
  }
  const TimePoint now = BootClock::now();
  while (!queue.empty() && queue.front().expires <= now) {
    queue.pop_front();
  }
  if (queue.empty()) {
    return;
  }
  const FrameLinkPtr link = this->peer_links.Get(vm_entry->address, this->options.link_port);
  while (link && !queue.empty()) {
    capnp::MessageBuilder& message = *queue.front().message;
    message.getRoot<wire::Frame>().setCorrelation(link->AllocateCorrelation());
    link->Send(message).IgnoreError();
    queue.pop_front();
  }
}

void LinkManager::ScheduleRetry() {
  if (std::exchange(this->retry_scheduled, true)) {
    return;
  }
  this->retry_timer.expires_after(kPeerRetryInterval);
  this->retry_timer.async_wait([this](boost::system::error_code error) {
    this->retry_scheduled = false;
    if (error) {
      return;
    }
    for (auto& [vm, queue] : this->waiting_messages) {
      this->FlushPeerMessages(vm, queue);
    }
    std::erase_if(this->waiting_messages, [](const auto& entry) { return entry.second.empty(); });
    if (!this->waiting_messages.empty()) {
      this->ScheduleRetry();
    }
  });
}

void LinkManager::SendLevel(const PeerLeafLevel& level) {
  auto builder = std::make_unique<capnp::MallocMessageBuilder>();
  auto state = builder->initRoot<wire::Frame>().getBody().initLeafState();
  state.setLeaf(level.leaf.value);
  state.setIncarnation(level.level.incarnation);
  state.setLevel(level.level.level);
  state.setReport(level.level.report);
  state.setEcho(level.level.echo);
  state.setWarm(level.level.warm);
  this->SendToPeer(level.vm, std::move(builder));
}

void LinkManager::SendRelease(const PeerSlotRelease& release) {
  auto builder = std::make_unique<capnp::MallocMessageBuilder>();
  auto body = builder->initRoot<wire::Frame>().getBody().initSlotRelease();
  body.setLeaf(release.leaf.value);
  body.setSlots(release.slots);
  body.setPrimary(release.primary);
  this->SendToPeer(release.vm, std::move(builder));
}

void LinkManager::SendQuarantine(const PeerQuarantine& quarantined) {
  const auto build_message = [&quarantined] {
    auto builder = std::make_unique<capnp::MallocMessageBuilder>();
    auto body = builder->initRoot<wire::Frame>().getBody().initQuarantine();
    const std::vector<std::uint64_t>& alone_crashes = quarantined.report.alone_crashes;
    body.setFingerprint(quarantined.report.fingerprint);
    body.setCrashes(static_cast<std::uint32_t>(alone_crashes.size()));
    body.setTtlMillis(RoundUpToMilliseconds(quarantined.refused_for));
    body.setCrashAgeMillis(RoundUpToMilliseconds(quarantined.report.crash_age));
    auto crash_ids = body.initAloneCrashes(static_cast<unsigned>(alone_crashes.size()));
    for (unsigned i = 0; i < crash_ids.size(); ++i) {
      crash_ids.set(i, alone_crashes[i]);
    }
    return builder;
  };
  for (const auto& [id, front] : this->links) {
    const FrameLinkPtr link = front.link.lock();
    if (link && link->peer_role() == wire::Hello::Role::FRONT) {
      const auto builder = build_message();
      builder->getRoot<wire::Frame>().setCorrelation(link->AllocateCorrelation());
      link->Send(*builder).IgnoreError();
    }
  }
  const ControlViewPtr view = this->options.view();
  if (!view || !view->vms) {
    return;
  }
  std::vector<VmId> live_peers;
  for (const VmEntry& vm : view->vms->vms) {
    if (vm.state == VmState::kLive && vm.id != this->options.vm) {
      live_peers.push_back(vm.id);
    }
  }
  // Each VM that learns something new from a report forwards it, so a few random receivers are
  // enough to reach the whole fleet.
  for (std::size_t i = 0; i < kQuarantineFanOut && !live_peers.empty(); ++i) {
    const std::size_t index = this->random.NextBelow(live_peers.size());
    this->SendToPeer(live_peers[index], build_message());
    live_peers.erase(live_peers.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

}  // namespace ibishold
