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

TEST_CASE("a mirror whose store is restored from an older copy") {
  // Guards against VMs that compare revisions of different epochs: the restored store assigned
  // known numbers again, and no VM took the changes that it published under them (review/8).
  DocumentMirror mirror;
  mirror.ApplyList({{.key = "a", .value = "1", .revision = {3, 1}},
                    {.key = "b", .value = "1", .revision = {5, 1}}},
                   {5, 1});
  mirror.ApplyChanges({{.key = "a", .value = "2", .revision = {9, 1}},
                       {.key = "c", .value = "1", .revision = {10, 1}}},
                      {10, 1});
  const std::vector<DocumentChange> copy = {{.key = "a", .value = "1", .revision = {3, 2}},
                                            {.key = "b", .value = "1", .revision = {5, 2}}};
  const auto changes = mirror.ApplyList(copy, {5, 2});
  CHECK(mirror.as_of() == Revision(5, 2));

  SUBCASE("reports what the copy lacks, but not the documents that are the same") {
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].key == "a");
    CHECK(changes[0].value == "1");
    CHECK(changes[1].key == "c");
    CHECK(changes[1].removed);
    for (const DocumentChange& change : changes) {
      CHECK(change.origin == ChangeOrigin::kRestoredStore);
    }
  }
  SUBCASE("takes changes under numbers that were assigned before") {
    const auto news = mirror.ApplyChanges({{.key = "b", .value = "2", .revision = {7, 2}}}, {7, 2});
    REQUIRE(news.size() == 1);
    CHECK(news[0].origin == ChangeOrigin::kPublisher);
  }
  SUBCASE("drops lists and changes of the older epoch that arrive late, from whomever") {
    CHECK(mirror.ApplyList({{.key = "d", .value = "1", .revision = {90, 1}}}, {99, 1}).empty());
    CHECK(mirror.ApplyChanges({{.key = "d", .value = "1", .revision = {90, 1}}}, {99, 1}).empty());
    CHECK(mirror.size() == 2);
  }
  SUBCASE("does not apply changes of a newer epoch without its complete list") {
    CHECK(mirror.ApplyChanges({{.key = "b", .value = "3", .revision = {9, 3}}}, {9, 3}).empty());
    CHECK(mirror.as_of() == Revision(5, 2));
  }
  SUBCASE("hands all documents to a peer that still has the older epoch") {
    CHECK_FALSE(mirror.ChangesAfter({10, 1}).has_value());
    DocumentMirror peer;
    peer.ApplyList({{.key = "c", .value = "1", .revision = {10, 1}}}, {10, 1});
    CHECK(peer.ApplyList(mirror.AllDocuments(), mirror.as_of()).size() == 3);
    CHECK(peer.size() == 2);
  }
  SUBCASE("can be restored once more") {
    mirror.ApplyChanges({{.key = "a", .value = "2", .revision = {6, 2}}}, {6, 2});
    CHECK(mirror.ApplyList({{.key = "a", .value = "1", .revision = {3, 3}}}, {4, 3}).size() == 2);
    CHECK(mirror.as_of() == Revision(4, 3));
  }
}

}  // namespace ibishold
