#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "control/control_state.h"
#include "ibishold/control.h"

namespace ibishold {

namespace asio = boost::asio;

ControlDuty::ControlDuty(ControlOptions options)
    : state(std::make_unique<State>(std::move(options))) {}

ControlDuty::~ControlDuty() {
  this->Stop();
}

absl::Status ControlDuty::Start() {
  absl::Status bind_status = this->state->Bind();
  if (!bind_status.ok()) {
    return bind_status;
  }
  asio::post(this->state->context, [state = this->state.get()] { state->StartMembership(); });
  this->state->thread = std::thread([state = this->state.get()] {
    const auto work_guard = asio::make_work_guard(state->context);
    state->context.run();
  });
  return absl::OkStatus();
}

void ControlDuty::Stop() {
  this->state->context.stop();
  if (this->state->thread.joinable()) {
    this->state->thread.join();
  }
}

ControlViewPtr ControlDuty::view() const {
  const std::lock_guard lock(this->state->view_mutex);
  return this->state->latest_view;
}

TimePoint ControlDuty::hold_until() const {
  return TimePoint(Duration(this->state->hold_until.load(std::memory_order_acquire)));
}

ControlCounters ControlDuty::counters() const {
  ControlCounters result;
  result.platform_calls = this->state->platform_calls;
  result.datagrams_sent = this->state->datagrams_sent;
  result.datagrams_received = this->state->datagrams_received;
  result.datagram_bytes_sent = this->state->datagram_bytes_sent;
  result.datagram_bytes_received = this->state->datagram_bytes_received;
  result.documents_fetched = this->state->documents_fetched;
  result.documents_refused = this->state->documents_refused;
  result.document_conflicts = this->state->document_conflicts;
  return result;
}

void ControlDuty::AnnounceLeaving() {
  asio::post(this->state->context, [state = this->state.get()] {
    state->RunOperation(
        [](Membership& membership, TimePoint now, MembershipActions&) { membership.Leave(now); });
  });
}

void ControlDuty::AnnounceSuccessor(TokenHomeRun home, TokenSuccessor successor) {
  asio::post(this->state->context,
             [state = this->state.get(), home = std::move(home), successor = std::move(successor)] {
               state->RunOperation([&](Membership& membership, TimePoint now, MembershipActions&) {
                 membership.AddSuccessor(home, successor, now);
               });
             });
}

}  // namespace ibishold
