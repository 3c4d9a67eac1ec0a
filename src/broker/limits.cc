#include <chrono>
#include <string>

#include "config/json_reader.h"
#include "ibishold/broker.h"

namespace ibishold {

namespace json = boost::json;

absl::StatusOr<BrokerLimits> ParseBrokerLimits(const json::value& settings) {
  BrokerLimits limits;
  absl::Status status;
  JsonReader reader(settings, "broker", status);
  const std::string policy = reader.TextOr("policy", ToName(kBrokerPolicyNames, limits.policy));
  if (const auto known = FromName<BrokerPolicy>(kBrokerPolicyNames, policy)) {
    limits.policy = *known;
  } else {
    reader.Fail("policy", "must be owned or direct");
  }
  limits.warm_up = reader.Boolean("warm_up", limits.warm_up);
  limits.refuse_late = reader.Boolean("refuse_late", limits.refuse_late);
  limits.stop_limit = reader.Milliseconds("stop_limit_ms", limits.stop_limit, 1000, 60000);
  limits.takeover_wait = reader.Milliseconds("takeover_wait_ms", limits.takeover_wait, 0, 60000);
  limits.ring_capacity = reader.Integer("ring_capacity", limits.ring_capacity, 64, 65536);
  reader.Finish();
  if (!status.ok()) {
    return status;
  }
  return limits;
}

}  // namespace ibishold
