#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "ibishold/edge.h"

namespace ibishold {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kSweepInterval{100};

}  // namespace

struct ConnectionPool::PooledConnection {
  LeafId leaf;
  std::uint64_t leaf_started = 0;  // LeafEntry::started of the run that it is connected to
  std::shared_ptr<ClientConnection> connection;
  AttemptId attempt = 0;  // 0: idle, or the attempt was cancelled
  // Until this time, the leaf may still reply to a cancelled attempt.
  std::optional<TimePoint> linger_until;
  bool connecting = true;
};

ConnectionPool::ConnectionPool(asio::io_context& context,
                               ConnectionPoolOptions options,
                               Handlers handlers)
    : context(context), options(std::move(options)), handlers(std::move(handlers)), timer(context) {
  this->Sweep();
}

ConnectionPool::~ConnectionPool() {
  this->CloseAll();
}

bool ConnectionPool::IsUsable(const PooledConnection& pooled,
                              bool repeatable,
                              TimePoint now) const {
  if (pooled.connecting || !pooled.connection->idle()) {
    return false;
  }
  const auto closes = pooled.connection->closes_at();
  if (closes && now + this->options.close_margin >= *closes) {
    return false;
  }
  return repeatable || now - pooled.connection->last_used() < this->options.assumed_alive_time;
}

void ConnectionPool::Send(const SendAction& send, HttpRequest request) {
  const TimePoint now = BootClock::now();
  Leaf& leaf = this->leaves[send.leaf.id];
  Waiting waiting = {
      .attempt = send.attempt, .request = std::move(request), .repeatable = send.repeatable};
  // Connections to an earlier run of the leaf are connections to another process.
  const std::list<PooledConnectionPtr> connections = leaf.connections;
  for (const PooledConnectionPtr& pooled : connections) {
    if (pooled->leaf_started != send.leaf.started && pooled->connection->idle()) {
      this->CloseConnection(pooled);
    }
  }
  // The most recently used connection is the most likely to be alive.
  PooledConnectionPtr best;
  for (const PooledConnectionPtr& pooled : leaf.connections) {
    if (this->IsUsable(*pooled, send.repeatable, now) &&
        (!best || best->connection->last_used() < pooled->connection->last_used())) {
      best = pooled;
    }
  }
  if (best) {
    ++this->total.reused;
    this->Assign(best, waiting);
    return;
  }
  this->queued[send.attempt] = send.leaf.id;
  leaf.waiting.push_back(std::move(waiting));
  const auto connecting = static_cast<std::size_t>(
      std::count_if(leaf.connections.begin(), leaf.connections.end(),
                    [](const PooledConnectionPtr& pooled) { return pooled->connecting; }));
  if (connecting >= leaf.waiting.size()) {
    return;
  }
  if (leaf.connections.size() >= send.connection_limit + 1) {
    // Stays within the limit by closing an idle connection that may no longer be used.
    const auto idle = std::find_if(leaf.connections.begin(), leaf.connections.end(),
                                   [](const PooledConnectionPtr& pooled) {
                                     return !pooled->connecting && pooled->connection->idle();
                                   });
    if (idle != leaf.connections.end()) {
      this->CloseConnection(PooledConnectionPtr(*idle));
    }
  }
  this->OpenConnection(send.leaf);
}

void ConnectionPool::FailWaiting(const LeafId& leaf) {
  // Posted because handlers must not run within Send.
  asio::post(this->context, [this, leaf] {
    const auto found = this->leaves.find(leaf);
    if (found == this->leaves.end()) {
      return;
    }
    for (const Waiting& waiting : std::exchange(found->second.waiting, {})) {
      this->queued.erase(waiting.attempt);
      this->handlers.on_failure(waiting.attempt, AttemptFailure::kNoConnection);
    }
  });
}

void ConnectionPool::Assign(const PooledConnectionPtr& pooled, const Waiting& waiting) {
  pooled->attempt = waiting.attempt;
  this->queued.erase(waiting.attempt);
  this->busy[waiting.attempt] = pooled;
  pooled->connection->Send(waiting.request);
  this->handlers.on_sent(waiting.attempt);
}

void ConnectionPool::Preconnect(const LeafEntry& leaf) {
  if (this->leaves[leaf.id].connections.empty()) {
    this->OpenConnection(leaf);
  }
}

void ConnectionPool::OpenConnection(const LeafEntry& leaf) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(leaf.address, error);
  if (error) {
    this->FailWaiting(leaf.id);
    return;
  }
  auto pooled = std::make_shared<PooledConnection>();
  pooled->leaf = leaf.id;
  pooled->leaf_started = leaf.started;
  pooled->connection = std::make_shared<ClientConnection>(this->context, this->options.connection);
  this->leaves[leaf.id].connections.push_back(pooled);
  ++this->total.opened;
  const std::weak_ptr<PooledConnection> weak = pooled;
  pooled->connection->Open(
      {ip, leaf.port},
      {.on_open =
           [this, weak] {
             if (const PooledConnectionPtr open = weak.lock()) {
               open->connecting = false;
               this->ServeWaiting(open->leaf);
             }
           },
       .on_reply =
           [this, weak](HttpReply reply) {
             const PooledConnectionPtr answered = weak.lock();
             if (!answered) {
               return;
             }
             const AttemptId attempt = std::exchange(answered->attempt, 0);
             answered->linger_until.reset();
             if (!answered->connection->is_open()) {
               this->CloseConnection(answered);
             }
             if (attempt != 0) {
               this->busy.erase(attempt);
               this->handlers.on_reply(attempt, std::move(reply));
             } else if (this->handlers.on_unmatched_reply) {
               this->handlers.on_unmatched_reply(answered->leaf, answered->leaf_started, reply);
             }
             this->ServeWaiting(answered->leaf);
           },
       .on_end =
           [this, weak](ConnectionEnd end) {
             if (const PooledConnectionPtr ended = weak.lock()) {
               this->OnConnectionEnd(ended, end);
             }
           },
       .match_reply =
           [this, weak](const HttpReply& reply) {
             const PooledConnectionPtr answered = weak.lock();
             return answered ? this->MatchReply(*answered, reply) : ReplyMatch::kOtherRequest;
           }});
}

ReplyMatch ConnectionPool::MatchReply(const PooledConnection& pooled,
                                      const HttpReply& reply) const {
  if (pooled.attempt == 0 || !this->handlers.match_reply) {
    return ReplyMatch::kMatches;
  }
  const ReplyMatch match = this->handlers.match_reply(pooled.attempt, reply);
  if (match == ReplyMatch::kOtherRequest && this->handlers.on_unmatched_reply) {
    this->handlers.on_unmatched_reply(pooled.leaf, pooled.leaf_started, reply);
  }
  return match;
}

void ConnectionPool::ServeWaiting(const LeafId& id) {
  const auto found = this->leaves.find(id);
  if (found == this->leaves.end()) {
    return;
  }
  const TimePoint now = BootClock::now();
  Leaf& leaf = found->second;
  while (!leaf.waiting.empty()) {
    const bool repeatable = leaf.waiting.front().repeatable;
    const auto pooled = std::find_if(
        leaf.connections.begin(), leaf.connections.end(),
        [&](const PooledConnectionPtr& free) { return this->IsUsable(*free, repeatable, now); });
    if (pooled == leaf.connections.end()) {
      return;
    }
    const Waiting waiting = std::move(leaf.waiting.front());
    leaf.waiting.pop_front();
    this->Assign(*pooled, waiting);
  }
}

void ConnectionPool::OnConnectionEnd(const PooledConnectionPtr& pooled, ConnectionEnd end) {
  const AttemptId attempt = std::exchange(pooled->attempt, 0);
  const LeafId id = pooled->leaf;
  this->CloseConnection(pooled);
  if (end == ConnectionEnd::kProtocolError) {
    ++this->total.protocol_errors;
  }
  if (attempt != 0) {
    this->busy.erase(attempt);
    this->handlers.on_failure(attempt, end == ConnectionEnd::kProtocolError
                                           ? AttemptFailure::kInvalidReply
                                           : AttemptFailure::kBroken);
  }
  if (end != ConnectionEnd::kNotConnected) {
    return;
  }
  ++this->total.failed_connects;
  // Each failed connection fails one waiting request, because a connection is opened for each.
  auto& waiting = this->leaves[id].waiting;
  if (!waiting.empty()) {
    const AttemptId failed = waiting.front().attempt;
    waiting.pop_front();
    this->queued.erase(failed);
    this->handlers.on_failure(failed, AttemptFailure::kNoConnection);
  }
}

void ConnectionPool::CloseConnection(const PooledConnectionPtr& pooled) {
  pooled->connection->Close();
  const auto found = this->leaves.find(pooled->leaf);
  if (found != this->leaves.end()) {
    found->second.connections.remove(pooled);
  }
}

void ConnectionPool::Cancel(const CancelAction& cancel) {
  const auto queued_at = this->queued.find(cancel.attempt);
  if (queued_at != this->queued.end()) {
    auto& waiting = this->leaves[queued_at->second].waiting;
    std::erase_if(waiting, [&](const Waiting& entry) { return entry.attempt == cancel.attempt; });
    this->queued.erase(queued_at);
    return;
  }
  const auto found = this->busy.find(cancel.attempt);
  if (found == this->busy.end()) {
    return;
  }
  const PooledConnectionPtr pooled = found->second;
  this->busy.erase(found);
  pooled->attempt = 0;
  if (cancel.late_reply_grace <= Duration::zero()) {
    this->CloseConnection(pooled);
    return;
  }
  pooled->linger_until = BootClock::now() + cancel.late_reply_grace;
}

void ConnectionPool::Retain(const std::function<bool(const LeafId&)>& keep) {
  std::vector<PooledConnectionPtr> unused;
  for (auto& [id, leaf] : this->leaves) {
    if (keep(id)) {
      continue;
    }
    std::copy_if(leaf.connections.begin(), leaf.connections.end(), std::back_inserter(unused),
                 [](const PooledConnectionPtr& pooled) { return pooled->connection->idle(); });
  }
  for (const PooledConnectionPtr& pooled : unused) {
    this->CloseConnection(pooled);
  }
  std::erase_if(this->leaves, [&](const auto& item) {
    return item.second.connections.empty() && item.second.waiting.empty() && !keep(item.first);
  });
}

void ConnectionPool::CloseAll() {
  this->timer.cancel();
  for (auto& [id, leaf] : this->leaves) {
    for (const PooledConnectionPtr& pooled : leaf.connections) {
      pooled->connection->Close();
    }
  }
  this->leaves.clear();
  this->busy.clear();
  this->queued.clear();
}

// Closes the connections that were idle for too long, and those of cancelled attempts whose reply
// did not arrive in time.
void ConnectionPool::Sweep() {
  const TimePoint now = BootClock::now();
  std::vector<PooledConnectionPtr> unused;
  for (auto& [id, leaf] : this->leaves) {
    for (const PooledConnectionPtr& pooled : leaf.connections) {
      if (pooled->connecting) {
        continue;
      }
      const auto closes = pooled->connection->closes_at();
      const bool idle = pooled->connection->idle();
      const bool old = idle && (now - pooled->connection->last_used() > this->options.idle_limit ||
                                (closes && now + this->options.close_margin / 2 >= *closes));
      if (old || (pooled->linger_until && now > *pooled->linger_until)) {
        unused.push_back(pooled);
      }
    }
  }
  for (const PooledConnectionPtr& pooled : unused) {
    this->CloseConnection(pooled);
  }
  this->timer.expires_after(kSweepInterval);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->Sweep();
    }
  });
}

}  // namespace ibishold
