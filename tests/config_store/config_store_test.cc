#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "ibishold/config.h"

namespace ibishold {

namespace {

Document MakeTableDocument(std::uint64_t generation, int weight, const char* state = "in") {
  return {{std::string(kTableKey), generation, 0},
          absl::StrCat(R"({"generation":)", generation,
                       R"(,"rows":[{"service":"depot-desk","data_centre":"bole","state":")", state,
                       R"(","weight":)", weight, "}]}")};
}

Document MakeVmsDocument(std::uint64_t generation) {
  return {{std::string(kVmsKey), generation, 0},
          absl::StrCat(R"({"generation":)", generation, R"(,"vms":[]})")};
}

std::uint32_t Weight(const ConfigStore& store) {
  return store.table()->rows.at(0).weight;
}

}  // namespace

TEST_CASE("ConfigStore applies only documents that supersede the one in force") {
  ConfigStore store;
  REQUIRE(store.Offer(MakeTableDocument(5, 50)) == OfferResult::kAccepted);

  SUBCASE("a document of a lower generation changes nothing") {
    // Guards against a lagging replica of the platform that reverts an accepted table.
    CHECK(store.Offer(MakeTableDocument(4, 40)) == OfferResult::kOlder);
    CHECK(Weight(store) == 50);
    CHECK_FALSE(store.ShouldFetch({std::string(kTableKey), 4, 1}));
  }
  SUBCASE("the same text again changes nothing") {
    CHECK(store.Offer(MakeTableDocument(5, 50)) == OfferResult::kKnown);
    CHECK(store.conflicts() == 0);
  }
  SUBCASE("the generation in the text counts, not the one in the digest") {
    // Guards against a wrong X-Generation header that would make all VMs refuse later documents
    // because of its high number.
    Document document = MakeTableDocument(4, 40);
    document.digest.generation = 900;
    CHECK(store.Offer(document) == OfferResult::kOlder);
    document = MakeTableDocument(6, 60);
    document.digest.generation = 900;
    CHECK(store.Offer(document) == OfferResult::kAccepted);
    CHECK(store.Find(kTableKey)->digest.generation == 6);
  }
  SUBCASE("each key has its own generation, and unknown keys are refused") {
    CHECK(store.Offer(MakeVmsDocument(1)) == OfferResult::kAccepted);
    CHECK(store.digests().size() == 2);
    CHECK(store.Offer({{"rows", 9, 0}, "{}"}) == OfferResult::kInvalid);
  }
}

TEST_CASE("a newer table from a peer replaces the table of a stale platform") {
  ConfigStore store;
  REQUIRE(store.Offer(MakeTableDocument(3, 30)) == OfferResult::kAccepted);
  // A VM that restarts reads an old table from a stale platform. A peer's newer table replaces it,
  // and a later read of the platform does not revert that.
  CHECK(store.ShouldFetch({std::string(kTableKey), 7, 1}));
  CHECK(store.Offer(MakeTableDocument(7, 70)) == OfferResult::kAccepted);
  CHECK(store.Offer(MakeTableDocument(3, 30)) == OfferResult::kOlder);
  CHECK(Weight(store) == 70);
}

TEST_CASE("of two tables with the same generation, all VMs keep the same one") {
  // Two operators publish the same generation. Guards against a fleet in which some VMs keep one
  // table and some the other.
  const Document first = MakeTableDocument(5, 10);
  const Document second = MakeTableDocument(5, 90);
  const bool first_wins = StableHash(first.text) < StableHash(second.text);
  const std::uint32_t expected = first_wins ? 10 : 90;
  ConfigStore first_store;
  first_store.Offer(first);
  const OfferResult result_at_first = first_store.Offer(second);
  ConfigStore second_store;
  second_store.Offer(second);
  const OfferResult result_at_second = second_store.Offer(first);
  CHECK(Weight(first_store) == expected);
  CHECK(Weight(second_store) == expected);
  CHECK(first_store.conflicts() == 1);
  CHECK(second_store.conflicts() == 1);
  CHECK(result_at_first ==
        (first_wins ? OfferResult::kConflictKept : OfferResult::kConflictApplied));
  CHECK(result_at_second ==
        (first_wins ? OfferResult::kConflictApplied : OfferResult::kConflictKept));
}

TEST_CASE("an invalid document is refused as a whole and recorded") {
  ConfigStore store;
  store.Offer(MakeTableDocument(5, 50));
  const Document invalid = MakeTableDocument(6, 120);
  CHECK(store.Offer(invalid) == OfferResult::kInvalid);
  CHECK(Weight(store) == 50);
  REQUIRE(store.refused().size() == 1);
  CHECK(store.refused().front().reason.find("rows[0].weight: 120") != std::string::npos);
  // Guards against fetching a refused text again from every peer.
  CHECK_FALSE(store.ShouldFetch({std::string(kTableKey), 6, StableHash(invalid.text)}));
  CHECK(store.Offer(invalid) == OfferResult::kInvalid);
  CHECK(store.refused().size() == 1);
  // A corrected text may reuse the generation, because the refused one was never in force.
  CHECK(store.Offer(MakeTableDocument(6, 60)) == OfferResult::kAccepted);
  for (int i = 0; i < 100; ++i) {
    store.Offer(MakeTableDocument(7, 200 + i));
  }
  CHECK(store.refused().size() == 16);
}

TEST_CASE("the documents in force don't depend on the order of offers and are never reverted") {
  // Guards against an acceptance rule whose result depends on which peer or replica answers first.
  std::vector<Document> documents;
  for (std::uint64_t generation = 1; generation <= 12; ++generation) {
    documents.push_back(MakeTableDocument(generation, static_cast<int>(generation)));
    if (generation % 3 == 0) {
      documents.push_back(MakeTableDocument(generation, 50));   // second operator
      documents.push_back(MakeTableDocument(generation, 101));  // invalid
    }
  }
  ConfigStore reference;
  for (const Document& document : documents) {
    reference.Offer(document);
  }
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    Random random(seed);
    ConfigStore store;
    Digest last;
    std::vector<Document> order = documents;
    order.insert(order.end(), documents.begin(), documents.end());
    for (std::size_t i = order.size(); i > 1; --i) {
      std::swap(order[i - 1], order[random.NextBelow(i)]);
    }
    bool reverted = false;
    for (const Document& document : order) {
      const OfferResult result = store.Offer(document);
      const Document* now = store.Find(kTableKey);
      if (now == nullptr) {
        continue;
      }
      reverted = reverted || (last.generation != 0 && Supersedes(last, now->digest));
      reverted = reverted || (Applied(result) == (now->digest == last));
      last = now->digest;
    }
    CAPTURE(seed);
    CHECK_FALSE(reverted);
    CHECK(last == reference.Find(kTableKey)->digest);
  }
}

}  // namespace ibishold
