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
using testing::BlockingHttpClient;
using testing::HttpAnswer;

namespace {

constexpr std::uint16_t kPort = 18180;
const std::string kAddress = "127.10.2.1";
const std::string kQueryPath = "/v1/services/stock/query";
const std::string kExecutePath = "/v1/services/stock/execute";

// CallerServer on its own thread. The handler echoes the request body, leaves the request
// unanswered (hold_requests) or rejects it (reject_requests).
class TestServer {
 public:
  explicit TestServer(CallerServerOptions options = {}) : caller_server(this->context, options) {
    REQUIRE(this->caller_server
                .Listen(
                    kAddress, kPort,
                    [this](std::shared_ptr<CallerRequest> request) {
                      if (this->reject_requests) {
                        return false;
                      }
                      this->last_request = *request;
                      ++this->accepted_count;
                      if (!this->hold_requests) {
                        boost::asio::post(this->context, [this, request] {
                          this->caller_server.SendAnswer(
                              {.ticket = request->ticket, .body = request->body});
                        });
                      }
                      return true;
                    },
                    [this](std::uint64_t) { ++this->abandoned_count; })
                .ok());
    this->thread = std::thread([this] { this->context.run(); });
  }

  ~TestServer() {
    this->RunOnServerThread([this] {
      this->caller_server.StopAccepting();
      this->caller_server.CloseConnections();
    });
    this->work.reset();
    this->context.stop();
    this->thread.join();
  }

  // Runs the function on the server thread and waits until it returns.
  void RunOnServerThread(const std::function<void()>& function) {
    std::atomic<bool> finished{false};
    boost::asio::post(this->context, [&] {
      function();
      finished = true;
    });
    while (!finished) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  std::size_t CountConnections() {
    std::size_t count = 0;
    this->RunOnServerThread([&] { count = this->caller_server.connection_count(); });
    return count;
  }

  bool WaitForConnectionCount(std::size_t max_count) {
    for (int i = 0; i < 2000; ++i) {
      if (this->CountConnections() <= max_count) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
    return false;
  }

  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
      this->context.get_executor()};
  CallerServer caller_server;
  std::thread thread;
  std::atomic<bool> hold_requests{false};
  std::atomic<bool> reject_requests{false};
  std::atomic<int> accepted_count{0};
  std::atomic<int> abandoned_count{0};
  CallerRequest last_request;
};

using Headers = std::map<std::string, std::string>;

const Headers kValidHeaders = {{"X-Deadline-Ms", "500"}};

std::string ReadErrorCode(const HttpAnswer& answer) {
  return std::string(json::parse(answer.body).at("error").as_string());
}

}  // namespace

// Guards against invalid input that crashes the server, is accepted as valid, or gets an answer
// that does not name the cause.
TEST_CASE("invalid requests get a specific error and the connection stays usable") {
  TestServer server;
  BlockingHttpClient caller(kAddress, kPort);
  struct TestCase {
    std::string target;
    std::string body;
    Headers headers;
    int status;
    std::string error;
  };
  const std::string valid_body = R"({"query":{"a":1}})";
  const std::vector<TestCase> test_cases = {
      {kQueryPath, "{", kValidHeaders, 400, "bad_json"},
      {kQueryPath, "", kValidHeaders, 400, "bad_json"},
      {kQueryPath, std::string(60, '['), kValidHeaders, 400, "bad_json"},
      {kQueryPath, "{\"query\":{\"a\":\"\xff\xfe\"}}", kValidHeaders, 400, "bad_json"},
      {kQueryPath, R"([])", kValidHeaders, 400, "bad_body"},
      {kQueryPath, R"({"query":7})", kValidHeaders, 400, "bad_body"},
      {kQueryPath, R"({"operation":{}})", kValidHeaders, 400, "bad_body"},
      {kExecutePath, R"({"operation":{}})", kValidHeaders, 400, "bad_key"},
      {kExecutePath, R"({"key":-1,"operation":{}})", kValidHeaders, 400, "bad_key"},
      {kExecutePath, R"({"key":1.5,"operation":{}})", kValidHeaders, 400, "bad_key"},
      {kQueryPath, valid_body, {}, 400, "missing_deadline"},
      {kQueryPath, valid_body, {{"X-Deadline-Ms", "0"}}, 400, "bad_deadline"},
      {kQueryPath, valid_body, {{"X-Deadline-Ms", "-5"}}, 400, "bad_deadline"},
      {kQueryPath, valid_body, {{"X-Deadline-Ms", "99999999999999999999"}}, 400, "bad_deadline"},
      {kQueryPath, valid_body, {{"X-Deadline-Ms", "10ms"}}, 400, "bad_deadline"},
      {kQueryPath, valid_body, {{"X-Deadline-Ms", "9"}, {"X-Class", "urgent"}}, 400, "bad_class"},
      {kQueryPath, valid_body, {{"X-Deadline-Ms", "9"}, {"X-Tenant", "a b"}}, 400, "bad_tenant"},
      {kQueryPath,
       valid_body,
       {{"X-Deadline-Ms", "9"}, {"X-Request-Id", std::string(200, 'x')}},
       400,
       "bad_request_id"},
      {"/v1/services/%00/query", valid_body, kValidHeaders, 400, "bad_service"},
      {"/v1/services//query", valid_body, kValidHeaders, 400, "bad_service"},
      {"/v1/services/stock", valid_body, kValidHeaders, 404, "not_found"},
      {"/v1/services/stock/delete", valid_body, kValidHeaders, 404, "not_found"},
      {"/", valid_body, kValidHeaders, 404, "not_found"},
  };
  for (const TestCase& test_case : test_cases) {
    CAPTURE(test_case.target);
    CAPTURE(test_case.body);
    const HttpAnswer answer = caller.Post(test_case.target, test_case.body, test_case.headers);
    REQUIRE(answer.status == test_case.status);
    CHECK(ReadErrorCode(answer) == test_case.error);
    CHECK(json::parse(answer.body).at("verdict").as_string() == "not_run");
  }
  const HttpAnswer answer = caller.Post(kQueryPath, valid_body, kValidHeaders);
  CHECK(answer.status == 200);
  CHECK(answer.body == R"({"a":1})");
  CHECK(server.accepted_count == 1);
}

TEST_CASE("size and time limits of one connection") {
  CallerServerOptions options;
  options.receive_limit = milliseconds(150);
  options.idle_limit = milliseconds(400);
  TestServer server(options);
  BlockingHttpClient caller(kAddress, kPort);
  SUBCASE("a body over 64 KB gets 413 and closes the connection") {
    const HttpAnswer answer = caller.Post(
        kQueryPath, "{\"query\":{\"a\":\"" + std::string(70000, 'x') + "\"}}", kValidHeaders);
    CHECK(answer.status == 413);
    CHECK_FALSE(answer.keep_alive);
  }
  SUBCASE("a body just under 64 KB is accepted") {
    const HttpAnswer answer = caller.Post(
        kQueryPath, "{\"query\":{\"a\":\"" + std::string(65000, 'x') + "\"}}", kValidHeaders);
    CHECK(answer.status == 200);
  }
  SUBCASE("an endless chunked body gets 413 at the size limit") {
    caller.SendBytes("POST " + kQueryPath +
                     " HTTP/1.1\r\nHost: f\r\nX-Deadline-Ms: 9\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 20; ++i) {
      caller.SendBytes("1000\r\n" + std::string(4096, 'x') + "\r\n");
    }
    CHECK(caller.ReadAnswer().status == 413);
  }
  SUBCASE("a chunk extension without end gets 400") {
    // Guards against a front that keeps all of it until the time limit of the request.
    caller.SendBytes("POST " + kQueryPath +
                     " HTTP/1.1\r\nHost: f\r\nX-Deadline-Ms: 9\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n5;a=");
    for (int i = 0; i < 20; ++i) {
      caller.SendBytes(std::string(4096, 'x'));
    }
    CHECK(caller.ReadAnswer().status == 400);
  }
  SUBCASE("a header over 8 KB gets 431") {
    const HttpAnswer answer = caller.Post(kQueryPath, "{}", {{"X-Long", std::string(9000, 'x')}});
    CHECK(answer.status == 431);
  }
  SUBCASE("bytes that are not HTTP get 400") {
    caller.SendBytes("\x16\x03\x01 hello\r\n\r\n");
    CHECK(caller.ReadAnswer().status == 400);
  }
  SUBCASE("a slow sender gets 408 even if it keeps sending bytes") {
    // Guards against a receive limit that restarts with every byte.
    const std::string request =
        "POST " + kQueryPath + " HTTP/1.1\r\nHost: f\r\nContent-Length: 100\r\n";
    std::atomic<bool> answer_received{false};
    std::thread slow_sender([&] {
      for (std::size_t i = 0; i < request.size() && !answer_received; ++i) {
        caller.SendBytes(request.substr(i, 1));
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
    const auto started_at = std::chrono::steady_clock::now();
    const HttpAnswer answer = caller.ReadAnswer();
    answer_received = true;
    slow_sender.join();
    CHECK(answer.status == 408);
    CHECK(std::chrono::steady_clock::now() - started_at < milliseconds(600));
  }
  SUBCASE("an idle connection is closed") {
    CHECK(server.WaitForConnectionCount(0));
    CHECK(server.accepted_count == 0);
  }
  SUBCASE("pipelined requests are all answered") {
    const std::string pipelined_request = "POST " + kQueryPath +
                                          " HTTP/1.1\r\nHost: f\r\nX-Deadline-Ms: 400\r\n"
                                          "Content-Length: 17\r\n\r\n{\"query\":{\"a\":1}}";
    caller.SendBytes(pipelined_request + pipelined_request + pipelined_request);
    for (int i = 0; i < 3; ++i) {
      CHECK(caller.ReadAnswer().status == 200);
    }
  }
}

TEST_CASE("disconnects, unanswered requests, overload and a planned stop") {
  CallerServerOptions options;
  options.answer_grace = milliseconds(100);
  options.connection_limit = 20;
  TestServer server(options);
  SUBCASE("a disconnect of the caller is reported, so that its request can be cancelled") {
    server.hold_requests = true;
    {
      BlockingHttpClient caller(kAddress, kPort);
      caller.SendBytes("POST " + kQueryPath +
                       " HTTP/1.1\r\nHost: f\r\nX-Deadline-Ms: 5000\r\n"
                       "Content-Length: 12\r\n\r\n{\"query\":{}}");
      while (server.accepted_count == 0) {
        std::this_thread::sleep_for(milliseconds(1));
      }
    }
    CHECK(server.WaitForConnectionCount(0));
    CHECK(server.abandoned_count == 1);
  }
  SUBCASE("a request that the handler never answers gets 504 after the deadline") {
    server.hold_requests = true;
    BlockingHttpClient caller(kAddress, kPort);
    const HttpAnswer answer =
        caller.Post(kQueryPath, R"({"query":{}})", {{"X-Deadline-Ms", "100"}});
    CHECK(answer.status == 504);
    CHECK(json::parse(answer.body).at("verdict").as_string() == "may_have_run");
  }
  SUBCASE("a request that the handler rejects gets 503 with the verdict not_run") {
    server.reject_requests = true;
    BlockingHttpClient caller(kAddress, kPort);
    const HttpAnswer answer = caller.Post(kQueryPath, R"({"query":{}})", kValidHeaders);
    CHECK(answer.status == 503);
    CHECK(answer.headers.contains("Retry-After"));
    CHECK(json::parse(answer.body).at("verdict").as_string() == "not_run");
  }
  SUBCASE("connections over the limit are answered with an error") {
    std::vector<std::unique_ptr<BlockingHttpClient>> callers;
    int rejected_count = 0;
    for (int i = 0; i < 30; ++i) {
      callers.push_back(std::make_unique<BlockingHttpClient>(kAddress, kPort));
    }
    for (auto& caller : callers) {
      const HttpAnswer answer = caller->Post(kQueryPath, R"({"query":{}})", kValidHeaders);
      rejected_count += answer.status == 200 ? 0 : 1;
    }
    CHECK(rejected_count == 10);
    callers.clear();
    CHECK(server.WaitForConnectionCount(0));
  }
  SUBCASE("answers close their connections after AnnounceClose") {
    BlockingHttpClient caller(kAddress, kPort);
    CHECK(caller.Post(kQueryPath, R"({"query":{}})", kValidHeaders).keep_alive);
    server.RunOnServerThread([&] { server.caller_server.AnnounceClose(); });
    const HttpAnswer final_answer = caller.Post(kQueryPath, R"({"query":{}})", kValidHeaders);
    CHECK(final_answer.status == 200);
    CHECK_FALSE(final_answer.keep_alive);
  }
}

}  // namespace ibishold
