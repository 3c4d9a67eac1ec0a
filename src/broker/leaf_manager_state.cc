#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "broker/leaf_manager.h"

namespace ibishold {

namespace json = boost::json;

namespace {

struct CounterName {
  std::uint64_t DispatchCounters::*member;
  const char* name;
  const char* help;
};

constexpr std::array<CounterName, 12> kCounters = {{
    {&DispatchCounters::sent, "sent", "Searches and executes handed to a leaf connection"},
    {&DispatchCounters::sheds, "sheds", "Refused: queue full or leaf cold"},
    {&DispatchCounters::late_refusals, "late_refusals", "Refused: could not finish in time"},
    {&DispatchCounters::leaf_sheds, "leaf_sheds", "503 from a leaf"},
    {&DispatchCounters::timeouts, "timeouts", "Deadline passed while running"},
    {&DispatchCounters::cancelled_queued, "cancelled_queued", "Removed before the first byte"},
    {&DispatchCounters::cancelled_running, "cancelled_running", "Cancelled after the first byte"},
    {&DispatchCounters::abandoned_connections, "abandoned_connections",
     "Leaf connections closed because an answer was abandoned on them"},
    {&DispatchCounters::silent_connections, "silent_connections",
     "Leaf connections closed because an answer was overdue"},
    {&DispatchCounters::late_answers, "late_answers", "Answers dropped because nobody waited"},
    {&DispatchCounters::mismatched_answers, "mismatched_answers",
     "Answers dropped because they belong to another request"},
    {&DispatchCounters::cold_transitions, "cold_transitions", "Leaves found cold"},
}};

}  // namespace

void LeafManager::PublishCounters() {
  for (const CounterName& counter : kCounters) {
    const std::uint64_t increase =
        this->counters.*counter.member - this->published_counters.*counter.member;
    Counter& series = this->options.metrics->AddCounter(
        std::string("ibishold_broker_") + counter.name + "_total", counter.help);
    series.Add(static_cast<double>(increase));
  }
  this->published_counters = this->counters;
}

void LeafManager::RecordLatency(const AnswerWork& answer) {
  const std::string request_class(ToName(kRequestClassNames, answer.work.request_class));
  const Labels labels = {{"class", request_class}, {"tenant", answer.work.tenant.value}};
  this->options.metrics
      ->AddLatency("ibishold_broker_queue_seconds", "Time in the queue of a leaf", labels)
      .Record(answer.result.queue_time);
  if (answer.result.service_time > Duration{}) {
    this->options.metrics
        ->AddLatency("ibishold_broker_service_seconds", "Time from sending to the answer", labels)
        .Record(answer.result.service_time);
  }
}

void LeafManager::PublishState() {
  json::array leaves;
  for (const auto& [name, entry] : this->entries) {
    const LeafDispatcher& dispatcher = *entry->dispatcher;
    const LeafLevel level = dispatcher.GetLevel();
    leaves.push_back(json::object{
        {"leaf", name},
        {"slots_held", dispatcher.slot_count()},
        {"slots_owned", this->slot_holder.plan().CountSlots(this->options.vm, dispatcher.leaf())},
        {"level", level.level},
        {"warm", level.warm},
        {"allowance", dispatcher.allowance()},
        {"cold_reason", std::string(ToName(kColdReasonNames, dispatcher.last_cold_reason()))},
        {"in_flight", dispatcher.busy_count() - dispatcher.abandoned_count()},
        {"occupied", dispatcher.abandoned_count()},
        {"queue", dispatcher.queued_count()},
        {"connections", dispatcher.connection_count()},
        {"draining", dispatcher.draining()},
        {"incarnation", level.incarnation},
    });
  }
  json::object counter_values;
  for (const CounterName& counter : kCounters) {
    counter_values[counter.name] = this->counters.*counter.member;
  }
  const json::object state = {
      {"vm", this->options.vm.value},
      {"policy", std::string(ToName(kSlotPolicyNames, this->options.settings.policy))},
      {"stopping", this->stopping},
      {"counters", std::move(counter_values)},
      {"leaves", std::move(leaves)},
  };
  std::string new_state_json = json::serialize(state);
  const std::lock_guard<std::mutex> lock(this->state_mutex);
  this->state_json = std::move(new_state_json);
}

std::string LeafManager::StateJson() const {
  const std::lock_guard<std::mutex> lock(this->state_mutex);
  return this->state_json;
}

}  // namespace ibishold
