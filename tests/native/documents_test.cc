#include <doctest/doctest.h>

#include "platform/native.h"

namespace ibishold::native {

namespace {

const std::string kRoutes =
    R"({"version":7,"routes":[)"
    R"({"name":"all","host":"Pupu76.example","prefix":"/a/","routeType":"idempotent","timeoutMs":600,)"
    R"("sloMs":60,"priority":2,"gather":["s1","s2"],"maxAttempts":2,"topK":5,"minCoverage":0.75},)"
    R"({"name":"one","host":"pupu76.example","prefix":"/b/","routeType":"non_idempotent",)"
    R"("timeoutMs":6000,"sloMs":600,"service":"s3"},)"
    R"({"name":"two","host":"pupu76.example","prefix":"/c/","routeType":"idempotent","timeoutMs":6000,)"
    R"("sloMs":600,"split":[{"service":"s3","weight":1},{"service":"s4","weight":3}]}],)"
    R"("services":[{"name":"s1","healthPath":"/health","maxConns":54,"warmupS":3.0,"rampPerS":40.0}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)"
    R"("idleTimeoutMs":15000}})";

const std::string kLeaf =
    R"({"service":"s1","address":"10.128.0.9:8080","zone":"bole","version":"v1","slots":2,)"
    R"("state":"ready","warmupLeftMs":1500,"seqNo":4,"born":1773200796040})";

}  // namespace

TEST_CASE("DecodeRoutes reads the routes that operators publish") {
  std::vector<std::string> skipped;
  const auto table = DecodeRoutes(kRoutes, skipped);
  REQUIRE(table.ok());
  CHECK(table->version == 7);
  REQUIRE(table->routes.size() == 3);
  CHECK(skipped.empty());
  const Route* all = table->Find("pupu76.example", "/a/x");
  REQUIRE(all != nullptr);
  CHECK(all->fan_out());
  CHECK(all->repeatable);
  CHECK(all->time_limit == std::chrono::milliseconds(600));
  CHECK(all->objective == std::chrono::milliseconds(60));
  CHECK(all->record_limit == 5);
  CHECK(all->min_coverage == doctest::Approx(0.75));
  CHECK_FALSE(table->Find("pupu76.example", "/b/x")->repeatable);
  CHECK(table->Find("pupu76.example", "/c/x")->targets.size() == 2);
  CHECK(table->services.at(ServiceName("s1")).connection_limit == 54);
  CHECK(table->services.at(ServiceName("s1")).warm_up_rate == 40);
  CHECK(table->limits.idle_time == std::chrono::seconds(15));
  SUBCASE("an invalid route is left out and reported, and the other routes stay valid") {
    std::string text = kRoutes;
    text.replace(text.find("non_idempotent"), 14, "sometimes");
    const auto partial = DecodeRoutes(text, skipped);
    REQUIRE(partial.ok());
    CHECK(partial->routes.size() == 2);
    REQUIRE(skipped.size() == 1);
    CHECK(skipped[0].find("sometimes") != std::string::npos);
  }
  SUBCASE("a document that cannot be read is refused as a whole") {
    CHECK_FALSE(DecodeRoutes("", skipped).ok());
    CHECK_FALSE(DecodeRoutes("[]", skipped).ok());
    CHECK_FALSE(DecodeRoutes(R"({"version":1})", skipped).ok());
    CHECK_FALSE(DecodeRoutes(R"({"routes":[]})", skipped).ok());
  }
}

TEST_CASE("DecodeLeaf reads the entry of a leaf") {
  const auto entry = DecodeLeaf(LeafId("i-1"), kLeaf, 9);
  REQUIRE(entry.ok());
  CHECK(entry->service == ServiceName("s1"));
  CHECK(entry->address == "10.128.0.9");
  CHECK(entry->port == 8080);
  CHECK(entry->data_centre == DataCentre("bole"));
  CHECK(entry->slots == 2);
  CHECK(entry->started == 1773200796040);
  CHECK(entry->warm_up_left == std::chrono::milliseconds(1500));
  SUBCASE("an entry with a missing or invalid field is refused") {
    const auto replaced = [](const std::string& from, const std::string& to) {
      std::string text = kLeaf;
      return text.replace(text.find(from), from.size(), to);
    };
    CHECK_FALSE(DecodeLeaf(LeafId("i"), replaced(R"("service":"s1",)", ""), 1).ok());
    CHECK_FALSE(DecodeLeaf(LeafId("i"), replaced(R"("ready")", R"("resting")"), 1).ok());
    CHECK_FALSE(DecodeLeaf(LeafId("i"), replaced(R"("ready")", "1"), 1).ok());
    CHECK_FALSE(DecodeLeaf(LeafId("i"), replaced("9:8080", "9"), 1).ok());
    CHECK_FALSE(DecodeLeaf(LeafId("i"), replaced(R"("slots":2)", R"("slots":"two")"), 1).ok());
    CHECK_FALSE(DecodeLeaf(LeafId("i"), "\xff\xfe", 1).ok());
  }
}

TEST_CASE("randomly damaged documents are read or refused without a crash") {
  Random random(21);
  std::vector<std::string> skipped;
  for (const std::string& text : {kRoutes, kLeaf}) {
    for (int i = 0; i < 2000; ++i) {
      std::string damaged = text;
      for (std::uint64_t flips = 1 + random.NextBelow(5); flips > 0; --flips) {
        damaged[random.NextBelow(damaged.size())] = static_cast<char>(random.NextBelow(256));
      }
      (void)DecodeRoutes(damaged, skipped).ok();
      (void)DecodeLeaf(LeafId("i"), damaged, 1).ok();
    }
  }
}

TEST_CASE("ParseDocumentKey tells the kind and name of a document") {
  CHECK(ParseDocumentKey("op/config").kind == DocumentKind::kRoutes);
  CHECK(ParseDocumentKey("op/evacuate/bole").name == "bole");
  CHECK(ParseDocumentKey("servers/i-1").kind == DocumentKind::kLeaf);
  CHECK(ParseDocumentKey("anything").kind == DocumentKind::kOther);
}

}  // namespace ibishold::native
