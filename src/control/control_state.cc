#include "control/control_state.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "control/document_fetch.h"

namespace ibishold {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

// Shorter texts fit a few packets anyway.
constexpr std::size_t kPackFrom = 1024;
// Room for the heartbeats that arrive while the thread parses a large document.
constexpr int kReceiveBuffer = 1 << 20;

MembershipOptions ForMembership(const ControlOptions& options) {
  MembershipOptions result;
  result.vm = options.vm;
  result.data_centre = options.data_centre;
  result.incarnation = options.incarnation;
  result.seed =
      options.seed != 0 ? options.seed : StableHash(options.vm.value, options.incarnation);
  result.seeds = options.seeds;
  return result;
}

}  // namespace

ControlDuty::State::State(ControlOptions given)
    : options(std::move(given)),
      timer(context),
      socket(context),
      platform(context, {.address = options.platform_address, .port = options.platform_port}),
      membership(ForMembership(options)) {
  this->link_options.vm = this->options.vm;
  this->link_options.role = wire::Hello::Role::BROKER;
  this->link_options.incarnation = this->options.incarnation;
}

absl::Status ControlDuty::State::Bind() {
  try {
    const udp::endpoint endpoint(asio::ip::make_address(this->options.address),
                                 this->options.gossip_port);
    this->socket.open(endpoint.protocol());
    this->socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
    this->socket.bind(endpoint);
    this->socket.non_blocking(true);
  } catch (const boost::system::system_error& error) {
    return absl::UnavailableError(absl::StrCat("heartbeats on ", this->options.address, ":",
                                               this->options.gossip_port, ": ", error.what()));
  }
  return absl::OkStatus();
}

void ControlDuty::State::Begin() {
  this->Receive();
  this->Run([](Membership& member, TimePoint now, MembershipActions& actions) {
    member.Start(now, actions);
  });
}

void ControlDuty::State::Receive() {
  this->socket.async_receive_from(
      asio::buffer(this->buffer), this->sender,
      [this](boost::system::error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted || !this->socket.is_open()) {
          return;
        }
        // Other errors report an unreachable receiver of an earlier datagram.
        if (!error) {
          ++this->datagrams_received;
          this->bytes_received += size;
          const absl::StatusOr<HeartbeatMessage> message =
              DecodeDatagram({this->buffer.data(), size});
          if (message.ok()) {
            const std::string address = this->sender.address().to_string();
            this->Run([&](Membership& member, TimePoint now, MembershipActions& actions) {
              member.OnDatagram(address, *message, now, actions);
            });
          }
        }
        this->Receive();
      });
}

void ControlDuty::State::Execute(const SendDatagram& action) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(action.address, error);
  if (error) {
    return;
  }
  const std::string bytes = EncodeDatagram(action.message);
  // A datagram that does not fit the socket's buffer now is lost, as it may be on the network.
  this->socket.send_to(asio::buffer(bytes), udp::endpoint(address, this->options.gossip_port), 0,
                       error);
  ++this->datagrams_sent;
  this->bytes_sent += bytes.size();
}

void ControlDuty::State::Execute(const FetchDocument& action) {
  const std::uint64_t call = action.call;
  std::make_shared<DocumentFetch>(
      this->context, this->link_options,
      [this, call](absl::StatusOr<std::optional<Document>> document) {
        if (document.ok() && document->has_value()) {
          ++this->fetched;
          if ((*document)->packed) {
            this->packed[StableHash((*document)->text)] = (*document)->packed;
          }
        }
        this->Run([&](Membership& member, TimePoint now, MembershipActions& actions) {
          member.OnDocumentFetched(call, std::move(document), now, actions);
        });
      })
      ->Start(action.address, this->options.link_port, action.key,
              MembershipOptions().fetch_timeout);
}

void ControlDuty::State::Execute(const CallPlatform& action) {
  ++this->platform_calls;
  const std::uint64_t call = action.call;
  auto handler = [this, call](absl::StatusOr<PlatformValue> value) {
    absl::StatusOr<PlatformAnswer> answer = PlatformAnswer();
    if (!value.ok()) {
      answer = value.status();
    } else {
      answer->generation = value->generation;
      if (value->changed) {
        answer->text = std::move(value->text);
      }
    }
    this->Run([&](Membership& member, TimePoint now, MembershipActions& actions) {
      member.OnPlatformAnswer(call, std::move(answer), now, actions);
    });
  };
  if (action.conditional) {
    this->platform.Watch(action.key, action.generation, action.wait, std::move(handler));
  } else {
    this->platform.Read(action.key, std::move(handler));
  }
}

void ControlDuty::State::Publish(TimePoint now) {
  auto view = std::make_shared<ControlView>(this->membership.BuildView(now));
  std::map<std::uint64_t, std::shared_ptr<const std::string>> kept;
  for (Document& document : view->documents) {
    if (document.text.size() < kPackFrom) {
      continue;
    }
    auto& known = this->packed[document.digest.hash];
    if (!known) {
      known = std::make_shared<const std::string>(Deflate(document.text));
    }
    document.packed = known;
    kept.emplace(document.digest.hash, known);
  }
  this->packed = std::move(kept);
  {
    const std::lock_guard lock(this->mutex);
    this->latest = view;
  }
  if (this->options.on_view) {
    this->options.on_view(view);
  }
}

void ControlDuty::State::RaiseAlarms() {
  const ConfigStore& store = this->membership.store();
  const bool conflict = store.conflicts() != this->alarmed_conflicts;
  const bool refusal = store.refusal_count() != this->alarmed_refusals;
  if (!conflict && !refusal) {
    return;
  }
  this->alarmed_conflicts = store.conflicts();
  this->alarmed_refusals = store.refusal_count();
  this->conflicts = this->alarmed_conflicts;
  this->refused = this->alarmed_refusals;
  if (!this->options.on_alarm) {
    return;
  }
  if (conflict) {
    this->options.on_alarm("two documents of one generation; the one with the lower hash applies");
  }
  if (refusal) {
    const RefusedDocument& last = store.refused().back();
    this->options.on_alarm(absl::StrCat("refused ", last.digest.key, ": ", last.reason));
  }
}

void ControlDuty::State::ScheduleWake(TimePoint now) {
  const TimePoint next = this->membership.NextWake(now);
  const Duration wait =
      std::clamp<Duration>(next - now, std::chrono::milliseconds(1), std::chrono::seconds(1));
  this->timer.expires_after(wait);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    this->Run([](Membership& member, TimePoint tick, MembershipActions& actions) {
      member.Tick(tick, actions);
    });
  });
}

}  // namespace ibishold
