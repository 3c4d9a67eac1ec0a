#include "front/request_duty.h"

#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "front/frames.h"
#include "ibishold/control.h"

namespace ibishold {

namespace {

// Batches use the core's numbers as correlations. Other frames set the highest bit, so that
// removing an unsent batch never removes one of them.
constexpr std::uint64_t kNotABatch = 1ULL << 63U;
constexpr Duration kReportInterval = std::chrono::seconds(5);
constexpr std::size_t kLatencyCache = 1024;  // tenants and classes looked up once

}  // namespace

RequestDuty::RequestDuty(boost::asio::io_context& context,
                         const FrontProcessOptions& options,
                         Metrics& metrics,
                         AnswerHandler on_answer)
    : context(context),
      options(options),
      metrics(metrics),
      on_answer(std::move(on_answer)),
      core(options.core),
      brokers(context, options.link),
      fronts(context, options, this->core, [this] { this->RunActions(); }),
      timer(context),
      tick(context) {}

void RequestDuty::Start() {
  this->brokers.Start(
      [this](FrameLink& link, wire::Frame::Reader frame) { this->OnFrame(link, frame); },
      [this](FrameLink& link, const absl::Status&) { this->OnLinkClosed(link); });
  this->Tick();
}

void RequestDuty::Request(CallerRequest request) {
  this->core.OnRequest(std::move(request), BootClock::now());
  this->RunActions();
}

void RequestDuty::Abandon(std::uint64_t ticket) {
  this->core.OnAbandoned(ticket, BootClock::now());
  this->RunActions();
}

void RequestDuty::Close() {
  this->tick.cancel();
  this->timer.cancel();
  this->fronts.Close();
  this->brokers.CloseAll(absl::UnavailableError("front stops"));
}

std::string RequestDuty::DebugState() const {
  const std::lock_guard lock(this->debug_mutex);
  return this->debug_state;
}

void RequestDuty::OnFrame(FrameLink& link, wire::Frame::Reader frame) {
  const TimePoint now = BootClock::now();
  const auto body = frame.getBody();
  switch (body.which()) {
    case wire::Frame::Body::VIEW:
      this->OnView(body.getView());
      break;
    case wire::Frame::Body::LEAF_ANSWER:
      this->core.OnLeafReply(link.peer_vm(), ReadLeafReply(body.getLeafAnswer()), now);
      break;
    case wire::Frame::Body::QUARANTINE:
      this->core.OnQuarantineReport(ReadQuarantineReport(body.getQuarantine()), now);
      break;
    case wire::Frame::Body::CANCEL_RESULT: {
      const auto result = body.getCancelResult();
      this->core.OnCancelResult(result.getAttempt(), ReadVerdict(result.getVerdict()), now);
      break;
    }
    default:
      break;
  }
  this->RunActions();
}

void RequestDuty::OnLinkClosed(FrameLink& link) {
  const auto found = this->link_vms.find(&link);
  if (found == this->link_vms.end()) {
    return;
  }
  const VmId vm = found->second;
  this->link_vms.erase(found);
  this->core.OnLinkLost(vm, BootClock::now());
  this->RunActions();
}

void RequestDuty::OnView(wire::View::Reader frame) {
  absl::StatusOr<ControlViewPtr> next = ReadView(frame, this->view);
  if (!next.ok()) {
    return;  // the broker accepts documents by the same rules, so this is a version mismatch
  }
  this->view = *std::move(next);
  this->addresses.clear();
  if (this->view->vms) {
    for (const VmEntry& vm : this->view->vms->vms) {
      this->addresses[vm.id.value] = vm.address;
    }
  }
  this->core.SetView(this->view, BootClock::now());
  this->fronts.SetView(this->view);
  this->view_ready = this->view->ready;
  this->WarmLinks();
}

void RequestDuty::RunActions() {
  if (this->running_actions) {
    return;  // called from within an action; the outer loop takes what was left
  }
  this->running_actions = true;
  // Carrying out an action may fail and leave new actions.
  for (std::vector<FrontAction> actions = this->core.TakeActions(); !actions.empty();
       actions = this->core.TakeActions()) {
    for (const FrontAction& action : actions) {
      std::visit([this](const auto& each) { this->Carry(each); }, action);
    }
  }
  this->running_actions = false;
  this->progress = this->core.requests_in_progress();
  this->ArmTimer();
}

void RequestDuty::Carry(const SendBatch& batch) {
  const TimePoint now = BootClock::now();
  const FrameLinkPtr link = this->LinkTo(batch.broker);
  if (!link) {
    this->core.OnNotSent(batch, now);
    return;
  }
  capnp::MallocMessageBuilder message;
  WriteBatch(batch, now, message.initRoot<wire::Frame>());
  if (!link->Send(message).ok()) {
    this->core.OnNotSent(batch, now);
  }
}

void RequestDuty::Carry(const SendCancel& cancel) {
  const FrameLinkPtr link = this->LinkTo(cancel.broker);
  if (!link) {
    return;
  }
  if (cancel.whole_batch && link->RemoveUnsent(cancel.batch)) {
    for (const std::uint64_t attempt : cancel.attempts) {
      this->core.OnCancelResult(attempt, Verdict::kNotRun, BootClock::now());
    }
    return;
  }
  capnp::MallocMessageBuilder message;
  WriteCancel(cancel, kNotABatch | link->NextCorrelation(), message.initRoot<wire::Frame>());
  link->Send(message).IgnoreError();
}

void RequestDuty::Carry(const Reply& reply) {
  const std::string key =
      absl::StrCat(reply.request.tenant.value, "\n", static_cast<int>(reply.request.request_class));
  auto found = this->latencies.find(key);
  if (found == this->latencies.end()) {
    if (this->latencies.size() >= kLatencyCache) {
      this->latencies.clear();
    }
    Latency& latency = this->metrics.AddLatency(
        "ibishold_front_request_seconds", "Time from receipt to answer",
        {{"tenant", reply.request.tenant.value},
         {"class", std::string(ToName(kRequestClassNames, reply.request.request_class))}});
    found = this->latencies.emplace(key, &latency).first;
  }
  found->second->Record(reply.latency);
  this->on_answer(std::make_shared<CallerAnswer>(reply.answer));
}

FrameLinkPtr RequestDuty::LinkTo(const VmId& vm) {
  const auto found = this->addresses.find(vm.value);
  if (found == this->addresses.end()) {
    return nullptr;
  }
  FrameLinkPtr link = this->brokers.Get(found->second, this->options.ports.broker_link);
  if (link) {
    this->link_vms[link.get()] = vm;
  }
  return link;
}

void RequestDuty::ArmTimer() {
  const std::optional<TimePoint> next = this->core.NextTimer();
  if (!next || (this->armed_for && *this->armed_for <= *next)) {
    return;
  }
  this->armed_for = next;
  this->timer.expires_after(std::max(Duration{}, *next - BootClock::now()));
  this->timer.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    this->armed_for.reset();
    this->core.OnTimer(BootClock::now());
    this->RunActions();
  });
}

void RequestDuty::Tick() {
  this->AskForView();
  this->ReportInheritedRuns();
  this->ExportCounters();
  this->tick.expires_after(this->options.view_interval);
  this->tick.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->Tick();
    }
  });
}

void RequestDuty::AskForView() {
  const FrameLinkPtr link =
      this->brokers.Get(this->options.address, this->options.ports.broker_link);
  if (!link) {
    return;
  }
  this->link_vms[link.get()] = this->options.core.vm;
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(kNotABatch | link->NextCorrelation());
  WriteGetView(this->view.get(), frame.getBody().initGetView());
  link->Send(message).IgnoreError();
}

// Tells the local broker, whose heartbeats tell all VMs. Repeated, since the broker may restart.
void RequestDuty::ReportInheritedRuns() {
  const TimePoint now = BootClock::now();
  const std::vector<FrontRun> runs = this->core.InheritedRuns();
  if (runs.empty() || (runs.size() == this->reported_runs && now < this->report_at)) {
    return;
  }
  const FrameLinkPtr link =
      this->brokers.Get(this->options.address, this->options.ports.broker_link);
  if (!link) {
    return;
  }
  this->reported_runs = runs.size();
  this->report_at = now + kReportInterval;
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(kNotABatch | link->NextCorrelation());
  auto successors = frame.getBody().initView().initSuccessors(static_cast<unsigned>(runs.size()));
  for (unsigned i = 0; i < runs.size(); ++i) {
    successors[i].setIncarnation(runs[i].incarnation);
    successors[i].setHome(runs[i].vm.value);
    successors[i].setVm(this->options.core.vm.value);
  }
  link->Send(message).IgnoreError();
}

void RequestDuty::WarmLinks() {
  if (this->addresses.size() > this->options.warm_links) {
    return;
  }
  for (const auto& [vm, address] : this->addresses) {
    this->LinkTo(VmId(vm));
  }
}

}  // namespace ibishold
