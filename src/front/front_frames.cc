#include "front/frames.h"

namespace ibishold {

void WriteExecute(const ForwardExecute& forward, TimePoint now, wire::Frame::Builder out) {
  out.setCorrelation(forward.forward_id);
  auto execute = out.getBody().initExecute();
  const CallerRequest& request = forward.request;
  execute.setToken(request.token);
  execute.setService(request.service.value);
  execute.setTenant(request.tenant.value);
  execute.setRequestClass(static_cast<wire::RequestClass>(request.request_class));
  execute.setTimeLeftMicros(ComputeRemainingMicroseconds(forward.deadline, now));
  execute.setKey(request.key);
  execute.setOperation(MakeDataReader(request.body));
}

CallerRequest ReadExecute(wire::Execute::Reader execute, TimePoint now) {
  CallerRequest request;
  request.kind = RequestKind::kExecute;
  request.service = ServiceName(std::string(execute.getService().cStr()));
  request.tenant = TenantName(std::string(execute.getTenant().cStr()));
  request.request_class = static_cast<RequestClass>(execute.getRequestClass());
  request.token = execute.getToken().cStr();
  // The frame carries no request id. The front that received the request from the caller writes the
  // caller's id into the answer.
  request.request_id = request.token;
  request.key = execute.getKey();
  request.body = CopyToString(execute.getOperation());
  request.deadline = now + std::chrono::microseconds(execute.getTimeLeftMicros());
  return request;
}

void WriteExecuteResult(const TokenResult& result, wire::ExecuteResult::Builder out) {
  out.setVerdict(static_cast<wire::Verdict>(result.verdict));
  out.setStatus(result.status);
  out.setBody(MakeDataReader(result.body));
  out.setRetryAfterMillis(static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(result.retry_after).count()));
}

TokenResult ReadExecuteResult(wire::ExecuteResult::Reader result) {
  return {.verdict = ReadVerdict(result.getVerdict()),
          .status = result.getStatus(),
          .body = CopyToString(result.getBody()),
          .retry_after = std::chrono::milliseconds(result.getRetryAfterMillis())};
}

void WriteHandOver(const TokenHandOver& part, wire::TokenHandOver::Builder out) {
  out.setIncarnation(part.home.incarnation);
  out.setHome(part.home.vm.value);
  out.setSuccessorIncarnation(part.successor.incarnation);
  out.setHomeClockMillis(part.home_clock_ms);
  out.setIssued(part.last_issued_sequence);
  out.setAttempt(part.export_number);
  out.setPart(part.part_index);
  out.setParts(part.part_count);
  auto entries = out.initEntries(static_cast<unsigned>(part.records.size()));
  for (unsigned i = 0; i < part.records.size(); ++i) {
    const TokenRecord& record = part.records[i];
    auto entry = entries[i];
    entry.setSequence(record.sequence);
    entry.setExpiryMillis(record.expiry_ms);
    entry.setFingerprint(record.fingerprint);
    entry.setState(record.state == TokenState::kFinished ? wire::TokenEntry::State::FINISHED
                                                         : wire::TokenEntry::State::RUNNING);
    entry.setVerdict(static_cast<wire::Verdict>(record.result.verdict));
    entry.setStatus(record.result.status);
    entry.setBody(MakeDataReader(record.result.body));
    entry.setRetryAfterMillis(static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(record.result.retry_after).count()));
  }
}

TokenHandOver ReadHandOver(wire::TokenHandOver::Reader reader,
                           const FrontRun& sender,
                           const FrontRun& receiver) {
  TokenHandOver part;
  part.home = {.vm = VmId(std::string(reader.getHome().cStr())),
               .incarnation = reader.getIncarnation()};
  part.sender = sender;
  part.successor = {.vm = receiver.vm, .incarnation = reader.getSuccessorIncarnation()};
  part.home_clock_ms = reader.getHomeClockMillis();
  part.last_issued_sequence = reader.getIssued();
  part.export_number = reader.getAttempt();
  part.part_index = reader.getPart();
  part.part_count = reader.getParts();
  for (const auto entry : reader.getEntries()) {
    part.records.push_back(
        {.sequence = entry.getSequence(),
         .expiry_ms = entry.getExpiryMillis(),
         .fingerprint = entry.getFingerprint(),
         .state = entry.getState() == wire::TokenEntry::State::FINISHED ? TokenState::kFinished
                                                                        : TokenState::kRunning,
         .result = {.verdict = ReadVerdict(entry.getVerdict()),
                    .status = entry.getStatus(),
                    .body = CopyToString(entry.getBody()),
                    .retry_after = std::chrono::milliseconds(entry.getRetryAfterMillis())}});
  }
  return part;
}

}  // namespace ibishold
