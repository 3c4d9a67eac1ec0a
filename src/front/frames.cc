#include "front/frames.h"

#include <algorithm>

namespace ibishold {

std::uint64_t ComputeRemainingMicroseconds(TimePoint deadline, TimePoint now) {
  const auto remaining =
      std::chrono::duration_cast<std::chrono::microseconds>(deadline - now).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, remaining));
}

// A newer peer may send a verdict that this version does not know. Reading it as kNotRun could lead
// to a second run of the request.
Verdict ReadVerdict(wire::Verdict verdict) {
  switch (verdict) {
    case wire::Verdict::NOT_RUN:
      return Verdict::kNotRun;
    case wire::Verdict::RAN:
      return Verdict::kRan;
    default:
      return Verdict::kMayHaveRun;
  }
}

capnp::Data::Reader MakeDataReader(std::string_view text) {
  return {reinterpret_cast<const capnp::byte*>(text.data()), text.size()};
}

std::string CopyToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

void WriteBatch(const SendBatch& batch, TimePoint now, wire::Frame::Builder out) {
  out.setCorrelation(batch.batch_id);
  auto body = out.getBody().initLeafBatch();
  body.setRequestId(batch.request_id);
  body.setService(batch.service.value);
  body.setKind(batch.kind == RequestKind::kQuery ? wire::RequestKind::SEARCH
                                                 : wire::RequestKind::EXECUTE);
  body.setRequestClass(static_cast<wire::RequestClass>(batch.request_class));
  body.setTenant(batch.tenant.value);
  body.setTimeLeftMicros(ComputeRemainingMicroseconds(batch.deadline, now));
  body.setIndexVersion(batch.snapshot.index_version);
  body.setMapVersion(batch.snapshot.partition_map_version);
  body.setFingerprint(batch.fingerprint);
  body.setBody(MakeDataReader(*batch.body));
  auto requests = body.initRequests(static_cast<unsigned>(batch.calls.size()));
  for (unsigned i = 0; i < batch.calls.size(); ++i) {
    const LeafCall& call = batch.calls[i];
    requests[i].setAttempt(call.attempt_id);
    requests[i].setLeaf(call.leaf.value);
    requests[i].setShard(call.shard.value);
    requests[i].setHedge(call.hedge);
    requests[i].setCanary(call.canary);
  }
}

void WriteCancel(const SendCancel& cancel, std::uint64_t correlation, wire::Frame::Builder out) {
  out.setCorrelation(correlation);
  auto attempts =
      out.getBody().initCancel().initAttempts(static_cast<unsigned>(cancel.attempt_ids.size()));
  for (unsigned i = 0; i < cancel.attempt_ids.size(); ++i) {
    attempts.set(i, cancel.attempt_ids[i]);
  }
}

LeafReply ReadLeafReply(wire::LeafAnswer::Reader answer) {
  LeafReply reply;
  reply.attempt_id = answer.getAttempt();
  reply.outcome = answer.getOutcome();
  reply.verdict = ReadVerdict(answer.getVerdict());
  reply.complete = answer.getComplete();
  reply.records = CopyToString(answer.getRecords());
  reply.stated_snapshot = {.index_version = answer.getIndexVersion(),
                           .partition_map_version = answer.getMapVersion()};
  for (const std::uint64_t version : answer.getVersionsHeld()) {
    reply.index_versions.push_back(version);
  }
  reply.retry_after = std::chrono::milliseconds(answer.getRetryAfterMillis());
  reply.message = answer.getMessage().cStr();
  if (reply.outcome == wire::Outcome::LEAF_LOST) {
    reply.dead_incarnation = answer.getLeafIncarnation();
  }
  return reply;
}

}  // namespace ibishold
