#ifndef IBISHOLD_BROKER_LEAF_WORK_H_
#define IBISHOLD_BROKER_LEAF_WORK_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "ibishold/core.h"
#include "schema/ibishold.capnp.h"

namespace ibishold {

// One attempt that a front asked for.
struct LeafWork {
  std::uint64_t link_id = 0;      // link it came on
  std::uint64_t correlation = 0;  // of its batch
  std::uint64_t attempt = 0;      // unique per link
  std::string request_id;         // X-Request-Id towards the leaf
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

// What the front is told about one attempt.
struct LeafResult {
  wire::Outcome outcome = wire::Outcome::FAILED;
  Verdict verdict = Verdict::kMayHaveRun;
  bool complete = false;
  std::string records;  // JSON array
  std::uint64_t index_version = 0;
  std::uint64_t map_version = 0;
  std::vector<std::uint64_t> versions_held;
  Incarnation leaf_incarnation = 0;
  Duration leaf_uptime{};
  Duration retry_after{};
  Duration queue_time{};
  Duration service_time{};
  std::string message;
};

}  // namespace ibishold

#endif  // IBISHOLD_BROKER_LEAF_WORK_H_
