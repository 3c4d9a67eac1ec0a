#ifndef SRC_MEMBERSHIP_MONITORS_H_
#define SRC_MEMBERSHIP_MONITORS_H_

#include <cstddef>
#include <vector>

#include "ibishold/config.h"
#include "ibishold/core.h"

namespace ibishold {

// Returns the `count` other VMs with the highest rendezvous scores for this VM among those that are
// published as live in its data centre. Uses only the published list and never reports of peers: if
// loss reports shrank the set, both sides of a network partition would run out of monitors and hold
// the same slots.
std::vector<VmId> SelectMonitors(const VmId& vm,
                                 const DataCentre& data_centre,
                                 const VmList& published,
                                 std::size_t count);

// Whether this VM is one of the `count` watchers of its data centre.
bool IsWatcher(const VmId& vm,
               const DataCentre& data_centre,
               const VmList& merged,
               std::size_t count);

}  // namespace ibishold

#endif  // SRC_MEMBERSHIP_MONITORS_H_
