#include <doctest/doctest.h>

#include <boost/json.hpp>
#include <chrono>
#include <memory>
#include <thread>

#include "ibishold/front_process.h"
#include "tests/front/caller_http.h"
#include "tests/front/front_documents.h"
#include "tests/front/scripted_broker.h"

namespace ibishold {

namespace json = boost::json;
using testing::CallerHttp;
using testing::HttpAnswer;

namespace {

constexpr std::uint16_t kHttp = 18280;
const std::string kPath = "/v1/services/stock/execute";
const std::string kBody = R"({"key":5,"operation":{"add":1}})";

FrontProcessOptions MakeOptions(int number) {
  FrontProcessOptions options;
  options.address = absl::StrCat("127.10.3.", number + 1);
  options.ports.front_http = kHttp;
  options.ports.front_link = 18281;
  options.ports.broker_link = 18290;
  options.incarnation = 100 + number;
  options.view_interval = std::chrono::milliseconds(20);
  options.stop_lag = std::chrono::milliseconds(200);
  options.core.vm = VmId(absl::StrCat("vm-", number));
  options.core.data_centre = DataCentre(absl::StrCat("dc-", number));
  options.core.incarnation = options.incarnation;
  options.link.vm = options.core.vm;
  options.link.incarnation = options.incarnation;
  options.caller.name = options.core.vm.value;
  return options;
}

template <typename Condition>
bool Eventually(const Condition& condition) {
  for (int i = 0; i < 5000; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return false;
}

HttpAnswer Execute(CallerHttp& caller, const std::string& token) {
  std::map<std::string, std::string> headers = {{"X-Deadline-Ms", "2000"}};
  if (!token.empty()) {
    headers["Idempotency-Key"] = token;
  }
  return caller.Post(kPath, kBody, headers);
}

std::string VerdictOf(const HttpAnswer& answer) {
  return std::string(json::parse(answer.body).at("verdict").as_string());
}

}  // namespace

TEST_CASE("tokens over real links between two fronts") {
  ControlView view = testing::MakeSendableView({});
  view.vms = testing::MakeVms({}, "127.10.3.");
  view.documents.back().text = ToJson(*view.vms);
  view.documents.back().digest.hash = StableHash(view.documents.back().text);
  testing::ScriptedBroker first(VmId("vm-0"), view);
  testing::ScriptedBroker second(VmId("vm-1"), view);
  REQUIRE(first.Start("127.10.3.1", 18290).ok());
  REQUIRE(second.Start("127.10.3.2", 18290).ok());
  Metrics home_metrics;
  Metrics entry_metrics;
  auto home = std::make_unique<FrontProcess>(MakeOptions(0), home_metrics);
  FrontProcess entry(MakeOptions(1), entry_metrics);
  REQUIRE(home->Start().ok());
  REQUIRE(entry.Start().ok());
  REQUIRE(Eventually([&] { return home->ready() && entry.ready(); }));
  CallerHttp to_home("127.10.3.1", kHttp);
  CallerHttp to_entry("127.10.3.2", kHttp);

  const HttpAnswer asked = Execute(to_home, "");
  REQUIRE(asked.status == 428);
  CHECK(VerdictOf(asked) == "not_run");
  const std::string token = asked.headers.at("Idempotency-Key");

  SUBCASE("any front passes the request to the home, which runs it once") {
    const HttpAnswer one = Execute(to_entry, token);
    CHECK(one.status == 200);
    CHECK(VerdictOf(one) == "ran");
    CHECK(json::parse(one.body).at("records").as_array().size() == 1);
    CHECK(Execute(to_home, token).status == 200);
    CHECK(Execute(to_entry, token).status == 200);
    CHECK(first.executes + second.executes == 1);
  }
  SUBCASE("a planned stop hands the tokens over; none runs twice") {
    const std::string unused = Execute(to_home, "").headers.at("Idempotency-Key");
    CHECK(Execute(to_home, token).status == 200);
    home->BeginStop();
    REQUIRE(Eventually([&] { return home->stopped().load(); }));
    home.reset();
    CHECK(Execute(to_entry, token).status == 200);
    CHECK(first.executes + second.executes == 1);
    CHECK(Execute(to_entry, unused).status == 200);
    CHECK(first.executes + second.executes == 2);
    CHECK(Eventually([&] { return second.reported_runs == 1; }));
  }
  SUBCASE("two fronts that stop at the same time do not wait for each other") {
    // Guards against stops that last until the hard limit: each front is the other's successor and
    // refuses its tokens, because it has handed over its own.
    home->BeginStop();
    entry.BeginStop();
    CHECK(Eventually([&] { return home->stopped().load() && entry.stopped().load(); }));
  }
  SUBCASE("after a home that was lost without a hand-over, it may have run and does not run") {
    home.reset();
    const HttpAnswer answer = Execute(to_entry, token);
    CHECK(VerdictOf(answer) == "may_have_run");
    CHECK(first.executes + second.executes == 0);
  }
  SUBCASE("a removal that the broker confirms is not_run, over the links") {
    first.silent = true;
    second.silent = true;
    first.cancel_removes = true;
    second.cancel_removes = true;
    const HttpAnswer answer =
        to_home.Post(kPath, kBody, {{"X-Deadline-Ms", "300"}, {"Idempotency-Key", token}});
    CHECK(answer.status == 504);
    CHECK(VerdictOf(answer) == "not_run");
    first.silent = false;
    second.silent = false;
    CHECK(Execute(to_home, token).status == 200);
  }
  SUBCASE("without the confirmation it may have run, and is not sent again") {
    first.silent = true;
    second.silent = true;
    const HttpAnswer answer =
        to_home.Post(kPath, kBody, {{"X-Deadline-Ms", "300"}, {"Idempotency-Key", token}});
    CHECK(answer.status == 504);
    CHECK(VerdictOf(answer) == "may_have_run");
    first.silent = false;
    second.silent = false;
    CHECK(VerdictOf(Execute(to_home, token)) == "may_have_run");
    CHECK(first.executes + second.executes == 1);
  }
}

}  // namespace ibishold
