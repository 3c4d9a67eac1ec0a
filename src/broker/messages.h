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

// Cancel request of a front.
struct CancelWork {
  std::uint64_t link_id = 0;
  std::uint64_t correlation = 0;
  std::uint64_t attempt = 0;
};
// A link was closed: its queued attempts are dropped and its running searches cancelled.
struct LinkClosed {
  std::uint64_t link_id = 0;
};

// ---- Both directions: from and to the broker of another VM --------------------------------------

// Warm-up level of a leaf, exchanged by its two owners.
struct PeerLeafLevel {
  VmId vm;  // the other owner
  LeafId leaf;
  LeafLevel level;
};
// Slots of a leaf that their former holder no longer uses.
struct PeerSlotRelease {
  VmId vm;  // sender if received, receiver if sent
  LeafId leaf;
  std::uint32_t slots = 0;
  bool primary = false;  // the sender no longer acts as primary of the leaf
};
// Quarantine report. The link thread sends it to all fronts linked to this broker and to some other
// brokers.
struct PeerQuarantine {
  QuarantineReport report;
  Duration refused_for{};  // time for which the request is still refused; 0: not refused
};

// ---- From the control thread to the leaf thread -------------------------------------------------

// View with the slot plans made from it.
struct PlannedView {
  ControlViewPtr view;
  std::shared_ptr<const SlotPlan> plan;
  std::shared_ptr<const SlotPlan> plan_after_leaving;  // with this VM marked as leaving
};

// ---- Items of the rings -------------------------------------------------------------------------

// std::monostate makes the messages default-constructible, as Ring needs.
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
