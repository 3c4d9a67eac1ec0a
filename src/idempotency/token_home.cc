#include <algorithm>
#include <cassert>

#include "ibishold/idempotency.h"
#include "idempotency/milliseconds.h"

namespace ibishold {

TokenHome::TokenHome(TokenHomeOptions options) : options(std::move(options)) {
  assert(this->options.self.incarnation != 0 && "TokenHome needs the incarnation of this run");
  // The own run's clock is this front's clock: both bases stay 0.
  this->runs[this->options.self].complete = true;
}

absl::StatusOr<Token> TokenHome::Issue(TimePoint now) {
  this->DropExpired(now);
  if (this->handed_over()) {
    return absl::UnavailableError("this front is stopping");
  }
  if (this->entry_count >= this->options.table_limit) {
    return absl::ResourceExhaustedError("the token table is full");
  }
  Run& run = this->runs[this->options.self];
  return Token{.home = this->options.self,
               .sequence = ++run.issued,
               .expiry_ms = Milliseconds(now.time_since_epoch() + this->options.lifetime)};
}

TokenDecision TokenHome::Begin(const Token& token,
                               std::uint64_t fingerprint,
                               std::uint64_t waiter,
                               TimePoint now) {
  this->DropExpired(now);
  if (const auto run = this->runs.find(token.home); run != this->runs.end()) {
    return this->BeginKnown(run->second, token, fingerprint, waiter, now);
  }
  const auto report = this->successors.find(token.home);
  const VmId& target = report == this->successors.end() ? token.home.vm : report->second.vm;
  if (target == this->options.self.vm) {
    // An earlier run of this VM was the home or its successor; what it dispatched is not known.
    return {.action = TokenAction::kUnknownRun};
  }
  return {.action = TokenAction::kForward, .forward_to = target};
}

TokenDecision TokenHome::BeginKnown(Run& run,
                                    const Token& token,
                                    std::uint64_t fingerprint,
                                    std::uint64_t waiter,
                                    TimePoint now) {
  const auto found = run.entries.find(token.sequence);
  if (found != run.entries.end()) {
    Entry& entry = found->second;
    if (entry.fingerprint != fingerprint) {
      return {.action = TokenAction::kMismatch};
    }
    if (entry.state == TokenState::kRunning) {
      if (entry.waiters.size() >= this->options.waiter_limit) {
        return {.action = TokenAction::kUnknownRun};
      }
      entry.waiters.push_back(waiter);
      return {.action = TokenAction::kJoin};
    }
    if (entry.result.verdict != Verdict::kNotRun) {
      return {.action = TokenAction::kReplay, .result = entry.result};
    }
  }
  if (!run.complete || token.sequence == 0 || token.sequence > run.issued) {
    return {.action = TokenAction::kUnknownRun};
  }
  if (this->handed_over()) {
    return {.action = TokenAction::kForward, .forward_to = this->successor.vm};
  }
  // The record of an expired token may have been dropped, so it must not be dispatched, not even
  // by a process that wakes up late.
  if (now >= LocalExpiry(run, token.expiry_ms)) {
    return {.action = TokenAction::kExpired};
  }
  if (this->entry_count >= this->options.table_limit) {
    return {.action = TokenAction::kFull};
  }
  Entry& entry = this->Insert(run, token, fingerprint);
  entry.dispatch = ++this->last_dispatch;
  return {.action = TokenAction::kDispatch, .dispatch = entry.dispatch};
}

std::vector<TokenReply> TokenHome::Finish(const Token& token,
                                          std::uint64_t dispatch,
                                          const TokenResult& result,
                                          TimePoint now) {
  assert(dispatch != 0 && "Finish needs the dispatch number that Begin returned");
  this->DropExpired(now);
  const auto run = this->runs.find(token.home);
  if (run == this->runs.end()) {
    return {};
  }
  const auto found = run->second.entries.find(token.sequence);
  // A late not_run of an earlier dispatch must not free the token while a newer dispatch runs.
  if (found == run->second.entries.end() || found->second.dispatch != dispatch ||
      found->second.result.verdict == Verdict::kRan) {
    return {};
  }
  Entry& entry = found->second;
  std::vector<TokenReply> replies = TakeWaiters(entry, result);
  if (result.verdict == Verdict::kNotRun && !this->handed_over()) {
    this->Erase(token.home, run->second, token.sequence);
    return replies;
  }
  this->Store(entry, result);
  entry.changed = this->handed_over();
  return replies;
}

void TokenHome::RemoveWaiter(const Token& token, std::uint64_t waiter) {
  const auto run = this->runs.find(token.home);
  if (run == this->runs.end()) {
    return;
  }
  const auto found = run->second.entries.find(token.sequence);
  if (found != run->second.entries.end()) {
    std::erase(found->second.waiters, waiter);
  }
}

TimePoint TokenHome::LocalExpiry(const Run& run, std::uint64_t expiry_ms) {
  return run.clock_at +
         (std::chrono::milliseconds(expiry_ms) - std::chrono::milliseconds(run.clock_ms));
}

TokenHome::Entry& TokenHome::Insert(Run& run, const Token& token, std::uint64_t fingerprint) {
  Entry& entry = run.entries[token.sequence];
  entry.expiry_ms = token.expiry_ms;
  entry.fingerprint = fingerprint;
  this->by_expiry.emplace(LocalExpiry(run, token.expiry_ms), token);
  ++this->entry_count;
  return entry;
}

void TokenHome::Erase(const FrontRun& home, Run& run, std::uint64_t sequence) {
  const auto found = run.entries.find(sequence);
  if (found == run.entries.end()) {
    return;
  }
  this->stored -= found->second.result.body.size();
  const Token token{.home = home, .sequence = sequence, .expiry_ms = found->second.expiry_ms};
  this->by_expiry.erase({LocalExpiry(run, token.expiry_ms), token});
  run.entries.erase(found);
  --this->entry_count;
}

void TokenHome::Store(Entry& entry, const TokenResult& result) {
  this->stored -= entry.result.body.size();
  entry.state = TokenState::kFinished;
  entry.result = result;
  // Verdict and status are always kept; a body that does not fit is not.
  if (result.body.size() > this->options.body_limit ||
      this->stored + result.body.size() > this->options.stored_limit) {
    entry.result.body.clear();
  }
  this->stored += entry.result.body.size();
}

std::vector<TokenReply> TokenHome::TakeWaiters(Entry& entry, const TokenResult& result) {
  std::vector<TokenReply> replies;
  replies.reserve(entry.waiters.size());
  for (const std::uint64_t waiter : entry.waiters) {
    replies.push_back({.waiter = waiter, .result = result});
  }
  entry.waiters.clear();
  return replies;
}

void TokenHome::DropExpired(TimePoint now) {
  std::vector<std::pair<TimePoint, Token>> kept;
  while (!this->by_expiry.empty() && this->by_expiry.begin()->first <= now) {
    const Token token = this->by_expiry.begin()->second;
    this->by_expiry.erase(this->by_expiry.begin());
    Run& run = this->runs[token.home];
    const auto found = run.entries.find(token.sequence);
    if (found == run.entries.end()) {
      continue;
    }
    // Joined callers are still to be answered; looked at again a second later.
    if (!found->second.waiters.empty()) {
      kept.emplace_back(now + std::chrono::seconds(1), token);
      continue;
    }
    this->Erase(token.home, run, token.sequence);
  }
  for (auto& item : kept) {
    this->by_expiry.insert(std::move(item));
  }
  std::erase_if(this->successors, [&](const auto& item) {
    return item.second.learned_at + 2 * this->options.lifetime <= now;
  });
}

}  // namespace ibishold
