#include <doctest/doctest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "ibishold/net.h"

namespace ibishold {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::seconds kRunLimit{10};

// A connected pair of sockets on loopback; one end is a link, the other is driven by the test.
struct LinkPair {
  asio::io_context context;
  tcp::socket peer{context};
  FrameLinkPtr link;
  absl::Status closed_with;
  bool closed = false;
  std::vector<std::uint64_t> received;  // correlations

  explicit LinkPair(LinkOptions options = {}) {
    tcp::acceptor acceptor(this->context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    tcp::socket socket(this->context);
    socket.connect(acceptor.local_endpoint());
    this->peer = acceptor.accept();
    this->link = std::make_shared<FrameLink>(std::move(socket), std::move(options));
    this->link->Start(
        [this](FrameLink&, wire::Frame::Reader frame) {
          this->received.push_back(frame.getCorrelation());
        },
        [this](FrameLink&, const absl::Status& reason) {
          this->closed_with = reason;
          this->closed = true;
        });
  }

  void RunUntilClosed() {
    const auto limit = std::chrono::steady_clock::now() + kRunLimit;
    while (!this->closed && std::chrono::steady_clock::now() < limit) {
      this->context.run_one_for(std::chrono::milliseconds(20));
    }
  }
};

absl::Status SendDocument(FrameLink& link, std::uint64_t correlation, std::size_t bytes) {
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(correlation);
  frame.getBody().initDocument().initBody(static_cast<unsigned>(bytes));
  return link.Send(message);
}

}  // namespace

TEST_CASE("a link between two processes") {
  SUBCASE("a peer that goes silent is noticed within the silence limit and one ping interval") {
    // Guards against a connection that a middlebox has forgotten: nothing arrives, nothing fails.
    LinkPair pair({.ping_interval = std::chrono::milliseconds(20),
                   .silence_limit = std::chrono::milliseconds(100)});
    const TimePoint start = BootClock::now();
    pair.RunUntilClosed();
    CHECK(pair.closed_with.code() == absl::StatusCode::kDeadlineExceeded);
    CHECK(BootClock::now() - start >= std::chrono::milliseconds(100));
    CHECK(BootClock::now() - start < std::chrono::seconds(5));
  }

  SUBCASE("only a frame whose bytes were not handed over can be removed") {
    LinkPair pair;
    pair.context.restart();
    REQUIRE(SendDocument(*pair.link, 1, 100).ok());
    REQUIRE(SendDocument(*pair.link, 2, 100).ok());
    // The hello is being written, so frames 1 and 2 wait behind it.
    CHECK(pair.link->RemoveUnsent(2));

    SUBCASE("a removed frame never arrives and is not removed twice") {
      CHECK_FALSE(pair.link->RemoveUnsent(2));
      pair.context.run_for(std::chrono::milliseconds(50));
      std::vector<char> bytes(65536);
      const std::size_t count = pair.peer.read_some(asio::buffer(bytes));
      // Guards against a refusal that says not_run for a frame that was sent.
      CHECK(count < 500);
    }
    SUBCASE("a frame in the middle of its write cannot be removed") {
      pair.context.run_for(std::chrono::milliseconds(50));
      REQUIRE(SendDocument(*pair.link, 3, 3000000).ok());
      // The peer does not read, so part of the frame has left and the rest waits.
      CHECK_FALSE(pair.link->RemoveUnsent(3));
      pair.context.run_for(std::chrono::milliseconds(20));
      CHECK_FALSE(pair.link->RemoveUnsent(3));
    }
    SUBCASE("a frame that was written cannot be removed any more") {
      pair.context.run_for(std::chrono::milliseconds(50));
      CHECK_FALSE(pair.link->RemoveUnsent(1));
    }
  }

  SUBCASE("a peer that does not read cannot make the queue grow without bound") {
    LinkPair pair({.queue_limit = 1U << 20U});
    absl::Status status;
    for (std::uint64_t i = 1; i <= 100 && status.ok(); ++i) {
      status = SendDocument(*pair.link, i, 100000);
    }
    CHECK(status.code() == absl::StatusCode::kResourceExhausted);
  }

  SUBCASE("malformed input closes the link and allocates no more than the frame limit") {
    LinkPair pair({.frame_limit = 4096});
    std::string bytes;
    SUBCASE("a length above the limit") {
      bytes = std::string("\xff\xff\xff\x7f", 4);
    }
    SUBCASE("a length that is no multiple of a word") {
      bytes = std::string("\x05\0\0\0", 4);
    }
    SUBCASE("a message with a wild pointer") {
      bytes = std::string("\x10\0\0\0", 4) + std::string("\0\0\0\0\x01\0\0\0", 8) +
              std::string("\xfe\xff\xff\x7f\xff\xff\xff\xff", 8);
    }
    asio::write(pair.peer, asio::buffer(bytes));
    pair.RunUntilClosed();
    CHECK(pair.closed_with.code() == absl::StatusCode::kInvalidArgument);
  }

  SUBCASE("random bytes never crash the reader") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      Random random(seed);
      LinkPair pair({.frame_limit = 4096});
      const std::size_t words = 1 + random.NextBelow(64);
      std::string bytes = {static_cast<char>(words * 8 & 0xff), static_cast<char>(words * 8 >> 8),
                           0, 0};
      for (std::size_t i = 0; i < words * 8; ++i) {
        // Mostly zeros, so that some messages pass the checks of their header.
        bytes.push_back(random.NextBelow(4) == 0 ? static_cast<char>(random.Next()) : '\0');
      }
      asio::write(pair.peer, asio::buffer(bytes));
      pair.peer.close();
      pair.RunUntilClosed();
      CHECK(pair.closed);
    }
  }
}

}  // namespace ibishold
