// Tests the whole path of an attempt over real sockets: front link, link thread, leaf thread, HTTP
// call to a stand-in leaf, and the answer to the front.
#include <doctest/doctest.h>

#include <future>

#include "tests/broker/process_fixture.h"

namespace ibishold {

using namespace process_fixture;  // NOLINT(google-build-using-namespace)

TEST_CASE("attempts of a front run at a leaf and get answers and verdicts") {
  const Topology topology = MakeOneLeafTopology(2);
  TestLeaf leaf(topology, 100);
  TestBroker broker("vm-01", kBrokerAddress, MakeView(topology, RowState::kIn));
  std::this_thread::sleep_for(200ms);
  TestFront front;

  // Step 1: a search returns the leaf's records.
  front.Send(1, wire::RequestKind::SEARCH, 2s);
  const auto search_answer = front.WaitForAnswer(1);
  REQUIRE(search_answer);
  CHECK(search_answer->outcome == wire::Outcome::OK);
  CHECK(search_answer->verdict == wire::Verdict::RAN);
  CHECK(search_answer->records.front() == '[');

  // Step 2: an execute runs.
  front.Send(2, wire::RequestKind::EXECUTE, 2s);
  const auto execute_answer = front.WaitForAnswer(2);
  REQUIRE(execute_answer);
  CHECK(execute_answer->verdict == wire::Verdict::RAN);

  // Step 3: the cold leaf gets one call at a time, so the second of two attempts waits. Its cancel
  // states "not run"; the cancel of the first attempt, which runs, does not.
  front.Send(3, wire::RequestKind::SEARCH, 2s);
  front.Send(4, wire::RequestKind::SEARCH, 2s);
  front.Cancel(4);
  const auto queued_cancel = front.WaitForAnswer(4);
  REQUIRE(queued_cancel);
  CHECK(queued_cancel->cancel);
  CHECK(queued_cancel->verdict == wire::Verdict::NOT_RUN);
  front.Cancel(3);
  const auto running_cancel = front.WaitForAnswer(3);
  REQUIRE(running_cancel);
  CHECK(running_cancel->cancel);
  CHECK(running_cancel->verdict == wire::Verdict::MAY_HAVE_RUN);

  // Step 4: the cancel of an unknown attempt states that it may have run.
  front.Cancel(99);
  const auto unknown_cancel = front.WaitForAnswer(99);
  REQUIRE(unknown_cancel);
  CHECK(unknown_cancel->verdict == wire::Verdict::MAY_HAVE_RUN);

  // Step 5: after the operators take the data centre out, new attempts are refused.
  broker.ApplyView(MakeView(topology, RowState::kOut));
  std::this_thread::sleep_for(50ms);
  front.Send(5, wire::RequestKind::SEARCH, 2s);
  const auto taken_out_answer = front.WaitForAnswer(5);
  REQUIRE(taken_out_answer);
  CHECK(taken_out_answer->outcome == wire::Outcome::DRAINING);
  CHECK(taken_out_answer->verdict == wire::Verdict::NOT_RUN);

  // Step 6: a planned stop finishes running and queued attempts. New ones are accepted until the
  // slots are handed over, which guards against leaves whose slots nobody holds. Then the front
  // gets a going-away frame and new attempts are refused.
  broker.ApplyView(MakeView(topology, RowState::kIn));
  std::this_thread::sleep_for(200ms);
  front.Send(6, wire::RequestKind::SEARCH, 2s);
  front.Send(7, wire::RequestKind::SEARCH, 2s);
  std::this_thread::sleep_for(30ms);
  std::promise<void> stopped;
  (*broker).BeginStop([&stopped] { stopped.set_value(); });
  const auto running_answer = front.WaitForAnswer(6);
  REQUIRE(running_answer);
  CHECK(running_answer->outcome == wire::Outcome::OK);
  const auto queued_answer = front.WaitForAnswer(7);
  REQUIRE(queued_answer);
  CHECK(queued_answer->outcome == wire::Outcome::OK);
  front.Send(8, wire::RequestKind::SEARCH, 2s);
  const auto served_answer = front.WaitForAnswer(8);
  REQUIRE(served_answer);
  CHECK(served_answer->outcome == wire::Outcome::OK);
  for (int i = 0; i < 300 && front.going_away_count == 0; ++i) {
    std::this_thread::sleep_for(10ms);
  }
  CHECK(front.going_away_count == 1);
  front.Send(9, wire::RequestKind::SEARCH, 2s);
  const auto refused_answer = front.WaitForAnswer(9);
  REQUIRE(refused_answer);
  CHECK(refused_answer->outcome == wire::Outcome::NOT_OWNER);
  CHECK(refused_answer->verdict == wire::Verdict::NOT_RUN);
  CHECK(stopped.get_future().wait_for(5s) == std::future_status::ready);
}

TEST_CASE("a planned stop hands slots over without the takeover wait") {
  const Topology topology = MakeOneLeafTopology(2);
  TestLeaf leaf(topology, 20);
  const DataCentre bole("bole");
  std::vector<VmEntry> vms = {
      {.id = VmId("vm-01"), .data_centre = bole, .address = kBrokerAddress},
      {.id = VmId("vm-02"), .data_centre = bole, .address = kSecondBrokerAddress}};
  TestBroker first_broker("vm-01", kBrokerAddress, MakeView(topology, RowState::kIn, vms));
  TestBroker second_broker("vm-02", kSecondBrokerAddress, MakeView(topology, RowState::kIn, vms));
  std::this_thread::sleep_for(700ms);
  const auto second_broker_holds = [&second_broker](const std::string& slots) {
    return (*second_broker).StateJson().find("\"slots_held\":" + slots) != std::string::npos;
  };
  CHECK(second_broker_holds("1"));
  std::promise<void> stopped;
  (*first_broker).BeginStop([&stopped] { stopped.set_value(); });
  vms[0].state = VmState::kLeaving;
  second_broker.ApplyView(MakeView(topology, RowState::kIn, vms));
  CHECK(stopped.get_future().wait_for(3s) == std::future_status::ready);
  std::this_thread::sleep_for(600ms);
  // Guards against a slot that stays unused for the takeover wait of 8 s after each planned stop.
  CHECK(second_broker_holds("2"));
}

TEST_CASE("all brokers refuse a request that crashed leaves twice") {
  const Topology topology = MakeOneLeafTopology(2);
  TestLeaf leaf(topology, 20);
  const DataCentre bole("bole");
  const std::vector<VmEntry> vms = {
      {.id = VmId("vm-01"), .data_centre = bole, .address = kBrokerAddress},
      {.id = VmId("vm-02"), .data_centre = bole, .address = kSecondBrokerAddress}};
  TestBroker first_broker("vm-01", kBrokerAddress, MakeView(topology, RowState::kIn, vms));
  TestBroker second_broker("vm-02", kSecondBrokerAddress, MakeView(topology, RowState::kIn, vms));
  std::this_thread::sleep_for(300ms);
  // Sends each attempt to both owners, because only the primary of a cold leaf accepts work.
  TestFront first_front(kBrokerAddress);
  TestFront second_front(kSecondBrokerAddress);
  std::uint64_t attempt = 0;
  int crashes = 0;
  for (int i = 0; i < 40 && crashes < 2; ++i) {
    for (TestFront* front : {&first_front, &second_front}) {
      front->Send(++attempt, wire::RequestKind::SEARCH, 2s, "crash");
      const auto answer = front->WaitForAnswer(attempt);
      REQUIRE(answer);
      crashes += answer->outcome == wire::Outcome::LEAF_LOST ? 1 : 0;
    }
    std::this_thread::sleep_for(100ms);
  }
  REQUIRE(crashes == 2);
  std::this_thread::sleep_for(500ms);
  for (TestFront* front : {&first_front, &second_front}) {
    front->Send(++attempt, wire::RequestKind::SEARCH, 2s, "crash");
    const auto answer = front->WaitForAnswer(attempt);
    REQUIRE(answer);
    CHECK(answer->outcome == wire::Outcome::QUARANTINED);
    CHECK(answer->verdict == wire::Verdict::NOT_RUN);
    CHECK(front->quarantine_reports > 0);
  }
}

}  // namespace ibishold
