#ifndef IBISHOLD_CALL_H_
#define IBISHOLD_CALL_H_

// Data types of a call in progress: the request, the replies of leaves, the final answer, and the
// actions for the transport.
//
// Index of this header:
//   1. Call              the parts of a caller's request that decisions depend on
//   2. LeafReply         reply of a leaf, or the failure of an attempt
//   3. Answer            final answer to a call
//   4. Action            actions for the transport
//   5. MergeTopRecords   merges the greatest records of several parts

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
using AttemptId = std::uint64_t;  // unique in this process

struct Call {
  std::string request_id;  // set by the caller; each of its attempts has another one
  std::string host;
  std::string path;      // without query
  Duration time_left{};  // the caller's remaining time when it sent the call
  // Part of time_left that passes outside this VM: network, transfer on the links, other VMs.
  Duration external_latency{};
  std::uint64_t fingerprint = 0;    // hash of method, target and body
  bool may_have_been_sent = false;  // another VM may have sent it to leaves already
};

// ---- 2. LeafReply -------------------------------------------------------------------------------

// Load that a leaf reports with a reply, in requests.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;  // requests that the leaf runs at a time
};

// Reported by a VM to the others that send to the same leaves.
struct SilentLeaf {
  LeafId leaf;
  Duration request_age{};  // age of the request; the leaf sent no reply to this VM since then
};

struct LeavingLeaf {
  LeafId leaf;
  std::uint64_t started = 0;  // LeafEntry::started of the run that is leaving
};

// One leaf whose connection broke while it ran a call. All members are stable hashes that are equal
// on every VM.
struct LeafCrash {
  std::uint64_t fingerprint = 0;  // of the call
  std::uint64_t request = 0;      // of Call::request_id
  std::uint64_t service = 0;
  std::uint64_t leaf = 0;  // of the leaf's id and of the start of its run
};

struct CallRefusal {
  std::uint64_t fingerprint = 0;
  Duration time_left{};  // until the refusal ends
};

struct HeaderField {
  std::string name;
  std::string value;
};

struct LeafReply {
  int status = 0;
  bool not_run = false;              // the leaf stated that it did not run the request
  bool wrong_leaf = false;           // another leaf now has this address
  bool leaving = false;              // the leaf accepts no new requests any more
  std::string signature;             // of the leaf; empty if the reply is unsigned
  std::vector<HeaderField> headers;  // those that are passed on to the caller
  std::string body;
  std::optional<LoadReport> load;
  // With status 503: the leaf accepts no request from this VM for this time.
  std::optional<Duration> retry_after;

  bool success() const {
    return this->status >= 200 && this->status < 300 && !this->signature.empty();
  }
};

// Why an attempt ended without a usable reply.
enum class AttemptFailure : std::uint8_t {
  kNoConnection,  // nothing was sent
  kBroken,        // the connection ended after the request was sent
  kInvalidReply,  // the bytes are not a valid reply to this request
};

inline constexpr std::array<std::string_view, 3> kAttemptFailureNames = {"no_connection", "broken",
                                                                         "spoiled"};

// ---- 3. Answer ----------------------------------------------------------------------------------

enum class AnswerKind : std::uint8_t {
  kPassedThrough,  // reply of one leaf, unchanged
  kMerged,         // records of several shards
  kRefused,        // has not run and will not
  kFailed,         // may have run
  kTimedOut,       // may have run; the time limit passed
  kNoRoute,        // no route for this host and path
};

inline constexpr std::array<std::string_view, 6> kAnswerKindNames = {
    "passed", "merged", "refused", "failed", "timed_out", "no_route"};

enum class AnswerReason : std::uint8_t {
  kComplete,
  kPartialAtObjective,   // the objective was about to expire
  kPartialShardsFailed,  // all other shards have failed
  kPartialAtLimit,       // the time limit was about to expire
  kLeafAnswer,
  kNoConfiguration,
  kNoRoute,
  kNoLeaf,        // no leaf may receive work
  kTooFewShards,  // the least coverage is out of reach
  kTimeLimit,
  kAttemptsUsed,
  kCrashesLeaves,  // this call has crashed several leaves
  kCallerLeft,
  kOverload,
  kCoordinatorLost,  // the coordinator failed or does not respond
  kPartialAtStop,    // partial answer at the shutdown of this process
  kStopping,         // shutdown of this process without even a partial answer
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
  LeafReply reply;                      // kPassedThrough: from the leaf
  std::vector<std::string> signatures;  // kMerged: one per shard in the answer
  std::uint32_t missing_shards = 0;     // kMerged: shards not in the answer
  std::string records;                  // kMerged: greatest first, compared as unsigned bytes
  Duration retry_after{};               // kRefused: when the caller may retry
};

// ---- 4. Action ----------------------------------------------------------------------------------

struct SendAction {
  AttemptId attempt = 0;
  CallId call = 0;
  LeafEntry leaf;
  Duration time_left{};              // time limit for the leaf
  bool repeatable = false;           // false: use only connections known to be alive
  std::size_t connection_limit = 1;  // of this VM to this leaf
};

// Cancels an attempt. Its connection stays open if the reply arrives within late_reply_grace, else
// it is closed.
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

// ---- 5. MergeTopRecords -------------------------------------------------------------------------

inline constexpr std::size_t kRecordBytes = 16;  // fixed by the platform

// Returns the greatest `record_limit` records of all parts, greatest first, compared byte by byte
// as unsigned numbers. Equal records are all kept. Bytes after the last whole record of a
// part are ignored.
std::string MergeTopRecords(const std::vector<std::string_view>& parts, std::size_t record_limit);

}  // namespace ibishold

#endif  // IBISHOLD_CALL_H_
