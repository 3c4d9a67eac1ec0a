#include <doctest/doctest.h>

#include <string>

#include "ibishold/idempotency.h"

namespace ibishold {

TEST_CASE("text form of a token") {
  const Token token{.home = {.vm = VmId("bole.vm/7"), .incarnation = 1'790'000'000'123},
                    .sequence = 42,
                    .expiry_ms = 987'654};
  const std::string text = ToText(token);

  SUBCASE("parsing gives the token back") {
    const auto parsed = ParseToken(text);
    REQUIRE(parsed.ok());
    CHECK(*parsed == token);
    CHECK(text.find_first_of(" \r\n,;\"") == std::string::npos);
  }
  SUBCASE("every changed, removed or added character is refused") {
    // Guards against a damaged token that is taken for another request's token, which would replay
    // the wrong result or dispatch a request twice.
    for (std::size_t i = 0; i < text.size(); ++i) {
      for (int replacement = 0; replacement < 256; ++replacement) {
        std::string damaged = text;
        damaged[i] = static_cast<char>(replacement);
        CHECK_MESSAGE((damaged == text || !ParseToken(damaged).ok()), "position ", i);
      }
      std::string shorter = text;
      shorter.erase(i, 1);
      CHECK_FALSE(ParseToken(shorter).ok());
      std::string longer = text;
      longer.insert(i, 1, '0');
      CHECK_FALSE(ParseToken(longer).ok());
    }
  }
  SUBCASE("seeded random texts are refused and do no harm") {
    Random random(20261);
    for (int i = 0; i < 20'000; ++i) {
      std::string noise = i % 2 == 0 ? text : std::string();
      const std::uint64_t edits = 1 + random.NextBelow(40);
      for (std::uint64_t edit = 0; edit < edits; ++edit) {
        const std::size_t position = random.NextBelow(noise.size() + 1);
        noise.insert(position, 1, static_cast<char>(random.NextBelow(256)));
      }
      CHECK_FALSE(ParseToken(noise).ok());
    }
    CHECK_FALSE(ParseToken(std::string(1'000'000, '.')).ok());
    CHECK_FALSE(ParseToken("").ok());
  }
}

}  // namespace ibishold
