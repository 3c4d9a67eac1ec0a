#ifndef SRC_FRONT_FRONT_LINKS_H_
#define SRC_FRONT_FRONT_LINKS_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "ibishold/front.h"
#include "ibishold/front_process.h"
#include "ibishold/net.h"

namespace ibishold {

// Links among fronts: requests with tokens to their homes, and the hand-over of a stopping front.
class FrontLinks {
 public:
  // run_actions carries out what the core left to do.
  FrontLinks(boost::asio::io_context& context,
             const FrontProcessOptions& options,
             FrontCore& core,
             std::function<void()> run_actions);

  absl::Status Listen();
  void SetView(const ControlViewPtr& view);
  void PerformAction(const ForwardExecute& forward);
  void PerformAction(const ForwardResult& result);
  void PerformAction(const SendHandOver& hand_over);

  // Connects to a successor, then hands the tokens over; tries the next VM after hand_over_try.
  void BeginHandOver();
  bool hand_over_done() const { return this->hand_over_finished.load(); }  // any thread
  void Close();

 private:
  // Where the result of a forwarded request goes.
  struct ForwardOrigin {
    FrameLinkPtr link;
    std::uint64_t correlation = 0;
  };

  void OnFrame(FrameLink& link, wire::Frame::Reader frame);
  void OnExecute(FrameLink& link, std::uint64_t correlation, wire::Execute::Reader execute);
  void OnHandOver(FrameLink& link, std::uint64_t correlation, wire::TokenHandOver::Reader part);
  void OnLinkClosed(FrameLink& link);
  void PollHandOver();
  FrameLinkPtr GetLink(const VmId& vm);

  const FrontProcessOptions& options;
  FrontCore& core;
  std::function<void()> run_actions;
  LinkServer link_server;
  LinkPool link_pool;
  boost::asio::steady_timer hand_over_timer;
  std::unordered_map<std::string, std::string> vm_addresses;             // by VM
  std::unordered_map<std::uint64_t, ForwardOrigin> forward_origins;      // by waiter
  std::unordered_map<std::uint64_t, const FrameLink*> pending_forwards;  // sent, without a result
  std::set<const FrameLink*> hand_over_senders;                          // that handed over to us
  std::vector<VmId> successor_candidates;                                // still to be tried
  FrameLinkPtr successor_link;
  TimePoint candidate_connect_deadline{};
  std::size_t unacknowledged_parts = 0;
  std::atomic<bool> hand_over_finished{false};
  ControlViewPtr view;
};

}  // namespace ibishold

#endif  // SRC_FRONT_FRONT_LINKS_H_
