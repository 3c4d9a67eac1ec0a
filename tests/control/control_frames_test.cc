#include <capnp/message.h>
#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "ibishold/control.h"

namespace ibishold {

namespace {

ControlViewPtr MakeView(std::uint64_t generation) {
  ConfigStore store;
  const std::string generation_text = std::to_string(generation);
  store.Offer(
      {{"topology", 0, 0},
       R"({"generation":)" + generation_text + R"(,"partition_map_version":1,"services":[]})"});
  store.Offer({{"vms", 0, 0},
               R"({"generation":)" + generation_text +
                   R"(,"vms":[{"id":"vm-1","data_centre":"bole",)" +
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

absl::StatusOr<ControlViewPtr> ExchangeView(const ControlView& broker_view,
                                            const ControlViewPtr& front_view) {
  capnp::MallocMessageBuilder request;
  auto get_request = request.initRoot<wire::GetView>();
  WriteGetView(front_view.get(), get_request);
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::View>();
  WriteView(broker_view, get_request.asReader().getKnown(), frame);
  return ReadView(frame.asReader(), front_view);
}

}  // namespace

TEST_CASE("ReadQuarantineReport returns all fields of the frame") {
  // Guards against a lost crash id, which would permit the request to run again.
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Quarantine>();
  frame.setFingerprint(7);
  frame.setCrashAgeMillis(1500);
  auto crash_ids = frame.initAloneCrashes(2);
  crash_ids.set(0, 11);
  crash_ids.set(1, 12);
  const QuarantineReport expected{
      .fingerprint = 7, .crash_age = std::chrono::milliseconds(1500), .alone_crashes = {11, 12}};
  CHECK(ReadQuarantineReport(frame.asReader()) == expected);
}

TEST_CASE("a front receives the view of its broker") {
  auto broker_view = std::make_shared<ControlView>(*MakeView(4));
  broker_view->lost_vms.insert(VmId("vm-2"));
  broker_view->successors[{VmId("vm-3"), 9}] = {VmId("vm-1"), 2};
  auto vms_with_states = std::make_shared<VmList>(*broker_view->vms);
  vms_with_states->vms[0].state = VmState::kLeaving;
  vms_with_states->vms[1].state = VmState::kLost;
  broker_view->vms = vms_with_states;
  const auto front_view = ExchangeView(*broker_view, nullptr);
  REQUIRE(front_view.ok());
  CHECK((*front_view)->ready);
  CHECK((*front_view)->may_hold_slots);
  CHECK((*front_view)->documents.size() == 2);
  CHECK((*front_view)->successors == broker_view->successors);
  // Guards against different VM states at a front and its broker, which would make them assign
  // slots differently.
  CHECK((*front_view)->vms->vms[0].state == VmState::kLeaving);
  CHECK((*front_view)->vms->vms[1].state == VmState::kLost);

  SUBCASE("documents that the front already has are not sent again") {
    capnp::MallocMessageBuilder request;
    auto get_request = request.initRoot<wire::GetView>();
    WriteGetView(front_view->get(), get_request);
    capnp::MallocMessageBuilder message;
    auto frame = message.initRoot<wire::View>();
    WriteView(*broker_view, get_request.asReader().getKnown(), frame);
    CHECK(frame.getDocuments().size() == 0);
  }
  SUBCASE("a VM that is no longer lost becomes live again") {
    const auto updated_view = ExchangeView(*MakeView(4), *front_view);
    REQUIRE(updated_view.ok());
    CHECK((*updated_view)->vms->vms[1].state == VmState::kLive);
    CHECK((*updated_view)->lost_vms.empty());
  }
  SUBCASE("a broker with older documents does not replace newer documents of the front") {
    const auto updated_view = ExchangeView(*MakeView(3), *front_view);
    REQUIRE(updated_view.ok());
    CHECK((*updated_view)->topology->generation == 4);
  }
}

TEST_CASE("a document frame between brokers preserves text and digest") {
  auto view = std::make_shared<ControlView>(*MakeView(4));
  Document& document = view->documents.back();
  document.packed = std::make_shared<const std::string>(Deflate(document.text));
  capnp::MallocMessageBuilder request;
  auto get_request = request.initRoot<wire::GetDocument>();
  get_request.setKey("vms");
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Document>();
  CHECK(WriteDocument(*view, get_request, frame));
  const auto decoded_document = ReadDocument(frame);
  REQUIRE(decoded_document.ok());
  CHECK((*decoded_document)->text == document.text);
  CHECK((*decoded_document)->digest == document.digest);

  SUBCASE("a body with a wrong length is rejected") {
    // Guards against accepting a truncated text as a document.
    frame.setTextBytes(frame.getTextBytes() + 1);
    CHECK_FALSE(ReadDocument(frame).ok());
    frame.setTextBytes(UINT32_MAX);
    CHECK_FALSE(ReadDocument(frame).ok());
  }
  SUBCASE("a document that the peer lacks is returned as nullopt") {
    get_request.setKey("table");
    capnp::MallocMessageBuilder absent_message;
    auto absent_document = absent_message.initRoot<wire::Document>();
    CHECK_FALSE(WriteDocument(*view, get_request, absent_document));
    CHECK_FALSE(ReadDocument(absent_document)->has_value());
  }
}

TEST_CASE("a heartbeat datagram is decoded unchanged and corrupted datagrams cause no crash") {
  HeartbeatMessage message;
  message.vm = VmId("vm-1");
  message.incarnation = 1'700'000'000'123;
  message.sequence = 7;
  message.state = VmState::kLeaving;
  message.digests = {{"table", 3, 0x1234567890abcdef}, {"vms", 9, 1}};
  message.facts = {{VmId("vm-2"), 5, VmState::kLost}};
  message.silent = {{VmId("vm-3"), 6}};
  message.successors = {{{VmId("vm-4"), 4}, {VmId("vm-9"), 3}}};
  const std::string datagram = EncodeDatagram(message);
  const auto decoded_message = DecodeDatagram(datagram);
  REQUIRE(decoded_message.ok());
  CHECK_FALSE(decoded_message->acknowledgement);
  CHECK(decoded_message->vm == message.vm);
  CHECK(decoded_message->incarnation == message.incarnation);
  CHECK(decoded_message->sequence == 7);
  CHECK(decoded_message->state == VmState::kLeaving);
  CHECK(decoded_message->digests == message.digests);
  CHECK(decoded_message->facts == message.facts);
  REQUIRE(decoded_message->silent.size() == 1);
  CHECK(decoded_message->silent[0].vm == VmId("vm-3"));
  CHECK(decoded_message->successors == message.successors);
  // Guards against a crash of the process on a malformed datagram.
  Random random(1);
  std::size_t decoded_count = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string damaged_datagram = datagram.substr(0, random.NextBelow(datagram.size() + 1));
    for (std::size_t changes_left = random.NextBelow(4);
         changes_left > 0 && !damaged_datagram.empty(); --changes_left) {
      damaged_datagram[random.NextBelow(damaged_datagram.size())] =
          static_cast<char>(random.Next());
    }
    decoded_count += DecodeDatagram(damaged_datagram).ok() ? 1 : 0;
  }
  CHECK(decoded_count < 20000);
}

}  // namespace ibishold
