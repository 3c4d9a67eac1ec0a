#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <thread>
#include <vector>

#include "ibishold/caller.h"
#include "tests/front/caller_http.h"

namespace ibishold {

namespace json = boost::json;
using std::chrono::milliseconds;
using testing::CallerHttp;
using testing::HttpAnswer;

namespace {

constexpr std::uint16_t kPort = 18180;
const std::string kAddress = "127.10.2.1";
const std::string kQuery = "/v1/services/stock/query";
const std::string kExecute = "/v1/services/stock/execute";

// A server whose handler answers at once with the request's body, or holds the request.
class Server {
 public:
  explicit Server(CallerServerOptions options = {}) : server(this->context, options) {
    REQUIRE(this->server
                .Listen(
                    kAddress, kPort,
                    [this](std::shared_ptr<CallerRequest> request) {
                      if (this->refuse) {
                        return false;
                      }
                      this->last = *request;
                      ++this->taken;
                      if (!this->hold) {
                        boost::asio::post(this->context, [this, request] {
                          this->server.Answer({.ticket = request->ticket, .body = request->body});
                        });
                      }
                      return true;
                    },
                    [this](std::uint64_t) { ++this->abandoned; })
                .ok());
    this->thread = std::thread([this] { this->context.run(); });
  }

  ~Server() {
    this->Do([this] {
      this->server.StopAccepting();
      this->server.CloseConnections();
    });
    this->work.reset();
    this->context.stop();
    this->thread.join();
  }

  // Runs on the server's thread and waits.
  void Do(const std::function<void()>& work_item) {
    std::atomic<bool> done{false};
    boost::asio::post(this->context, [&] {
      work_item();
      done = true;
    });
    while (!done) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  std::size_t Connections() {
    std::size_t count = 0;
    this->Do([&] { count = this->server.connection_count(); });
    return count;
  }

  bool ConnectionsFallTo(std::size_t count) {
    for (int i = 0; i < 2000; ++i) {
      if (this->Connections() <= count) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
    return false;
  }

  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
      this->context.get_executor()};
  CallerServer server;
  std::thread thread;
  std::atomic<bool> hold{false};
  std::atomic<bool> refuse{false};
  std::atomic<int> taken{0};
  std::atomic<int> abandoned{0};
  CallerRequest last;
};

using Headers = std::map<std::string, std::string>;

const Headers kGood = {{"X-Deadline-Ms", "500"}};

std::string ErrorOf(const HttpAnswer& answer) {
  return std::string(json::parse(answer.body).at("error").as_string());
}

}  // namespace

// Guards against input that crashes the server, is misread, or leaves the caller without a reason.
TEST_CASE("bad input gets a clear error and the connection stays usable") {
  Server server;
  CallerHttp caller(kAddress, kPort);
  struct Case {
    std::string target;
    std::string body;
    Headers headers;
    int status;
    std::string error;
  };
  const std::string good_body = R"({"query":{"a":1}})";
  const std::vector<Case> cases = {
      {kQuery, "{", kGood, 400, "bad_json"},
      {kQuery, "", kGood, 400, "bad_json"},
      {kQuery, std::string(60, '['), kGood, 400, "bad_json"},
      {kQuery, "{\"query\":{\"a\":\"\xff\xfe\"}}", kGood, 400, "bad_json"},
      {kQuery, R"([])", kGood, 400, "bad_body"},
      {kQuery, R"({"query":7})", kGood, 400, "bad_body"},
      {kQuery, R"({"operation":{}})", kGood, 400, "bad_body"},
      {kExecute, R"({"operation":{}})", kGood, 400, "bad_key"},
      {kExecute, R"({"key":-1,"operation":{}})", kGood, 400, "bad_key"},
      {kExecute, R"({"key":1.5,"operation":{}})", kGood, 400, "bad_key"},
      {kQuery, good_body, {}, 400, "missing_deadline"},
      {kQuery, good_body, {{"X-Deadline-Ms", "0"}}, 400, "bad_deadline"},
      {kQuery, good_body, {{"X-Deadline-Ms", "-5"}}, 400, "bad_deadline"},
      {kQuery, good_body, {{"X-Deadline-Ms", "99999999999999999999"}}, 400, "bad_deadline"},
      {kQuery, good_body, {{"X-Deadline-Ms", "10ms"}}, 400, "bad_deadline"},
      {kQuery, good_body, {{"X-Deadline-Ms", "9"}, {"X-Class", "urgent"}}, 400, "bad_class"},
      {kQuery, good_body, {{"X-Deadline-Ms", "9"}, {"X-Tenant", "a b"}}, 400, "bad_tenant"},
      {kQuery,
       good_body,
       {{"X-Deadline-Ms", "9"}, {"X-Request-Id", std::string(200, 'x')}},
       400,
       "bad_request_id"},
      {"/v1/services/%00/query", good_body, kGood, 400, "bad_service"},
      {"/v1/services//query", good_body, kGood, 400, "bad_service"},
      {"/v1/services/stock", good_body, kGood, 404, "not_found"},
      {"/v1/services/stock/delete", good_body, kGood, 404, "not_found"},
      {"/", good_body, kGood, 404, "not_found"},
  };
  for (const Case& each : cases) {
    CAPTURE(each.target);
    CAPTURE(each.body);
    const HttpAnswer answer = caller.Post(each.target, each.body, each.headers);
    REQUIRE(answer.status == each.status);
    CHECK(ErrorOf(answer) == each.error);
    CHECK(json::parse(answer.body).at("verdict").as_string() == "not_run");
  }
  const HttpAnswer answer = caller.Post(kQuery, good_body, kGood);
  CHECK(answer.status == 200);
  CHECK(answer.body == R"({"a":1})");
  CHECK(server.taken == 1);
}

TEST_CASE("limits of one connection") {
  CallerServerOptions options;
  options.receive_limit = milliseconds(150);
  options.idle_limit = milliseconds(400);
  Server server(options);
  CallerHttp caller(kAddress, kPort);
  SUBCASE("a body over 64 KB is refused without being kept") {
    const HttpAnswer answer =
        caller.Post(kQuery, "{\"query\":{\"a\":\"" + std::string(70000, 'x') + "\"}}", kGood);
    CHECK(answer.status == 413);
    CHECK_FALSE(answer.keep_alive);
  }
  SUBCASE("a body of just under 64 KB is taken") {
    const HttpAnswer answer =
        caller.Post(kQuery, "{\"query\":{\"a\":\"" + std::string(65000, 'x') + "\"}}", kGood);
    CHECK(answer.status == 200);
  }
  SUBCASE("a chunked body that never ends is refused at the limit") {
    caller.SendRaw("POST " + kQuery +
                   " HTTP/1.1\r\nHost: f\r\nX-Deadline-Ms: 9\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 20; ++i) {
      caller.SendRaw("1000\r\n" + std::string(4096, 'x') + "\r\n");
    }
    CHECK(caller.Read().status == 413);
  }
  SUBCASE("a header over 8 KB is refused") {
    const HttpAnswer answer = caller.Post(kQuery, "{}", {{"X-Long", std::string(9000, 'x')}});
    CHECK(answer.status == 431);
  }
  SUBCASE("bytes that are not HTTP are refused") {
    caller.SendRaw("\x16\x03\x01 hello\r\n\r\n");
    CHECK(caller.Read().status == 400);
  }
  SUBCASE("a slow sender gets 408, also if it keeps sending bytes") {
    // Guards against a limit that starts again with every byte.
    const std::string request =
        "POST " + kQuery + " HTTP/1.1\r\nHost: f\r\nContent-Length: 100\r\n";
    std::atomic<bool> answered{false};
    std::thread drip([&] {
      for (std::size_t i = 0; i < request.size() && !answered; ++i) {
        caller.SendRaw(request.substr(i, 1));
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
    const auto began = std::chrono::steady_clock::now();
    const HttpAnswer answer = caller.Read();
    answered = true;
    drip.join();
    CHECK(answer.status == 408);
    CHECK(std::chrono::steady_clock::now() - began < milliseconds(600));
  }
  SUBCASE("an idle connection is closed") {
    CHECK(server.ConnectionsFallTo(0));
    CHECK(server.taken == 0);
  }
  SUBCASE("requests sent ahead are answered in order") {
    const std::string one = "POST " + kQuery +
                            " HTTP/1.1\r\nHost: f\r\nX-Deadline-Ms: 400\r\n"
                            "Content-Length: 17\r\n\r\n{\"query\":{\"a\":1}}";
    caller.SendRaw(one + one + one);
    for (int i = 0; i < 3; ++i) {
      CHECK(caller.Read().status == 200);
    }
  }
}

TEST_CASE("callers that leave and requests that are held") {
  CallerServerOptions options;
  options.answer_grace = milliseconds(100);
  options.connection_limit = 20;
  Server server(options);
  SUBCASE("a caller that leaves is reported, so that its work can be cancelled") {
    server.hold = true;
    {
      CallerHttp caller(kAddress, kPort);
      caller.SendRaw("POST " + kQuery +
                     " HTTP/1.1\r\nHost: f\r\nX-Deadline-Ms: 5000\r\n"
                     "Content-Length: 12\r\n\r\n{\"query\":{}}");
      while (server.taken == 0) {
        std::this_thread::sleep_for(milliseconds(1));
      }
    }
    CHECK(server.ConnectionsFallTo(0));
    CHECK(server.abandoned == 1);
  }
  SUBCASE("an answer that is lost inside does not hold the caller") {
    server.hold = true;
    CallerHttp caller(kAddress, kPort);
    const HttpAnswer answer = caller.Post(kQuery, R"({"query":{}})", {{"X-Deadline-Ms", "100"}});
    CHECK(answer.status == 504);
    CHECK(json::parse(answer.body).at("verdict").as_string() == "may_have_run");
  }
  SUBCASE("a full ring is refused at once, not run") {
    server.refuse = true;
    CallerHttp caller(kAddress, kPort);
    const HttpAnswer answer = caller.Post(kQuery, R"({"query":{}})", kGood);
    CHECK(answer.status == 503);
    CHECK(answer.headers.contains("Retry-After"));
    CHECK(json::parse(answer.body).at("verdict").as_string() == "not_run");
  }
  SUBCASE("connections are bounded, and the ones over the limit are told") {
    std::vector<std::unique_ptr<CallerHttp>> callers;
    int refused = 0;
    for (int i = 0; i < 30; ++i) {
      callers.push_back(std::make_unique<CallerHttp>(kAddress, kPort));
    }
    for (auto& caller : callers) {
      const HttpAnswer answer = caller->Post(kQuery, R"({"query":{}})", kGood);
      refused += answer.status == 200 ? 0 : 1;
    }
    CHECK(refused == 10);
    callers.clear();
    CHECK(server.ConnectionsFallTo(0));
  }
  SUBCASE("after the announcement of a stop, answers close their connections") {
    CallerHttp caller(kAddress, kPort);
    CHECK(caller.Post(kQuery, R"({"query":{}})", kGood).keep_alive);
    server.Do([&] { server.server.AnnounceClose(); });
    const HttpAnswer last = caller.Post(kQuery, R"({"query":{}})", kGood);
    CHECK(last.status == 200);
    CHECK_FALSE(last.keep_alive);
  }
}

}  // namespace ibishold
