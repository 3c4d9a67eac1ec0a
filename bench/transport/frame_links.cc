#include <boost/asio/executor_work_guard.hpp>
#include <thread>
#include <unordered_map>

#include "ibishold/net.h"
#include "result.h"

namespace ibishold::bench {

namespace asio = boost::asio;

namespace {

constexpr const char* kAddress = "127.60.0.1";
constexpr std::uint16_t kPort = 18090;

void SendPayload(FrameLink& link, std::uint64_t correlation, kj::ArrayPtr<const kj::byte> payload) {
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  frame.setCorrelation(correlation);
  frame.getBody().initDocument().setBody(payload);
  link.Send(message).IgnoreError();
}

class Client {
 public:
  Client(asio::io_context& context, const TransportOptions& options)
      : context(context),
        options(options),
        pool(context, {.vm = VmId("client")}),
        payload(options.payload_bytes) {}

  void Start() {
    this->pool.Start(
        [this](FrameLink& link, wire::Frame::Reader frame) { this->Done(link, frame); },
        [](FrameLink&, const absl::Status&) {});
    this->WaitForLink();
  }

  TransportResult result;

 private:
  void WaitForLink() {
    const FrameLinkPtr link = this->pool.Get(kAddress, kPort);
    if (!link) {
      asio::post(this->context, [this] { this->WaitForLink(); });
      return;
    }
    this->started = BootClock::now();
    for (std::size_t i = 0; i < this->options.in_flight; ++i) {
      this->Call(*link);
    }
  }

  void Call(FrameLink& link) {
    const std::uint64_t correlation = link.AllocateCorrelation();
    this->sent_at[correlation] = BootClock::now();
    SendPayload(link, correlation, kj::arrayPtr(this->payload.data(), this->payload.size()));
  }

  void Done(FrameLink& link, wire::Frame::Reader frame) {
    const TimePoint now = BootClock::now();
    const auto found = this->sent_at.find(frame.getCorrelation());
    this->result.round_trips.push_back(now - found->second);
    this->sent_at.erase(found);
    if (this->result.round_trips.size() < this->options.calls) {
      this->Call(link);
    } else {
      this->result.elapsed = now - this->started;
      this->context.stop();
    }
  }

  asio::io_context& context;
  TransportOptions options;
  LinkPool pool;
  std::vector<kj::byte> payload;
  std::unordered_map<std::uint64_t, TimePoint> sent_at;
  TimePoint started{};
};

}  // namespace

TransportResult RunFrameLinks(const TransportOptions& options) {
  asio::io_context server_context(1);
  LinkServer server(server_context, {.vm = VmId("server")});
  const absl::Status listening = server.Listen(
      kAddress, kPort,
      [](FrameLink& link, wire::Frame::Reader frame) {
        SendPayload(link, frame.getCorrelation(), frame.getBody().getDocument().getBody());
      },
      [](FrameLink&, const absl::Status&) {});
  if (!listening.ok()) {
    std::fprintf(stderr, "%s\n", std::string(listening.message()).c_str());
    return {};
  }
  std::thread server_thread([&] { server_context.run(); });
  asio::io_context client_context(1);
  Client client(client_context, options);
  client.Start();
  client_context.run();
  server_context.stop();
  server_thread.join();
  return client.result;
}

}  // namespace ibishold::bench
