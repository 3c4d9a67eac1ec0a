#ifndef SRC_FRONT_REQUEST_WORKER_H_
#define SRC_FRONT_REQUEST_WORKER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "front/front_links.h"
#include "ibishold/config.h"
#include "ibishold/front.h"
#include "ibishold/front_process.h"
#include "ibishold/metrics.h"
#include "ibishold/net.h"

namespace ibishold {

// Runs FrontCore on the request thread: performs its actions over links to brokers and other
// fronts, and polls the local broker for the view.
class RequestWorker {
 public:
  using AnswerHandler = std::function<void(std::shared_ptr<CallerAnswer>)>;

  RequestWorker(boost::asio::io_context& context,
                const FrontProcessOptions& options,
                Metrics& metrics,
                AnswerHandler on_answer);

  absl::Status Listen() { return this->front_links.Listen(); }  // call before the thread starts
  void Start();
  void HandleRequest(CallerRequest request);
  void BeginStop(TimePoint end);
  void AbandonRequest(std::uint64_t ticket);
  void BeginHandOver() { this->front_links.BeginHandOver(); }
  bool hand_over_done() const { return this->front_links.hand_over_done(); }  // thread-safe
  void Close();  // cancels the timers, closes the links

  bool has_view() const { return this->view_ready.load(); }  // thread-safe
  std::size_t requests_in_progress() const {
    return this->in_progress_count.load();
  }                                // thread-safe
  std::string DebugState() const;  // thread-safe

 private:
  void OnFrame(FrameLink& link, wire::Frame::Reader frame);
  void OnLinkClosed(FrameLink& link);
  void OnView(wire::View::Reader view_reader);
  void RunActions();
  void PerformAction(const SendBatch& batch);
  void PerformAction(const SendCancel& cancel);
  void PerformAction(const Reply& reply);
  void PerformAction(const ForwardExecute& forward) { this->front_links.PerformAction(forward); }
  void PerformAction(const ForwardResult& result) { this->front_links.PerformAction(result); }
  void PerformAction(const SendHandOver& hand_over) { this->front_links.PerformAction(hand_over); }
  void ArmCoreTimer();
  void Tick();
  void SendViewRequest();
  void PreconnectBrokers();
  void ReportInheritedRuns();
  void ExportCounters();
  FrameLinkPtr GetLink(const VmId& vm);

  boost::asio::io_context& context;
  const FrontProcessOptions& options;
  Metrics& metrics;
  AnswerHandler on_answer;
  FrontCore core;
  LinkPool broker_links;
  FrontLinks front_links;
  boost::asio::steady_timer core_timer;  // next timer of `core`
  boost::asio::steady_timer tick_timer;  // calls Tick every view_interval
  std::optional<TimePoint> core_timer_deadline;
  ControlViewPtr view;
  std::unordered_map<std::string, std::string> vm_addresses;   // by VM id
  std::unordered_map<const FrameLink*, VmId> broker_link_vms;  // broker at the other end
  std::unordered_map<std::string, Latency*> latency_metrics;   // by tenant and request class
  FrontCounters exported_counters;
  bool running_actions = false;
  std::size_t reported_run_count = 0;
  TimePoint next_report_at{};
  std::atomic<bool> view_ready{false};
  std::atomic<std::size_t> in_progress_count{0};
  mutable std::mutex debug_mutex;
  std::string debug_state = "{}";
};

}  // namespace ibishold

#endif  // SRC_FRONT_REQUEST_WORKER_H_
