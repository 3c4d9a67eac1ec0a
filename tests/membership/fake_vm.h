#ifndef TESTS_MEMBERSHIP_FAKE_VM_H_
#define TESTS_MEMBERSHIP_FAKE_VM_H_

#include <cstdint>
#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "ibishold/membership.h"

namespace ibishold {

// One VM of a FakeFleet.
struct FakeVm {
  VmId vm;
  DataCentre data_centre;
  std::string address;
  Incarnation incarnation = 0;
  std::unique_ptr<Membership> membership;  // null: not running
  std::uint64_t run = 0;                   // events of earlier runs are dropped
  bool listed = false;
  VmState listed_state = VmState::kLive;
  bool frozen = false;
  bool cut_from_platform = false;
  int partition = 0;  // VMs of different partitions cannot reach each other
  TimePoint wake_at = TimePoint::max();
  std::vector<std::function<void()>> inbox;  // events that arrived while frozen
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t datagrams_sent = 0;
  Duration cpu{};
  ControlViewPtr view;  // with build_views
};

// CPU time of this thread. Unlike wall time, it is not affected by other processes.
inline Duration ThreadCpu() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + Duration(time.tv_nsec);
}

}  // namespace ibishold

#endif  // TESTS_MEMBERSHIP_FAKE_VM_H_
