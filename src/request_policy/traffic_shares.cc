#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/request_policy.h"

namespace ibishold {

namespace {

bool AcceptsTraffic(const TableRow& row) {
  return row.state == RowState::kIn && row.weight > 0;
}

std::string MakeKey(const ServiceName& service, const DataCentre& data_centre) {
  return absl::StrCat(service.value, "\n", data_centre.value);
}

}  // namespace

TrafficShares::TrafficShares(TrafficSharesOptions options) : options(options) {}

void TrafficShares::SetTable(std::shared_ptr<const Table> new_table, TimePoint now) {
  const std::shared_ptr<const Table> old_table = std::exchange(this->table, std::move(new_table));
  if (!old_table || !this->table) {
    return;
  }
  // A data centre without a row has the defaults of TableRow, which accept traffic.
  const auto accepted_traffic_before = [&old_table](const TableRow& row) {
    const TableRow* old_row = old_table->Find(row.service, row.data_centre);
    return old_row == nullptr || AcceptsTraffic(*old_row);
  };
  for (const TableRow& row : this->table->rows) {
    const std::string key = MakeKey(row.service, row.data_centre);
    if (!AcceptsTraffic(row)) {
      this->returned_at.erase(key);
    } else if (!accepted_traffic_before(row)) {
      this->returned_at[key] = now;
    }
  }
  for (const TableRow& row : old_table->rows) {
    if (!AcceptsTraffic(row) && this->table->Find(row.service, row.data_centre) == nullptr) {
      this->returned_at[MakeKey(row.service, row.data_centre)] = now;
    }
  }
}

double TrafficShares::GetWeight(const ServiceName& service,
                                const DataCentre& data_centre,
                                TimePoint now) const {
  const TableRow& row = this->GetRow(service, data_centre);
  if (!AcceptsTraffic(row)) {
    return 0;
  }
  if (this->returned_at.empty()) {
    return row.weight;
  }
  const auto found = this->returned_at.find(MakeKey(service, data_centre));
  if (found == this->returned_at.end()) {
    return row.weight;
  }
  const double ramp_share = static_cast<double>((now - found->second).count()) /
                            static_cast<double>(this->options.ramp_duration.count());
  return row.weight * std::clamp(ramp_share, this->options.ramp_start_share, 1.0);
}

const TableRow& TrafficShares::GetRow(const ServiceName& service,
                                      const DataCentre& data_centre) const {
  static const TableRow kDefaults;
  const TableRow* row = this->table ? this->table->Find(service, data_centre) : nullptr;
  return row == nullptr ? kDefaults : *row;
}

}  // namespace ibishold
