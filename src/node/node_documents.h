#ifndef SRC_NODE_NODE_DOCUMENTS_H_
#define SRC_NODE_NODE_DOCUMENTS_H_

#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/node.h"
#include "node/node_calls.h"

namespace ibishold {

// Path at which a VM asks a peer for documents newer than a revision. The query is
// AFTER,WAIT_MS,EPOCH: the revision's number, how long the peer may wait for a change before it
// answers, in milliseconds, and the revision's epoch.
inline constexpr const char* kDocumentsPath = "/ibishold/documents";

template <PlatformTranslation Platform>
void Node<Platform>::RunNextFeedStep() {
  const TimePoint now = BootClock::now();
  const FeedAction action = this->feed.Next(this->mirror.as_of(), this->plan, now);
  if (action.step == FeedStep::kWait) {
    if (action.at == TimePoint::max()) {
      return;  // a feed request is in progress
    }
    this->feed_timer.expires_after(action.at - now);
    this->feed_timer.async_wait([this](boost::system::error_code error) {
      if (!error) {
        this->RunNextFeedStep();
      }
    });
    return;
  }
  this->feed.OnStarted(action, now);
  this->feed_action = action;
  this->feed_started_at = now;
  const auto& store_endpoint = this->settings.store;
  const std::string host = absl::StrCat(store_endpoint.address, ":", store_endpoint.port);
  if (action.step == FeedStep::kList) {
    this->listed_documents.clear();
    this->list_revision = {};
    this->StartFeedRequest(Platform::BuildListRequest(host, ""), store_endpoint.address,
                           store_endpoint.port, action.time_limit);
  } else if (action.step == FeedStep::kWatch) {
    this->StartFeedRequest(Platform::BuildWatchRequest(host, action.after.number, action.wait),
                           store_endpoint.address, store_endpoint.port, action.time_limit);
  } else {
    const std::string address = boost::asio::ip::address_v4(action.peer.ip).to_string();
    const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(action.wait).count();
    this->StartFeedRequest({.method = "GET",
                            .target = absl::StrCat(kDocumentsPath, "?", action.after.number, ",",
                                                   wait_ms, ",", action.after.epoch),
                            .host = address},
                           address, action.peer.port, action.time_limit);
  }
}

template <PlatformTranslation Platform>
void Node<Platform>::StartFeedRequest(HttpRequest request,
                                      const std::string& address,
                                      std::uint16_t port,
                                      Duration limit) {
  this->feed_request_timer.expires_after(limit);
  this->feed_request_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->FailFeedRequest("no answer in time");
    }
  });
  const std::string host = absl::StrCat(address, ":", port);
  if (this->feed_connection && this->feed_connection->idle() && this->feed_host == host) {
    this->feed_connection->Send(request);
    return;
  }
  if (this->feed_connection) {
    this->feed_connection->Close();
  }
  this->pending_feed_request = std::move(request);
  this->feed_connection =
      std::make_shared<ClientConnection>(this->context, ClientConnectionOptions{});
  this->feed_host = host;
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address, error);
  if (error) {
    this->FailFeedRequest("the address is not an IP address");
    return;
  }
  this->feed_connection->Open(
      {ip, port}, {.on_open =
                       [this] {
                         if (this->pending_feed_request) {
                           this->feed_connection->Send(
                               *std::exchange(this->pending_feed_request, std::nullopt));
                         }
                       },
                   .on_reply =
                       [this](const HttpReply& reply) {
                         this->feed_request_timer.cancel();
                         if (this->feed_action.step == FeedStep::kAskPeer) {
                           this->OnPeerDocuments(reply);
                         } else {
                           this->OnStoreReply(this->feed_action.step, reply);
                         }
                       },
                   .on_end =
                       [this](ConnectionEnd end) {
                         // Closed while idle: the next request opens a new connection.
                         if (end != ConnectionEnd::kClosed) {
                           this->FailFeedRequest(end == ConnectionEnd::kNotConnected
                                                     ? "cannot connect"
                                                     : "connection broken");
                         }
                       }});
}

template <PlatformTranslation Platform>
void Node<Platform>::OnPeerDocuments(const HttpReply& reply) {
  const auto update =
      reply.status == 200 ? DecodeDocumentUpdate(reply.body) : std::optional<DocumentUpdate>();
  if (!update) {
    this->EndFeedRequest(FeedOutcome::kRefused, false, absl::StrCat("status=", reply.status));
    return;
  }
  // A peer that still has the documents of an older epoch is not up to date, whatever its source.
  const bool in_touch = update->in_touch && update->as_of.epoch >= this->mirror.as_of().epoch;
  if (update->complete) {
    this->ApplyCompleteList(update->changes, update->as_of, in_touch);
    return;
  }
  std::vector<DocumentChange> changes;
  if (update->as_of > this->mirror.as_of()) {
    changes = this->mirror.ApplyChanges(update->changes, update->as_of);
  }
  this->EndFeedRequest(FeedOutcome::kApplied, in_touch, "");
  this->ApplyDocuments(changes);
}

template <PlatformTranslation Platform>
void Node<Platform>::ApplyCompleteList(const std::vector<DocumentChange>& documents,
                                       Revision as_of,
                                       bool peer_in_touch) {
  const Revision known = this->mirror.as_of();
  const auto changes = this->mirror.ApplyList(documents, as_of);
  if (!known.none() && as_of.epoch > known.epoch) {
    this->metrics
        .AddCounter("ibishold_store_restorations_total",
                    "Times that the store was found restored from an older copy")
        .Add();
    this->log.WriteUnthrottled(
        "store_restored",
        {{"source", this->feed_action.step == FeedStep::kAskPeer ? this->feed_host : "store"},
         {"documents_as_of", FormatRevision(as_of)},
         {"replaced", FormatRevision(known)},
         {"changes", std::to_string(changes.size())}});
  }
  this->EndFeedRequest(FeedOutcome::kApplied, peer_in_touch, "");
  this->ApplyDocuments(changes);
}

template <PlatformTranslation Platform>
void Node<Platform>::OnStoreReply(FeedStep step, const HttpReply& reply) {
  const std::uint64_t known_epoch = this->mirror.as_of().epoch;
  auto result = step == FeedStep::kList ? Platform::DecodeList(reply, known_epoch)
                                        : Platform::DecodeWatch(reply, known_epoch);
  if (result.outcome != FeedOutcome::kApplied) {
    this->EndFeedRequest(result.outcome, false, result.detail);
    return;
  }
  const bool first_page = step == FeedStep::kList && this->list_revision.none();
  const FeedOutcome by_epoch = JudgeEpoch(
      result.page.as_of.epoch, std::max(known_epoch, this->list_revision.epoch), !first_page);
  if (by_epoch != FeedOutcome::kApplied) {
    this->EndFeedRequest(by_epoch, false,
                         absl::StrCat("epoch ", result.page.as_of.epoch, " of the store"));
    return;
  }
  if (step == FeedStep::kWatch) {
    const auto changes = this->mirror.ApplyChanges(result.page.documents, result.page.as_of);
    this->EndFeedRequest(FeedOutcome::kApplied, false, "");
    this->ApplyDocuments(changes);
    return;
  }
  // The store may change between two pages, so the watch starts from the revision of the first page
  // and receives every change made since.
  this->list_revision = first_page ? result.page.as_of : this->list_revision;
  for (DocumentChange& document : result.page.documents) {
    this->listed_documents.push_back(std::move(document));
  }
  if (result.page.more && !this->listed_documents.empty()) {
    this->StartFeedRequest(
        Platform::BuildListRequest(this->feed_host, this->listed_documents.back().key),
        this->settings.store.address, this->settings.store.port, this->feed_action.time_limit);
    return;
  }
  this->ApplyCompleteList(std::exchange(this->listed_documents, {}), this->list_revision, false);
}

template <PlatformTranslation Platform>
void Node<Platform>::FailFeedRequest(std::string_view cause) {
  this->feed_request_timer.cancel();
  this->pending_feed_request.reset();
  if (this->feed_connection) {
    this->feed_connection->Close();
    this->feed_connection.reset();
  }
  this->EndFeedRequest(FeedOutcome::kFailed, false, cause);
}

template <PlatformTranslation Platform>
void Node<Platform>::EndFeedRequest(FeedOutcome outcome,
                                    bool peer_in_touch,
                                    std::string_view detail) {
  const TimePoint now = BootClock::now();
  this->feed.OnEnded(outcome, peer_in_touch, now);
  const bool peer = this->feed_action.step == FeedStep::kAskPeer;
  if (this->feed.in_touch()) {
    this->documents_confirmed_at = now;
  }
  this->metrics
      .AddCounter("ibishold_document_reads_total", "Calls for published documents",
                  {{"source", peer ? "peer" : "store"},
                   {"outcome", std::string(ToName(kFeedOutcomeNames, outcome))}})
      .Add();
  if (!peer && (outcome == FeedOutcome::kFailed || outcome == FeedOutcome::kRefused)) {
    this->directory.OnSourceFailure(now);
  }
  const std::vector<LogField> fields = {
      {"outcome", std::string(ToName(kFeedOutcomeNames, outcome))},
      {"source", peer ? this->feed_host : "store"},
      {"cause", std::string(detail)},
      {"waited_ms", FormatMilliseconds(now - this->feed_started_at)},
      {"documents_as_of", FormatRevision(this->mirror.as_of())}};
  if (!peer && this->store_in_touch != this->feed.store_in_touch()) {
    this->store_in_touch = this->feed.store_in_touch();
    this->log.WriteUnthrottled(this->store_in_touch ? "store_regained" : "store_lost", fields);
  }
  if (this->documents_in_touch != this->feed.in_touch()) {
    this->documents_in_touch = this->feed.in_touch();
    this->log.Write(this->documents_in_touch ? "documents_regained" : "documents_lost", fields);
    this->AnswerDocumentRequests(true);
  }
  this->RunNextFeedStep();
}

template <PlatformTranslation Platform>
void Node<Platform>::ApplyDocuments(const std::vector<DocumentChange>& changes) {
  const TimePoint now = BootClock::now();
  std::vector<DirectoryEvent> leaf_events;
  this->AnswerDocumentRequests(false);
  for (const DocumentChange& change : changes) {
    const auto name = Platform::ParseDocumentKey(change.key);
    if (name.kind == Platform::DocumentKind::kRoutes) {
      this->ApplyRoutes(change);
    } else if (name.kind == Platform::DocumentKind::kLeaf) {
      leaf_events.push_back(this->ApplyLeaf(LeafId(name.name), change));
    } else if (name.kind == Platform::DocumentKind::kEvacuation) {
      this->ApplyEvacuation(DataCentre(name.name), change, now);
    }
  }
  this->LogDirectoryEvents(leaf_events);
}

template <PlatformTranslation Platform>
void Node<Platform>::ApplyEvacuation(const DataCentre& data_centre,
                                     const DocumentChange& change,
                                     TimePoint now) {
  std::string_view outcome = "begun";
  if (!change.removed) {
    this->directory.BeginEvacuation(data_centre);
  } else {
    outcome =
        this->directory.EndEvacuation(data_centre, now, change.origin) ? "ended" : "end_deferred";
  }
  this->log.WriteUnthrottled("evacuation", {{"data_centre", data_centre.value},
                                            {"outcome", std::string(outcome)},
                                            {"revision", FormatRevision(change.revision)}});
}

template <PlatformTranslation Platform>
void Node<Platform>::ApplyRoutes(const DocumentChange& change) {
  if (change.removed) {
    return;  // the routes in force stay
  }
  std::vector<std::string> skipped;
  auto table = Platform::DecodeRoutes(change.value, skipped);
  for (const std::string& problem : skipped) {
    this->log.Write("route_skipped",
                    {{"problem", problem}, {"revision", FormatRevision(change.revision)}});
  }
  const auto& current = this->coordinator.routes();
  const bool older = table.ok() && current && table->version <= current->version;
  this->log.WriteUnthrottled("routes",
                             {{"outcome", !table.ok() ? "unreadable"
                                          : older     ? "ignored_older"
                                                      : "in_force"},
                              {"version", table.ok() ? std::to_string(table->version) : "unknown"},
                              {"replaced", current ? std::to_string(current->version) : "none"},
                              {"routes", table.ok() ? std::to_string(table->routes.size()) : "0"},
                              {"revision", FormatRevision(change.revision)}});
  if (!table.ok() || older) {
    return;
  }
  this->callers.SetLimits(table->limits);
  this->coordinator.SetRoutes(std::make_shared<const RouteTable>(*std::move(table)));
  this->SetTenants(this->coordinator.routes());
}

template <PlatformTranslation Platform>
DirectoryEvent Node<Platform>::ApplyLeaf(const LeafId& id, const DocumentChange& change) {
  const TimePoint now = BootClock::now();
  if (change.removed) {
    DirectoryEvent event = this->directory.Remove(id, change.revision, now, change.origin);
    if (event.change == DirectoryChange::kRemoved) {
      this->coordinator.tracker().Forget(id);
    }
    return event;
  }
  const auto entry = Platform::DecodeLeaf(id, change.value, change.revision);
  if (!entry.ok()) {
    this->log.Write("leaf_entry_skipped", {{"leaf", id.value},
                                           {"problem", std::string(entry.status().message())},
                                           {"revision", FormatRevision(change.revision)}});
    return {};
  }
  DirectoryEvent event = this->directory.Put(*entry, now, change.origin);
  if (event.change == DirectoryChange::kUpdateDeferred) {
    return event;
  }
  if (event.change == DirectoryChange::kRestarted) {
    this->coordinator.tracker().Forget(id);
  }
  if (entry->warm_up_left > Duration::zero()) {
    this->coordinator.tracker().SetColdUntil(id, now + entry->warm_up_left, now);
  }
  return event;
}

template <PlatformTranslation Platform>
void Node<Platform>::ApplyDeferredChanges(TimePoint now) {
  const std::vector<DirectoryEvent> events = this->directory.ApplyDeferredChanges(now);
  for (const DirectoryEvent& event : events) {
    if (event.change == DirectoryChange::kRemoved || event.change == DirectoryChange::kRestarted) {
      this->coordinator.tracker().Forget(event.leaf);
    }
  }
  this->LogDirectoryEvents(events);
  for (const DataCentre& data_centre : this->directory.ApplyDeferredEvacuationEnds(now)) {
    this->log.WriteUnthrottled("evacuation", {{"data_centre", data_centre.value},
                                              {"outcome", "ended"},
                                              {"revision", FormatRevision(this->mirror.as_of())}});
  }
}

template <PlatformTranslation Platform>
void Node<Platform>::LogDirectoryEvents(const std::vector<DirectoryEvent>& events) {
  // The first list after the start, or a new partition of the index, changes many leaves at once
  // and is logged as one line of counts.
  constexpr std::size_t kMaxSingleEvents = 16;
  std::map<std::string_view, std::size_t> counts;  // by name of the change
  Revision newest;
  const auto changed = static_cast<std::size_t>(std::count_if(
      events.begin(), events.end(),
      [](const DirectoryEvent& event) { return event.change != DirectoryChange::kUnchanged; }));
  for (const DirectoryEvent& event : events) {
    if (event.change == DirectoryChange::kUnchanged) {
      continue;
    }
    const std::string_view change = ToName(kDirectoryChangeNames, event.change);
    if (changed > kMaxSingleEvents) {
      ++counts[change];
      newest = std::max(newest, event.revision);
      continue;
    }
    this->log.Write("leaf", {{"leaf", event.leaf.value},
                             {"service", event.service.value},
                             {"change", std::string(change)},
                             {"revision", FormatRevision(event.revision)}});
  }
  if (counts.empty()) {
    return;
  }
  std::vector<LogField> fields;
  fields.reserve(counts.size() + 1);
  for (const auto& [change, count] : counts) {
    fields.push_back({change, std::to_string(count)});
  }
  fields.push_back({"revision", FormatRevision(newest)});
  this->log.Write("leaves", fields);
}

// Opens a connection to each usable leaf of the routed services that has none. Leaves out services
// where one connection from each sending VM would exceed the leaf's limit.
template <PlatformTranslation Platform>
void Node<Platform>::OpenLeafConnections() {
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
      this->pool.Preconnect(*leaf);
    }
  }
}

}  // namespace ibishold

#endif  // SRC_NODE_NODE_DOCUMENTS_H_
