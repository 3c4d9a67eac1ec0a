#ifndef SRC_FRONT_REQUEST_DUTY_H_
#define SRC_FRONT_REQUEST_DUTY_H_

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
class RequestDuty {
 public:
  using AnswerHandler = std::function<void(std::shared_ptr<CallerAnswer>)>;

  RequestDuty(boost::asio::io_context& context,
              const FrontProcessOptions& options,
              Metrics& metrics,
              AnswerHandler on_answer);

  absl::Status Listen() { return this->fronts.Listen(); }  // before the thread runs
  void Start();
  void Request(CallerRequest request);
  void Abandon(std::uint64_t ticket);
  void BeginHandOver() { this->fronts.BeginHandOver(); }
  bool hand_over_done() const { return this->fronts.hand_over_done(); }  // any thread
  void Close();                                                          // all links

  bool has_view() const { return this->view_ready.load(); }          // any thread
  std::size_t in_progress() const { return this->progress.load(); }  // any thread
  std::string DebugState() const;                                    // any thread

 private:
  void OnFrame(FrameLink& link, wire::Frame::Reader frame);
  void OnLinkClosed(FrameLink& link);
  void OnView(wire::View::Reader frame);
  void RunActions();
  void Carry(const SendBatch& batch);
  void Carry(const SendCancel& cancel);
  void Carry(const Reply& reply);
  void Carry(const ForwardExecute& forward) { this->fronts.Carry(forward); }
  void Carry(const ForwardResult& result) { this->fronts.Carry(result); }
  void Carry(const SendHandOver& hand_over) { this->fronts.Carry(hand_over); }
  void ArmTimer();
  void Tick();
  void AskForView();
  void WarmLinks();
  void ReportInheritedRuns();
  void ExportCounters();
  FrameLinkPtr LinkTo(const VmId& vm);

  boost::asio::io_context& context;
  const FrontProcessOptions& options;
  Metrics& metrics;
  AnswerHandler on_answer;
  FrontCore core;
  LinkPool brokers;
  FrontLinks fronts;
  boost::asio::steady_timer timer;  // of the core
  boost::asio::steady_timer tick;   // view and counters
  std::optional<TimePoint> armed_for;
  ControlViewPtr view;
  std::unordered_map<std::string, std::string> addresses;  // by VM
  std::unordered_map<const FrameLink*, VmId> link_vms;     // open links to brokers
  std::unordered_map<std::string, Latency*> latencies;     // by tenant and class
  FrontCounters exported;
  bool running_actions = false;
  std::size_t reported_runs = 0;
  TimePoint report_at{};
  std::atomic<bool> view_ready{false};
  std::atomic<std::size_t> progress{0};
  mutable std::mutex debug_mutex;
  std::string debug_state = "{}";
};

}  // namespace ibishold

#endif  // SRC_FRONT_REQUEST_DUTY_H_
