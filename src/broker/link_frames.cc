#include <capnp/message.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "broker/link_duty.h"

namespace ibishold {

namespace {

std::string TextOf(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::uint64_t Micros(Duration duration) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, std::chrono::duration_cast<std::chrono::microseconds>(duration).count()));
}

std::uint64_t Millis(Duration duration) {
  return (Micros(duration) + 999) / 1000;
}

kj::ArrayPtr<const kj::byte> BytesOf(const std::string& text) {
  return kj::arrayPtr(reinterpret_cast<const kj::byte*>(text.data()), text.size());
}

}  // namespace

void LinkDuty::OnBatch(FrameLink& link, std::uint64_t correlation, wire::LeafBatch::Reader batch) {
  const TimePoint now = BootClock::now();
  const std::uint64_t id = this->IdOf(link);
  const auto data = batch.getBody();
  const auto body =
      std::make_shared<const std::string>(reinterpret_cast<const char*>(data.begin()), data.size());
  // A front's clock is not ours; a limit keeps a wrong time from holding slots.
  const auto left = std::chrono::microseconds(
      std::min<std::uint64_t>(batch.getTimeLeftMicros(), 3'600'000'000ULL));
  const auto class_index = static_cast<std::size_t>(batch.getRequestClass());
  for (const auto request : batch.getRequests()) {
    LeafWork work;
    work.link = id;
    work.correlation = correlation;
    work.attempt = request.getAttempt();
    work.id = absl::StrCat(link.peer_vm().value, "-", link.peer_incarnation(), "-", work.attempt);
    work.leaf = LeafId(TextOf(request.getLeaf()));
    work.shard = ShardId(TextOf(request.getShard()));
    work.service = ServiceName(TextOf(batch.getService()));
    work.tenant = TenantName(TextOf(batch.getTenant()));
    work.kind = batch.getKind();
    work.request_class = class_index < kRequestClassNames.size()
                             ? static_cast<RequestClass>(class_index)
                             : RequestClass::kBulk;
    work.received = now;
    work.deadline = now + left;
    work.index_version = batch.getIndexVersion();
    work.map_version = batch.getMapVersion();
    work.fingerprint = batch.getFingerprint();
    work.canary = request.getCanary();
    work.body = body;
    AnswerWork refused;
    refused.result.verdict = Verdict::kNotRun;
    if (this->stopping) {
      refused.work = std::move(work);
      refused.result.outcome = wire::Outcome::NOT_OWNER;
      refused.result.message = "broker stops";
      this->SendAnswer(refused);
      continue;
    }
    refused.work = work;
    if (!this->push(ToLeaf(std::move(work)))) {
      this->overflow_refusals.Add();
      refused.result.outcome = wire::Outcome::SHED;
      refused.result.message = "broker is overloaded";
      refused.result.retry_after = this->random.ApplyJitter(std::chrono::milliseconds(200), 0.5);
      this->SendAnswer(refused);
    }
  }
}

void LinkDuty::OnCancel(FrameLink& link, std::uint64_t correlation, wire::Cancel::Reader cancel) {
  const std::uint64_t id = this->IdOf(link);
  for (const std::uint64_t attempt : cancel.getAttempts()) {
    const CancelWork work{.link = id, .correlation = correlation, .attempt = attempt};
    if (!this->push(ToLeaf(work))) {
      this->SendCancelResult({.link = id,
                              .correlation = correlation,
                              .attempt = attempt,
                              .verdict = Verdict::kMayHaveRun});
    }
  }
}

void LinkDuty::OnGetView(FrameLink& link,
                         std::uint64_t correlation,
                         wire::GetView::Reader request) {
  this->links[this->IdOf(link)].wants_views = true;
  const ControlViewPtr view = this->options.view();
  capnp::MallocMessageBuilder builder;
  auto frame = builder.initRoot<wire::Frame>();
  frame.setCorrelation(correlation);
  auto out = frame.getBody().initView();
  if (view) {
    WriteView(*view, request.getKnown(), out);
  }
  link.Send(builder).IgnoreError();
}

void LinkDuty::OnGetDocument(FrameLink& link,
                             std::uint64_t correlation,
                             wire::GetDocument::Reader request) {
  const ControlViewPtr view = this->options.view();
  capnp::MallocMessageBuilder builder;
  auto frame = builder.initRoot<wire::Frame>();
  frame.setCorrelation(correlation);
  auto out = frame.getBody().initDocument();
  if (view) {
    WriteDocument(*view, request, out);
  } else {
    out.setKey(request.getKey());
  }
  link.Send(builder).IgnoreError();
}

void LinkDuty::SendAnswer(const AnswerWork& answer) {
  const FrameLinkPtr link = this->LinkOf(answer.work.link);
  if (!link) {
    return;
  }
  const LeafResult& result = answer.result;
  capnp::MallocMessageBuilder builder;
  auto frame = builder.initRoot<wire::Frame>();
  frame.setCorrelation(answer.work.correlation);
  auto out = frame.getBody().initLeafAnswer();
  out.setAttempt(answer.work.attempt);
  out.setOutcome(result.outcome);
  out.setVerdict(static_cast<wire::Verdict>(result.verdict));
  out.setComplete(result.complete);
  out.setRecords(BytesOf(result.records));
  out.setIndexVersion(result.index_version);
  out.setMapVersion(result.map_version);
  auto held = out.initVersionsHeld(static_cast<unsigned>(result.versions_held.size()));
  for (unsigned i = 0; i < held.size(); ++i) {
    held.set(i, result.versions_held[i]);
  }
  out.setLeafIncarnation(result.leaf_incarnation);
  out.setLeafUptimeMillis(Millis(result.leaf_uptime));
  out.setRetryAfterMillis(Millis(result.retry_after));
  out.setQueueMicros(Micros(result.queue_time));
  out.setServiceMicros(Micros(result.service_time));
  out.setMessage(result.message);
  if (!link->Send(builder).ok() && !link->closed()) {
    // The front would wait for an answer that is not coming; closing the link tells it.
    link->Close(absl::ResourceExhaustedError("front does not read its answers"));
  }
}

void LinkDuty::SendCancelResult(const AnswerCancel& answer) {
  const FrameLinkPtr link = this->LinkOf(answer.link);
  if (!link) {
    return;
  }
  capnp::MallocMessageBuilder builder;
  auto frame = builder.initRoot<wire::Frame>();
  frame.setCorrelation(answer.correlation);
  auto out = frame.getBody().initCancelResult();
  out.setAttempt(answer.attempt);
  out.setVerdict(static_cast<wire::Verdict>(answer.verdict));
  link->Send(builder).IgnoreError();
}

}  // namespace ibishold
