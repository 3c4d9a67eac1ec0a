#include "ibishold/http_status.h"

namespace ibishold {

StatusClass ClassifyStatus(int status) {
  constexpr int kSwitchingProtocols = 101;
  if (status >= 200 && status <= 599) {
    return StatusClass::kFinal;
  }
  return status >= 100 && status < 200 && status != kSwitchingProtocols
             ? StatusClass::kInformational
             : StatusClass::kInvalid;
}

}  // namespace ibishold
