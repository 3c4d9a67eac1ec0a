#ifndef IBISHOLD_CALL_H_
#define IBISHOLD_CALL_H_

// Data types of a call in progress: the request, the replies of leaves, the final answer, and the
// actions for the transport.
//
// Index of this header:
//   1. Call              fields of a caller's request that dispatch uses
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
  std::string request_id;  // set by the caller; a caller's retry has a new one
  std::string host;
  std::string path;      // without query
  Duration time_left{};  // time until the caller's deadline when it sent the call
  // Estimated part of time_left that is spent outside this VM: on the network, on the transfer over
  // the links, and on other VMs.
  Duration external_latency{};
  std::uint64_t fingerprint = 0;    // hash of method, target and body
  bool may_have_been_sent = false;  // another VM may already have sent the call to leaves
  // For this long after its arrival, at most one attempt is sent for each shard: if this VM fails
  // by then, the call is handed over to another VM, which may use the remaining attempts.
  Duration single_attempt_time{};
  std::optional<int> priority;  // of the caller's tenant; replaces Route::priority
  std::uint64_t tenant = 0;     // stable hash of the tenant's name; 0: none
};

// ---- 2. LeafReply -------------------------------------------------------------------------------

// Numbers of requests that a leaf reports with a reply.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;  // limit of requests that run at a time
};

// Report about a leaf that does not reply. A VM sends it to the other VMs that use the same leaves.
struct SilentLeaf {
  LeafId leaf;
  Duration request_age{};  // time since the send; the leaf has not replied since
};

// Identifies one run of a leaf, with the same value on every VM.
using LeafRun = std::uint64_t;

// `started` is LeafEntry::started of the run.
inline LeafRun HashLeafRun(const LeafId& leaf, std::uint64_t started) {
  return StableHash(leaf.value, started);
}

struct LeavingLeaf {
  LeafId leaf;
  std::uint64_t started = 0;  // LeafEntry::started of the run that is leaving
};

// What a leaf runs of a call.
enum class CallPart : std::uint8_t {
  kShard,  // one of several shards of a fan-out call
  kWhole,  // a call of one leaf; the services of its route are alternatives
};

// A leaf whose connection broke while it ran a call. The hash values are the same on every VM.
struct LeafCrash {
  std::uint64_t fingerprint = 0;  // Call::fingerprint
  CallPart part = CallPart::kShard;
  std::uint64_t request = 0;  // hash of Call::request_id
  std::uint64_t service = 0;  // hash of the service name
  LeafRun leaf = 0;
  Duration age{};  // time since the crash, or since a later crash by the same call
};

// Request rate that a leaf states as its limit.
struct LeafLimitReport {
  LeafRun leaf = 0;
  std::optional<double>
      rate;        // requests/s from all VMs; nothing: the leaf states no limit any more
  Duration age{};  // time since the leaf stated this
};

// Calls with this fingerprint are refused, because they crash leaves.
struct CallRefusal {
  std::uint64_t fingerprint = 0;
  std::uint64_t service = 0;  // hash of the only service that must not get the call; 0: every one
  Duration time_left{};       // time until the refusal ends
};

struct HeaderField {
  std::string name;
  std::string value;
};

struct LeafReply {
  int status = 0;
  bool not_run = false;              // the leaf stated that it did not run the request
  bool wrong_leaf = false;           // the address now belongs to another leaf
  bool leaving = false;              // the leaf accepts no new requests any more
  std::string signature;             // of the leaf; empty if the reply is unsigned
  std::vector<HeaderField> headers;  // only those that are passed on to the caller
  std::string body;
  std::optional<LoadReport> load;
  // Set with status 503: the leaf accepts no requests from this VM for this time.
  std::optional<Duration> retry_after;
  // The leaf accepts this many requests/s from all VMs together until it states another limit, or
  // none.
  std::optional<double> rate_limit;

  bool success() const {
    return this->status >= 200 && this->status < 300 && !this->signature.empty();
  }
};

// Why an attempt ended without a usable reply.
enum class AttemptFailure : std::uint8_t {
  kNoConnection,  // no connection; the request was not sent
  kBroken,        // the connection ended after the request was sent
  kInvalidReply,  // the received bytes are not a valid reply to the request
};

inline constexpr std::array<std::string_view, 3> kAttemptFailureNames = {"no_connection", "broken",
                                                                         "spoiled"};

// ---- 3. Answer ----------------------------------------------------------------------------------

enum class AnswerKind : std::uint8_t {
  kPassedThrough,  // reply of one leaf, unchanged
  kMerged,         // records of several shards
  kRefused,        // the call has not run and will not run
  kFailed,         // the call failed and may have run
  kTimedOut,       // the time limit passed; the call may have run
  kNoRoute,        // no route for this host and path
  kUnknownKey,     // the caller's key belongs to no tenant; the call has not run
  kOverAllowance,  // the tenant is over its allowance; the call has not run and will not run
};

inline constexpr std::array<std::string_view, 8> kAnswerKindNames = {
    "passed",    "merged",   "refused",     "failed",
    "timed_out", "no_route", "unknown_key", "over_allowance"};

enum class AnswerReason : std::uint8_t {
  kComplete,
  kPartialAtObjective,   // the objective was about to expire
  kPartialShardsFailed,  // the missing shards have failed
  kPartialAtLimit,       // the time limit was about to expire
  kLeafAnswer,           // reply of one leaf
  kNoConfiguration,      // this VM has no route table yet
  kNoRoute,
  kNoLeaf,        // no leaf accepts requests
  kTooFewShards,  // the minimum coverage cannot be reached
  kTimeLimit,
  kAttemptsUsed,   // all permitted attempts failed
  kCrashesLeaves,  // the call has crashed several leaves
  kCallerLeft,
  kOverload,         // leaves refused the request without running it
  kCoordinatorLost,  // the coordinator failed or does not respond
  kPartialAtStop,    // this process stops; enough shards for a partial answer have replied
  kStopping,         // this process stops; a partial answer is not possible
  kLeafLimit,        // the leaves limit their request rate, and this VM's share is used up
  kUnknownKey,       // the caller's key belongs to no tenant
  kOverAllowance,    // the caller's tenant is over its allowance
  kFairShare,        // the service has no capacity left, and the tenant has its share
};

inline constexpr std::array<std::string_view, 21> kAnswerReasonNames = {"complete",
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
                                                                        "stopping",
                                                                        "leaf_limit",
                                                                        "unknown_key",
                                                                        "over_allowance",
                                                                        "fair_share"};

struct Answer {
  AnswerKind kind = AnswerKind::kRefused;
  AnswerReason reason = AnswerReason::kComplete;
  LeafReply reply;                      // kPassedThrough: from the leaf
  std::vector<std::string> signatures;  // kMerged: one per shard in the answer
  std::uint32_t missing_shards = 0;     // kMerged: shards not in the answer
  std::string records;                  // kMerged: greatest first, compared as unsigned bytes
  Duration retry_after{};               // kRefused, kOverAllowance: time until the caller may retry
};

// ---- 4. Action ----------------------------------------------------------------------------------

struct SendAction {
  AttemptId attempt = 0;
  CallId call = 0;
  LeafEntry leaf;
  Duration time_left{};              // time that the leaf has to reply
  bool repeatable = false;           // false: reuse only connections that are known to be open
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

// Merges the records of the parts and returns the greatest `record_limit` of them in descending
// order. Records are compared byte by byte as unsigned numbers; duplicates are kept. Bytes after
// the last whole record of a part are ignored.
std::string MergeTopRecords(const std::vector<std::string_view>& parts, std::size_t record_limit);

}  // namespace ibishold

#endif  // IBISHOLD_CALL_H_
