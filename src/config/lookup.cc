#include <algorithm>

#include "ibishold/config.h"

namespace ibishold {

const Service* Topology::Find(const ServiceName& name) const {
  const auto found = std::find_if(this->services.begin(), this->services.end(),
                                  [&](const Service& service) { return service.name == name; });
  return found == this->services.end() ? nullptr : &*found;
}

const TableRow* Table::Find(const ServiceName& service, const DataCentre& data_centre) const {
  const auto found = std::find_if(this->rows.begin(), this->rows.end(), [&](const TableRow& row) {
    return row.service == service && row.data_centre == data_centre;
  });
  return found == this->rows.end() ? nullptr : &*found;
}

const VmEntry* VmList::Find(const VmId& id) const {
  const auto found = std::find_if(this->vms.begin(), this->vms.end(),
                                  [&](const VmEntry& vm) { return vm.id == id; });
  return found == this->vms.end() ? nullptr : &*found;
}

}  // namespace ibishold
