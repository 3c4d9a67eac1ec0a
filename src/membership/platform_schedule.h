#ifndef SRC_MEMBERSHIP_PLATFORM_SCHEDULE_H_
#define SRC_MEMBERSHIP_PLATFORM_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "ibishold/membership.h"
#include "membership/token_bucket.h"

namespace ibishold {

// Schedules the calls of this VM to the platform. A watcher keeps one watch per key, each with its
// own deadline, and also reads the keys periodically. All other VMs poll. A VM that has no
// documents yet reads on request.
class PlatformSchedule {
 public:
  PlatformSchedule(const MembershipOptions& options, Random& random);

  void SetRole(bool watcher, std::size_t fleet, TimePoint now);
  // The key is read unconditionally, as soon as the rate limit allows.
  void RequestRead(const std::string& key, TimePoint now);
  bool IsReadPending(const std::string& key) const;  // a read is requested or running
  void Plan(const ConfigStore& store, TimePoint now, MembershipActions& actions);
  // Returns the key of the call; empty if the call has already reached its deadline.
  std::string OnCallEnd(std::uint64_t call,
                        const absl::StatusOr<PlatformAnswer>& answer,
                        TimePoint now);
  TimePoint NextWake(TimePoint now);
  std::uint64_t calls() const { return this->last_call; }
  bool watcher() const { return this->is_watcher; }

 private:
  struct Call {
    std::uint64_t id = 0;  // 0: none
    TimePoint deadline{};
  };
  struct Key {
    std::string name;
    Call watch;
    Call read;
    TimePoint watch_at{};
    Duration watch_backoff{};
    TimePoint read_at = TimePoint::max();
    TimePoint full_read_at = TimePoint::max();
    bool full_read = false;
    // Generation of the last value that the platform returned. It is above the generation in force
    // if that value was refused or its text states another generation. Calls ask for values above
    // it, so that the platform does not send the same value again with every call.
    std::uint64_t served_generation = 0;
    TimePoint recheck_at{};
  };

  void OnWatchFailed(Key& key, TimePoint now);
  TimePoint NextReadTime(const Key& key, TimePoint now);
  Duration ReadInterval(const Key& key) const;
  Duration FullReadInterval(const Key& key) const;

  const MembershipOptions& options;
  Random& random;
  TokenBucket bucket;
  std::vector<Key> keys;
  bool is_watcher = false;
  bool has_role = false;
  Duration poll_interval{};
  std::uint64_t last_call = 0;
};

}  // namespace ibishold

#endif  // SRC_MEMBERSHIP_PLATFORM_SCHEDULE_H_
