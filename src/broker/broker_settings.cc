#include <chrono>
#include <string>

#include "config/json_reader.h"
#include "ibishold/broker.h"

namespace ibishold {

namespace json = boost::json;

absl::StatusOr<BrokerSettings> ParseBrokerSettings(const json::value& document) {
  BrokerSettings settings;
  absl::Status status;
  JsonReader reader(document, "broker", status);
  const std::string policy_name =
      reader.TextOr("policy", ToName(kSlotPolicyNames, settings.policy));
  if (const auto policy_value = FromName<SlotPolicy>(kSlotPolicyNames, policy_name)) {
    settings.policy = *policy_value;
  } else {
    reader.Fail("policy", "must be owned or direct");
  }
  settings.warm_up = reader.Boolean("warm_up", settings.warm_up);
  settings.refuse_late = reader.Boolean("refuse_late", settings.refuse_late);
  settings.stop_limit = reader.Milliseconds("stop_limit_ms", settings.stop_limit, 1000, 60000);
  settings.takeover_wait =
      reader.Milliseconds("takeover_wait_ms", settings.takeover_wait, 0, 60000);
  settings.ring_capacity = reader.Integer("ring_capacity", settings.ring_capacity, 64, 65536);
  reader.Finish();
  if (!status.ok()) {
    return status;
  }
  return settings;
}

}  // namespace ibishold
