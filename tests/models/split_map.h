#ifndef IBISHOLD_TESTS_MODELS_SPLIT_MAP_H_
#define IBISHOLD_TESTS_MODELS_SPLIT_MAP_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "ibishold/config.h"

namespace ibishold::testing {

// The partition maps of models/snapshot.pml. Its three key ranges are thirds of the key space.
inline constexpr std::uint64_t kThird = ~0ULL / 3;
inline constexpr std::uint64_t kOldMap = 1;
inline constexpr std::uint64_t kNewMap = 2;
inline constexpr std::uint64_t kIndex = 7;

inline Shard MakeShard(const std::string& id,
                       KeyRange range,
                       const std::vector<std::string>& leaves) {
  Shard shard{.id = ShardId(id), .range = range};
  for (const std::string& leaf : leaves) {
    shard.leaves.push_back({.id = LeafId(leaf), .data_centre = DataCentre("dc-0")});
  }
  return shard;
}

// The old map has the shards {0,1} with leaves a and b, and {2} with leaf c; the new map splits the
// first one between a and b.
inline std::shared_ptr<const Topology> MakeMap(std::uint64_t map_version) {
  auto topology = std::make_shared<Topology>();
  topology->generation = map_version;
  topology->partition_map_version = map_version;
  Service service{.name = ServiceName("stock"), .index_version = kIndex};
  if (map_version == kOldMap) {
    service.shards = {MakeShard("ab", {0, 2 * kThird}, {"a", "b"}),
                      MakeShard("c", {2 * kThird, 0}, {"c"})};
  } else {
    service.shards = {MakeShard("a", {0, kThird}, {"a"}),
                      MakeShard("b", {kThird, 2 * kThird}, {"b"}),
                      MakeShard("c", {2 * kThird, 0}, {"c"})};
  }
  topology->services.push_back(std::move(service));
  return topology;
}

}  // namespace ibishold::testing

#endif  // IBISHOLD_TESTS_MODELS_SPLIT_MAP_H_
