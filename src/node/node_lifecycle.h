#ifndef SRC_NODE_NODE_LIFECYCLE_H_
#define SRC_NODE_NODE_LIFECYCLE_H_

#include <csignal>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/node.h"
#include "node/node_calls.h"
#include "node/node_documents.h"
#include "node/node_gossip.h"
#include "node/node_peers.h"
#include "node/node_tenants.h"

namespace ibishold {

// Leaves out seeds that are not IPv4 addresses.
template <typename Settings>
std::vector<PeerAddress> ParseSeeds(const Settings& settings) {
  std::vector<PeerAddress> seeds;
  for (const auto& seed : settings.seeds) {
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address_v4(seed.address, error);
    if (!error) {
      seeds.push_back({.ip = ip.to_uint(), .port = seed.port});
    }
  }
  return seeds;
}

// When the whole system starts for the first time, most VMs wait for the watchers' documents. A VM
// that starts later reads the store at once, because callers are waiting.
inline DocumentFeedOptions MakeFeedOptions(DocumentFeedOptions feed_options, bool first_start) {
  feed_options.ask_store_first = !first_start;
  return feed_options;
}

template <PlatformTranslation Platform>
Node<Platform>::Node(typename Platform::Settings node_settings,
                     std::string path,
                     NodeOptions node_options)
    : settings(std::move(node_settings)),
      settings_path(std::move(path)),
      options(std::move(node_options)),
      log(context, options.log),
      random(StableHash(settings.vm.value,
                        static_cast<std::uint64_t>(BootClock::now().time_since_epoch().count()))),
      directory(options.directory),
      coordinator(options.coordinator, directory, random.Next()),
      pool(context,
           options.pool,
           {.on_sent =
                [this](AttemptId attempt) { this->coordinator.OnSent(attempt, BootClock::now()); },
            .on_reply = [this](AttemptId attempt,
                               HttpReply reply) { this->OnLeafReply(attempt, std::move(reply)); },
            .on_failure = [this](AttemptId attempt,
                                 AttemptFailure failure) { this->OnLeafFailure(attempt, failure); },
            .match_reply =
                [this](AttemptId attempt, const HttpReply& reply) {
                  const auto found = this->calls_by_attempt.find(attempt);
                  return found == this->calls_by_attempt.end()
                             ? ReplyMatch::kOtherRequest
                             : Platform::FindReplyOwner(
                                   reply, this->open_calls.at(found->second).request_id);
                },
            .on_unmatched_reply =
                [this](const LeafId& leaf, std::uint64_t leaf_started, const HttpReply& reply) {
                  this->coordinator.OnLeafNotice(
                      leaf, leaf_started, Platform::DecodeLeafReply(reply), BootClock::now());
                  this->ProcessLeafReports();
                }}),
      callers(context,
              {.on_request =
                   [this](std::uint64_t ticket, HttpRequest request, Duration caller_time) {
                     this->OnRequest(ticket, std::move(request), caller_time);
                   },
               .on_disconnect =
                   [this](std::uint64_t ticket) { this->OnCallerLeft(this->callers, ticket); }},
              options.caller_request_bytes_limit),
      readiness(context,
                {.on_request =
                     [this](std::uint64_t ticket, const HttpRequest& request, Duration) {
                       this->OnStatusRequest(this->readiness, ticket, request);
                     },
                 .on_disconnect = [](std::uint64_t) {}}),
      operators(context,
                {.on_request =
                     [this](std::uint64_t ticket, const HttpRequest& request, Duration) {
                       this->OnStatusRequest(this->operators, ticket, request);
                     },
                 .on_disconnect = [](std::uint64_t) {}}),
      peer_table(
          options.peers,
          {.address = {.ip = boost::asio::ip::make_address_v4(settings.peers.address).to_uint(),
                       .port = settings.peers.port},
           .incarnation =
               static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                            std::chrono::system_clock::now().time_since_epoch())
                                            .count()),
           .data_centre = settings.data_centre,
           .processor_share = settings.cpu_share},
          ParseSeeds(settings),
          random.Next(),
          BootClock::now()),
      tenant_states(MakeTenantStateOptions()),
      allowance_gate(options.allowance_gate,
                     peer_table.self().incarnation,
                     tenant_states,
                     random.Next()),
      usage_ledger(MakeLedgerOptions(), tenant_states),
      hand_over(options.hand_over, random.Next()),
      caller_path(options.caller_path),
      peer_pool(
          context,
          options.pool,
          {.on_sent = [](AttemptId) {},
           .on_reply = [this](AttemptId attempt,
                              HttpReply reply) { this->OnPeerReply(attempt, std::move(reply)); },
           .on_failure = [this](
                             AttemptId attempt,
                             AttemptFailure failure) { this->OnPeerFailure(attempt, failure); }}),
      peer_port(context,
                {.on_request =
                     [this](std::uint64_t ticket, HttpRequest request, Duration) {
                       this->OnPeerRequest(ticket, std::move(request));
                     },
                 .on_disconnect =
                     [this](std::uint64_t ticket) {
                       std::erase_if(this->peer_document_requests,
                                     [&](const PeerDocumentRequest& waiting) {
                                       return waiting.ticket == ticket;
                                     });
                       this->OnCallerLeft(this->peer_port, ticket);
                     }}),
      feed(MakeFeedOptions(options.feed, settings.first_start), random.Next()) {
  this->coordinator.SetSenderCounts(this->options.initial_vm_count, this->options.initial_vm_count);
}

template <PlatformTranslation Platform>
absl::Status Node<Platform>::Start() {
  this->started_at = BootClock::now();
  this->settings_read_at = this->started_at;
  absl::Status status;
  status.Update(this->callers.Listen(this->settings.callers.address, this->settings.callers.port));
  status.Update(
      this->readiness.Listen(this->settings.readiness.address, this->settings.readiness.port));
  status.Update(this->operators.Listen(this->settings.address, this->options.operator_port));
  status.Update(this->peer_port.Listen(this->settings.peers.address, this->settings.peers.port));
  boost::system::error_code error;
  const boost::asio::ip::udp::endpoint gossip_endpoint(
      boost::asio::ip::make_address(this->settings.peers.address), this->settings.peers.port);
  this->gossip.open(gossip_endpoint.protocol(), error);
  if (!error) {
    this->gossip.bind(gossip_endpoint, error);
  }
  if (error) {
    status.Update(absl::UnavailableError(
        absl::StrCat("listen for datagrams on ", this->settings.peers.address, ":",
                     this->settings.peers.port, ": ", error.message())));
  }
  if (!status.ok()) {
    return status;
  }
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    this->signals.add(signal);
  }
  this->OnSignal(0);
  this->log.WriteUnthrottled("start", {{"vm", this->settings.vm.value},
                                       {"data_centre", this->settings.data_centre.value},
                                       {"callers", absl::StrCat(this->settings.callers.address, ":",
                                                                this->settings.callers.port)}});
  this->ReceiveGossip();
  this->SendGossip();
  this->UpdatePlan();
  this->Tick();
  this->feed_timer.expires_after(this->settings.first_start ? this->options.first_store_read_delay
                                                            : Duration::zero());
  this->feed_timer.async_wait([this](boost::system::error_code timer_error) {
    if (!timer_error) {
      this->RunNextFeedStep();
    }
  });
  return absl::OkStatus();
}

template <PlatformTranslation Platform>
void Node<Platform>::Run() {
  this->context.run();
  this->log.Flush();
}

// Handles a signal (0: none) and waits for the next one.
template <PlatformTranslation Platform>
void Node<Platform>::OnSignal(int signal) {
  if (signal == SIGHUP) {
    this->ReloadSettings();
  } else if (signal != 0) {
    this->BeginStop();
  }
  this->signals.async_wait([this](boost::system::error_code error, int next) {
    if (!error) {
      this->OnSignal(next);
    }
  });
}

template <PlatformTranslation Platform>
void Node<Platform>::ReloadSettings() {
  this->settings_read_at = BootClock::now();
  auto loaded = Platform::LoadSettings(this->settings_path);
  if (!loaded.ok()) {
    this->log.WriteUnthrottled(
        "reload", {{"outcome", "refused"}, {"problem", std::string(loaded.status().message())}});
    return;
  }
  if (*loaded == this->settings) {
    return;
  }
  this->peer_table.SetSeeds(ParseSeeds(*loaded));
  // The addresses that this process listens on cannot change while it runs; the platform restarts
  // it to change them.
  const bool moved = !(loaded->callers == this->settings.callers) ||
                     !(loaded->readiness == this->settings.readiness);
  this->settings = *std::move(loaded);
  this->usage_ledger.SetOptions(this->MakeLedgerOptions());
  this->tenant_states.SetOptions(this->MakeTenantStateOptions());
  this->log.WriteUnthrottled("reload",
                             {{"outcome", moved ? "in_force_but_addresses" : "in_force"}});
}

template <PlatformTranslation Platform>
void Node<Platform>::BeginStop() {
  if (this->stop_started_at) {
    return;
  }
  this->stop_started_at = BootClock::now();
  this->coordinator.BeginStop(*this->stop_started_at + this->settings.stop_time -
                              this->options.stop_margin - this->options.final_answer_time);
  this->callers.BeginStop();
  this->peer_port.BeginStop();
  this->UpdatePlan();
  this->HandOverAccounts();
  this->SendGossip();
  this->log.WriteUnthrottled("stop",
                             {{"calls", std::to_string(this->open_calls.size())},
                              {"connections", std::to_string(this->callers.open_connections())}});
}

template <PlatformTranslation Platform>
void Node<Platform>::AdvanceStop() {
  const Duration since = BootClock::now() - *this->stop_started_at;
  if (since < this->options.idle_close_delay) {
    return;
  }
  this->callers.CloseIdle();
  const bool finished =
      this->callers.open_connections() == 0 && this->peer_port.requests_in_progress() == 0;
  const Duration limit = this->settings.stop_time - this->options.stop_margin;
  if (!finished && BootClock::now() >= this->coordinator.stop_end() && !this->final_answers_sent) {
    this->final_answers_sent = true;
    this->SendFinalAnswers();
    return;
  }
  if (!finished && since < limit) {
    return;
  }
  this->log.WriteUnthrottled("stopped", {{"calls", std::to_string(this->open_calls.size())},
                                         {"outcome", finished ? "finished" : "time_limit"}});
  this->log.Flush();
  this->pool.CloseAll();
  this->context.stop();
}

// Answers all calls in progress before the process ends. Each call gets the results that have
// arrived, or an error that states whether its request may have run.
template <PlatformTranslation Platform>
void Node<Platform>::SendFinalAnswers() {
  const TimePoint now = BootClock::now();
  Actions actions;
  this->coordinator.EndAll(now, actions);
  this->Execute(std::move(actions));
  std::vector<HandOverAction> hand_over_actions;
  this->hand_over.EndAll(hand_over_actions);
  this->ExecuteHandOver(std::move(hand_over_actions));
}

template <PlatformTranslation Platform>
void Node<Platform>::Tick() {
  const TimePoint now = BootClock::now();
  this->pause_detector.OnTick(now);
  this->ApplyDeferredChanges(now);
  if (this->stop_started_at) {
    this->AdvanceStop();
  }
  this->AnswerDocumentRequests(false);
  this->ForwardCrashNews();
  this->ForwardLimitNews();
  this->UpdateTenantStates(now);
  if (this->feed.ShouldAbandonCall(this->mirror.as_of(), now)) {
    this->FailFeedRequest("another VM knows newer documents");
  }
  if (now - this->plan_updated_at >= kPlanInterval) {
    this->UpdatePlan();
  }
  if (now - this->settings_read_at >= this->options.settings_reload_interval) {
    this->ReloadSettings();
  }
  if (now - this->preconnected_at >= this->options.preconnect_interval) {
    this->preconnected_at = now;
    this->OpenLeafConnections();
  }
  this->tick_timer.expires_after(kTickInterval);
  this->tick_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->Tick();
    }
  });
}

template <PlatformTranslation Platform>
bool Node<Platform>::ready() const {
  return !this->stop_started_at && this->coordinator.routes() != nullptr &&
         this->directory.size() > 0;
}

}  // namespace ibishold

#endif  // SRC_NODE_NODE_LIFECYCLE_H_
