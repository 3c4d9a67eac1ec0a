#include <doctest/doctest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "ibishold/net.h"

namespace ibishold {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::seconds kCloseWaitLimit{10};

// Two connected loopback sockets: a FrameLink owns one end, the test reads and writes the other.
struct LinkPair {
  asio::io_context context;
  tcp::socket peer{context};
  FrameLinkPtr link;
  absl::Status close_reason;
  bool is_closed = false;
  std::vector<std::uint64_t> received_correlations;

  explicit LinkPair(LinkOptions options = {}) {
    tcp::acceptor acceptor(this->context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    tcp::socket socket(this->context);
    socket.connect(acceptor.local_endpoint());
    this->peer = acceptor.accept();
    this->link = std::make_shared<FrameLink>(std::move(socket), std::move(options));
    this->link->Start(
        [this](FrameLink&, wire::Frame::Reader frame) {
          this->received_correlations.push_back(frame.getCorrelation());
        },
        [this](FrameLink&, const absl::Status& reason) {
          this->close_reason = reason;
          this->is_closed = true;
        });
  }

  void RunUntilClosed() {
    const auto wait_until = std::chrono::steady_clock::now() + kCloseWaitLimit;
    while (!this->is_closed && std::chrono::steady_clock::now() < wait_until) {
      this->context.run_one_for(std::chrono::milliseconds(20));
    }
  }
};

absl::Status SendDocumentFrame(FrameLink& link, std::uint64_t correlation, std::size_t body_size) {
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(correlation);
  frame.getBody().initDocument().initBody(static_cast<unsigned>(body_size));
  return link.Send(message);
}

}  // namespace

TEST_CASE("FrameLink closes dead connections, bounds memory and rejects malformed frames") {
  SUBCASE("closes the link if the peer sends nothing for longer than the silence limit") {
    // Guards against links that stay open after a middlebox dropped the connection: no data arrives
    // and the socket reports no error.
    LinkPair pair({.ping_interval = std::chrono::milliseconds(20),
                   .silence_limit = std::chrono::milliseconds(100)});
    const TimePoint started_at = BootClock::now();
    pair.RunUntilClosed();
    CHECK(pair.close_reason.code() == absl::StatusCode::kDeadlineExceeded);
    CHECK(BootClock::now() - started_at >= std::chrono::milliseconds(100));
    CHECK(BootClock::now() - started_at < std::chrono::seconds(5));
  }

  SUBCASE("RemoveUnsentFrame removes only frames of which no byte was passed to the socket") {
    LinkPair pair;
    pair.context.restart();
    REQUIRE(SendDocumentFrame(*pair.link, 1, 100).ok());
    REQUIRE(SendDocumentFrame(*pair.link, 2, 100).ok());
    // The write of the hello is in progress, so frames 1 and 2 are still queued.
    CHECK(pair.link->RemoveUnsentFrame(2));

    SUBCASE("a removed frame is never sent and cannot be removed again") {
      CHECK_FALSE(pair.link->RemoveUnsentFrame(2));
      pair.context.run_for(std::chrono::milliseconds(50));
      std::vector<char> bytes(65536);
      const std::size_t received_byte_count = pair.peer.read_some(asio::buffer(bytes));
      // Guards against the verdict not_run for a request whose frame was sent.
      CHECK(received_byte_count < 500);
    }
    SUBCASE("a partially written frame cannot be removed") {
      pair.context.run_for(std::chrono::milliseconds(50));
      REQUIRE(SendDocumentFrame(*pair.link, 3, 3000000).ok());
      // The peer does not read, so only part of the frame is written.
      CHECK_FALSE(pair.link->RemoveUnsentFrame(3));
      pair.context.run_for(std::chrono::milliseconds(20));
      CHECK_FALSE(pair.link->RemoveUnsentFrame(3));
    }
    SUBCASE("a written frame cannot be removed") {
      pair.context.run_for(std::chrono::milliseconds(50));
      CHECK_FALSE(pair.link->RemoveUnsentFrame(1));
    }
  }

  SUBCASE("Send fails at the queue limit if the peer does not read") {
    LinkPair pair({.send_queue_size_limit = 1U << 20U});
    absl::Status status;
    for (std::uint64_t i = 1; i <= 100 && status.ok(); ++i) {
      status = SendDocumentFrame(*pair.link, i, 100000);
    }
    CHECK(status.code() == absl::StatusCode::kResourceExhausted);
  }

  SUBCASE("a malformed frame closes the link") {
    // Guards against an allocation of the size that a malformed length field states.
    LinkPair pair({.frame_size_limit = 4096});
    std::string bytes;
    SUBCASE("length above the frame size limit") {
      bytes = std::string("\xff\xff\xff\x7f", 4);
    }
    SUBCASE("length that is not a multiple of the 8-byte word") {
      bytes = std::string("\x05\0\0\0", 4);
    }
    SUBCASE("message with an out-of-bounds pointer") {
      bytes = std::string("\x10\0\0\0", 4) + std::string("\0\0\0\0\x01\0\0\0", 8) +
              std::string("\xfe\xff\xff\x7f\xff\xff\xff\xff", 8);
    }
    asio::write(pair.peer, asio::buffer(bytes));
    pair.RunUntilClosed();
    CHECK(pair.close_reason.code() == absl::StatusCode::kInvalidArgument);
  }

  SUBCASE("random bytes close the link without a crash") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      Random random(seed);
      LinkPair pair({.frame_size_limit = 4096});
      const std::size_t word_count = 1 + random.NextBelow(64);
      std::string bytes = {static_cast<char>(word_count * 8 & 0xff),
                           static_cast<char>(word_count * 8 >> 8), 0, 0};
      for (std::size_t i = 0; i < word_count * 8; ++i) {
        // Mostly zero bytes, so that some messages pass the checks of the Cap'n Proto segment
        // header.
        bytes.push_back(random.NextBelow(4) == 0 ? static_cast<char>(random.Next()) : '\0');
      }
      asio::write(pair.peer, asio::buffer(bytes));
      pair.peer.close();
      pair.RunUntilClosed();
      CHECK(pair.is_closed);
    }
  }
}

}  // namespace ibishold
