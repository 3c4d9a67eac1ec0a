#include "front/front_links.h"

#include <algorithm>
#include <utility>

#include "front/frames.h"

namespace ibishold {

namespace {

constexpr Duration kSuccessorConnectLimit = std::chrono::seconds(1);  // per candidate
constexpr Duration kHandOverPollInterval = std::chrono::milliseconds(20);

}  // namespace

FrontLinks::FrontLinks(boost::asio::io_context& context,
                       const FrontProcessOptions& options,
                       FrontCore& core,
                       std::function<void()> run_actions)
    : options(options),
      core(core),
      run_actions(std::move(run_actions)),
      link_server(context, options.link),
      link_pool(context, options.link),
      hand_over_timer(context) {
  this->link_pool.Start(
      [this](FrameLink& link, wire::Frame::Reader frame) { this->OnFrame(link, frame); },
      [this](FrameLink& link, const absl::Status&) { this->OnLinkClosed(link); });
}

absl::Status FrontLinks::Listen() {
  return this->link_server.Listen(
      this->options.address, this->options.ports.front_link,
      [this](FrameLink& link, wire::Frame::Reader frame) { this->OnFrame(link, frame); },
      [this](FrameLink& link, const absl::Status&) { this->OnLinkClosed(link); });
}

void FrontLinks::SetView(const ControlViewPtr& next_view) {
  this->view = next_view;
  this->vm_addresses.clear();
  if (next_view->vms) {
    for (const VmEntry& vm : next_view->vms->vms) {
      this->vm_addresses[vm.id.value] = vm.address;
    }
  }
}

void FrontLinks::PerformAction(const ForwardExecute& forward) {
  const TimePoint now = BootClock::now();
  const FrameLinkPtr link = this->GetLink(forward.home);
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
  this->pending_forwards[forward.forward_id] = link.get();
}

void FrontLinks::PerformAction(const ForwardResult& result) {
  const auto found_origin = this->forward_origins.find(result.waiter_id);
  if (found_origin == this->forward_origins.end()) {
    return;
  }
  const ForwardOrigin origin = std::move(found_origin->second);
  this->forward_origins.erase(found_origin);
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(origin.correlation);
  WriteExecuteResult(result.result, frame.getBody().initExecuteResult());
  origin.link->Send(message).IgnoreError();
}

void FrontLinks::PerformAction(const SendHandOver& hand_over) {
  if (!this->successor_link) {
    return;
  }
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(this->successor_link->AllocateCorrelation());
  WriteHandOver(hand_over.part, frame.getBody().initTokenHandOver());
  if (this->successor_link->Send(message).ok()) {
    ++this->unacknowledged_parts;
  }
}

void FrontLinks::BeginHandOver() {
  if (!this->view || !this->view->vms) {
    this->hand_over_finished = true;
    return;
  }
  std::vector<const VmEntry*> candidate_vms;
  for (const VmEntry& vm : this->view->vms->vms) {
    if (vm.id != this->options.core.vm && vm.state == VmState::kLive &&
        !this->view->lost_vms.contains(vm.id)) {
      candidate_vms.push_back(&vm);
    }
  }
  // Candidates in this data centre come first. Within a data centre, the rendezvous score spreads
  // stopping fronts over different successors.
  std::sort(candidate_vms.begin(), candidate_vms.end(), [this](const VmEntry* a, const VmEntry* b) {
    const auto compute_sort_key = [this](const VmEntry* vm) {
      return std::make_pair(vm->data_centre != this->options.core.data_centre,
                            ~RendezvousScore(this->options.core.vm.value, vm->id.value));
    };
    return compute_sort_key(a) < compute_sort_key(b);
  });
  for (const VmEntry* vm : candidate_vms) {
    this->successor_candidates.push_back(vm->id);
  }
  std::reverse(this->successor_candidates.begin(),
               this->successor_candidates.end());  // best candidate last
  this->candidate_connect_deadline = BootClock::now() + kSuccessorConnectLimit;
  this->PollHandOver();
}

void FrontLinks::PollHandOver() {
  const TimePoint now = BootClock::now();
  if (this->successor_link) {
    this->hand_over_finished = this->unacknowledged_parts == 0 || this->successor_link->closed();
  } else if (this->successor_candidates.empty()) {
    this->hand_over_finished = true;
  } else {
    const VmId vm = this->successor_candidates.back();
    const FrameLinkPtr link = this->GetLink(vm);
    if (link && link->peer_incarnation() != 0) {  // the hello states the incarnation
      this->successor_link = link;
      this->core.HandOverTokens({.vm = vm, .incarnation = link->peer_incarnation()}, now);
      this->run_actions();
    } else if (now >= this->candidate_connect_deadline) {
      this->successor_candidates.pop_back();
      this->candidate_connect_deadline = now + kSuccessorConnectLimit;
    }
  }
  this->hand_over_timer.expires_after(kHandOverPollInterval);
  this->hand_over_timer.async_wait([this](boost::system::error_code error) {
    if (!error && !this->hand_over_finished) {
      this->PollHandOver();
    }
  });
}

void FrontLinks::Close() {
  this->hand_over_timer.cancel();
  this->link_server.Close();
  this->link_pool.CloseAll(absl::UnavailableError("front is stopping"));
  // Accepted links stay open until the process exits.
}

void FrontLinks::OnFrame(FrameLink& link, wire::Frame::Reader frame) {
  const auto body = frame.getBody();
  switch (body.which()) {
    case wire::Frame::Body::EXECUTE:
      this->OnExecute(link, frame.getCorrelation(), body.getExecute());
      break;
    case wire::Frame::Body::EXECUTE_RESULT:
      this->pending_forwards.erase(frame.getCorrelation());
      this->core.OnForwardedResult(frame.getCorrelation(),
                                   ReadExecuteResult(body.getExecuteResult()), BootClock::now());
      break;
    case wire::Frame::Body::TOKEN_HAND_OVER:
      this->OnHandOver(link, frame.getCorrelation(), body.getTokenHandOver());
      break;
    case wire::Frame::Body::ACKNOWLEDGE:
      this->unacknowledged_parts -= this->unacknowledged_parts > 0 ? 1 : 0;
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
  this->forward_origins[waiter] = {.link = link.shared_from_this(), .correlation = correlation};
}

void FrontLinks::OnHandOver(FrameLink& link,
                            std::uint64_t correlation,
                            wire::TokenHandOver::Reader part) {
  const FrontRun sender{.vm = link.peer_vm(), .incarnation = link.peer_incarnation()};
  const FrontRun receiver{.vm = this->options.core.vm, .incarnation = this->options.incarnation};
  // A rejected part is acknowledged too. The sender cannot switch to another successor, so without
  // the acknowledgement two fronts that stop at the same time would wait for each other. Requests
  // with the rejected tokens get the verdict may_have_run.
  if (this->core.OnTokenHandOver(ReadHandOver(part, sender, receiver), BootClock::now()).ok()) {
    this->hand_over_senders.insert(&link);
  }
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(correlation);
  frame.getBody().setAcknowledge();
  link.Send(message).IgnoreError();
}

void FrontLinks::OnLinkClosed(FrameLink& link) {
  const TimePoint now = BootClock::now();
  std::vector<std::uint64_t> lost_forwards;
  for (const auto& [forward, used_link] : this->pending_forwards) {
    if (used_link == &link) {
      lost_forwards.push_back(forward);
    }
  }
  for (const std::uint64_t forward : lost_forwards) {
    this->pending_forwards.erase(forward);
    this->core.OnForwardLost(forward, now);
  }
  std::erase_if(this->forward_origins, [&link](const auto& waiter_and_origin) {
    return waiter_and_origin.second.link.get() == &link;
  });
  if (this->hand_over_senders.erase(&link) > 0) {
    this->core.OnSenderStopped({.vm = link.peer_vm(), .incarnation = link.peer_incarnation()}, now);
  }
  this->run_actions();
}

FrameLinkPtr FrontLinks::GetLink(const VmId& vm) {
  const auto found_address = this->vm_addresses.find(vm.value);
  return found_address == this->vm_addresses.end()
             ? nullptr
             : this->link_pool.Get(found_address->second, this->options.ports.front_link);
}

}  // namespace ibishold
