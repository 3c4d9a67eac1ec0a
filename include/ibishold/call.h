#ifndef IBISHOLD_CALL_H_
#define IBISHOLD_CALL_H_

// One call of a caller on its way: what was asked, what leaves replied, the final answer, and what
// the transport is to do.
//
// Index of this header:
//   1. Call           what a caller asked, as far as decisions need it
//   2. LeafReply      what a leaf answered, or that it did not
//   3. Answer         the final answer to a call
//   4. Action         what the transport is to do
//   5. RecordMerger   the greatest records of many parts

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "ibishold/core.h"
#include "ibishold/routing.h"

namespace ibishold {

// ---- 1. Call ------------------------------------------------------------------------------------

using CallId = std::uint64_t;     // unique in this process
using AttemptId = std::uint64_t;  // one send to one leaf, unique in this process

struct Call {
  std::string request_id;  // as the caller sent it; new for each of the caller's attempts
  std::string host;
  std::string path;      // without query
  Duration time_left{};  // that the caller will wait, counted from when it sent the call
  // That the caller spends outside this VM until the answer arrives: network, links, other VMs.
  Duration external_latency{};
  std::uint64_t fingerprint = 0;    // equal for equal method, target and body
  bool may_have_been_sent = false;  // another VM may have sent it to leaves already
};

// ---- 2. LeafReply -------------------------------------------------------------------------------

// Load that a leaf told with an answer.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

// What one VM tells the others that send to the same leaves.
struct SilentLeaf {
  LeafId leaf;
  Duration waited{};  // by a request, without any answer of this leaf to this VM meanwhile
};

struct LeavingLeaf {
  LeafId leaf;
  std::uint64_t started = 0;  // LeafEntry::started of the run that leaves
};

// One leaf whose connection broke while it ran a call. Stable hashes, equal on every VM.
struct LeafCrash {
  std::uint64_t fingerprint = 0;  // of the call
  std::uint64_t request = 0;      // of the caller's attempt
  std::uint64_t service = 0;
  std::uint64_t leaf = 0;  // of one run of the leaf
};

struct CallRefusal {
  std::uint64_t fingerprint = 0;
  Duration left{};  // that the call will still be refused
};

struct HeaderField {
  std::string name;
  std::string value;
};

struct LeafReply {
  int status = 0;
  bool not_run = false;              // the leaf states that it did not run the request
  bool wrong_leaf = false;           // another leaf has this address
  bool leaving = false;              // the leaf takes no new work from now on
  std::string signature;             // the leaf's signature of the answer; empty: unsigned
  std::vector<HeaderField> headers;  // those that concern the caller
  std::string body;
  std::optional<LoadReport> load;
  // With status 503: the leaf wants no request from this VM for so long.
  std::optional<Duration> retry_after;

  bool success() const {
    return this->status >= 200 && this->status < 300 && !this->signature.empty();
  }
};

// Why an attempt ended without a usable reply.
enum class AttemptFailure : std::uint8_t {
  kNoConnection,  // nothing was sent
  kBroken,        // the connection ended after the request was sent
  kInvalidReply,  // bytes that are no answer to this request
};

inline constexpr std::array<std::string_view, 3> kAttemptFailureNames = {"no_connection", "broken",
                                                                         "spoiled"};

// ---- 3. Answer ----------------------------------------------------------------------------------

enum class AnswerKind : std::uint8_t {
  kPassedThrough,  // the reply of one leaf, unchanged
  kMerged,         // parts of several shards
  kRefused,        // has not run and will not run
  kFailed,         // may have run
  kTimedOut,       // may have run; the time limit passed
  kNoRoute,        // no route for this host and path
};

inline constexpr std::array<std::string_view, 6> kAnswerKindNames = {
    "passed", "merged", "refused", "failed", "timed_out", "no_route"};

enum class AnswerReason : std::uint8_t {
  kComplete,
  kPartialAtObjective,   // the objective was about to pass
  kPartialShardsFailed,  // every other shard has failed
  kPartialAtLimit,       // the time limit was about to pass
  kLeafAnswer,
  kNoConfiguration,
  kNoRoute,
  kNoLeaf,        // no leaf may receive work
  kTooFewShards,  // the least coverage cannot be reached any more
  kTimeLimit,
  kAttemptsUsed,
  kCrashesLeaves,  // this call has crashed several leaves
  kCallerLeft,
  kOverload,
  kCoordinatorLost,  // the VM that coordinated the call is gone or silent
  kPartialAtStop,    // this process was about to end
  kStopping,         // the same, without enough shards
};

inline constexpr std::array<std::string_view, 17> kAnswerReasonNames = {"complete",
                                                                        "partial_at_objective",
                                                                        "partial_shards_failed",
                                                                        "partial_at_limit",
                                                                        "leaf_answer",
                                                                        "no_configuration",
                                                                        "no_route",
                                                                        "no_leaf",
                                                                        "too_few_shards",
                                                                        "time_limit",
                                                                        "attempts_used",
                                                                        "crashes_leaves",
                                                                        "caller_left",
                                                                        "overload",
                                                                        "coordinator_lost",
                                                                        "partial_at_stop",
                                                                        "stopping"};

struct Answer {
  AnswerKind kind = AnswerKind::kRefused;
  AnswerReason reason = AnswerReason::kComplete;
  LeafReply reply;                      // kPassed
  std::vector<std::string> signatures;  // kMerged: of the parts, one per shard that is in
  std::uint32_t missing_shards = 0;     // kMerged
  std::string records;                  // kMerged: greatest first
  Duration retry_after{};               // kRefused: when the caller may come back
};

// ---- 4. Action ----------------------------------------------------------------------------------

struct SendAction {
  AttemptId attempt = 0;
  CallId call = 0;
  LeafEntry leaf;
  Duration time_left{};              // that the leaf may work
  bool repeatable = false;           // false: only on a connection that is surely alive
  std::size_t connection_limit = 1;  // of this VM to this leaf
};

// The attempt is not needed any more. Its connection may live on if the reply comes by `linger`.
struct CancelAction {
  AttemptId attempt = 0;
  Duration late_reply_grace{};
};

struct AnswerAction {
  CallId call = 0;
  Answer answer;
};

using Action = std::variant<SendAction, CancelAction, AnswerAction>;
using Actions = std::vector<Action>;

// ---- 5. RecordMerger ----------------------------------------------------------------------------

inline constexpr std::size_t kRecordBytes = 16;  // platform's contract: records of 16 bytes

// The greatest `top` records of the parts, compared byte by byte, greatest first. A remainder of a
// part that is shorter than a record is ignored; equal records all count.
std::string MergeTopRecords(const std::vector<std::string_view>& parts, std::size_t top);

}  // namespace ibishold

#endif  // IBISHOLD_CALL_H_
