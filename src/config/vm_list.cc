#include <boost/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "config/json_reader.h"
#include "ibishold/config.h"

namespace ibishold {

namespace json = boost::json;

absl::StatusOr<VmList> ParseVmList(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error) {
    return absl::InvalidArgumentError(absl::StrCat("vms: ", error.message()));
  }
  absl::Status status;
  JsonReader reader(value, "", status);
  VmList list;
  list.generation = reader.RequiredInteger("generation");
  const json::array& vms = reader.Array("vms");
  for (std::size_t i = 0; i < vms.size(); ++i) {
    JsonReader vm_reader(vms[i], absl::StrCat("vms[", i, "]"), status);
    VmEntry vm;
    vm.id = VmId(vm_reader.Text("id"));
    vm.data_centre = DataCentre(vm_reader.Text("data_centre"));
    vm.address = vm_reader.Text("address");
    vm.incarnation = vm_reader.Integer("incarnation", 0, 0, UINT64_MAX);
    const std::string state = vm_reader.TextOr("state", "live");
    if (state == "leaving") {
      vm.state = VmState::kLeaving;
    } else if (state != "live") {
      vm_reader.Fail("state", absl::StrCat("\"", state, "\" is neither live nor leaving"));
    }
    vm_reader.Finish();
    list.vms.push_back(std::move(vm));
  }
  reader.Finish();
  if (!status.ok()) {
    return status;
  }
  return list;
}

std::string ToJson(const VmList& list) {
  json::array vms;
  for (const VmEntry& vm : list.vms) {
    vms.push_back(json::object{{"id", vm.id.value},
                               {"data_centre", vm.data_centre.value},
                               {"address", vm.address},
                               {"incarnation", vm.incarnation},
                               {"state", ToName(kVmStateNames, vm.state)}});
  }
  return json::serialize(json::object{{"generation", list.generation}, {"vms", std::move(vms)}});
}

}  // namespace ibishold
