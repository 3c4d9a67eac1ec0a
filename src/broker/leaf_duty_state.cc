#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "broker/leaf_duty.h"

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

void LeafDuty::PublishCounters() {
  for (const CounterName& counter : kCounters) {
    const std::uint64_t grown = this->counters.*counter.member - this->published.*counter.member;
    Counter& series = this->options.metrics->AddCounter(
        std::string("ibishold_broker_") + counter.name + "_total", counter.help);
    series.Add(static_cast<double>(grown));
  }
  this->published = this->counters;
}

void LeafDuty::RecordTimes(const AnswerWork& answer) {
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

void LeafDuty::PublishState() {
  json::array leaves;
  for (const auto& [name, entry] : this->entries) {
    const LeafDispatcher& dispatcher = *entry->dispatcher;
    const LeafLevel level = dispatcher.Level();
    leaves.push_back(json::object{
        {"leaf", name},
        {"slots_held", dispatcher.slots()},
        {"slots_owned", this->holder.plan().SlotsOf(this->options.vm, dispatcher.leaf())},
        {"level", level.level},
        {"warm", level.warm},
        {"allowance", dispatcher.allowance()},
        {"cold_reason", std::string(ToName(kColdReasonNames, dispatcher.cold_reason()))},
        {"in_flight", dispatcher.busy() - dispatcher.abandoned()},
        {"occupied", dispatcher.abandoned()},
        {"queue", dispatcher.queued()},
        {"connections", dispatcher.connection_count()},
        {"draining", dispatcher.draining()},
        {"incarnation", level.incarnation},
    });
  }
  json::object counted;
  for (const CounterName& counter : kCounters) {
    counted[counter.name] = this->counters.*counter.member;
  }
  const json::object state = {
      {"vm", this->options.vm.value},
      {"policy", std::string(ToName(kBrokerPolicyNames, this->options.limits.policy))},
      {"stopping", this->stopping},
      {"counters", std::move(counted)},
      {"leaves", std::move(leaves)},
  };
  std::string text = json::serialize(state);
  const std::lock_guard<std::mutex> lock(this->state_mutex);
  this->state_text = std::move(text);
}

std::string LeafDuty::StateJson() const {
  const std::lock_guard<std::mutex> lock(this->state_mutex);
  return this->state_text;
}

}  // namespace ibishold
