#include <doctest/doctest.h>

#include <string>

#include "ibishold/idempotency.h"

namespace ibishold {

TEST_CASE("a token is formatted and parsed") {
  const Token token{.home = {.vm = VmId("bole.vm/7"), .incarnation = 1'790'000'000'123},
                    .sequence = 42,
                    .expiry_ms = 987'654};
  const std::string token_text = FormatToken(token);

  SUBCASE("ParseToken returns the formatted token") {
    const auto parsed_token = ParseToken(token_text);
    REQUIRE(parsed_token.ok());
    CHECK(*parsed_token == token);
    CHECK(token_text.find_first_of(" \r\n,;\"") == std::string::npos);
  }
  SUBCASE("a text with a changed, removed or added character is rejected") {
    // Guards against mistaking a corrupted token for the token of another request, which would
    // replay the wrong result or dispatch a request twice.
    for (std::size_t i = 0; i < token_text.size(); ++i) {
      for (int replacement = 0; replacement < 256; ++replacement) {
        std::string changed_text = token_text;
        changed_text[i] = static_cast<char>(replacement);
        CHECK_MESSAGE((changed_text == token_text || !ParseToken(changed_text).ok()), "position ",
                      i);
      }
      std::string shortened_text = token_text;
      shortened_text.erase(i, 1);
      CHECK_FALSE(ParseToken(shortened_text).ok());
      std::string lengthened_text = token_text;
      lengthened_text.insert(i, 1, '0');
      CHECK_FALSE(ParseToken(lengthened_text).ok());
    }
  }
  SUBCASE("random texts are rejected without a crash") {
    Random random(20261);
    for (int i = 0; i < 20'000; ++i) {
      std::string random_text = i % 2 == 0 ? token_text : std::string();
      const std::uint64_t insertion_count = 1 + random.NextBelow(40);
      for (std::uint64_t insertion = 0; insertion < insertion_count; ++insertion) {
        const std::size_t position = random.NextBelow(random_text.size() + 1);
        random_text.insert(position, 1, static_cast<char>(random.NextBelow(256)));
      }
      CHECK_FALSE(ParseToken(random_text).ok());
    }
    CHECK_FALSE(ParseToken(std::string(1'000'000, '.')).ok());
    CHECK_FALSE(ParseToken("").ok());
  }
}

}  // namespace ibishold
