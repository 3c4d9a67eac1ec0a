// Guards the whole path link -> leaf -> HTTP -> leaf stand-in and back, over real sockets.
#include <capnp/message.h>
#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <future>
#include <map>
#include <thread>

#include "ibishold/broker.h"
#include "ibishold/net.h"
#include "standins/leaf_admin.h"

namespace ibishold {

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

constexpr const char* kBrokerAddress = "127.20.1.1";
constexpr const char* kLeafAddress = "127.20.2.1";

Topology OneLeaf(std::uint32_t slots) {
  Topology topology;
  topology.generation = 1;
  topology.partition_map_version = 1;
  Service service{.name = ServiceName("depot-desk"), .slots = slots, .index_version = 7};
  service.shards.push_back({.id = ShardId("s0"),
                            .leaves = {{.id = LeafId("leaf-0"),
                                        .data_centre = DataCentre("bole"),
                                        .address = kLeafAddress,
                                        .port = 20000}}});
  topology.services.push_back(service);
  return topology;
}

ControlViewPtr ViewOf(const Topology& topology, RowState state) {
  auto view = std::make_shared<ControlView>();
  view->topology = std::make_shared<Topology>(topology);
  auto table = std::make_shared<Table>();
  table->rows.push_back(
      {.service = ServiceName("depot-desk"), .data_centre = DataCentre("bole"), .state = state});
  view->table = table;
  auto vms = std::make_shared<VmList>();
  vms->vms.push_back(
      {.id = VmId("vm-01"), .data_centre = DataCentre("bole"), .address = kBrokerAddress});
  view->vms = vms;
  view->may_hold_slots = true;
  return view;
}

struct Seen {
  wire::Outcome outcome = wire::Outcome::FAILED;
  wire::Verdict verdict = wire::Verdict::MAY_HAVE_RUN;
  std::string records;
  bool cancel = false;
};

// A front with one link. Everything runs on its own thread.
class TestFront {
 public:
  TestFront() : pool(context, {.vm = VmId("vm-01"), .incarnation = 5}) {
    this->pool.Start([this](FrameLink&, wire::Frame::Reader frame) { this->OnFrame(frame); },
                     [](FrameLink&, const absl::Status&) {});
    this->thread = std::thread([this] {
      const auto guard = asio::make_work_guard(this->context);
      this->context.run();
    });
  }
  ~TestFront() {
    this->context.stop();
    this->thread.join();
  }

  FrameLinkPtr Link() {
    for (int i = 0; i < 200; ++i) {
      std::promise<FrameLinkPtr> got;
      asio::post(this->context, [&] { got.set_value(this->pool.Get(kBrokerAddress, 8090)); });
      if (FrameLinkPtr link = got.get_future().get()) {
        return link;
      }
      std::this_thread::sleep_for(10ms);
    }
    return nullptr;
  }

  void Send(std::uint64_t attempt, wire::RequestKind kind, std::chrono::microseconds left) {
    const FrameLinkPtr link = this->Link();
    REQUIRE(link);
    asio::post(this->context, [link, attempt, kind, left] {
      capnp::MallocMessageBuilder message;
      auto frame = message.initRoot<wire::Frame>();
      frame.setCorrelation(link->NextCorrelation());
      auto batch = frame.getBody().initLeafBatch();
      batch.setRequestId("r");
      batch.setService("depot-desk");
      batch.setKind(kind);
      batch.setTimeLeftMicros(static_cast<std::uint64_t>(left.count()));
      batch.setIndexVersion(7);
      batch.setMapVersion(1);
      const std::string body = "{\"term\":\"t\",\"id\":\"op\"}";
      batch.setBody(kj::arrayPtr(reinterpret_cast<const kj::byte*>(body.data()), body.size()));
      auto requests = batch.initRequests(1);
      requests[0].setAttempt(attempt);
      requests[0].setLeaf("leaf-0");
      requests[0].setShard("s0");
      link->Send(message).IgnoreError();
    });
  }

  void Cancel(std::uint64_t attempt) {
    const FrameLinkPtr link = this->Link();
    REQUIRE(link);
    asio::post(this->context, [link, attempt] {
      capnp::MallocMessageBuilder message;
      auto frame = message.initRoot<wire::Frame>();
      frame.setCorrelation(link->NextCorrelation());
      frame.getBody().initCancel().initAttempts(1).set(0, attempt);
      link->Send(message).IgnoreError();
    });
  }

  // Waits for the frame about an attempt and takes it.
  std::optional<Seen> Await(std::uint64_t attempt, std::chrono::milliseconds limit = 5s) {
    for (auto left = limit; left > 0ms; left -= 5ms) {
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const auto found = this->answers.find(attempt);
        if (found != this->answers.end()) {
          const Seen seen = found->second;
          this->answers.erase(found);
          return seen;
        }
      }
      std::this_thread::sleep_for(5ms);
    }
    return std::nullopt;
  }

  std::atomic<int> going_away{0};

 private:
  void OnFrame(wire::Frame::Reader frame) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto body = frame.getBody();
    if (body.isLeafAnswer()) {
      const auto answer = body.getLeafAnswer();
      const auto records = answer.getRecords().asChars();
      this->answers.emplace(answer.getAttempt(),
                            Seen{.outcome = answer.getOutcome(),
                                 .verdict = answer.getVerdict(),
                                 .records = std::string(records.begin(), records.size())});
    } else if (body.isCancelResult()) {
      const auto result = body.getCancelResult();
      this->answers.emplace(result.getAttempt(),
                            Seen{.verdict = result.getVerdict(), .cancel = true});
    } else if (body.isGoingAway()) {
      ++this->going_away;
    }
  }

  asio::io_context context{1};
  LinkPool pool;
  std::mutex mutex;
  std::multimap<std::uint64_t, Seen> answers;
  std::thread thread;
};

class TestLeaf {
 public:
  TestLeaf(const Topology& topology, double median_ms)
      : admin(context, topology, "", {.median_ms = median_ms, .sigma = 0.01}, true) {
    this->thread = std::thread([this] {
      const auto guard = asio::make_work_guard(this->context);
      this->context.run();
    });
  }
  ~TestLeaf() {
    this->context.stop();
    this->thread.join();
  }

 private:
  asio::io_context context{1};
  standin::LeafAdmin admin;
  std::thread thread;
};

}  // namespace

TEST_CASE("work of a front reaches a leaf and comes back") {
  const Topology topology = OneLeaf(2);
  TestLeaf leaf(topology, 100);
  Metrics metrics;
  ControlViewPtr view = ViewOf(topology, RowState::kIn);
  BrokerOptions options;
  options.vm = VmId("vm-01");
  options.address = kBrokerAddress;
  options.incarnation = 9;
  options.limits.takeover_wait = Duration{};
  options.metrics = &metrics;
  options.hold_until = [] { return TimePoint::max(); };
  options.view = [&view] { return view; };
  Broker broker(options);
  REQUIRE(broker.Start().ok());
  broker.OnView(view);
  std::this_thread::sleep_for(200ms);
  TestFront front;

  // Step 1: a search returns the leaf's records.
  front.Send(1, wire::RequestKind::SEARCH, 2s);
  const auto first = front.Await(1);
  REQUIRE(first);
  CHECK(first->outcome == wire::Outcome::OK);
  CHECK(first->verdict == wire::Verdict::RAN);
  CHECK(first->records.front() == '[');

  // Step 2: an execute runs.
  front.Send(2, wire::RequestKind::EXECUTE, 2s);
  const auto second = front.Await(2);
  REQUIRE(second);
  CHECK(second->verdict == wire::Verdict::RAN);

  // Step 3: at level 1 the second of two attempts waits and its cancel is truly "not run"; a
  // cancel of the first one is not.
  front.Send(3, wire::RequestKind::SEARCH, 2s);
  front.Send(4, wire::RequestKind::SEARCH, 2s);
  front.Cancel(4);
  const auto queued = front.Await(4);
  REQUIRE(queued);
  CHECK(queued->cancel);
  CHECK(queued->verdict == wire::Verdict::NOT_RUN);
  front.Cancel(3);
  const auto running = front.Await(3);
  REQUIRE(running);
  CHECK(running->cancel);
  CHECK(running->verdict == wire::Verdict::MAY_HAVE_RUN);

  // Step 4: an unknown attempt may have run.
  front.Cancel(99);
  const auto unknown = front.Await(99);
  REQUIRE(unknown);
  CHECK(unknown->verdict == wire::Verdict::MAY_HAVE_RUN);

  // Step 5: the operators take the data centre out.
  view = ViewOf(topology, RowState::kOut);
  broker.OnView(view);
  std::this_thread::sleep_for(50ms);
  front.Send(5, wire::RequestKind::SEARCH, 2s);
  const auto out = front.Await(5);
  REQUIRE(out);
  CHECK(out->outcome == wire::Outcome::DRAINING);
  CHECK(out->verdict == wire::Verdict::NOT_RUN);

  // Step 6: a planned stop finishes what runs and tells the front.
  view = ViewOf(topology, RowState::kIn);
  broker.OnView(view);
  std::this_thread::sleep_for(200ms);
  front.Send(6, wire::RequestKind::SEARCH, 2s);
  std::this_thread::sleep_for(30ms);
  std::promise<void> stopped;
  broker.BeginStop([&stopped] { stopped.set_value(); });
  const auto last = front.Await(6);
  REQUIRE(last);
  CHECK(last->outcome == wire::Outcome::OK);
  CHECK(stopped.get_future().wait_for(5s) == std::future_status::ready);
  CHECK(front.going_away == 1);
  broker.Stop();
}

}  // namespace ibishold
