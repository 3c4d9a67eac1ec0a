#ifndef TESTS_MEMBERSHIP_PACKED_SIZES_H_
#define TESTS_MEMBERSHIP_PACKED_SIZES_H_

#include <cstdint>
#include <map>

#include "ibishold/control.h"

namespace ibishold {

// Sizes of compressed documents in bytes, as sent on a link. Each text is compressed only once.
class CompressedSizes {
 public:
  std::uint64_t GetSize(const Document& document) {
    const auto [place, fresh] = this->sizes.try_emplace(document.digest.hash, 0);
    if (fresh) {
      place->second = Deflate(document.text).size();
    }
    return place->second;
  }

 private:
  std::map<std::uint64_t, std::uint64_t> sizes;  // by hash
};

}  // namespace ibishold

#endif  // TESTS_MEMBERSHIP_PACKED_SIZES_H_
