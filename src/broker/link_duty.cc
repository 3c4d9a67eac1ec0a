#include "broker/link_duty.h"

#include <capnp/message.h>

#include <utility>

#include "ibishold/control.h"

namespace ibishold {

namespace {

LinkOptions OptionsOf(const BrokerOptions& options) {
  LinkOptions link;
  link.vm = options.vm;
  link.role = wire::Hello::Role::BROKER;
  link.incarnation = options.incarnation;
  return link;
}

std::string TextOf(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

}  // namespace

LinkDuty::LinkDuty(boost::asio::io_context& context, const BrokerOptions& options, PushToLeaf push)
    : context(context),
      options(options),
      push(std::move(push)),
      server(context, OptionsOf(options)),
      pool(context, OptionsOf(options)),
      retry_timer(context),
      random(options.incarnation),
      overflow_refusals(
          options.metrics->AddCounter("ibishold_broker_ring_refusals_total",
                                      "Attempts refused because the leaf thread had no room")) {
  this->pool.Start([](FrameLink&, wire::Frame::Reader) {}, [](FrameLink&, const absl::Status&) {});
}

absl::Status LinkDuty::Listen() {
  return this->server.Listen(
      this->options.address, this->options.link_port,
      [this](FrameLink& link, wire::Frame::Reader frame) { this->OnFrame(link, frame); },
      [this](FrameLink& link, const absl::Status&) { this->OnClose(link); });
}

void LinkDuty::OnFrame(FrameLink& link, wire::Frame::Reader frame) {
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
      // From the front of this VM: only the runs whose tokens it took over.
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
      PeerLevel message{.vm = link.peer_vm(), .leaf = LeafId(TextOf(state.getLeaf()))};
      message.level = {.incarnation = state.getIncarnation(),
                       .level = state.getLevel(),
                       .warm = state.getWarm(),
                       .report = state.getReport(),
                       .echo = state.getEcho()};
      this->push(ToLeaf(std::move(message)));
      return;
    }
    case wire::Frame::Body::SLOT_RELEASE: {
      const auto release = body.getSlotRelease();
      this->push(ToLeaf(PeerRelease{.vm = link.peer_vm(),
                                    .leaf = LeafId(TextOf(release.getLeaf())),
                                    .slots = release.getSlots(),
                                    .primary = release.getPrimary()}));
      return;
    }
    case wire::Frame::Body::QUARANTINE:
      this->push(ToLeaf(PeerQuarantine{.report = ReadQuarantineReport(body.getQuarantine())}));
      return;
    default:
      return;  // frames of later versions
  }
}

void LinkDuty::OnClose(FrameLink& link) {
  const auto found = this->ids.find(&link);
  if (found == this->ids.end()) {
    return;
  }
  const std::uint64_t id = found->second;
  this->ids.erase(found);
  this->links.erase(id);
  if (!this->push(ToLeaf(LinkLost{.link = id}))) {
    // Its queued work must not use up slots; try again when the leaf thread has caught up.
    auto timer =
        std::make_shared<boost::asio::steady_timer>(this->context, std::chrono::milliseconds(20));
    timer->async_wait([this, timer, id](boost::system::error_code error) {
      if (!error) {
        this->push(ToLeaf(LinkLost{.link = id}));
      }
    });
  }
}

std::uint64_t LinkDuty::IdOf(FrameLink& link) {
  const auto [entry, added] = this->ids.try_emplace(&link, this->last_link + 1);
  if (added) {
    ++this->last_link;
    this->links[entry->second] = {.link = link.weak_from_this(), .id = entry->second};
  }
  return entry->second;
}

FrameLinkPtr LinkDuty::LinkOf(std::uint64_t id) {
  const auto found = this->links.find(id);
  return found == this->links.end() ? nullptr : found->second.link.lock();
}

void LinkDuty::OnLeafMessage(ToLink message) {
  if (const auto* answer = std::get_if<AnswerWork>(&message)) {
    this->SendAnswer(*answer);
  } else if (const auto* cancel = std::get_if<AnswerCancel>(&message)) {
    this->SendCancelResult(*cancel);
  } else if (const auto* level = std::get_if<PeerLevel>(&message)) {
    this->SendLevel(*level);
  } else if (const auto* release = std::get_if<PeerRelease>(&message)) {
    this->SendRelease(*release);
  } else if (const auto* entry = std::get_if<PeerQuarantine>(&message)) {
    this->SendQuarantine(*entry);
  }
}

void LinkDuty::BeginStop() {
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

void LinkDuty::Close() {
  this->server.Close();
  this->retry_timer.cancel();
  this->pool.CloseAll(absl::CancelledError("broker stops"));
  for (const auto& [id, entry] : this->links) {
    if (const FrameLinkPtr link = entry.link.lock()) {
      link->Close(absl::CancelledError("broker stops"));
    }
  }
}

}  // namespace ibishold
