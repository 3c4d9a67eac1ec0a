#include <xxhash.h>

#include <algorithm>

#include "absl/strings/str_format.h"
#include "ibishold/tenants.h"

namespace ibishold {

KeyHash HashKey(std::string_view key) {
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  return {.high = hash.high64, .low = hash.low64};
}

std::string FormatKeyHash(const KeyHash& hash) {
  return absl::StrFormat("%016x%016x", hash.high, hash.low);
}

std::optional<KeyHash> ParseKeyHash(std::string_view text) {
  constexpr std::size_t kDigits = 16;  // of each half
  const bool is_hex = std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
  if (text.size() != 2 * kDigits || !is_hex) {
    return std::nullopt;
  }
  return KeyHash{.high = std::stoull(std::string(text.substr(0, kDigits)), nullptr, 16),
                 .low = std::stoull(std::string(text.substr(kDigits)), nullptr, 16)};
}

std::vector<TenantName> TenantTable::Add(Tenant tenant, const std::vector<KeyHash>& keys) {
  this->keys_required = true;
  const std::size_t index = this->tenants.size();
  std::vector<TenantName> earlier_holders;
  for (const KeyHash& key : keys) {
    const auto [found, inserted] = this->index_by_key.emplace(key, index);
    if (!inserted && found->second != index) {
      earlier_holders.push_back(this->tenants[found->second].name);
    }
  }
  this->index_by_name_hash.emplace(StableHash(tenant.name.value), index);
  this->tenants.push_back(std::move(tenant));
  return earlier_holders;
}

const Tenant* TenantTable::FindTenant(const KeyHash& key) const {
  const auto found = this->index_by_key.find(key);
  return found == this->index_by_key.end() ? nullptr : &this->tenants[found->second];
}

const Tenant* TenantTable::FindByHash(std::uint64_t name_hash) const {
  const auto found = this->index_by_name_hash.find(name_hash);
  return found == this->index_by_name_hash.end() ? nullptr : &this->tenants[found->second];
}

}  // namespace ibishold
