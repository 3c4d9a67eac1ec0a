#include "ibishold/quarantine.h"

namespace ibishold {

std::uint64_t Fingerprint(const ServiceName& service, std::string_view body) {
  return StableHash(body, StableHash(service.value));
}

}  // namespace ibishold
