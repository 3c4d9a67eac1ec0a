#ifndef IBISHOLD_BROKER_LINK_MANAGER_H_
#define IBISHOLD_BROKER_LINK_MANAGER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "broker/messages.h"
#include "ibishold/broker.h"
#include "ibishold/net.h"

namespace ibishold {

// Links to fronts and to other brokers. All functions must be called on the thread of the
// io_context.
class LinkManager {
 public:
  // Returns false, and leaves the message unchanged, if the ring to the leaf thread is full.
  using PushToLeafThread = std::function<bool(LeafThreadMessage&&)>;

  LinkManager(boost::asio::io_context& context,
              const BrokerOptions& options,
              PushToLeafThread push);

  absl::Status Listen();

  void OnLeafMessage(LinkThreadMessage message);  // from the leaf thread

  // Refuses new work from now on and announces the stop on all links.
  void BeginStop();
  void Close();

 private:
  struct IncomingLink {
    std::weak_ptr<FrameLink> link;
    std::uint64_t id = 0;
    bool wants_views = false;
  };

  using PeerMessage = std::unique_ptr<capnp::MessageBuilder>;
  // Message to another VM, queued until the link to this VM is open.
  struct WaitingMessage {
    PeerMessage message;
    TimePoint expires{};
  };

  void OnFrame(FrameLink& link, wire::Frame::Reader frame);
  void OnClose(FrameLink& link);
  std::uint64_t GetOrAssignLinkId(FrameLink& link);
  FrameLinkPtr FindLink(std::uint64_t id);

  // Defined in link_manager_frames.cc.
  void OnBatch(FrameLink& link, std::uint64_t correlation, wire::LeafBatch::Reader batch);
  void OnCancel(FrameLink& link, std::uint64_t correlation, wire::Cancel::Reader cancel);
  void OnGetView(FrameLink& link, std::uint64_t correlation, wire::GetView::Reader request);
  void OnGetDocument(FrameLink& link, std::uint64_t correlation, wire::GetDocument::Reader request);
  void SendAnswer(const AnswerWork& answer);
  void SendCancelResult(const AnswerCancel& answer);

  // Defined in link_manager_peers.cc.
  void SendLevel(const PeerLeafLevel& level);
  void SendRelease(const PeerSlotRelease& release);
  void SendQuarantine(const PeerQuarantine& quarantined);
  void SendToPeer(const VmId& vm, PeerMessage message);
  void FlushPeerMessages(const VmId& vm, std::deque<WaitingMessage>& queue);
  void ScheduleRetry();

  boost::asio::io_context& context;
  const BrokerOptions& options;
  PushToLeafThread push_to_leaf_thread;
  LinkServer server;
  LinkPool peer_links;
  bool stopping = false;
  std::uint64_t last_link_id = 0;
  std::map<VmId, std::deque<WaitingMessage>> waiting_messages;
  boost::asio::steady_timer retry_timer;
  bool retry_scheduled = false;
  Random random;
  std::unordered_map<const FrameLink*, std::uint64_t> link_ids;
  std::unordered_map<std::uint64_t, IncomingLink> links;
  Counter& overflow_refusals;
};

}  // namespace ibishold

#endif  // IBISHOLD_BROKER_LINK_MANAGER_H_
