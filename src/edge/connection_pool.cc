#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "ibishold/edge.h"

namespace ibishold {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kSweepInterval{100};

}  // namespace

struct ConnectionPool::Slot {
  LeafId leaf;
  std::uint64_t leaf_started = 0;  // LeafEntry::started of the run that it was opened to
  std::shared_ptr<ClientConnection> connection;
  AttemptId attempt = 0;                  // 0: idle, or its attempt was cancelled
  std::optional<TimePoint> linger_until;  // of a cancelled attempt
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

bool ConnectionPool::Usable(const Slot& slot, bool repeatable, TimePoint now) const {
  if (slot.connecting || !slot.connection->idle()) {
    return false;
  }
  const auto closes = slot.connection->closes_at();
  if (closes && now + this->options.close_margin >= *closes) {
    return false;
  }
  return repeatable || now - slot.connection->last_used() < this->options.alive_time;
}

void ConnectionPool::Send(const SendAction& send, HttpRequest request) {
  const TimePoint now = BootClock::now();
  Leaf& leaf = this->leaves[send.leaf.id];
  Waiting waiting = {
      .attempt = send.attempt, .request = std::move(request), .repeatable = send.repeatable};
  // Connections to an earlier run of the leaf lead to another process.
  const std::list<SlotPtr> slots = leaf.slots;
  for (const SlotPtr& slot : slots) {
    if (slot->leaf_started != send.leaf.started && slot->connection->idle()) {
      this->Drop(slot);
    }
  }
  // The connection used last is the one most likely alive.
  SlotPtr best;
  for (const SlotPtr& slot : leaf.slots) {
    if (this->Usable(*slot, send.repeatable, now) &&
        (!best || best->connection->last_used() < slot->connection->last_used())) {
      best = slot;
    }
  }
  if (best) {
    ++this->total.reused;
    this->Assign(best, waiting);
    return;
  }
  this->queued[send.attempt] = send.leaf.id;
  leaf.waiting.push_back(std::move(waiting));
  const auto connecting = static_cast<std::size_t>(std::count_if(
      leaf.slots.begin(), leaf.slots.end(), [](const SlotPtr& slot) { return slot->connecting; }));
  if (connecting >= leaf.waiting.size()) {
    return;
  }
  if (leaf.slots.size() >= send.connection_limit + 1) {
    // Makes room by closing an idle connection that may not be used any more.
    const auto idle = std::find_if(leaf.slots.begin(), leaf.slots.end(), [](const SlotPtr& slot) {
      return !slot->connecting && slot->connection->idle();
    });
    if (idle != leaf.slots.end()) {
      this->Drop(SlotPtr(*idle));
    }
  }
  this->OpenSlot(send.leaf);
}

void ConnectionPool::FailWaiting(const LeafId& leaf) {
  // Handlers may not run within Send.
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

void ConnectionPool::Assign(const SlotPtr& slot, const Waiting& waiting) {
  slot->attempt = waiting.attempt;
  this->queued.erase(waiting.attempt);
  this->busy[waiting.attempt] = slot;
  slot->connection->Send(waiting.request);
  this->handlers.on_sent(waiting.attempt);
}

void ConnectionPool::Warm(const LeafEntry& leaf) {
  if (this->leaves[leaf.id].slots.empty()) {
    this->OpenSlot(leaf);
  }
}

void ConnectionPool::OpenSlot(const LeafEntry& leaf) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(leaf.address, error);
  if (error) {
    this->FailWaiting(leaf.id);
    return;
  }
  auto slot = std::make_shared<Slot>();
  slot->leaf = leaf.id;
  slot->leaf_started = leaf.started;
  slot->connection = std::make_shared<ClientConnection>(this->context, this->options.connection);
  this->leaves[leaf.id].slots.push_back(slot);
  ++this->total.opened;
  const std::weak_ptr<Slot> weak = slot;
  slot->connection->Open(
      {ip, leaf.port},
      {.on_open =
           [this, weak] {
             if (const SlotPtr open = weak.lock()) {
               open->connecting = false;
               this->ServeWaiting(open->leaf);
             }
           },
       .on_reply =
           [this, weak](HttpReply reply) {
             const SlotPtr answered = weak.lock();
             if (!answered) {
               return;
             }
             const AttemptId attempt = std::exchange(answered->attempt, 0);
             answered->linger_until.reset();
             if (!answered->connection->open_now()) {
               this->Drop(answered);
             }
             if (attempt != 0) {
               this->busy.erase(attempt);
               this->handlers.on_reply(attempt, std::move(reply));
             } else if (this->handlers.on_stray) {
               this->handlers.on_stray(answered->leaf, answered->leaf_started, reply);
             }
             this->ServeWaiting(answered->leaf);
           },
       .on_end =
           [this, weak](ConnectionEnd end) {
             if (const SlotPtr ended = weak.lock()) {
               this->SlotEnded(ended, end);
             }
           },
       .owner =
           [this, weak](const HttpReply& reply) {
             const SlotPtr answered = weak.lock();
             return answered ? this->OwnerOf(*answered, reply) : ReplyOwner::kOther;
           }});
}

ReplyOwner ConnectionPool::OwnerOf(const Slot& slot, const HttpReply& reply) const {
  if (slot.attempt == 0 || !this->handlers.owner) {
    return ReplyOwner::kRequest;
  }
  const ReplyOwner owner = this->handlers.owner(slot.attempt, reply);
  if (owner == ReplyOwner::kOther && this->handlers.on_stray) {
    this->handlers.on_stray(slot.leaf, slot.leaf_started, reply);
  }
  return owner;
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
    const auto slot = std::find_if(leaf.slots.begin(), leaf.slots.end(), [&](const SlotPtr& free) {
      return this->Usable(*free, repeatable, now);
    });
    if (slot == leaf.slots.end()) {
      return;
    }
    const Waiting waiting = std::move(leaf.waiting.front());
    leaf.waiting.pop_front();
    this->Assign(*slot, waiting);
  }
}

void ConnectionPool::SlotEnded(const SlotPtr& slot, ConnectionEnd end) {
  const AttemptId attempt = std::exchange(slot->attempt, 0);
  const LeafId id = slot->leaf;
  this->Drop(slot);
  if (end == ConnectionEnd::kSpoiled) {
    ++this->total.spoiled;
  }
  if (attempt != 0) {
    this->busy.erase(attempt);
    this->handlers.on_failure(attempt, end == ConnectionEnd::kSpoiled
                                           ? AttemptFailure::kInvalidReply
                                           : AttemptFailure::kBroken);
  }
  if (end != ConnectionEnd::kNotConnected) {
    return;
  }
  ++this->total.failed;
  // One failed connection fails one waiting request; the others have connections of their own.
  auto& waiting = this->leaves[id].waiting;
  if (!waiting.empty()) {
    const AttemptId failed = waiting.front().attempt;
    waiting.pop_front();
    this->queued.erase(failed);
    this->handlers.on_failure(failed, AttemptFailure::kNoConnection);
  }
}

void ConnectionPool::Drop(const SlotPtr& slot) {
  slot->connection->Close();
  const auto found = this->leaves.find(slot->leaf);
  if (found != this->leaves.end()) {
    found->second.slots.remove(slot);
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
  const SlotPtr slot = found->second;
  this->busy.erase(found);
  slot->attempt = 0;
  if (cancel.late_reply_grace <= Duration::zero()) {
    this->Drop(slot);
    return;
  }
  slot->linger_until = BootClock::now() + cancel.late_reply_grace;
}

void ConnectionPool::Retain(const std::function<bool(const LeafId&)>& keep) {
  std::vector<SlotPtr> unused;
  for (auto& [id, leaf] : this->leaves) {
    if (keep(id)) {
      continue;
    }
    std::copy_if(leaf.slots.begin(), leaf.slots.end(), std::back_inserter(unused),
                 [](const SlotPtr& slot) { return slot->connection->idle(); });
  }
  for (const SlotPtr& slot : unused) {
    this->Drop(slot);
  }
  std::erase_if(this->leaves, [&](const auto& item) {
    return item.second.slots.empty() && item.second.waiting.empty() && !keep(item.first);
  });
}

void ConnectionPool::CloseAll() {
  this->timer.cancel();
  for (auto& [id, leaf] : this->leaves) {
    for (const SlotPtr& slot : leaf.slots) {
      slot->connection->Close();
    }
  }
  this->leaves.clear();
  this->busy.clear();
  this->queued.clear();
}

// Closes connections that linger too long or that were idle too long.
void ConnectionPool::Sweep() {
  const TimePoint now = BootClock::now();
  std::vector<SlotPtr> unused;
  for (auto& [id, leaf] : this->leaves) {
    for (const SlotPtr& slot : leaf.slots) {
      if (slot->connecting) {
        continue;
      }
      const auto closes = slot->connection->closes_at();
      const bool idle = slot->connection->idle();
      const bool old = idle && (now - slot->connection->last_used() > this->options.idle_limit ||
                                (closes && now + this->options.close_margin / 2 >= *closes));
      if (old || (slot->linger_until && now > *slot->linger_until)) {
        unused.push_back(slot);
      }
    }
  }
  for (const SlotPtr& slot : unused) {
    this->Drop(slot);
  }
  this->timer.expires_after(kSweepInterval);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->Sweep();
    }
  });
}

}  // namespace ibishold
