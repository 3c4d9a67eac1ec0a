#ifndef IBISHOLD_TENANTS_H_
#define IBISHOLD_TENANTS_H_

// The tenants of a configuration, and which of them holds an API key.
//
// Index of this header:
//   1. KeyHash       hash of an API key
//   2. Tenant        one tenant: name, priority and allowance
//   3. TenantTable   tenants by the hashes of their keys

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/hash/hash.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- 1. KeyHash ---------------------------------------------------------------------------------

// 128-bit XXH3 of an API key; the same on every VM. Stands for the key wherever it is looked up or
// sent to a peer, so that the key itself stays in the published document only.
struct KeyHash {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on a defaulted <=>.
  friend auto operator<=>(const KeyHash&, const KeyHash&) = default;
  template <typename H>
  friend H AbslHashValue(H state, const KeyHash& hash) {
    return H::combine(std::move(state), hash.high, hash.low);
  }
};

KeyHash HashKey(std::string_view key);

// 32 hexadecimal digits, lower case.
std::string FormatKeyHash(const KeyHash& hash);
// Returns nothing unless `text` is exactly what FormatKeyHash() writes.
std::optional<KeyHash> ParseKeyHash(std::string_view text);

// ---- 2. Tenant ----------------------------------------------------------------------------------

struct Tenant {
  TenantName name;
  std::optional<int> priority;  // replaces the route's; 0 is the most urgent
  double rate = 0;              // calls/s over all VMs; 0: no limit
  double burst = 0;             // calls beyond the rate that may come at once, over all VMs
};

// ---- 3. TenantTable -----------------------------------------------------------------------------

class TenantTable {
 public:
  // Adds a tenant. A key that an earlier tenant holds stays with that one; returns the names of
  // these earlier tenants, one for each such key.
  std::vector<TenantName> Add(Tenant tenant, const std::vector<KeyHash>& keys);

  // Returns the tenant that holds the key, or null.
  const Tenant* FindTenant(const KeyHash& key) const;
  // Returns the tenant by the stable hash of its name, or null.
  const Tenant* FindByHash(std::uint64_t name_hash) const;

  // From the first call of Require() or Add() on, calls need a key.
  void Require() { this->keys_required = true; }
  bool required() const { return this->keys_required; }
  const std::vector<Tenant>& all() const { return this->tenants; }

 private:
  bool keys_required = false;
  std::vector<Tenant> tenants;
  std::unordered_map<KeyHash, std::size_t, absl::Hash<KeyHash>> index_by_key;
  std::unordered_map<std::uint64_t, std::size_t> index_by_name_hash;
};

}  // namespace ibishold

#endif  // IBISHOLD_TENANTS_H_
