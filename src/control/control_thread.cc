#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "control/control_state.h"
#include "ibishold/control.h"

namespace ibishold {

namespace asio = boost::asio;

ControlThread::ControlThread(ControlOptions options)
    : state(std::make_unique<State>(std::move(options))) {}

ControlThread::~ControlThread() {
  this->Stop();
}

absl::Status ControlThread::Start() {
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

void ControlThread::Stop() {
  this->state->context.stop();
  if (this->state->thread.joinable()) {
    this->state->thread.join();
  }
}

ControlViewPtr ControlThread::view() const {
  const std::lock_guard lock(this->state->view_mutex);
  return this->state->latest_view;
}

TimePoint ControlThread::hold_until() const {
  return TimePoint(Duration(this->state->hold_until.load(std::memory_order_acquire)));
}

ControlCounters ControlThread::counters() const {
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

void ControlThread::AnnounceLeaving() {
  asio::post(this->state->context, [state = this->state.get()] {
    state->RunOperation(
        [](Membership& membership, TimePoint now, MembershipActions&) { membership.Leave(now); });
  });
}

void ControlThread::AnnounceSuccessor(TokenHomeRun home, TokenSuccessor successor) {
  asio::post(this->state->context,
             [state = this->state.get(), home = std::move(home), successor = std::move(successor)] {
               state->RunOperation([&](Membership& membership, TimePoint now, MembershipActions&) {
                 membership.AddSuccessor(home, successor, now);
               });
             });
}

}  // namespace ibishold
