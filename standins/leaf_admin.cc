#include "standins/leaf_admin.h"

#include <set>

namespace ibishold::standin {

namespace {

bool FlagOf(const json::object& body, std::string_view key) {
  const json::value* value = body.if_contains(key);
  return value == nullptr || value->as_bool();
}

}  // namespace

LeafAdmin::LeafAdmin(asio::io_context& context,
                     const Topology& topology,
                     const std::string& data_centre,
                     const LeafOptions& options,
                     bool warm)
    : options(options) {
  for (const Service& service : topology.services) {
    for (const Shard& shard : service.shards) {
      for (const Leaf& leaf : shard.leaves) {
        if (!data_centre.empty() && leaf.data_centre.value != data_centre) {
          continue;
        }
        this->leaves.push_back(
            std::make_unique<LeafModel>(context, service, leaf, this->options, this->log));
        this->leaves.back()->SetMap(topology);
        this->leaves.back()->Start(warm);
      }
    }
  }
}

asio::awaitable<std::optional<HttpResponse>> LeafAdmin::Handle(const HttpRequest& request) {
  const std::string target = TargetOf(request);
  constexpr std::string_view kPrefix = "/admin/";
  if (target == "/admin/records") {
    co_return Answer(200, this->RecordsToJson());
  }
  if (!target.starts_with(kPrefix)) {
    co_return Answer(404, json::object{{"error", "unknown target"}});
  }
  const json::value body = request.body().empty() ? json::object{} : json::parse(request.body());
  co_return this->Act(target.substr(kPrefix.size()), body.as_object());
}

HttpResponse LeafAdmin::Act(const std::string& action, const json::object& body) {
  std::set<std::string> chosen;
  if (const json::value* ids = body.if_contains("leaves")) {
    for (const json::value& id : ids->as_array()) {
      chosen.emplace(id.as_string());
    }
  }
  if (action == "options") {
    this->options.Update(body);
    return Answer(200, json::object{});
  }
  std::optional<Topology> topology;
  if (action == "topology") {
    const auto parsed = ParseTopology(json::serialize(body.at("topology")));
    if (!parsed.ok()) {
      return Answer(400, json::object{{"error", std::string(parsed.status().message())}});
    }
    topology = *parsed;
  }
  std::uint64_t count = 0;
  for (const auto& leaf : this->leaves) {
    if (body.contains("leaves") && !chosen.contains(leaf->leaf.id.value)) {
      continue;
    }
    count += 1;
    if (action == "stop") {
      leaf->Stop();
    } else if (action == "start") {
      leaf->Start(false);
    } else if (action == "crash") {
      leaf->Crash();
    } else if (action == "silence") {
      leaf->Silence();
    } else if (action == "drain") {
      leaf->Drain(FlagOf(body, "on"));
    } else if (action == "announce-out") {
      leaf->AnnounceOut(FlagOf(body, "on"));
    } else if (action == "advance") {
      leaf->Advance(body.at("version").to_number<std::uint64_t>());
    } else if (action == "topology") {
      leaf->SetMap(*topology);
    } else {
      return Answer(404, json::object{{"error", "unknown action"}});
    }
  }
  return Answer(200, json::object{{"leaves", count}});
}

json::value LeafAdmin::RecordsToJson() const {
  json::object by_leaf;
  for (const auto& leaf : this->leaves) {
    by_leaf[leaf->leaf.id.value] = leaf->RecordsToJson();
  }
  json::object operations;
  for (const auto& [operation, count] : this->log.operations) {
    operations[operation] = count;
  }
  json::object terms;
  for (const auto& [term, count] : this->log.terms) {
    terms[term] = count;
  }
  return json::object{{"leaves", std::move(by_leaf)},
                      {"operations", std::move(operations)},
                      {"terms", std::move(terms)}};
}

}  // namespace ibishold::standin
