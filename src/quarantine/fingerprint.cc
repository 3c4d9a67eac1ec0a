#include "ibishold/quarantine.h"

namespace ibishold {

std::uint64_t ComputeFingerprint(const ServiceName& service, std::string_view body) {
  return StableHash(body, StableHash(service.value));
}

}  // namespace ibishold
