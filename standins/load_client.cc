#include "standins/load_client.h"

namespace ibishold::standin {

HttpClient::HttpClient(asio::io_context& context, const std::string& address, std::uint16_t port)
    : context(context), endpoint(asio::ip::make_address(address), port) {}

// An idle connection that the server has not closed, or null.
std::shared_ptr<HttpClient::Stream> HttpClient::TakeIdle() {
  while (!this->idle.empty()) {
    auto stream = this->idle.back();
    this->idle.pop_back();
    char byte = 0;
    boost::system::error_code error;
    stream->socket().non_blocking(true, error);
    stream->socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (error == asio::error::would_block) {
      return stream;
    }
  }
  return nullptr;
}

asio::awaitable<Call> HttpClient::Send(HttpRequest request, Milliseconds limit) {
  const auto deadline = Clock::now() + std::chrono::duration_cast<Clock::duration>(limit);
  Call call;
  std::shared_ptr<Stream> stream = this->TakeIdle();
  if (!stream) {
    stream = std::make_shared<Stream>(this->context);
    stream->expires_at(std::min(deadline, Clock::now() + std::chrono::seconds(1)));
    const auto [connect_error] = co_await stream->async_connect(this->endpoint, kAwait);
    if (connect_error) {
      co_return call;
    }
    stream->socket().set_option(tcp::no_delay(true));
  }
  stream->expires_at(deadline);
  request.set(http::field::host, this->endpoint.address().to_string());
  request.keep_alive(true);
  request.prepare_payload();
  const auto [write_error, write_size] = co_await http::async_write(*stream, request, kAwait);
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(16U << 20U);
  const auto [read_error, read_size] = co_await http::async_read(*stream, buffer, parser, kAwait);
  if (read_error) {
    call.result =
        read_error == boost::beast::error::timeout ? CallResult::kTimeout : CallResult::kCut;
    co_return call;
  }
  call.result = CallResult::kAnswered;
  call.response = parser.release();
  if (call.response.keep_alive() && !write_error) {
    stream->expires_never();
    this->idle.push_back(std::move(stream));
  }
  co_return call;
}

Balancer::Balancer(asio::io_context& context, const VmList& vms, const BalancerOptions& options)
    : context(context), options(options) {
  for (const VmEntry& vm : vms.vms) {
    auto target = std::make_unique<Target>();
    target->address = vm.address;
    target->caller = std::make_unique<HttpClient>(context, vm.address, options.port);
    target->poll = std::make_unique<HttpClient>(context, vm.address, options.ready_port);
    this->targets.push_back(std::move(target));
    asio::co_spawn(context, this->Poll(*this->targets.back()), asio::detached);
  }
}

Balancer::Target* Balancer::Next() {
  for (std::size_t tries = 0; tries < this->targets.size(); ++tries) {
    Target& target = *this->targets[this->position++ % this->targets.size()];
    if (target.ready) {
      return &target;
    }
  }
  return nullptr;
}

asio::awaitable<void> Balancer::Poll(Target& target) {
  for (;;) {
    HttpRequest request(http::verb::get, "/ready", 11);
    const Call call = co_await target.poll->Send(std::move(request), Milliseconds(500));
    const bool ready =
        call.result == CallResult::kAnswered && call.response.result() == http::status::ok;
    co_await Sleep(this->options.lag_ms);
    target.ready = ready;
    co_await Sleep(std::max(0.0, this->options.poll_ms - this->options.lag_ms));
  }
}

}  // namespace ibishold::standin
