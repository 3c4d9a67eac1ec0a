#include <algorithm>
#include <charconv>
#include <cmath>
#include <numbers>

#include "standins/leaf_model.h"

namespace ibishold::standin {

namespace {

std::uint64_t WholeNumber(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string TextOf(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

}  // namespace

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
  const double radius = std::sqrt(-2 * std::log(1 - this->random.NextFraction()));
  const double normal = radius * std::cos(2 * std::numbers::pi * this->random.NextFraction());
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

}  // namespace ibishold::standin
