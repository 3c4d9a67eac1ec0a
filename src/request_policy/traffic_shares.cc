#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/request_policy.h"

namespace ibishold {

namespace {

bool AcceptsTraffic(const TableRow& row) {
  return row.state == RowState::kIn && row.weight > 0;
}

std::string KeyOf(const ServiceName& service, const DataCentre& data_centre) {
  return absl::StrCat(service.value, "\n", data_centre.value);
}

}  // namespace

TrafficShares::TrafficShares(TrafficSharesOptions options) : options(options) {}

void TrafficShares::SetTable(std::shared_ptr<const Table> next, TimePoint now) {
  const std::shared_ptr<const Table> before = std::exchange(this->table, std::move(next));
  if (!before || !this->table) {
    return;
  }
  // A missing row stands for the defaults, which accept traffic.
  const auto accepted_before = [&before](const TableRow& row) {
    const TableRow* old = before->Find(row.service, row.data_centre);
    return old == nullptr || AcceptsTraffic(*old);
  };
  for (const TableRow& row : this->table->rows) {
    const std::string key = KeyOf(row.service, row.data_centre);
    if (!AcceptsTraffic(row)) {
      this->returned_at.erase(key);
    } else if (!accepted_before(row)) {
      this->returned_at[key] = now;
    }
  }
  for (const TableRow& row : before->rows) {
    if (!AcceptsTraffic(row) && this->table->Find(row.service, row.data_centre) == nullptr) {
      this->returned_at[KeyOf(row.service, row.data_centre)] = now;
    }
  }
}

double TrafficShares::WeightOf(const ServiceName& service,
                               const DataCentre& data_centre,
                               TimePoint now) const {
  const TableRow& row = this->RowOf(service, data_centre);
  if (!AcceptsTraffic(row)) {
    return 0;
  }
  if (this->returned_at.empty()) {
    return row.weight;
  }
  const auto found = this->returned_at.find(KeyOf(service, data_centre));
  if (found == this->returned_at.end()) {
    return row.weight;
  }
  const double share = static_cast<double>((now - found->second).count()) /
                       static_cast<double>(this->options.ramp_duration.count());
  return row.weight * std::clamp(share, this->options.ramp_start_share, 1.0);
}

const TableRow& TrafficShares::RowOf(const ServiceName& service,
                                     const DataCentre& data_centre) const {
  static const TableRow kDefaults;
  const TableRow* row = this->table ? this->table->Find(service, data_centre) : nullptr;
  return row == nullptr ? kDefaults : *row;
}

}  // namespace ibishold
