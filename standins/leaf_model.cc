#include "standins/leaf_model.h"

#include <algorithm>

namespace ibishold::standin {

namespace {

Incarnation NowSince1970() {
  return static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                      std::chrono::system_clock::now().time_since_epoch())
                                      .count());
}

}  // namespace

void LeafOptions::Update(const json::object& changes) {
  const auto set = [&changes](std::string_view key, double& member) {
    member = NumberOr(changes, key, member);
  };
  set("median_ms", this->median_ms);
  set("sigma", this->sigma);
  set("straggler_share", this->straggler_share);
  set("straggler_factor", this->straggler_factor);
  set("cold_factor", this->cold_factor);
  set("completions_per_level", this->completions_per_level);
  set("queue_limit", this->queue_limit);
  set("restart_ms", this->restart_ms);
  set("drain_grace_ms", this->drain_grace_ms);
  set("load_lag_ms", this->load_lag_ms);
  set("mislead_share", this->mislead_share);
  set("crash_after_ms", this->crash_after_ms);
}

LeafModel::LeafModel(asio::io_context& context,
                     const Service& service,
                     const Leaf& leaf,
                     const LeafOptions& options,
                     RunLog& log)
    : leaf(leaf),
      service(service.name),
      context(context),
      options(options),
      log(log),
      slots(service.slots),
      connection_limit(service.connections),
      connect_cost(service.connect_cost),
      random(StableHash(leaf.id.value, options.seed)) {
  // Drawn once, so that the same seed slows the same leaves in paired runs.
  this->straggler = this->random.NextFraction() < options.straggler_share;
  this->misleads = this->random.NextFraction() < options.mislead_share;
  this->versions.insert(service.index_version);
  if (service.index_version > 1) {
    this->versions.insert(service.index_version - 1);
  }
}

void LeafModel::SetMap(const Topology& topology) {
  this->map_version = topology.partition_map_version;
  const Service* found = topology.Find(this->service);
  if (found == nullptr) {
    return;
  }
  for (const Shard& shard : found->shards) {
    for (const Leaf& replica : shard.leaves) {
      if (replica.id == this->leaf.id) {
        this->shards[shard.id.value] = shard.range;
      }
    }
  }
}

void LeafModel::Start(bool warm) {
  if (this->acceptor) {
    return;
  }
  this->epoch += 1;
  this->incarnation = std::max(NowSince1970(), this->incarnation + 1);
  // A warm start is a leaf that has been up for an hour.
  this->started_at = Clock::now() - (warm ? std::chrono::hours(1) : std::chrono::hours(0));
  this->completed_since_start = warm ? 1000000 : 0;
  this->acceptor = std::make_shared<tcp::acceptor>(
      this->context, tcp::endpoint(asio::ip::make_address(this->leaf.address), this->leaf.port),
      true);
  asio::co_spawn(this->context, this->Accept(this->acceptor), asio::detached);
  this->SampleLoad(this->epoch);
}

void LeafModel::Stop() {
  if (!this->acceptor) {
    return;
  }
  this->epoch += 1;
  boost::system::error_code ignored;
  this->acceptor->close(ignored);
  this->acceptor.reset();
  for (const auto& socket : this->open) {
    // A zero linger time makes close send a reset, as the end of a process does with unread data.
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
  this->open.clear();
  this->silent.clear();
  for (const auto& ticket : this->queue) {
    ticket->removed = true;
    ticket->wake.cancel();
  }
  this->queue.clear();
  this->waiting.clear();
  this->running_ids.clear();
  this->finished_ids.clear();
  this->running = 0;
  if (this->draining) {
    // The announcement was of the run that ends; operators' announcements outlive it.
    this->announced.reset();
  }
  this->draining = false;
}

void LeafModel::Crash() {
  if (!this->acceptor) {
    return;
  }
  this->records.crashes += 1;
  this->Stop();
  asio::co_spawn(
      this->context,
      [this, epoch_now = this->epoch]() -> asio::awaitable<void> {
        co_await Sleep(this->options.restart_ms);
        if (this->epoch == epoch_now) {
          this->Start(false);
        }
      },
      asio::detached);
}

void LeafModel::Drain(bool on) {
  this->draining = on;
  this->drain_at = Clock::now();
  this->announced.reset();
}

void LeafModel::AnnounceOut(bool on) {
  this->announced.reset();
  if (on) {
    this->announced = Clock::now();
  }
}

void LeafModel::Silence() {
  this->silent.insert(this->open.begin(), this->open.end());
}

void LeafModel::Advance(std::uint64_t version) {
  this->versions.insert(version);
  while (this->versions.size() > 2) {
    this->versions.erase(this->versions.begin());
  }
}

asio::awaitable<void> LeafModel::Accept(std::shared_ptr<tcp::acceptor> listening) {
  while (listening->is_open()) {
    auto [error, accepted] = co_await listening->async_accept(kAwait);
    if (error) {
      continue;
    }
    boost::system::error_code ignored;
    accepted.set_option(tcp::no_delay(true), ignored);
    this->records.connections += 1;
    if (this->open.size() >= this->connection_limit) {
      this->records.connections_refused += 1;
      accepted.set_option(asio::socket_base::linger(true, 0), ignored);
      accepted.close(ignored);
      continue;
    }
    auto socket = std::make_shared<tcp::socket>(std::move(accepted));
    this->open.insert(socket);
    this->records.max_connections =
        std::max<std::uint64_t>(this->records.max_connections, this->open.size());
    asio::co_spawn(this->context, this->Serve(socket, Clock::now()), asio::detached);
  }
}

asio::awaitable<void> LeafModel::Serve(std::shared_ptr<tcp::socket> socket,
                                       Clock::time_point accepted) {
  // A variable, because GCC 12 destroys a temporary with captures twice in a co_await expression.
  const auto handler = [this, socket, accepted](const HttpRequest& request) {
    return this->Handle(socket, accepted, request);
  };
  co_await ServeConnection(socket, handler);
  this->open.erase(socket);
  this->silent.erase(socket);
}

asio::awaitable<std::optional<HttpResponse>> LeafModel::Handle(std::shared_ptr<tcp::socket> socket,
                                                               Clock::time_point accepted,
                                                               HttpRequest request) {
  const std::uint64_t epoch_at_start = this->epoch;
  const double set_up_ms = ToMilliseconds(this->connect_cost) - MillisecondsSince(accepted);
  if (set_up_ms > 0) {
    co_await Sleep(set_up_ms);
  }
  const std::string target = TargetOf(request);
  const std::string prefix = "/v1/leaves/" + this->leaf.id.value + "/";
  const std::string id = HeaderOf(request, "X-Request-Id");
  std::optional<HttpResponse> response;
  if (!target.starts_with(prefix)) {
    response = Answer(404, json::object{{"error", "unknown leaf"}});
  } else if (const std::string call = target.substr(prefix.size());
             call == "search" || call == "execute") {
    this->NoteReceived(HeaderOf(request, "X-Reason"));
    Work work = this->ReadWork(request, call == "execute");
    response = co_await this->Run(std::move(work));
  } else if (call == "load") {
    response = this->LoadReport();
  } else if (call.starts_with("requests/") && request.method() == http::verb::delete_) {
    response = this->Cancel(call.substr(std::string_view("requests/").size()));
  } else {
    response = Answer(404, json::object{{"error", "unknown call"}});
  }
  if (!response || this->epoch != epoch_at_start) {
    co_return std::nullopt;
  }
  // A silent connection stays open without an answer until its other side closes it.
  while (this->silent.contains(socket) && this->epoch == epoch_at_start) {
    co_await Sleep(100);
    char byte = 0;
    boost::system::error_code error;
    socket->non_blocking(true, error);
    const std::size_t size =
        socket->receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (size == 0 && error != asio::error::would_block) {
      co_return std::nullopt;
    }
  }
  co_return this->Stamp(std::move(*response), id);
}

void LeafModel::SampleLoad(std::uint64_t epoch_now) {
  asio::co_spawn(
      this->context,
      [this, epoch_now]() -> asio::awaitable<void> {
        while (this->epoch == epoch_now) {
          this->sampled_running = this->running;
          this->sampled_queued = static_cast<std::uint32_t>(this->queue.size());
          co_await Sleep(std::max(10.0, this->options.load_lag_ms));
        }
      },
      asio::detached);
}

json::object LeafModel::RecordsToJson() const {
  const LeafRecords& own = this->records;
  json::object reasons;
  for (const auto& [reason, count] : own.by_reason) {
    reasons[reason] = count;
  }
  return {{"received", own.received},
          {"started", own.started},
          {"completed", own.completed},
          {"shed", own.shed},
          {"expired", own.expired},
          {"version_refused", own.version_refused},
          {"cancelled_queued", own.cancelled_queued},
          {"cancelled_running", own.cancelled_running},
          {"cold_overload", own.cold_overload},
          {"crashes", own.crashes},
          {"connections", own.connections},
          {"connections_refused", own.connections_refused},
          {"max_connections", own.max_connections},
          {"max_in_leaf", own.max_in_leaf},
          {"late_work", own.late_work},
          {"last_work_after_announce_s", own.last_work_after_announce_s},
          {"by_reason", std::move(reasons)}};
}

}  // namespace ibishold::standin
