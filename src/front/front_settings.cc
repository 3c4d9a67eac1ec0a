#include "absl/strings/str_cat.h"
#include "config/json_reader.h"
#include "ibishold/front_process.h"

namespace ibishold {

absl::StatusOr<FrontProcessOptions> ReadFrontSettings(const Settings& settings) {
  FrontProcessOptions options;
  absl::Status status;
  JsonReader reader(settings.front, "front", status);
  options.stop_lag = reader.Milliseconds("stop_lag_ms", options.stop_lag, 0, 20000);
  options.stop_limit = reader.Milliseconds("stop_limit_ms", options.stop_limit, 100, 30000);
  options.view_interval = reader.Milliseconds("view_interval_ms", options.view_interval, 10, 2000);
  options.caller.connection_limit =
      reader.Integer("connection_limit", options.caller.connection_limit, 1, 8192);
  options.caller.receive_limit =
      reader.Milliseconds("receive_limit_ms", options.caller.receive_limit, 10, 60000);
  options.caller.idle_limit =
      reader.Milliseconds("idle_limit_ms", options.caller.idle_limit, 10, 600000);
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
  options.incarnation = MakeIncarnation();
  options.core.vm = settings.vm;
  options.core.data_centre = settings.data_centre;
  options.core.incarnation = options.incarnation;
  options.core.seed = StableHash(settings.vm.value, options.incarnation);
  options.caller.request_id_prefix = absl::StrCat(settings.vm.value, "-", options.incarnation);
  options.link.vm = settings.vm;
  options.link.role = wire::Hello::Role::FRONT;
  options.link.incarnation = options.incarnation;
  return options;
}

}  // namespace ibishold
