#ifndef SRC_FLEET_TENANT_STATE_WIRE_H_
#define SRC_FLEET_TENANT_STATE_WIRE_H_

#include <vector>

#include "ibishold/allowances.h"
#include "schema/ibishold.capnp.h"

namespace ibishold {

void EncodeTenantStates(const std::vector<TenantState>& states,
                        capnp::List<wire::TenantState>::Builder builder);

// Leaves out states with numbers that are out of range.
std::vector<TenantState> DecodeTenantStates(capnp::List<wire::TenantState>::Reader reader);

}  // namespace ibishold

#endif  // SRC_FLEET_TENANT_STATE_WIRE_H_
