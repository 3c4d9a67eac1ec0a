#include <doctest/doctest.h>

#include "edge/scripted_server.h"

namespace ibishold {

namespace {

using std::chrono::milliseconds;

struct Pool {
  explicit Pool(boost::asio::io_context& context)
      : pool(context,
             {},
             {.on_sent = [this](AttemptId attempt) { this->sent.push_back(attempt); },
              .on_reply = [this](
                              AttemptId attempt,
                              HttpReply reply) { this->replies.emplace_back(attempt, reply.body); },
              .on_failure =
                  [this](AttemptId attempt, AttemptFailure failure) {
                    this->failures.emplace_back(attempt, failure);
                  },
              .owner = [](AttemptId, const HttpReply&) { return ReplyOwner::kRequest; }}) {}

  void Send(AttemptId attempt,
            const boost::asio::ip::tcp::endpoint& endpoint,
            bool repeatable = true) {
    this->pool.Send({.attempt = attempt,
                     .leaf = {.id = LeafId("l"),
                              .address = endpoint.address().to_string(),
                              .port = endpoint.port()},
                     .repeatable = repeatable,
                     .connection_limit = 4},
                    {.method = "GET", .target = "/" + std::to_string(attempt), .host = "h"});
  }

  std::vector<AttemptId> sent;
  std::vector<std::pair<AttemptId, std::string>> replies;
  std::vector<std::pair<AttemptId, AttemptFailure>> failures;
  ConnectionPool pool;
};

}  // namespace

TEST_CASE("connections to a leaf") {
  boost::asio::io_context context;
  ScriptedServer server(context);
  Pool pool(context);

  SUBCASE("are kept and used again") {
    server.scripts = {{.bytes = Response("1", "a")}, {.bytes = Response("1", "b")}};
    pool.Send(1, server.endpoint());
    context.run_for(milliseconds(40));
    pool.Send(2, server.endpoint());
    context.run_for(milliseconds(40));
    CHECK(pool.replies.size() == 2);
    CHECK(server.connections == 1);
  }
  SUBCASE("a cancelled request closes its connection, so that the leaf stops") {
    pool.Send(1, server.endpoint());
    context.run_for(milliseconds(40));
    pool.pool.Cancel({.attempt = 1});
    server.scripts = {{.bytes = Response("1", "b")}};
    pool.Send(2, server.endpoint());
    context.run_for(milliseconds(40));
    CHECK(server.connections == 2);
    REQUIRE(pool.replies.size() == 1);
    CHECK(pool.replies[0].first == 2);
  }
  SUBCASE("a reply soon after the cancellation keeps the connection, and reaches nobody") {
    server.scripts = {{.bytes = "", .later = Response("1", "late")}};
    pool.Send(1, server.endpoint());
    context.run_for(milliseconds(20));
    pool.pool.Cancel({.attempt = 1, .late_reply_grace = milliseconds(200)});
    context.run_for(milliseconds(60));
    CHECK(pool.replies.empty());
    server.scripts = {{.bytes = Response("1", "b")}};
    pool.Send(2, server.endpoint());
    context.run_for(milliseconds(40));
    CHECK(server.connections == 1);
    REQUIRE(pool.replies.size() == 1);
    CHECK(pool.replies[0].second == "b");
  }
  SUBCASE("a request that may run once goes only to a connection that was alive a moment ago") {
    // Guards against a lost order: a leaf may have forgotten an idle connection.
    server.scripts = {{.bytes = Response("1", "a")}, {.bytes = Response("1", "b")}};
    pool.Send(1, server.endpoint());
    context.run_for(milliseconds(40));
    context.run_for(milliseconds(1600));
    pool.Send(2, server.endpoint(), false);
    context.run_for(milliseconds(40));
    CHECK(server.connections == 2);
    CHECK(pool.replies.size() == 2);
  }
  SUBCASE("a refused connection is no send") {
    boost::asio::ip::tcp::acceptor closed(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const auto endpoint = closed.local_endpoint();
    closed.close();
    pool.Send(1, endpoint);
    context.run_for(milliseconds(40));
    CHECK(pool.sent.empty());
    REQUIRE(pool.failures.size() == 1);
    CHECK(pool.failures[0].second == AttemptFailure::kNoConnection);
  }
  SUBCASE("a reset after the request was sent may have run") {
    server.scripts = {{.reset = true}};
    pool.Send(1, server.endpoint());
    context.run_for(milliseconds(40));
    REQUIRE(pool.failures.size() == 1);
    CHECK(pool.failures[0].second == AttemptFailure::kBroken);
  }
}

}  // namespace ibishold
