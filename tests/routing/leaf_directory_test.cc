#include <doctest/doctest.h>

#include "ibishold/routing.h"

namespace ibishold {

namespace {

using std::chrono::milliseconds;

LeafEntry Entry(const char* id, std::uint64_t revision, LeafState state = LeafState::kReady) {
  return {.id = LeafId(id),
          .service = ServiceName("shard-1"),
          .address = "10.0.0.1",
          .port = 80,
          .data_centre = DataCentre("east"),
          .state = state,
          .started = 1,
          .revision = revision};
}

}  // namespace

TEST_CASE("which leaves receive new work") {
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  const ServiceName service("shard-1");
  LeafDirectory directory;
  directory.Put(Entry("a", 10), start);
  directory.Put(Entry("b", 11), start);
  CHECK(directory.UsableLeaves(service).size() == 2);

  SUBCASE("a draining leaf receives none") {
    CHECK(directory.Put(Entry("a", 12, LeafState::kDraining), start).change ==
          DirectoryChange::kDraining);
    CHECK(directory.UsableLeaves(service).size() == 1);
    SUBCASE("an older entry does not make it usable again") {
      CHECK(directory.Put(Entry("a", 11), start).change == DirectoryChange::kUnchanged);
      CHECK(directory.UsableLeaves(service).size() == 1);
    }
  }
  SUBCASE("an evacuated data centre receives none until the evacuation ends") {
    directory.SetEvacuated({"east"});
    CHECK(directory.UsableLeaves(service).empty());
    directory.SetEvacuated({});
    CHECK(directory.UsableLeaves(service).size() == 2);
  }
  SUBCASE("a removed leaf receives none") {
    CHECK(directory.Remove(LeafId("a"), 12, start).change == DirectoryChange::kRemoved);
    CHECK(directory.UsableLeaves(service).size() == 1);
  }
  SUBCASE("a leaf that restarts with the same id is reported as restarted") {
    LeafEntry again = Entry("a", 12);
    again.started = 2;
    CHECK(directory.Put(again, start).change == DirectoryChange::kRestarted);
  }
  SUBCASE("a removal while the store is failing is deferred") {
    // Guards against shards without leaves after an outage: entries expire while the store is
    // unreachable and are back within 2 s of its return.
    directory.OnSourceFailure(start);
    const TimePoint back = start + milliseconds(500);
    CHECK(directory.Remove(LeafId("a"), 12, back).change == DirectoryChange::kRemovalDeferred);
    CHECK(directory.UsableLeaves(service).size() == 2);
    SUBCASE("the leaf registers again and is kept") {
      CHECK(directory.Put(Entry("a", 13), back + milliseconds(900)).change ==
            DirectoryChange::kRemovalCancelled);
      CHECK(directory.ApplyDeferredRemovals(back + std::chrono::seconds(5)).empty());
      CHECK(directory.UsableLeaves(service).size() == 2);
    }
    SUBCASE("the leaf does not register again and is removed after the delay") {
      CHECK(directory.ApplyDeferredRemovals(back + milliseconds(1900)).empty());
      CHECK(directory.ApplyDeferredRemovals(back + milliseconds(2500)).size() == 1);
      CHECK(directory.UsableLeaves(service).size() == 1);
    }
    SUBCASE("a draining leaf is removed at once") {
      directory.Put(Entry("b", 14, LeafState::kDraining), back);
      CHECK(directory.Remove(LeafId("b"), 15, back).change == DirectoryChange::kRemoved);
    }
  }
  SUBCASE("a complete list removes the leaves that it does not contain") {
    CHECK(directory.ReplaceAll({Entry("b", 11)}, 20, start).size() == 1);
    CHECK(directory.Find(LeafId("a")) == nullptr);
  }
}

}  // namespace ibishold
