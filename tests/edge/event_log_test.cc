#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <boost/json/parse.hpp>
#include <sstream>

#include "ibishold/edge.h"

namespace ibishold {

namespace {

std::string ReadAll(int descriptor) {
  std::string text;
  std::array<char, 65536> buffer{};
  for (;;) {
    const ssize_t bytes = read(descriptor, buffer.data(), buffer.size());
    if (bytes <= 0) {
      return text;
    }
    text.append(buffer.data(), static_cast<std::size_t>(bytes));
  }
}

}  // namespace

TEST_CASE("the event log") {
  std::array<int, 2> pipe_ends{};
  REQUIRE(pipe(pipe_ends.data()) == 0);
  fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
  boost::asio::io_context context;

  SUBCASE("each line is a JSON object, whatever characters the values contain") {
    EventLog log(context, {}, pipe_ends[1]);
    log.Write("call", {{"request", "a\"b\n"}, {"status", "200"}});
    log.Flush();
    std::istringstream lines(ReadAll(pipe_ends[0]));
    std::string line;
    REQUIRE(std::getline(lines, line));
    const auto object = boost::json::parse(line).as_object();
    CHECK(object.at("event") == "call");
    CHECK(object.at("request") == "a\"b\n");
    CHECK(object.contains("time_ms"));
  }
  SUBCASE("lines above the rate limit are dropped and counted") {
    EventLog log(context, {.lines_per_second = 5}, pipe_ends[1]);
    for (int i = 0; i < 50; ++i) {
      log.Write("call", {});
    }
    CHECK(log.dropped() >= 40);
    log.WriteUnthrottled("stop", {});
    log.Flush();
    const std::string text = ReadAll(pipe_ends[0]);
    CHECK(text.find("log_dropped") != std::string::npos);
    CHECK(text.find("stop") != std::string::npos);
  }
  SUBCASE("a full output pipe does not block the writer") {
    // Guards against a process that stops serving because nobody reads its standard output.
    EventLog log(context, {.buffer_limit = 64U << 10U, .lines_per_second = 1000000}, pipe_ends[1]);
    const std::string value(1000, 'x');
    for (int i = 0; i < 2000; ++i) {
      log.Write("call", {{"value", value}});
      if (i % 20 == 0) {
        log.Flush();
      }
    }
    CHECK(log.dropped() > 1000);
  }
  close(pipe_ends[0]);
  close(pipe_ends[1]);
}

}  // namespace ibishold
