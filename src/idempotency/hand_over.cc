#include <algorithm>

#include "absl/strings/str_cat.h"
#include "ibishold/idempotency.h"
#include "idempotency/milliseconds.h"

namespace ibishold {

absl::StatusOr<std::vector<TokenHandOver>> TokenHome::Export(const FrontRun& successor,
                                                             TimePoint now) {
  this->DropExpiredTokens(now);
  // A second successor could dispatch tokens that the first one has already dispatched. A later run
  // of the successor's VM also counts as a second successor.
  if (this->handed_over() && this->successor != successor) {
    return absl::FailedPreconditionError(absl::StrCat(
        "the tokens were already handed over to a run of VM ", this->successor.vm.value));
  }
  this->successor = successor;
  ++this->export_count;
  std::vector<TokenHandOver> parts;
  for (auto& [home, run] : this->runs) {
    if (!run.records_complete) {
      continue;
    }
    const std::size_t first_part = parts.size();
    const TokenHandOver part_without_records{
        .home = home,
        .sender = this->options.self,
        .successor = successor,
        .home_clock_ms = run.home_clock_ms + ToWholeMilliseconds(now - run.home_clock_read_at),
        .last_issued_sequence = run.last_issued_sequence,
        .export_number = this->export_count,
    };
    parts.push_back(part_without_records);
    std::size_t part_bytes = 0;
    for (const auto& [sequence, entry] : run.entries) {
      constexpr std::size_t kRecordOverheadBytes = 64;
      const std::size_t record_bytes = entry.result.body.size() + kRecordOverheadBytes;
      if (part_bytes + record_bytes > this->options.part_bytes_limit &&
          !parts.back().records.empty()) {
        parts.push_back(part_without_records);
        part_bytes = 0;
      }
      part_bytes += record_bytes;
      parts.back().records.push_back({.sequence = sequence,
                                      .expiry_ms = entry.expiry_ms,
                                      .fingerprint = entry.fingerprint,
                                      .state = entry.state,
                                      .result = entry.result});
    }
    for (std::size_t i = first_part; i < parts.size(); ++i) {
      parts[i].part_index = static_cast<std::uint32_t>(i - first_part);
      parts[i].part_count = static_cast<std::uint32_t>(parts.size() - first_part);
    }
  }
  return parts;
}

std::vector<TokenHandOver> TokenHome::ExportLateResults(TimePoint now) {
  std::vector<TokenHandOver> parts;
  for (auto& [home, run] : this->runs) {
    for (auto& [sequence, entry] : run.entries) {
      if (!entry.result_pending_export) {
        continue;
      }
      entry.result_pending_export = false;
      parts.push_back(
          {.home = home,
           .sender = this->options.self,
           .successor = this->successor,
           .home_clock_ms = run.home_clock_ms + ToWholeMilliseconds(now - run.home_clock_read_at),
           .last_issued_sequence = run.last_issued_sequence,
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
  this->DropExpiredTokens(now);
  // A front that restarts after it accepted a hand-over has lost its record of dispatches, so its
  // new run must not accept that hand-over again.
  if (part.successor != this->options.self || part.home == this->options.self) {
    return absl::FailedPreconditionError("the hand-over is addressed to another run");
  }
  auto run_it = this->runs.find(part.home);
  if (this->handed_over() && (run_it == this->runs.end() || !run_it->second.records_complete)) {
    return absl::FailedPreconditionError("this front has already handed over its own tokens");
  }
  if (run_it == this->runs.end()) {
    if (part.part_count == 0) {
      return std::vector<TokenReply>{};
    }
    // Runs are never removed: a repeated part of a removed run would make its tokens valid again.
    if (this->runs.size() > this->options.inherited_run_limit) {
      return absl::ResourceExhaustedError("too many runs were handed over to this front");
    }
    Run run;
    run.last_issued_sequence = part.last_issued_sequence;
    run.home_clock_ms = part.home_clock_ms;
    run.home_clock_read_at = now;
    run_it = this->runs.emplace(part.home, std::move(run)).first;
  }
  Run& run = run_it->second;
  if (this->entry_count + part.records.size() > this->options.token_limit) {
    return absl::ResourceExhaustedError("the token table is full");
  }
  // The home's clock has reached at least the time in the part, so a later time replaces the
  // estimate. An estimate from a delayed first part is too low: a token would seem valid although
  // the home dropped its record before a later export.
  const std::uint64_t estimated_home_clock_ms =
      run.home_clock_ms + ToWholeMilliseconds(now - run.home_clock_read_at);
  if (part.home_clock_ms > estimated_home_clock_ms) {
    run.home_clock_ms = part.home_clock_ms;
    run.home_clock_read_at = now;
  }
  std::vector<TokenReply> replies;
  for (const TokenRecord& record : part.records) {
    this->ImportRecord(run, part, record, now, replies);
  }
  if (part.part_count == 0 || part.export_number < run.export_number) {
    return replies;
  }
  if (part.export_number > run.export_number) {
    run.export_number = part.export_number;
    run.received_parts.clear();
  }
  run.received_parts.insert(part.part_index);
  // A link may lose earlier parts, so the arrival of the last part does not prove completeness.
  run.records_complete = run.records_complete || run.received_parts.size() == part.part_count;
  return replies;
}

void TokenHome::ImportRecord(Run& run,
                             const TokenHandOver& part,
                             const TokenRecord& record,
                             TimePoint now,
                             std::vector<TokenReply>& replies) {
  const bool is_finished = record.state == TokenState::kFinished;
  const bool is_not_run = is_finished && record.result.verdict == Verdict::kNotRun;
  const auto entry_it = run.entries.find(record.sequence);
  if (entry_it == run.entries.end()) {
    // An expired record was dropped here and is not restored. After this run's own hand-over, the
    // successor has the record: restoring it from a repeated part could later send the successor a
    // result that contradicts its own.
    const bool is_valid = now < ComputeLocalExpiry(run, record.expiry_ms);
    if (!is_not_run && is_valid && !this->handed_over()) {
      const Token token{
          .home = part.home, .sequence = record.sequence, .expiry_ms = record.expiry_ms};
      Entry& entry = this->InsertEntry(run, token, record.fingerprint);
      entry.sender = part.sender;
      if (is_finished) {
        this->StoreResult(entry, record.result);
      }
    }
    return;
  }
  Entry& entry = entry_it->second;
  // A repeated part must not change a token that this run has dispatched in the meantime.
  if (!is_finished || entry.dispatch_id != 0 || entry.sender != part.sender ||
      entry.state == TokenState::kFinished) {
    return;
  }
  for (TokenReply& reply : TakeReplies(entry, record.result)) {
    replies.push_back(std::move(reply));
  }
  if (is_not_run && !this->handed_over()) {
    this->EraseEntry(part.home, run, record.sequence);
    return;
  }
  this->StoreResult(entry, record.result);
  entry.result_pending_export = this->handed_over();
}

std::vector<TokenReply> TokenHome::OnSenderStopped(const FrontRun& sender, TimePoint now) {
  this->DropExpiredTokens(now);
  const TokenResult may_have_run_result{.verdict = Verdict::kMayHaveRun, .status = 504};
  std::vector<TokenReply> replies;
  for (auto& [home, run] : this->runs) {
    for (auto& [sequence, entry] : run.entries) {
      if (entry.dispatch_id != 0 || entry.state != TokenState::kRunning || entry.sender != sender) {
        continue;
      }
      for (TokenReply& reply : TakeReplies(entry, may_have_run_result)) {
        replies.push_back(std::move(reply));
      }
      this->StoreResult(entry, may_have_run_result);
      entry.result_pending_export = this->handed_over();
    }
  }
  return replies;
}

void TokenHome::RecordSuccessor(const FrontRun& home,
                                const VmId& successor,
                                std::uint32_t hops,
                                TimePoint now) {
  this->DropExpiredTokens(now);
  const auto report_it = this->successor_reports.find(home);
  if (report_it != this->successor_reports.end()) {
    if (report_it->second.hops <= hops) {
      report_it->second = {.vm = successor, .hops = hops, .recorded_at = now};
    }
    return;
  }
  if (this->successor_reports.size() >= this->options.successor_report_limit) {
    const auto oldest_report =
        std::min_element(this->successor_reports.begin(), this->successor_reports.end(),
                         [](const auto& left, const auto& right) {
                           return left.second.recorded_at < right.second.recorded_at;
                         });
    this->successor_reports.erase(oldest_report);
  }
  this->successor_reports[home] = {.vm = successor, .hops = hops, .recorded_at = now};
}

std::vector<FrontRun> TokenHome::CollectInheritedRuns() const {
  std::vector<FrontRun> inherited_runs;
  for (const auto& [home, run] : this->runs) {
    if (run.records_complete && home != this->options.self) {
      inherited_runs.push_back(home);
    }
  }
  return inherited_runs;
}

}  // namespace ibishold
