#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"
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

// Guards against an entry of another writer that ends the process, stops it from following the
// store, or is used with a wrapped number.
TEST_CASE("an odd entry among those of the leaves names no leaf") {
  const auto replaced = [](const std::string& from, const std::string& to) {
    std::string text = kLeaf;
    return text.replace(text.find(from), from.size(), to);
  };
  const auto is_refused = [](const std::string& text, const std::string& id = "i") {
    return !DecodeLeaf(LeafId(id), text, 1).ok();
  };
  SUBCASE("nested deeply") {
    for (const std::size_t depth : {31U, 33U, 1000U, 500000U}) {
      CAPTURE(depth);
      CHECK(is_refused(std::string(depth, '[') + std::string(depth, ']')));
      const std::string nested =
          replaced(R"("v1")", std::string(depth, '[') + std::string(depth, ']'));
      (void)DecodeLeaf(LeafId("i"), nested, 1).ok();
      std::string objects;
      for (std::size_t i = 0; i < depth; ++i) {
        objects += R"({"service":)";
      }
      CHECK(is_refused(objects));
      CHECK(is_refused(objects + "1" + std::string(depth, '}')));
    }
  }
  SUBCASE("with a number that is too large, negative or not whole") {
    for (const std::string number :
         {"-1", "-2147483649", "65536", "4294967296", "18446744073709551615",
          "18446744073709551616", "1e300", "-1e300", "1e999", "1e99999999999", "0.5"}) {
      CAPTURE(number);
      CHECK(is_refused(replaced(R"("slots":2)", absl::StrCat(R"("slots":)", number))));
    }
    for (const std::string number :
         {"-1", "9223372036854775807", "18446744073709551616", "1e300", "-1e300", "1e999"}) {
      CAPTURE(number);
      CHECK(is_refused(
          replaced(R"("warmupLeftMs":1500)", absl::StrCat(R"("warmupLeftMs":)", number))));
      CHECK(is_refused(replaced(R"("born":1773200796040)", absl::StrCat(R"("born":)", number))));
    }
  }
  SUBCASE("with an address that cannot be used") {
    for (const std::string address :
         {"10.128.0.9:0", "10.128.0.9:65536", "10.128.0.9:-1", "10.128.0.9:8080x",
          "10.128.0.9:99999999999999999999", "10.128.0.9:", ":8080", "host:8080", "10.128.0:8080",
          "10.128.0.256:8080", "[::1]:8080", "0.0.0.0:8080", ""}) {
      CAPTURE(address);
      CHECK(is_refused(replaced("10.128.0.9:8080", address)));
    }
  }
  SUBCASE("with an id that cannot stand in a header") {
    for (const std::string& id : {std::string(), std::string("i-1\r\nX: y"), std::string("i 1"),
                                  std::string("i-1\0", 4), std::string("i-\xc3\xa9")}) {
      CAPTURE(id);
      CHECK(is_refused(kLeaf, id));
    }
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
