#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <thread>

#include "echo.capnp.h"
#include "ibishold/ring.h"
#include "result.h"

namespace ibishold::bench {

namespace asio = boost::asio;

namespace {

struct EchoImpl final : Echo::Server {
  kj::Promise<void> call(CallContext context) override {
    context.getResults().setPayload(context.getParams().getPayload());
    return kj::READY_NOW;
  }
};

// Calls are pushed by the Asio thread into a bounded ring; one byte on a socket pair wakes the kj
// event loop when the ring was empty.
struct CallRing {
  boost::lockfree::spsc_queue<TimePoint> queue{4096};
  std::atomic<bool> scheduled{false};
  int wake_up = -1;

  void Push(TimePoint now) {
    this->queue.push(now);
    if (!this->scheduled.exchange(true)) {
      const char byte = 0;
      [[maybe_unused]] const auto written = ::write(this->wake_up, &byte, 1);
    }
  }
};

struct RpcLoop : kj::TaskSet::ErrorHandler {
  CallRing& calls;
  Ring<TimePoint>& answers;
  Echo::Client client;
  kj::Own<kj::AsyncIoStream> wake_up;
  std::vector<kj::byte> payload;
  std::array<kj::byte, 64> wake_bytes{};
  kj::TaskSet tasks{*this};

  RpcLoop(CallRing& calls,
          Ring<TimePoint>& answers,
          Echo::Client client,
          kj::Own<kj::AsyncIoStream> wake_up,
          std::size_t bytes)
      : calls(calls),
        answers(answers),
        client(std::move(client)),
        wake_up(std::move(wake_up)),
        payload(bytes) {}

  kj::Promise<void> Run() {
    return this->wake_up->tryRead(this->wake_bytes.data(), 1, this->wake_bytes.size())
        .then([this](std::size_t count) -> kj::Promise<void> {
          if (count == 0) {
            return kj::READY_NOW;
          }
          this->calls.scheduled.store(false);
          TimePoint sent_at;
          while (this->calls.queue.pop(sent_at)) {
            this->Call(sent_at);
          }
          return this->Run();
        });
  }

  void Call(TimePoint sent_at) {
    auto request = this->client.callRequest();
    request.setPayload(kj::arrayPtr(this->payload.data(), this->payload.size()));
    this->tasks.add(
        request.send().then([this, sent_at](auto&&) { this->answers.Push(TimePoint(sent_at)); }));
  }

  void taskFailed(kj::Exception&&) override {}
};

void Serve(int descriptor) {
  auto io = kj::setupAsyncIo();
  auto stream = io.lowLevelProvider->wrapSocketFd(descriptor);
  capnp::TwoPartyVatNetwork network(*stream, capnp::rpc::twoparty::Side::SERVER);
  auto system = capnp::makeRpcServer(network, kj::heap<EchoImpl>());
  network.onDisconnect().wait(io.waitScope);
}

}  // namespace

TransportResult RunRpc(const TransportOptions& options) {
  int link[2];
  int wake_up[2];
  if (::socketpair(AF_UNIX, SOCK_STREAM, 0, link) != 0 ||
      ::socketpair(AF_UNIX, SOCK_STREAM, 0, wake_up) != 0) {
    return {};
  }
  std::thread server([&] { Serve(link[1]); });

  asio::io_context context(1);
  auto guard = asio::make_work_guard(context);
  CallRing calls;
  calls.wake_up = wake_up[0];
  TransportResult result;
  TimePoint started{};
  Ring<TimePoint> answers(context.get_executor(), [&](TimePoint sent_at) {
    const TimePoint now = BootClock::now();
    result.round_trips.push_back(now - sent_at);
    if (result.round_trips.size() < options.calls) {
      calls.Push(BootClock::now());
    } else {
      result.elapsed = now - started;
      context.stop();
    }
  });
  std::thread rpc([&] {
    auto io = kj::setupAsyncIo();
    auto stream = io.lowLevelProvider->wrapSocketFd(link[0]);
    capnp::TwoPartyClient client(*stream);
    RpcLoop loop(calls, answers, client.bootstrap().castAs<Echo>(),
                 io.lowLevelProvider->wrapSocketFd(wake_up[1]), options.payload_bytes);
    loop.Run().wait(io.waitScope);
  });
  asio::post(context, [&] {
    started = BootClock::now();
    for (std::size_t i = 0; i < options.in_flight; ++i) {
      calls.Push(BootClock::now());
    }
  });
  context.run();
  ::close(wake_up[0]);
  rpc.join();
  ::close(link[0]);
  server.join();
  return result;
}

}  // namespace ibishold::bench
