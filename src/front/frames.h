#ifndef SRC_FRONT_FRAMES_H_
#define SRC_FRONT_FRAMES_H_

#include "ibishold/front.h"
#include "schema/ibishold.capnp.h"

namespace ibishold {

// Conversion between the types of FrontCore and wire frames.

// Frames to and from brokers.
void WriteBatch(const SendBatch& batch, TimePoint now, wire::Frame::Builder out);
void WriteCancel(const SendCancel& cancel, std::uint64_t correlation, wire::Frame::Builder out);
LeafReply ReadLeafReply(wire::LeafAnswer::Reader answer);

// Frames between fronts. The request that ReadExecute returns has ticket 0, since no caller of this
// process waits for it.
void WriteExecute(const ForwardExecute& forward, TimePoint now, wire::Frame::Builder out);
CallerRequest ReadExecute(wire::Execute::Reader execute, TimePoint now);
void WriteExecuteResult(const TokenResult& result, wire::ExecuteResult::Builder out);
TokenResult ReadExecuteResult(wire::ExecuteResult::Reader result);
void WriteHandOver(const TokenHandOver& part, wire::TokenHandOver::Builder out);
// The frame holds only the incarnation of the successor, so the VM is taken from `receiver`.
TokenHandOver ReadHandOver(wire::TokenHandOver::Reader reader,
                           const FrontRun& sender,
                           const FrontRun& receiver);

// Maps values that this version does not know to kMayHaveRun.
Verdict ReadVerdict(wire::Verdict verdict);
// Returns 0 after the deadline.
std::uint64_t ComputeRemainingMicroseconds(TimePoint deadline, TimePoint now);

// Returns a view of `text` without copying it.
capnp::Data::Reader MakeDataReader(std::string_view text);
std::string CopyToString(capnp::Data::Reader data);

}  // namespace ibishold

#endif  // SRC_FRONT_FRAMES_H_
