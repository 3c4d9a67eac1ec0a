#include "absl/strings/str_cat.h"
#include "config/json_reader.h"
#include "ibishold/front_process.h"

namespace ibishold {

namespace {

Duration ReadMilliseconds(JsonReader& reader,
                          std::string_view key,
                          Duration default_value,
                          std::uint64_t low,
                          std::uint64_t high) {
  const auto value = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(default_value).count());
  return std::chrono::milliseconds(reader.Integer(key, value, low, high));
}

}  // namespace

absl::StatusOr<FrontProcessOptions> ReadFrontSettings(const Settings& settings) {
  FrontProcessOptions options;
  absl::Status status;
  JsonReader reader(settings.front, "front", status);
  options.stop_lag = ReadMilliseconds(reader, "stop_lag_ms", options.stop_lag, 0, 20000);
  options.stop_limit = ReadMilliseconds(reader, "stop_limit_ms", options.stop_limit, 100, 30000);
  options.view_interval =
      ReadMilliseconds(reader, "view_interval_ms", options.view_interval, 10, 2000);
  options.caller.connection_limit =
      reader.Integer("connection_limit", options.caller.connection_limit, 1, 8192);
  options.caller.receive_limit =
      ReadMilliseconds(reader, "receive_limit_ms", options.caller.receive_limit, 10, 60000);
  options.caller.idle_limit =
      ReadMilliseconds(reader, "idle_limit_ms", options.caller.idle_limit, 10, 600000);
  options.core.hedge_budget.share =
      reader.Number("hedge_share", options.core.hedge_budget.share, 0, 1);
  options.core.retry_budget.share =
      reader.Number("retry_share", options.core.retry_budget.share, 0, 1);
  reader.Finish();
  if (!status.ok()) {
    return status;
  }
  options.address = settings.address;
  options.ports = settings.ports;
  options.incarnation = NewIncarnation();
  options.core.vm = settings.vm;
  options.core.data_centre = settings.data_centre;
  options.core.seed = StableHash(settings.vm.value, options.incarnation);
  options.caller.name = absl::StrCat(settings.vm.value, "-", options.incarnation);
  options.link.vm = settings.vm;
  options.link.role = wire::Hello::Role::FRONT;
  options.link.incarnation = options.incarnation;
  return options;
}

}  // namespace ibishold
