#ifndef TESTS_DISPATCH_DISPATCH_FIXTURE_H_
#define TESTS_DISPATCH_DISPATCH_FIXTURE_H_

#include <string>
#include <vector>

#include "ibishold/dispatch.h"

namespace ibishold {

using std::chrono::milliseconds;

// A coordinator on a virtual clock, with two leaves for each shard.
class DispatchFixture {
 public:
  explicit DispatchFixture(std::size_t shard_count = 4, CoordinatorOptions options = {})
      : coordinator((options.tracker.data_centre = DataCentre("east"), options), directory, 1) {
    RouteTable table;
    table.version = 1;
    Route fan_out_route = {.name = "all",
                           .host = "h",
                           .prefix = "/all/",
                           .repeatable = true,
                           .time_limit = milliseconds(1000),
                           .objective = milliseconds(100),
                           .attempt_limit = 2,
                           .record_limit = 5,
                           .min_coverage = 0.75};
    for (std::size_t i = 0; i < shard_count; ++i) {
      const ServiceName service("shard-" + std::to_string(i));
      fan_out_route.shards.push_back(service);
      table.services[service] = {.connection_limit = 50};
      this->AddLeaf(service, "a", "east");
      this->AddLeaf(service, "b", "west");
    }
    Route single_route = {.name = "one",
                          .host = "h",
                          .prefix = "/one/",
                          .repeatable = true,
                          .time_limit = milliseconds(1000),
                          .objective = milliseconds(200),
                          .attempt_limit = 2,
                          .targets = {{.service = ServiceName("single")}}};
    table.services[ServiceName("single")] = {.connection_limit = 50};
    Route order_route = single_route;
    order_route.name = "order";
    order_route.prefix = "/order/";
    order_route.repeatable = false;
    this->AddLeaf(ServiceName("single"), "a", "east");
    this->AddLeaf(ServiceName("single"), "b", "west");
    table.routes = {fan_out_route, single_route, order_route};
    this->PutRoutesInForce(table);
    this->coordinator.SetSenderCounts(1, 1);
  }

  // Replaces the targets of the route "one", as the operator does.
  void SetTargets(std::vector<RouteTarget> targets) {
    RouteTable table = *this->coordinator.routes();
    ++table.version;
    for (Route& route : table.routes) {
      if (route.name == "one") {
        route.targets = targets;
      }
    }
    this->PutRoutesInForce(std::move(table));
  }

  // Sets the limit of attempts on all routes.
  void SetAttemptLimit(int limit) {
    RouteTable table = *this->coordinator.routes();
    ++table.version;
    for (Route& route : table.routes) {
      route.attempt_limit = limit;
    }
    this->PutRoutesInForce(std::move(table));
  }

  void AddLeaf(const ServiceName& service, const std::string& suffix, const char* data_centre) {
    this->directory.Put({.id = LeafId(service.value + suffix),
                         .service = service,
                         .address = "10.0.0.1",
                         .port = 1,
                         .data_centre = DataCentre(data_centre),
                         .slots = 2,
                         .started = 1,
                         .revision = ++this->last_revision},
                        this->now);
  }

  CallId Begin(const std::string& path, std::uint64_t fingerprint = 1, TenantKey tenant = 0) {
    const CallId id = this->coordinator.Begin(
        {.request_id = this->request_id_prefix + std::to_string(++this->request_count),
         .host = "h",
         .path = path,
         .time_left = milliseconds(1000),
         .fingerprint = fingerprint,
         .tenant = tenant},
        this->now, this->actions);
    this->MarkSent();
    return id;
  }

  // Publishes the entry of a crashed leaf again with a new start time.
  void RestartLeaf(LeafEntry leaf) {
    ++leaf.started;
    leaf.revision = ++this->last_revision;
    this->directory.Put(leaf, this->now);
    this->coordinator.tracker().Forget(leaf.id);
  }

  // Reports the first byte of all recorded sends as written to the socket.
  void MarkSent() {
    for (const SendAction& send : this->GetSendActions()) {
      this->coordinator.OnSent(send.attempt, this->now);
    }
  }

  // Advances the clock to this time after the start and runs the timers that become due.
  void RunUntil(Duration since_start) {
    const TimePoint end_time = this->start + since_start;
    for (;;) {
      const auto next_timer = this->coordinator.NextTimer();
      if (!next_timer || *next_timer > end_time) {
        break;
      }
      this->now = std::max(this->now, *next_timer);
      this->coordinator.OnTimer(this->now, this->actions);
      this->MarkSent();
    }
    this->now = end_time;
  }

  void Reply(const SendAction& send, int status = 200, bool not_run = false) {
    this->coordinator.OnReply(send.attempt,
                              {.status = status,
                               .not_run = not_run,
                               .signature = not_run ? "" : "sig-" + std::to_string(send.attempt),
                               .body = std::string(kRecordBytes, 'x')},
                              this->now, this->actions);
    this->MarkSent();
  }
  void Fail(const SendAction& send, AttemptFailure failure) {
    this->coordinator.OnFailure(send.attempt, failure, this->now, this->actions);
    this->MarkSent();
  }

  std::vector<SendAction> GetSendActions() const { return this->FilterActions<SendAction>(); }
  std::vector<CancelAction> GetCancelActions() const { return this->FilterActions<CancelAction>(); }
  std::vector<Answer> GetAnswers() const {
    std::vector<Answer> answers;
    for (const AnswerAction& action : this->FilterActions<AnswerAction>()) {
      answers.push_back(action.answer);
    }
    return answers;
  }
  void Clear() { this->actions.clear(); }

  TimePoint start = TimePoint() + std::chrono::hours(1);
  TimePoint now = this->start;
  std::string request_id_prefix = "vm-1";
  LeafDirectory directory;
  Coordinator coordinator;
  Actions actions;

 private:
  template <typename ActionType>
  std::vector<ActionType> FilterActions() const {
    std::vector<ActionType> matching;
    for (const Action& action : this->actions) {
      if (const auto* typed_action = std::get_if<ActionType>(&action)) {
        matching.push_back(*typed_action);
      }
    }
    return matching;
  }

  void PutRoutesInForce(RouteTable table) {
    table.BuildIndex();
    this->coordinator.SetRoutes(std::make_shared<const RouteTable>(std::move(table)));
  }

  std::uint64_t last_revision = 0;
  std::uint64_t request_count = 0;
};

}  // namespace ibishold

#endif  // TESTS_DISPATCH_DISPATCH_FIXTURE_H_
