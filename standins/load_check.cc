#include "standins/load_check.h"

#include <cmath>

namespace ibishold::standin {

namespace {

std::uint64_t KeyOf(const Shard& shard, const std::string& term) {
  const std::uint64_t width = shard.range.end - shard.range.begin;  // 0: all 2^64 keys
  const std::uint64_t hash = StableHash(term + shard.id.value);
  return shard.range.begin + (width == 0 ? hash : hash % width);
}

// Number of keys in the range; 2^64 for all keys.
double WidthOf(const KeyRange& range) {
  const std::uint64_t width = range.end - range.begin;
  return width == 0 ? std::ldexp(1.0, 64) : static_cast<double>(width);
}

std::string Text(const json::value& value) {
  return std::string(value.as_string());
}

// Counts the records of each shard and checks that each belongs to this query and snapshot.
std::map<std::string, std::size_t> CountRecords(const json::array& records,
                                                const std::string& term,
                                                const Service& service,
                                                CheckResult& result) {
  std::map<std::string, const Shard*> shards;
  for (const Shard& shard : service.shards) {
    shards[shard.id.value] = &shard;
  }
  std::map<std::string, std::size_t> counts;
  const auto fail = [&result](const std::string& message) {
    if (result.wrong.empty()) {
      result.wrong = message;
    }
  };
  for (const json::value& record : records) {
    const json::value& value = record.at("value");
    const std::string shard = Text(value.at("shard"));
    const auto found = shards.find(shard);
    if (found == shards.end()) {
      fail("record of unknown shard " + shard);
      continue;
    }
    if (Text(value.at("term")) != term) {
      fail("record of another query: " + Text(value.at("term")));
    }
    if (record.at("key").to_number<std::uint64_t>() != KeyOf(*found->second, term)) {
      fail("record with a wrong key in " + shard);
    }
    if (value.at("index_version").to_number<std::uint64_t>() != result.index_version) {
      fail("record of another index version in " + shard);
    }
    if (++counts[shard] > 1) {
      fail("doubled record in " + shard);
    }
  }
  return counts;
}

void CheckCoverage(const json::object& coverage,
                   const std::map<std::string, std::size_t>& counts,
                   const Service& service,
                   CheckResult& result) {
  const auto fail = [&result](const std::string& message) {
    if (result.coverage_misstated.empty()) {
      result.coverage_misstated = message;
    }
  };
  result.coverage = coverage.at("fraction").to_number<double>();
  std::size_t full = 0;
  std::size_t partial = 0;
  std::map<std::string, std::string> states;
  for (const json::value& entry : coverage.at("shards").as_array()) {
    const std::string state = Text(entry.at("state"));
    states[Text(entry.at("shard"))] = state;
    const json::value* reason = entry.as_object().if_contains("reason");
    if (state != "full" && reason != nullptr && reason->is_string()) {
      result.reasons[Text(*reason)] += 1;
    }
  }
  for (const auto& [shard, state] : states) {
    const bool found = counts.contains(shard);
    full += state == "full" ? 1 : 0;
    partial += state == "partial" ? 1 : 0;
    if (state == "full" && !found) {
      fail("full without its record: " + shard);
    }
    if (state == "missing" && found) {
      fail("missing with a record: " + shard);
    }
  }
  for (const auto& [shard, count] : counts) {
    if (!states.contains(shard)) {
      fail("record of a shard without a stated coverage: " + shard);
    }
  }
  if (states.size() != result.shards) {
    fail("coverage states " + std::to_string(states.size()) + " of " +
         std::to_string(result.shards) + " shards");
  }
  // Shards differ in width once one of them has been split.
  double full_keys = 0;
  double partial_keys = 0;
  for (const Shard& shard : service.shards) {
    const auto found = states.find(shard.id.value);
    if (found == states.end()) {
      continue;
    }
    full_keys += found->second == "full" ? WidthOf(shard.range) : 0;
    partial_keys += found->second == "partial" ? WidthOf(shard.range) : 0;
  }
  const double all_keys = std::ldexp(1.0, 64);
  constexpr double kRounding = 0.001;
  if (result.coverage < full_keys / all_keys - kRounding ||
      result.coverage > (full_keys + partial_keys) / all_keys + kRounding) {
    fail("fraction " + std::to_string(result.coverage) + " for " + std::to_string(full) +
         " full and " + std::to_string(partial) + " partial shards");
  }
}

}  // namespace

void AnswerCheck::AddTopology(const Topology& topology) {
  this->topologies[topology.partition_map_version] = topology;
}

CheckResult AnswerCheck::CheckQuery(const std::string& service,
                                    const std::string& term,
                                    const std::string& request_id,
                                    const std::string& body) const {
  CheckResult result;
  try {
    const json::value answer = json::parse(body);
    const json::value& snapshot = answer.at("snapshot");
    result.index_version = snapshot.at("index_version").to_number<std::uint64_t>();
    result.map_version = snapshot.at("partition_map_version").to_number<std::uint64_t>();
    const auto topology = this->topologies.find(result.map_version);
    if (topology == this->topologies.end()) {
      result.wrong = "unknown partition map version " + std::to_string(result.map_version);
      return result;
    }
    if (Text(answer.at("request_id")) != request_id) {
      result.wrong = "answer to another request";
    }
    const Service& published = *topology->second.Find(ServiceName(service));
    const json::array& records = answer.at("records").as_array();
    result.shards = published.shards.size();
    result.records = records.size();
    const auto counts = CountRecords(records, term, published, result);
    CheckCoverage(answer.at("coverage").as_object(), counts, published, result);
  } catch (const std::exception& error) {
    result.wrong = std::string("malformed answer: ") + error.what();
  }
  return result;
}

CheckResult AnswerCheck::CheckExecute(const std::string& operation,
                                      const std::string& request_id,
                                      const std::string& body) const {
  CheckResult result;
  try {
    const json::value answer = json::parse(body);
    if (Text(answer.at("request_id")) != request_id) {
      result.wrong = "answer to another request";
    }
    const json::array& records = answer.at("records").as_array();
    result.records = records.size();
    if (records.size() != 1 || Text(records[0].at("value").at("operation")) != operation) {
      result.wrong = "not the result of operation " + operation;
    }
  } catch (const std::exception& error) {
    result.wrong = std::string("malformed answer: ") + error.what();
  }
  return result;
}

}  // namespace ibishold::standin
