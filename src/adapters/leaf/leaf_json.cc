#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "absl/strings/str_cat.h"
#include "ibishold/leaf.h"

namespace ibishold {

namespace json = boost::json;

absl::StatusOr<LeafRecords> ParseLeafRecords(std::string_view body) {
  boost::system::error_code error;
  const json::value value = json::parse(json::string_view(body.data(), body.size()), error);
  if (error) {
    return absl::InvalidArgumentError(absl::StrCat("leaf answer: ", error.message()));
  }
  const json::object* object = value.if_object();
  const json::value* records = object == nullptr ? nullptr : object->if_contains("records");
  const json::value* complete = object == nullptr ? nullptr : object->if_contains("complete");
  if (records == nullptr || !records->is_array()) {
    return absl::InvalidArgumentError("leaf answer: no array \"records\"");
  }
  // A reply without a boolean "complete" counts as partial.
  const bool is_complete = complete != nullptr && complete->is_bool() && complete->get_bool();
  return LeafRecords{.records = json::serialize(*records), .complete = is_complete};
}

LeafCancelState ParseLeafCancelState(std::string_view body) {
  boost::system::error_code error;
  const json::value value = json::parse(json::string_view(body.data(), body.size()), error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::value* state = object == nullptr ? nullptr : object->if_contains("state");
  if (state == nullptr || !state->is_string()) {
    return LeafCancelState::kUnknown;
  }
  const std::string_view name(state->get_string().data(), state->get_string().size());
  return FromName<LeafCancelState>(kLeafCancelStateNames, name).value_or(LeafCancelState::kUnknown);
}

}  // namespace ibishold
