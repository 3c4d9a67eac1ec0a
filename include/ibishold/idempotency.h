#ifndef IBISHOLD_IDEMPOTENCY_H_
#define IBISHOLD_IDEMPOTENCY_H_

// At-most-once execution of non-repeatable requests.
//
// Index of this header:
//   1. Token          names one request and the front run that decides about it (its home)
//   2. TokenResult    what the callers of a token are told
//   3. TokenDecision  what to do with a request that carries a token
//   4. TokenHandOver  tokens that a stopping home passes to its successor
//   5. TokenHome      the decisions of one front run; reads no clock and no socket

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- 1. Token -----------------------------------------------------------------------------------

// One run of a front. Two VMs may start in the same millisecond, so the incarnation alone does not
// name a run.
struct FrontRun {
  VmId vm;
  Incarnation incarnation = 0;

  friend bool operator==(const FrontRun&, const FrontRun&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on a defaulted <=>.
  friend std::strong_ordering operator<=>(const FrontRun&, const FrontRun&) = default;
};

struct Token {
  FrontRun home;                // the only run that may dispatch it, unless handed over
  std::uint64_t sequence = 0;   // from 1, unique within the home run
  std::uint64_t expiry_ms = 0;  // by the home's BootClock, milliseconds

  friend bool operator==(const Token&, const Token&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on a defaulted <=>.
  friend std::strong_ordering operator<=>(const Token&, const Token&) = default;
};

// Text for the Idempotency-Key header: "ib1.<home>.<incarnation>.<sequence>.<expiry>.<checksum>",
// numbers in hexadecimal, home in web-safe base64. The checksum detects damage; it is no signature.
std::string FormatToken(const Token& token);

// Errors: InvalidArgument for any text that FormatToken does not produce.
absl::StatusOr<Token> ParseToken(std::string_view text);

// ---- 2. TokenResult -----------------------------------------------------------------------------

struct TokenResult {
  Verdict verdict = Verdict::kMayHaveRun;
  std::uint16_t status = 504;  // HTTP status for the caller
  std::string body;            // JSON; empty in a replay if it was larger than body_bytes_limit
  Duration retry_after{};      // 0: none

  friend bool operator==(const TokenResult&, const TokenResult&) = default;
};

// ---- 3. TokenDecision ---------------------------------------------------------------------------

enum class TokenAction : std::uint8_t {
  kDispatch,           // recorded; send it to a leaf once and call Finish with the dispatch number
  kJoin,               // it is running; the waiter is named by a later TokenReply
  kReplay,             // `result` holds the stored result
  kExpired,            // answer may_have_run
  kForward,            // pass it to the front of VM `forward_to`, which decides
  kUnknownRun,         // the home run is gone and handed nothing over: answer may_have_run
  kTableFull,          // table full: answer not_run with a time after which to retry
  kOperationMismatch,  // the token was used for another operation: answer not_run, 422
};

inline constexpr std::array<std::string_view, 8> kTokenActionNames = {
    "dispatch", "join", "replay", "expired", "forward", "unknown_run", "full", "mismatch"};

struct TokenDecision {
  TokenAction action = TokenAction::kUnknownRun;
  std::uint64_t dispatch_id = 0;  // kDispatch: number of this dispatch
  VmId forward_to;                // kForward
  TokenResult result;             // kReplay
};

// A caller that joined a running request and must be answered now.
struct TokenReply {
  std::uint64_t waiter_id = 0;
  TokenResult result;
};

// ---- 4. TokenHandOver ---------------------------------------------------------------------------

enum class TokenState : std::uint8_t {
  kRunning,   // dispatched, no result yet
  kFinished,  // has a result
};

struct TokenRecord {
  std::uint64_t sequence = 0;
  std::uint64_t expiry_ms = 0;    // by the clock of the token's home
  std::uint64_t fingerprint = 0;  // of the operation
  TokenState state = TokenState::kRunning;
  TokenResult result;  // set if finished
};

// One part of the table of one home run; message TokenHandOver of the schema. The successor
// dispatches tokens of the run only after all parts arrived.
struct TokenHandOver {
  FrontRun home;                           // run whose tokens these are
  FrontRun sender;                         // run that hands over: the home or an earlier successor
  FrontRun successor;                      // the only run that may accept it
  std::uint64_t home_clock_ms = 0;         // home's clock when the hand-over began
  std::uint64_t last_issued_sequence = 0;  // highest sequence issued by the home
  std::uint32_t export_number = 0;         // number of the export; only parts of one export add up
  std::uint32_t part_index = 0;            // 0..part_count - 1
  std::uint32_t part_count = 0;            // 0: results that came after the hand-over
  std::vector<TokenRecord> records;        // at most part_bytes_limit bytes of bodies
};

// ---- 5. TokenHome -------------------------------------------------------------------------------

struct TokenHomeOptions {
  FrontRun self;                                       // this front
  Duration token_lifetime = std::chrono::minutes(10);  // of a token, 10 min
  std::size_t token_limit = 65536;                     // tokens recorded, 65,536
  std::size_t waiters_per_token_limit = 64;            // callers joined to one running request, 64
  std::size_t body_bytes_limit = 65536;                // bytes of a result kept for replay, 64 KiB
  std::size_t stored_bytes_limit = std::size_t{32} << 20U;  // bytes of all results kept, 32 MiB
  std::size_t part_bytes_limit = std::size_t{1}
                                 << 20U;      // bytes of bodies in a hand-over part, 1 MiB
  std::size_t successor_report_limit = 4096;  // stopped runs whose successor is known, 4,096
  std::size_t inherited_run_limit = 1024;     // runs whose tokens are taken over, 1,024
};

class TokenHome {
 public:
  explicit TokenHome(TokenHomeOptions options);

  // New token. Errors: ResourceExhausted (table full), Unavailable (handed over).
  absl::StatusOr<Token> Issue(TimePoint now);

  // Decides about a request; `fingerprint` names its operation, `waiter` is the caller's number if
  // it is joined. A token is recorded before kDispatch is returned.
  TokenDecision Begin(const Token& token,
                      std::uint64_t fingerprint,
                      std::uint64_t waiter_id,
                      TimePoint now);

  // Result of a dispatch. not_run frees the token for another dispatch. A result of an earlier
  // dispatch changes nothing. Returns the joined callers to answer.
  std::vector<TokenReply> Finish(const Token& token,
                                 std::uint64_t dispatch_id,
                                 const TokenResult& result,
                                 TimePoint now);

  // Forgets a joined caller, whose deadline has passed or who has left.
  void RemoveWaiter(const Token& token, std::uint64_t waiter_id);

  // Begins or repeats the hand-over of all runs of this table. From the first call on nothing is
  // dispatched here. Errors: FailedPrecondition if another successor was named before.
  absl::StatusOr<std::vector<TokenHandOver>> Export(const FrontRun& successor, TimePoint now);

  // Results that came after Export and were not returned yet; part_count == 0.
  std::vector<TokenHandOver> ExportLateResults(TimePoint now);

  // Takes one part over; repeated parts change nothing. Returns the joined callers to answer.
  // Errors: FailedPrecondition (addressed to another run, or this table is handed over itself),
  // ResourceExhausted (table full); the tokens of the run are then never dispatched here.
  absl::StatusOr<std::vector<TokenReply>> Import(const TokenHandOver& part, TimePoint now);

  // The run that handed over will send no more results: what it left running may have run.
  std::vector<TokenReply> OnSenderStopped(const FrontRun& sender, TimePoint now);

  // A peer's report that the VM holds the tokens of a stopped run. `hops` counts hand-overs of the
  // run; the report with the highest one wins.
  void RecordSuccessor(const FrontRun& home,
                       const VmId& successor,
                       std::uint32_t hops,
                       TimePoint now);

  // Runs whose hand-over to this front is complete, for heartbeats.
  std::vector<FrontRun> CollectInheritedRuns() const;

  bool handed_over() const { return this->successor.incarnation != 0; }
  std::size_t token_count() const { return this->entry_count; }
  std::size_t stored_bytes() const { return this->stored_body_bytes; }

 private:
  struct Entry {
    std::uint64_t expiry_ms = 0;
    std::uint64_t fingerprint = 0;
    std::uint64_t dispatch_id = 0;  // 0: dispatched by the run that handed it over
    FrontRun sender;                // run whose result is awaited if dispatch == 0
    TokenState state = TokenState::kRunning;
    TokenResult result;
    std::vector<std::uint64_t> waiter_ids;
    bool result_pending_export = false;  // result came after Export
  };

  struct Run {
    std::uint64_t last_issued_sequence = 0;
    std::uint64_t home_clock_ms = 0;         // home's clock at home_clock_read_at
    TimePoint home_clock_read_at{};          // by this front's clock
    std::uint32_t export_number = 0;         // newest export seen
    std::set<std::uint32_t> received_parts;  // its parts
    bool records_complete = false;
    std::unordered_map<std::uint64_t, Entry> entries;
  };

  struct SuccessorReport {
    VmId vm;
    std::uint32_t hops = 0;
    TimePoint learned_at{};
  };

  static TimePoint ComputeLocalExpiry(const Run& run, std::uint64_t expiry_ms);
  TokenDecision BeginInRun(Run& run,
                           const Token& token,
                           std::uint64_t fingerprint,
                           std::uint64_t waiter_id,
                           TimePoint now);
  Entry& InsertEntry(Run& run, const Token& token, std::uint64_t fingerprint);
  void EraseEntry(const FrontRun& home, Run& run, std::uint64_t sequence);
  void StoreResult(Entry& entry, const TokenResult& result);
  static std::vector<TokenReply> TakeReplies(Entry& entry, const TokenResult& result);
  void ImportRecord(Run& run,
                    const TokenHandOver& part,
                    const TokenRecord& record,
                    TimePoint now,
                    std::vector<TokenReply>& replies);
  void DropExpiredTokens(TimePoint now);

  TokenHomeOptions options;
  FrontRun successor;  // incarnation 0: not handed over
  std::uint32_t export_count = 0;
  std::uint64_t last_dispatch_id = 0;
  std::size_t entry_count = 0;
  std::size_t stored_body_bytes = 0;
  std::map<FrontRun, Run> runs;  // own run and those taken over
  std::map<FrontRun, SuccessorReport> successor_reports;
  std::set<std::pair<TimePoint, Token>> tokens_by_expiry;
};

}  // namespace ibishold

#endif  // IBISHOLD_IDEMPOTENCY_H_
