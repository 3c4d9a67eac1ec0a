// Guards against experiments that report right answers because their check sees nothing: each
// mistake that the check exists for must be found.
#include "standins/load_check.h"

#include <doctest/doctest.h>

#include <string>

namespace ibishold::standin {

namespace {

constexpr std::uint64_t kMiddle = std::uint64_t{1} << 62;  // a quarter of all keys

Topology TwoShards() {
  Topology topology;
  topology.partition_map_version = 3;
  Service service;
  service.name = ServiceName("find");
  service.shards = {{.id = ShardId("a"), .range = {.begin = 0, .end = kMiddle}},
                    {.id = ShardId("b"), .range = {.begin = kMiddle, .end = 0}}};
  topology.services.push_back(service);
  return topology;
}

json::object Record(const std::string& shard, const std::string& term, std::uint64_t version) {
  const std::uint64_t hash = StableHash(term + shard);
  const std::uint64_t key = shard == "a" ? hash % kMiddle : kMiddle + hash % (0 - kMiddle);
  return {{"key", key},
          {"value", json::object{{"term", term}, {"index_version", version}, {"shard", shard}}}};
}

json::object RightAnswer() {
  return {{"request_id", "r1"},
          {"snapshot", json::object{{"index_version", 7}, {"partition_map_version", 3}}},
          {"coverage",
           json::object{{"fraction", 1.0},
                        {"shards", json::array{json::object{{"shard", "a"}, {"state", "full"}},
                                               json::object{{"shard", "b"}, {"state", "full"}}}}}},
          {"verdict", "ran"},
          {"records", json::array{Record("a", "t1", 7), Record("b", "t1", 7)}}};
}

CheckResult Check(const json::object& answer) {
  AnswerCheck check;
  check.AddTopology(TwoShards());
  return check.CheckQuery("find", "t1", "r1", json::serialize(answer));
}

}  // namespace

TEST_CASE("a check finds every kind of wrong answer") {
  json::object answer = RightAnswer();
  json::array& records = answer["records"].as_array();
  json::object& coverage = answer["coverage"].as_object();

  SUBCASE("a right answer passes") {
    const CheckResult result = Check(answer);
    CHECK(result.wrong == "");
    CHECK(result.coverage_misstated == "");
    CHECK(result.coverage == doctest::Approx(1));
    CHECK(result.records == 2);
  }
  SUBCASE("answer to another request") {
    answer["request_id"] = "r2";
    CHECK(Check(answer).wrong != "");
  }
  SUBCASE("record of another query") {
    records[0] = Record("a", "t2", 7);
    CHECK(Check(answer).wrong != "");
  }
  SUBCASE("record of another index version") {
    records[1] = Record("b", "t1", 8);
    CHECK(Check(answer).wrong != "");
  }
  SUBCASE("doubled record") {
    records.push_back(Record("b", "t1", 7));
    CHECK(Check(answer).wrong != "");
  }
  SUBCASE("key outside the shard") {
    records[0].as_object()["key"] = kMiddle + 1;
    CHECK(Check(answer).wrong != "");
  }
  SUBCASE("lost record of a shard stated as full") {
    records.pop_back();
    CHECK(Check(answer).coverage_misstated != "");
  }
  SUBCASE("partial answer stated truthfully") {
    records.pop_back();
    coverage["shards"].as_array()[1].as_object()["state"] = "missing";
    coverage["fraction"] = 0.25;
    const CheckResult result = Check(answer);
    CHECK(result.wrong == "");
    CHECK(result.coverage_misstated == "");
  }
  SUBCASE("fraction above the stated shards") {
    records.pop_back();
    coverage["shards"].as_array()[1].as_object()["state"] = "missing";
    CHECK(Check(answer).coverage_misstated != "");
  }
  SUBCASE("fraction of the shards instead of their keys") {
    records.pop_back();
    coverage["shards"].as_array()[1].as_object()["state"] = "missing";
    coverage["fraction"] = 0.5;
    CHECK(Check(answer).coverage_misstated != "");
  }
  SUBCASE("record of a shard of another map") {
    records[1].as_object()["value"].as_object()["shard"] = "b-0";
    CHECK(Check(answer).wrong != "");
  }
  SUBCASE("coverage without one of the shards") {
    coverage["shards"].as_array().pop_back();
    CHECK(Check(answer).coverage_misstated != "");
  }
}

}  // namespace ibishold::standin
