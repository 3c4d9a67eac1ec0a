#include <charconv>
#include <optional>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "ibishold/idempotency.h"

namespace ibishold {

namespace {

constexpr std::string_view kPrefix = "ib1";
constexpr std::size_t kLongestText = 512;
// 139 years: keeps sums of nanoseconds within 64 bits whatever a token says.
constexpr std::uint64_t kLatestExpiryMs = std::uint64_t{1} << 42U;

std::optional<std::uint64_t> ParseHex(absl::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string ToText(const Token& token) {
  const std::string fields =
      absl::StrCat(std::string(kPrefix), ".", absl::WebSafeBase64Escape(token.home.vm.value), ".",
                   absl::Hex(token.home.incarnation), ".", absl::Hex(token.sequence), ".",
                   absl::Hex(token.expiry_ms));
  return absl::StrCat(fields, ".", absl::Hex(StableHash(fields), absl::kZeroPad16));
}

absl::StatusOr<Token> ParseToken(std::string_view text) {
  const absl::Status damaged = absl::InvalidArgumentError("the idempotency key is damaged");
  if (text.size() > kLongestText) {
    return damaged;
  }
  const std::vector<std::string> parts =
      absl::StrSplit(absl::string_view(text.data(), text.size()), '.');
  if (parts.size() != 6 || parts[0] != kPrefix) {
    return damaged;
  }
  std::string home;
  const auto incarnation = ParseHex(parts[2]);
  const auto sequence = ParseHex(parts[3]);
  const auto expiry = ParseHex(parts[4]);
  if (!absl::WebSafeBase64Unescape(parts[1], &home) || home.empty() || !incarnation || !sequence ||
      !expiry || *expiry > kLatestExpiryMs) {
    return damaged;
  }
  Token token{.home = {.vm = VmId(std::move(home)), .incarnation = *incarnation},
              .sequence = *sequence,
              .expiry_ms = *expiry};
  // Comparing the whole text checks the checksum and refuses every other spelling of the fields.
  if (ToText(token) != text) {
    return damaged;
  }
  return token;
}

}  // namespace ibishold
