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

// The request thread: carries out the actions of FrontCore over links to brokers, and asks the
// local broker for the view.
class RequestWorker {
 public:
  using AnswerHandler = std::function<void(std::shared_ptr<CallerAnswer>)>;

  RequestWorker(boost::asio::io_context& context,
                const FrontProcessOptions& options,
                Metrics& metrics,
                AnswerHandler on_answer);

  absl::Status Listen() { return this->front_links.Listen(); }  // before the thread runs
  void Start();
  void HandleRequest(CallerRequest request);
  void AbandonRequest(std::uint64_t ticket);
  void BeginHandOver() { this->front_links.BeginHandOver(); }
  bool hand_over_done() const { return this->front_links.hand_over_done(); }  // any thread
  void Close();                                                               // all links

  bool has_view() const { return this->view_ready.load(); }                            // any thread
  std::size_t requests_in_progress() const { return this->in_progress_count.load(); }  // any thread
  std::string DebugState() const;                                                      // any thread

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
  boost::asio::steady_timer core_timer;  // of the core
  boost::asio::steady_timer tick_timer;  // view and counters
  std::optional<TimePoint> core_timer_deadline;
  ControlViewPtr view;
  std::unordered_map<std::string, std::string> vm_addresses;   // by VM
  std::unordered_map<const FrameLink*, VmId> broker_link_vms;  // open links to brokers
  std::unordered_map<std::string, Latency*> latency_metrics;   // by tenant and class
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
