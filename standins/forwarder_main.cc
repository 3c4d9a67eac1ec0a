// standin-forwarder: forwards TCP connections and can make them go silent without closing them.
//
// Admin API: POST /admin/silence {"on":true}   all connections that are open now pass no more bytes
//            POST /admin/silence {"on":false}  they pass bytes again
//            POST /admin/block   {"on":bool}   new connections are accepted and stay silent
//            GET /admin/counters               {"connections","open","silent","bytes"}
#include <array>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <set>

#include "standins/http.h"

namespace ibishold::standin {

namespace {

struct Connection {
  explicit Connection(asio::io_context& context) : near(context), far(context) {}
  tcp::socket near;  // to the side that connected
  tcp::socket far;   // to the side behind the forwarder
  bool silent = false;
};

class Forwarder {
 public:
  Forwarder(asio::io_context& context, const tcp::endpoint& listen, tcp::endpoint to)
      : context(context), acceptor(context, listen, true), to(std::move(to)) {
    asio::co_spawn(context, this->Accept(), asio::detached);
  }

  asio::awaitable<std::optional<HttpResponse>> Handle(const HttpRequest& request) {
    const std::string target = TargetOf(request);
    if (target == "/admin/counters") {
      std::uint64_t silent = 0;
      for (const auto& connection : this->open) {
        silent += connection->silent ? 1 : 0;
      }
      co_return Answer(200, json::object{{"connections", this->connections},
                                         {"open", this->open.size()},
                                         {"silent", silent},
                                         {"bytes", this->bytes}});
    }
    const bool on = json::parse(request.body()).at("on").as_bool();
    if (target == "/admin/block") {
      this->block = on;
    } else if (target == "/admin/silence") {
      for (const auto& connection : this->open) {
        connection->silent = on;
      }
    } else {
      co_return Answer(404, json::object{{"error", "unknown target"}});
    }
    co_return Answer(200, json::object{});
  }

 private:
  asio::awaitable<void> Accept() {
    for (;;) {
      auto connection = std::make_shared<Connection>(this->context);
      const auto [error] = co_await this->acceptor.async_accept(connection->near, kAwait);
      if (error) {
        continue;
      }
      this->connections += 1;
      connection->silent = this->block;
      asio::co_spawn(this->context, this->Connect(connection), asio::detached);
    }
  }

  asio::awaitable<void> Connect(std::shared_ptr<Connection> connection) {
    const auto [error] = co_await connection->far.async_connect(this->to, kAwait);
    boost::system::error_code ignored;
    if (error) {
      connection->near.close(ignored);
      co_return;
    }
    connection->near.set_option(tcp::no_delay(true), ignored);
    connection->far.set_option(tcp::no_delay(true), ignored);
    this->open.insert(connection);
    asio::co_spawn(this->context, this->Pass(connection, connection->near, connection->far),
                   asio::detached);
    co_await this->Pass(connection, connection->far, connection->near);
    this->open.erase(connection);
  }

  asio::awaitable<void> Pass(std::shared_ptr<Connection> connection,
                             tcp::socket& from,
                             tcp::socket& into) {
    std::array<char, 16384> data{};
    boost::system::error_code ignored;
    for (;;) {
      const auto [read_error, size] = co_await from.async_read_some(asio::buffer(data), kAwait);
      while (connection->silent && from.is_open()) {
        co_await Sleep(20);
      }
      if (read_error) {
        break;
      }
      this->bytes += size;
      const auto [write_error, written] =
          co_await asio::async_write(into, asio::buffer(data.data(), size), kAwait);
      if (write_error) {
        break;
      }
    }
    connection->near.close(ignored);
    connection->far.close(ignored);
  }

  asio::io_context& context;
  tcp::acceptor acceptor;
  tcp::endpoint to;
  std::set<std::shared_ptr<Connection>> open;
  bool block = false;
  std::uint64_t connections = 0;
  std::uint64_t bytes = 0;
};

// "A.B.C.D:port"
tcp::endpoint EndpointOf(const std::string& text) {
  const std::size_t mark = text.rfind(':');
  return {asio::ip::make_address(text.substr(0, mark)),
          static_cast<std::uint16_t>(std::stoul(text.substr(mark + 1)))};
}

}  // namespace

}  // namespace ibishold::standin

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  namespace standin = ibishold::standin;
  std::string listen;
  std::string to;
  std::string admin;
  options::options_description description("standin-forwarder");
  description.add_options()("listen", options::value(&listen)->required(), "ADDRESS:PORT")(
      "to", options::value(&to)->required(), "ADDRESS:PORT")(
      "admin", options::value(&admin)->required(), "ADDRESS:PORT");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    boost::asio::io_context context(1);
    standin::Forwarder forwarder(context, standin::EndpointOf(listen), standin::EndpointOf(to));
    const auto admin_endpoint = standin::EndpointOf(admin);
    standin::Serve(
        context, admin_endpoint.address().to_string(), admin_endpoint.port(),
        [&forwarder](const standin::HttpRequest& request) { return forwarder.Handle(request); });
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](auto, auto) { context.stop(); });
    context.run();
  } catch (const std::exception& error) {
    std::cerr << "standin-forwarder: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
