#include "adapters/caller/parse_request.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"

namespace ibishold {

namespace json = boost::json;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view kServicePathPrefix = "/v1/services/";
constexpr std::size_t kNameLengthLimit = 128;  // characters; service, tenant, request id, token
constexpr std::string_view kDefaultTenant = "default";

using HttpRequest = http::request<http::string_body>;

std::string GetHeader(const HttpRequest& message, std::string_view name) {
  const auto found = message.find(boost::beast::string_view(name.data(), name.size()));
  return found == message.end() ? std::string() : std::string(found->value());
}

// Names are written to metric labels, log fields and JSON, so only characters that need no escaping
// in any of them are accepted.
bool IsPlainName(std::string_view text) {
  return !text.empty() && text.size() <= kNameLengthLimit &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                  c == '-' || c == '_' || c == '.' || c == ':' || c == '/';
         });
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

BadRequest MakeBadRequest(std::string_view error, std::string message) {
  return {.status = 400, .error = std::string(error), .message = std::move(message)};
}

std::optional<BadRequest> ParseTarget(const HttpRequest& message, CallerRequest& request) {
  std::string_view target(message.target().data(), message.target().size());
  if (target.substr(0, kServicePathPrefix.size()) != kServicePathPrefix) {
    return BadRequest{.status = 404, .error = "not_found", .message = "no such path"};
  }
  target.remove_prefix(kServicePathPrefix.size());
  const std::size_t slash = target.find('/');
  const std::string_view service = target.substr(0, slash);
  const std::string_view verb =
      slash == std::string_view::npos ? std::string_view() : target.substr(slash + 1);
  if (verb == "query") {
    request.kind = RequestKind::kQuery;
  } else if (verb == "execute") {
    request.kind = RequestKind::kExecute;
  } else {
    return BadRequest{.status = 404, .error = "not_found", .message = "no such path"};
  }
  if (message.method() != http::verb::post) {
    return BadRequest{
        .status = 405, .error = "method_not_allowed", .message = "only POST is served here"};
  }
  if (!IsPlainName(service)) {
    return MakeBadRequest("bad_service", "the service name holds characters that no service has");
  }
  request.service = ServiceName(service);
  return std::nullopt;
}

std::optional<BadRequest> ParseHeaders(const HttpRequest& message,
                                       const CallerServerOptions& options,
                                       TimePoint now,
                                       CallerRequest& request) {
  const std::string deadline_header = GetHeader(message, "X-Deadline-Ms");
  if (deadline_header.empty()) {
    return MakeBadRequest("missing_deadline", "header X-Deadline-Ms is required");
  }
  const std::optional<std::uint64_t> deadline_ms = ParseNumber(deadline_header);
  const auto max_deadline_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(options.max_deadline).count());
  if (!deadline_ms || *deadline_ms == 0 || *deadline_ms > max_deadline_ms) {
    return MakeBadRequest(
        "bad_deadline",
        absl::StrCat("X-Deadline-Ms must be a whole number from 1 to ", max_deadline_ms));
  }
  request.deadline = now + std::chrono::milliseconds(*deadline_ms);

  const std::string tenant = GetHeader(message, "X-Tenant");
  request.tenant = TenantName(tenant.empty() ? std::string(kDefaultTenant) : tenant);
  if (!IsPlainName(request.tenant.value)) {
    return MakeBadRequest("bad_tenant",
                          "X-Tenant holds other characters than letters, digits and -_.:/");
  }
  if (const std::string name = GetHeader(message, "X-Class"); !name.empty()) {
    const auto request_class = FromName<RequestClass>(kRequestClassNames, name);
    if (!request_class) {
      return MakeBadRequest("bad_class", "X-Class must be interactive, standard or bulk");
    }
    request.request_class = *request_class;
  }
  request.request_id = GetHeader(message, "X-Request-Id");
  if (!request.request_id.empty() && !IsPlainName(request.request_id)) {
    return MakeBadRequest("bad_request_id",
                          "X-Request-Id holds other characters than letters, digits and -_.:/");
  }
  request.token = GetHeader(message, "Idempotency-Key");
  if (!request.token.empty() && !IsPlainName(request.token)) {
    return MakeBadRequest("bad_token", "Idempotency-Key is not a token of this system");
  }
  return std::nullopt;
}

std::optional<BadRequest> ParseBody(const HttpRequest& message, CallerRequest& request) {
  boost::system::error_code error;
  const json::value value = json::parse(message.body(), error);
  if (error) {
    return MakeBadRequest("bad_json", "the body is not JSON: " + error.message());
  }
  const json::object* object = value.if_object();
  const std::string_view member_name = request.kind == RequestKind::kQuery ? "query" : "operation";
  const json::value* content = object == nullptr ? nullptr : object->if_contains(member_name);
  if (content == nullptr || !content->is_object()) {
    return MakeBadRequest("bad_body", absl::StrCat("the body must hold an object \"",
                                                   std::string(member_name), "\""));
  }
  if (request.kind == RequestKind::kExecute) {
    const json::value* key = object->if_contains("key");
    boost::system::error_code key_error;
    request.key = key == nullptr ? 0 : key->to_number<std::uint64_t>(key_error);
    if (key == nullptr || key_error) {
      return MakeBadRequest("bad_key", "\"key\" must be a whole number of 64 bits, not negative");
    }
  }
  request.body = json::serialize(*content);
  return std::nullopt;
}

}  // namespace

std::string MakeErrorBody(std::string_view error,
                          std::string_view message,
                          Verdict verdict,
                          Duration retry_after) {
  json::object body{
      {"error", error}, {"message", message}, {"verdict", ToName(kVerdictNames, verdict)}};
  if (retry_after > Duration{}) {
    body["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
  }
  return json::serialize(body);
}

std::variant<CallerRequest, BadRequest> ParseCallerRequest(const HttpRequest& message,
                                                           const CallerServerOptions& options,
                                                           TimePoint now) {
  CallerRequest request;
  if (auto bad_request = ParseTarget(message, request)) {
    return *std::move(bad_request);
  }
  if (auto bad_request = ParseHeaders(message, options, now, request)) {
    return *std::move(bad_request);
  }
  if (auto bad_request = ParseBody(message, request)) {
    return *std::move(bad_request);
  }
  return request;
}

}  // namespace ibishold
