#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/control.h"

namespace ibishold {

namespace {

wire::VmState ToWireState(VmState state) {
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

VmState FromWireState(wire::VmState state) {
  switch (state) {
    case wire::VmState::LIVE:
      return VmState::kLive;
    case wire::VmState::LEAVING:
      return VmState::kLeaving;
    case wire::VmState::LOST:
      return VmState::kLost;
    default:
      // A newer version may send an unknown state. Treating it as lost would exclude a working VM.
      return VmState::kLive;
  }
}

void WriteHeartbeat(const HeartbeatMessage& message, wire::Heartbeat::Builder out) {
  out.setVm(message.vm.value);
  out.setIncarnation(message.incarnation);
  out.setSequence(message.sequence);
  out.setState(ToWireState(message.state));
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
    unsigned fact_index = 0;
    for (const VmFact& fact : message.facts) {
      facts[fact_index].setVm(fact.vm.value);
      facts[fact_index].setIncarnation(fact.incarnation);
      facts[fact_index++].setState(ToWireState(fact.state));
    }
    for (const SilentVm& silent_vm : message.silent) {
      facts[fact_index].setVm(silent_vm.vm.value);
      facts[fact_index].setIncarnation(silent_vm.incarnation);
      facts[fact_index++].setState(wire::VmState::SILENT);
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

HeartbeatMessage ReadHeartbeat(wire::Heartbeat::Reader heartbeat) {
  HeartbeatMessage message;
  message.vm = VmId(std::string(heartbeat.getVm().cStr()));
  message.incarnation = heartbeat.getIncarnation();
  message.sequence = heartbeat.getSequence();
  message.state = FromWireState(heartbeat.getState());
  for (const auto digest : heartbeat.getDigests()) {
    message.digests.push_back(
        {std::string(digest.getKey().cStr()), digest.getGeneration(), digest.getHash()});
  }
  for (const auto fact : heartbeat.getFacts()) {
    const VmId reported_vm(std::string(fact.getVm().cStr()));
    if (fact.getState() == wire::VmState::SILENT) {
      message.silent.push_back({reported_vm, fact.getIncarnation()});
    } else {
      message.facts.push_back({reported_vm, fact.getIncarnation(), FromWireState(fact.getState())});
    }
  }
  for (const auto successor : heartbeat.getSuccessors()) {
    message.successors.push_back(
        {{VmId(std::string(successor.getHome().cStr())), successor.getIncarnation()},
         {VmId(std::string(successor.getVm().cStr())), successor.getHops()}});
  }
  return message;
}

}  // namespace

std::string EncodeDatagram(const HeartbeatMessage& message) {
  capnp::MallocMessageBuilder message_builder;
  auto body = message_builder.initRoot<wire::Datagram>().getBody();
  WriteHeartbeat(message, message.acknowledgement ? body.initHeartbeatAck() : body.initHeartbeat());
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, message_builder);
  const auto bytes = output.getArray().asChars();
  return {bytes.begin(), bytes.size()};
}

absl::StatusOr<HeartbeatMessage> DecodeDatagram(std::string_view datagram) {
  try {
    kj::ArrayInputStream input(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(datagram.data()), datagram.size()));
    capnp::PackedMessageReader message_reader(input);
    const auto body = message_reader.getRoot<wire::Datagram>().getBody();
    HeartbeatMessage message;
    switch (body.which()) {
      case wire::Datagram::Body::HEARTBEAT:
        message = ReadHeartbeat(body.getHeartbeat());
        break;
      case wire::Datagram::Body::HEARTBEAT_ACK:
        message = ReadHeartbeat(body.getHeartbeatAck());
        message.acknowledgement = true;
        break;
      default:
        return absl::InvalidArgumentError("datagram body has an unknown type");
    }
    if (message.vm.value.empty()) {
      return absl::InvalidArgumentError("datagram names no sender VM");
    }
    return message;
  } catch (const kj::Exception& exception) {
    return absl::InvalidArgumentError(
        absl::StrCat("malformed datagram: ", exception.getDescription().cStr()));
  }
}

}  // namespace ibishold
