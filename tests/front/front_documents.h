#ifndef TESTS_FRONT_FRONT_DOCUMENTS_H_
#define TESTS_FRONT_FRONT_DOCUMENTS_H_

#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "ibishold/config.h"

namespace ibishold::testing {

struct DocumentOptions {
  std::size_t shards = 4;
  std::size_t replicas = 2;
  std::size_t vms = 2;
  std::uint64_t index_version = 7;
  std::uint64_t map_version = 1;
  std::uint64_t generation = 1;
  std::string prefix = "s";  // of shard ids
};

// Service "stock": equal key ranges, replicas in data centres dc-0, dc-1, ...
inline std::shared_ptr<const Topology> MakeTopology(const DocumentOptions& options) {
  auto topology = std::make_shared<Topology>();
  topology->generation = options.generation;
  topology->partition_map_version = options.map_version;
  Service service;
  service.name = ServiceName("stock");
  service.index_version = options.index_version;
  const std::uint64_t width = options.shards == 1 ? 0 : ~0ULL / options.shards + 1;
  for (std::size_t s = 0; s < options.shards; ++s) {
    Shard shard;
    shard.id = ShardId(absl::StrCat(options.prefix, s));
    shard.range.begin = width * s;
    shard.range.end = s + 1 == options.shards ? 0 : width * (s + 1);
    for (std::size_t r = 0; r < options.replicas; ++r) {
      shard.leaves.push_back({.id = LeafId(absl::StrCat("leaf-", s, "-", r)),
                              .data_centre = DataCentre(absl::StrCat("dc-", r)),
                              .address = "127.10.9.1",
                              .port = static_cast<std::uint16_t>(9000 + s)});
    }
    service.shards.push_back(std::move(shard));
  }
  topology->services.push_back(std::move(service));
  return topology;
}

inline std::shared_ptr<const VmList> MakeVms(const DocumentOptions& options,
                                             const std::string& address_prefix = "127.10.1.") {
  auto list = std::make_shared<VmList>();
  list->generation = options.generation;
  for (std::size_t v = 0; v < options.vms; ++v) {
    list->vms.push_back({.id = VmId(absl::StrCat("vm-", v)),
                         .data_centre = DataCentre(absl::StrCat("dc-", v)),
                         .address = absl::StrCat(address_prefix, v + 1)});
  }
  return list;
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

// As MakeView, with the texts, so that it can be sent on a link.
inline ControlView MakeSendableView(const DocumentOptions& options) {
  ControlView view = MakeView(options);
  const auto add = [&view](std::string_view key, std::uint64_t generation, std::string text) {
    Document document;
    document.digest = {std::string(key), generation, StableHash(text)};
    document.text = std::move(text);
    view.documents.push_back(std::move(document));
  };
  add(kTopologyKey, view.topology->generation, ToJson(*view.topology));
  add(kTableKey, view.table->generation, ToJson(*view.table));
  add(kVmsKey, view.vms->generation, ToJson(*view.vms));
  return view;
}

}  // namespace ibishold::testing

#endif  // TESTS_FRONT_FRONT_DOCUMENTS_H_
