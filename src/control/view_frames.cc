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

void WriteBody(const Document& document, wire::Document::Builder out) {
  out.setKey(document.digest.key);
  out.setGeneration(document.digest.generation);
  out.setHash(document.digest.hash);
  out.setBody(
      kj::arrayPtr(reinterpret_cast<const kj::byte*>(document.text.data()), document.text.size()));
}

bool IsNews(const Document& document, capnp::List<wire::Digest>::Reader known) {
  for (const auto digest : known) {
    if (std::string_view(digest.getKey().cStr()) == document.digest.key) {
      return Supersedes(document.digest,
                        {document.digest.key, digest.getGeneration(), digest.getHash()});
    }
  }
  return true;
}

// The list with these VMs leaving or lost and all others live. The list itself if it is so already.
std::shared_ptr<const VmList> WithStates(const std::shared_ptr<const VmList>& list,
                                         const std::set<VmId>& leaving,
                                         const std::set<VmId>& lost) {
  if (!list) {
    return list;
  }
  const auto state_of = [&](const VmId& vm) {
    if (lost.contains(vm)) {
      return VmState::kLost;
    }
    return leaving.contains(vm) ? VmState::kLeaving : VmState::kLive;
  };
  if (std::all_of(list->vms.begin(), list->vms.end(),
                  [&](const VmEntry& vm) { return vm.state == state_of(vm.id); })) {
    return list;
  }
  auto changed = std::make_shared<VmList>(*list);
  for (VmEntry& vm : changed->vms) {
    vm.state = state_of(vm.id);
  }
  return changed;
}

}  // namespace

void WriteGetView(const ControlView* view, wire::GetView::Builder out) {
  if (view == nullptr) {
    return;
  }
  auto known = out.initKnown(static_cast<unsigned>(view->documents.size()));
  for (unsigned i = 0; i < known.size(); ++i) {
    WriteDigest(view->documents[i].digest, known[i]);
  }
}

void WriteView(const ControlView& view,
               capnp::List<wire::Digest>::Reader known,
               wire::View::Builder out) {
  std::vector<const Document*> news;
  for (const Document& document : view.documents) {
    if (IsNews(document, known)) {
      news.push_back(&document);
    }
  }
  auto documents = out.initDocuments(static_cast<unsigned>(news.size()));
  for (unsigned i = 0; i < documents.size(); ++i) {
    WriteBody(*news[i], documents[i]);
  }
  auto lost = out.initLostVms(static_cast<unsigned>(view.lost_vms.size()));
  unsigned index = 0;
  for (const VmId& vm : view.lost_vms) {
    lost.set(index++, vm.value);
  }
  std::vector<const VmId*> leaving;
  if (view.vms) {
    for (const VmEntry& vm : view.vms->vms) {
      if (vm.state == VmState::kLeaving) {
        leaving.push_back(&vm.id);
      }
    }
  }
  auto leaving_out = out.initLeavingVms(static_cast<unsigned>(leaving.size()));
  for (unsigned i = 0; i < leaving_out.size(); ++i) {
    leaving_out.set(i, leaving[i]->value);
  }
  auto successors = out.initSuccessors(static_cast<unsigned>(view.successors.size()));
  index = 0;
  for (const auto& [home, successor] : view.successors) {
    successors[index].setHome(home.vm.value);
    successors[index].setIncarnation(home.incarnation);
    successors[index].setVm(successor.vm.value);
    successors[index++].setHops(successor.hops);
  }
  out.setReady(view.ready);
  out.setStale(!view.may_hold_slots);
}

absl::StatusOr<ControlViewPtr> ReadView(wire::View::Reader frame, const ControlViewPtr& previous) {
  auto view = previous ? std::make_shared<ControlView>(*previous) : std::make_shared<ControlView>();
  for (const auto sent : frame.getDocuments()) {
    const auto body = sent.getBody();
    Document document;
    document.digest = {std::string(sent.getKey().cStr()), sent.getGeneration(), sent.getHash()};
    document.text.assign(reinterpret_cast<const char*>(body.begin()), body.size());
    const auto place =
        std::find_if(view->documents.begin(), view->documents.end(),
                     [&](const Document& each) { return each.digest.key == document.digest.key; });
    if (place != view->documents.end() && !Supersedes(document.digest, place->digest)) {
      continue;
    }
    ConfigStore parser;
    if (!Applied(parser.Offer(document))) {
      return absl::InvalidArgumentError(
          absl::StrCat(document.digest.key, ": ",
                       parser.refused().empty() ? "refused" : parser.refused().front().reason));
    }
    if (parser.topology()) {
      view->topology = parser.topology();
    } else if (parser.table()) {
      view->table = parser.table();
    } else {
      view->vms = parser.vms();
    }
    if (place != view->documents.end()) {
      *place = std::move(document);
    } else {
      view->documents.push_back(std::move(document));
    }
  }
  view->lost_vms.clear();
  std::set<VmId> leaving;
  for (const auto vm : frame.getLostVms()) {
    view->lost_vms.emplace(std::string(vm.cStr()));
  }
  for (const auto vm : frame.getLeavingVms()) {
    leaving.emplace(std::string(vm.cStr()));
  }
  view->vms = WithStates(view->vms, leaving, view->lost_vms);
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
