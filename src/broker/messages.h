#ifndef IBISHOLD_BROKER_MESSAGES_H_
#define IBISHOLD_BROKER_MESSAGES_H_

#include <cstdint>
#include <variant>

#include "broker/leaf_dispatcher.h"
#include "broker/leaf_work.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- From the link thread to the leaf thread ----------------------------------------------------

struct CancelWork {
  std::uint64_t link = 0;
  std::uint64_t correlation = 0;
  std::uint64_t attempt = 0;
};
struct LinkLost {
  std::uint64_t link = 0;
};

// ---- Both ways: from and to the broker of another VM --------------------------------------------

struct PeerLevel {
  VmId vm;
  LeafId leaf;
  LeafLevel level;
};
struct PeerRelease {
  VmId vm;
  LeafId leaf;
  std::uint32_t slots = 0;
};
struct PeerQuarantine {
  VmId vm;  // empty towards the link thread: to all fronts and some peers
  std::uint64_t fingerprint = 0;
  std::uint32_t crashes = 0;
  Duration time_left{};
};

using ToLeaf = std::
    variant<std::monostate, LeafWork, CancelWork, LinkLost, PeerLevel, PeerRelease, PeerQuarantine>;

using ToLink =
    std::variant<std::monostate, AnswerWork, AnswerCancel, PeerLevel, PeerRelease, PeerQuarantine>;

}  // namespace ibishold

#endif  // IBISHOLD_BROKER_MESSAGES_H_
