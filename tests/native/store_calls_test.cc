#include <doctest/doctest.h>

#include "platform/native.h"

namespace ibishold::native {

TEST_CASE("answers of the store") {
  SUBCASE("a page of a list") {
    const StoreResult result =
        DecodeList({.status = 200,
                    .body = R"({"items":[{"key":"my/leader","value":"bm9kZS0x","revision":412,)"
                            R"("createRevision":412,"lease":77120}],"hasMore":true,"asOf":530})"});
    REQUIRE(result.outcome == FeedOutcome::kApplied);
    CHECK(result.page.as_of == 530);
    CHECK(result.page.more);
    REQUIRE(result.page.documents.size() == 1);
    CHECK(result.page.documents[0].value == "node-1");
  }
  SUBCASE("events of a watch") {
    const StoreResult result = DecodeWatch(
        {.status = 200,
         .body = R"({"events":[{"key":"a","value":"bm9kZS0x","revision":412},)"
                 R"({"key":"b","revision":413,"removed":true},{"broken":1},7],"asOf":413})"});
    REQUIRE(result.outcome == FeedOutcome::kApplied);
    REQUIRE(result.page.documents.size() == 2);
    CHECK(result.page.documents[1].removed);
  }
  SUBCASE("the history is gone") {
    CHECK(DecodeWatch({.status = 410}).outcome == FeedOutcome::kHistoryGone);
  }
  SUBCASE("refused") {
    CHECK(DecodeList({.status = 429}).outcome == FeedOutcome::kRefused);
    CHECK(DecodeList({.status = 503}).outcome == FeedOutcome::kRefused);
  }
  SUBCASE("unreadable") {
    for (const char* body : {"", "{", "[]", R"({"items":[]})", R"({"items":3,"asOf":1})",
                             R"({"items":[],"asOf":-4})", R"({"items":[],"asOf":"x"})"}) {
      CAPTURE(body);
      CHECK(DecodeList({.status = 200, .body = body}).outcome == FeedOutcome::kFailed);
    }
  }
}

TEST_CASE("calls to the store") {
  CHECK(ListCall("h:1", "").target == "/v1/kv-range?prefix=");
  CHECK(ListCall("h:1", "servers/i&1").target == "/v1/kv-range?prefix=&after=servers/i%261");
  CHECK(WatchCall("h:1", 7, std::chrono::seconds(30)).target ==
        "/v1/kv-watch?prefix=&after=7&waitMs=30000");
}

}  // namespace ibishold::native
