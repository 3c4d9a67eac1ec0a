#include "ibishold/core.h"

namespace ibishold {

std::string FormatRevision(const Revision& revision) {
  const std::string number = std::to_string(revision.number);
  return revision.epoch == 0 ? number : std::to_string(revision.epoch) + "." + number;
}

}  // namespace ibishold
