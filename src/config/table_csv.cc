#include <charconv>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "ibishold/config.h"

namespace ibishold {

namespace {

constexpr std::array<std::string_view, 8> kColumns = {"service",     "data_centre",   "state",
                                                      "weight",      "max_in_flight", "rate_limit",
                                                      "queue_limit", "hedge"};

absl::Status CellError(std::size_t row, std::string_view column, std::string_view message) {
  return absl::InvalidArgumentError(absl::StrCat("row ", row, ", column ") + std::string(column) +
                                    ": " + std::string(message));
}

// Reads the cells of one row and records the first error.
class RowReader {
 public:
  RowReader(std::vector<std::string> cells, std::size_t row) : cells(std::move(cells)), row(row) {}

  std::string Text(std::size_t column) {
    if (this->cells[column].empty()) {
      this->Fail(column, "is empty");
    }
    return this->cells[column];
  }

  std::uint32_t Integer(std::size_t column, std::uint32_t low, std::uint32_t high) {
    const std::string& cell = this->cells[column];
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(cell.data(), cell.data() + cell.size(), number);
    if (error != std::errc{} || end != cell.data() + cell.size()) {
      this->Fail(column, "\"" + cell + "\" is not a whole number");
    } else if (number < low || number > high) {
      this->Fail(column, absl::StrCat(number, " is outside ", low, "..", high));
    }
    return static_cast<std::uint32_t>(number);
  }

  template <typename Enum, std::size_t N>
  Enum EnumValue(std::size_t column, const std::array<std::string_view, N>& names) {
    const auto found = FromName<Enum>(names, this->cells[column]);
    if (!found) {
      this->Fail(column, "\"" + this->cells[column] + "\" is neither " + std::string(names[0]) +
                             " nor " + std::string(names[1]));
      return Enum{};
    }
    return *found;
  }

  const absl::Status& status() const { return this->error_status; }

 private:
  void Fail(std::size_t column, const std::string& message) {
    if (this->error_status.ok()) {
      this->error_status = CellError(this->row, kColumns[column], message);
    }
  }

  std::vector<std::string> cells;
  std::size_t row;
  absl::Status error_status;
};

enum class CsvBoolean : std::uint8_t { kFalse, kTrue };
constexpr std::array<std::string_view, 2> kCsvBooleanNames = {"false", "true"};

absl::StatusOr<TableRow> ReadRow(std::vector<std::string> cells, std::size_t number) {
  if (cells.size() != kColumns.size()) {
    return absl::InvalidArgumentError(absl::StrCat("row ", number, ": has ", cells.size(),
                                                   " columns instead of ", kColumns.size()));
  }
  RowReader reader(std::move(cells), number);
  TableRow row;
  row.service = ServiceName(reader.Text(0));
  row.data_centre = DataCentre(reader.Text(1));
  row.state = reader.EnumValue<RowState>(2, kRowStateNames);
  row.weight = reader.Integer(3, 0, 100);
  row.max_in_flight = reader.Integer(4, 1, 100000);
  row.rate_limit = reader.Integer(5, 1, 1000000);
  row.queue_limit = reader.Integer(6, 1, 10000);
  row.hedge = reader.EnumValue<CsvBoolean>(7, kCsvBooleanNames) == CsvBoolean::kTrue;
  if (!reader.status().ok()) {
    return reader.status();
  }
  return row;
}

}  // namespace

std::string TableToCsv(const Table& table) {
  std::string csv;
  for (const std::string_view column : kColumns) {
    csv += (csv.empty() ? "" : ",") + std::string(column);
  }
  csv += "\n";
  for (const TableRow& row : table.rows) {
    absl::StrAppend(&csv, row.service.value, ",", row.data_centre.value, ",",
                    std::string(ToName(kRowStateNames, row.state)), ",", row.weight, ",");
    absl::StrAppend(&csv, row.max_in_flight, ",", row.rate_limit, ",", row.queue_limit, ",",
                    row.hedge ? "true" : "false", "\n");
  }
  return csv;
}

absl::StatusOr<Table> TableFromCsv(std::string_view csv) {
  Table table;
  std::set<std::pair<ServiceName, DataCentre>> seen;
  std::size_t number = 0;
  for (const auto line_view : absl::StrSplit(std::string(csv), '\n')) {
    ++number;
    std::string line(line_view);
    if (!line.empty() && line.back() == '\r') {  // spreadsheets end lines with CR LF
      line.pop_back();
    }
    if (line.empty()) {
      continue;
    }
    std::vector<std::string> cells = absl::StrSplit(line, ',');
    if (number == 1) {
      if (cells != std::vector<std::string>(kColumns.begin(), kColumns.end())) {
        return absl::InvalidArgumentError("row 1: heading must be " +
                                          TableToCsv(Table{}).substr(0, TableToCsv({}).size() - 1));
      }
      continue;
    }
    auto row = ReadRow(std::move(cells), number);
    if (!row.ok()) {
      return row.status();
    }
    if (!seen.emplace(row->service, row->data_centre).second) {
      return CellError(number, kColumns[0],
                       "a second row for " + row->service.value + " in " + row->data_centre.value);
    }
    table.rows.push_back(*std::move(row));
  }
  if (number <= 1 && table.rows.empty()) {
    return absl::InvalidArgumentError("row 1: heading is missing");
  }
  return table;
}

}  // namespace ibishold
