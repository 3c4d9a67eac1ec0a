#include "membership/vm_table.h"

#include <algorithm>
#include <utility>

namespace ibishold {

namespace {

// Limits the stored facts, also those about VMs that are in no list yet; larger than any list.
constexpr std::size_t kMaxFacts = 8192;

}  // namespace

bool VmTable::SetPublishedList(std::shared_ptr<const VmList> list) {
  this->published_list = std::move(list);
  this->merged.reset();
  this->index_by_id.clear();
  for (std::size_t i = 0; i < this->published_list->vms.size(); ++i) {
    this->index_by_id.emplace(this->published_list->vms[i].id.value, i);
  }
  if (this->facts.size() > kMaxFacts / 2) {
    std::erase_if(this->facts,
                  [&](const auto& item) { return !this->index_by_id.contains(item.first); });
  }
  return true;
}

bool VmTable::Apply(const VmFact& fact) {
  const auto known = this->facts.find(fact.vm.value);
  const VmEntry* entry = this->FindPublished(fact.vm);
  const VmFact current = this->GetFact(fact.vm);
  const bool newer = fact.incarnation > current.incarnation;
  const bool worse = fact.incarnation == current.incarnation && fact.state > current.state;
  if (!newer && !worse) {
    return false;
  }
  if (known == this->facts.end() && this->facts.size() >= kMaxFacts) {
    return false;
  }
  this->facts[fact.vm.value] = fact;
  if (entry != nullptr) {
    this->merged.reset();
  }
  return true;
}

VmFact VmTable::GetFact(const VmId& vm) const {
  VmFact result{vm, 0, VmState::kLive};
  if (const VmEntry* entry = this->FindPublished(vm)) {
    result.incarnation = entry->incarnation;
    result.state = entry->state;
  }
  const auto known = this->facts.find(vm.value);
  if (known == this->facts.end() || known->second.incarnation < result.incarnation) {
    return result;
  }
  if (known->second.incarnation > result.incarnation) {
    return known->second;
  }
  result.state = std::max(result.state, known->second.state);
  return result;
}

const VmEntry* VmTable::FindPublished(const VmId& vm) const {
  const auto place = this->index_by_id.find(vm.value);
  return place == this->index_by_id.end() ? nullptr : &this->published_list->vms[place->second];
}

std::shared_ptr<const VmList> VmTable::GetMerged() {
  if (this->merged || !this->published_list) {
    return this->merged;
  }
  auto list = std::make_shared<VmList>(*this->published_list);
  for (VmEntry& entry : list->vms) {
    const VmFact fact = this->GetFact(entry.id);
    entry.state = fact.state;
    entry.incarnation = fact.incarnation;
  }
  this->merged = std::move(list);
  return this->merged;
}

std::set<VmId> VmTable::FindLost() {
  std::set<VmId> lost;
  if (const auto list = this->GetMerged()) {
    for (const VmEntry& entry : list->vms) {
      if (entry.state == VmState::kLost) {
        lost.insert(entry.id);
      }
    }
  }
  return lost;
}

}  // namespace ibishold
