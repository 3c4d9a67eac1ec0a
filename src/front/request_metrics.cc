#include "front/request_worker.h"

namespace ibishold {

namespace {

struct CounterMetric {
  const char* name;
  const char* help;
  std::uint64_t FrontCounters::*value;
};

constexpr CounterMetric kCounterMetrics[] = {
    {"ibishold_front_requests_total", "Requests taken in", &FrontCounters::requests},
    {"ibishold_front_answers_full_total", "Answers with full coverage",
     &FrontCounters::answers_full},
    {"ibishold_front_answers_partial_total", "Answers with partial coverage",
     &FrontCounters::answers_partial},
    {"ibishold_front_refusals_total", "Requests answered with an error", &FrontCounters::refusals},
    {"ibishold_front_leaf_attempts_total", "Leaf requests, with hedges and retries",
     &FrontCounters::leaf_attempts},
    {"ibishold_front_hedges_total", "Second attempts after the quantile", &FrontCounters::hedges},
    {"ibishold_front_hedge_wins_total", "Hedges that answered first", &FrontCounters::hedge_wins},
    {"ibishold_front_retries_total", "Retries from the budget", &FrontCounters::retries},
    {"ibishold_front_reroutes_total", "Attempts that had not run, sent another way",
     &FrontCounters::reroutes},
    {"ibishold_front_replans_total", "Queries moved to another snapshot", &FrontCounters::replans},
    {"ibishold_front_cancels_total", "Attempts given up", &FrontCounters::cancels},
    {"ibishold_front_late_replies_total", "Replies to attempts that were given up",
     &FrontCounters::late_replies},
    {"ibishold_front_other_version_total", "Answers of another snapshot, not merged",
     &FrontCounters::version_mismatches},
    {"ibishold_front_malformed_total", "Leaf answers that could not be read",
     &FrontCounters::malformed_replies},
    {"ibishold_front_abandoned_total", "Callers that left before their answer",
     &FrontCounters::abandoned_requests},
    {"ibishold_front_quarantined_total", "Refused as suspected of crashing leaves",
     &FrontCounters::quarantined_queries},
    {"ibishold_front_canaries_total", "Attempts that ran alone", &FrontCounters::canary_attempts},
    {"ibishold_front_executes_total", "Non-repeatable requests sent to a leaf",
     &FrontCounters::executes},
    {"ibishold_front_replays_total", "Requests answered from the token table",
     &FrontCounters::replays},
    {"ibishold_front_forwards_total", "Requests passed to the home of their token",
     &FrontCounters::forwards},
    {"ibishold_front_may_have_run_total", "Non-repeatable requests without a certain end",
     &FrontCounters::uncertain_executes},
};

}  // namespace

void RequestWorker::ExportCounters() {
  const FrontCounters& counters = this->core.counters();
  for (const CounterMetric& metric : kCounterMetrics) {
    this->metrics.AddCounter(metric.name, metric.help)
        .Add(static_cast<double>(counters.*metric.value - this->exported_counters.*metric.value));
  }
  this->exported_counters = counters;
  this->metrics.AddGauge("ibishold_front_requests_in_progress", "Requests without an answer")
      .Set(static_cast<double>(this->core.requests_in_progress()));
  this->metrics.AddGauge("ibishold_front_attempts_outstanding", "Leaf requests without a reply")
      .Set(static_cast<double>(this->core.attempts_outstanding()));
  std::string new_debug_state = this->core.BuildDebugState(BootClock::now());
  const std::lock_guard lock(this->debug_mutex);
  this->debug_state = std::move(new_debug_state);
}

}  // namespace ibishold
