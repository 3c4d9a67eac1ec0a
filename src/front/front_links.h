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

// Links between fronts. They carry execute requests to the home of their token, and the tokens of a
// stopping front to its successor.
class FrontLinks {
 public:
  // run_actions performs the pending actions of `core`; it is called after each event.
  FrontLinks(boost::asio::io_context& context,
             const FrontProcessOptions& options,
             FrontCore& core,
             std::function<void()> run_actions);

  absl::Status Listen();
  void SetView(const ControlViewPtr& view);
  void PerformAction(const ForwardExecute& forward);
  void PerformAction(const ForwardResult& result);
  void PerformAction(const SendHandOver& hand_over);

  // Connects to a successor and sends it the tokens. A candidate that cannot be reached within
  // kSuccessorConnectLimit is skipped.
  void BeginHandOver();
  bool hand_over_done() const { return this->hand_over_finished.load(); }  // thread-safe
  void Close();

 private:
  // Link and correlation that the result of a forwarded request is sent with.
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
  std::unordered_map<std::string, std::string> vm_addresses;         // by VM id
  std::unordered_map<std::uint64_t, ForwardOrigin> forward_origins;  // by waiter of FrontCore
  std::unordered_map<std::uint64_t, const FrameLink*>
      pending_forwards;                          // no result yet; by correlation
  std::set<const FrameLink*> hand_over_senders;  // handed their tokens over to this front
  std::vector<VmId> successor_candidates;        // not tried yet; the best one is last
  FrameLinkPtr successor_link;
  TimePoint candidate_connect_deadline{};
  std::size_t unacknowledged_parts = 0;
  std::atomic<bool> hand_over_finished{false};
  ControlViewPtr view;
};

}  // namespace ibishold

#endif  // SRC_FRONT_FRONT_LINKS_H_
