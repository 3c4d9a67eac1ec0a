#ifndef IBISHOLD_CORE_H_
#define IBISHOLD_CORE_H_

// Shared vocabulary of all libraries.
//
// Index of this header:
//   1. Time           Duration, TimePoint, BootNow
//   2. Names          VmId, LeafId, ServiceName, ShardId, DataCentre, TenantName
//   3. Enumerations   Verdict, RequestClass, and their tables of names
//   4. Hashing        StableHash, RendezvousScore
//   5. Randomness     Random
//   6. Text           ParseNumber, SplitText, TrimText, EqualsIgnoreCase

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

// Clock that keeps counting while the machine is suspended (CLOCK_BOOTTIME), so that a process that
// wakes up late sees how long it was away. Decision code takes TimePoint arguments and never reads
// it.
struct BootClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): std clock
  static time_point now();                 // NOLINT(readability-identifier-naming): std clock
};

using TimePoint = BootClock::time_point;

// Milliseconds as a floating-point number, for metrics and documents.
double ToMilliseconds(Duration duration);

// ---- 2. Names -----------------------------------------------------------------------------------

// A string that names one kind of thing; names of different kinds do not convert into each other.
template <typename Tag>
struct Name {
  std::string value;  // as published, never empty once set

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

// Number of one run of a process; a restarted process has a higher one (milliseconds since 1970 at
// start).
using Incarnation = std::uint64_t;

// ---- 3. Enumerations ----------------------------------------------------------------------------

// Says whether a request may have run on a leaf.
enum class Verdict : std::uint8_t {
  kNotRun,      // removed before the first byte was written; safe to send again
  kMayHaveRun,  // nobody can tell; must not be repeated by the system
  kRan,         // a leaf answered it
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

// Name of an enumerator in its table.
template <typename Enum, std::size_t N>
constexpr std::string_view ToName(const std::array<std::string_view, N>& names, Enum value) {
  return names[static_cast<std::size_t>(value)];
}

// Enumerator with this name, or nothing if the table does not hold it.
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

// 64-bit xxHash (XXH3) of the bytes: equal in every process and on every VM.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

// Score of a candidate for a key in rendezvous hashing; the candidate with the highest score wins.
std::uint64_t RendezvousScore(std::string_view key, std::string_view candidate);

// ---- 5. Randomness ------------------------------------------------------------------------------

// Seeded generator (SplitMix64), equal on every machine for the same seed.
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

// The number that the whole text spells in decimal digits; nothing if it is none or out of range.
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

// The pieces between the separators, empty ones too; views into `text`.
std::vector<std::string_view> SplitText(std::string_view text, char separator);

// Without spaces, tabs and line ends on both sides.
std::string_view TrimText(std::string_view text);

// Compares ASCII letters without case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

}  // namespace ibishold

#endif  // IBISHOLD_CORE_H_
