#include <boost/json/object.hpp>

#include "absl/strings/str_cat.h"
#include "ibishold/broker.h"

namespace ibishold {

namespace json = boost::json;

namespace {

absl::Status ReadFlag(const json::value& value, const std::string& key, bool& out) {
  if (!value.is_bool()) {
    return absl::InvalidArgumentError(absl::StrCat("broker.", key, ": expected true or false"));
  }
  out = value.get_bool();
  return absl::OkStatus();
}

absl::Status ReadNumber(const json::value& value,
                        const std::string& key,
                        std::int64_t low,
                        std::int64_t high,
                        std::int64_t& out) {
  if (!value.is_int64() || value.get_int64() < low || value.get_int64() > high) {
    return absl::InvalidArgumentError(
        absl::StrCat("broker.", key, ": expected a number in ", low, "..", high));
  }
  out = value.get_int64();
  return absl::OkStatus();
}

absl::Status ReadMember(const std::string& key, const json::value& value, BrokerLimits& limits) {
  if (key == "policy") {
    const auto* text = value.if_string();
    const auto policy = text == nullptr
                            ? std::nullopt
                            : FromName<BrokerPolicy>(kBrokerPolicyNames,
                                                     std::string_view(text->data(), text->size()));
    if (!policy) {
      return absl::InvalidArgumentError("broker.policy: expected \"owned\" or \"direct\"");
    }
    limits.policy = *policy;
    return absl::OkStatus();
  }
  if (key == "warm_up") {
    return ReadFlag(value, key, limits.warm_up);
  }
  if (key == "refuse_late") {
    return ReadFlag(value, key, limits.refuse_late);
  }
  std::int64_t number = 0;
  absl::Status status;
  if (key == "stop_limit_ms") {
    status = ReadNumber(value, key, 1000, 60000, number);
    limits.stop_limit = std::chrono::milliseconds(number);
  } else if (key == "takeover_wait_ms") {
    status = ReadNumber(value, key, 0, 60000, number);
    limits.takeover_wait = std::chrono::milliseconds(number);
  } else if (key == "ring_capacity") {
    status = ReadNumber(value, key, 64, 65536, number);
    limits.ring_capacity = static_cast<std::size_t>(number);
  } else {
    status = absl::InvalidArgumentError(absl::StrCat("broker.", key, ": unknown key"));
  }
  return status;
}

}  // namespace

absl::StatusOr<BrokerLimits> ParseBrokerLimits(const json::value& settings) {
  BrokerLimits limits;
  const json::object* members = settings.if_object();
  if (members == nullptr) {
    return absl::InvalidArgumentError("broker: expected an object");
  }
  for (const auto& member : *members) {
    const absl::Status status = ReadMember(std::string(member.key()), member.value(), limits);
    if (!status.ok()) {
      return status;
    }
  }
  return limits;
}

}  // namespace ibishold
