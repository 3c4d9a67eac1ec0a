#ifndef IBISHOLD_CORE_H_
#define IBISHOLD_CORE_H_

// Basic types and functions that all libraries use.
//
// Index of this header:
//   1. Time           Duration, BootClock, TimePoint, ToMilliseconds
//   2. Names          VmId, LeafId, ServiceName, ShardId, DataCentre, TenantName; TenantKey
//   3. Enumerations   Verdict, RequestClass, ToName, FromName
//   4. Hashing        StableHash, RendezvousScore
//   5. Randomness     Random
//   6. Text           ParseNumber, SplitText, TrimText, EqualsIgnoreCase
//   7. Pauses         PauseDetector
//   8. Revisions      Revision, FormatRevision, ChangeOrigin

#include <array>
#include <charconv>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ibishold {

// ---- 1. Time ------------------------------------------------------------------------------------

using Duration = std::chrono::nanoseconds;

// Monotonic clock that keeps counting while the machine is suspended (CLOCK_BOOTTIME), so that a
// resumed process sees how long it was suspended. Decision code never reads the clock: it takes the
// current time as a TimePoint argument.
struct BootClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): std clock
  static time_point now();                 // NOLINT(readability-identifier-naming): std clock
};

using TimePoint = BootClock::time_point;

// Converts a duration to fractional milliseconds, for metrics and documents.
double ToMilliseconds(Duration duration);

// ---- 2. Names -----------------------------------------------------------------------------------

// Strong type for a name or identifier. Names with different tags do not convert into each other.
template <typename Tag>
struct Name {
  std::string value;  // empty only if not set

  Name() = default;
  explicit Name(std::string text) : value(std::move(text)) {}
  explicit Name(std::string_view text) : value(text) {}
  explicit Name(const char* text) : value(text) {}

  friend bool operator==(const Name&, const Name&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on a defaulted <=>.
  friend std::strong_ordering operator<=>(const Name&, const Name&) = default;

  template <typename H>
  friend H AbslHashValue(H state, const Name& name) {
    return H::combine(std::move(state), name.value);
  }
};

using VmId = Name<struct VmIdTag>;
using LeafId = Name<struct LeafIdTag>;
using ServiceName = Name<struct ServiceNameTag>;
using ShardId = Name<struct ShardIdTag>;
using DataCentre = Name<struct DataCentreTag>;
using TenantName = Name<struct TenantNameTag>;

using TenantKey = std::uint64_t;  // stable hash of the tenant's name; 0: none

// Identifies one run of a process: the start time in milliseconds since 1970. A restarted process
// has a higher incarnation.
using Incarnation = std::uint64_t;

// ---- 3. Enumerations ----------------------------------------------------------------------------

// Says whether a request may have run on a leaf.
enum class Verdict : std::uint8_t {
  kNotRun,      // removed before its first byte was sent to a leaf; safe to retry
  kMayHaveRun,  // unknown; the system must not retry the request
  kRan,         // a leaf answered the request
};

inline constexpr std::array<std::string_view, 3> kVerdictNames = {"not_run", "may_have_run", "ran"};

// Importance of a request, highest first; under overload the lowest class is shed first.
enum class RequestClass : std::uint8_t {
  kInteractive,
  kStandard,
  kBulk,
};

inline constexpr std::array<std::string_view, 3> kRequestClassNames = {"interactive", "standard",
                                                                       "bulk"};

// Returns the name of an enumerator. `names` holds one name per enumerator, in enum order.
template <typename Enum, std::size_t N>
constexpr std::string_view ToName(const std::array<std::string_view, N>& names, Enum value) {
  return names[static_cast<std::size_t>(value)];
}

// Returns the enumerator with the given name, or nullopt if `names` does not contain the name.
template <typename Enum, std::size_t N>
constexpr std::optional<Enum> FromName(const std::array<std::string_view, N>& names,
                                       std::string_view name) {
  for (std::size_t i = 0; i < N; ++i) {
    if (names[i] == name) {
      return static_cast<Enum>(i);
    }
  }
  return std::nullopt;
}

// ---- 4. Hashing ---------------------------------------------------------------------------------

// 64-bit xxHash (XXH3) of the bytes. The result is the same in every process and on every VM.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

// Rendezvous hashing: the candidate with the highest score for a key is selected.
std::uint64_t RendezvousScore(std::string_view key, std::string_view candidate);

// ---- 5. Randomness ------------------------------------------------------------------------------

// Pseudo-random generator (SplitMix64). A seed gives the same sequence on every machine.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state(seed) {}

  std::uint64_t Next();                               // uniform over 64 bits
  std::uint64_t NextBelow(std::uint64_t bound);       // uniform in [0, bound); bound > 0
  double NextFraction();                              // uniform in [0, 1)
  Duration ApplyJitter(Duration base, double share);  // base * uniform[1 - share, 1 + share]

 private:
  std::uint64_t state;
};

// ---- 6. Text ------------------------------------------------------------------------------------

// Parses the whole text as a decimal number. Returns nullopt if the text is not a number or the
// number does not fit into the type.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (text.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

// Splits the text at each separator and keeps empty pieces. The results are views into `text`.
std::vector<std::string_view> SplitText(std::string_view text, char separator);

// Removes spaces, tabs and line ends from both ends of the text.
std::string_view TrimText(std::string_view text);

// Compares two texts and ignores the case of ASCII letters.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

// ---- 7. Pauses ----------------------------------------------------------------------------------

// Estimates how long messages may have waited in the kernel because the process did not run. The
// age that a message states does not include that time.
class PauseDetector {
 public:
  PauseDetector(Duration tick_interval, TimePoint now);

  // A timer must call this at `tick_interval`.
  void OnTick(TimePoint now);
  // Returns the time that a message received now may have waited; zero if there was no pause.
  Duration EstimateWait(TimePoint now) const;

 private:
  Duration MeasureLag(TimePoint now) const;  // by which the next tick is late

  Duration tick_interval;
  TimePoint ticked_at;
  Duration pause{};  // length of the last pause
  TimePoint resumed_at{};
};

// ---- 8. Revisions -------------------------------------------------------------------------------

// Position in the history of the platform's store. A store that is restored from an older copy
// assigns numbers again that it had assigned to other changes; its epoch tells the two apart and
// rises with each restoration.
struct Revision {
  std::uint64_t epoch = 0;   // 0 if the store states none
  std::uint64_t number = 0;  // of the change, within the epoch; 0: no revision

  constexpr Revision() = default;
  // NOLINTNEXTLINE(google-explicit-constructor): the number is the revision if there are no epochs
  constexpr Revision(std::uint64_t revision_number, std::uint64_t store_epoch = 0)
      : epoch(store_epoch), number(revision_number) {}

  constexpr bool none() const { return this->number == 0; }

  friend constexpr bool operator==(const Revision&, const Revision&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on a defaulted <=>.
  friend constexpr auto operator<=>(const Revision&, const Revision&) = default;
};

// "NUMBER" without an epoch, else "EPOCH.NUMBER".
std::string FormatRevision(const Revision& revision);

// How a change of a published document became known.
enum class ChangeOrigin : std::uint8_t {
  kPublisher,      // the publisher made it
  kRestoredStore,  // found in a store that was restored from an older copy: the publisher may have
                   // written something newer, which the store lost
};

inline constexpr std::array<std::string_view, 2> kChangeOriginNames = {"publisher",
                                                                       "restored_store"};

}  // namespace ibishold

#endif  // IBISHOLD_CORE_H_
