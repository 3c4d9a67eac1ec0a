#include "front/front_links.h"

#include <algorithm>
#include <utility>

#include "front/frames.h"

namespace ibishold {

namespace {

constexpr Duration kHandOverTry = std::chrono::seconds(1);  // for one successor to be reached
constexpr Duration kHandOverPoll = std::chrono::milliseconds(20);

}  // namespace

FrontLinks::FrontLinks(boost::asio::io_context& context,
                       const FrontProcessOptions& options,
                       FrontCore& core,
                       std::function<void()> run_actions)
    : options(options),
      core(core),
      run_actions(std::move(run_actions)),
      server(context, options.link),
      pool(context, options.link),
      timer(context) {
  this->pool.Start(
      [this](FrameLink& link, wire::Frame::Reader frame) { this->OnFrame(link, frame); },
      [this](FrameLink& link, const absl::Status&) { this->OnClosed(link); });
}

absl::Status FrontLinks::Listen() {
  return this->server.Listen(
      this->options.address, this->options.ports.front_link,
      [this](FrameLink& link, wire::Frame::Reader frame) { this->OnFrame(link, frame); },
      [this](FrameLink& link, const absl::Status&) { this->OnClosed(link); });
}

void FrontLinks::SetView(const ControlViewPtr& next) {
  this->view = next;
  this->addresses.clear();
  if (next->vms) {
    for (const VmEntry& vm : next->vms->vms) {
      this->addresses[vm.id.value] = vm.address;
    }
  }
}

void FrontLinks::Carry(const ForwardExecute& forward) {
  const TimePoint now = BootClock::now();
  const FrameLinkPtr link = this->LinkTo(forward.home);
  if (!link) {
    this->core.OnForwardNotSent(forward.forward_id, now);
    return;
  }
  capnp::MallocMessageBuilder message;
  WriteExecute(forward, now, message.initRoot<wire::Frame>());
  if (!link->Send(message).ok()) {
    this->core.OnForwardNotSent(forward.forward_id, now);
    return;
  }
  this->forwards[forward.forward_id] = link.get();
}

void FrontLinks::Carry(const ForwardResult& result) {
  const auto found = this->origins.find(result.waiter_id);
  if (found == this->origins.end()) {
    return;
  }
  const Origin origin = std::move(found->second);
  this->origins.erase(found);
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(origin.correlation);
  WriteExecuteResult(result.result, frame.getBody().initExecuteResult());
  origin.link->Send(message).IgnoreError();
}

void FrontLinks::Carry(const SendHandOver& hand_over) {
  if (!this->successor_link) {
    return;
  }
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(this->successor_link->NextCorrelation());
  WriteHandOver(hand_over.part, frame.getBody().initTokenHandOver());
  if (this->successor_link->Send(message).ok()) {
    ++this->unacknowledged;
  }
}

void FrontLinks::BeginHandOver() {
  if (!this->view || !this->view->vms) {
    this->done = true;
    return;
  }
  std::vector<const VmEntry*> others;
  for (const VmEntry& vm : this->view->vms->vms) {
    if (vm.id != this->options.core.vm && vm.state == VmState::kLive &&
        !this->view->lost_vms.contains(vm.id)) {
      others.push_back(&vm);
    }
  }
  // Nearby first; then by score, so that stopping fronts do not all choose the same successor.
  std::sort(others.begin(), others.end(), [this](const VmEntry* a, const VmEntry* b) {
    const auto rank = [this](const VmEntry* vm) {
      return std::make_pair(vm->data_centre != this->options.core.data_centre,
                            ~RendezvousScore(this->options.core.vm.value, vm->id.value));
    };
    return rank(a) < rank(b);
  });
  for (const VmEntry* vm : others) {
    this->successors.push_back(vm->id);
  }
  std::reverse(this->successors.begin(), this->successors.end());  // the best one is at the back
  this->try_until = BootClock::now() + kHandOverTry;
  this->PollHandOver();
}

void FrontLinks::PollHandOver() {
  const TimePoint now = BootClock::now();
  if (this->successor_link) {
    this->done = this->unacknowledged == 0 || this->successor_link->closed();
  } else if (this->successors.empty()) {
    this->done = true;
  } else {
    const VmId vm = this->successors.back();
    const FrameLinkPtr link = this->LinkTo(vm);
    if (link && link->peer_incarnation() != 0) {  // the hello names the run that takes over
      this->successor_link = link;
      this->core.HandOverTokens({.vm = vm, .incarnation = link->peer_incarnation()}, now);
      this->run_actions();
    } else if (now >= this->try_until) {
      this->successors.pop_back();
      this->try_until = now + kHandOverTry;
    }
  }
  this->timer.expires_after(kHandOverPoll);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (!error && !this->done) {
      this->PollHandOver();
    }
  });
}

void FrontLinks::Close() {
  this->timer.cancel();
  this->server.Close();
  this->pool.CloseAll(absl::UnavailableError("front stops"));
  // Links that other fronts opened close with the process.
}

void FrontLinks::OnFrame(FrameLink& link, wire::Frame::Reader frame) {
  const auto body = frame.getBody();
  switch (body.which()) {
    case wire::Frame::Body::EXECUTE:
      this->OnExecute(link, frame.getCorrelation(), body.getExecute());
      break;
    case wire::Frame::Body::EXECUTE_RESULT:
      this->forwards.erase(frame.getCorrelation());
      this->core.OnForwardedResult(frame.getCorrelation(),
                                   ReadExecuteResult(body.getExecuteResult()), BootClock::now());
      break;
    case wire::Frame::Body::TOKEN_HAND_OVER:
      this->OnHandOver(link, frame.getCorrelation(), body.getTokenHandOver());
      break;
    case wire::Frame::Body::ACKNOWLEDGE:
      this->unacknowledged -= this->unacknowledged > 0 ? 1 : 0;
      break;
    default:
      return;
  }
  this->run_actions();
}

void FrontLinks::OnExecute(FrameLink& link,
                           std::uint64_t correlation,
                           wire::Execute::Reader execute) {
  const TimePoint now = BootClock::now();
  const std::uint64_t waiter = this->core.OnForwardedRequest(ReadExecute(execute, now), now);
  this->origins[waiter] = {.link = link.shared_from_this(), .correlation = correlation};
}

void FrontLinks::OnHandOver(FrameLink& link,
                            std::uint64_t correlation,
                            wire::TokenHandOver::Reader part) {
  const FrontRun sender{.vm = link.peer_vm(), .incarnation = link.peer_incarnation()};
  const FrontRun self{.vm = this->options.core.vm, .incarnation = this->options.incarnation};
  // A refused part is acknowledged too: the sender may choose no other successor, and two fronts
  // that stop at the same time would wait for each other. Its tokens then answer may_have_run.
  if (this->core.OnTokenHandOver(ReadHandOver(part, sender, self), BootClock::now()).ok()) {
    this->senders.insert(&link);
  }
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(correlation);
  frame.getBody().setAcknowledge();
  link.Send(message).IgnoreError();
}

void FrontLinks::OnClosed(FrameLink& link) {
  const TimePoint now = BootClock::now();
  std::vector<std::uint64_t> lost;
  for (const auto& [forward, sent_on] : this->forwards) {
    if (sent_on == &link) {
      lost.push_back(forward);
    }
  }
  for (const std::uint64_t forward : lost) {
    this->forwards.erase(forward);
    this->core.OnForwardLost(forward, now);
  }
  std::erase_if(this->origins,
                [&link](const auto& item) { return item.second.link.get() == &link; });
  if (this->senders.erase(&link) > 0) {
    this->core.OnSenderStopped({.vm = link.peer_vm(), .incarnation = link.peer_incarnation()}, now);
  }
  this->run_actions();
}

FrameLinkPtr FrontLinks::LinkTo(const VmId& vm) {
  const auto found = this->addresses.find(vm.value);
  return found == this->addresses.end()
             ? nullptr
             : this->pool.Get(found->second, this->options.ports.front_link);
}

}  // namespace ibishold
