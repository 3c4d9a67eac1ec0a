#ifndef SRC_MEMBERSHIP_VM_TABLE_H_
#define SRC_MEMBERSHIP_VM_TABLE_H_

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "ibishold/membership.h"

namespace ibishold {

// The published VM list merged with the newer facts received from peers.
class VmTable {
 public:
  // Returns true if the merged list changed.
  bool SetPublishedList(std::shared_ptr<const VmList> list);
  bool Apply(const VmFact& fact);

  VmFact GetFact(const VmId& vm) const;  // incarnation 0 if the VM is unknown
  const VmEntry* FindPublished(const VmId& vm) const;
  const std::shared_ptr<const VmList>& published() const { return this->published_list; }
  std::shared_ptr<const VmList> GetMerged();  // null until a list is published
  std::set<VmId> FindLost();

 private:
  std::shared_ptr<const VmList> published_list;
  std::shared_ptr<const VmList> merged;  // null: must be rebuilt
  std::unordered_map<std::string, std::size_t> index_by_id;
  std::unordered_map<std::string, VmFact> facts;
};

}  // namespace ibishold

#endif  // SRC_MEMBERSHIP_VM_TABLE_H_
