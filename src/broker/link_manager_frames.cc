#include <capnp/message.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "broker/link_manager.h"

namespace ibishold {

namespace {

std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::uint64_t ToMicroseconds(Duration duration) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, std::chrono::duration_cast<std::chrono::microseconds>(duration).count()));
}

std::uint64_t RoundUpToMilliseconds(Duration duration) {
  return (ToMicroseconds(duration) + 999) / 1000;
}

kj::ArrayPtr<const kj::byte> ToBytes(const std::string& text) {
  return kj::arrayPtr(reinterpret_cast<const kj::byte*>(text.data()), text.size());
}

}  // namespace

void LinkManager::OnBatch(FrameLink& link,
                          std::uint64_t correlation,
                          wire::LeafBatch::Reader batch) {
  const TimePoint now = BootClock::now();
  const std::uint64_t id = this->GetOrAssignLinkId(link);
  const auto body_data = batch.getBody();
  const auto body = std::make_shared<const std::string>(
      reinterpret_cast<const char*>(body_data.begin()), body_data.size());
  // At most one hour, so that a wrong value cannot occupy a slot for longer. The front sends the
  // time left because its clock differs from this VM's clock.
  const auto time_left = std::chrono::microseconds(
      std::min<std::uint64_t>(batch.getTimeLeftMicros(), 3'600'000'000ULL));
  const auto class_index = static_cast<std::size_t>(batch.getRequestClass());
  for (const auto request : batch.getRequests()) {
    LeafWork work;
    work.link_id = id;
    work.correlation = correlation;
    work.attempt = request.getAttempt();
    work.request_id =
        absl::StrCat(link.peer_vm().value, "-", link.peer_incarnation(), "-", work.attempt);
    work.leaf = LeafId(ToString(request.getLeaf()));
    work.shard = ShardId(ToString(request.getShard()));
    work.service = ServiceName(ToString(batch.getService()));
    work.tenant = TenantName(ToString(batch.getTenant()));
    work.kind = batch.getKind();
    work.request_class = class_index < kRequestClassNames.size()
                             ? static_cast<RequestClass>(class_index)
                             : RequestClass::kBulk;
    work.received_at = now;
    work.deadline = now + time_left;
    work.index_version = batch.getIndexVersion();
    work.map_version = batch.getMapVersion();
    work.fingerprint = batch.getFingerprint();
    work.canary = request.getCanary();
    work.body = body;
    AnswerWork refusal;
    refusal.result.verdict = Verdict::kNotRun;
    if (this->stopping) {
      refusal.work = std::move(work);
      refusal.result.outcome = wire::Outcome::NOT_OWNER;
      refusal.result.message = "broker stops";
      this->SendAnswer(refusal);
      continue;
    }
    refusal.work = work;
    if (!this->push_to_leaf_thread(LeafThreadMessage(std::move(work)))) {
      this->overflow_refusals.Add();
      refusal.result.outcome = wire::Outcome::SHED;
      refusal.result.message = "broker is overloaded";
      refusal.result.retry_after = this->random.ApplyJitter(std::chrono::milliseconds(200), 0.5);
      this->SendAnswer(refusal);
    }
  }
}

void LinkManager::OnCancel(FrameLink& link,
                           std::uint64_t correlation,
                           wire::Cancel::Reader cancel) {
  const std::uint64_t id = this->GetOrAssignLinkId(link);
  for (const std::uint64_t attempt : cancel.getAttempts()) {
    const CancelWork cancel_work{.link_id = id, .correlation = correlation, .attempt = attempt};
    if (!this->push_to_leaf_thread(LeafThreadMessage(cancel_work))) {
      this->SendCancelResult({.link_id = id,
                              .correlation = correlation,
                              .attempt = attempt,
                              .verdict = Verdict::kMayHaveRun});
    }
  }
}

void LinkManager::OnGetView(FrameLink& link,
                            std::uint64_t correlation,
                            wire::GetView::Reader request) {
  this->links[this->GetOrAssignLinkId(link)].wants_views = true;
  const ControlViewPtr view = this->options.view();
  capnp::MallocMessageBuilder builder;
  auto frame = builder.initRoot<wire::Frame>();
  frame.setCorrelation(correlation);
  auto body = frame.getBody().initView();
  if (view) {
    WriteView(*view, request.getKnown(), body);
  }
  link.Send(builder).IgnoreError();
}

void LinkManager::OnGetDocument(FrameLink& link,
                                std::uint64_t correlation,
                                wire::GetDocument::Reader request) {
  const ControlViewPtr view = this->options.view();
  capnp::MallocMessageBuilder builder;
  auto frame = builder.initRoot<wire::Frame>();
  frame.setCorrelation(correlation);
  auto body = frame.getBody().initDocument();
  if (view) {
    WriteDocument(*view, request, body);
  } else {
    body.setKey(request.getKey());
  }
  link.Send(builder).IgnoreError();
}

void LinkManager::SendAnswer(const AnswerWork& answer) {
  const FrameLinkPtr link = this->FindLink(answer.work.link_id);
  if (!link) {
    return;
  }
  const LeafResult& result = answer.result;
  capnp::MallocMessageBuilder builder;
  auto frame = builder.initRoot<wire::Frame>();
  frame.setCorrelation(answer.work.correlation);
  auto body = frame.getBody().initLeafAnswer();
  body.setAttempt(answer.work.attempt);
  body.setOutcome(result.outcome);
  body.setVerdict(static_cast<wire::Verdict>(result.verdict));
  body.setComplete(result.complete);
  body.setRecords(ToBytes(result.records));
  body.setIndexVersion(result.index_version);
  body.setMapVersion(result.map_version);
  auto versions_held = body.initVersionsHeld(static_cast<unsigned>(result.versions_held.size()));
  for (unsigned i = 0; i < versions_held.size(); ++i) {
    versions_held.set(i, result.versions_held[i]);
  }
  body.setLeafIncarnation(result.leaf_incarnation);
  body.setLeafUptimeMillis(RoundUpToMilliseconds(result.leaf_uptime));
  body.setRetryAfterMillis(RoundUpToMilliseconds(result.retry_after));
  body.setQueueMicros(ToMicroseconds(result.queue_time));
  body.setServiceMicros(ToMicroseconds(result.service_time));
  body.setMessage(result.message);
  if (!link->Send(builder).ok() && !link->closed()) {
    // The answer is lost. Closing the link informs the front, which would otherwise wait for it.
    link->Close(absl::ResourceExhaustedError("front does not read its answers"));
  }
}

void LinkManager::SendCancelResult(const AnswerCancel& answer) {
  const FrameLinkPtr link = this->FindLink(answer.link_id);
  if (!link) {
    return;
  }
  capnp::MallocMessageBuilder builder;
  auto frame = builder.initRoot<wire::Frame>();
  frame.setCorrelation(answer.correlation);
  auto body = frame.getBody().initCancelResult();
  body.setAttempt(answer.attempt);
  body.setVerdict(static_cast<wire::Verdict>(answer.verdict));
  link->Send(builder).IgnoreError();
}

}  // namespace ibishold
