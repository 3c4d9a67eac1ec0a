#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "ibishold/idempotency.h"

// Replays counterexamples of models/tokens.pml, each found with one guard removed, against
// TokenHome. Each step is one step of Spin's trace; no more than one request may run.

namespace ibishold {

using std::chrono::minutes;

namespace {

constexpr std::uint64_t kOrder = 77;  // fingerprint of the operation

enum class Step {
  kBegin,    // a caller's request reaches the run
  kRemove,   // the broker removes the newest dispatch and reports not_run
  kRepeat,   // the first report of a removal arrives again
  kExport,   // hand-over to the next run
  kImport,   // the next run takes part `part` of export `number`
  kResults,  // results that came after the hand-over are sent
  kDeliver,  // the next run takes all results that were ever sent
  kExpire,   // the token expires by the clock of this run
};

struct Event {
  Step step;
  int run;         // 0: A, 1: B, 2: C
  int number = 1;  // kImport: export, from 1
  int part = 0;    // kImport: 0 first, 1 last
};

class Replay {
 public:
  Replay() {
    for (int run = 0; run < 3; ++run) {
      this->homes.emplace_back(TokenHomeOptions{
          .self = Self(run), .token_lifetime = minutes(10), .part_bytes_limit = 1});
    }
    // A second token, of which the record makes a hand-over of A have two parts.
    const Token other = this->homes[0].Issue(this->clocks[0]).value();
    this->homes[0].Begin(other, kOrder, 1, this->clocks[0]);
    this->token = this->homes[0].Issue(this->clocks[0]).value();
  }

  // Dispatches that were not removed: all of them may run.
  int Run(const std::vector<Event>& trace) {
    for (const Event& event : trace) {
      this->Do(event);
    }
    return this->running;
  }

 private:
  static FrontRun Self(int run) {
    return {.vm = VmId(std::string(1, static_cast<char>('a' + run))), .incarnation = 100};
  }

  void Do(const Event& event) {
    const auto run = static_cast<std::size_t>(event.run);
    TokenHome& home = this->homes[run];
    const TimePoint now = this->clocks[run];
    switch (event.step) {
      case Step::kBegin: {
        const TokenDecision decision = home.Begin(this->token, kOrder, 1, now);
        if (decision.action == TokenAction::kDispatch) {
          this->dispatches[event.run].push_back(decision.dispatch_id);
          ++this->running;
        }
        break;
      }
      case Step::kRemove:
        home.Finish(this->token, this->dispatches[event.run].back(), kNotRun, now);
        --this->running;
        break;
      case Step::kRepeat:
        home.Finish(this->token, this->dispatches[event.run].front(), kNotRun, now);
        break;
      case Step::kExport:
        this->exports[event.run].push_back(home.Export(Self(event.run + 1), now).value());
        break;
      case Step::kImport: {
        const auto& parts =
            this->exports[event.run - 1][static_cast<std::size_t>(event.number - 1)];
        // The part that holds the record, or all the others.
        for (const TokenHandOver& part : parts) {
          if (this->HoldsRecord(part) == (event.part == 0)) {
            home.Import(part, now).IgnoreError();
          }
        }
        break;
      }
      case Step::kResults:
        for (const TokenHandOver& part : home.ExportLateResults(now)) {
          this->results[event.run].push_back(part);
        }
        break;
      case Step::kDeliver:
        for (const TokenHandOver& part : this->results[event.run - 1]) {
          home.Import(part, now).IgnoreError();
        }
        break;
      case Step::kExpire:
        this->clocks[run] += minutes(10);
        break;
    }
  }

  bool HoldsRecord(const TokenHandOver& part) const {
    for (const TokenRecord& record : part.records) {
      if (record.sequence == this->token.sequence) {
        return true;
      }
    }
    return false;
  }

  static inline const TokenResult kNotRun{.verdict = Verdict::kNotRun, .status = 503};

  std::vector<TokenHome> homes;
  std::vector<TimePoint> clocks{TimePoint{minutes(5)}, TimePoint{minutes(500)},
                                TimePoint{minutes(50)}};
  Token token;
  std::map<int, std::vector<std::uint64_t>> dispatches;
  std::map<int, std::vector<std::vector<TokenHandOver>>> exports;
  std::map<int, std::vector<TokenHandOver>> results;
  int running = 0;
};

constexpr int kA = 0;
constexpr int kB = 1;
constexpr int kC = 2;

}  // namespace

TEST_CASE("traces of the token model") {
  Replay replay;
  SUBCASE("NO_JOIN: a duplicate while the first one runs") {
    CHECK(replay.Run({{Step::kBegin, kA}, {Step::kBegin, kA}}) == 1);
  }
  SUBCASE("LATE_NOT_RUN: the report of a removal arrives again while the second dispatch runs") {
    CHECK(replay.Run({{Step::kBegin, kA},
                      {Step::kRemove, kA},
                      {Step::kBegin, kA},
                      {Step::kRepeat, kA},
                      {Step::kExport, kA},
                      {Step::kImport, kB, 1, 0},
                      {Step::kImport, kB, 1, 1},
                      {Step::kBegin, kB}}) == 1);
  }
  SUBCASE("CLOCK_OF_FIRST_PART: a part of the first export comes after the expiry") {
    CHECK(replay.Run({{Step::kBegin, kA},
                      {Step::kExport, kA},
                      {Step::kImport, kB, 1, 1},
                      {Step::kExpire, kA},
                      {Step::kExport, kA},
                      {Step::kImport, kB, 2, 0},
                      {Step::kImport, kB, 2, 1},
                      {Step::kBegin, kB}}) == 1);
  }
  SUBCASE("LAST_PART_COMPLETES: the part with the record is lost") {
    CHECK(replay.Run({{Step::kBegin, kA},
                      {Step::kExport, kA},
                      {Step::kImport, kB, 1, 1},
                      {Step::kBegin, kB}}) == 1);
  }
  SUBCASE("IMPORT_TOUCHES_LOCAL: a repeated result meets the successor's own dispatch") {
    CHECK(replay.Run({{Step::kBegin, kA},
                      {Step::kExport, kA},
                      {Step::kImport, kB, 1, 0},
                      {Step::kImport, kB, 1, 1},
                      {Step::kRemove, kA},
                      {Step::kResults, kA},
                      {Step::kDeliver, kB},
                      {Step::kBegin, kB},
                      {Step::kDeliver, kB},
                      {Step::kBegin, kB}}) == 1);
  }
  SUBCASE("OLD_PART_REVIVES: a repeated part after the successor has handed over itself") {
    CHECK(replay.Run({{Step::kBegin, kA},
                      {Step::kExport, kA},
                      {Step::kImport, kB, 1, 0},
                      {Step::kImport, kB, 1, 1},
                      {Step::kRemove, kA},
                      {Step::kResults, kA},
                      {Step::kDeliver, kB},
                      {Step::kBegin, kB},
                      {Step::kExport, kB},
                      {Step::kImport, kC, 1, 0},
                      {Step::kImport, kC, 1, 1},
                      {Step::kExpire, kB},
                      {Step::kImport, kB, 1, 0},
                      {Step::kDeliver, kB},
                      {Step::kResults, kB},
                      {Step::kDeliver, kC},
                      {Step::kBegin, kC}}) == 1);
  }
}

}  // namespace ibishold
