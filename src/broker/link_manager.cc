#include "broker/link_manager.h"

#include <capnp/message.h>

#include <utility>

#include "ibishold/control.h"

namespace ibishold {

namespace {

LinkOptions MakeLinkOptions(const BrokerOptions& options) {
  LinkOptions link_options;
  link_options.vm = options.vm;
  link_options.role = wire::Hello::Role::BROKER;
  link_options.incarnation = options.incarnation;
  return link_options;
}

std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

}  // namespace

LinkManager::LinkManager(boost::asio::io_context& context,
                         const BrokerOptions& options,
                         PushToLeafThread push)
    : context(context),
      options(options),
      push_to_leaf_thread(std::move(push)),
      server(context, MakeLinkOptions(options)),
      peer_links(context, MakeLinkOptions(options)),
      retry_timer(context),
      random(options.incarnation),
      overflow_refusals(
          options.metrics->AddCounter("ibishold_broker_ring_refusals_total",
                                      "Attempts refused because the leaf thread had no room")) {
  this->peer_links.Start([](FrameLink&, wire::Frame::Reader) {},
                         [](FrameLink&, const absl::Status&) {});
}

absl::Status LinkManager::Listen() {
  return this->server.Listen(
      this->options.address, this->options.link_port,
      [this](FrameLink& link, wire::Frame::Reader frame) { this->OnFrame(link, frame); },
      [this](FrameLink& link, const absl::Status&) { this->OnClose(link); });
}

void LinkManager::OnFrame(FrameLink& link, wire::Frame::Reader frame) {
  const std::uint64_t correlation = frame.getCorrelation();
  const auto body = frame.getBody();
  switch (body.which()) {
    case wire::Frame::Body::LEAF_BATCH:
      this->OnBatch(link, correlation, body.getLeafBatch());
      return;
    case wire::Frame::Body::CANCEL:
      this->OnCancel(link, correlation, body.getCancel());
      return;
    case wire::Frame::Body::GET_VIEW:
      this->OnGetView(link, correlation, body.getGetView());
      return;
    case wire::Frame::Body::VIEW:
      // Only the front of this VM may report the runs whose tokens it took over.
      for (const auto successor : body.getView().getSuccessors()) {
        const VmId vm(std::string(successor.getVm().cStr()));
        if (this->options.on_successor && vm == this->options.vm && link.peer_vm() == vm) {
          this->options.on_successor(
              {VmId(std::string(successor.getHome().cStr())), successor.getIncarnation()});
        }
      }
      return;
    case wire::Frame::Body::GET_DOCUMENT:
      this->OnGetDocument(link, correlation, body.getGetDocument());
      return;
    case wire::Frame::Body::LEAF_STATE: {
      const auto state = body.getLeafState();
      PeerLeafLevel peer_level{.vm = link.peer_vm(), .leaf = LeafId(ToString(state.getLeaf()))};
      peer_level.level = {.incarnation = state.getIncarnation(),
                          .level = state.getLevel(),
                          .warm = state.getWarm(),
                          .report = state.getReport(),
                          .echo = state.getEcho()};
      this->push_to_leaf_thread(LeafThreadMessage(std::move(peer_level)));
      return;
    }
    case wire::Frame::Body::SLOT_RELEASE: {
      const auto release = body.getSlotRelease();
      this->push_to_leaf_thread(
          LeafThreadMessage(PeerSlotRelease{.vm = link.peer_vm(),
                                            .leaf = LeafId(ToString(release.getLeaf())),
                                            .slots = release.getSlots(),
                                            .primary = release.getPrimary()}));
      return;
    }
    case wire::Frame::Body::QUARANTINE:
      this->push_to_leaf_thread(
          LeafThreadMessage(PeerQuarantine{.report = ReadQuarantineReport(body.getQuarantine())}));
      return;
    default:
      return;  // unknown frame types of later versions
  }
}

void LinkManager::OnClose(FrameLink& link) {
  const auto found = this->link_ids.find(&link);
  if (found == this->link_ids.end()) {
    return;
  }
  const std::uint64_t id = found->second;
  this->link_ids.erase(found);
  this->links.erase(id);
  if (!this->push_to_leaf_thread(LeafThreadMessage(LinkClosed{.link_id = id}))) {
    // The ring is full. Retries later, so that queued work of the closed link uses no slots.
    auto timer =
        std::make_shared<boost::asio::steady_timer>(this->context, std::chrono::milliseconds(20));
    timer->async_wait([this, timer, id](boost::system::error_code error) {
      if (!error) {
        this->push_to_leaf_thread(LeafThreadMessage(LinkClosed{.link_id = id}));
      }
    });
  }
}

std::uint64_t LinkManager::GetOrAssignLinkId(FrameLink& link) {
  const auto [entry, added] = this->link_ids.try_emplace(&link, this->last_link_id + 1);
  if (added) {
    ++this->last_link_id;
    this->links[entry->second] = {.link = link.weak_from_this(), .id = entry->second};
  }
  return entry->second;
}

FrameLinkPtr LinkManager::FindLink(std::uint64_t id) {
  const auto found = this->links.find(id);
  return found == this->links.end() ? nullptr : found->second.link.lock();
}

void LinkManager::OnLeafMessage(LinkThreadMessage message) {
  if (const auto* answer = std::get_if<AnswerWork>(&message)) {
    this->SendAnswer(*answer);
  } else if (const auto* cancel = std::get_if<AnswerCancel>(&message)) {
    this->SendCancelResult(*cancel);
  } else if (const auto* level = std::get_if<PeerLeafLevel>(&message)) {
    this->SendLevel(*level);
  } else if (const auto* release = std::get_if<PeerSlotRelease>(&message)) {
    this->SendRelease(*release);
  } else if (const auto* quarantined = std::get_if<PeerQuarantine>(&message)) {
    this->SendQuarantine(*quarantined);
  }
}

void LinkManager::BeginStop() {
  this->stopping = true;
  for (const auto& [id, entry] : this->links) {
    const FrameLinkPtr link = entry.link.lock();
    if (!link) {
      continue;
    }
    capnp::MallocMessageBuilder builder;
    auto frame = builder.initRoot<wire::Frame>();
    frame.setCorrelation(link->AllocateCorrelation());
    frame.getBody().setGoingAway();
    link->Send(builder).IgnoreError();
  }
}

void LinkManager::Close() {
  this->server.Close();
  this->retry_timer.cancel();
  this->peer_links.CloseAll(absl::CancelledError("broker stops"));
  for (const auto& [id, entry] : this->links) {
    if (const FrameLinkPtr link = entry.link.lock()) {
      link->Close(absl::CancelledError("broker stops"));
    }
  }
}

}  // namespace ibishold
