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
    directory.BeginEvacuation(DataCentre("east"));
    CHECK(directory.UsableLeaves(service).empty());
    CHECK(directory.EndEvacuation(DataCentre("east"), start));
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
      CHECK(directory.ApplyDeferredChanges(back + std::chrono::seconds(5)).empty());
      CHECK(directory.UsableLeaves(service).size() == 2);
    }
    SUBCASE("the leaf does not register again and is removed after the delay") {
      CHECK(directory.ApplyDeferredChanges(back + milliseconds(1900)).empty());
      CHECK(directory.ApplyDeferredChanges(back + milliseconds(2500)).size() == 1);
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

TEST_CASE("leaves whose entries are read from a store that was restored from an older copy") {
  // Guards against leaves that are used again after they left, and shards without leaves, because
  // the store lost what the leaves wrote last.
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  const ChangeOrigin restored = ChangeOrigin::kRestoredStore;
  const ServiceName service("shard-1");
  const auto entry = [](const char* id, Revision revision, std::uint64_t sequence,
                        LeafState state = LeafState::kReady) {
    LeafEntry leaf = Entry(id, 0, state);
    leaf.revision = revision;
    leaf.sequence = sequence;
    return leaf;
  };
  LeafDirectory directory;
  directory.Put(entry("a", {10, 1}, 4), start);
  directory.Put(entry("b", {11, 1}, 4), start);

  SUBCASE("an entry that the copy lacks stays until the leaf had time to write again") {
    CHECK(directory.Remove(LeafId("a"), {8, 2}, start, restored).change ==
          DirectoryChange::kRemovalDeferred);
    CHECK(directory.UsableLeaves(service).size() == 2);
    SUBCASE("and is kept if the leaf does") {
      CHECK(directory.Put(entry("a", {9, 2}, 5), start + milliseconds(1200)).change ==
            DirectoryChange::kRemovalCancelled);
      CHECK(directory.ApplyDeferredChanges(start + std::chrono::seconds(20)).empty());
    }
    SUBCASE("and is removed if the leaf does not") {
      CHECK(directory.ApplyDeferredChanges(start + std::chrono::seconds(5)).empty());
      CHECK(directory.ApplyDeferredChanges(start + std::chrono::seconds(7)).size() == 1);
      CHECK(directory.UsableLeaves(service).size() == 1);
    }
    SUBCASE("and is removed at once if the entry is removed in the new epoch") {
      CHECK(directory.Remove(LeafId("a"), {9, 2}, start).change == DirectoryChange::kRemoved);
    }
    SUBCASE("and is kept if the next copy has it") {
      CHECK(directory.Put(entry("a", {6, 3}, 4), start, restored).change ==
            DirectoryChange::kUpdateDeferred);
      directory.ApplyDeferredChanges(start + std::chrono::seconds(7));
      CHECK(directory.UsableLeaves(service).size() == 2);
    }
  }
  SUBCASE("a draining leaf does not become ready by what it stated before") {
    directory.Put(entry("a", {12, 1}, 7, LeafState::kDraining), start);
    CHECK(directory.Put(entry("a", {10, 2}, 4), start, restored).change ==
          DirectoryChange::kUpdateDeferred);
    CHECK(directory.UsableLeaves(service).size() == 1);
    SUBCASE("even if it stops before it writes again") {
      CHECK(directory.Remove(LeafId("a"), {14, 2}, start + std::chrono::seconds(4)).change ==
            DirectoryChange::kRemoved);
      CHECK(directory.ApplyDeferredChanges(start + std::chrono::seconds(20)).empty());
    }
    SUBCASE("but does if it is still published after that time") {
      directory.ApplyDeferredChanges(start + std::chrono::seconds(7));
      CHECK(directory.UsableLeaves(service).size() == 2);
    }
    SUBCASE("but does at once by a later statement") {
      CHECK(directory.Put(entry("a", {11, 2}, 8), start, restored).change ==
            DirectoryChange::kReady);
    }
  }
  SUBCASE("a removed leaf is not added by what it stated before") {
    directory.Remove(LeafId("a"), {12, 1}, start);
    CHECK(directory.Put(entry("a", {10, 2}, 4), start + std::chrono::seconds(3), restored).change ==
          DirectoryChange::kUpdateDeferred);
    CHECK(directory.UsableLeaves(service).size() == 1);
    SUBCASE("but by a new run") {
      LeafEntry again = entry("a", {11, 2}, 1);
      again.started = 2;
      CHECK(directory.Put(again, start + std::chrono::seconds(4), restored).change ==
            DirectoryChange::kAdded);
    }
  }
  SUBCASE("a leaf that drains in the copy drains at once") {
    CHECK(directory.Put(entry("a", {10, 2}, 4, LeafState::kDraining), start, restored).change ==
          DirectoryChange::kDraining);
  }
  SUBCASE("an evacuation that the copy lacks ends only when the operator had time to repeat it") {
    const DataCentre east("east");
    directory.BeginEvacuation(east);
    CHECK_FALSE(directory.EndEvacuation(east, start, restored));
    CHECK(directory.ApplyDeferredEvacuationEnds(start + std::chrono::seconds(5)).empty());
    CHECK(directory.evacuated(east));
    SUBCASE("stays if it is repeated") {
      directory.BeginEvacuation(east);
      CHECK(directory.ApplyDeferredEvacuationEnds(start + std::chrono::seconds(20)).empty());
    }
    SUBCASE("ends if it is not") {
      CHECK(directory.ApplyDeferredEvacuationEnds(start + std::chrono::seconds(7)).size() == 1);
      CHECK_FALSE(directory.evacuated(east));
    }
    SUBCASE("ends at once if the operator ends it in the new epoch") {
      CHECK(directory.EndEvacuation(east, start));
      CHECK_FALSE(directory.evacuated(east));
    }
  }
}

}  // namespace ibishold
