#ifndef TESTS_FRONT_FRONT_DOCUMENTS_H_
#define TESTS_FRONT_FRONT_DOCUMENTS_H_

#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "ibishold/config.h"

namespace ibishold::testing {

// Size and versions of the generated documents.
struct DocumentOptions {
  std::size_t shards = 4;
  std::size_t replicas = 2;
  std::size_t vms = 2;
  std::uint64_t index_version = 7;
  std::uint64_t map_version = 1;
  std::uint64_t generation = 1;
  std::string shard_id_prefix = "s";
};

// Makes one service, "stock", with key ranges of equal size. Replica i of each shard is in data
// centre dc-i.
inline std::shared_ptr<const Topology> MakeTopology(const DocumentOptions& options) {
  auto topology = std::make_shared<Topology>();
  topology->generation = options.generation;
  topology->partition_map_version = options.map_version;
  Service service;
  service.name = ServiceName("stock");
  service.index_version = options.index_version;
  const std::uint64_t key_range_width = options.shards == 1 ? 0 : ~0ULL / options.shards + 1;
  for (std::size_t shard_index = 0; shard_index < options.shards; ++shard_index) {
    Shard shard;
    shard.id = ShardId(absl::StrCat(options.shard_id_prefix, shard_index));
    shard.range.begin = key_range_width * shard_index;
    shard.range.end = shard_index + 1 == options.shards ? 0 : key_range_width * (shard_index + 1);
    for (std::size_t replica_index = 0; replica_index < options.replicas; ++replica_index) {
      shard.leaves.push_back({.id = LeafId(absl::StrCat("leaf-", shard_index, "-", replica_index)),
                              .data_centre = DataCentre(absl::StrCat("dc-", replica_index)),
                              .address = "127.10.9.1",
                              .port = static_cast<std::uint16_t>(9000 + shard_index)});
    }
    service.shards.push_back(std::move(shard));
  }
  topology->services.push_back(std::move(service));
  return topology;
}

inline std::shared_ptr<const VmList> MakeVms(const DocumentOptions& options,
                                             const std::string& address_prefix = "127.10.1.") {
  auto vm_list = std::make_shared<VmList>();
  vm_list->generation = options.generation;
  for (std::size_t vm_index = 0; vm_index < options.vms; ++vm_index) {
    vm_list->vms.push_back({.id = VmId(absl::StrCat("vm-", vm_index)),
                            .data_centre = DataCentre(absl::StrCat("dc-", vm_index)),
                            .address = absl::StrCat(address_prefix, vm_index + 1)});
  }
  return vm_list;
}

inline TableRow MakeRow(const std::string& data_centre, RowState state = RowState::kIn) {
  return {.service = ServiceName("stock"), .data_centre = DataCentre(data_centre), .state = state};
}

inline ControlView MakeView(const DocumentOptions& options) {
  ControlView view;
  view.topology = MakeTopology(options);
  view.table = std::make_shared<Table>(Table{.generation = 1});
  view.vms = MakeVms(options);
  view.ready = true;
  view.may_hold_slots = true;
  return view;
}

// Makes the view of MakeView together with the JSON documents that WriteView sends on a link.
inline ControlView MakeSendableView(const DocumentOptions& options) {
  ControlView view = MakeView(options);
  const auto add_document = [&view](std::string_view key, std::uint64_t generation,
                                    std::string text) {
    Document document;
    document.digest = {std::string(key), generation, StableHash(text)};
    document.text = std::move(text);
    view.documents.push_back(std::move(document));
  };
  add_document(kTopologyKey, view.topology->generation, ToJson(*view.topology));
  add_document(kTableKey, view.table->generation, ToJson(*view.table));
  add_document(kVmsKey, view.vms->generation, ToJson(*view.vms));
  return view;
}

}  // namespace ibishold::testing

#endif  // TESTS_FRONT_FRONT_DOCUMENTS_H_
