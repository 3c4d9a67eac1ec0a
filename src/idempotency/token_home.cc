#include <algorithm>
#include <cassert>

#include "ibishold/idempotency.h"
#include "idempotency/milliseconds.h"

namespace ibishold {

TokenHome::TokenHome(TokenHomeOptions options) : options(std::move(options)) {
  assert(this->options.self.incarnation != 0 && "TokenHome requires the incarnation of this run");
  // For this run's own tokens the home's clock is the local clock, so home_clock_ms and
  // home_clock_read_at stay 0.
  this->runs[this->options.self].records_complete = true;
}

absl::StatusOr<Token> TokenHome::Issue(TimePoint now) {
  this->DropExpiredTokens(now);
  if (this->handed_over()) {
    return absl::UnavailableError("this front is stopping");
  }
  if (this->entry_count >= this->options.token_limit) {
    return absl::ResourceExhaustedError("the token table is full");
  }
  Run& run = this->runs[this->options.self];
  return Token{
      .home = this->options.self,
      .sequence = ++run.last_issued_sequence,
      .expiry_ms = ToWholeMilliseconds(now.time_since_epoch() + this->options.token_lifetime)};
}

TokenDecision TokenHome::Begin(const Token& token,
                               std::uint64_t fingerprint,
                               std::uint64_t waiter_id,
                               TimePoint now) {
  this->DropExpiredTokens(now);
  if (const auto run_it = this->runs.find(token.home); run_it != this->runs.end()) {
    return this->BeginInRun(run_it->second, token, fingerprint, waiter_id, now);
  }
  const auto report_it = this->successor_reports.find(token.home);
  const VmId& target =
      report_it == this->successor_reports.end() ? token.home.vm : report_it->second.vm;
  if (target == this->options.self.vm) {
    // The home or its successor was an earlier run of this VM. It is unknown what that run
    // dispatched.
    return {.action = TokenAction::kUnknownRun};
  }
  return {.action = TokenAction::kForward, .forward_to = target};
}

TokenDecision TokenHome::BeginInRun(Run& run,
                                    const Token& token,
                                    std::uint64_t fingerprint,
                                    std::uint64_t waiter_id,
                                    TimePoint now) {
  const auto entry_it = run.entries.find(token.sequence);
  if (entry_it != run.entries.end()) {
    Entry& entry = entry_it->second;
    if (entry.fingerprint != fingerprint) {
      return {.action = TokenAction::kOperationMismatch};
    }
    if (entry.state == TokenState::kRunning) {
      if (entry.waiter_ids.size() >= this->options.waiters_per_token_limit) {
        return {.action = TokenAction::kUnknownRun};
      }
      entry.waiter_ids.push_back(waiter_id);
      return {.action = TokenAction::kJoin};
    }
    if (entry.result.verdict != Verdict::kNotRun) {
      return {.action = TokenAction::kReplay, .result = entry.result};
    }
  }
  if (!run.records_complete || token.sequence == 0 || token.sequence > run.last_issued_sequence) {
    return {.action = TokenAction::kUnknownRun};
  }
  if (this->handed_over()) {
    return {.action = TokenAction::kForward, .forward_to = this->successor.vm};
  }
  // The record of an expired token may have been dropped, so the token must not be dispatched. The
  // check also covers a process that resumes late after a pause.
  if (now >= ComputeLocalExpiry(run, token.expiry_ms)) {
    return {.action = TokenAction::kExpired};
  }
  if (this->entry_count >= this->options.token_limit) {
    return {.action = TokenAction::kTableFull};
  }
  Entry& entry = this->InsertEntry(run, token, fingerprint);
  entry.dispatch_id = ++this->last_dispatch_id;
  return {.action = TokenAction::kDispatch, .dispatch_id = entry.dispatch_id};
}

std::vector<TokenReply> TokenHome::Finish(const Token& token,
                                          std::uint64_t dispatch_id,
                                          const TokenResult& result,
                                          TimePoint now) {
  assert(dispatch_id != 0 && "Finish requires the dispatch_id that Begin returned");
  this->DropExpiredTokens(now);
  const auto run_it = this->runs.find(token.home);
  if (run_it == this->runs.end()) {
    return {};
  }
  const auto entry_it = run_it->second.entries.find(token.sequence);
  // A late not_run of an earlier dispatch must not permit another dispatch while a newer one is
  // running.
  if (entry_it == run_it->second.entries.end() || entry_it->second.dispatch_id != dispatch_id ||
      entry_it->second.result.verdict == Verdict::kRan) {
    return {};
  }
  Entry& entry = entry_it->second;
  std::vector<TokenReply> replies = TakeReplies(entry, result);
  if (result.verdict == Verdict::kNotRun && !this->handed_over()) {
    this->EraseEntry(token.home, run_it->second, token.sequence);
    return replies;
  }
  this->StoreResult(entry, result);
  entry.result_pending_export = this->handed_over();
  return replies;
}

void TokenHome::RemoveWaiter(const Token& token, std::uint64_t waiter_id) {
  const auto run_it = this->runs.find(token.home);
  if (run_it == this->runs.end()) {
    return;
  }
  const auto entry_it = run_it->second.entries.find(token.sequence);
  if (entry_it != run_it->second.entries.end()) {
    std::erase(entry_it->second.waiter_ids, waiter_id);
  }
}

TimePoint TokenHome::ComputeLocalExpiry(const Run& run, std::uint64_t expiry_ms) {
  return run.home_clock_read_at +
         (std::chrono::milliseconds(expiry_ms) - std::chrono::milliseconds(run.home_clock_ms));
}

TokenHome::Entry& TokenHome::InsertEntry(Run& run, const Token& token, std::uint64_t fingerprint) {
  Entry& entry = run.entries[token.sequence];
  entry.expiry_ms = token.expiry_ms;
  entry.fingerprint = fingerprint;
  this->tokens_by_expiry.emplace(ComputeLocalExpiry(run, token.expiry_ms), token);
  ++this->entry_count;
  return entry;
}

void TokenHome::EraseEntry(const FrontRun& home, Run& run, std::uint64_t sequence) {
  const auto entry_it = run.entries.find(sequence);
  if (entry_it == run.entries.end()) {
    return;
  }
  this->stored_body_bytes -= entry_it->second.result.body.size();
  const Token token{.home = home, .sequence = sequence, .expiry_ms = entry_it->second.expiry_ms};
  this->tokens_by_expiry.erase({ComputeLocalExpiry(run, token.expiry_ms), token});
  run.entries.erase(entry_it);
  --this->entry_count;
}

void TokenHome::StoreResult(Entry& entry, const TokenResult& result) {
  this->stored_body_bytes -= entry.result.body.size();
  entry.state = TokenState::kFinished;
  entry.result = result;
  // The verdict and the status are always stored; a body that exceeds a limit is dropped.
  if (result.body.size() > this->options.body_bytes_limit ||
      this->stored_body_bytes + result.body.size() > this->options.stored_bytes_limit) {
    entry.result.body.clear();
  }
  this->stored_body_bytes += entry.result.body.size();
}

std::vector<TokenReply> TokenHome::TakeReplies(Entry& entry, const TokenResult& result) {
  std::vector<TokenReply> replies;
  replies.reserve(entry.waiter_ids.size());
  for (const std::uint64_t waiter_id : entry.waiter_ids) {
    replies.push_back({.waiter_id = waiter_id, .result = result});
  }
  entry.waiter_ids.clear();
  return replies;
}

void TokenHome::DropExpiredTokens(TimePoint now) {
  std::vector<std::pair<TimePoint, Token>> postponed_tokens;
  while (!this->tokens_by_expiry.empty() && this->tokens_by_expiry.begin()->first <= now) {
    const Token token = this->tokens_by_expiry.begin()->second;
    this->tokens_by_expiry.erase(this->tokens_by_expiry.begin());
    Run& run = this->runs[token.home];
    const auto entry_it = run.entries.find(token.sequence);
    if (entry_it == run.entries.end()) {
      continue;
    }
    // Joined callers still wait for a result, so the record is kept and checked again after 1 s.
    if (!entry_it->second.waiter_ids.empty()) {
      postponed_tokens.emplace_back(now + std::chrono::seconds(1), token);
      continue;
    }
    this->EraseEntry(token.home, run, token.sequence);
  }
  for (auto& postponed_token : postponed_tokens) {
    this->tokens_by_expiry.insert(std::move(postponed_token));
  }
  std::erase_if(this->successor_reports, [&](const auto& report) {
    return report.second.recorded_at + 2 * this->options.token_lifetime <= now;
  });
}

}  // namespace ibishold
