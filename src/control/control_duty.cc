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
  absl::Status bound = this->state->Bind();
  if (!bound.ok()) {
    return bound;
  }
  asio::post(this->state->context, [state = this->state.get()] { state->Begin(); });
  this->state->thread = std::thread([state = this->state.get()] {
    const auto guard = asio::make_work_guard(state->context);
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
  const std::lock_guard lock(this->state->mutex);
  return this->state->latest;
}

TimePoint ControlDuty::hold_until() const {
  return TimePoint(Duration(this->state->hold_until.load(std::memory_order_acquire)));
}

ControlCounters ControlDuty::counters() const {
  ControlCounters result;
  result.platform_calls = this->state->platform_calls;
  result.datagrams_sent = this->state->datagrams_sent;
  result.datagrams_received = this->state->datagrams_received;
  result.datagram_bytes_sent = this->state->bytes_sent;
  result.datagram_bytes_received = this->state->bytes_received;
  result.documents_fetched = this->state->fetched;
  result.documents_refused = this->state->refused;
  result.document_conflicts = this->state->conflicts;
  return result;
}

void ControlDuty::AnnounceLeaving() {
  asio::post(this->state->context, [state = this->state.get()] {
    state->Run([](Membership& member, TimePoint now, MembershipActions&) { member.Leave(now); });
  });
}

void ControlDuty::AnnounceSuccessor(TokenHomeRun home, TokenSuccessor successor) {
  asio::post(this->state->context,
             [state = this->state.get(), home = std::move(home), successor = std::move(successor)] {
               state->Run([&](Membership& member, TimePoint now, MembershipActions&) {
                 member.AddSuccessor(home, successor, now);
               });
             });
}

}  // namespace ibishold
