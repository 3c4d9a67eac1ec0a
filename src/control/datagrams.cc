#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/control.h"

namespace ibishold {

namespace {

wire::VmState ToWire(VmState state) {
  switch (state) {
    case VmState::kLive:
      return wire::VmState::LIVE;
    case VmState::kLeaving:
      return wire::VmState::LEAVING;
    case VmState::kLost:
      return wire::VmState::LOST;
  }
  return wire::VmState::LOST;
}

VmState FromWire(wire::VmState state) {
  switch (state) {
    case wire::VmState::LIVE:
      return VmState::kLive;
    case wire::VmState::LEAVING:
      return VmState::kLeaving;
    case wire::VmState::LOST:
      return VmState::kLost;
    default:
      // A state of a later version; nobody is lost because of it.
      return VmState::kLive;
  }
}

void Write(const HeartbeatMessage& message, wire::Heartbeat::Builder out) {
  out.setVm(message.vm.value);
  out.setIncarnation(message.incarnation);
  out.setSequence(message.sequence);
  out.setState(ToWire(message.state));
  if (!message.digests.empty()) {
    auto digests = out.initDigests(static_cast<unsigned>(message.digests.size()));
    for (unsigned i = 0; i < digests.size(); ++i) {
      digests[i].setKey(message.digests[i].key);
      digests[i].setGeneration(message.digests[i].generation);
      digests[i].setHash(message.digests[i].hash);
    }
  }
  const std::size_t fact_count = message.facts.size() + message.silent.size();
  if (fact_count > 0) {
    auto facts = out.initFacts(static_cast<unsigned>(fact_count));
    unsigned index = 0;
    for (const VmFact& fact : message.facts) {
      facts[index].setVm(fact.vm.value);
      facts[index].setIncarnation(fact.incarnation);
      facts[index++].setState(ToWire(fact.state));
    }
    for (const SilentVm& silent : message.silent) {
      facts[index].setVm(silent.vm.value);
      facts[index].setIncarnation(silent.incarnation);
      facts[index++].setState(wire::VmState::SILENT);
    }
  }
  if (!message.successors.empty()) {
    auto successors = out.initSuccessors(static_cast<unsigned>(message.successors.size()));
    for (unsigned i = 0; i < successors.size(); ++i) {
      const auto& [home, successor] = message.successors[i];
      successors[i].setHome(home.vm.value);
      successors[i].setIncarnation(home.incarnation);
      successors[i].setVm(successor.vm.value);
      successors[i].setHops(successor.hops);
    }
  }
}

HeartbeatMessage Read(wire::Heartbeat::Reader in) {
  HeartbeatMessage message;
  message.vm = VmId(std::string(in.getVm().cStr()));
  message.incarnation = in.getIncarnation();
  message.sequence = in.getSequence();
  message.state = FromWire(in.getState());
  for (const auto digest : in.getDigests()) {
    message.digests.push_back(
        {std::string(digest.getKey().cStr()), digest.getGeneration(), digest.getHash()});
  }
  for (const auto fact : in.getFacts()) {
    const VmId vm(std::string(fact.getVm().cStr()));
    if (fact.getState() == wire::VmState::SILENT) {
      message.silent.push_back({vm, fact.getIncarnation()});
    } else {
      message.facts.push_back({vm, fact.getIncarnation(), FromWire(fact.getState())});
    }
  }
  for (const auto successor : in.getSuccessors()) {
    message.successors.push_back(
        {{VmId(std::string(successor.getHome().cStr())), successor.getIncarnation()},
         {VmId(std::string(successor.getVm().cStr())), successor.getHops()}});
  }
  return message;
}

}  // namespace

std::string EncodeDatagram(const HeartbeatMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto body = builder.initRoot<wire::Datagram>().getBody();
  Write(message, message.acknowledgement ? body.initHeartbeatAck() : body.initHeartbeat());
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  const auto bytes = stream.getArray().asChars();
  return {bytes.begin(), bytes.size()};
}

absl::StatusOr<HeartbeatMessage> DecodeDatagram(std::string_view bytes) {
  try {
    kj::ArrayInputStream stream(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader reader(stream);
    const auto body = reader.getRoot<wire::Datagram>().getBody();
    HeartbeatMessage message;
    switch (body.which()) {
      case wire::Datagram::Body::HEARTBEAT:
        message = Read(body.getHeartbeat());
        break;
      case wire::Datagram::Body::HEARTBEAT_ACK:
        message = Read(body.getHeartbeatAck());
        message.acknowledgement = true;
        break;
      default:
        return absl::InvalidArgumentError("unknown kind of datagram");
    }
    if (message.vm.value.empty()) {
      return absl::InvalidArgumentError("datagram without a sender");
    }
    return message;
  } catch (const kj::Exception& exception) {
    return absl::InvalidArgumentError(
        absl::StrCat("datagram: ", exception.getDescription().cStr()));
  }
}

}  // namespace ibishold
