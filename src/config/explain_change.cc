#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"
#include "ibishold/config.h"

namespace ibishold {

namespace {

bool ShardAcceptsNewWork(const Table& table, const Service& service, const Shard& shard) {
  return std::any_of(shard.leaves.begin(), shard.leaves.end(), [&](const Leaf& leaf) {
    return AcceptsNewWork(table, service.name, leaf.data_centre);
  });
}

std::uint32_t CountAvailableSlots(const Table& table, const Service& service) {
  std::uint32_t slots = 0;
  for (const Shard& shard : service.shards) {
    for (const Leaf& leaf : shard.leaves) {
      slots += AcceptsNewWork(table, service.name, leaf.data_centre) ? service.slots : 0;
    }
  }
  return slots;
}

void AddChange(std::vector<std::string>& changes,
               const DataCentre& data_centre,
               const std::string& field,
               const std::string& before,
               const std::string& after) {
  if (before != after) {
    changes.push_back(data_centre.value + ": " + field + " " + before + " -> " + after);
  }
}

void AddRowChanges(std::vector<std::string>& changes,
                   const TableRow& before,
                   const TableRow& after) {
  const auto add_number = [&](const char* field, std::uint32_t old_value, std::uint32_t new_value) {
    AddChange(changes, after.data_centre, field, absl::StrCat(old_value), absl::StrCat(new_value));
  };
  AddChange(changes, after.data_centre, "state", std::string(ToName(kRowStateNames, before.state)),
            std::string(ToName(kRowStateNames, after.state)));
  add_number("weight", before.weight, after.weight);
  add_number("max_in_flight", before.max_in_flight, after.max_in_flight);
  add_number("rate_limit", before.rate_limit, after.rate_limit);
  add_number("queue_limit", before.queue_limit, after.queue_limit);
  AddChange(changes, after.data_centre, "hedge", before.hedge ? "true" : "false",
            after.hedge ? "true" : "false");
}

// Returns the row, or the defaults if the table has no such row.
TableRow RowOrDefault(const Table& table,
                      const ServiceName& service,
                      const DataCentre& data_centre) {
  const TableRow* row = table.Find(service, data_centre);
  return row != nullptr ? *row : TableRow{.service = service, .data_centre = data_centre};
}

std::set<DataCentre> FindDataCentres(const Service& service) {
  std::set<DataCentre> data_centres;
  for (const Shard& shard : service.shards) {
    for (const Leaf& leaf : shard.leaves) {
      data_centres.insert(leaf.data_centre);
    }
  }
  return data_centres;
}

}  // namespace

bool AcceptsNewWork(const Table& table, const ServiceName& service, const DataCentre& data_centre) {
  const TableRow* row = table.Find(service, data_centre);
  return row == nullptr || (row->state == RowState::kIn && row->weight > 0);
}

std::vector<ServiceEffect> ExplainChange(const Table& before,
                                         const Table& after,
                                         const Topology& topology) {
  std::vector<ServiceEffect> effects;
  for (const Service& service : topology.services) {
    ServiceEffect effect{.service = service.name,
                         .slots_before = CountAvailableSlots(before, service),
                         .slots_after = CountAvailableSlots(after, service)};
    for (const Shard& shard : service.shards) {
      if (ShardAcceptsNewWork(before, service, shard) &&
          !ShardAcceptsNewWork(after, service, shard)) {
        effect.shards_lost.push_back(shard.id);
      }
    }
    for (const DataCentre& data_centre : FindDataCentres(service)) {
      AddRowChanges(effect.changed_fields, RowOrDefault(before, service.name, data_centre),
                    RowOrDefault(after, service.name, data_centre));
    }
    if (!effect.changed_fields.empty()) {
      effects.push_back(std::move(effect));
    }
  }
  return effects;
}

std::vector<std::string> TableWarnings(const Table& table, const Topology& topology) {
  std::vector<std::string> warnings;
  std::set<DataCentre> known_data_centres;
  for (const Service& service : topology.services) {
    for (const DataCentre& data_centre : FindDataCentres(service)) {
      known_data_centres.insert(data_centre);
      if (table.Find(service.name, data_centre) == nullptr) {
        warnings.push_back(service.name.value + " in " + data_centre.value +
                           ": no row, the defaults apply");
      }
    }
  }
  for (std::size_t i = 0; i < table.rows.size(); ++i) {
    const TableRow& row = table.rows[i];
    if (topology.Find(row.service) == nullptr) {
      warnings.push_back(absl::StrCat("rows[", i, "]: no service ", row.service.value));
    } else if (known_data_centres.count(row.data_centre) == 0) {
      warnings.push_back(
          absl::StrCat("rows[", i, "]: no leaf in data centre ", row.data_centre.value));
    }
  }
  return warnings;
}

}  // namespace ibishold
