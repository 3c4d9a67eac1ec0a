#include "config/json_reader.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace ibishold {

namespace json = boost::json;

JsonReader::JsonReader(const json::value& value, std::string path, absl::Status& status)
    : path(std::move(path)), status(status) {
  if (value.is_object()) {
    this->object = &value.get_object();
  } else if (this->status.ok()) {
    this->status = absl::InvalidArgumentError(
        absl::StrCat(this->path.empty() ? "document" : this->path, ": must be an object"));
  }
}

std::uint64_t JsonReader::Integer(std::string_view key,
                                  std::uint64_t default_value,
                                  std::uint64_t low,
                                  std::uint64_t high) {
  const json::value* value = this->FindMember(key);
  if (value == nullptr) {
    return default_value;
  }
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (error || value->is_double()) {
    this->Fail(key, "must be a whole number");
    return default_value;
  }
  if (number < low || number > high) {
    this->Fail(key, absl::StrCat(number, " is outside ", low, "..", high));
    return default_value;
  }
  return number;
}

std::uint64_t JsonReader::RequiredInteger(std::string_view key) {
  if (this->object != nullptr && !this->object->contains(key)) {
    this->Fail(key, "is missing");
  }
  return this->Integer(key, 0, 0, UINT64_MAX);
}

Duration JsonReader::Milliseconds(std::string_view key,
                                  Duration default_value,
                                  std::uint64_t low,
                                  std::uint64_t high) {
  const auto value = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(default_value).count());
  return std::chrono::milliseconds(this->Integer(key, value, low, high));
}

double JsonReader::Number(std::string_view key, double default_value, double low, double high) {
  const json::value* value = this->FindMember(key);
  if (value == nullptr) {
    return default_value;
  }
  boost::system::error_code error;
  const auto number = value->to_number<double>(error);
  if (error) {
    this->Fail(key, "must be a number");
    return default_value;
  }
  if (!(number >= low && number <= high)) {
    this->Fail(key, absl::StrCat(number, " is outside ", low, "..", high));
    return default_value;
  }
  return number;
}

bool JsonReader::Boolean(std::string_view key, bool default_value) {
  const json::value* value = this->FindMember(key);
  if (value == nullptr) {
    return default_value;
  }
  if (!value->is_bool()) {
    this->Fail(key, "must be true or false");
    return default_value;
  }
  return value->get_bool();
}

std::string JsonReader::Text(std::string_view key) {
  std::string text = this->TextOr(key, "");
  if (text.empty()) {
    this->Fail(key, "must be a string that is not empty");
  }
  return text;
}

std::string JsonReader::TextOr(std::string_view key, std::string_view default_value) {
  const json::value* value = this->FindMember(key);
  if (value == nullptr) {
    return std::string(default_value);
  }
  if (!value->is_string()) {
    this->Fail(key, "must be a string");
    return std::string(default_value);
  }
  return std::string(value->get_string());
}

const json::array& JsonReader::Array(std::string_view key) {
  static const json::array kEmpty;
  const json::value* value = this->FindMember(key);
  if (value == nullptr || !value->is_array()) {
    this->Fail(key, "must be an array");
    return kEmpty;
  }
  return value->get_array();
}

const json::value* JsonReader::Optional(std::string_view key) {
  return this->FindMember(key);
}

std::string JsonReader::PathOf(std::string_view key) const {
  return this->path.empty() ? std::string(key) : this->path + "." + std::string(key);
}

void JsonReader::Fail(std::string_view key, std::string_view message) {
  if (this->status.ok()) {
    this->status = absl::InvalidArgumentError(this->PathOf(key) + ": " + std::string(message));
  }
}

void JsonReader::Finish() {
  if (this->object == nullptr) {
    return;
  }
  for (const auto& member : *this->object) {
    if (std::find(this->read_keys.begin(), this->read_keys.end(), member.key()) ==
        this->read_keys.end()) {
      this->Fail(member.key(), "is not a known key");
    }
  }
}

const json::value* JsonReader::FindMember(std::string_view key) {
  if (this->object == nullptr) {
    return nullptr;
  }
  this->read_keys.emplace_back(key);
  return this->object->if_contains(key);
}

}  // namespace ibishold
