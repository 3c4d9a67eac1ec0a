#ifndef TESTS_BROKER_PROCESS_FIXTURE_H_
#define TESTS_BROKER_PROCESS_FIXTURE_H_

// A front, brokers and a stand-in leaf that run in one process and are connected by real sockets.

#include <capnp/message.h>
#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <future>
#include <map>
#include <thread>

#include "ibishold/broker.h"
#include "ibishold/net.h"
#include "ibishold/quarantine.h"
#include "standins/leaf_admin.h"

namespace ibishold::process_fixture {

using namespace std::chrono_literals;
namespace asio = boost::asio;

constexpr const char* kBrokerAddress = "127.20.1.1";
constexpr const char* kSecondBrokerAddress = "127.20.1.2";
constexpr const char* kLeafAddress = "127.20.2.1";

inline Topology MakeOneLeafTopology(std::uint32_t slots) {
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

inline ControlViewPtr MakeView(
    const Topology& topology,
    RowState state,
    const std::vector<VmEntry>& vm_entries = {
        {.id = VmId("vm-01"), .data_centre = DataCentre("bole"), .address = kBrokerAddress}}) {
  auto view = std::make_shared<ControlView>();
  view->topology = std::make_shared<Topology>(topology);
  auto table = std::make_shared<Table>();
  table->rows.push_back(
      {.service = ServiceName("depot-desk"), .data_centre = DataCentre("bole"), .state = state});
  view->table = table;
  auto vms = std::make_shared<VmList>();
  vms->vms = vm_entries;
  view->vms = vms;
  view->may_hold_slots = true;
  return view;
}

struct ReceivedAnswer {
  wire::Outcome outcome = wire::Outcome::FAILED;
  wire::Verdict verdict = wire::Verdict::MAY_HAVE_RUN;
  std::string records;
  bool cancel = false;
};

// Front with one link to a broker. The link is used on a thread of its own.
class TestFront {
 public:
  explicit TestFront(std::string broker_address = kBrokerAddress)
      : address(std::move(broker_address)), pool(context, {.vm = VmId("vm-01"), .incarnation = 5}) {
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

  FrameLinkPtr GetLink() {
    for (int i = 0; i < 200; ++i) {
      std::promise<FrameLinkPtr> link_promise;
      asio::post(this->context,
                 [&] { link_promise.set_value(this->pool.Get(this->address, 8090)); });
      if (FrameLinkPtr link = link_promise.get_future().get()) {
        return link;
      }
      std::this_thread::sleep_for(10ms);
    }
    return nullptr;
  }

  void Send(std::uint64_t attempt,
            wire::RequestKind kind,
            std::chrono::microseconds time_left,
            const std::string& term = "t") {
    const FrameLinkPtr link = this->GetLink();
    REQUIRE(link);
    asio::post(this->context, [link, attempt, kind, time_left, term] {
      capnp::MallocMessageBuilder message;
      auto frame = message.initRoot<wire::Frame>();
      frame.setCorrelation(link->AllocateCorrelation());
      auto batch = frame.getBody().initLeafBatch();
      batch.setRequestId("r");
      batch.setService("depot-desk");
      batch.setKind(kind);
      batch.setTimeLeftMicros(static_cast<std::uint64_t>(time_left.count()));
      batch.setIndexVersion(7);
      batch.setMapVersion(1);
      const std::string body = "{\"term\":\"" + term + "\",\"id\":\"op\"}";
      batch.setFingerprint(ComputeFingerprint(ServiceName("depot-desk"), body));
      batch.setBody(kj::arrayPtr(reinterpret_cast<const kj::byte*>(body.data()), body.size()));
      auto requests = batch.initRequests(1);
      requests[0].setAttempt(attempt);
      requests[0].setLeaf("leaf-0");
      requests[0].setShard("s0");
      requests[0].setCanary(term == "crash");
      link->Send(message).IgnoreError();
    });
  }

  void Cancel(std::uint64_t attempt) {
    const FrameLinkPtr link = this->GetLink();
    REQUIRE(link);
    asio::post(this->context, [link, attempt] {
      capnp::MallocMessageBuilder message;
      auto frame = message.initRoot<wire::Frame>();
      frame.setCorrelation(link->AllocateCorrelation());
      frame.getBody().initCancel().initAttempts(1).set(0, attempt);
      link->Send(message).IgnoreError();
    });
  }

  // Waits for the answer or cancel result of an attempt and removes it from the received ones.
  std::optional<ReceivedAnswer> WaitForAnswer(std::uint64_t attempt,
                                              std::chrono::milliseconds timeout = 5s) {
    for (auto time_left = timeout; time_left > 0ms; time_left -= 5ms) {
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const auto found = this->answers.find(attempt);
        if (found != this->answers.end()) {
          const ReceivedAnswer answer = found->second;
          this->answers.erase(found);
          return answer;
        }
      }
      std::this_thread::sleep_for(5ms);
    }
    return std::nullopt;
  }

  std::atomic<int> going_away_count{0};
  std::atomic<int> quarantine_reports{0};

 private:
  void OnFrame(wire::Frame::Reader frame) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto body = frame.getBody();
    if (body.isLeafAnswer()) {
      const auto answer = body.getLeafAnswer();
      const auto records = answer.getRecords().asChars();
      this->answers.emplace(
          answer.getAttempt(),
          ReceivedAnswer{.outcome = answer.getOutcome(),
                         .verdict = answer.getVerdict(),
                         .records = std::string(records.begin(), records.size())});
    } else if (body.isCancelResult()) {
      const auto result = body.getCancelResult();
      this->answers.emplace(result.getAttempt(),
                            ReceivedAnswer{.verdict = result.getVerdict(), .cancel = true});
    } else if (body.isGoingAway()) {
      ++this->going_away_count;
    } else if (body.isQuarantine()) {
      ++this->quarantine_reports;
    }
  }

  std::string address;
  asio::io_context context{1};
  LinkPool pool;
  std::mutex mutex;
  std::multimap<std::uint64_t, ReceivedAnswer> answers;
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

class TestBroker {
 public:
  TestBroker(const std::string& vm, const std::string& address, ControlViewPtr initial_view)
      : view(std::move(initial_view)) {
    BrokerOptions options;
    options.vm = VmId(vm);
    options.address = address;
    options.incarnation = 9;
    options.metrics = &this->metrics;
    options.hold_until = [] { return TimePoint::max(); };
    options.view = [this] { return this->GetView(); };
    this->broker = std::make_unique<Broker>(options);
    REQUIRE(this->broker->Start().ok());
    this->broker->OnView(this->GetView());
  }
  ~TestBroker() { this->broker->Stop(); }

  void ApplyView(ControlViewPtr new_view) {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->view = new_view;
    }
    this->broker->OnView(std::move(new_view));
  }
  Broker& operator*() { return *this->broker; }

 private:
  ControlViewPtr GetView() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->view;
  }

  std::mutex mutex;
  ControlViewPtr view;
  Metrics metrics;
  std::unique_ptr<Broker> broker;
};

}  // namespace ibishold::process_fixture

#endif  // TESTS_BROKER_PROCESS_FIXTURE_H_
