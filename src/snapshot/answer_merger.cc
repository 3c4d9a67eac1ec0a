#include <boost/json.hpp>
#include <cmath>
#include <unordered_set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/snapshot.h"

namespace ibishold {

namespace json = boost::json;

namespace {

// Number of keys in the range, up to 2^64 for the whole key space.
double KeyCount(const KeyRange& range) {
  const double end = range.end == 0 ? std::ldexp(1.0, 64) : static_cast<double>(range.end);
  return end - static_cast<double>(range.begin);
}

std::optional<std::uint64_t> KeyOf(const json::value& record) {
  const json::object* object = record.if_object();
  const json::value* key = object == nullptr ? nullptr : object->if_contains("key");
  if (key == nullptr) {
    return std::nullopt;
  }
  if (key->is_uint64()) {
    return key->get_uint64();
  }
  if (key->is_int64() && key->get_int64() >= 0) {
    return static_cast<std::uint64_t>(key->get_int64());
  }
  return std::nullopt;
}

// Returns the records within the range as comma-separated JSON objects, each key once, or nothing
// if the text is malformed.
std::optional<std::string> RecordsInRange(std::string_view text, const KeyRange& range) {
  boost::system::error_code error;
  json::monotonic_resource memory;
  const json::value value = json::parse(text, error, &memory);
  const json::array* records = error ? nullptr : value.if_array();
  if (records == nullptr) {
    return std::nullopt;
  }
  std::string joined;
  std::unordered_set<std::uint64_t> seen;
  for (const json::value& record : *records) {
    const std::optional<std::uint64_t> key = KeyOf(record);
    if (!key) {
      return std::nullopt;
    }
    if (!range.Contains(*key) || !seen.insert(*key).second) {
      continue;
    }
    absl::StrAppend(&joined, joined.empty() ? "" : ",", json::serialize(record));
  }
  return joined;
}

}  // namespace

AnswerMerger::AnswerMerger(PinnedSnapshot pinned)
    : pinned(std::move(pinned)), parts(this->pinned.service->shards.size()) {}

MergeResult AnswerMerger::Add(std::size_t shard, const ShardAnswer& answer) {
  if (this->closed) {
    return MergeResult::kClosed;
  }
  if (answer.snapshot != this->pinned.snapshot) {
    return MergeResult::kOtherVersion;
  }
  Part& part = this->parts[shard];
  if (part.state == ShardState::kFull || (part.state == ShardState::kPartial && !answer.complete)) {
    return MergeResult::kDuplicate;
  }
  std::optional<std::string> records =
      RecordsInRange(answer.records, this->pinned.service->shards[shard].range);
  if (!records) {
    return MergeResult::kMalformed;
  }
  if (part.state == ShardState::kMissing) {
    ++this->merged_count;
  }
  // A complete answer replaces a partial one as a whole, because mixing them could duplicate
  // records.
  part.records = *std::move(records);
  part.state = answer.complete ? ShardState::kFull : ShardState::kPartial;
  part.reason = answer.complete ? "" : "leaf_partial";
  if (answer.complete) {
    ++this->full_count;
  }
  return answer.complete ? MergeResult::kFull : MergeResult::kPartial;
}

void AnswerMerger::SetReason(std::size_t shard, std::string_view reason) {
  if (!this->closed && this->parts[shard].state == ShardState::kMissing) {
    this->parts[shard].reason = reason;
  }
}

Coverage AnswerMerger::Close() {
  this->closed = true;
  Coverage coverage;
  double full = 0;
  double all = 0;
  for (std::size_t i = 0; i < this->parts.size(); ++i) {
    const Shard& shard = this->pinned.service->shards[i];
    const Part& part = this->parts[i];
    all += KeyCount(shard.range);
    full += part.state == ShardState::kFull ? KeyCount(shard.range) : 0;
    coverage.shards.push_back({.shard = shard.id, .state = part.state, .reason = part.reason});
  }
  // Rounding in the sums of 64-bit key counts must not make an incomplete answer look complete.
  coverage.fraction = coverage.full() ? 1.0 : std::min(full / all, std::nextafter(1.0, 0.0));
  return coverage;
}

std::string AnswerMerger::Records() const {
  std::string joined = "[";
  for (const Part& part : this->parts) {
    if (!part.records.empty()) {
      absl::StrAppend(&joined, joined.size() > 1 ? "," : "", part.records);
    }
  }
  joined += "]";
  return joined;
}

bool Coverage::full() const {
  for (const ShardCoverage& shard : this->shards) {
    if (shard.state != ShardState::kFull) {
      return false;
    }
  }
  return true;
}

}  // namespace ibishold
