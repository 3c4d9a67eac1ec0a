#include <algorithm>
#include <utility>

#include "broker/leaf_dispatcher.h"

namespace ibishold {

// Connections to the leaf. There is at most one more connection than usable slots; the extra one
// carries cancels and verifications while all slots are busy. A connection carries work only after
// the leaf has answered a verification on it, because that answer states the leaf's incarnation.

void LeafDispatcher::OnConnectionOpened(std::uint64_t id, TimePoint now) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) {
    return;
  }
  this->reconnect_backoff = Duration{};
  this->next_open_at = TimePoint{};
  this->unreachable = false;
  if (!this->connected) {
    this->connected = true;
    if (this->warm_up.GetLevel().incarnation != 0) {
      this->warm_up.MarkCold(ColdReason::kReconnect);
      this->UpdateColdCounter();
    }
  }
  if (std::exchange(this->leaf_unobserved, false)) {
    this->warm_up.Forget();
    this->service_times.Forget();
    this->UpdateColdCounter();
  }
  this->VerifyConnection(id, now);
}

void LeafDispatcher::OnReply(std::uint64_t id, const LeafReply& reply, TimePoint now) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) {
    ++this->counters.late_answers;
    return;
  }
  this->leaf_last_answer_at = now;
  Connection& connection = found->second;
  const ConnectionState state = std::exchange(connection.state, ConnectionState::kIdle);
  const std::uint64_t call_id = std::exchange(connection.call_id, 0);
  connection.last_answer_at = now;
  connection.incarnation = std::max(connection.incarnation, reply.incarnation);
  const auto running_call = this->running_calls.find(call_id);
  const bool answer_abandoned =
      running_call == this->running_calls.end() || running_call->second.front_notified;
  if (state == ConnectionState::kWorking && running_call != this->running_calls.end()) {
    if (!answer_abandoned && reply.id != running_call->second.work.request_id) {
      ++this->counters.mismatched_answers;
      this->HandleLostCall(call_id, wire::Outcome::LEAF_LOST, "leaf answered another request", now);
      this->DropConnection(id);
      this->MaintainConnections(now);
      this->StartQueued(now);
      return;
    }
    // The leaf may have restarted without closing the connection and run the call afterwards.
    running_call->second.incarnation =
        std::max(running_call->second.incarnation, reply.incarnation);
  }
  // Must come before HandleWorkReply. If the answer shows a restart, the level is reset first, so
  // that a success of the new run does not count for the level of the former run.
  this->UpdateLeafState(reply, now);
  if (state == ConnectionState::kWorking) {
    this->HandleWorkReply(call_id, reply, now);
    if (answer_abandoned) {
      ++this->counters.abandoned_connections;
      this->DropConnection(id);
    }
  } else if (state == ConnectionState::kCancelling) {
    this->HandleCancelReply(call_id, reply);
  }
  this->MaintainConnections(now);
  this->StartQueued(now);
}

void LeafDispatcher::OnConnectionClosed(std::uint64_t id, ConnectionLoss loss, TimePoint now) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) {
    return;
  }
  const Connection connection = found->second;
  this->connections.erase(found);
  const bool any_open = std::any_of(
      this->connections.begin(), this->connections.end(),
      [](const auto& entry) { return entry.second.state != ConnectionState::kOpening; });
  if (connection.state == ConnectionState::kOpening || !any_open) {
    this->reconnect_backoff =
        std::clamp(this->reconnect_backoff * 2, this->options.min_reconnect_backoff,
                   this->options.max_reconnect_backoff);
    this->next_open_at = now + this->reconnect_backoff;
  }
  if (!any_open && this->connected) {
    this->connected = false;
    if (loss == ConnectionLoss::kEnded) {
      this->ReportSuspectCalls();
    }
    this->warm_up.MarkCold(ColdReason::kReset);
    this->service_times.Forget();
    this->UpdateColdCounter();
  }
  if (connection.state == ConnectionState::kWorking) {
    if (loss == ConnectionLoss::kInvalidReply) {
      this->HandleLostCall(connection.call_id, wire::Outcome::FAILED, "invalid answer of the leaf",
                           now);
    } else {
      this->HandleLostCall(connection.call_id, wire::Outcome::LEAF_LOST,
                           "connection to the leaf was lost", now);
    }
  } else if (connection.state == ConnectionState::kCancelling &&
             this->running_calls.contains(connection.call_id)) {
    this->calls_to_cancel.insert(connection.call_id);
  }
  if (connection.state == ConnectionState::kOpening && !any_open) {
    this->unreachable = true;
    this->RefuseQueued(wire::Outcome::UNREACHABLE, "cannot connect to the leaf", now);
  }
  this->MaintainConnections(now);
  this->StartQueued(now);
}

bool LeafDispatcher::IsReachable() const {
  return !this->unreachable;
}

std::size_t LeafDispatcher::GetTargetConnectionCount(TimePoint now) const {
  if (this->leaf_removed || this->taken_out || this->usable_slots == 0) {
    return 0;
  }
  if (this->leaf_draining) {
    return now >= this->draining_recheck_at ? 1 : 0;
  }
  // One connection is enough to detect that the leaf can be reached again.
  return this->unreachable ? 1 : this->usable_slots + 1;
}

void LeafDispatcher::MaintainConnections(TimePoint now) {
  std::vector<std::uint64_t> silent_connections;
  for (auto& [id, connection] : this->connections) {
    const bool awaits_answer = connection.state == ConnectionState::kVerifying ||
                               connection.state == ConnectionState::kCancelling;
    if (awaits_answer && now >= connection.answer_due_at) {
      silent_connections.push_back(id);
    }
  }
  for (const std::uint64_t id : silent_connections) {
    ++this->counters.silent_connections;
    const Connection connection = this->connections.at(id);
    this->DropConnection(id);
    if (connection.state == ConnectionState::kCancelling &&
        this->running_calls.contains(connection.call_id)) {
      this->calls_to_cancel.insert(connection.call_id);
    }
  }
  const std::size_t target = this->GetTargetConnectionCount(now);
  if (target == 0) {
    this->CloseUnusedConnections();
    return;
  }
  while (this->connections.size() > target) {
    const auto idle = std::find_if(
        this->connections.begin(), this->connections.end(),
        [](const auto& entry) { return entry.second.state == ConnectionState::kIdle; });
    if (idle == this->connections.end()) {
      break;
    }
    this->DropConnection(idle->first);
  }
  while (this->connections.size() < target && now >= this->next_open_at) {
    const std::uint64_t id = ++this->last_call_or_connection_id;
    this->connections.emplace(id, Connection{});
    this->actions.emplace_back(OpenConnection{.connection = id});
  }
  this->VerifyOldestConnection(now);
}

// Verifies the idle connection whose last answer is oldest. An owner without traffic would
// otherwise not notice that the leaf drains or has restarted. Only one verification runs at a time,
// so that the other connections stay available for work.
void LeafDispatcher::VerifyOldestConnection(TimePoint now) {
  std::optional<std::uint64_t> oldest;
  for (const auto& [id, connection] : this->connections) {
    if (connection.state == ConnectionState::kVerifying) {
      return;
    }
    if (connection.state == ConnectionState::kIdle &&
        (!oldest || connection.last_answer_at < this->connections.at(*oldest).last_answer_at)) {
      oldest = id;
    }
  }
  if (!oldest) {
    return;
  }
  const Duration answer_age = now - this->connections.at(*oldest).last_answer_at;
  if (answer_age >= this->options.connection_verify_interval ||
      now - this->leaf_last_answer_at >= this->options.leaf_verify_interval) {
    this->VerifyConnection(*oldest, now);
  }
}

std::optional<std::uint64_t> LeafDispatcher::PickConnection(bool for_execute, TimePoint now) {
  std::optional<std::uint64_t> most_recent;
  bool verification_pending = false;
  for (const auto& [id, connection] : this->connections) {
    verification_pending = verification_pending || connection.state == ConnectionState::kVerifying;
    if (connection.state == ConnectionState::kIdle &&
        (!most_recent ||
         connection.last_answer_at > this->connections.at(*most_recent).last_answer_at)) {
      most_recent = id;
    }
  }
  if (!most_recent) {
    return std::nullopt;
  }
  // The limit for searches takes effect after a pause of this process, when no connection has been
  // verified for long.
  const Duration max_answer_age = for_execute ? this->options.execute_max_answer_age
                                              : this->options.connection_verify_interval * 2;
  if (now - this->connections.at(*most_recent).last_answer_at <= max_answer_age) {
    return most_recent;
  }
  if (!verification_pending) {
    this->VerifyConnection(*most_recent, now);
  }
  return std::nullopt;
}

void LeafDispatcher::VerifyConnection(std::uint64_t id, TimePoint now) {
  Connection& connection = this->connections.at(id);
  connection.state = ConnectionState::kVerifying;
  connection.answer_due_at = now + this->options.verify_timeout;
  CallLeaf action{.connection = id};
  action.call.kind = LeafCallKind::kLoad;
  action.call.leaf = this->options.leaf;
  action.call.id = "verify";
  this->actions.emplace_back(std::move(action));
}

void LeafDispatcher::SendCancels(TimePoint now) {
  while (!this->calls_to_cancel.empty()) {
    const auto idle = std::find_if(
        this->connections.begin(), this->connections.end(),
        [](const auto& entry) { return entry.second.state == ConnectionState::kIdle; });
    if (idle == this->connections.end()) {
      return;
    }
    const std::uint64_t call_id = *this->calls_to_cancel.begin();
    this->calls_to_cancel.erase(this->calls_to_cancel.begin());
    const auto found = this->running_calls.find(call_id);
    if (found == this->running_calls.end()) {
      continue;
    }
    idle->second.state = ConnectionState::kCancelling;
    idle->second.call_id = call_id;
    idle->second.answer_due_at = now + this->options.verify_timeout;
    CallLeaf action{.connection = idle->first};
    action.call.kind = LeafCallKind::kCancel;
    action.call.leaf = this->options.leaf;
    action.call.id = found->second.work.request_id;
    this->actions.emplace_back(std::move(action));
  }
}

void LeafDispatcher::HandleCancelReply(std::uint64_t call_id, const LeafReply& reply) {
  const LeafCancelState cancel_state = ParseLeafCancelState(reply.body);
  // The call must not end on "unknown": the leaf may not have received the request yet.
  if (reply.status != 200 ||
      (cancel_state != LeafCancelState::kRemoved && cancel_state != LeafCancelState::kFinished)) {
    return;
  }
  const auto found = this->running_calls.find(call_id);
  if (found == this->running_calls.end()) {
    return;
  }
  const std::uint64_t connection_id = found->second.connection_id;
  this->limiter.Finish(call_id);
  this->running_calls.erase(found);
  if (connection_id != 0) {
    ++this->counters.abandoned_connections;
    this->DropConnection(connection_id);
  }
}

void LeafDispatcher::DropConnection(std::uint64_t id) {
  if (this->connections.erase(id) > 0) {
    this->actions.emplace_back(CloseConnection{.connection = id});
    this->leaf_unobserved = this->leaf_unobserved || this->connections.empty();
  }
}

void LeafDispatcher::CloseUnusedConnections() {
  std::vector<std::uint64_t> unused_connections;
  for (const auto& [id, connection] : this->connections) {
    if (connection.state != ConnectionState::kWorking) {
      unused_connections.push_back(id);
    }
  }
  for (const std::uint64_t id : unused_connections) {
    this->DropConnection(id);
  }
}

void LeafDispatcher::UpdateLeafState(const LeafReply& reply, TimePoint now) {
  if (this->warm_up.RecordAnswer(reply.incarnation, reply.uptime)) {
    this->HandleLeafRestart(reply.incarnation, now);
  }
  this->UpdateColdCounter();
  if (reply.draining == this->leaf_draining) {
    if (reply.draining && now >= this->draining_recheck_at) {
      this->draining_recheck_at = now + this->options.draining_recheck_interval;
      this->CloseUnusedConnections();
    }
    return;
  }
  this->leaf_draining = reply.draining;
  if (reply.draining) {
    this->draining_recheck_at = now + this->options.draining_recheck_interval;
    this->RefuseQueued(wire::Outcome::DRAINING, "leaf drains", now);
    this->CloseUnusedConnections();
    return;
  }
  this->warm_up.MarkCold(ColdReason::kReconnect);
  this->UpdateColdCounter();
}

// Ends all calls of former runs of the leaf, also those whose connections still look open.
void LeafDispatcher::HandleLeafRestart(Incarnation incarnation, TimePoint now) {
  this->ReportSuspectCalls();
  this->service_times.Forget();
  std::vector<std::uint64_t> calls_before_restart;
  for (const auto& [call_id, entry] : this->running_calls) {
    if (entry.incarnation != incarnation) {
      calls_before_restart.push_back(call_id);
    }
  }
  for (const std::uint64_t call_id : calls_before_restart) {
    const std::uint64_t connection_id = this->running_calls.at(call_id).connection_id;
    this->HandleLostCall(call_id, wire::Outcome::LEAF_LOST, "leaf restarted", now);
    if (connection_id != 0) {
      this->DropConnection(connection_id);
    }
    this->limiter.Finish(call_id);
    this->calls_to_cancel.erase(call_id);
    this->running_calls.erase(call_id);
  }
  std::vector<std::uint64_t> stale_connections;
  for (const auto& [id, connection] : this->connections) {
    if (connection.incarnation != incarnation && connection.state == ConnectionState::kIdle) {
      stale_connections.push_back(id);
    }
  }
  for (const std::uint64_t id : stale_connections) {
    this->DropConnection(id);
  }
}

}  // namespace ibishold
