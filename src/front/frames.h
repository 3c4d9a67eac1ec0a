#ifndef SRC_FRONT_FRAMES_H_
#define SRC_FRONT_FRAMES_H_

#include "ibishold/front.h"
#include "schema/ibishold.capnp.h"

namespace ibishold {

// Frames between the front's decisions and the links.
void WriteBatch(const SendBatch& batch, TimePoint now, wire::Frame::Builder out);
void WriteCancel(const SendCancel& cancel, std::uint64_t correlation, wire::Frame::Builder out);
LeafReply ReadLeafReply(wire::LeafAnswer::Reader answer);

// Frames among fronts. The request that ReadExecute returns has no ticket.
void WriteExecute(const ForwardExecute& forward, TimePoint now, wire::Frame::Builder out);
CallerRequest ReadExecute(wire::Execute::Reader execute, TimePoint now);
void WriteExecuteResult(const TokenResult& result, wire::ExecuteResult::Builder out);
TokenResult ReadExecuteResult(wire::ExecuteResult::Reader result);
void WriteHandOver(const TokenHandOver& part, wire::TokenHandOver::Builder out);
// The frame names the successor's incarnation only; its VM is the receiver.
TokenHandOver ReadHandOver(wire::TokenHandOver::Reader reader,
                           const FrontRun& sender,
                           const FrontRun& receiver);

Verdict ReadVerdict(wire::Verdict verdict);
std::uint64_t ComputeRemainingMicroseconds(TimePoint deadline, TimePoint now);

capnp::Data::Reader MakeDataReader(std::string_view text);
std::string CopyToString(capnp::Data::Reader data);

}  // namespace ibishold

#endif  // SRC_FRONT_FRAMES_H_
