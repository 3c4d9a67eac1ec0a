#include <algorithm>

#include "absl/strings/str_cat.h"
#include "ibishold/idempotency.h"
#include "idempotency/milliseconds.h"

namespace ibishold {

absl::StatusOr<std::vector<TokenHandOver>> TokenHome::Export(const FrontRun& successor,
                                                             TimePoint now) {
  this->DropExpired(now);
  // A second successor could dispatch tokens that the first one has already dispatched; this also
  // holds for a later run of the same VM.
  if (this->handed_over() && this->successor != successor) {
    return absl::FailedPreconditionError(
        absl::StrCat("tokens were already handed to ", this->successor.vm.value));
  }
  this->successor = successor;
  ++this->exports;
  std::vector<TokenHandOver> parts;
  for (auto& [home, run] : this->runs) {
    if (!run.complete) {
      continue;
    }
    const std::size_t first = parts.size();
    const TokenHandOver empty{
        .home = home,
        .sender = this->options.self,
        .successor = successor,
        .home_clock_ms = run.clock_ms + Milliseconds(now - run.clock_at),
        .issued = run.issued,
        .attempt = this->exports,
    };
    parts.push_back(empty);
    std::size_t bytes = 0;
    for (const auto& [sequence, entry] : run.entries) {
      constexpr std::size_t kRecordBytes = 64;
      const std::size_t size = entry.result.body.size() + kRecordBytes;
      if (bytes + size > this->options.part_limit && !parts.back().records.empty()) {
        parts.push_back(empty);
        bytes = 0;
      }
      bytes += size;
      parts.back().records.push_back({.sequence = sequence,
                                      .expiry_ms = entry.expiry_ms,
                                      .fingerprint = entry.fingerprint,
                                      .state = entry.state,
                                      .result = entry.result});
    }
    for (std::size_t i = first; i < parts.size(); ++i) {
      parts[i].part = static_cast<std::uint32_t>(i - first);
      parts[i].parts = static_cast<std::uint32_t>(parts.size() - first);
    }
  }
  return parts;
}

std::vector<TokenHandOver> TokenHome::ExportResults(TimePoint now) {
  std::vector<TokenHandOver> parts;
  for (auto& [home, run] : this->runs) {
    for (auto& [sequence, entry] : run.entries) {
      if (!entry.changed) {
        continue;
      }
      entry.changed = false;
      parts.push_back({.home = home,
                       .sender = this->options.self,
                       .successor = this->successor,
                       .home_clock_ms = run.clock_ms + Milliseconds(now - run.clock_at),
                       .issued = run.issued,
                       .records = {{.sequence = sequence,
                                    .expiry_ms = entry.expiry_ms,
                                    .fingerprint = entry.fingerprint,
                                    .state = entry.state,
                                    .result = entry.result}}});
    }
  }
  return parts;
}

absl::StatusOr<std::vector<TokenReply>> TokenHome::Import(const TokenHandOver& part,
                                                          TimePoint now) {
  this->DropExpired(now);
  // A run that restarted after accepting the hand-over no longer knows what it dispatched, so the
  // same hand-over must not be accepted by the new run.
  if (part.successor != this->options.self || part.home == this->options.self) {
    return absl::FailedPreconditionError("the tokens are handed over to another run");
  }
  auto found = this->runs.find(part.home);
  if (this->handed_over() && (found == this->runs.end() || !found->second.complete)) {
    return absl::FailedPreconditionError("this front has handed over its own tokens");
  }
  if (found == this->runs.end()) {
    if (part.parts == 0) {
      return std::vector<TokenReply>{};
    }
    // Runs are never forgotten: a repeated part of a forgotten run would make its tokens valid
    // again.
    if (this->runs.size() > this->options.run_limit) {
      return absl::ResourceExhaustedError("too many runs were handed over to this front");
    }
    Run run;
    run.issued = part.issued;
    run.clock_ms = part.home_clock_ms;
    run.clock_at = now;
    found = this->runs.emplace(part.home, std::move(run)).first;
  }
  Run& run = found->second;
  if (this->entry_count + part.records.size() > this->options.table_limit) {
    return absl::ResourceExhaustedError("the token table is full");
  }
  std::vector<TokenReply> replies;
  for (const TokenRecord& record : part.records) {
    this->ImportRecord(run, part, record, replies);
  }
  if (part.parts == 0 || part.attempt < run.attempt) {
    return replies;
  }
  if (part.attempt > run.attempt) {
    run.attempt = part.attempt;
    run.received.clear();
  }
  run.received.insert(part.part);
  // A link may have lost earlier parts, so the last one alone proves nothing.
  run.complete = run.complete || run.received.size() == part.parts;
  return replies;
}

void TokenHome::ImportRecord(Run& run,
                             const TokenHandOver& part,
                             const TokenRecord& record,
                             std::vector<TokenReply>& replies) {
  const bool finished = record.state == TokenState::kFinished;
  const bool not_run = finished && record.result.verdict == Verdict::kNotRun;
  const auto found = run.entries.find(record.sequence);
  if (found == run.entries.end()) {
    if (!not_run) {
      const Token token{
          .home = part.home, .sequence = record.sequence, .expiry_ms = record.expiry_ms};
      Entry& entry = this->Insert(run, token, record.fingerprint);
      entry.sender = part.sender;
      if (finished) {
        this->Store(entry, record.result);
      }
    }
    return;
  }
  Entry& entry = found->second;
  // A repeated part must not change a token that was dispatched here since.
  if (!finished || entry.dispatch != 0 || entry.sender != part.sender ||
      entry.state == TokenState::kFinished) {
    return;
  }
  for (TokenReply& reply : TakeWaiters(entry, record.result)) {
    replies.push_back(std::move(reply));
  }
  if (not_run && !this->handed_over()) {
    this->Erase(part.home, run, record.sequence);
    return;
  }
  this->Store(entry, record.result);
  entry.changed = this->handed_over();
}

std::vector<TokenReply> TokenHome::SenderStopped(const FrontRun& sender, TimePoint now) {
  this->DropExpired(now);
  const TokenResult unknown{.verdict = Verdict::kMayHaveRun, .status = 504};
  std::vector<TokenReply> replies;
  for (auto& [home, run] : this->runs) {
    for (auto& [sequence, entry] : run.entries) {
      if (entry.dispatch != 0 || entry.state != TokenState::kRunning || entry.sender != sender) {
        continue;
      }
      for (TokenReply& reply : TakeWaiters(entry, unknown)) {
        replies.push_back(std::move(reply));
      }
      this->Store(entry, unknown);
      entry.changed = this->handed_over();
    }
  }
  return replies;
}

void TokenHome::LearnSuccessor(const FrontRun& home,
                               const VmId& successor,
                               std::uint32_t hops,
                               TimePoint now) {
  this->DropExpired(now);
  const auto found = this->successors.find(home);
  if (found != this->successors.end()) {
    if (found->second.hops <= hops) {
      found->second = {.vm = successor, .hops = hops, .learned_at = now};
    }
    return;
  }
  if (this->successors.size() >= this->options.successor_limit) {
    const auto oldest = std::min_element(
        this->successors.begin(), this->successors.end(),
        [](const auto& a, const auto& b) { return a.second.learned_at < b.second.learned_at; });
    this->successors.erase(oldest);
  }
  this->successors[home] = {.vm = successor, .hops = hops, .learned_at = now};
}

std::vector<FrontRun> TokenHome::InheritedRuns() const {
  std::vector<FrontRun> inherited;
  for (const auto& [home, run] : this->runs) {
    if (run.complete && home != this->options.self) {
      inherited.push_back(home);
    }
  }
  return inherited;
}

}  // namespace ibishold
