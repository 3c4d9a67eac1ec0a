#ifndef TESTS_MEMBERSHIP_FAKE_PLATFORM_H_
#define TESTS_MEMBERSHIP_FAKE_PLATFORM_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"
#include "ibishold/membership.h"
#include "membership/event_queue.h"

namespace ibishold {

struct FakePlatformOptions {
  // Sends the answer to a call of the VM with this index.
  std::function<void(std::size_t caller, const CallPlatform& call)> reply;
  // Whether the VM is still in the run that made the call.
  std::function<bool(std::size_t caller, std::uint64_t run)> is_current_run;
};

// A platform in virtual time: published values and the watches that wait for newer ones.
class FakePlatform {
 public:
  FakePlatform(EventQueue& events, FakePlatformOptions options)
      : events(events), options(std::move(options)) {}

  std::uint64_t NextGeneration(const std::string& key) { return ++this->generations[key]; }

  void Publish(const std::string& key, std::uint64_t generation, std::string text) {
    this->published[key] = {generation, std::move(text)};
    if (!this->stale) {
      this->served = this->published;
      this->AnswerWatches();
    }
  }

  std::uint64_t PublishTable(const std::string& state, int weight = 100) {
    const std::uint64_t generation = this->NextGeneration("table");
    this->Publish("table", generation,
                  absl::StrCat(R"({"generation":)", generation,
                               R"(,"rows":[{"service":"depot-desk","data_centre":"dc-0","state":")",
                               state, R"(","weight":)", weight, "}]}"));
    return generation;
  }

  std::uint64_t PublishTopology() {
    const std::uint64_t generation = this->NextGeneration("topology");
    this->Publish("topology", generation,
                  absl::StrCat(R"({"generation":)", generation,
                               R"(,"partition_map_version":1,"services":[]})"));
    return generation;
  }

  void CountCall() {
    ++this->calls;
    ++this->calls_by_second[this->events.now.time_since_epoch().count() / 1'000'000'000];
  }

  // Handles a call: replies at once, or queues it if it waits for a newer value.
  void Receive(std::size_t caller, std::uint64_t run, const CallPlatform& call) {
    if (call.conditional && !this->HasNewer(call) && call.wait > Duration{}) {
      if (!this->watches_silent) {
        this->waiting.push_back({caller, run, call, this->events.now + call.wait});
        this->events.At(this->events.now + call.wait, [this] { this->AnswerWatches(); });
      }
      return;
    }
    this->options.reply(caller, call);
  }

  // Returns the answer to this call at the current time.
  absl::StatusOr<PlatformAnswer> AnswerTo(const CallPlatform& call) const {
    const auto value = this->served.find(call.key);
    if (value == this->served.end()) {
      return absl::NotFoundError("no such key");
    }
    PlatformAnswer answer{value->second.generation, std::nullopt};
    if (!call.conditional || this->HasNewer(call)) {
      answer.text = value->second.text;
    }
    return answer;
  }

  void ResetCounters() {
    this->calls = 0;
    this->calls_by_second.clear();
  }

  std::uint64_t PeakCallsPerSecond() const {
    std::uint64_t peak = 0;
    for (const auto& [second, count] : this->calls_by_second) {
      peak = std::max(peak, count);
    }
    return peak;
  }

  bool down = false;            // all calls fail
  bool stale = false;           // serves the values from the time when this was set
  bool watches_silent = false;  // waiting watches never return
  std::uint64_t calls = 0;

 private:
  struct Value {
    std::uint64_t generation = 0;
    std::string text;
  };
  struct Waiting {
    std::size_t caller = 0;
    std::uint64_t run = 0;
    CallPlatform call;
    TimePoint deadline;
  };

  bool HasNewer(const CallPlatform& call) const {
    const auto value = this->served.find(call.key);
    return value != this->served.end() && value->second.generation > call.generation;
  }

  void AnswerWatches() {
    if (this->watches_silent || this->down) {
      this->waiting.clear();
      return;
    }
    std::vector<Waiting> remaining;
    for (Waiting& each : std::exchange(this->waiting, {})) {
      if (!this->options.is_current_run(each.caller, each.run)) {
        continue;
      }
      if (this->HasNewer(each.call) || each.deadline <= this->events.now) {
        this->options.reply(each.caller, each.call);
      } else {
        remaining.push_back(std::move(each));
      }
    }
    this->waiting = std::move(remaining);
  }

  EventQueue& events;
  FakePlatformOptions options;
  std::map<std::string, Value> published;
  std::map<std::string, Value> served;
  std::map<std::string, std::uint64_t> generations;
  std::map<std::int64_t, std::uint64_t> calls_by_second;
  std::vector<Waiting> waiting;
};

}  // namespace ibishold

#endif  // TESTS_MEMBERSHIP_FAKE_PLATFORM_H_
