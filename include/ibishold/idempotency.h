#ifndef IBISHOLD_IDEMPOTENCY_H_
#define IBISHOLD_IDEMPOTENCY_H_

// At-most-once execution of non-repeatable requests.
//
// Index of this header:
//   1. Token          identifies one request and its home, the front run that may dispatch it
//   2. TokenResult    result of a request, returned to all callers of its token
//   3. TokenDecision  action to take for a request with a token
//   4. TokenHandOver  token records that a stopping home sends to its successor
//   5. TokenHome      token table of one front run; does no I/O and reads no clock

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

// One run of a front process. The incarnation alone does not identify a run, because two VMs may
// start in the same millisecond.
struct FrontRun {
  VmId vm;
  Incarnation incarnation = 0;

  friend bool operator==(const FrontRun&, const FrontRun&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on a defaulted <=>.
  friend std::strong_ordering operator<=>(const FrontRun&, const FrontRun&) = default;
};

struct Token {
  FrontRun home;                // only this run may dispatch the token, unless it hands over
  std::uint64_t sequence = 0;   // unique within the home run; the first is 1
  std::uint64_t expiry_ms = 0;  // time on the home's BootClock

  friend bool operator==(const Token&, const Token&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on a defaulted <=>.
  friend std::strong_ordering operator<=>(const Token&, const Token&) = default;
};

// Formats a token for the Idempotency-Key header:
// "ib1.<home>.<incarnation>.<sequence>.<expiry>.<checksum>". Numbers are hexadecimal, the home's VM
// is in web-safe base64. The checksum detects corruption; it is not a signature.
std::string FormatToken(const Token& token);

// Errors: InvalidArgument for any text that FormatToken does not produce.
absl::StatusOr<Token> ParseToken(std::string_view text);

// ---- 2. TokenResult -----------------------------------------------------------------------------

struct TokenResult {
  Verdict verdict = Verdict::kMayHaveRun;
  std::uint16_t status = 504;  // HTTP status for the caller
  std::string body;            // JSON; empty in a replay if it was too large to store
  Duration retry_after{};      // 0: no Retry-After

  friend bool operator==(const TokenResult&, const TokenResult&) = default;
};

// ---- 3. TokenDecision ---------------------------------------------------------------------------

enum class TokenAction : std::uint8_t {
  kDispatch,  // token recorded; send to a leaf once, then call Finish with dispatch_id
  kJoin,      // already running; a later TokenReply answers the waiter
  kReplay,    // already finished; answer with the stored `result`
  kExpired,   // token expired; answer may_have_run
  kForward,   // forward the request to the front of VM `forward_to`
  // Home run is gone without a complete hand-over to this run, token was never issued, or waiter
  // limit reached; answer may_have_run.
  kUnknownRun,
  kTableFull,          // token table is full; answer not_run with Retry-After
  kOperationMismatch,  // token belongs to another operation; answer not_run with status 422
};

inline constexpr std::array<std::string_view, 8> kTokenActionNames = {
    "dispatch", "join", "replay", "expired", "forward", "unknown_run", "full", "mismatch"};

struct TokenDecision {
  TokenAction action = TokenAction::kUnknownRun;
  std::uint64_t dispatch_id = 0;  // for kDispatch; pass it to Finish
  VmId forward_to;                // for kForward
  TokenResult result;             // for kReplay
};

// Result for a caller that joined a running request.
struct TokenReply {
  std::uint64_t waiter_id = 0;
  TokenResult result;
};

// ---- 4. TokenHandOver ---------------------------------------------------------------------------

enum class TokenState : std::uint8_t {
  kRunning,   // dispatched, no result yet
  kFinished,  // a result is stored
};

struct TokenRecord {
  std::uint64_t sequence = 0;
  std::uint64_t expiry_ms = 0;    // time on the home's BootClock
  std::uint64_t fingerprint = 0;  // hash that identifies the operation
  TokenState state = TokenState::kRunning;
  TokenResult result;  // set if state is kFinished
};

// One part of the token table of one home run. Corresponds to the message TokenHandOver of the
// schema. The successor dispatches tokens of that run only after all parts have arrived.
struct TokenHandOver {
  FrontRun home;                           // run that issued the tokens
  FrontRun sender;                         // the home or an earlier successor
  FrontRun successor;                      // only this run may accept the part
  std::uint64_t home_clock_ms = 0;         // time on the home's BootClock at the export
  std::uint64_t last_issued_sequence = 0;  // highest sequence that the home issued
  std::uint32_t export_number = 0;         // only parts of one export form a complete table
  std::uint32_t part_index = 0;            // 0..part_count - 1
  std::uint32_t part_count = 0;            // 0: late results, see ExportLateResults
  std::vector<TokenRecord> records;        // limited by part_bytes_limit
};

// ---- 5. TokenHome -------------------------------------------------------------------------------

struct TokenHomeOptions {
  FrontRun self;                                            // this front run
  Duration token_lifetime = std::chrono::minutes(10);       // from issue to expiry; 10 min
  std::size_t token_limit = 65536;                          // recorded tokens; 65,536
  std::size_t waiters_per_token_limit = 64;                 // callers that join one request; 64
  std::size_t body_bytes_limit = 65536;                     // one stored result body; 64 KiB
  std::size_t stored_bytes_limit = std::size_t{32} << 20U;  // all stored bodies; 32 MiB
  std::size_t part_bytes_limit = std::size_t{1} << 20U;     // one hand-over part; 1 MiB
  std::size_t successor_report_limit = 4096;  // stopped runs with a known successor; 4,096
  std::size_t inherited_run_limit = 1024;     // runs taken over; 1,024
};

// Token table of one front run. It decides for each request with a token whether the request may be
// dispatched, so that no request runs more than once. Not thread-safe.
class TokenHome {
 public:
  explicit TokenHome(TokenHomeOptions options);

  // Issues a new token. Errors: ResourceExhausted if the token table is full, Unavailable after
  // Export.
  absl::StatusOr<Token> Issue(TimePoint now);

  // Decides how to handle a request with a token. `fingerprint` is a hash that identifies the
  // operation of the request.
  // `waiter_id` identifies the caller in a later TokenReply if the decision is kJoin. A token is
  // recorded before kDispatch is returned.
  TokenDecision Begin(const Token& token,
                      std::uint64_t fingerprint,
                      std::uint64_t waiter_id,
                      TimePoint now);

  // Records the result of a dispatch and returns the replies for the joined callers. The verdict
  // not_run permits another dispatch of the token. A result of an earlier dispatch is ignored.
  std::vector<TokenReply> Finish(const Token& token,
                                 std::uint64_t dispatch_id,
                                 const TokenResult& result,
                                 TimePoint now);

  // Removes a joined caller whose deadline has passed or who has disconnected.
  void RemoveWaiter(const Token& token, std::uint64_t waiter_id);

  // Starts or repeats the hand-over of all runs of this table. After the first call, this run
  // dispatches nothing. Errors: FailedPrecondition if an earlier call named another successor.
  absl::StatusOr<std::vector<TokenHandOver>> Export(const FrontRun& successor, TimePoint now);

  // Returns the results that arrived after Export and were not returned by an earlier call. Their
  // part_count is 0.
  std::vector<TokenHandOver> ExportLateResults(TimePoint now);

  // Adds one hand-over part to the table and returns the replies for the joined callers. A repeated
  // part has no effect. Errors: FailedPrecondition if the part is addressed to another run or this
  // table was itself handed over, ResourceExhausted if the table is full or too many runs were
  // handed over. While a part is missing, the tokens of the home run are not dispatched here.
  absl::StatusOr<std::vector<TokenReply>> Import(const TokenHandOver& part, TimePoint now);

  // Call this when a run that handed over can send no more results. Requests that it left running
  // get the verdict may_have_run. Returns the replies for the joined callers.
  std::vector<TokenReply> OnSenderStopped(const FrontRun& sender, TimePoint now);

  // Records a peer's report that the VM `successor` took over the tokens of the stopped run `home`.
  // `hops` counts the hand-overs of these tokens; the report with the highest count applies.
  void RecordSuccessor(const FrontRun& home,
                       const VmId& successor,
                       std::uint32_t hops,
                       TimePoint now);

  // Returns the runs whose hand-over to this front is complete. Heartbeats announce them to peers.
  std::vector<FrontRun> CollectInheritedRuns() const;

  bool handed_over() const { return this->successor.incarnation != 0; }
  std::size_t token_count() const { return this->entry_count; }
  std::size_t stored_bytes() const { return this->stored_body_bytes; }

 private:
  struct Entry {
    std::uint64_t expiry_ms = 0;
    std::uint64_t fingerprint = 0;
    std::uint64_t dispatch_id = 0;  // 0: not dispatched by this run
    FrontRun sender;                // for dispatch_id 0: run that sends the result
    TokenState state = TokenState::kRunning;
    TokenResult result;
    std::vector<std::uint64_t> waiter_ids;
    bool result_pending_export = false;  // result arrived after Export and was not returned yet
  };

  struct Run {
    std::uint64_t last_issued_sequence = 0;
    std::uint64_t home_clock_ms = 0;         // time on the home's BootClock at home_clock_read_at
    TimePoint home_clock_read_at{};          // time on this front's BootClock
    std::uint32_t export_number = 0;         // of the newest export received
    std::set<std::uint32_t> received_parts;  // indexes of the parts of that export
    bool records_complete = false;           // false: tokens without a record are not dispatched
    std::unordered_map<std::uint64_t, Entry> entries;  // by sequence
  };

  struct SuccessorReport {
    VmId vm;
    std::uint32_t hops = 0;
    TimePoint recorded_at{};
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
  FrontRun successor;  // incarnation 0: no hand-over has started
  std::uint32_t export_count = 0;
  std::uint64_t last_dispatch_id = 0;
  std::size_t entry_count = 0;
  std::size_t stored_body_bytes = 0;
  std::map<FrontRun, Run> runs;  // by home: this run and the runs taken over
  std::map<FrontRun, SuccessorReport> successor_reports;
  std::set<std::pair<TimePoint, Token>> tokens_by_expiry;
};

}  // namespace ibishold

#endif  // IBISHOLD_IDEMPOTENCY_H_
