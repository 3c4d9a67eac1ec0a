#ifndef IBISHOLD_BROKER_MESSAGES_H_
#define IBISHOLD_BROKER_MESSAGES_H_

#include <cstdint>
#include <variant>

#include "broker/leaf_dispatcher.h"
#include "broker/leaf_work.h"
#include "ibishold/core.h"
#include "ibishold/ownership.h"
#include "ibishold/quarantine.h"

namespace ibishold {

// ---- From the link thread to the leaf thread ----------------------------------------------------

struct CancelWork {
  std::uint64_t link_id = 0;
  std::uint64_t correlation = 0;
  std::uint64_t attempt = 0;
};
struct LinkClosed {
  std::uint64_t link_id = 0;
};

// ---- Both ways: from and to the broker of another VM --------------------------------------------

struct PeerLeafLevel {
  VmId vm;
  LeafId leaf;
  LeafLevel level;
};
struct PeerSlotRelease {
  VmId vm;
  LeafId leaf;
  std::uint32_t slots = 0;
  bool primary = false;  // the sender no longer acts as primary
};
struct PeerQuarantine {  // towards the link thread: to all fronts and some brokers
  QuarantineReport report;
  Duration refused_for{};  // 0: not refused
};

// ---- From the control thread to the leaf thread -------------------------------------------------

struct PlannedView {
  ControlViewPtr view;
  std::shared_ptr<const SlotPlan> plan;                // of the view
  std::shared_ptr<const SlotPlan> plan_after_leaving;  // as if this VM were leaving
};

// ---- Contents of the rings ----------------------------------------------------------------------

using LeafThreadMessage = std::variant<std::monostate,
                                       LeafWork,
                                       CancelWork,
                                       LinkClosed,
                                       PeerLeafLevel,
                                       PeerSlotRelease,
                                       PeerQuarantine>;

using LinkThreadMessage = std::variant<std::monostate,
                                       AnswerWork,
                                       AnswerCancel,
                                       PeerLeafLevel,
                                       PeerSlotRelease,
                                       PeerQuarantine>;

}  // namespace ibishold

#endif  // IBISHOLD_BROKER_MESSAGES_H_
