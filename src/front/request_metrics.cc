#include "front/request_duty.h"

namespace ibishold {

void RequestDuty::ExportCounters() {
  const FrontCounters& now = this->core.counters();
  const auto add = [this](const char* name, const char* help, std::uint64_t value,
                          std::uint64_t before) {
    this->metrics.AddCounter(name, help).Add(static_cast<double>(value - before));
  };
  const FrontCounters& old = this->exported;
  add("ibishold_front_requests_total", "Requests taken in", now.requests, old.requests);
  add("ibishold_front_answers_full_total", "Answers with full coverage", now.answers_full,
      old.answers_full);
  add("ibishold_front_answers_partial_total", "Answers with partial coverage", now.answers_partial,
      old.answers_partial);
  add("ibishold_front_refusals_total", "Requests answered with an error", now.refusals,
      old.refusals);
  add("ibishold_front_leaf_attempts_total", "Leaf requests, with hedges and retries",
      now.leaf_attempts, old.leaf_attempts);
  add("ibishold_front_hedges_total", "Second attempts after the quantile", now.hedges, old.hedges);
  add("ibishold_front_hedge_wins_total", "Hedges that answered first", now.hedge_wins,
      old.hedge_wins);
  add("ibishold_front_retries_total", "Retries from the budget", now.retries, old.retries);
  add("ibishold_front_reroutes_total", "Attempts that had not run, sent another way", now.reroutes,
      old.reroutes);
  add("ibishold_front_replans_total", "Queries moved to another snapshot", now.replans,
      old.replans);
  add("ibishold_front_cancels_total", "Attempts given up", now.cancels, old.cancels);
  add("ibishold_front_late_replies_total", "Replies to attempts that were given up",
      now.late_replies, old.late_replies);
  add("ibishold_front_other_version_total", "Answers of another snapshot, not merged",
      now.other_version, old.other_version);
  add("ibishold_front_malformed_total", "Leaf answers that could not be read", now.malformed,
      old.malformed);
  add("ibishold_front_abandoned_total", "Callers that left before their answer", now.abandoned,
      old.abandoned);
  add("ibishold_front_quarantined_total", "Refused as suspected of crashing leaves",
      now.quarantined, old.quarantined);
  add("ibishold_front_canaries_total", "Attempts that ran alone", now.canaries, old.canaries);
  add("ibishold_front_executes_total", "Non-repeatable requests sent to a leaf", now.executes,
      old.executes);
  add("ibishold_front_replays_total", "Requests answered from the token table", now.replays,
      old.replays);
  add("ibishold_front_forwards_total", "Requests passed to the home of their token", now.forwards,
      old.forwards);
  add("ibishold_front_may_have_run_total", "Non-repeatable requests without a certain end",
      now.may_have_run, old.may_have_run);
  this->exported = now;
  this->metrics.AddGauge("ibishold_front_requests_in_progress", "Requests without an answer")
      .Set(static_cast<double>(this->core.requests_in_progress()));
  this->metrics.AddGauge("ibishold_front_attempts_outstanding", "Leaf requests without a reply")
      .Set(static_cast<double>(this->core.attempts_outstanding()));
  std::string state = this->core.DebugState(BootClock::now());
  const std::lock_guard lock(this->debug_mutex);
  this->debug_state = std::move(state);
}

}  // namespace ibishold
