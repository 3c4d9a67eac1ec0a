#include "edge/http_fields.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>

#include "ibishold/edge.h"

namespace ibishold {

namespace {

constexpr std::array<std::string_view, 11> kHopByHopHeaders = {
    "connection", "keep-alive", "proxy-connection",  "transfer-encoding",
    "te",         "trailer",    "content-length",    "upgrade",
    "host",       "expect",     "proxy-authenticate"};

}  // namespace

bool IsHopByHopHeader(std::string_view name) {
  return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                     [&](std::string_view known) { return EqualsIgnoreCase(known, name); });
}

std::vector<HeaderField> EndToEndHeaders(const boost::beast::http::fields& fields) {
  const auto connection = fields[boost::beast::http::field::connection];
  std::vector<HeaderField> headers;
  for (const auto& field : fields) {
    const std::string_view name(field.name_string().data(), field.name_string().size());
    if (IsHopByHopHeader(name) ||
        (!connection.empty() &&
         boost::beast::http::token_list(connection).exists(field.name_string()))) {
      continue;
    }
    headers.push_back({.name = std::string(name),
                       .value = std::string(field.value().data(), field.value().size())});
  }
  return headers;
}

std::string_view FindHeader(const std::vector<HeaderField>& headers, std::string_view name) {
  for (const HeaderField& field : headers) {
    if (EqualsIgnoreCase(field.name, name)) {
      return field.value;
    }
  }
  return {};
}

std::string_view HttpRequest::header(std::string_view name) const {
  return FindHeader(this->headers, name);
}

std::string_view HttpReply::header(std::string_view name) const {
  return FindHeader(this->headers, name);
}

}  // namespace ibishold
