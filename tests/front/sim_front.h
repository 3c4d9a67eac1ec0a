#ifndef TESTS_FRONT_SIM_FRONT_H_
#define TESTS_FRONT_SIM_FRONT_H_

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "ibishold/front.h"
#include "tests/front/front_documents.h"

namespace ibishold::testing {

using std::chrono::milliseconds;

// Runs FrontCore in virtual time. A test sets on_call to define the brokers' reply to each leaf
// call.
class SimFront {
 public:
  using CallHandler = std::function<void(const SendBatch&, const LeafCall&)>;

  explicit SimFront(FrontOptions options = {}, const DocumentOptions& documents = {})
      : core(SetDefaults(std::move(options))) {
    this->SetView(MakeView(documents));
    this->on_call = [this](const SendBatch& batch, const LeafCall& call) {
      this->ScheduleReply(milliseconds(5), batch, this->MakeReply(batch, call));
    };
  }

  static FrontOptions SetDefaults(FrontOptions options) {
    options.vm = options.vm.value.empty() ? VmId("vm-0") : options.vm;
    options.data_centre = DataCentre("dc-0");
    return options;
  }

  void SetView(ControlView new_view) {
    this->view = std::make_shared<ControlView>(std::move(new_view));
    this->core.SetView(this->view, this->now);
  }

  // Returns a complete reply with one record: the first key of the shard, with the query as value.
  LeafReply MakeReply(const SendBatch& batch, const LeafCall& call) const {
    LeafReply reply;
    reply.attempt_id = call.attempt_id;
    reply.complete = true;
    reply.stated_snapshot = batch.snapshot;
    reply.index_versions = {batch.snapshot.index_version};
    reply.records = absl::StrCat("[{\"key\":", this->GetFirstKey(batch, call),
                                 ",\"value\":", *batch.body, "}]");
    return reply;
  }

  static LeafReply MakeFailure(const LeafCall& call, wire::Outcome outcome, Verdict verdict) {
    LeafReply reply;
    reply.attempt_id = call.attempt_id;
    reply.outcome = outcome;
    reply.verdict = verdict;
    return reply;
  }

  void Schedule(Duration delay, std::function<void()> event) {
    this->events.emplace(this->now + delay, std::move(event));
  }

  void ScheduleReply(Duration delay, const SendBatch& batch, LeafReply reply) {
    this->Schedule(delay, [this, broker = batch.broker, reply = std::move(reply)] {
      this->core.OnLeafReply(broker, reply, this->now);
    });
  }

  std::uint64_t SendQuery(const std::string& term,
                          Duration time_left = milliseconds(500),
                          const std::function<void(CallerRequest&)>& customize = {}) {
    CallerRequest request;
    request.ticket = ++this->last_ticket;
    request.service = ServiceName("stock");
    request.tenant = TenantName("desk");
    request.request_id = absl::StrCat("r-", request.ticket);
    request.body = absl::StrCat("{\"term\":\"", term, "\"}");
    request.deadline = this->now + time_left;
    if (customize) {
      customize(request);
    }
    const std::uint64_t ticket = request.ticket;
    this->core.OnRequest(std::move(request), this->now);
    this->RunActions();
    return ticket;
  }

  std::uint64_t SendExecute(const std::string& token,
                            const std::string& operation,
                            Duration time_left = milliseconds(500)) {
    return this->SendQuery(operation, time_left, [&](CallerRequest& request) {
      request.kind = RequestKind::kExecute;
      request.token = token;
      request.key = 5;
    });
  }

  // Obtains a token as a caller does, by a request without a token.
  std::string RequestToken() { return this->GetAnswer(this->SendExecute("", "x")).new_token; }

  std::size_t CountCalls() const {
    std::size_t count = 0;
    for (const SendBatch& batch : this->batches) {
      count += batch.calls.size();
    }
    return count;
  }

  // Advances the virtual clock and runs due events and timers in time order.
  void Advance(Duration duration) {
    const TimePoint end_time = this->now + duration;
    for (;;) {
      this->RunActions();
      const std::optional<TimePoint> timer_due_at = this->core.GetNextTimer();
      const bool event_first =
          !this->events.empty() && (!timer_due_at || this->events.begin()->first <= *timer_due_at);
      if (!event_first && !timer_due_at) {
        break;
      }
      const TimePoint due_at = event_first ? this->events.begin()->first : *timer_due_at;
      if (due_at > end_time) {
        break;
      }
      this->now = std::max(this->now, due_at);
      if (event_first) {
        const auto event = std::move(this->events.begin()->second);
        this->events.erase(this->events.begin());
        event();
      } else {
        this->core.OnTimer(this->now);
      }
    }
    this->now = end_time;
  }

  bool IsAnswered(std::uint64_t ticket) const { return this->replies.contains(ticket); }
  const CallerAnswer& GetAnswer(std::uint64_t ticket) const {
    return this->replies.at(ticket).answer;
  }
  boost::json::value GetBody(std::uint64_t ticket) const {
    return boost::json::parse(this->GetAnswer(ticket).body);
  }
  double GetCoverage(std::uint64_t ticket) const {
    return this->GetBody(ticket).at("coverage").at("fraction").to_number<double>();
  }
  std::uint64_t GetIndexVersion(std::uint64_t ticket) const {
    return this->GetBody(ticket).at("snapshot").at("index_version").to_number<std::uint64_t>();
  }

  FrontCore core;
  TimePoint now{std::chrono::seconds(1000)};
  std::shared_ptr<const ControlView> view;
  CallHandler on_call;
  std::function<void(const SendCancel&)> on_cancel;
  std::function<void(const ForwardExecute&)> on_forward = [this](const ForwardExecute& forward) {
    this->core.OnForwardNotSent(forward.forward_id, this->now);
  };
  std::function<void(const ForwardResult&)> on_forward_result = [](const ForwardResult&) {};
  std::vector<TokenHandOver> hand_over_parts;
  std::map<std::uint64_t, Reply> replies;  // by ticket
  std::map<std::uint64_t, int> reply_counts;
  std::vector<SendBatch> batches;
  std::vector<SendCancel> cancels;

 private:
  void RunActions() {
    for (std::vector<FrontAction> actions = this->core.TakeActions(); !actions.empty();
         actions = this->core.TakeActions()) {
      for (const FrontAction& action : actions) {
        if (const auto* batch = std::get_if<SendBatch>(&action)) {
          this->batches.push_back(*batch);
          for (const LeafCall& call : batch->calls) {
            this->on_call(*batch, call);
          }
        } else if (const auto* cancel = std::get_if<SendCancel>(&action)) {
          this->cancels.push_back(*cancel);
          if (this->on_cancel) {
            this->on_cancel(*cancel);
          }
        } else if (const auto* reply = std::get_if<Reply>(&action)) {
          this->replies[reply->answer.ticket] = *reply;
          ++this->reply_counts[reply->answer.ticket];
        } else if (const auto* forward = std::get_if<ForwardExecute>(&action)) {
          this->on_forward(*forward);
        } else if (const auto* result = std::get_if<ForwardResult>(&action)) {
          this->on_forward_result(*result);
        } else if (const auto* part = std::get_if<SendHandOver>(&action)) {
          this->hand_over_parts.push_back(part->part);
        }
      }
    }
  }

  std::uint64_t GetFirstKey(const SendBatch& batch, const LeafCall& call) const {
    for (const Shard& shard : this->view->topology->Find(batch.service)->shards) {
      if (shard.id == call.shard) {
        return shard.range.begin;
      }
    }
    return 0;
  }

  std::multimap<TimePoint, std::function<void()>> events;
  std::uint64_t last_ticket = 0;
};

}  // namespace ibishold::testing

#endif  // TESTS_FRONT_SIM_FRONT_H_
