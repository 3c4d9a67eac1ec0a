#ifndef IBISHOLD_BROKER_LEAF_WORK_H_
#define IBISHOLD_BROKER_LEAF_WORK_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "ibishold/core.h"
#include "schema/ibishold.capnp.h"

namespace ibishold {

// One attempt that a front sent to this broker.
struct LeafWork {
  std::uint64_t link_id = 0;      // link that delivered the attempt
  std::uint64_t correlation = 0;  // correlation id of the batch that contained the attempt
  std::uint64_t attempt = 0;      // attempt id, unique per link
  std::string request_id;         // X-Request-Id of the call to the leaf
  LeafId leaf;
  ShardId shard;
  ServiceName service;
  TenantName tenant;
  wire::RequestKind kind = wire::RequestKind::SEARCH;
  RequestClass request_class = RequestClass::kStandard;
  TimePoint received_at{};
  TimePoint deadline{};
  std::uint64_t index_version = 0;
  std::uint64_t map_version = 0;
  std::uint64_t fingerprint = 0;
  bool canary = false;
  std::shared_ptr<const std::string> body;  // JSON

  bool repeatable() const { return this->kind == wire::RequestKind::SEARCH; }
};

// Answer to the front for one attempt.
struct LeafResult {
  wire::Outcome outcome = wire::Outcome::FAILED;
  Verdict verdict = Verdict::kMayHaveRun;
  bool complete = false;  // the leaf calls its records complete
  std::string records;    // JSON array
  std::uint64_t index_version = 0;
  std::uint64_t map_version = 0;
  std::vector<std::uint64_t> versions_held;  // index versions that the leaf holds
  Incarnation leaf_incarnation = 0;
  Duration leaf_uptime{};
  Duration retry_after{};
  Duration queue_time{};
  Duration service_time{};
  std::string message;
};

}  // namespace ibishold

#endif  // IBISHOLD_BROKER_LEAF_WORK_H_
