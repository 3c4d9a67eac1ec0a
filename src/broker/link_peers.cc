#include <capnp/message.h>

#include <utility>

#include "broker/link_duty.h"

namespace ibishold {

namespace {

constexpr std::size_t kPeerQueueLimit = 1024;                   // messages to one VM
constexpr Duration kPeerMessageLife = std::chrono::seconds(3);  // then it is of no use any more
constexpr Duration kPeerRetry = std::chrono::milliseconds(50);  // while a link is being opened
constexpr std::size_t kQuarantinePeers = 6;

std::uint64_t Millis(Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(std::max(duration, Duration{})).count());
}

}  // namespace

// The first message to a VM waits for its link. Messages keep their order, because an older level
// of a leaf must not replace a newer one.
void LinkDuty::SendToPeer(const VmId& vm, PeerMessage message) {
  std::deque<WaitingMessage>& queue = this->waiting[vm];
  if (queue.size() >= kPeerQueueLimit) {
    queue.pop_front();
  }
  queue.push_back({.message = std::move(message), .expires = BootClock::now() + kPeerMessageLife});
  this->FlushPeer(vm, queue);
  if (queue.empty()) {
    this->waiting.erase(vm);
  } else {
    this->ScheduleRetry();
  }
}

void LinkDuty::FlushPeer(const VmId& vm, std::deque<WaitingMessage>& queue) {
  const ControlViewPtr view = this->options.view();
  const VmEntry* entry = view && view->vms ? view->vms->Find(vm) : nullptr;
  if (entry == nullptr) {
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
  const FrameLinkPtr link = this->pool.Get(entry->address, this->options.link_port);
  while (link && !queue.empty()) {
    capnp::MessageBuilder& message = *queue.front().message;
    message.getRoot<wire::Frame>().setCorrelation(link->NextCorrelation());
    link->Send(message).IgnoreError();
    queue.pop_front();
  }
}

void LinkDuty::ScheduleRetry() {
  if (std::exchange(this->retry_scheduled, true)) {
    return;
  }
  this->retry_timer.expires_after(kPeerRetry);
  this->retry_timer.async_wait([this](boost::system::error_code error) {
    this->retry_scheduled = false;
    if (error) {
      return;
    }
    for (auto& [vm, queue] : this->waiting) {
      this->FlushPeer(vm, queue);
    }
    std::erase_if(this->waiting, [](const auto& entry) { return entry.second.empty(); });
    if (!this->waiting.empty()) {
      this->ScheduleRetry();
    }
  });
}

void LinkDuty::SendLevel(const PeerLevel& level) {
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

void LinkDuty::SendRelease(const PeerRelease& release) {
  auto builder = std::make_unique<capnp::MallocMessageBuilder>();
  auto body = builder->initRoot<wire::Frame>().getBody().initSlotRelease();
  body.setLeaf(release.leaf.value);
  body.setSlots(release.slots);
  body.setPrimary(release.primary);
  this->SendToPeer(release.vm, std::move(builder));
}

void LinkDuty::SendQuarantine(const PeerQuarantine& entry) {
  const auto make = [&entry] {
    auto builder = std::make_unique<capnp::MallocMessageBuilder>();
    auto out = builder->initRoot<wire::Frame>().getBody().initQuarantine();
    const std::vector<std::uint64_t>& alone = entry.report.alone_crashes;
    out.setFingerprint(entry.report.fingerprint);
    out.setCrashes(static_cast<std::uint32_t>(alone.size()));
    out.setTtlMillis(Millis(entry.refused_for));
    out.setCrashAgeMillis(Millis(entry.report.crash_age));
    auto names = out.initAloneCrashes(static_cast<unsigned>(alone.size()));
    for (unsigned i = 0; i < names.size(); ++i) {
      names.set(i, alone[i]);
    }
    return builder;
  };
  for (const auto& [id, front] : this->links) {
    const FrameLinkPtr link = front.link.lock();
    if (link && link->peer_role() == wire::Hello::Role::FRONT) {
      const auto builder = make();
      builder->getRoot<wire::Frame>().setCorrelation(link->NextCorrelation());
      link->Send(*builder).IgnoreError();
    }
  }
  const ControlViewPtr view = this->options.view();
  if (!view || !view->vms) {
    return;
  }
  std::vector<VmId> peers;
  for (const VmEntry& vm : view->vms->vms) {
    if (vm.state == VmState::kLive && vm.id != this->options.vm) {
      peers.push_back(vm.id);
    }
  }
  // Each VM that learns something new passes it on, so a few random ones reach the whole fleet.
  for (std::size_t i = 0; i < kQuarantinePeers && !peers.empty(); ++i) {
    const std::size_t pick = this->random.NextBelow(peers.size());
    this->SendToPeer(peers[pick], make());
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

}  // namespace ibishold
