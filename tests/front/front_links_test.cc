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
using testing::BlockingHttpClient;
using testing::HttpAnswer;

namespace {

constexpr std::uint16_t kHttpPort = 18280;
const std::string kExecutePath = "/v1/services/stock/execute";
const std::string kExecuteBody = R"({"key":5,"operation":{"add":1}})";

FrontProcessOptions MakeOptions(int vm_index) {
  FrontProcessOptions options;
  options.address = absl::StrCat("127.10.3.", vm_index + 1);
  options.ports.front_http = kHttpPort;
  options.ports.front_link = 18281;
  options.ports.broker_link = 18290;
  options.incarnation = 100 + vm_index;
  options.view_interval = std::chrono::milliseconds(20);
  options.stop_lag = std::chrono::milliseconds(200);
  options.core.vm = VmId(absl::StrCat("vm-", vm_index));
  options.core.data_centre = DataCentre(absl::StrCat("dc-", vm_index));
  options.core.incarnation = options.incarnation;
  options.link.vm = options.core.vm;
  options.link.incarnation = options.incarnation;
  options.caller.request_id_prefix = options.core.vm.value;
  return options;
}

template <typename Condition>
bool WaitFor(const Condition& condition) {
  for (int i = 0; i < 5000; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return false;
}

HttpAnswer SendExecute(BlockingHttpClient& caller, const std::string& token) {
  std::map<std::string, std::string> headers = {{"X-Deadline-Ms", "2000"}};
  if (!token.empty()) {
    headers["Idempotency-Key"] = token;
  }
  return caller.Post(kExecutePath, kExecuteBody, headers);
}

std::string ReadVerdictName(const HttpAnswer& answer) {
  return std::string(json::parse(answer.body).at("verdict").as_string());
}

}  // namespace

TEST_CASE("two fronts run a request with a token at most once") {
  ControlView view = testing::MakeSendableView({});
  view.vms = testing::MakeVms({}, "127.10.3.");
  view.documents.back().text = ToJson(*view.vms);
  view.documents.back().digest.hash = StableHash(view.documents.back().text);
  testing::ScriptedBroker first_broker(VmId("vm-0"), view);
  testing::ScriptedBroker second_broker(VmId("vm-1"), view);
  REQUIRE(first_broker.Start("127.10.3.1", 18290).ok());
  REQUIRE(second_broker.Start("127.10.3.2", 18290).ok());
  Metrics home_front_metrics;
  Metrics entry_front_metrics;
  auto home_front = std::make_unique<FrontProcess>(MakeOptions(0), home_front_metrics);
  FrontProcess entry_front(MakeOptions(1), entry_front_metrics);
  REQUIRE(home_front->Start().ok());
  REQUIRE(entry_front.Start().ok());
  REQUIRE(WaitFor([&] { return home_front->ready() && entry_front.ready(); }));
  BlockingHttpClient home_client("127.10.3.1", kHttpPort);
  BlockingHttpClient entry_client("127.10.3.2", kHttpPort);

  const HttpAnswer token_answer = SendExecute(home_client, "");
  REQUIRE(token_answer.status == 428);
  CHECK(ReadVerdictName(token_answer) == "not_run");
  const std::string token = token_answer.headers.at("Idempotency-Key");

  SUBCASE("a front forwards the request to the home, which runs it once") {
    const HttpAnswer entry_answer = SendExecute(entry_client, token);
    CHECK(entry_answer.status == 200);
    CHECK(ReadVerdictName(entry_answer) == "ran");
    CHECK(json::parse(entry_answer.body).at("records").as_array().size() == 1);
    CHECK(SendExecute(home_client, token).status == 200);
    CHECK(SendExecute(entry_client, token).status == 200);
    CHECK(first_broker.execute_count + second_broker.execute_count == 1);
  }
  SUBCASE("a planned stop hands the tokens over and no request runs twice") {
    const std::string unused_token = SendExecute(home_client, "").headers.at("Idempotency-Key");
    CHECK(SendExecute(home_client, token).status == 200);
    home_front->BeginStop();
    REQUIRE(WaitFor([&] { return home_front->stopped().load(); }));
    home_front.reset();
    CHECK(SendExecute(entry_client, token).status == 200);
    CHECK(first_broker.execute_count + second_broker.execute_count == 1);
    CHECK(SendExecute(entry_client, unused_token).status == 200);
    CHECK(first_broker.execute_count + second_broker.execute_count == 2);
    CHECK(WaitFor([&] { return second_broker.reported_run_count == 1; }));
  }
  SUBCASE("two fronts that stop at the same time do not wait for each other") {
    // Guards against stops that last until stop_limit. Each front is the successor of the other and
    // rejects its tokens, because it has already handed over its own.
    home_front->BeginStop();
    entry_front.BeginStop();
    CHECK(WaitFor([&] { return home_front->stopped().load() && entry_front.stopped().load(); }));
  }
  SUBCASE("may_have_run and no run if the home stopped without a hand-over") {
    home_front.reset();
    const HttpAnswer answer = SendExecute(entry_client, token);
    CHECK(ReadVerdictName(answer) == "may_have_run");
    CHECK(first_broker.execute_count + second_broker.execute_count == 0);
  }
  SUBCASE("not_run if the broker confirms the removal, and the token can be used again") {
    first_broker.drop_leaf_requests = true;
    second_broker.drop_leaf_requests = true;
    first_broker.confirm_removals = true;
    second_broker.confirm_removals = true;
    const HttpAnswer answer = home_client.Post(
        kExecutePath, kExecuteBody, {{"X-Deadline-Ms", "300"}, {"Idempotency-Key", token}});
    CHECK(answer.status == 504);
    CHECK(ReadVerdictName(answer) == "not_run");
    first_broker.drop_leaf_requests = false;
    second_broker.drop_leaf_requests = false;
    CHECK(SendExecute(home_client, token).status == 200);
  }
  SUBCASE("may_have_run and no second run if the broker does not confirm the removal") {
    first_broker.drop_leaf_requests = true;
    second_broker.drop_leaf_requests = true;
    const HttpAnswer answer = home_client.Post(
        kExecutePath, kExecuteBody, {{"X-Deadline-Ms", "300"}, {"Idempotency-Key", token}});
    CHECK(answer.status == 504);
    CHECK(ReadVerdictName(answer) == "may_have_run");
    first_broker.drop_leaf_requests = false;
    second_broker.drop_leaf_requests = false;
    CHECK(ReadVerdictName(SendExecute(home_client, token)) == "may_have_run");
    CHECK(first_broker.execute_count + second_broker.execute_count == 1);
  }
}

}  // namespace ibishold
