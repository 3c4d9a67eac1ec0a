#ifndef SRC_NODE_NODE_DOCUMENTS_H_
#define SRC_NODE_NODE_DOCUMENTS_H_

#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/node.h"

namespace ibishold {

// Where a VM asks another one for news: "?AFTER,WAIT_MS" follows.
inline constexpr const char* kDocumentsPath = "/ibishold/documents";

template <PlatformTranslation Platform>
void Node<Platform>::DriveFeed() {
  const TimePoint now = BootClock::now();
  const FeedAction action = this->feed.Next(this->mirror.as_of(), this->plan, now);
  if (action.step == FeedStep::kWait) {
    if (action.at == TimePoint::max()) {
      return;  // a call is in progress
    }
    this->feed_timer.expires_after(action.at - now);
    this->feed_timer.async_wait([this](boost::system::error_code error) {
      if (!error) {
        this->DriveFeed();
      }
    });
    return;
  }
  this->feed.OnStarted(action, now);
  this->feed_step = action.step;
  const auto& store_at = this->settings.store;
  const std::string host = absl::StrCat(store_at.address, ":", store_at.port);
  if (action.step == FeedStep::kList) {
    this->listed.clear();
    this->listed_as_of = 0;
    this->StartFeedCall(
        Platform::ListCall(host, ""), store_at.address, store_at.port,
        this->mirror.initialized() ? this->options.store_limit : this->options.unknown_store_limit);
  } else if (action.step == FeedStep::kWatch) {
    const Duration wait = this->options.feed.watch_wait;
    this->StartFeedCall(Platform::WatchCall(host, action.after, wait), store_at.address,
                        store_at.port, wait + this->options.store_limit);
  } else {
    const std::string address = boost::asio::ip::address_v4(action.peer.ip).to_string();
    const auto wait_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->options.peer_wait).count();
    this->StartFeedCall({.method = "GET",
                         .target = absl::StrCat(kDocumentsPath, "?", action.after, ",", wait_ms),
                         .host = address},
                        address, action.peer.port,
                        this->options.peer_wait + this->options.peer_limit);
  }
}

template <PlatformTranslation Platform>
void Node<Platform>::StartFeedCall(HttpRequest request,
                                   const std::string& address,
                                   std::uint16_t port,
                                   Duration limit) {
  this->store_timer.expires_after(limit);
  this->store_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->StoreCallFailed("no answer in time");
    }
  });
  const std::string host = absl::StrCat(address, ":", port);
  if (this->store && this->store->idle() && this->feed_host == host) {
    this->store->Send(request);
    return;
  }
  if (this->store) {
    this->store->Close();
  }
  this->store_request = std::move(request);
  this->store = std::make_shared<ClientConnection>(this->context, ClientConnectionOptions{});
  this->feed_host = host;
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address, error);
  if (error) {
    this->StoreCallFailed("the address is no IP number");
    return;
  }
  this->store->Open({ip, port},
                    {.on_open =
                         [this] {
                           if (this->store_request) {
                             this->store->Send(*std::exchange(this->store_request, std::nullopt));
                           }
                         },
                     .on_reply =
                         [this](const HttpReply& reply) {
                           this->store_timer.cancel();
                           if (this->feed_step == FeedStep::kAskPeer) {
                             this->OnPeerUpdate(reply);
                           } else {
                             this->OnStoreReply(this->feed_step, reply);
                           }
                         },
                     .on_end =
                         [this](ConnectionEnd end) {
                           // The end of an idle connection is seen by the next call.
                           if (end != ConnectionEnd::kClosed) {
                             this->StoreCallFailed(end == ConnectionEnd::kNotConnected
                                                       ? "cannot connect"
                                                       : "connection broken");
                           }
                         }});
}

// A peer's news of the documents.
template <PlatformTranslation Platform>
void Node<Platform>::OnPeerUpdate(const HttpReply& reply) {
  const auto update =
      reply.status == 200 ? DecodeDocumentUpdate(reply.body) : std::optional<DocumentUpdate>();
  if (!update) {
    this->EndFeedCall(FeedOutcome::kRefused, false, absl::StrCat("status=", reply.status));
    return;
  }
  std::vector<DocumentChange> news;
  if (update->complete) {
    news = this->mirror.ApplyList(update->changes, update->as_of);
  } else if (update->as_of > this->mirror.as_of()) {
    news = this->mirror.ApplyChanges(update->changes, update->as_of);
  }
  this->EndFeedCall(FeedOutcome::kApplied, update->in_touch, "");
  this->ApplyDocuments(news);
}

template <PlatformTranslation Platform>
void Node<Platform>::OnStoreReply(FeedStep step, const HttpReply& reply) {
  auto result =
      step == FeedStep::kList ? Platform::DecodeList(reply) : Platform::DecodeWatch(reply);
  if (result.outcome != FeedOutcome::kApplied) {
    this->EndFeedCall(result.outcome, false, result.detail);
    return;
  }
  if (step == FeedStep::kWatch) {
    const auto news = this->mirror.ApplyChanges(result.page.documents, result.page.as_of);
    this->EndFeedCall(FeedOutcome::kApplied, false, "");
    this->ApplyDocuments(news);
    return;
  }
  // Pages are no snapshot: the watch goes on from the revision of the first one.
  this->listed_as_of = this->listed_as_of == 0 ? result.page.as_of : this->listed_as_of;
  for (DocumentChange& document : result.page.documents) {
    this->listed.push_back(std::move(document));
  }
  if (result.page.more && !this->listed.empty()) {
    this->StartFeedCall(Platform::ListCall(this->feed_host, this->listed.back().key),
                        this->settings.store.address, this->settings.store.port,
                        this->options.store_limit);
    return;
  }
  const auto news = this->mirror.ApplyList(std::exchange(this->listed, {}), this->listed_as_of);
  this->EndFeedCall(FeedOutcome::kApplied, false, "");
  this->ApplyDocuments(news);
}

template <PlatformTranslation Platform>
void Node<Platform>::StoreCallFailed(std::string_view cause) {
  this->store_timer.cancel();
  this->store_request.reset();
  if (this->store) {
    this->store->Close();
    this->store.reset();
  }
  this->EndFeedCall(FeedOutcome::kFailed, false, cause);
}

template <PlatformTranslation Platform>
void Node<Platform>::EndFeedCall(FeedOutcome outcome, bool peer_in_touch, std::string_view detail) {
  const TimePoint now = BootClock::now();
  this->feed.OnEnded(outcome, peer_in_touch, now);
  const bool peer = this->feed_step == FeedStep::kAskPeer;
  this->metrics
      .AddCounter("ibishold_document_reads_total", "Calls for published documents",
                  {{"source", peer ? "peer" : "store"},
                   {"outcome", std::string(NameOf(kFeedOutcomeNames, outcome))}})
      .Add();
  if (!peer && (outcome == FeedOutcome::kFailed || outcome == FeedOutcome::kRefused)) {
    this->directory.OnSourceFailure(now);
  }
  const std::vector<LogField> fields = {
      {"outcome", std::string(NameOf(kFeedOutcomeNames, outcome))},
      {"source", peer ? this->feed_host : "store"},
      {"cause", std::string(detail)},
      {"documents_as_of", std::to_string(this->mirror.as_of())}};
  if (!peer && this->store_in_touch != this->feed.store_in_touch()) {
    this->store_in_touch = this->feed.store_in_touch();
    this->log.WriteAlways(this->store_in_touch ? "store_regained" : "store_lost", fields);
  }
  if (this->documents_in_touch != this->feed.in_touch()) {
    this->documents_in_touch = this->feed.in_touch();
    this->log.Write(this->documents_in_touch ? "documents_regained" : "documents_lost", fields);
    this->AnswerWaitingPeers(true);
  }
  this->DriveFeed();
}

template <PlatformTranslation Platform>
void Node<Platform>::ApplyDocuments(const std::vector<DocumentChange>& news) {
  bool evacuations = false;
  std::vector<DirectoryEvent> leaf_events;
  this->AnswerWaitingPeers(false);
  for (const DocumentChange& change : news) {
    const auto name = Platform::NameOfKey(change.key);
    if (name.kind == Platform::DocumentKind::kRoutes) {
      this->ApplyRoutes(change);
    } else if (name.kind == Platform::DocumentKind::kLeaf) {
      leaf_events.push_back(this->ApplyLeaf(LeafId(name.name), change));
    } else if (name.kind == Platform::DocumentKind::kEvacuation) {
      evacuations = true;
      this->log.WriteAlways("evacuation", {{"data_centre", name.name},
                                           {"outcome", change.removed ? "ended" : "begun"},
                                           {"revision", std::to_string(change.revision)}});
    }
  }
  this->LogDirectoryEvents(leaf_events);
  if (evacuations) {
    std::unordered_set<std::string> centres;
    for (const DocumentChange& document : this->mirror.AllDocuments()) {
      const auto name = Platform::NameOfKey(document.key);
      if (name.kind == Platform::DocumentKind::kEvacuation) {
        centres.insert(name.name);
      }
    }
    this->directory.SetEvacuated(std::move(centres));
  }
}

template <PlatformTranslation Platform>
void Node<Platform>::ApplyRoutes(const DocumentChange& change) {
  if (change.removed) {
    return;  // routes in force stay in force
  }
  std::vector<std::string> skipped;
  auto table = Platform::DecodeRoutes(change.value, skipped);
  for (const std::string& problem : skipped) {
    this->log.Write("route_skipped",
                    {{"problem", problem}, {"revision", std::to_string(change.revision)}});
  }
  const auto& current = this->coordinator.routes();
  const bool older = table.ok() && current && table->version <= current->version;
  this->log.WriteAlways("routes",
                        {{"outcome", !table.ok() ? "unreadable"
                                     : older     ? "ignored_older"
                                                 : "in_force"},
                         {"version", table.ok() ? std::to_string(table->version) : "unknown"},
                         {"replaced", current ? std::to_string(current->version) : "none"},
                         {"routes", table.ok() ? std::to_string(table->routes.size()) : "0"},
                         {"revision", std::to_string(change.revision)}});
  if (!table.ok() || older) {
    return;
  }
  this->callers.SetLimits(table->limits);
  this->coordinator.SetRoutes(std::make_shared<const RouteTable>(*std::move(table)));
}

template <PlatformTranslation Platform>
DirectoryEvent Node<Platform>::ApplyLeaf(const LeafId& id, const DocumentChange& change) {
  const TimePoint now = BootClock::now();
  if (change.removed) {
    DirectoryEvent event = this->directory.Remove(id, change.revision, now);
    if (event.change == DirectoryChange::kRemoved) {
      this->coordinator.tracker().Forget(id);
    }
    return event;
  }
  const auto entry = Platform::DecodeLeaf(id, change.value, change.revision);
  if (!entry.ok()) {
    this->log.Write("leaf_entry_skipped", {{"leaf", id.value},
                                           {"problem", std::string(entry.status().message())},
                                           {"revision", std::to_string(change.revision)}});
    return {};
  }
  DirectoryEvent event = this->directory.Put(*entry, now);
  if (event.change == DirectoryChange::kRestarted) {
    this->coordinator.tracker().Forget(id);
  }
  if (entry->warm_up_left > Duration::zero()) {
    this->coordinator.tracker().Cold(id, now + entry->warm_up_left, now);
  }
  return event;
}

template <PlatformTranslation Platform>
void Node<Platform>::LogDirectoryEvents(const std::vector<DirectoryEvent>& events) {
  // A list that is read at the start, or an index that is cut anew, is one change of belief.
  constexpr std::size_t kMostSingleLines = 16;
  std::map<std::string_view, std::size_t> counts;  // by name of the change
  std::uint64_t newest = 0;
  const auto changed = static_cast<std::size_t>(std::count_if(
      events.begin(), events.end(),
      [](const DirectoryEvent& event) { return event.change != DirectoryChange::kUnchanged; }));
  for (const DirectoryEvent& event : events) {
    if (event.change == DirectoryChange::kUnchanged) {
      continue;
    }
    const std::string_view change = NameOf(kDirectoryChangeNames, event.change);
    if (changed > kMostSingleLines) {
      ++counts[change];
      newest = std::max(newest, event.revision);
      continue;
    }
    this->log.Write("leaf", {{"leaf", event.leaf.value},
                             {"service", event.service.value},
                             {"change", std::string(change)},
                             {"revision", std::to_string(event.revision)}});
  }
  if (counts.empty()) {
    return;
  }
  std::vector<LogField> fields;
  fields.reserve(counts.size() + 1);
  for (const auto& [change, count] : counts) {
    fields.push_back({change, std::to_string(count)});
  }
  fields.push_back({"revision", std::to_string(newest)});
  this->log.Write("leaves", fields);
}

// Opens a connection to each usable leaf of the routed services that has none, while all VMs
// together stay within the leaf's limit.
template <PlatformTranslation Platform>
void Node<Platform>::WarmConnections() {
  const auto& routes = this->coordinator.routes();
  if (!routes) {
    return;
  }
  std::unordered_set<std::string> services;
  std::unordered_set<std::string> fan_out_services;
  for (const Route& route : routes->routes) {
    for (const ServiceName& shard : route.shards) {
      services.insert(shard.value);
      fan_out_services.insert(shard.value);
    }
    for (const RouteTarget& target : route.targets) {
      services.insert(target.service.value);
    }
  }
  for (const std::string& service : services) {
    const auto settings_of = routes->services.find(ServiceName(service));
    const bool fan_out = fan_out_services.contains(service);
    const std::size_t senders = fan_out ? this->plan.senders : this->plan.vms;
    if (settings_of == routes->services.end() || (fan_out && !this->plan.self_coordinates) ||
        settings_of->second.connection_limit * this->options.coordinator.connection_share <
            static_cast<double>(senders)) {
      continue;
    }
    for (const LeafEntry* leaf : this->directory.UsableLeaves(ServiceName(service))) {
      this->pool.Warm(*leaf);
    }
  }
}

}  // namespace ibishold

#endif  // SRC_NODE_NODE_DOCUMENTS_H_
