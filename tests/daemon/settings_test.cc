#include <doctest/doctest.h>

#include <string>

#include "ibishold/daemon.h"

namespace ibishold {

namespace {

constexpr const char* kMinimalSettings =
    R"({"vm":"vm-01","data_centre":"bole","address":"127.0.0.1",
  "platform":{"address":"127.0.0.2"})";

std::string GetParseError(const std::string& extra_keys) {
  return std::string(ParseSettings(kMinimalSettings + extra_keys + "}").status().message());
}

}  // namespace

TEST_CASE("ParseSettings") {
  SUBCASE("optional keys have the documented defaults") {
    const auto settings = ParseSettings(std::string(kMinimalSettings) + "}");
    REQUIRE(settings.ok());
    CHECK(settings->ports.front_http == 8080);
    CHECK(settings->platform_port == 8500);

    SUBCASE("an unknown key is an error, so that a misspelled limit is not ignored") {
      CHECK(GetParseError(R"(,"prots":{})") == "prots: is not a known key");
      CHECK(GetParseError(R"(,"ports":{"front":1})") == "ports.front: is not a known key");
    }
    SUBCASE("the error for a value out of range names the key and the range") {
      CHECK(GetParseError(R"(,"ports":{"front_http":70000})") ==
            "ports.front_http: 70000 is outside 1..65535");
    }
    SUBCASE("a host name is an error, because VMs are addressed by IP address") {
      CHECK(ParseSettings(R"({"vm":"a","data_centre":"b","address":"localhost"})")
                .status()
                .message() == "address: must be an IP address");
    }
  }
}

}  // namespace ibishold
