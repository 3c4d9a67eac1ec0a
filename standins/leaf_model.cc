#include "standins/leaf_model.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numbers>

namespace ibishold::standin {

namespace {

double MillisecondsSince(Clock::time_point from) {
  return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}

std::uint64_t WholeNumber(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

Incarnation NowSince1970() {
  return static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                      std::chrono::system_clock::now().time_since_epoch())
                                      .count());
}

std::string TextOf(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
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
  this->straggler = this->random.Unit() < options.straggler_share;
  this->misleads = this->random.Unit() < options.mislead_share;
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

LeafModel::Work LeafModel::ReadWork(const HttpRequest& request, bool execute) const {
  const json::value body = json::parse(request.body());
  const json::object& object = body.as_object();
  const json::object& content = object.at(execute ? "operation" : "query").as_object();
  Work work;
  work.execute = execute;
  work.id = HeaderOf(request, "X-Request-Id");
  work.term = TextOf(content, "term");
  work.operation = execute ? TextOf(content, "id") : std::string();
  work.shard = TextOf(object, "shard");
  work.version = WholeNumber(HeaderOf(request, "X-Index-Version"));
  const std::string left = HeaderOf(request, "X-Deadline-Ms");
  work.deadline =
      Clock::now() + std::chrono::milliseconds(left.empty() ? 10000 : WholeNumber(left));
  return work;
}

void LeafModel::NoteReceived(const std::string& reason) {
  this->records.received += 1;
  this->records.by_reason[reason.empty() ? "unstated" : reason] += 1;
  if (!this->announced) {
    return;
  }
  const double age_s = MillisecondsSince(*this->announced) / 1000;
  this->records.last_work_after_announce_s = age_s;
  this->records.late_work += age_s > 3 ? 1 : 0;
}

std::uint32_t LeafModel::Capacity() const {
  const double level = 1 + std::floor(static_cast<double>(this->completed_since_start) /
                                      std::max(1.0, this->options.completions_per_level));
  return static_cast<std::uint32_t>(std::min<double>(level, this->slots));
}

bool LeafModel::Cold() const {
  return this->Capacity() < this->slots;
}

double LeafModel::ServiceTime() {
  const double radius = std::sqrt(-2 * std::log(1 - this->random.Unit()));
  const double normal = radius * std::cos(2 * std::numbers::pi * this->random.Unit());
  double time = this->options.median_ms * std::exp(this->options.sigma * normal);
  time *= this->straggler ? this->options.straggler_factor : 1;
  time *= this->Cold() ? this->options.cold_factor : 1;
  return time;
}

// The answer to work that must not run, or nothing.
std::optional<HttpResponse> LeafModel::Refuse(const Work& work) {
  if (Clock::now() >= work.deadline) {
    this->records.expired += 1;
    return Answer(504, json::object{{"error", "deadline passed"}});
  }
  const bool holds_version =
      work.version == 0 || work.execute || this->versions.contains(work.version);
  if (!holds_version || !this->shards.contains(work.shard)) {
    this->records.version_refused += 1;
    return Answer(409, json::object{{"error", "version or shard not held"}});
  }
  if (this->draining && MillisecondsSince(this->drain_at) > this->options.drain_grace_ms) {
    this->records.shed += 1;
    HttpResponse response = Answer(503, json::object{{"error", "draining"}});
    response.set(http::field::retry_after, "1");
    return response;
  }
  return std::nullopt;
}

asio::awaitable<std::optional<HttpResponse>> LeafModel::Run(Work work) {
  if (auto refusal = this->Refuse(work)) {
    co_return refusal;
  }
  const std::uint64_t epoch_at_start = this->epoch;
  const std::size_t in_leaf = this->running + this->queue.size() + 1;
  this->records.max_in_leaf = std::max<std::uint64_t>(this->records.max_in_leaf, in_leaf);
  if (this->Cold() && in_leaf > this->Capacity()) {
    this->records.cold_overload += 1;
    this->Crash();
    co_return std::nullopt;
  }
  if (this->running >= this->slots) {
    if (static_cast<double>(this->queue.size()) >= this->options.queue_limit) {
      this->records.shed += 1;
      HttpResponse response = Answer(503, json::object{{"error", "queue full"}});
      response.set(http::field::retry_after, "1");
      co_return response;
    }
    auto ticket = std::make_shared<Ticket>(this->context.get_executor());
    ticket->wake.expires_at(Clock::time_point::max());
    this->queue.push_back(ticket);
    this->waiting[work.id] = ticket;
    while (!ticket->admitted && !ticket->removed) {
      co_await ticket->wake.async_wait(kAwait);
    }
    if (this->epoch != epoch_at_start) {
      co_return std::nullopt;
    }
    this->waiting.erase(work.id);
    if (ticket->removed) {
      co_return Answer(503, json::object{{"error", "cancelled before running"}});
    }
    // Release passed the slot on, so it counts as running here already.
    if (auto refusal = this->Refuse(work)) {
      this->Release();
      co_return refusal;
    }
  } else {
    this->running += 1;
  }
  this->records.started += 1;
  if (work.execute) {
    this->log.operations[work.operation] += 1;
  } else {
    this->log.terms[work.term] += 1;
  }
  this->running_ids.insert(work.id);
  if (work.version == 0) {
    work.version = *this->versions.rbegin();
  }
  if (work.term == "crash") {
    co_await Sleep(this->options.crash_after_ms);
    if (this->epoch == epoch_at_start) {
      this->Crash();
    }
    co_return std::nullopt;
  }
  co_await Sleep(this->ServiceTime());
  if (this->epoch != epoch_at_start) {
    co_return std::nullopt;
  }
  this->running_ids.erase(work.id);
  this->finished_ids.push_back(work.id);
  if (this->finished_ids.size() > 256) {
    this->finished_ids.pop_front();
  }
  this->records.completed += 1;
  this->completed_since_start += 1;
  this->Release();
  co_return this->Finish(work);
}

// Hands the slot to the first waiting request or frees it.
void LeafModel::Release() {
  if (this->queue.empty()) {
    this->running -= 1;
    return;
  }
  const auto next = this->queue.front();
  this->queue.pop_front();
  next->admitted = true;
  next->wake.cancel();
}

HttpResponse LeafModel::Finish(const Work& work) {
  const KeyRange range = this->shards.at(work.shard);
  const std::uint64_t width = range.end - range.begin;  // 0 stands for all 2^64 keys
  const std::uint64_t hash = StableHash(work.term + work.shard);
  json::object value{{"term", work.term}, {"index_version", work.version}, {"shard", work.shard}};
  if (work.execute) {
    value["operation"] = work.operation;
  }
  json::array found{json::object{{"key", range.begin + (width == 0 ? hash : hash % width)},
                                 {"value", std::move(value)}}};
  HttpResponse response =
      Answer(200, json::object{{"records", std::move(found)}, {"complete", true}});
  response.set("X-Index-Version", std::to_string(work.version));
  return response;
}

HttpResponse LeafModel::Cancel(const std::string& id) {
  std::string_view state = "unknown";
  if (const auto found = this->waiting.find(id);
      found != this->waiting.end() && !found->second->admitted) {
    const auto ticket = found->second;
    this->waiting.erase(found);
    std::erase(this->queue, ticket);
    ticket->removed = true;
    ticket->wake.cancel();
    this->records.cancelled_queued += 1;
    state = "removed";
  } else if (found != this->waiting.end() || this->running_ids.contains(id)) {
    this->records.cancelled_running += 1;
    state = "running";
  } else if (std::find(this->finished_ids.begin(), this->finished_ids.end(), id) !=
             this->finished_ids.end()) {
    state = "finished";
  }
  return Answer(200, json::object{{"state", state}});
}

HttpResponse LeafModel::Stamp(HttpResponse response, const std::string& id) {
  std::string held;
  for (const std::uint64_t version : this->versions) {
    held += (held.empty() ? "" : ",") + std::to_string(version);
  }
  if (!id.empty()) {
    response.set("X-Request-Id", id);
  }
  if (response.find("X-Index-Version") == response.end()) {
    response.set("X-Index-Version", std::to_string(*this->versions.rbegin()));
  }
  response.set("X-Incarnation", std::to_string(this->incarnation));
  response.set("X-Uptime-Ms",
               std::to_string(static_cast<std::uint64_t>(MillisecondsSince(this->started_at))));
  response.set("X-Index-Versions", held);
  response.set("X-Map-Version", std::to_string(this->map_version));
  response.set("X-Draining", this->draining ? "1" : "0");
  if (this->draining && !this->announced) {
    this->announced = Clock::now();
  }
  return response;
}

HttpResponse LeafModel::LoadReport() {
  const std::uint32_t busy = this->misleads ? 0 : this->sampled_running;
  const std::uint32_t queued = this->misleads ? 0 : this->sampled_queued;
  return Answer(200, json::object{{"in_flight", busy},
                                  {"queued", queued},
                                  {"load", static_cast<double>(busy + queued) / this->slots}});
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
