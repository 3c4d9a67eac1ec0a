// standin-platform: the platform's configuration service (design section 4.1).
//
// Readers:   GET /v1/keys/{key}[?watch=G&wait_ms=N]
// Operators: PUT /admin/keys/{key}   publishes the body, a document with a "generation"
//            POST /admin/mode        {"lag_ms":N,"outage":bool,"stale":bool,"freeze":bool}
//            GET /admin/counters     calls by key and kind
#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <charconv>
#include <chrono>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include "standins/http.h"

namespace ibishold::standin {

namespace {

using Clock = std::chrono::steady_clock;

struct Published {
  std::uint64_t generation = 0;
  std::string text;
  Clock::time_point at;
};

struct Counters {
  std::uint64_t reads = 0;
  std::uint64_t watches = 0;
  std::uint64_t refused = 0;
};

class Platform {
 public:
  void Publish(const std::string& key, std::string text) {
    const json::value document = json::parse(text);
    Published published;
    published.generation = document.at("generation").to_number<std::uint64_t>();
    published.text = std::move(text);
    published.at = Clock::now();
    this->keys[key].push_back(std::move(published));
  }

  asio::awaitable<std::optional<HttpResponse>> Handle(const HttpRequest& request) {
    const std::string target = TargetOf(request);
    constexpr std::string_view kKeys = "/v1/keys/";
    constexpr std::string_view kAdminKeys = "/admin/keys/";
    if (target.starts_with(kKeys)) {
      co_return co_await this->Read(target.substr(kKeys.size()));
    }
    if (target.starts_with(kAdminKeys) && request.method() == http::verb::put) {
      this->Publish(target.substr(kAdminKeys.size()), request.body());
      co_return Answer(200, json::object{});
    }
    if (target == "/admin/mode") {
      this->SetMode(json::parse(request.body()).as_object());
      co_return Answer(200, json::object{});
    }
    if (target == "/admin/counters") {
      co_return Answer(200, this->CountersToJson());
    }
    co_return Answer(404, json::object{{"error", "unknown target"}});
  }

 private:
  void SetMode(const json::object& mode) {
    const auto flag = [&mode](std::string_view key, bool value_now) {
      const json::value* value = mode.if_contains(key);
      return value == nullptr ? value_now : value->as_bool();
    };
    this->lag_ms = NumberOr(mode, "lag_ms", this->lag_ms);
    this->outage = flag("outage", this->outage);
    this->stale = flag("stale", this->stale);
    this->freeze = flag("freeze", this->freeze);
  }

  // The document that readers see now: the newest one older than the lag, or the one before it
  // while reads are stale.
  const Published* Visible(const std::string& key) const {
    const auto found = this->keys.find(key);
    if (found == this->keys.end()) {
      return nullptr;
    }
    const Clock::time_point limit =
        Clock::now() - std::chrono::microseconds(static_cast<std::int64_t>(this->lag_ms * 1000));
    const Published* visible = nullptr;
    const Published* before = nullptr;
    for (const Published& published : found->second) {
      if (visible == nullptr || published.at <= limit) {
        before = visible;
        visible = &published;
      }
    }
    return this->stale && before != nullptr ? before : visible;
  }

  static std::uint64_t Parameter(const std::string& query, const std::string& name) {
    const std::size_t at = query.find(name + "=");
    std::uint64_t value = 0;
    if (at != std::string::npos) {
      const char* first = query.data() + at + name.size() + 1;
      std::from_chars(first, query.data() + query.size(), value);
    }
    return value;
  }

  asio::awaitable<std::optional<HttpResponse>> Read(const std::string& target) {
    const std::size_t mark = target.find('?');
    const std::string key = target.substr(0, mark);
    const std::string query = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    const bool watch = query.find("watch=") != std::string::npos;
    Counters& counters = this->counters[key];
    (watch ? counters.watches : counters.reads) += 1;
    const std::uint64_t known = Parameter(query, "watch");
    const std::uint64_t wait_ms = std::min<std::uint64_t>(Parameter(query, "wait_ms"), 600000);
    const auto deadline = Clock::now() + std::chrono::milliseconds(wait_ms);
    for (;;) {
      while (this->freeze) {
        co_await Sleep(50);
      }
      if (this->outage) {
        counters.refused += 1;
        co_return Answer(503, json::object{{"error", "outage"}});
      }
      const Published* visible = this->Visible(key);
      if (!watch && visible == nullptr) {
        co_return Answer(404, json::object{{"error", "unknown key"}});
      }
      if (visible != nullptr && (!watch || visible->generation > known)) {
        HttpResponse response = AnswerText(200, visible->text);
        response.set("X-Generation", std::to_string(visible->generation));
        co_return response;
      }
      if (Clock::now() >= deadline) {
        HttpResponse response = AnswerText(304, "");
        response.set("X-Generation", std::to_string(visible == nullptr ? 0 : visible->generation));
        co_return response;
      }
      co_await Sleep(20);
    }
  }

  json::value CountersToJson() const {
    json::object result;
    for (const auto& [key, counters] : this->counters) {
      result[key] = json::object{
          {"reads", counters.reads}, {"watches", counters.watches}, {"refused", counters.refused}};
    }
    return result;
  }

  std::map<std::string, std::deque<Published>> keys;
  std::map<std::string, Counters> counters;
  double lag_ms = 0;
  bool outage = false;  // answers 503
  bool stale = false;   // serves the publication before the newest
  bool freeze = false;  // accepts calls and does not answer
};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

}  // namespace ibishold::standin

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  namespace standin = ibishold::standin;
  std::string address = "127.1.3.1";
  std::uint16_t port = 8500;
  std::string documents;
  options::options_description description("standin-platform");
  description.add_options()("address", options::value(&address), "IP address, 127.1.3.1")(
      "port", options::value(&port), "port, 8500")(
      "documents", options::value(&documents),
      "folder with topology.json, table.json and vms.json to publish at start");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    boost::asio::io_context context;
    standin::Platform platform;
    if (!documents.empty()) {
      for (const std::string key : {"topology", "table", "vms"}) {
        platform.Publish(key, standin::ReadFile(documents + "/" + key + ".json"));
      }
    }
    standin::Serve(context, address, port, [&platform](const standin::HttpRequest& request) {
      return platform.Handle(request);
    });
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](auto, auto) { context.stop(); });
    context.run();
  } catch (const std::exception& error) {
    std::cerr << "standin-platform: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
