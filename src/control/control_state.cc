#include "control/control_state.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "control/document_fetch.h"

namespace ibishold {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

// A shorter text fits into a few packets, so it is sent uncompressed.
constexpr std::size_t kMinTextBytesToDeflate = 1024;
// Holds the heartbeats that arrive while the control thread parses a large document.
constexpr int kReceiveBufferBytes = 1 << 20;

MembershipOptions MakeMembershipOptions(const ControlOptions& options) {
  MembershipOptions result;
  result.vm = options.vm;
  result.data_centre = options.data_centre;
  result.incarnation = options.incarnation;
  result.seed = options.random_seed != 0 ? options.random_seed
                                         : StableHash(options.vm.value, options.incarnation);
  result.seeds = options.seed_addresses;
  return result;
}

}  // namespace

ControlThread::State::State(ControlOptions initial_options)
    : options(std::move(initial_options)),
      wake_timer(context),
      udp_socket(context),
      platform_client(context,
                      {.address = options.platform_address, .port = options.platform_port}),
      membership(MakeMembershipOptions(options)) {
  this->link_options.vm = this->options.vm;
  this->link_options.role = wire::Hello::Role::BROKER;
  this->link_options.incarnation = this->options.incarnation;
}

absl::Status ControlThread::State::Bind() {
  try {
    const udp::endpoint endpoint(asio::ip::make_address(this->options.address),
                                 this->options.gossip_port);
    this->udp_socket.open(endpoint.protocol());
    this->udp_socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    this->udp_socket.bind(endpoint);
    this->udp_socket.non_blocking(true);
  } catch (const boost::system::system_error& error) {
    return absl::UnavailableError(absl::StrCat("cannot bind UDP socket for heartbeats to ",
                                               this->options.address, ":",
                                               this->options.gossip_port, ": ", error.what()));
  }
  return absl::OkStatus();
}

void ControlThread::State::StartMembership() {
  this->ReceiveDatagram();
  this->RunOperation([](Membership& membership, TimePoint now, MembershipActions& actions) {
    membership.Start(now, actions);
  });
}

void ControlThread::State::ReceiveDatagram() {
  this->udp_socket.async_receive_from(
      asio::buffer(this->receive_buffer), this->sender_endpoint,
      [this](boost::system::error_code error, std::size_t datagram_bytes) {
        if (error == asio::error::operation_aborted || !this->udp_socket.is_open()) {
          return;
        }
        // Any other error means that the receiver of an earlier datagram was unreachable.
        if (!error) {
          ++this->datagrams_received;
          this->datagram_bytes_received += datagram_bytes;
          const absl::StatusOr<HeartbeatMessage> message =
              DecodeDatagram({this->receive_buffer.data(), datagram_bytes});
          if (message.ok()) {
            const std::string address = this->sender_endpoint.address().to_string();
            this->RunOperation(
                [&](Membership& membership, TimePoint now, MembershipActions& actions) {
                  membership.OnDatagram(address, *message, now, actions);
                });
          }
        }
        this->ReceiveDatagram();
      });
}

void ControlThread::State::Execute(const SendDatagram& action) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(action.address, error);
  if (error) {
    return;
  }
  const std::string datagram = EncodeDatagram(action.message);
  // A full send buffer of the socket drops the datagram, just as the network may drop it.
  this->udp_socket.send_to(asio::buffer(datagram),
                           udp::endpoint(address, this->options.gossip_port), 0, error);
  ++this->datagrams_sent;
  this->datagram_bytes_sent += datagram.size();
}

void ControlThread::State::Execute(const FetchDocument& action) {
  const std::uint64_t call_id = action.call;
  std::make_shared<DocumentFetch>(
      this->context, this->link_options,
      [this, call_id](absl::StatusOr<std::optional<Document>> document) {
        if (document.ok() && document->has_value()) {
          ++this->documents_fetched;
          if ((*document)->packed) {
            this->deflated_texts[StableHash((*document)->text)] = (*document)->packed;
          }
        }
        this->RunOperation([&](Membership& membership, TimePoint now, MembershipActions& actions) {
          membership.OnDocumentFetched(call_id, std::move(document), now, actions);
        });
      })
      ->Start(action.address, this->options.link_port, action.key,
              MembershipOptions().fetch_timeout);
}

void ControlThread::State::Execute(const CallPlatform& action) {
  ++this->platform_calls;
  const std::uint64_t call_id = action.call;
  auto handler = [this, call_id](absl::StatusOr<PlatformValue> value) {
    absl::StatusOr<PlatformAnswer> answer = PlatformAnswer();
    if (!value.ok()) {
      answer = value.status();
    } else {
      answer->generation = value->generation;
      if (value->changed) {
        answer->text = std::move(value->text);
      }
    }
    this->RunOperation([&](Membership& membership, TimePoint now, MembershipActions& actions) {
      membership.OnPlatformAnswer(call_id, std::move(answer), now, actions);
    });
  };
  if (action.conditional) {
    this->platform_client.Watch(action.key, action.generation, action.wait, std::move(handler));
  } else {
    this->platform_client.Read(action.key, std::move(handler));
  }
}

void ControlThread::State::PublishView(TimePoint now) {
  auto view = std::make_shared<ControlView>(this->membership.BuildView(now));
  std::map<std::uint64_t, std::shared_ptr<const std::string>> deflated_texts_in_view;
  for (Document& document : view->documents) {
    if (document.text.size() < kMinTextBytesToDeflate) {
      continue;
    }
    auto& deflated_text = this->deflated_texts[document.digest.hash];
    if (!deflated_text) {
      deflated_text = std::make_shared<const std::string>(Deflate(document.text));
    }
    document.packed = deflated_text;
    deflated_texts_in_view.emplace(document.digest.hash, deflated_text);
  }
  this->deflated_texts = std::move(deflated_texts_in_view);
  {
    const std::lock_guard lock(this->view_mutex);
    this->latest_view = view;
  }
  if (this->options.on_view_change) {
    this->options.on_view_change(view);
  }
}

void ControlThread::State::RaiseAlarms() {
  const ConfigStore& store = this->membership.store();
  const bool has_new_conflict = store.conflicts() != this->reported_conflicts;
  const bool has_new_refusal = store.refusal_count() != this->reported_refusals;
  if (!has_new_conflict && !has_new_refusal) {
    return;
  }
  this->reported_conflicts = store.conflicts();
  this->reported_refusals = store.refusal_count();
  this->document_conflicts = this->reported_conflicts;
  this->documents_refused = this->reported_refusals;
  if (!this->options.on_alarm) {
    return;
  }
  if (has_new_conflict) {
    this->options.on_alarm("two documents of one generation; the one with the lower hash applies");
  }
  if (has_new_refusal) {
    const RefusedDocument& newest_refusal = store.refused().back();
    this->options.on_alarm(
        absl::StrCat("refused ", newest_refusal.digest.key, ": ", newest_refusal.reason));
  }
}

void ControlThread::State::ScheduleWake(TimePoint now) {
  const TimePoint wake_at = this->membership.NextWake(now);
  const Duration delay =
      std::clamp<Duration>(wake_at - now, std::chrono::milliseconds(1), std::chrono::seconds(1));
  this->wake_timer.expires_after(delay);
  this->wake_timer.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    this->RunOperation([](Membership& membership, TimePoint tick_time, MembershipActions& actions) {
      membership.Tick(tick_time, actions);
    });
  });
}

}  // namespace ibishold
