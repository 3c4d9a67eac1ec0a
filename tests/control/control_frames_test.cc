#include <capnp/message.h>
#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "ibishold/control.h"

namespace ibishold {

namespace {

ControlViewPtr ViewWith(std::uint64_t generation) {
  ConfigStore store;
  const std::string number = std::to_string(generation);
  store.Offer({{"topology", 0, 0},
               R"({"generation":)" + number + R"(,"partition_map_version":1,"services":[]})"});
  store.Offer({{"vms", 0, 0},
               R"({"generation":)" + number + R"(,"vms":[{"id":"vm-1","data_centre":"bole",)" +
                   R"("address":"127.0.0.1"},{"id":"vm-2","data_centre":"bole",)" +
                   R"("address":"127.0.0.2"}]})"});
  auto view = std::make_shared<ControlView>();
  view->topology = store.topology();
  view->vms = store.vms();
  view->documents = store.documents();
  view->ready = true;
  view->may_hold_slots = true;
  return view;
}

absl::StatusOr<ControlViewPtr> Exchange(const ControlView& broker, const ControlViewPtr& front) {
  capnp::MallocMessageBuilder request;
  auto get = request.initRoot<wire::GetView>();
  WriteGetView(front.get(), get);
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::View>();
  WriteView(broker, get.asReader().getKnown(), frame);
  return ReadView(frame.asReader(), front);
}

}  // namespace

TEST_CASE("a quarantine frame keeps its report") {
  // Guards against a receiver that drops a crash and lets the request run again.
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Quarantine>();
  frame.setFingerprint(7);
  frame.setCrashAgeMillis(1500);
  auto crashes = frame.initAloneCrashes(2);
  crashes.set(0, 11);
  crashes.set(1, 12);
  const QuarantineReport expected{
      .fingerprint = 7, .crash_age = std::chrono::milliseconds(1500), .alone_crashes = {11, 12}};
  CHECK(ReadQuarantineReport(frame.asReader()) == expected);
}

TEST_CASE("a front follows the view of its broker") {
  auto broker = std::make_shared<ControlView>(*ViewWith(4));
  broker->lost_vms.insert(VmId("vm-2"));
  broker->successors[{VmId("vm-3"), 9}] = {VmId("vm-1"), 2};
  auto states = std::make_shared<VmList>(*broker->vms);
  states->vms[0].state = VmState::kLeaving;
  states->vms[1].state = VmState::kLost;
  broker->vms = states;
  const auto front = Exchange(*broker, nullptr);
  REQUIRE(front.ok());
  CHECK((*front)->ready);
  CHECK((*front)->may_hold_slots);
  CHECK((*front)->documents.size() == 2);
  CHECK((*front)->successors == broker->successors);
  // Guards against slots that a front places over another list than its broker.
  CHECK((*front)->vms->vms[0].state == VmState::kLeaving);
  CHECK((*front)->vms->vms[1].state == VmState::kLost);

  SUBCASE("what is known is not sent again") {
    capnp::MallocMessageBuilder request;
    auto get = request.initRoot<wire::GetView>();
    WriteGetView(front->get(), get);
    capnp::MallocMessageBuilder message;
    auto frame = message.initRoot<wire::View>();
    WriteView(*broker, get.asReader().getKnown(), frame);
    CHECK(frame.getDocuments().size() == 0);
  }
  SUBCASE("states that recovered are live again") {
    const auto later = Exchange(*ViewWith(4), *front);
    REQUIRE(later.ok());
    CHECK((*later)->vms->vms[1].state == VmState::kLive);
    CHECK((*later)->lost_vms.empty());
  }
  SUBCASE("a broker that restarted beside a stale platform takes nothing back") {
    const auto later = Exchange(*ViewWith(3), *front);
    REQUIRE(later.ok());
    CHECK((*later)->topology->generation == 4);
  }
}

TEST_CASE("documents between brokers") {
  auto view = std::make_shared<ControlView>(*ViewWith(4));
  Document& document = view->documents.back();
  document.packed = std::make_shared<const std::string>(Deflate(document.text));
  capnp::MallocMessageBuilder request;
  auto get = request.initRoot<wire::GetDocument>();
  get.setKey("vms");
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Document>();
  CHECK(WriteDocument(*view, get, frame));
  const auto read = ReadDocument(frame);
  REQUIRE(read.ok());
  CHECK((*read)->text == document.text);
  CHECK((*read)->digest == document.digest);

  SUBCASE("a damaged body is an error") {
    // Guards against a truncated text that would be offered as a document.
    frame.setTextBytes(frame.getTextBytes() + 1);
    CHECK_FALSE(ReadDocument(frame).ok());
    frame.setTextBytes(UINT32_MAX);
    CHECK_FALSE(ReadDocument(frame).ok());
  }
  SUBCASE("a document that the peer lacks is not an error") {
    get.setKey("table");
    capnp::MallocMessageBuilder other;
    auto none = other.initRoot<wire::Document>();
    CHECK_FALSE(WriteDocument(*view, get, none));
    CHECK_FALSE(ReadDocument(none)->has_value());
  }
}

TEST_CASE("heartbeats survive the network") {
  HeartbeatMessage message;
  message.vm = VmId("vm-1");
  message.incarnation = 1'700'000'000'123;
  message.sequence = 7;
  message.state = VmState::kLeaving;
  message.digests = {{"table", 3, 0x1234567890abcdef}, {"vms", 9, 1}};
  message.facts = {{VmId("vm-2"), 5, VmState::kLost}};
  message.silent = {{VmId("vm-3"), 6}};
  message.successors = {{{VmId("vm-4"), 4}, {VmId("vm-9"), 3}}};
  const std::string bytes = EncodeDatagram(message);
  const auto read = DecodeDatagram(bytes);
  REQUIRE(read.ok());
  CHECK_FALSE(read->acknowledgement);
  CHECK(read->vm == message.vm);
  CHECK(read->incarnation == message.incarnation);
  CHECK(read->sequence == 7);
  CHECK(read->state == VmState::kLeaving);
  CHECK(read->digests == message.digests);
  CHECK(read->facts == message.facts);
  REQUIRE(read->silent.size() == 1);
  CHECK(read->silent[0].vm == VmId("vm-3"));
  CHECK(read->successors == message.successors);
  // Guards against a datagram from elsewhere that ends the process.
  Random random(1);
  std::size_t accepted = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string damaged = bytes.substr(0, random.NextBelow(bytes.size() + 1));
    for (std::size_t flips = random.NextBelow(4); flips > 0 && !damaged.empty(); --flips) {
      damaged[random.NextBelow(damaged.size())] = static_cast<char>(random.Next());
    }
    accepted += DecodeDatagram(damaged).ok() ? 1 : 0;
  }
  CHECK(accepted < 20000);
}

}  // namespace ibishold
