#ifndef SRC_MEMBERSHIP_FACT_QUEUE_H_
#define SRC_MEMBERSHIP_FACT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "ibishold/membership.h"

namespace ibishold {

// Facts to be gossiped in heartbeats, each for a limited number of sends.
class FactQueue {
 public:
  void Add(const VmFact& fact, std::size_t fleet);  // replaces the queued fact about the VM
  std::vector<VmFact> Take(std::size_t count);      // those with the most sends left
  bool empty() const { return this->entries.empty(); }

 private:
  struct Entry {
    VmFact fact;
    std::uint32_t sends_left = 0;
  };
  std::vector<Entry> entries;
};

}  // namespace ibishold

#endif  // SRC_MEMBERSHIP_FACT_QUEUE_H_
