#include <doctest/doctest.h>

#include <optional>

#include "edge/scripted_server.h"
#include "ibishold/platform.h"

namespace ibishold {

// Guards against a status that is neither informational nor final: 000 without a length kept a
// watch open until its timeout, and an informational reply was taken as the reply.
TEST_CASE("a watch of the platform's configuration") {
  boost::asio::io_context context;
  ScriptedServer server(context);
  PlatformClient client(context, {.port = server.endpoint().port()});
  const auto watch = [&](const std::string& bytes, const std::string& endless = "") {
    std::optional<absl::StatusOr<PlatformValue>> result;
    server.scripts = {{.bytes = bytes, .endless = endless}};
    client.Watch("k", 1, std::chrono::milliseconds(100),
                 [&](absl::StatusOr<PlatformValue> value) { result = std::move(value); });
    while (!result) {
      context.run_one();
    }
    return *result;
  };

  SUBCASE("fails at once on a status outside 200..599, or 101") {
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
      CAPTURE(status);
      CHECK(absl::IsUnavailable(watch("HTTP/1.1 " + status + " OK\r\n\r\n").status()));
    }
  }
  SUBCASE("fails at once on more informational replies than the limit") {
    CHECK(absl::IsUnavailable(watch(InformationalReplies(9)).status()));
  }
  SUBCASE("fails soon if the chunk framing of the answer does not end") {
    // Guards against a process that keeps all of it until the watch times out.
    const TimePoint start = BootClock::now();
    CHECK(absl::IsUnavailable(
        watch("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", std::string(65536, 'x'))
            .status()));
    CHECK(BootClock::now() - start < std::chrono::seconds(1));
  }
  SUBCASE("skips informational replies up to the limit") {
    const auto value = watch(InformationalReplies(8) +
                             "HTTP/1.1 200 OK\r\nX-Generation: 2\r\nContent-Length: 1\r\n\r\nv");
    REQUIRE(value.ok());
    CHECK(value->text == "v");
    CHECK(value->generation == 2);
  }
}

}  // namespace ibishold
