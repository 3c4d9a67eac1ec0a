#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/control.h"

namespace ibishold {

namespace {

void WriteDigest(const Digest& digest, wire::Digest::Builder out) {
  out.setKey(digest.key);
  out.setGeneration(digest.generation);
  out.setHash(digest.hash);
}

void WriteUncompressedDocument(const Document& document, wire::Document::Builder out) {
  out.setKey(document.digest.key);
  out.setGeneration(document.digest.generation);
  out.setHash(document.digest.hash);
  out.setBody(
      kj::arrayPtr(reinterpret_cast<const kj::byte*>(document.text.data()), document.text.size()));
}

bool IsNewForPeer(const Document& document, capnp::List<wire::Digest>::Reader known_digests) {
  for (const auto digest : known_digests) {
    if (std::string_view(digest.getKey().cStr()) == document.digest.key) {
      return Supersedes(document.digest,
                        {document.digest.key, digest.getGeneration(), digest.getHash()});
    }
  }
  return true;
}

// Returns a copy of the VM list in which the given VMs are leaving or lost and all others are live.
// Returns the list itself if all states already match.
std::shared_ptr<const VmList> ApplyVmStates(const std::shared_ptr<const VmList>& vm_list,
                                            const std::set<VmId>& leaving_vms,
                                            const std::set<VmId>& lost_vms) {
  if (!vm_list) {
    return vm_list;
  }
  const auto get_state = [&](const VmId& vm) {
    if (lost_vms.contains(vm)) {
      return VmState::kLost;
    }
    return leaving_vms.contains(vm) ? VmState::kLeaving : VmState::kLive;
  };
  if (std::all_of(vm_list->vms.begin(), vm_list->vms.end(),
                  [&](const VmEntry& vm) { return vm.state == get_state(vm.id); })) {
    return vm_list;
  }
  auto updated_list = std::make_shared<VmList>(*vm_list);
  for (VmEntry& vm : updated_list->vms) {
    vm.state = get_state(vm.id);
  }
  return updated_list;
}

}  // namespace

void WriteGetView(const ControlView* view, wire::GetView::Builder out) {
  if (view == nullptr) {
    return;
  }
  auto known_digests = out.initKnown(static_cast<unsigned>(view->documents.size()));
  for (unsigned i = 0; i < known_digests.size(); ++i) {
    WriteDigest(view->documents[i].digest, known_digests[i]);
  }
}

void WriteView(const ControlView& view,
               capnp::List<wire::Digest>::Reader known_digests,
               wire::View::Builder out) {
  std::vector<const Document*> documents_to_send;
  for (const Document& document : view.documents) {
    if (IsNewForPeer(document, known_digests)) {
      documents_to_send.push_back(&document);
    }
  }
  auto documents_out = out.initDocuments(static_cast<unsigned>(documents_to_send.size()));
  for (unsigned i = 0; i < documents_out.size(); ++i) {
    WriteUncompressedDocument(*documents_to_send[i], documents_out[i]);
  }
  auto lost_out = out.initLostVms(static_cast<unsigned>(view.lost_vms.size()));
  unsigned index = 0;
  for (const VmId& vm : view.lost_vms) {
    lost_out.set(index++, vm.value);
  }
  std::vector<const VmId*> leaving_vms;
  if (view.vms) {
    for (const VmEntry& vm : view.vms->vms) {
      if (vm.state == VmState::kLeaving) {
        leaving_vms.push_back(&vm.id);
      }
    }
  }
  auto leaving_out = out.initLeavingVms(static_cast<unsigned>(leaving_vms.size()));
  for (unsigned i = 0; i < leaving_out.size(); ++i) {
    leaving_out.set(i, leaving_vms[i]->value);
  }
  auto successors_out = out.initSuccessors(static_cast<unsigned>(view.successors.size()));
  index = 0;
  for (const auto& [home, successor] : view.successors) {
    successors_out[index].setHome(home.vm.value);
    successors_out[index].setIncarnation(home.incarnation);
    successors_out[index].setVm(successor.vm.value);
    successors_out[index++].setHops(successor.hops);
  }
  out.setReady(view.ready);
  out.setStale(!view.may_hold_slots);
}

absl::StatusOr<ControlViewPtr> ReadView(wire::View::Reader frame,
                                        const ControlViewPtr& previous_view) {
  auto view = previous_view ? std::make_shared<ControlView>(*previous_view)
                            : std::make_shared<ControlView>();
  for (const auto document_reader : frame.getDocuments()) {
    const auto text = document_reader.getBody();
    Document document;
    document.digest = {std::string(document_reader.getKey().cStr()),
                       document_reader.getGeneration(), document_reader.getHash()};
    document.text.assign(reinterpret_cast<const char*>(text.begin()), text.size());
    const auto existing_document = std::find_if(
        view->documents.begin(), view->documents.end(),
        [&](const Document& candidate) { return candidate.digest.key == document.digest.key; });
    if (existing_document != view->documents.end() &&
        !Supersedes(document.digest, existing_document->digest)) {
      continue;
    }
    ConfigStore parsed_store;
    if (!Applied(parsed_store.Offer(document))) {
      return absl::InvalidArgumentError(absl::StrCat(
          document.digest.key, ": ",
          parsed_store.refused().empty() ? "refused" : parsed_store.refused().front().reason));
    }
    if (parsed_store.topology()) {
      view->topology = parsed_store.topology();
    } else if (parsed_store.table()) {
      view->table = parsed_store.table();
    } else {
      view->vms = parsed_store.vms();
    }
    if (existing_document != view->documents.end()) {
      *existing_document = std::move(document);
    } else {
      view->documents.push_back(std::move(document));
    }
  }
  view->lost_vms.clear();
  std::set<VmId> leaving_vms;
  for (const auto vm : frame.getLostVms()) {
    view->lost_vms.emplace(std::string(vm.cStr()));
  }
  for (const auto vm : frame.getLeavingVms()) {
    leaving_vms.emplace(std::string(vm.cStr()));
  }
  view->vms = ApplyVmStates(view->vms, leaving_vms, view->lost_vms);
  view->successors.clear();
  for (const auto successor : frame.getSuccessors()) {
    const TokenHomeRun home{VmId(std::string(successor.getHome().cStr())),
                            successor.getIncarnation()};
    view->successors[home] = {VmId(std::string(successor.getVm().cStr())), successor.getHops()};
  }
  view->ready = frame.getReady() && view->topology != nullptr && view->vms != nullptr;
  view->may_hold_slots = !frame.getStale();
  return ControlViewPtr(std::move(view));
}

}  // namespace ibishold
