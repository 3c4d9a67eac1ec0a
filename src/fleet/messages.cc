#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cmath>
#include <cstring>

#include "fleet/tenant_state_wire.h"
#include "ibishold/fleet.h"
#include "schema/ibishold.capnp.h"

namespace ibishold {

namespace {

// Limits how much a malformed or hostile message can make the reader traverse and allocate.
constexpr std::uint64_t kWordLimit = 4U << 20U;

// Names of the data centres in one message; the peer reports refer to them by index.
class CentreNames {
 public:
  std::uint8_t IndexOf(const DataCentre& centre) {
    const auto found = std::find(this->names.begin(), this->names.end(), centre.value);
    if (found == this->names.end()) {
      this->names.push_back(centre.value);
      return static_cast<std::uint8_t>(this->names.size() - 1);
    }
    return static_cast<std::uint8_t>(found - this->names.begin());
  }
  const std::vector<std::string>& all() const { return this->names; }

 private:
  std::vector<std::string> names;
};

std::uint16_t ToScaledInteger(double value, double scale) {
  return static_cast<std::uint16_t>(std::clamp(value * scale, 0.0, 65535.0));
}

constexpr double kMillisPerUnit = 1000;  // scale of PeerFact.processorMillis
constexpr double kTenthsPerUnit = 10;    // scale of PeerFact.fanOutTenths
constexpr double kNoRate = -1;           // LeafLimit.perSecond if the leaf states no limit

std::uint32_t Milliseconds(Duration duration) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void EncodePeerReport(wire::PeerFact::Builder builder,
                      const Peer& peer,
                      Duration age,
                      CentreNames& centres) {
  builder.setAddress(peer.address.ip);
  builder.setPort(peer.address.port);
  builder.setIncarnation(peer.incarnation);
  builder.setDataCentre(centres.IndexOf(peer.data_centre));
  builder.setProcessorMillis(ToScaledInteger(peer.processor_share, kMillisPerUnit));
  builder.setFanOutTenths(ToScaledInteger(peer.fan_out_rate, kTenthsPerUnit));
  builder.setStopping(peer.stopping);
  builder.setAgeMs(Milliseconds(age));
}

PeerReport DecodePeerReport(wire::PeerFact::Reader reader,
                            capnp::List<capnp::Text>::Reader centres) {
  PeerReport report = {.peer = {.address = {.ip = reader.getAddress(), .port = reader.getPort()},
                                .incarnation = reader.getIncarnation(),
                                .processor_share = reader.getProcessorMillis() / kMillisPerUnit,
                                .fan_out_rate = reader.getFanOutTenths() / kTenthsPerUnit,
                                .stopping = reader.getStopping()},
                       .age = std::chrono::milliseconds(reader.getAgeMs())};
  if (reader.getDataCentre() < centres.size()) {
    report.peer.data_centre = DataCentre(centres[reader.getDataCentre()].cStr());
  }
  return report;
}

// These keep zero bytes, at which a C string would end.
capnp::Text::Reader ToText(const std::string& text) {
  return {text.c_str(), text.size()};
}
std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::string SerializeMessage(capnp::MessageBuilder& message) {
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Calls `read` with the root of the message. Returns false if the bytes are not a valid message.
template <typename Root, typename Reader>
bool ReadMessage(std::string_view bytes, const Reader& read) {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) {
    return false;
  }
  std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.data(), bytes.data(), bytes.size());
  try {
    capnp::FlatArrayMessageReader reader(
        kj::ArrayPtr<const capnp::word>(words.data(), words.size()),
        {.traversalLimitInWords = kWordLimit});
    read(reader.getRoot<Root>());
  } catch (const kj::Exception&) {
    return false;
  }
  return true;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::PeerGossip>();
  CentreNames centres;
  EncodePeerReport(root.initSender(), message.sender, Duration::zero(), centres);
  auto peers = root.initPeers(static_cast<unsigned>(message.peers.size()));
  for (unsigned i = 0; i < message.peers.size(); ++i) {
    EncodePeerReport(peers[i], message.peers[i].peer, message.peers[i].age, centres);
  }
  auto refusals = root.initRefusals(static_cast<unsigned>(message.refusals.size()));
  for (unsigned i = 0; i < message.refusals.size(); ++i) {
    refusals[i].setFingerprint(message.refusals[i].fingerprint);
    refusals[i].setService(message.refusals[i].service);
    refusals[i].setLeftMs(Milliseconds(message.refusals[i].time_left));
  }
  auto crashes = root.initCrashes(static_cast<unsigned>(message.crashes.size()));
  for (unsigned i = 0; i < message.crashes.size(); ++i) {
    crashes[i].setFingerprint(message.crashes[i].fingerprint);
    crashes[i].setWholeCall(message.crashes[i].part == CallPart::kWhole);
    crashes[i].setRequest(message.crashes[i].request);
    crashes[i].setService(message.crashes[i].service);
    crashes[i].setLeaf(message.crashes[i].leaf);
    crashes[i].setAgeMs(Milliseconds(message.crashes[i].age));
  }
  auto limits = root.initLimits(static_cast<unsigned>(message.limits.size()));
  for (unsigned i = 0; i < message.limits.size(); ++i) {
    limits[i].setLeaf(message.limits[i].leaf);
    limits[i].setPerSecond(static_cast<float>(message.limits[i].rate.value_or(kNoRate)));
    limits[i].setAgeMs(Milliseconds(message.limits[i].age));
  }
  EncodeTenantStates(message.tenant_states,
                     root.initTenantStates(static_cast<unsigned>(message.tenant_states.size())));
  root.setDocumentsAsOf(message.documents_as_of.number);
  root.setDocumentsEpoch(message.documents_as_of.epoch);
  auto silent = root.initSilentLeaves(static_cast<unsigned>(message.silent_leaves.size()));
  for (unsigned i = 0; i < message.silent_leaves.size(); ++i) {
    silent[i].setLeaf(ToText(message.silent_leaves[i].leaf.value));
    silent[i].setWaitedMs(Milliseconds(message.silent_leaves[i].request_age));
  }
  auto leaving = root.initLeavingLeaves(static_cast<unsigned>(message.leaving_leaves.size()));
  for (unsigned i = 0; i < message.leaving_leaves.size(); ++i) {
    leaving[i].setLeaf(ToText(message.leaving_leaves[i].leaf.value));
    leaving[i].setStarted(message.leaving_leaves[i].started);
  }
  auto names = root.initDataCentres(static_cast<unsigned>(centres.all().size()));
  for (unsigned i = 0; i < centres.all().size(); ++i) {
    names.set(i, centres.all()[i]);
  }
  return SerializeMessage(builder);
}

std::optional<GossipMessage> DecodeGossip(std::string_view bytes) {
  GossipMessage message;
  const bool read = ReadMessage<wire::PeerGossip>(bytes, [&](wire::PeerGossip::Reader root) {
    message.sender = DecodePeerReport(root.getSender(), root.getDataCentres()).peer;
    message.documents_as_of = {root.getDocumentsAsOf(), root.getDocumentsEpoch()};
    for (const auto report : root.getPeers()) {
      message.peers.push_back(DecodePeerReport(report, root.getDataCentres()));
    }
    for (const auto silent : root.getSilentLeaves()) {
      message.silent_leaves.push_back(
          {.leaf = LeafId(ToString(silent.getLeaf())),
           .request_age = std::chrono::milliseconds(silent.getWaitedMs())});
    }
    for (const auto leaving : root.getLeavingLeaves()) {
      message.leaving_leaves.push_back(
          {.leaf = LeafId(ToString(leaving.getLeaf())), .started = leaving.getStarted()});
    }
    for (const auto refusal : root.getRefusals()) {
      message.refusals.push_back({.fingerprint = refusal.getFingerprint(),
                                  .service = refusal.getService(),
                                  .time_left = std::chrono::milliseconds(refusal.getLeftMs())});
    }
    for (const auto crash : root.getCrashes()) {
      message.crashes.push_back({.fingerprint = crash.getFingerprint(),
                                 .part = crash.getWholeCall() ? CallPart::kWhole : CallPart::kShard,
                                 .request = crash.getRequest(),
                                 .service = crash.getService(),
                                 .leaf = crash.getLeaf(),
                                 .age = std::chrono::milliseconds(crash.getAgeMs())});
    }
    message.tenant_states = DecodeTenantStates(root.getTenantStates());
    for (const auto limit : root.getLimits()) {
      const double rate = limit.getPerSecond();
      if (std::isfinite(rate)) {
        message.limits.push_back({.leaf = limit.getLeaf(),
                                  .rate = rate < 0 ? std::nullopt : std::optional(rate),
                                  .age = std::chrono::milliseconds(limit.getAgeMs())});
      }
    }
  });
  return read ? std::optional<GossipMessage>(std::move(message)) : std::nullopt;
}

std::string EncodeDocumentUpdate(const DocumentUpdate& update) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::DocumentUpdate>();
  root.setAsOf(update.as_of.number);
  root.setEpoch(update.as_of.epoch);
  root.setComplete(update.complete);
  root.setInTouch(update.in_touch);
  auto changes = root.initChanges(static_cast<unsigned>(update.changes.size()));
  for (unsigned i = 0; i < update.changes.size(); ++i) {
    const DocumentChange& change = update.changes[i];
    changes[i].setKey(ToText(change.key));
    changes[i].setValue(kj::ArrayPtr<const kj::byte>(
        reinterpret_cast<const kj::byte*>(change.value.data()), change.value.size()));
    changes[i].setRevision(change.revision.number);
    changes[i].setRemoved(change.removed);
  }
  return SerializeMessage(builder);
}

std::optional<DocumentUpdate> DecodeDocumentUpdate(std::string_view bytes) {
  DocumentUpdate update;
  const bool read =
      ReadMessage<wire::DocumentUpdate>(bytes, [&](wire::DocumentUpdate::Reader root) {
        update.as_of = {root.getAsOf(), root.getEpoch()};
        update.complete = root.getComplete();
        update.in_touch = root.getInTouch();
        for (const auto change : root.getChanges()) {
          const auto value = change.getValue();
          update.changes.push_back(
              {.key = ToString(change.getKey()),
               .value = std::string(reinterpret_cast<const char*>(value.begin()), value.size()),
               .revision = {change.getRevision(), root.getEpoch()},
               .removed = change.getRemoved()});
        }
      });
  return read ? std::optional<DocumentUpdate>(std::move(update)) : std::nullopt;
}

}  // namespace ibishold
