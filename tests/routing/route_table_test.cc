#include <doctest/doctest.h>

#include <map>

#include "ibishold/routing.h"

namespace ibishold {

namespace {

Route SingleRoute(std::string name, std::string host, std::string prefix) {
  return {.name = std::move(name),
          .host = std::move(host),
          .prefix = std::move(prefix),
          .targets = {{.service = ServiceName("s")}}};
}

}  // namespace

TEST_CASE("the longest prefix of a host selects the route") {
  RouteTable table;
  table.routes = {SingleRoute("short", "a.example", "/x/"),
                  SingleRoute("long", "a.example", "/x/y/"),
                  SingleRoute("other", "b.example", "/x/")};
  table.BuildIndex();
  const auto name = [&](std::string_view host, std::string_view path) {
    const Route* route = table.Find(host, path);
    return route == nullptr ? std::string() : route->name;
  };
  CHECK(name("a.example", "/x/y/z") == "long");
  CHECK(name("a.example", "/x/z") == "short");
  CHECK(name("a.example", "/x/") == "short");
  SUBCASE("a prefix matches whole path segments only") {
    CHECK(name("a.example", "/x") == "");
    CHECK(name("a.example", "/xy/") == "");
    CHECK(name("a.example", "/x/yz") == "short");
  }
  SUBCASE("the comparison ignores the case and the port of the host") {
    CHECK(name("B.Example:8080", "/x/1") == "other");
    CHECK(name("c.example", "/x/1") == "");
  }
}

TEST_CASE("a split route keeps the shares of its targets") {
  // Guards against shares that drift when one target is slow or overloaded: the choice must not
  // depend on the state of the targets.
  WeightedRoundRobin pick(7);
  const std::vector<RouteTarget> targets = {{.service = ServiceName("a"), .weight = 3},
                                            {.service = ServiceName("b"), .weight = 1}};
  std::map<std::size_t, int> counts;
  for (int i = 0; i < 400; ++i) {
    ++counts[pick.Pick(targets)];
  }
  CHECK(counts[0] >= 299);
  CHECK(counts[0] <= 301);
  SUBCASE("a change of the targets takes effect at once") {
    const std::vector<RouteTarget> changed_targets = {{.service = ServiceName("a"), .weight = 0},
                                                      {.service = ServiceName("c"), .weight = 1}};
    int to_c = 0;
    for (int i = 0; i < 100; ++i) {
      to_c += static_cast<int>(pick.Pick(changed_targets));
    }
    CHECK(to_c >= 99);
  }
}

}  // namespace ibishold
