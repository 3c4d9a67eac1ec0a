#include <doctest/doctest.h>

#include "edge/scripted_server.h"
#include "ibishold/edge.h"

namespace ibishold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVmMemory = 112U << 20U;  // bytes, of the smallest VM in the site files
constexpr std::size_t kReplyMemory = kVmMemory / 4;

// Client connections that share one memory limit, as in one process.
struct MemorySharingClients {
  explicit MemorySharingClients(boost::asio::io_context& context)
      : context(context), server(context) {}

  void Send(const Script& script) {
    this->server.scripts.push_back(script);
    auto connection = std::make_shared<ClientConnection>(
        this->context,
        ClientConnectionOptions{.body_limit = kVmMemory / 16, .memory = this->memory});
    connection->Open(
        this->server.endpoint(),
        {.on_open =
             [connection] { connection->Send({.method = "GET", .target = "/x", .host = "h"}); },
         .on_reply = [this](const HttpReply&) { ++this->replies; },
         .on_end =
             [this](ConnectionEnd end) {
               ++this->ended;
               this->protocol_errors += end == ConnectionEnd::kProtocolError ? 1 : 0;
             },
         .match_reply =
             [](const HttpReply& reply) {
               return reply.header("Id") == "other" ? ReplyMatch::kOtherRequest
                                                    : ReplyMatch::kMatches;
             }});
    this->connections.push_back(connection);
  }
  // Runs until every connection has ended or replied, and records the peak memory use. Returns
  // whether that happened within the limit.
  bool RunUntilSettled(Duration limit) {
    const TimePoint end = BootClock::now() + limit;
    while (this->replies + this->ended < this->connections.size() && BootClock::now() < end) {
      this->context.run_for(milliseconds(1));
      this->peak_bytes = std::max(this->peak_bytes, this->memory->used_bytes());
    }
    this->context.run_for(milliseconds(20));
    return this->replies + this->ended >= this->connections.size();
  }

  boost::asio::io_context& context;
  ScriptedServer server;
  std::shared_ptr<ReplyMemoryLimiter> memory = std::make_shared<ReplyMemoryLimiter>(kReplyMemory);
  std::vector<std::shared_ptr<ClientConnection>> connections;
  std::size_t replies = 0;
  std::size_t ended = 0;
  std::size_t protocol_errors = 0;
  std::size_t peak_bytes = 0;
};

const std::string kBlock(64U << 10U, 'x');
const std::string kHead = "HTTP/1.1 200 OK\r\nId: 1\r\n";

}  // namespace

TEST_CASE("a connection to a server that sends endless bytes is closed") {
  // Failing servers may send bytes that are not a reply until the client closes the connection.
  boost::asio::io_context context;
  MemorySharingClients clients(context);
  Script script;
  SUBCASE("in the status line") {
    script = {.bytes = "HTTP/1.1 200 ", .endless = kBlock};
  }
  SUBCASE("before any status line") {
    script = {.endless = kBlock};
  }
  SUBCASE("in one header field") {
    script = {.bytes = "HTTP/1.1 200 OK\r\nX: ", .endless = kBlock};
  }
  SUBCASE("in an endless sequence of header fields") {
    script = {.bytes = "HTTP/1.1 200 OK\r\n", .endless = "X: y\r\n"};
  }
  SUBCASE("in a body without Content-Length") {
    script = {.bytes = kHead + "\r\n", .endless = kBlock};
  }
  SUBCASE("in a body whose Content-Length exceeds the limit") {
    script = {.bytes = kHead + "Content-Length: 99999999999\r\n\r\n", .endless = kBlock};
  }
  SUBCASE("in an endless sequence of chunks") {
    script = {.bytes = kHead + "Transfer-Encoding: chunked\r\n\r\n",
              .endless = "10000\r\n" + kBlock + "\r\n"};
  }
  SUBCASE("in a chunk size") {
    script = {.bytes = kHead + "Transfer-Encoding: chunked\r\n\r\n",
              .endless = std::string(64U << 10U, '0')};
  }
  SUBCASE("in a chunk extension") {
    script = {.bytes = kHead + "Transfer-Encoding: chunked\r\n\r\n5;a=", .endless = kBlock};
  }
  SUBCASE("in the trailer") {
    script = {.bytes = kHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", .endless = kBlock};
  }
  SUBCASE("in informational replies") {
    script = {.endless = "HTTP/1.1 100 Continue\r\n\r\n"};
  }
  SUBCASE("in replies to other requests") {
    script = {.endless = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"};
  }
  clients.Send(script);
  CHECK(clients.RunUntilSettled(seconds(20)));
  CHECK(clients.replies == 0);
  CHECK(clients.protocol_errors == 1);
  CHECK(clients.server.endless_scripts_closed == 1);
  CHECK(clients.peak_bytes <= kVmMemory / 16 + (1U << 20U));
  CHECK(clients.memory->used_bytes() == 0);
}

TEST_CASE("the chunk framing of a reply uses little memory, even if it does not end") {
  // Guards against a VM that keeps up to the body limit of each such reply and scans it again with
  // every read: leaves of 120 shards exhausted the memory of a small VM.
  boost::asio::io_context context;
  MemorySharingClients clients(context);
  const std::string begin = kHead + "Transfer-Encoding: chunked\r\n\r\n";
  const auto repeat = [](const std::string& text) {
    std::string repeated;
    while (repeated.size() < kBlock.size()) {
      repeated += text;
    }
    return repeated;
  };
  Script script;
  SUBCASE("a chunk size") {
    script = {.bytes = begin, .endless = std::string(64U << 10U, '0')};
  }
  SUBCASE("a chunk extension") {
    script = {.bytes = begin + "5;a=", .endless = kBlock};
  }
  SUBCASE("chunk extensions") {
    script = {.bytes = begin + "5", .endless = repeat(";a=b")};
  }
  SUBCASE("a trailer") {
    script = {.bytes = begin + "0\r\nX: ", .endless = kBlock};
  }
  SUBCASE("the fields of a trailer") {
    script = {.bytes = begin + "0\r\n", .endless = repeat("X: y\r\n")};
  }
  SUBCASE("chunks of one byte") {
    script = {.bytes = begin, .endless = repeat("1\r\nx\r\n")};
  }
  SUBCASE("chunks with extensions") {
    script = {.bytes = begin, .endless = repeat("1;" + std::string(500, 'e') + "\r\nx\r\n")};
  }
  clients.Send(script);
  CHECK(clients.RunUntilSettled(seconds(20)));
  CHECK(clients.protocol_errors == 1);
  CHECK(clients.peak_bytes <= 512U << 10U);
}

TEST_CASE("a reply in small chunks is received") {
  boost::asio::io_context context;
  MemorySharingClients clients(context);
  std::string body;
  for (int i = 0; i < 60000; ++i) {
    body += "10\r\n0123456789abcdef\r\n";
  }
  clients.Send({.bytes = kHead + "Transfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n"});
  CHECK(clients.RunUntilSettled(seconds(20)));
  CHECK(clients.replies == 1);
}

TEST_CASE("servers that send endless bytes do not affect replies from other servers") {
  // A call is fanned out over 225 shards on a VM with 112 MB; a third of the leaves send endlessly.
  boost::asio::io_context context;
  MemorySharingClients clients(context);
  std::size_t valid = 0;
  for (int i = 0; i < 225; ++i) {
    if (i % 3 == 0) {
      clients.Send({.bytes = kHead + "\r\n", .endless = kBlock});
    } else {
      clients.Send({.bytes = Response("1", std::string(1000, 'r'))});
      ++valid;
    }
  }
  CHECK(clients.RunUntilSettled(seconds(60)));
  CHECK(clients.replies == valid);
  CHECK(clients.peak_bytes <= kReplyMemory);
  CHECK(clients.memory->used_bytes() == 0);
}

TEST_CASE("incomplete requests of callers do not block valid requests") {
  boost::asio::io_context context;
  std::size_t requests = 0;
  CallerPort port(context,
                  {.on_request = [&](std::uint64_t, HttpRequest, Duration) { ++requests; },
                   .on_disconnect = [](std::uint64_t) {}},
                  1U << 20U);
  REQUIRE(port.Listen("127.0.0.1", 0).ok());
  std::list<boost::asio::ip::tcp::socket> callers;
  const auto call = [&](const std::string& bytes) {
    callers.emplace_back(context);
    boost::asio::ip::tcp::socket& socket = callers.back();
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port.port()});
    boost::asio::async_write(socket, boost::asio::buffer(bytes),
                             [](boost::system::error_code, std::size_t) {});
  };
  const std::string incomplete = "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" +
                                 std::string(150000, 'x');  // 50000 bytes of the body are missing
  const std::string valid = "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n";
  for (int i = 0; i < 40; ++i) {
    call(incomplete);
    call(valid);
  }
  context.run_for(milliseconds(300));
  CHECK(requests == 40);
  CHECK(port.input_bytes() <= 1U << 20U);
  CHECK(port.counts().refused > 0);
}

TEST_CASE("a randomly damaged reply leaves no request waiting and no memory in use") {
  Random random(11);
  const std::string reply =
      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\n"
      "hello\r\n0\r\nX: y\r\n\r\n";
  for (int i = 0; i < 400; ++i) {
    boost::asio::io_context context;
    MemorySharingClients clients(context);
    std::string damaged = reply;
    for (std::uint64_t flips = 1 + random.NextBelow(5); flips > 0; --flips) {
      damaged[random.NextBelow(damaged.size())] = static_cast<char>(random.NextBelow(256));
    }
    clients.Send({.bytes = damaged, .close = true});
    CAPTURE(damaged);
    CHECK(clients.RunUntilSettled(seconds(2)));
    CHECK(clients.memory->used_bytes() == 0);
  }
}

}  // namespace ibishold
