#include <doctest/doctest.h>

#include <string>

#include "ibishold/config.h"

namespace ibishold {

namespace {

constexpr const char* kHeading =
    "service,data_centre,state,weight,max_in_flight,rate_limit,queue_limit,hedge\n";

std::string CsvError(const std::string& row) {
  return std::string(TableFromCsv(kHeading + row).status().message());
}

Leaf LeafIn(const char* id, const char* data_centre) {
  return {
      .id = LeafId(id), .data_centre = DataCentre(data_centre), .address = "127.0.0.1", .port = 1};
}

Topology TwoShards() {
  return {
      .services = {
          {.name = ServiceName("wash-line"),
           .slots = 4,
           .shards = {{.id = ShardId("s0"),
                       .range = {0, 100},
                       .leaves = {LeafIn("a", "bole"), LeafIn("b", "kality")}},
                      {.id = ShardId("s1"), .range = {100, 0}, .leaves = {LeafIn("c", "bole")}}}}}};
}

}  // namespace

TEST_CASE("the operators' table is parsed, written and checked") {
  SUBCASE("a table stays the same through CSV and JSON") {
    const auto table =
        TableFromCsv(std::string(kHeading) + "wash-line,bole,in,50,256,100,64,true\r\n");
    REQUIRE(table.ok());
    CHECK(TableToCsv(*table) == std::string(kHeading) + "wash-line,bole,in,50,256,100,64,true\n");
    const auto again = ParseTable(ToJson(*table));
    REQUIRE(again.ok());
    CHECK(TableToCsv(*again) == TableToCsv(*table));
  }
  SUBCASE("an error names row and column, so that the operator finds the cell") {
    CHECK(CsvError("wash-line,bole,in,120,1,1,1,true") ==
          "row 2, column weight: 120 is outside 0..100");
    CHECK(CsvError("wash-line,bole,of,1,1,1,1,true") ==
          "row 2, column state: \"of\" is neither in nor out");
    CHECK(CsvError("wash-line,bole,in,1,1") == "row 2: has 5 columns instead of 8");
    CHECK(CsvError("w,b,in,1,1,1,1,true\nw,b,in,1,1,1,1,true") ==
          "row 3, column service: a second row for w in b");
  }
  SUBCASE("a JSON table with one invalid field is refused as a whole") {
    const auto table = ParseTable(
        R"({"generation":2,"rows":[{"service":"a","data_centre":"b"},{"service":"a","data_centre":"c","weight":101}]})");
    CHECK(table.status().message() == "rows[1].weight: 101 is outside 0..100");
  }
  SUBCASE(
      "ExplainChange shows the slots left and the shards lost when a data centre is taken out") {
    Table after;
    after.rows.push_back({.service = ServiceName("wash-line"),
                          .data_centre = DataCentre("bole"),
                          .state = RowState::kOut});
    const auto effects = ExplainChange(Table{}, after, TwoShards());
    REQUIRE(effects.size() == 1);
    CHECK(effects[0].slots_before == 12);
    CHECK(effects[0].slots_after == 4);
    CHECK(effects[0].shards_lost == std::vector<ShardId>{ShardId("s1")});
    CHECK(effects[0].changed_fields == std::vector<std::string>{"bole: state in -> out"});
  }
  SUBCASE("TableWarnings reports a service that the topology does not have") {
    Table table;
    table.rows.push_back({.service = ServiceName("wash-lin"), .data_centre = DataCentre("bole")});
    CHECK(TableWarnings(table, TwoShards()).back() == "rows[0]: no service wash-lin");
  }
}

}  // namespace ibishold
