#include <algorithm>
#include <utility>

#include "broker/leaf_dispatcher.h"

namespace ibishold {

// Connections to the leaf: at most the slots and one more, which carries cancels and verifications
// while all slots are busy. A connection carries work only after the leaf has answered on it, so
// that the run of the leaf at its other end is known.

void LeafDispatcher::Opened(std::uint64_t id, TimePoint now) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) {
    return;
  }
  this->backoff = Duration{};
  this->open_after = TimePoint{};
  this->unreachable = false;
  if (!this->connected) {
    this->connected = true;
    if (this->warm_up.GetLevel().incarnation != 0) {
      this->warm_up.MarkCold(ColdReason::kReconnect);
      this->CountCold();
    }
  }
  if (std::exchange(this->absent, false)) {
    this->warm_up.Forget();
    this->times.Forget();
    this->CountCold();
  }
  this->Verify(id, now);
}

void LeafDispatcher::Replied(std::uint64_t id, const LeafReply& reply, TimePoint now) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) {
    ++this->counters.late_answers;
    return;
  }
  this->heard_at = now;
  Connection& connection = found->second;
  const ConnectionState state = std::exchange(connection.state, ConnectionState::kIdle);
  const std::uint64_t call = std::exchange(connection.call, 0);
  connection.verified_at = now;
  connection.incarnation = std::max(connection.incarnation, reply.incarnation);
  const auto entry = this->running.find(call);
  const bool abandoned = entry == this->running.end() || entry->second.answered;
  if (state == ConnectionState::kWorking && entry != this->running.end()) {
    if (!abandoned && reply.id != entry->second.work.id) {
      ++this->counters.mismatched_answers;
      this->LoseRunning(call, "leaf answered another request", now);
      this->CloseOwn(id);
      this->KeepConnections(now);
      this->Pump(now);
      return;
    }
    // The call may have ended after a restart that kept the connection.
    entry->second.incarnation = std::max(entry->second.incarnation, reply.incarnation);
  }
  // Before the answer is counted, so that a success of a new run is not one of the former level.
  this->LearnFacts(reply, now);
  if (state == ConnectionState::kWorking) {
    this->FinishReply(call, reply, now);
    if (abandoned) {
      ++this->counters.abandoned_connections;
      this->CloseOwn(id);
    }
  } else if (state == ConnectionState::kCancelling) {
    this->CancelReplied(call, reply);
  }
  this->KeepConnections(now);
  this->Pump(now);
}

void LeafDispatcher::Closed(std::uint64_t id, TimePoint now) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) {
    return;
  }
  const Connection connection = found->second;
  this->connections.erase(found);
  const bool open_left = std::any_of(
      this->connections.begin(), this->connections.end(),
      [](const auto& other) { return other.second.state != ConnectionState::kOpening; });
  if (connection.state == ConnectionState::kOpening || !open_left) {
    this->backoff =
        std::clamp(this->backoff * 2, this->options.minimum_backoff, this->options.maximum_backoff);
    this->open_after = now + this->backoff;
  }
  if (!open_left && this->connected) {
    this->connected = false;
    this->ReportRunning();
    this->warm_up.MarkCold(ColdReason::kReset);
    this->times.Forget();
    this->CountCold();
  }
  if (connection.state == ConnectionState::kWorking) {
    this->LoseRunning(connection.call, "connection to the leaf was lost", now);
  } else if (connection.state == ConnectionState::kCancelling &&
             this->running.contains(connection.call)) {
    this->to_cancel.insert(connection.call);
  }
  if (connection.state == ConnectionState::kOpening && !open_left) {
    this->unreachable = true;
    this->RefuseQueued(wire::Outcome::UNREACHABLE, "cannot connect to the leaf", now);
  }
  this->KeepConnections(now);
  this->Pump(now);
}

bool LeafDispatcher::Reachable() const {
  return !this->unreachable;
}

std::size_t LeafDispatcher::ConnectionTarget(TimePoint now) const {
  if (this->closed || this->taken_out || this->usable_slots == 0) {
    return 0;
  }
  if (this->leaf_draining) {
    return now >= this->recheck_at ? 1 : 0;
  }
  // One connection is enough to find out whether the leaf is back.
  return this->unreachable ? 1 : this->usable_slots + 1;
}

void LeafDispatcher::KeepConnections(TimePoint now) {
  std::vector<std::uint64_t> silent;
  for (auto& [id, connection] : this->connections) {
    const bool waits = connection.state == ConnectionState::kVerifying ||
                       connection.state == ConnectionState::kCancelling;
    if (waits && now >= connection.limit) {
      silent.push_back(id);
    }
  }
  for (const std::uint64_t id : silent) {
    ++this->counters.silent_connections;
    const Connection connection = this->connections.at(id);
    this->CloseOwn(id);
    if (connection.state == ConnectionState::kCancelling &&
        this->running.contains(connection.call)) {
      this->to_cancel.insert(connection.call);
    }
  }
  const std::size_t target = this->ConnectionTarget(now);
  if (target == 0) {
    this->CloseIdle();
    return;
  }
  while (this->connections.size() > target) {
    const auto idle = std::find_if(
        this->connections.begin(), this->connections.end(),
        [](const auto& entry) { return entry.second.state == ConnectionState::kIdle; });
    if (idle == this->connections.end()) {
      break;
    }
    this->CloseOwn(idle->first);
  }
  while (this->connections.size() < target && now >= this->open_after) {
    const std::uint64_t id = ++this->last_id;
    this->connections.emplace(id, Connection{});
    this->actions.emplace_back(OpenConnection{.connection = id});
  }
  this->VerifyOldest(now);
}

// One at a time, so that verifications never hold up work. A leaf that this owner does not use
// would otherwise drain or restart unnoticed.
void LeafDispatcher::VerifyOldest(TimePoint now) {
  std::optional<std::uint64_t> oldest;
  for (const auto& [id, connection] : this->connections) {
    if (connection.state == ConnectionState::kVerifying) {
      return;
    }
    if (connection.state == ConnectionState::kIdle &&
        (!oldest || connection.verified_at < this->connections.at(*oldest).verified_at)) {
      oldest = id;
    }
  }
  if (!oldest) {
    return;
  }
  const Duration age = now - this->connections.at(*oldest).verified_at;
  if (age >= this->options.verify_interval || now - this->heard_at >= this->options.hear_interval) {
    this->Verify(*oldest, now);
  }
}

std::optional<std::uint64_t> LeafDispatcher::PickConnection(bool execute, TimePoint now) {
  std::optional<std::uint64_t> best;
  bool verifying = false;
  for (const auto& [id, connection] : this->connections) {
    verifying = verifying || connection.state == ConnectionState::kVerifying;
    if (connection.state == ConnectionState::kIdle &&
        (!best || connection.verified_at > this->connections.at(*best).verified_at)) {
      best = id;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  // After a pause of this process even a search waits for a verification.
  const Duration limit = execute ? this->options.fresh_limit : this->options.verify_interval * 2;
  if (now - this->connections.at(*best).verified_at <= limit) {
    return best;
  }
  if (!verifying) {
    this->Verify(*best, now);
  }
  return std::nullopt;
}

void LeafDispatcher::Verify(std::uint64_t id, TimePoint now) {
  Connection& connection = this->connections.at(id);
  connection.state = ConnectionState::kVerifying;
  connection.limit = now + this->options.verify_limit;
  CallLeaf action{.connection = id};
  action.call.kind = LeafCallKind::kLoad;
  action.call.leaf = this->options.leaf;
  action.call.id = "verify";
  this->actions.emplace_back(std::move(action));
}

void LeafDispatcher::SendCancels(TimePoint now) {
  while (!this->to_cancel.empty()) {
    const auto idle = std::find_if(
        this->connections.begin(), this->connections.end(),
        [](const auto& entry) { return entry.second.state == ConnectionState::kIdle; });
    if (idle == this->connections.end()) {
      return;
    }
    const std::uint64_t call = *this->to_cancel.begin();
    this->to_cancel.erase(this->to_cancel.begin());
    const auto found = this->running.find(call);
    if (found == this->running.end()) {
      continue;
    }
    idle->second.state = ConnectionState::kCancelling;
    idle->second.call = call;
    idle->second.limit = now + this->options.verify_limit;
    CallLeaf action{.connection = idle->first};
    action.call.kind = LeafCallKind::kCancel;
    action.call.leaf = this->options.leaf;
    action.call.id = found->second.work.id;
    this->actions.emplace_back(std::move(action));
  }
}

void LeafDispatcher::CancelReplied(std::uint64_t call, const LeafReply& reply) {
  const LeafCancelState state = ParseLeafCancelState(reply.body);
  // "unknown" may mean that the request is still on its way to the leaf.
  if (reply.status != 200 ||
      (state != LeafCancelState::kRemoved && state != LeafCancelState::kFinished)) {
    return;
  }
  const auto found = this->running.find(call);
  if (found == this->running.end()) {
    return;
  }
  const std::uint64_t connection = found->second.connection;
  this->limiter.Finish(call);
  this->running.erase(found);
  if (connection != 0) {
    ++this->counters.abandoned_connections;
    this->CloseOwn(connection);
  }
}

void LeafDispatcher::CloseOwn(std::uint64_t id) {
  if (this->connections.erase(id) > 0) {
    this->actions.emplace_back(CloseConnection{.connection = id});
    this->absent = this->absent || this->connections.empty();
  }
}

void LeafDispatcher::CloseIdle() {
  std::vector<std::uint64_t> unused;
  for (const auto& [id, connection] : this->connections) {
    if (connection.state != ConnectionState::kWorking) {
      unused.push_back(id);
    }
  }
  for (const std::uint64_t id : unused) {
    this->CloseOwn(id);
  }
}

void LeafDispatcher::LearnFacts(const LeafReply& reply, TimePoint now) {
  if (this->warm_up.RecordAnswer(reply.incarnation, reply.uptime)) {
    this->LeafRestarted(reply.incarnation, now);
  }
  this->CountCold();
  if (reply.draining == this->leaf_draining) {
    if (reply.draining && now >= this->recheck_at) {
      this->recheck_at = now + this->options.draining_recheck;
      this->CloseIdle();
    }
    return;
  }
  this->leaf_draining = reply.draining;
  if (reply.draining) {
    this->recheck_at = now + this->options.draining_recheck;
    this->RefuseQueued(wire::Outcome::DRAINING, "leaf drains", now);
    this->CloseIdle();
    return;
  }
  this->warm_up.MarkCold(ColdReason::kReconnect);
  this->CountCold();
}

// Nothing of the former run is running any more, whatever its connections look like.
void LeafDispatcher::LeafRestarted(Incarnation incarnation, TimePoint now) {
  this->ReportRunning();
  this->times.Forget();
  std::vector<std::uint64_t> former;
  for (const auto& [call, entry] : this->running) {
    if (entry.incarnation != incarnation) {
      former.push_back(call);
    }
  }
  for (const std::uint64_t call : former) {
    const std::uint64_t connection = this->running.at(call).connection;
    this->LoseRunning(call, "leaf restarted", now);
    if (connection != 0) {
      this->CloseOwn(connection);
    }
    this->limiter.Finish(call);
    this->to_cancel.erase(call);
    this->running.erase(call);
  }
  std::vector<std::uint64_t> stale;
  for (const auto& [id, connection] : this->connections) {
    if (connection.incarnation != incarnation && connection.state == ConnectionState::kIdle) {
      stale.push_back(id);
    }
  }
  for (const std::uint64_t id : stale) {
    this->CloseOwn(id);
  }
}

}  // namespace ibishold
