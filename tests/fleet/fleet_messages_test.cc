#include <doctest/doctest.h>
#include <kj/exception.h>

#include <cmath>
#include <limits>

#include "ibishold/fleet.h"
#include "ibishold/node.h"

namespace ibishold {

namespace {

constexpr std::size_t kDatagramBytes = 1472;  // UDP payload of one Ethernet frame

// Reports and acknowledgements for `count` tenants, with numbers that pack badly.
UsageReport MakeReport(std::size_t count) {
  UsageReport report = {.incarnation = ~0ULL, .sequence = ~0U};
  for (std::size_t i = 0; i < count; ++i) {
    report.tenants.push_back(
        {.tenant = StableHash("t", i) | 0x0101010101010101, .asked = ~0U, .admitted = -1});
  }
  return report;
}

std::vector<TenantState> MakeStates(std::size_t count) {
  std::vector<TenantState> states;
  for (std::size_t i = 0; i < count; ++i) {
    states.push_back({.tenant = StableHash("t", i) | 0x0101010101010101,
                      .limited = i % 2 == 0,
                      .fraction = static_cast<float>(1 / (3.0 + static_cast<double>(i))),
                      .demand = static_cast<float>(1e9 / 3),
                      .age = std::chrono::milliseconds(0x7fffffff - i)});
  }
  return states;
}

void CheckEqual(const std::vector<TenantState>& read, const std::vector<TenantState>& sent) {
  REQUIRE(read.size() == sent.size());
  for (std::size_t i = 0; i < sent.size(); ++i) {
    CHECK(read[i].tenant == sent[i].tenant);
    CHECK(read[i].limited == sent[i].limited);
    CHECK(read[i].fraction == sent[i].fraction);
    CHECK(read[i].demand == sent[i].demand);
    CHECK(read[i].age == sent[i].age);
  }
}

}  // namespace

TEST_CASE("encoding of messages between VMs") {
  GossipMessage gossip = {
      .sender = {.address = {.ip = 7, .port = 8},
                 .incarnation = 9,
                 .data_centre = DataCentre("east"),
                 .processor_share = 0.25,
                 .fan_out_rate = 2,
                 .stopping = true},
      .peers = {{.peer = {.address = {.ip = 1, .port = 2}}, .age = std::chrono::milliseconds(30)}},
      .refusals = {{.fingerprint = 5, .service = 6, .time_left = std::chrono::milliseconds(600)}},
      .silent_leaves = {{.leaf = LeafId("i-1"), .request_age = std::chrono::milliseconds(31)}},
      .leaving_leaves = {{.leaf = LeafId("i-2"), .started = 77}},
      .crashes = {{.fingerprint = 1,
                   .part = CallPart::kWhole,
                   .request = 2,
                   .service = 3,
                   .leaf = 4,
                   .age = std::chrono::milliseconds(50)}},
      .limits = {{.leaf = 8, .rate = 2.5, .age = std::chrono::milliseconds(70)}, {.leaf = 9}}};
  const std::string bytes = EncodeGossip(gossip);
  SUBCASE("a decoded gossip message equals the encoded one") {
    const auto read = DecodeGossip(bytes);
    REQUIRE(read.has_value());
    CHECK(read->sender.address == gossip.sender.address);
    CHECK(read->sender.stopping);
    CHECK(read->sender.data_centre == DataCentre("east"));
    REQUIRE(read->peers.size() == 1);
    CHECK(read->peers[0].age == std::chrono::milliseconds(30));
    REQUIRE(read->silent_leaves.size() == 1);
    CHECK(read->silent_leaves[0].leaf == LeafId("i-1"));
    CHECK(read->silent_leaves[0].request_age == std::chrono::milliseconds(31));
    REQUIRE(read->refusals.size() == 1);
    CHECK(read->refusals[0].fingerprint == 5);
    CHECK(read->refusals[0].service == 6);
    CHECK(read->refusals[0].time_left == std::chrono::milliseconds(600));
    REQUIRE(read->leaving_leaves.size() == 1);
    CHECK(read->leaving_leaves[0].leaf == LeafId("i-2"));
    CHECK(read->leaving_leaves[0].started == 77);
    REQUIRE(read->crashes.size() == 1);
    CHECK(read->crashes[0].part == CallPart::kWhole);
    CHECK(read->crashes[0].request == 2);
    CHECK(read->crashes[0].leaf == 4);
    CHECK(read->crashes[0].age == std::chrono::milliseconds(50));
    REQUIRE(read->limits.size() == 2);
    CHECK(read->limits[0].leaf == 8);
    CHECK(read->limits[0].rate == 2.5);
    CHECK(read->limits[0].age == std::chrono::milliseconds(70));
    CHECK(read->limits[1].leaf == 9);
    CHECK_FALSE(read->limits[1].rate.has_value());
  }
  SUBCASE("a full sample of peers fits into one unfragmented datagram") {
    gossip.peers.assign(PeerTableOptions{}.reports_per_message, gossip.peers[0]);
    gossip.refusals.assign(8, gossip.refusals[0]);
    gossip.silent_leaves.clear();
    gossip.leaving_leaves.clear();
    gossip.crashes.clear();
    gossip.limits.clear();  // sent in messages of their own
    for (PeerReport& report : gossip.peers) {
      report.peer.data_centre = DataCentre("shymkent-a");
    }
    CHECK(EncodeGossip(gossip).size() <= 1472);  // UDP payload of one Ethernet frame
  }
  SUBCASE("leaf notices fit into one unfragmented datagram") {
    gossip.peers.clear();
    gossip.refusals.clear();
    gossip.limits.clear();
    gossip.silent_leaves.assign(NodeOptions{}.max_silent_leaves / 2,
                                {.leaf = LeafId("i-0123456789abcdef")});
    gossip.leaving_leaves.assign(8, {.leaf = LeafId("i-0123456789abcdef")});
    gossip.crashes.assign(12, gossip.crashes[0]);
    CHECK(EncodeGossip(gossip).size() <= 1472);
  }
  SUBCASE("news of calls that crash leaves, and limits, fit into one unfragmented datagram") {
    gossip.peers.clear();
    gossip.silent_leaves.clear();
    gossip.refusals.assign(8, gossip.refusals[0]);
    gossip.leaving_leaves.assign(8, {.leaf = LeafId("i-0123456789abcdef")});
    gossip.limits.assign(8, gossip.limits[0]);
    gossip.crashes.assign(12, gossip.crashes[0]);
    CHECK(EncodeGossip(gossip).size() <= 1472);
  }
  SUBCASE("a document update preserves arbitrary bytes") {
    const DocumentUpdate update = {
        .as_of = 4,
        .in_touch = true,
        .changes = {{.key = "k", .value = std::string("\0\xff", 2), .revision = 4}}};
    const auto read = DecodeDocumentUpdate(EncodeDocumentUpdate(update));
    REQUIRE(read.has_value());
    CHECK(read->changes[0].value == update.changes[0].value);
  }
  SUBCASE("revisions keep the epoch of the store") {
    // Guards against peers that order the documents of a restored store by their numbers alone.
    const GossipMessage gossip = {.documents_as_of = {85, 2}};
    CHECK(DecodeGossip(EncodeGossip(gossip))->documents_as_of == gossip.documents_as_of);
    const auto read = DecodeDocumentUpdate(EncodeDocumentUpdate(
        {.as_of = {85, 2}, .changes = {{.key = "k", .value = "1", .revision = {81, 2}}}}));
    REQUIRE(read.has_value());
    CHECK(read->as_of == Revision(85, 2));
    CHECK(read->changes[0].revision == Revision(81, 2));
  }
  SUBCASE("a key with a zero byte is not taken for the key before that byte") {
    // Guards against an odd entry that replaces the entry of a leaf at the VMs that hear of it from
    // their peers.
    const std::string key("servers/i-1\0x", 13);
    const auto read = DecodeDocumentUpdate(
        EncodeDocumentUpdate({.as_of = 4, .changes = {{.key = key, .revision = 4}}}));
    REQUIRE(read.has_value());
    CHECK(read->changes[0].key == key);
  }
  SUBCASE("damaged bytes are rejected or decoded without any other effect") {
    Random random(3);
    for (int i = 0; i < 3000; ++i) {
      std::string damaged = bytes;
      for (std::uint64_t flips = 1 + random.NextBelow(6); flips > 0; --flips) {
        damaged[random.NextBelow(damaged.size())] = static_cast<char>(random.NextBelow(256));
      }
      damaged.resize(random.NextBelow(damaged.size() + 1));
      DecodeGossip(damaged);
      DecodeDocumentUpdate(damaged);
    }
    CHECK_FALSE(DecodeGossip("").has_value());
    CHECK_FALSE(DecodeGossip("abc").has_value());
  }
}

TEST_CASE("encoding of usage reports and acknowledgements") {
  const UsageReport report = MakeReport(AllowanceGateOptions{}.max_tenants_per_report);
  const UsageAcknowledgement acknowledgement = {.sequence = ~0U,
                                                .states = MakeStates(report.tenants.size())};
  const std::string report_bytes = EncodeUsage(report);
  const std::string acknowledgement_bytes = EncodeUsage(acknowledgement);
  SUBCASE("a decoded report equals the encoded one") {
    const auto read = DecodeUsage(report_bytes);
    REQUIRE(read.has_value());
    REQUIRE(std::holds_alternative<UsageReport>(*read));
    const auto& decoded = std::get<UsageReport>(*read);
    CHECK(decoded.incarnation == report.incarnation);
    CHECK(decoded.sequence == report.sequence);
    REQUIRE(decoded.tenants.size() == report.tenants.size());
    for (std::size_t i = 0; i < report.tenants.size(); ++i) {
      CHECK(decoded.tenants[i].tenant == report.tenants[i].tenant);
      CHECK(decoded.tenants[i].asked == report.tenants[i].asked);
      CHECK(decoded.tenants[i].admitted == report.tenants[i].admitted);
    }
  }
  SUBCASE("a decoded acknowledgement equals the encoded one") {
    const auto read = DecodeUsage(acknowledgement_bytes);
    REQUIRE(read.has_value());
    REQUIRE(std::holds_alternative<UsageAcknowledgement>(*read));
    const auto& decoded = std::get<UsageAcknowledgement>(*read);
    CHECK(decoded.sequence == acknowledgement.sequence);
    CheckEqual(decoded.states, acknowledgement.states);
  }
  SUBCASE("empty messages are read back") {
    CHECK(std::holds_alternative<UsageReport>(*DecodeUsage(EncodeUsage(MakeReport(0)))));
    CHECK(std::holds_alternative<UsageAcknowledgement>(
        *DecodeUsage(EncodeUsage(UsageAcknowledgement{.sequence = 1}))));
  }
  SUBCASE("a full message fits into one unfragmented datagram, whatever its numbers") {
    // Guards against reports of a busy VM that are always lost on a network without fragments.
    CHECK(report_bytes.size() <= kDatagramBytes);
    CHECK(acknowledgement_bytes.size() <= kDatagramBytes);
  }
  SUBCASE("states with numbers that are out of range are left out, and the others stay valid") {
    // Guards against a share or a demand that is not a number and stays in force for a tenant.
    constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
    constexpr double kInfinity = std::numeric_limits<double>::infinity();
    UsageAcknowledgement odd = {.sequence = 1, .states = MakeStates(7)};
    odd.states[0].fraction = -0.01;
    odd.states[1].fraction = 1.01;
    odd.states[2].fraction = kNan;
    odd.states[3].demand = kNan;
    odd.states[4].demand = kInfinity;
    odd.states[5].demand = -1;
    const auto read = DecodeUsage(EncodeUsage(odd));
    REQUIRE(read.has_value());
    CheckEqual(std::get<UsageAcknowledgement>(*read).states, {odd.states[6]});
    const auto gossip = DecodeGossip(EncodeGossip({.tenant_states = odd.states}));
    REQUIRE(gossip.has_value());
    CheckEqual(gossip->tenant_states, {odd.states[6]});
  }
  SUBCASE("every truncated message is rejected") {
    for (const std::string& bytes : {report_bytes, acknowledgement_bytes}) {
      for (std::size_t size = 0; size < bytes.size(); ++size) {
        CAPTURE(size);
        CHECK_FALSE(DecodeUsage(std::string_view(bytes).substr(0, size)).has_value());
      }
    }
  }
  SUBCASE("a message whose root and end are both invalid is rejected, and nothing is printed") {
    // Guards against a line with a stack trace on stderr for each such datagram. Found by
    // tenant_fuzzer.
    struct LineCounter : kj::ExceptionCallback {
      void logMessage(kj::LogSeverity, const char*, int, int, kj::String&&) override {
        ++this->lines;
      }
      int lines = 0;
    } printed;
    // In packed form: segments of 0 and 5 words, followed by 7 words of zeros.
    constexpr char kBytes[] = {'\xff', 1, 1, 1, 5, 0, 6};
    CHECK_FALSE(DecodeUsage({kBytes, sizeof(kBytes)}).has_value());
    CHECK(printed.lines == 0);
  }
  SUBCASE("damaged bytes are rejected or decoded to valid states") {
    Random random(5);
    for (int i = 0; i < 20'000; ++i) {
      std::string damaged = i % 2 == 0 ? report_bytes : acknowledgement_bytes;
      for (std::uint64_t flips = 1 + random.NextBelow(6); flips > 0; --flips) {
        // Most of the structure is in the first bytes.
        const std::size_t range = random.NextBelow(2) == 0 ? 24 : damaged.size() - 1;
        damaged[1 + random.NextBelow(range)] = static_cast<char>(random.NextBelow(256));
      }
      const auto read = DecodeUsage(damaged);
      if (read && std::holds_alternative<UsageAcknowledgement>(*read)) {
        for (const TenantState& state : std::get<UsageAcknowledgement>(*read).states) {
          CHECK((state.fraction >= 0 && state.fraction <= 1));
          CHECK((std::isfinite(state.demand) && state.demand >= 0));
          CHECK(state.age >= Duration::zero());
        }
      }
    }
  }
}

TEST_CASE("messages of the two kinds that arrive at one port are told apart") {
  for (std::size_t count = 0; count <= 60; ++count) {
    CAPTURE(count);
    for (const std::uint32_t sequence : {0U, 1U, 255U, ~0U}) {
      UsageReport report = MakeReport(count);
      report.sequence = sequence;
      CHECK_FALSE(DecodeGossip(EncodeUsage(report)).has_value());
      CHECK_FALSE(DecodeGossip(EncodeUsage(UsageAcknowledgement{.sequence = sequence,
                                                                .states = MakeStates(count)}))
                      .has_value());
    }
    GossipMessage gossip = {
        .sender = {.address = {.ip = ~0U, .port = 0xffff}, .incarnation = ~0ULL},
        .documents_as_of = ~0ULL,
        .tenant_states = MakeStates(count)};
    gossip.peers.assign(count, {.peer = gossip.sender});
    CHECK_FALSE(DecodeUsage(EncodeGossip(gossip)).has_value());
    CHECK(EncodeGossip(gossip).front() != EncodeUsage(MakeReport(count)).front());
  }
}

TEST_CASE("gossip carries the states of tenants") {
  GossipMessage gossip = {.tenant_states = MakeStates(NodeOptions{}.max_tenant_states)};
  const auto read = DecodeGossip(EncodeGossip(gossip));
  REQUIRE(read.has_value());
  CheckEqual(read->tenant_states, gossip.tenant_states);
  SUBCASE("a message of an older release states none") {
    CHECK(DecodeGossip(EncodeGossip({}))->tenant_states.empty());
  }
  SUBCASE("all that is sent with them fits into one unfragmented datagram") {
    gossip.sender.data_centre = DataCentre("shymkent-a");
    CHECK(EncodeGossip(gossip).size() <= kDatagramBytes);
  }
}

}  // namespace ibishold
