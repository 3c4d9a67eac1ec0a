#include <xxhash.h>

#include "ibishold/core.h"

namespace ibishold {

std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t RendezvousScore(std::string_view key, std::string_view candidate) {
  return StableHash(candidate, StableHash(key));
}

}  // namespace ibishold
