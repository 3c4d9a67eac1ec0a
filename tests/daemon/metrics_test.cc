#include <doctest/doctest.h>

#include <string>

#include "ibishold/metrics.h"

namespace ibishold {

TEST_CASE("Metrics") {
  Metrics metrics({.series_limit = 3});
  SUBCASE("a latency series exports a histogram and summarizes its values") {
    Latency& latency = metrics.AddLatency("query_seconds", "Latency", {{"tenant", "a"}});
    for (int i = 1; i <= 100; ++i) {
      latency.Record(std::chrono::milliseconds(i));
    }
    CHECK(latency.Summarize().count == 100);
    CHECK(latency.Summarize().p50_ms == doctest::Approx(50).epsilon(0.1));
    CHECK(metrics.SerializeText().find("query_seconds_bucket{tenant=\"a\",le=\"0.0005\"} 0") !=
          std::string::npos);
  }
  SUBCASE("tenant names beyond the series limit share one series, which bounds memory") {
    for (int i = 0; i < 1000; ++i) {
      metrics.AddCounter("queries", "Queries", {{"tenant", "t" + std::to_string(i)}}).Add();
    }
    CHECK(metrics.AddCounter("queries", "Queries", {{"tenant", "t999"}}).Value() == 997);
  }
}

}  // namespace ibishold
