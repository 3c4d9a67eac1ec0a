#include "front/request_worker.h"

#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "front/frames.h"
#include "ibishold/control.h"

namespace ibishold {

namespace {

// The correlation of a batch frame is its batch number. All other frames to brokers set the highest
// bit, so that removing an unsent batch cannot remove one of them.
constexpr std::uint64_t kNonBatchCorrelationBit = 1ULL << 63U;
constexpr Duration kInheritedRunsReportInterval = std::chrono::seconds(5);
constexpr std::size_t kLatencyMetricsCacheSize = 1024;  // pairs of tenant and request class

}  // namespace

RequestWorker::RequestWorker(boost::asio::io_context& context,
                             const FrontProcessOptions& options,
                             Metrics& metrics,
                             AnswerHandler on_answer)
    : context(context),
      options(options),
      metrics(metrics),
      on_answer(std::move(on_answer)),
      core(options.core),
      broker_links(context, options.link),
      front_links(context, options, this->core, [this] { this->RunActions(); }),
      core_timer(context),
      tick_timer(context) {}

void RequestWorker::Start() {
  this->broker_links.Start(
      [this](FrameLink& link, wire::Frame::Reader frame) { this->OnFrame(link, frame); },
      [this](FrameLink& link, const absl::Status&) { this->OnLinkClosed(link); });
  this->Tick();
}

void RequestWorker::HandleRequest(CallerRequest request) {
  this->core.OnRequest(std::move(request), BootClock::now());
  this->RunActions();
}

void RequestWorker::BeginStop(TimePoint end) {
  this->core.BeginStop(end);
}

void RequestWorker::AbandonRequest(std::uint64_t ticket) {
  this->core.OnRequestAbandoned(ticket, BootClock::now());
  this->RunActions();
}

void RequestWorker::Close() {
  this->tick_timer.cancel();
  this->core_timer.cancel();
  this->front_links.Close();
  this->broker_links.CloseAll(absl::UnavailableError("front is stopping"));
}

std::string RequestWorker::DebugState() const {
  const std::lock_guard lock(this->debug_mutex);
  return this->debug_state;
}

void RequestWorker::OnFrame(FrameLink& link, wire::Frame::Reader frame) {
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

void RequestWorker::OnLinkClosed(FrameLink& link) {
  const auto found_vm = this->broker_link_vms.find(&link);
  if (found_vm == this->broker_link_vms.end()) {
    return;
  }
  const VmId vm = found_vm->second;
  this->broker_link_vms.erase(found_vm);
  this->core.OnLinkLost(vm, BootClock::now());
  this->RunActions();
}

void RequestWorker::OnView(wire::View::Reader view_reader) {
  absl::StatusOr<ControlViewPtr> next_view = ReadView(view_reader, this->view);
  if (!next_view.ok()) {
    // The broker validates documents by the same rules, so it must be running another version.
    return;
  }
  this->view = *std::move(next_view);
  this->vm_addresses.clear();
  if (this->view->vms) {
    for (const VmEntry& vm : this->view->vms->vms) {
      this->vm_addresses[vm.id.value] = vm.address;
    }
  }
  this->core.SetView(this->view, BootClock::now());
  this->front_links.SetView(this->view);
  this->view_ready = this->view->ready;
  this->PreconnectBrokers();
}

void RequestWorker::RunActions() {
  if (this->running_actions) {
    return;  // nested call from PerformAction; the loop below performs the new actions
  }
  this->running_actions = true;
  // A failed action may add further actions.
  for (std::vector<FrontAction> actions = this->core.TakeActions(); !actions.empty();
       actions = this->core.TakeActions()) {
    for (const FrontAction& action : actions) {
      std::visit([this](const auto& typed_action) { this->PerformAction(typed_action); }, action);
    }
  }
  this->running_actions = false;
  this->in_progress_count = this->core.requests_in_progress();
  this->ArmCoreTimer();
}

void RequestWorker::PerformAction(const SendBatch& batch) {
  const TimePoint now = BootClock::now();
  const FrameLinkPtr link = this->GetLink(batch.broker);
  if (!link) {
    this->core.OnBatchNotSent(batch, now);
    return;
  }
  capnp::MallocMessageBuilder message;
  WriteBatch(batch, now, message.initRoot<wire::Frame>());
  if (!link->Send(message).ok()) {
    this->core.OnBatchNotSent(batch, now);
  }
}

void RequestWorker::PerformAction(const SendCancel& cancel) {
  const FrameLinkPtr link = this->GetLink(cancel.broker);
  if (!link) {
    return;
  }
  if (cancel.may_drop_frame && link->RemoveUnsentFrame(cancel.batch_id)) {
    for (const std::uint64_t attempt : cancel.attempt_ids) {
      this->core.OnCancelResult(attempt, Verdict::kNotRun, BootClock::now());
    }
    return;
  }
  capnp::MallocMessageBuilder message;
  WriteCancel(cancel, kNonBatchCorrelationBit | link->AllocateCorrelation(),
              message.initRoot<wire::Frame>());
  link->Send(message).IgnoreError();
}

void RequestWorker::PerformAction(const Reply& reply) {
  const std::string tenant_and_class =
      absl::StrCat(reply.request.tenant.value, "\n", static_cast<int>(reply.request.request_class));
  auto found_latency = this->latency_metrics.find(tenant_and_class);
  if (found_latency == this->latency_metrics.end()) {
    if (this->latency_metrics.size() >= kLatencyMetricsCacheSize) {
      this->latency_metrics.clear();
    }
    Latency& latency = this->metrics.AddLatency(
        "ibishold_front_request_seconds", "Time from receipt to answer",
        {{"tenant", reply.request.tenant.value},
         {"class", std::string(ToName(kRequestClassNames, reply.request.request_class))}});
    found_latency = this->latency_metrics.emplace(tenant_and_class, &latency).first;
  }
  found_latency->second->Record(reply.latency);
  this->on_answer(std::make_shared<CallerAnswer>(reply.answer));
}

FrameLinkPtr RequestWorker::GetLink(const VmId& vm) {
  const auto found_address = this->vm_addresses.find(vm.value);
  if (found_address == this->vm_addresses.end()) {
    return nullptr;
  }
  FrameLinkPtr link =
      this->broker_links.Get(found_address->second, this->options.ports.broker_link);
  if (link) {
    this->broker_link_vms[link.get()] = vm;
  }
  return link;
}

void RequestWorker::ArmCoreTimer() {
  const std::optional<TimePoint> next_timer = this->core.GetNextTimer();
  if (!next_timer || (this->core_timer_deadline && *this->core_timer_deadline <= *next_timer)) {
    return;
  }
  this->core_timer_deadline = next_timer;
  this->core_timer.expires_after(std::max(Duration{}, *next_timer - BootClock::now()));
  this->core_timer.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    this->core_timer_deadline.reset();
    this->core.OnTimer(BootClock::now());
    this->RunActions();
  });
}

void RequestWorker::Tick() {
  this->SendViewRequest();
  this->ReportInheritedRuns();
  this->ExportCounters();
  this->tick_timer.expires_after(this->options.view_interval);
  this->tick_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->Tick();
    }
  });
}

void RequestWorker::SendViewRequest() {
  const FrameLinkPtr link =
      this->broker_links.Get(this->options.address, this->options.ports.broker_link);
  if (!link) {
    return;
  }
  this->broker_link_vms[link.get()] = this->options.core.vm;
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(kNonBatchCorrelationBit | link->AllocateCorrelation());
  WriteGetView(this->view.get(), frame.getBody().initGetView());
  link->Send(message).IgnoreError();
}

// Reports the runs whose tokens this front took over to the local broker, which spreads them to all
// VMs in its heartbeats. The report is repeated, because a restarted broker has lost it.
void RequestWorker::ReportInheritedRuns() {
  const TimePoint now = BootClock::now();
  const std::vector<FrontRun> runs = this->core.GetInheritedRuns();
  if (runs.empty() || (runs.size() == this->reported_run_count && now < this->next_report_at)) {
    return;
  }
  const FrameLinkPtr link =
      this->broker_links.Get(this->options.address, this->options.ports.broker_link);
  if (!link) {
    return;
  }
  this->reported_run_count = runs.size();
  this->next_report_at = now + kInheritedRunsReportInterval;
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(kNonBatchCorrelationBit | link->AllocateCorrelation());
  auto successors = frame.getBody().initView().initSuccessors(static_cast<unsigned>(runs.size()));
  for (unsigned i = 0; i < runs.size(); ++i) {
    successors[i].setIncarnation(runs[i].incarnation);
    successors[i].setHome(runs[i].vm.value);
    successors[i].setVm(this->options.core.vm.value);
  }
  link->Send(message).IgnoreError();
}

void RequestWorker::PreconnectBrokers() {
  if (this->vm_addresses.size() > this->options.preconnect_vm_limit) {
    return;
  }
  for (const auto& [vm, address] : this->vm_addresses) {
    this->GetLink(VmId(vm));
  }
}

}  // namespace ibishold
