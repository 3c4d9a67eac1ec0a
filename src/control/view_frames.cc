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
  auto successors = out.initSuccessors(static_cast<unsigned>(view.successors.size()));
  index = 0;
  for (const auto& [incarnation, vm] : view.successors) {
    successors[index].setIncarnation(incarnation);
    successors[index++].setVm(vm.value);
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
  for (const auto vm : frame.getLostVms()) {
    view->lost_vms.emplace(std::string(vm.cStr()));
  }
  view->successors.clear();
  for (const auto successor : frame.getSuccessors()) {
    view->successors[successor.getIncarnation()] = VmId(std::string(successor.getVm().cStr()));
  }
  view->ready = frame.getReady() && view->topology != nullptr && view->vms != nullptr;
  view->may_hold_slots = !frame.getStale();
  return ControlViewPtr(std::move(view));
}

bool WriteDocument(const ControlView& view,
                   wire::GetDocument::Reader request,
                   wire::Document::Builder out) {
  const std::string_view key = request.getKey().cStr();
  const auto found = std::find_if(view.documents.begin(), view.documents.end(),
                                  [&](const Document& each) { return each.digest.key == key; });
  if (found == view.documents.end()) {
    out.setKey(request.getKey());
    return false;
  }
  WriteBody(*found, out);
  return true;
}

}  // namespace ibishold
