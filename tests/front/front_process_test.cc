#include <doctest/doctest.h>

#include <boost/json.hpp>
#include <chrono>
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

constexpr std::uint16_t kHttpPort = 18080;

FrontProcessOptions MakeOptions() {
  FrontProcessOptions options;
  options.address = "127.10.1.1";
  options.ports.front_http = kHttpPort;
  options.ports.front_link = 18081;
  options.ports.broker_link = 18090;
  options.incarnation = 1;
  options.view_interval = std::chrono::milliseconds(20);
  options.stop_lag = std::chrono::milliseconds(300);
  options.core.vm = VmId("vm-0");
  options.core.data_centre = DataCentre("dc-0");
  options.link.vm = VmId("vm-0");
  options.link.incarnation = 1;
  options.caller.request_id_prefix = "vm-0-1";
  return options;
}

template <typename Condition>
bool WaitFor(const Condition& condition, int limit_ms = 3000) {
  for (int i = 0; i < limit_ms; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return false;
}

const std::map<std::string, std::string> kRequestHeaders = {{"X-Deadline-Ms", "1000"},
                                                            {"X-Tenant", "desk"},
                                                            {"X-Class", "interactive"}};

}  // namespace

TEST_CASE("a front answers queries through two brokers") {
  const ControlView view = testing::MakeSendableView({});
  testing::ScriptedBroker first_broker(VmId("vm-0"), view);
  testing::ScriptedBroker second_broker(VmId("vm-1"), view);
  REQUIRE(first_broker.Start("127.10.1.1", 18090).ok());
  REQUIRE(second_broker.Start("127.10.1.2", 18090).ok());
  Metrics metrics;
  FrontProcess front(MakeOptions(), metrics);
  REQUIRE(front.Start().ok());
  REQUIRE(WaitFor([&] { return front.ready(); }));

  BlockingHttpClient caller("127.10.1.1", kHttpPort);
  SUBCASE("the answer holds one record per shard, the snapshot and the coverage") {
    // Guards against records or shards that are missing from the answer although every leaf
    // answered.
    const HttpAnswer answer =
        caller.Post("/v1/services/stock/query", R"({"query":{"term":"a"}})", kRequestHeaders);
    REQUIRE(answer.status == 200);
    const json::value body = json::parse(answer.body);
    CHECK(body.at("snapshot").at("index_version").to_number<int>() == 7);
    CHECK(body.at("snapshot").at("partition_map_version").to_number<int>() == 1);
    CHECK(body.at("coverage").at("fraction").to_number<double>() == 1.0);
    CHECK(body.at("coverage").at("shards").as_array().size() == 4);
    CHECK(body.at("records").as_array().size() == 4);
    CHECK(body.at("verdict").as_string() == "ran");
    CHECK(answer.headers.at("X-Request-Id") == body.at("request_id").as_string());
  }
  SUBCASE("the caller gets 504 at the deadline if no leaf answers") {
    // Guards against a request that is answered long after its deadline.
    first_broker.drop_leaf_requests = true;
    second_broker.drop_leaf_requests = true;
    const auto started_at = std::chrono::steady_clock::now();
    const HttpAnswer answer =
        caller.Post("/v1/services/stock/query", R"({"query":{}})", {{"X-Deadline-Ms", "200"}});
    const auto duration = std::chrono::steady_clock::now() - started_at;
    CHECK(answer.status == 504);
    CHECK(json::parse(answer.body).at("verdict").as_string() == "may_have_run");
    CHECK(duration < std::chrono::milliseconds(400));
    CHECK(WaitFor([&] { return first_broker.cancel_count + second_broker.cancel_count >= 4; }));
  }
  SUBCASE("a planned stop waits for the answers of running requests") {
    // Guards against a stop that closes the connection before the answer is sent.
    first_broker.answer_delay_ms = 500;
    second_broker.answer_delay_ms = 500;
    HttpAnswer answer;
    std::thread caller_thread([&] {
      answer =
          caller.Post("/v1/services/stock/query", R"({"query":{"term":"b"}})", kRequestHeaders);
    });
    REQUIRE(WaitFor(
        [&] { return first_broker.leaf_request_count + second_broker.leaf_request_count >= 4; }));
    front.BeginStop();
    CHECK_FALSE(front.ready());
    caller_thread.join();
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.keep_alive);
    CHECK(WaitFor([&] { return front.stopped().load(); }));
  }
}

// Guards against requests that are taken late in a planned stop, passed on, and cut without an
// answer when the stop reaches its limit.
TEST_CASE("a request that comes shortly before the limit of a planned stop is refused") {
  const ControlView view = testing::MakeSendableView({});
  testing::ScriptedBroker first_broker(VmId("vm-0"), view);
  testing::ScriptedBroker second_broker(VmId("vm-1"), view);
  REQUIRE(first_broker.Start("127.10.1.1", 18090).ok());
  REQUIRE(second_broker.Start("127.10.1.2", 18090).ok());
  Metrics metrics;
  FrontProcessOptions options = MakeOptions();
  options.stop_limit = std::chrono::milliseconds(1200);
  FrontProcess front(options, metrics);
  REQUIRE(front.Start().ok());
  REQUIRE(WaitFor([&] { return front.ready(); }));

  // A first request, which the leaves hold up, keeps the stop going.
  first_broker.answer_delay_ms = 1000;
  second_broker.answer_delay_ms = 1000;
  BlockingHttpClient slow_caller("127.10.1.1", kHttpPort);
  BlockingHttpClient late_caller("127.10.1.1", kHttpPort);
  HttpAnswer slow_answer;
  std::thread slow_thread([&] {
    slow_answer = slow_caller.Post("/v1/services/stock/query", R"({"query":{"term":"a"}})",
                                   {{"X-Deadline-Ms", "1100"}});
  });
  const auto count_leaf_requests = [&] {
    return first_broker.leaf_request_count + second_broker.leaf_request_count;
  };
  REQUIRE(WaitFor([&] { return count_leaf_requests() >= 4; }));
  front.BeginStop();
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  const int requests_before = count_leaf_requests();
  const HttpAnswer late_answer = late_caller.Post(
      "/v1/services/stock/query", R"({"query":{"term":"b"}})", {{"X-Deadline-Ms", "1000"}});
  REQUIRE(late_answer.status == 503);
  CHECK(json::parse(late_answer.body).at("verdict").as_string() == "not_run");
  CHECK(late_answer.headers.contains("Retry-After"));
  CHECK(count_leaf_requests() == requests_before);
  slow_thread.join();
  CHECK(slow_answer.status != 0);
  CHECK(WaitFor([&] { return front.stopped().load(); }));
}

}  // namespace ibishold
