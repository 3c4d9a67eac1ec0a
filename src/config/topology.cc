#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "config/json_reader.h"
#include "ibishold/config.h"

namespace ibishold {

namespace json = boost::json;

namespace {

Leaf ReadLeaf(const json::value& value, const std::string& path, absl::Status& status) {
  JsonReader reader(value, path, status);
  Leaf leaf;
  leaf.id = LeafId(reader.Text("id"));
  leaf.data_centre = DataCentre(reader.Text("data_centre"));
  leaf.address = reader.Text("address");
  leaf.port = static_cast<std::uint16_t>(reader.Integer("port", 0, 1, 65535));
  reader.Finish();
  return leaf;
}

Shard ReadShard(const json::value& value, const std::string& path, absl::Status& status) {
  JsonReader reader(value, path, status);
  Shard shard;
  shard.id = ShardId(reader.Text("id"));
  shard.range.begin = reader.RequiredInteger("begin");
  shard.range.end = reader.RequiredInteger("end");
  if (shard.range.end != 0 && shard.range.end <= shard.range.begin) {
    reader.Fail("end", "must be above begin, or 0 for no upper end");
  }
  const json::array& leaves = reader.Array("leaves");
  if (leaves.empty()) {
    reader.Fail("leaves", "must hold at least one leaf");
  }
  for (std::size_t i = 0; i < leaves.size(); ++i) {
    shard.leaves.push_back(
        ReadLeaf(leaves[i], absl::StrCat(reader.PathOf("leaves"), "[", i, "]"), status));
  }
  reader.Finish();
  return shard;
}

// Checks that the key ranges of the shards have no gap and no overlap, so that each record belongs
// to exactly one shard.
void CheckRanges(Service& service, JsonReader& reader) {
  std::sort(service.shards.begin(), service.shards.end(),
            [](const Shard& a, const Shard& b) { return a.range.begin < b.range.begin; });
  for (std::size_t i = 1; i < service.shards.size(); ++i) {
    if (service.shards[i - 1].range.end != service.shards[i].range.begin) {
      reader.Fail("shards", absl::StrCat("ranges of ", service.shards[i - 1].id.value, " and ",
                                         service.shards[i].id.value,
                                         " have a gap or an overlap between them"));
    }
  }
  if (!service.shards.empty() &&
      (service.shards.front().range.begin != 0 || service.shards.back().range.end != 0)) {
    reader.Fail("shards", "ranges do not cover all keys");
  }
}

Service ReadService(const json::value& value, const std::string& path, absl::Status& status) {
  JsonReader reader(value, path, status);
  Service service;
  service.name = ServiceName(reader.Text("name"));
  service.slots = static_cast<std::uint32_t>(reader.Integer("slots", 2, 1, 10000));
  service.connections = static_cast<std::uint32_t>(reader.Integer("connections", 50, 1, 100000));
  service.connect_cost = std::chrono::microseconds(
      static_cast<std::int64_t>(1000.0 * reader.Number("connect_cost_ms", 5, 0, 10000)));
  service.index_version = reader.RequiredInteger("index_version");
  const json::array& shards = reader.Array("shards");
  if (shards.empty()) {
    reader.Fail("shards", "must hold at least one shard");
  }
  for (std::size_t i = 0; i < shards.size(); ++i) {
    service.shards.push_back(
        ReadShard(shards[i], absl::StrCat(reader.PathOf("shards"), "[", i, "]"), status));
  }
  CheckRanges(service, reader);
  reader.Finish();
  return service;
}

json::object LeafToJson(const Leaf& leaf) {
  return {{"id", leaf.id.value},
          {"data_centre", leaf.data_centre.value},
          {"address", leaf.address},
          {"port", leaf.port}};
}

json::object ShardToJson(const Shard& shard) {
  json::array leaves;
  for (const Leaf& leaf : shard.leaves) {
    leaves.push_back(LeafToJson(leaf));
  }
  return {{"id", shard.id.value},
          {"begin", shard.range.begin},
          {"end", shard.range.end},
          {"leaves", std::move(leaves)}};
}

}  // namespace

absl::StatusOr<Topology> ParseTopology(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error) {
    return absl::InvalidArgumentError(absl::StrCat("topology: ", error.message()));
  }
  absl::Status status;
  JsonReader reader(value, "", status);
  Topology topology;
  topology.generation = reader.RequiredInteger("generation");
  topology.partition_map_version = reader.RequiredInteger("partition_map_version");
  const json::array& services = reader.Array("services");
  for (std::size_t i = 0; i < services.size(); ++i) {
    topology.services.push_back(
        ReadService(services[i], absl::StrCat("services[", i, "]"), status));
  }
  reader.Finish();
  if (!status.ok()) {
    return status;
  }
  return topology;
}

std::string ToJson(const Topology& topology) {
  json::array services;
  for (const Service& service : topology.services) {
    json::array shards;
    for (const Shard& shard : service.shards) {
      shards.push_back(ShardToJson(shard));
    }
    services.push_back(json::object{{"name", service.name.value},
                                    {"slots", service.slots},
                                    {"connections", service.connections},
                                    {"connect_cost_ms", ToMilliseconds(service.connect_cost)},
                                    {"index_version", service.index_version},
                                    {"shards", std::move(shards)}});
  }
  return json::serialize(json::object{{"generation", topology.generation},
                                      {"partition_map_version", topology.partition_map_version},
                                      {"services", std::move(services)}});
}

}  // namespace ibishold
