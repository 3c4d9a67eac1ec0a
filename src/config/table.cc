#include <boost/json.hpp>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "config/json_reader.h"
#include "ibishold/config.h"

namespace ibishold {

namespace json = boost::json;

namespace {

TableRow ReadRow(const json::value& value, const std::string& path, absl::Status& status) {
  JsonReader reader(value, path, status);
  TableRow row;
  row.service = ServiceName(reader.Text("service"));
  row.data_centre = DataCentre(reader.Text("data_centre"));
  const std::string state = reader.TextOr("state", "in");
  if (const auto known = FromName<RowState>(kRowStateNames, state)) {
    row.state = *known;
  } else {
    reader.Fail("state", absl::StrCat("\"", state, "\" is not a state; use \"in\" or \"out\""));
  }
  const auto read_integer = [&](std::string_view key, std::uint32_t default_value,
                                std::uint64_t low, std::uint64_t high) {
    return static_cast<std::uint32_t>(reader.Integer(key, default_value, low, high));
  };
  row.weight = read_integer("weight", row.weight, 0, 100);
  row.max_in_flight = read_integer("max_in_flight", row.max_in_flight, 1, 100000);
  row.rate_limit = read_integer("rate_limit", row.rate_limit, 1, 1000000);
  row.queue_limit = read_integer("queue_limit", row.queue_limit, 1, 10000);
  row.hedge = reader.Boolean("hedge", row.hedge);
  reader.Finish();
  return row;
}

}  // namespace

absl::StatusOr<Table> ParseTable(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error) {
    return absl::InvalidArgumentError(absl::StrCat("table: ", error.message()));
  }
  absl::Status status;
  JsonReader reader(value, "", status);
  Table table;
  table.generation = reader.RequiredInteger("generation");
  table.base = reader.Integer("base", 0, 0, UINT64_MAX);
  const json::array& rows = reader.Array("rows");
  std::set<std::pair<ServiceName, DataCentre>> seen;
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const std::string path = absl::StrCat("rows[", i, "]");
    table.rows.push_back(ReadRow(rows[i], path, status));
    const TableRow& row = table.rows.back();
    if (!seen.emplace(row.service, row.data_centre).second && status.ok()) {
      status = absl::InvalidArgumentError(absl::StrCat(
          path, ".service: a second row for ", row.service.value, " in ", row.data_centre.value));
    }
  }
  reader.Finish();
  if (!status.ok()) {
    return status;
  }
  return table;
}

std::string ToJson(const Table& table) {
  json::array rows;
  for (const TableRow& row : table.rows) {
    rows.push_back(json::object{{"service", row.service.value},
                                {"data_centre", row.data_centre.value},
                                {"state", ToName(kRowStateNames, row.state)},
                                {"weight", row.weight},
                                {"max_in_flight", row.max_in_flight},
                                {"rate_limit", row.rate_limit},
                                {"queue_limit", row.queue_limit},
                                {"hedge", row.hedge}});
  }
  return json::serialize(json::object{
      {"generation", table.generation}, {"base", table.base}, {"rows", std::move(rows)}});
}

}  // namespace ibishold
