#include <charconv>
#include <optional>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "ibishold/idempotency.h"

namespace ibishold {

namespace {

constexpr std::string_view kTokenPrefix = "ib1";
constexpr std::size_t kMaxTextBytes = 512;
// About 139 years. A larger expiry in a received token could overflow 64-bit sums of nanoseconds.
constexpr std::uint64_t kMaxExpiryMs = std::uint64_t{1} << 42U;

std::optional<std::uint64_t> ParseHex(absl::string_view digits) {
  std::uint64_t value = 0;
  const auto [parse_end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  if (error != std::errc() || parse_end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string FormatToken(const Token& token) {
  const std::string text_without_checksum =
      absl::StrCat(std::string(kTokenPrefix), ".", absl::WebSafeBase64Escape(token.home.vm.value),
                   ".", absl::Hex(token.home.incarnation), ".", absl::Hex(token.sequence), ".",
                   absl::Hex(token.expiry_ms));
  return absl::StrCat(text_without_checksum, ".",
                      absl::Hex(StableHash(text_without_checksum), absl::kZeroPad16));
}

absl::StatusOr<Token> ParseToken(std::string_view text) {
  const absl::Status damaged_error = absl::InvalidArgumentError("the idempotency key is damaged");
  if (text.size() > kMaxTextBytes) {
    return damaged_error;
  }
  const std::vector<std::string> fields =
      absl::StrSplit(absl::string_view(text.data(), text.size()), '.');
  if (fields.size() != 6 || fields[0] != kTokenPrefix) {
    return damaged_error;
  }
  std::string home_vm;
  const auto incarnation = ParseHex(fields[2]);
  const auto sequence = ParseHex(fields[3]);
  const auto expiry_ms = ParseHex(fields[4]);
  if (!absl::WebSafeBase64Unescape(fields[1], &home_vm) || home_vm.empty() || !incarnation ||
      !sequence || !expiry_ms || *expiry_ms > kMaxExpiryMs) {
    return damaged_error;
  }
  Token token{.home = {.vm = VmId(std::move(home_vm)), .incarnation = *incarnation},
              .sequence = *sequence,
              .expiry_ms = *expiry_ms};
  // Comparing the whole text verifies the checksum and rejects any non-canonical encoding of the
  // fields.
  if (FormatToken(token) != text) {
    return damaged_error;
  }
  return token;
}

}  // namespace ibishold
