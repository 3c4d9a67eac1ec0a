#include "membership/platform_schedule.h"

#include <algorithm>

namespace ibishold {

namespace {

// Relative jitter of intervals, so that VMs started together do not call at the same time.
constexpr double kJitterRatio = 0.2;
// Delay between the end of a watch and the next watch of the same key.
constexpr Duration kWatchPause = std::chrono::milliseconds(50);

Duration Fraction(Duration duration, double share) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * share));
}

}  // namespace

PlatformSchedule::PlatformSchedule(const MembershipOptions& options, Random& random)
    : options(options), random(random), bucket(options.calls_per_second, options.call_burst, 1) {
  // The VM list comes first, because it names the peers that have the other documents.
  for (const std::string_view name : {kVmsKey, kTableKey, kTopologyKey}) {
    Key key;
    key.name = std::string(name);
    this->keys.push_back(key);
  }
}

void PlatformSchedule::SetRole(bool watcher, std::size_t fleet, TimePoint now) {
  const std::chrono::duration<double> spread(static_cast<double>(fleet) /
                                             this->options.polls_per_second);
  this->poll_interval =
      std::max(this->options.min_poll_interval, std::chrono::duration_cast<Duration>(spread));
  if (this->has_role && watcher == this->is_watcher) {
    return;
  }
  this->has_role = true;
  this->is_watcher = watcher;
  const TimePoint poll_at = now + Fraction(this->poll_interval, this->random.NextFraction());
  for (Key& key : this->keys) {
    key.read_at = poll_at;
    key.full_read_at = TimePoint::max();
    if (watcher) {
      key.watch_at = now;
      key.watch_backoff = {};
      key.read_at = now + Fraction(this->ReadInterval(key), this->random.NextFraction());
      key.full_read_at = now + Fraction(this->FullReadInterval(key), this->random.NextFraction());
    }
  }
}

void PlatformSchedule::RequestRead(const std::string& name, TimePoint now) {
  for (Key& key : this->keys) {
    if (key.name == name) {
      key.full_read = true;
      key.read_at = std::min(key.read_at, now);
    }
  }
}

bool PlatformSchedule::IsReadPending(const std::string& name) const {
  return std::any_of(this->keys.begin(), this->keys.end(), [&](const Key& key) {
    return key.name == name && (key.full_read || key.read.id != 0);
  });
}

void PlatformSchedule::Plan(const ConfigStore& store, TimePoint now, MembershipActions& actions) {
  for (Key& key : this->keys) {
    if (key.watch.id != 0 && key.watch.deadline <= now) {
      this->OnWatchFailed(key, now);
    }
    if (key.read.id != 0 && key.read.deadline <= now) {
      key.read = {};
    }
  }
  for (Key& key : this->keys) {
    const Document* current = store.Find(key.name);
    const std::uint64_t generation = current == nullptr ? 0 : current->digest.generation;
    if (this->is_watcher && key.watch.id == 0 && key.watch_at <= now) {
      if (!this->bucket.Take(now)) {
        return;
      }
      key.watch = {++this->last_call, now + this->options.watch_wait + this->options.watch_slack};
      actions.push_back(CallPlatform{key.watch.id, key.name, true,
                                     std::max(generation, key.served_generation),
                                     this->options.watch_wait});
    }
    if (key.full_read && current != nullptr) {
      // A peer has delivered the document first.
      key.full_read = false;
      key.read_at = this->NextReadTime(key, now);
    }
    if (key.read.id != 0 || key.read_at > now) {
      continue;
    }
    if (!this->bucket.Take(now)) {
      return;
    }
    const bool full = key.full_read || current == nullptr || key.full_read_at <= now;
    key.read = {++this->last_call, now + this->options.read_timeout};
    key.full_read = false;
    key.read_at = this->NextReadTime(key, now);
    if (key.full_read_at <= now) {
      key.full_read_at = now + this->random.ApplyJitter(this->FullReadInterval(key), kJitterRatio);
    }
    std::uint64_t above = std::max(generation, key.served_generation);
    if (key.served_generation > generation && key.recheck_at <= now) {
      above = generation;
      key.recheck_at = now + this->options.recheck_interval;
    }
    actions.push_back(CallPlatform{key.read.id, key.name, !full, above, Duration{}});
  }
}

std::string PlatformSchedule::OnCallEnd(std::uint64_t call,
                                        const absl::StatusOr<PlatformAnswer>& answer,
                                        TimePoint now) {
  for (Key& key : this->keys) {
    if (key.read.id != call && key.watch.id != call) {
      continue;
    }
    if (answer.ok() && answer->generation != 0) {
      key.served_generation = answer->generation;
    }
    if (key.read.id == call) {
      key.read = {};
      return key.name;
    }
    if (!answer.ok()) {
      this->OnWatchFailed(key, now);
    } else {
      key.watch = {};
      key.watch_backoff = {};
      key.watch_at = now + kWatchPause;
    }
    return key.name;
  }
  return "";
}

TimePoint PlatformSchedule::NextWake(TimePoint now) {
  TimePoint due = TimePoint::max();
  TimePoint deadline = TimePoint::max();
  for (const Key& key : this->keys) {
    if (key.watch.id != 0) {
      deadline = std::min(deadline, key.watch.deadline);
    } else if (this->is_watcher) {
      due = std::min(due, key.watch_at);
    }
    if (key.read.id != 0) {
      deadline = std::min(deadline, key.read.deadline);
    } else {
      due = std::min(due, key.read_at);
    }
  }
  if (due != TimePoint::max()) {
    due = std::max(due, this->bucket.NextAvailable(now));
  }
  return std::min(due, deadline);
}

void PlatformSchedule::OnWatchFailed(Key& key, TimePoint now) {
  key.watch = {};
  key.watch_backoff = std::clamp(key.watch_backoff * 2, this->options.minimum_backoff,
                                 this->options.maximum_backoff);
  key.watch_at = now + this->random.ApplyJitter(key.watch_backoff, kJitterRatio);
}

TimePoint PlatformSchedule::NextReadTime(const Key& key, TimePoint now) {
  if (!this->has_role) {
    return TimePoint::max();
  }
  const Duration interval = this->is_watcher ? this->ReadInterval(key) : this->poll_interval;
  return now + this->random.ApplyJitter(interval, kJitterRatio);
}

Duration PlatformSchedule::ReadInterval(const Key& key) const {
  return key.name == kTableKey ? this->options.table_read_interval : this->options.read_interval;
}

Duration PlatformSchedule::FullReadInterval(const Key& key) const {
  return key.name == kTableKey ? this->options.table_full_read_interval
                               : this->options.full_read_interval;
}

}  // namespace ibishold
