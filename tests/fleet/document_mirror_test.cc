#include <doctest/doctest.h>

#include "ibishold/fleet.h"

namespace ibishold {

TEST_CASE("a mirror holds the newest known state of all documents") {
  DocumentMirror mirror;
  CHECK_FALSE(mirror.initialized());
  mirror.ApplyList(
      {{.key = "a", .value = "1", .revision = 3}, {.key = "b", .value = "1", .revision = 5}}, 5);
  CHECK(mirror.size() == 2);

  SUBCASE("each change is applied once, in any order of arrival") {
    const std::vector<DocumentChange> changes = {{.key = "a", .value = "2", .revision = 6},
                                                 {.key = "b", .revision = 7, .removed = true}};
    CHECK(mirror.ApplyChanges(changes, 7).size() == 2);
    CHECK(mirror.ApplyChanges(changes, 7).empty());
    CHECK(mirror.size() == 1);
    SUBCASE("an older list does not restore a removed document") {
      CHECK(mirror.ApplyList({{.key = "b", .value = "1", .revision = 5}}, 6).empty());
      CHECK(mirror.size() == 1);
    }
    SUBCASE("an older change does not restore a removed document") {
      CHECK(mirror.ApplyChanges({{.key = "b", .value = "1", .revision = 5}}, 7).empty());
    }
  }
  SUBCASE("a list removes the documents that it does not contain") {
    const auto news = mirror.ApplyList({{.key = "a", .value = "1", .revision = 3}}, 9);
    REQUIRE(news.size() == 1);
    CHECK(news[0].removed);
    CHECK(news[0].key == "b");
  }
  SUBCASE("peers get the changes after the revision that they know") {
    mirror.ApplyChanges({{.key = "a", .value = "2", .revision = 6}}, 6);
    mirror.ApplyChanges({{.key = "c", .value = "1", .revision = 8}}, 9);
    REQUIRE(mirror.ChangesAfter(6).has_value());
    CHECK(mirror.ChangesAfter(6)->size() == 1);
    CHECK(mirror.ChangesAfter(5)->size() == 2);
    // Before the list, so the peer needs all documents.
    CHECK_FALSE(mirror.ChangesAfter(4).has_value());
  }
}

TEST_CASE("mirrors that receive the same changes in different ways agree") {
  // One VM watches the store; another one gets lists and changes late, repeated and interleaved.
  Random random(5);
  for (int round = 0; round < 40; ++round) {
    DocumentMirror source;
    DocumentMirror peer;
    source.ApplyList({}, 1);
    std::uint64_t revision = 1;
    for (int step = 0; step < 60; ++step) {
      const std::string key = "k" + std::to_string(random.NextBelow(6));
      ++revision;
      source.ApplyChanges({{.key = key,
                            .value = std::to_string(revision),
                            .revision = revision,
                            .removed = random.NextBelow(3) == 0}},
                          revision);
      if (random.NextBelow(3) == 0) {
        if (const auto changes = source.ChangesAfter(peer.as_of());
            changes && random.NextBelow(2) == 0) {
          peer.ApplyChanges(*changes, source.as_of());
        } else {
          peer.ApplyList(source.AllDocuments(), source.as_of());
        }
      }
    }
    peer.ApplyList(source.AllDocuments(), source.as_of());
    const auto expected = source.AllDocuments();
    const auto actual = peer.AllDocuments();
    REQUIRE(expected.size() == actual.size());
    for (std::size_t i = 0; i < expected.size(); ++i) {
      CHECK(expected[i].key == actual[i].key);
      CHECK(expected[i].revision == actual[i].revision);
    }
  }
}

}  // namespace ibishold
