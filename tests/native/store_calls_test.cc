#include <doctest/doctest.h>

#include "platform/native.h"

namespace ibishold::native {

TEST_CASE("answers of the store are decoded") {
  SUBCASE("a page of a list is read") {
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
  SUBCASE("the events of a watch are read and damaged ones left out") {
    const StoreResult result = DecodeWatch(
        {.status = 200,
         .body = R"({"events":[{"key":"a","value":"bm9kZS0x","revision":412},)"
                 R"({"key":"b","revision":413,"removed":true},{"broken":1},7],"asOf":413})"});
    REQUIRE(result.outcome == FeedOutcome::kApplied);
    REQUIRE(result.page.documents.size() == 2);
    CHECK(result.page.documents[1].removed);
  }
  SUBCASE("an odd item does not hide the others of its page") {
    // Guards against VMs that stop following the store because of one entry of another writer.
    const std::string nested = std::string(200, '[') + std::string(200, ']');
    for (const std::string& odd : std::initializer_list<std::string>{
             R"({"key":"servers/)" + std::string("\xff\xfe") + R"(","value":"","revision":412})",
             R"({"key":"servers/x","value":")" + std::string("\xc3") + R"(","revision":412})",
             R"({"key":"servers/x","extra":)" + nested + R"(,"revision":412})",
             R"({"key":"servers/x","revision":1e300})", R"({"key":"servers/x","lease":1e999})",
             R"({"key":"servers/x","lease":184467440737095516160000})",
             std::string(R"({"key":"servers/i-1\u0000","value":"bm9kZS0x","revision":412})")}) {
      CAPTURE(odd);
      const StoreResult result =
          DecodeWatch({.status = 200,
                       .body = R"({"events":[)" + odd +
                               R"(,{"key":"a","value":"bm9kZS0x","revision":413}],"asOf":413})"});
      REQUIRE(result.outcome == FeedOutcome::kApplied);
      REQUIRE_FALSE(result.page.documents.empty());
      CHECK(result.page.documents.back().key == "a");
    }
  }
  SUBCASE(
      "revisions are of the epoch that the store states, or of the known one if it states none") {
    const std::string body =
        R"({"items":[{"key":"a","value":"","revision":41}],"hasMore":false,"asOf":53})";
    const StoreResult stated =
        DecodeList({.status = 200, .headers = {{"store-era", "3"}}, .body = body}, 2);
    CHECK(stated.page.as_of == Revision(53, 3));
    REQUIRE(stated.page.documents.size() == 1);
    CHECK(stated.page.documents[0].revision == Revision(41, 3));
    CHECK(DecodeList({.status = 200, .body = body}, 2).page.as_of == Revision(53, 2));
    CHECK(DecodeList({.status = 200, .headers = {{"Store-Era", "-1"}}, .body = body}, 2).outcome ==
          FeedOutcome::kFailed);
  }
  SUBCASE("status 410 means that the store no longer has the history") {
    CHECK(DecodeWatch({.status = 410}).outcome == FeedOutcome::kHistoryGone);
  }
  SUBCASE("another error status means that the store refused the request") {
    CHECK(DecodeList({.status = 429}).outcome == FeedOutcome::kRefused);
    CHECK(DecodeList({.status = 503}).outcome == FeedOutcome::kRefused);
  }
  SUBCASE("an answer that cannot be read is a failure") {
    for (const char* body : {"", "{", "[]", R"({"items":[]})", R"({"items":3,"asOf":1})",
                             R"({"items":[],"asOf":-4})", R"({"items":[],"asOf":"x"})"}) {
      CAPTURE(body);
      CHECK(DecodeList({.status = 200, .body = body}).outcome == FeedOutcome::kFailed);
    }
  }
}

TEST_CASE("requests to the store have the right target") {
  CHECK(BuildListRequest("h:1", "").target == "/v1/kv-range?prefix=");
  CHECK(BuildListRequest("h:1", "servers/i&1").target ==
        "/v1/kv-range?prefix=&after=servers/i%261");
  CHECK(BuildWatchRequest("h:1", 7, std::chrono::seconds(30)).target ==
        "/v1/kv-watch?prefix=&after=7&waitMs=30000");
}

}  // namespace ibishold::native
