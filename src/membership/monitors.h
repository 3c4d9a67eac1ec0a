#ifndef SRC_MEMBERSHIP_MONITORS_H_
#define SRC_MEMBERSHIP_MONITORS_H_

#include <cstddef>
#include <vector>

#include "ibishold/config.h"
#include "ibishold/core.h"

namespace ibishold {

// The VMs with the highest rendezvous scores for this VM among those of its data centre that are
// published as live, without itself. Depends on the published list only, never on reports of
// peers: if loss reports shrank the set, both sides of a partition would run out of monitors and
// hold the same slots.
std::vector<VmId> SelectMonitors(const VmId& vm,
                                 const DataCentre& data_centre,
                                 const VmList& published,
                                 std::size_t count);

// Whether this VM is one of the `count` VMs of its data centre that keep watches.
bool IsWatcher(const VmId& vm,
               const DataCentre& data_centre,
               const VmList& merged,
               std::size_t count);

}  // namespace ibishold

#endif  // SRC_MEMBERSHIP_MONITORS_H_
