#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <cmath>

#include "fleet/tenant_state_wire.h"
#include "ibishold/fleet.h"

namespace ibishold {

namespace {

// A message of PeerGossip begins with the number of its segments less one, which is small.
constexpr char kUsageMarker = '\xff';
// Limits how much a malformed message can make the reader traverse.
constexpr std::uint64_t kWordLimit = 64U << 10U;

UsageMessage ReadUsage(wire::UsageMessage::Reader root) {
  if (root.getIncarnation() == 0) {
    return UsageAcknowledgement{.sequence = root.getSequence(),
                                .states = DecodeTenantStates(root.getStates())};
  }
  UsageReport report = {.incarnation = root.getIncarnation(), .sequence = root.getSequence()};
  for (const auto usage : root.getUsage()) {
    const double known_demand = usage.getKnownDemand();
    report.tenants.push_back({.tenant = usage.getTenant(),
                              .asked = usage.getAsked(),
                              .admitted = usage.getAdmitted(),
                              .known_demand = std::isfinite(known_demand) ? known_demand : 0});
  }
  return report;
}

}  // namespace

void EncodeTenantStates(const std::vector<TenantState>& states,
                        capnp::List<wire::TenantState>::Builder builder) {
  for (unsigned i = 0; i < states.size(); ++i) {
    builder[i].setTenant(states[i].tenant);
    builder[i].setFraction(static_cast<float>(states[i].fraction));
    builder[i].setDemand(static_cast<float>(states[i].demand));
    builder[i].setAgeMs(static_cast<std::uint32_t>(ToMilliseconds(states[i].age)));
    builder[i].setLimited(states[i].limited);
    builder[i].setInPlace(!states[i].by_home);
  }
}

std::vector<TenantState> DecodeTenantStates(capnp::List<wire::TenantState>::Reader reader) {
  std::vector<TenantState> states;
  for (const auto state : reader) {
    const double fraction = state.getFraction();
    const double demand = state.getDemand();
    if (fraction >= 0 && fraction <= 1 && std::isfinite(demand) && demand >= 0) {
      states.push_back({.tenant = state.getTenant(),
                        .limited = state.getLimited(),
                        .fraction = fraction,
                        .demand = demand,
                        .by_home = !state.getInPlace(),
                        .age = std::chrono::milliseconds(state.getAgeMs())});
    }
  }
  return states;
}

std::string EncodeUsage(const UsageMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::UsageMessage>();
  if (const auto* report = std::get_if<UsageReport>(&message)) {
    root.setIncarnation(report->incarnation);
    root.setSequence(report->sequence);
    auto usage = root.initUsage(static_cast<unsigned>(report->tenants.size()));
    for (unsigned i = 0; i < report->tenants.size(); ++i) {
      usage[i].setTenant(report->tenants[i].tenant);
      usage[i].setAsked(report->tenants[i].asked);
      usage[i].setAdmitted(report->tenants[i].admitted);
      usage[i].setKnownDemand(static_cast<float>(report->tenants[i].known_demand));
    }
  } else {
    const auto& acknowledgement = std::get<UsageAcknowledgement>(message);
    root.setSequence(acknowledgement.sequence);
    EncodeTenantStates(acknowledgement.states,
                       root.initStates(static_cast<unsigned>(acknowledgement.states.size())));
  }
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, builder);
  const auto packed = output.getArray();
  std::string bytes(1, kUsageMarker);
  bytes.append(reinterpret_cast<const char*>(packed.begin()), packed.size());
  return bytes;
}

std::optional<UsageMessage> DecodeUsage(std::string_view bytes) {
  if (bytes.empty() || bytes.front() != kUsageMarker) {
    return std::nullopt;
  }
  bytes.remove_prefix(1);
  std::optional<UsageMessage> message;
  try {
    kj::ArrayInputStream input(kj::ArrayPtr<const kj::byte>(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader reader(input, {.traversalLimitInWords = kWordLimit});
    // The destructor of the reader may fail as well. While another exception is in flight, it would
    // print the failure to stderr instead.
    try {
      message = ReadUsage(reader.getRoot<wire::UsageMessage>());
    } catch (const kj::Exception&) {
      message.reset();
    }
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
  return message;
}

}  // namespace ibishold
