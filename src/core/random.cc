#include <cassert>

#include "ibishold/core.h"

namespace ibishold {

std::uint64_t Random::Next() {
  this->state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = this->state;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

std::uint64_t Random::NextBelow(std::uint64_t bound) {
  assert(bound > 0 && "Random::NextBelow needs a positive bound");
  return static_cast<std::uint64_t>((static_cast<unsigned __int128>(this->Next()) * bound) >> 64);
}

double Random::NextFraction() {
  return static_cast<double>(this->Next() >> 11) * 0x1.0p-53;
}

Duration Random::ApplyJitter(Duration base, double share) {
  const double factor = 1.0 - share + 2.0 * share * this->NextFraction();
  return Duration(static_cast<Duration::rep>(static_cast<double>(base.count()) * factor));
}

}  // namespace ibishold
