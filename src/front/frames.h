#ifndef SRC_FRONT_FRAMES_H_
#define SRC_FRONT_FRAMES_H_

#include "ibishold/front.h"
#include "schema/ibishold.capnp.h"

namespace ibishold {

// Frames between the front's decisions and the links.
void WriteBatch(const SendBatch& batch, TimePoint now, wire::Frame::Builder out);
void WriteCancel(const SendCancel& cancel, std::uint64_t correlation, wire::Frame::Builder out);
LeafReply ReadLeafReply(wire::LeafAnswer::Reader answer);

capnp::Data::Reader ToData(std::string_view text);
std::string FromData(capnp::Data::Reader data);

}  // namespace ibishold

#endif  // SRC_FRONT_FRAMES_H_
