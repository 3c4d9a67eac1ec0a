#ifndef STANDINS_LOAD_CHECK_H_
#define STANDINS_LOAD_CHECK_H_

// Compares an answer with what the leaf stand-ins must have returned for the query.

#include <cstdint>
#include <map>
#include <string>

#include "ibishold/config.h"
#include "standins/http.h"

namespace ibishold::standin {

struct CheckResult {
  std::string wrong;               // first mistake in records, snapshot or correlation; empty: none
  std::string coverage_misstated;  // first mistake in the stated coverage; empty: none
  double coverage = 0;             // as stated, 0..1
  std::map<std::string, std::uint64_t> reasons;  // why shards are not full, as stated
  std::uint64_t index_version = 0;
  std::uint64_t map_version = 0;
  std::size_t records = 0;
  std::size_t shards = 0;  // of the service
};

class AnswerCheck {
 public:
  // Answers may be pinned to any map added, so a change of the map needs both.
  void AddTopology(const Topology& topology);

  CheckResult CheckQuery(const std::string& service,
                         const std::string& term,
                         const std::string& request_id,
                         const std::string& body) const;
  CheckResult CheckExecute(const std::string& operation,
                           const std::string& request_id,
                           const std::string& body) const;

 private:
  std::map<std::uint64_t, Topology> topologies;  // by partition map version
};

}  // namespace ibishold::standin

#endif  // STANDINS_LOAD_CHECK_H_
