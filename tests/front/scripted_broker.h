#ifndef TESTS_FRONT_SCRIPTED_BROKER_H_
#define TESTS_FRONT_SCRIPTED_BROKER_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <functional>
#include <future>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "front/frames.h"
#include "ibishold/control.h"
#include "ibishold/net.h"

namespace ibishold::testing {

// Test broker on a TCP link. It serves one view and answers each leaf request with one record whose
// value is the request body. Tests can delay or drop the answers and choose the results of cancels.
class ScriptedBroker {
 public:
  ScriptedBroker(const VmId& vm, ControlView view) : view(std::move(view)) {
    LinkOptions options;
    options.vm = vm;
    options.role = wire::Hello::Role::BROKER;
    options.incarnation = 1;
    this->server = std::make_unique<LinkServer>(this->context, options);
  }

  ~ScriptedBroker() {
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  absl::Status Start(const std::string& address, std::uint16_t port) {
    const absl::Status status = this->server->Listen(
        address, port,
        [this](FrameLink& link, wire::Frame::Reader frame) { this->OnFrame(link, frame); },
        [](FrameLink&, const absl::Status&) {});
    this->thread = std::thread([this] { this->context.run(); });
    return status;
  }

  void SetView(ControlView next_view) {
    PostToServerThread([this, next_view = std::move(next_view)] { this->view = next_view; });
  }

  std::atomic<int> answer_delay_ms{0};          // delay of each answer
  std::atomic<bool> drop_leaf_requests{false};  // leaf requests get no answer
  // Verdict of the answer to a cancel: not_run if true, may_have_run if false.
  std::atomic<bool> confirm_removals{false};
  std::atomic<int> leaf_request_count{0};
  std::atomic<int> execute_count{0};
  std::atomic<int> cancel_count{0};
  std::atomic<int> reported_run_count{0};  // runs whose tokens the front took over
  std::atomic<std::uint64_t> index_version{7};

 private:
  template <typename Function>
  void PostToServerThread(Function&& function) {
    boost::asio::post(this->context, std::forward<Function>(function));
  }

  void OnFrame(FrameLink& link, wire::Frame::Reader frame) {
    const auto body = frame.getBody();
    if (body.isGetView()) {
      capnp::MallocMessageBuilder message;
      auto frame_builder = message.initRoot<wire::Frame>();
      frame_builder.setCorrelation(frame.getCorrelation());
      WriteView(this->view, body.getGetView().getKnown(), frame_builder.getBody().initView());
      link.Send(message).IgnoreError();
      return;
    }
    if (body.isView()) {
      this->reported_run_count = static_cast<int>(body.getView().getSuccessors().size());
      return;
    }
    if (body.isCancel()) {
      for (const std::uint64_t attempt : body.getCancel().getAttempts()) {
        ++this->cancel_count;
        capnp::MallocMessageBuilder message;
        auto frame_builder = message.initRoot<wire::Frame>();
        auto result = frame_builder.getBody().initCancelResult();
        result.setAttempt(attempt);
        result.setVerdict(this->confirm_removals ? wire::Verdict::NOT_RUN
                                                 : wire::Verdict::MAY_HAVE_RUN);
        link.Send(message).IgnoreError();
      }
      return;
    }
    if (!body.isLeafBatch()) {
      return;
    }
    const auto batch = body.getLeafBatch();
    const std::string request_body = CopyToString(batch.getBody());
    const bool is_execute = batch.getKind() == wire::RequestKind::EXECUTE;
    for (const auto request : batch.getRequests()) {
      ++this->leaf_request_count;
      this->execute_count += is_execute ? 1 : 0;
      if (this->drop_leaf_requests) {
        continue;
      }
      this->SendAnswerAfterDelay(link.shared_from_this(), frame.getCorrelation(),
                                 request.getAttempt(), std::string(request.getShard().cStr()),
                                 request_body, batch.getMapVersion());
    }
  }

  void SendAnswerAfterDelay(FrameLinkPtr link,
                            std::uint64_t correlation,
                            std::uint64_t attempt,
                            const std::string& shard,
                            const std::string& request_body,
                            std::uint64_t map_version) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        this->context, std::chrono::milliseconds(this->answer_delay_ms.load()));
    timer->async_wait([=, this, timer = timer](boost::system::error_code) {
      capnp::MallocMessageBuilder message;
      auto frame_builder = message.initRoot<wire::Frame>();
      frame_builder.setCorrelation(correlation);
      auto answer = frame_builder.getBody().initLeafAnswer();
      answer.setAttempt(attempt);
      answer.setOutcome(wire::Outcome::OK);
      answer.setVerdict(wire::Verdict::RAN);
      answer.setComplete(true);
      answer.setIndexVersion(this->index_version);
      answer.setMapVersion(map_version);
      answer.initVersionsHeld(1).set(0, this->index_version);
      // Each shard of the test topology holds one record, at the first key of its range.
      const std::uint64_t key = this->FindFirstKey(shard);
      const std::string records =
          "[{\"key\":" + std::to_string(key) + ",\"value\":" + request_body + "}]";
      answer.setRecords(MakeDataReader(records));
      link->Send(message).IgnoreError();
    });
  }

  std::uint64_t FindFirstKey(const std::string& shard) const {
    for (const Service& service : this->view.topology->services) {
      for (const Shard& shard_entry : service.shards) {
        if (shard_entry.id.value == shard) {
          return shard_entry.range.begin;
        }
      }
    }
    return 0;
  }

  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard{
      this->context.get_executor()};
  ControlView view;
  std::unique_ptr<LinkServer> server;
  std::thread thread;
};

}  // namespace ibishold::testing

#endif  // TESTS_FRONT_SCRIPTED_BROKER_H_
