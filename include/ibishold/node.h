#ifndef IBISHOLD_NODE_H_
#define IBISHOLD_NODE_H_

// The process that runs on each VM. It serves callers, sends requests to leaves, follows the
// published documents and exchanges state with peers, all on one event loop. It connects the
// decision libraries, which do no I/O, to the transport. The adapter to the platform that it runs
// on is a template argument.
//
// Index of this header:
//   1. PlatformTranslation   functions that the adapter to a platform must provide
//   2. NodeOptions           options of the process that are not in its settings file
//   3. Node                  the process

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <concepts>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "absl/status/status.h"
#include "ibishold/allowances.h"
#include "ibishold/caller_path.h"
#include "ibishold/dispatch.h"
#include "ibishold/edge.h"
#include "ibishold/fleet.h"
#include "ibishold/hand_over.h"
#include "ibishold/metrics.h"
#include "ibishold/routing.h"

namespace ibishold {

// ---- 1. PlatformTranslation ---------------------------------------------------------------------

template <typename Platform>
concept PlatformTranslation = requires(const HttpRequest& request,
                                       HttpReply reply,
                                       const SendAction& send,
                                       Answer answer,
                                       Duration duration,
                                       const std::string& text,
                                       const DocumentChange& change) {
  {Platform::LoadSettings(text)};
  { Platform::DecodeCall(request, duration) } -> std::same_as<Call>;
  { Platform::BuildLeafRequest(request, send) } -> std::same_as<HttpRequest>;
  { Platform::CopyWithTimeLeft(request, duration) } -> std::same_as<HttpRequest>;
  { Platform::FindKeyHash(request) } -> std::same_as<std::optional<KeyHash>>;
  { Platform::DecodeLeafReply(reply) } -> std::same_as<LeafReply>;
  { Platform::FindReplyOwner(reply, text) } -> std::same_as<ReplyMatch>;
  { Platform::EncodeAnswer(answer) } -> std::same_as<CallerReply>;
  { Platform::BuildListRequest(text, text) } -> std::same_as<HttpRequest>;
  {
    Platform::BuildWatchRequest(text, change.revision.number, duration)
    } -> std::same_as<HttpRequest>;
};

// ---- 2. NodeOptions -----------------------------------------------------------------------------

struct NodeOptions {
  std::uint16_t operator_port = 9464;  // HTTP port that serves the metrics and the live state
  CoordinatorOptions coordinator;
  ConnectionPoolOptions pool;
  // Bytes of callers' requests that may be held in memory at a time.
  std::size_t caller_request_bytes_limit = 16U << 20U;
  DocumentFeedOptions feed;
  LeafDirectoryOptions directory;
  EventLogOptions log;
  // Interval at which connections to the leaves of routed services are opened in advance.
  Duration preconnect_interval = std::chrono::milliseconds(500);
  Duration settings_reload_interval = std::chrono::seconds(2);
  // Time from the signal to stop until idle connections of callers are closed. The load balancer
  // asks for readiness once a second and removes a VM after two failures.
  Duration idle_close_delay = std::chrono::milliseconds(2600);
  // The process ends by itself this long before the platform kills it.
  Duration stop_margin = std::chrono::milliseconds(300);
  // Calls still in progress get their final answer this long before the process ends, so that the
  // answers can be written.
  Duration final_answer_time = std::chrono::milliseconds(300);
  std::size_t initial_vm_count = 15;  // assumed number of VMs until the peers are known
  PeerTableOptions peers;
  FleetPlanOptions plan;
  HandOverOptions hand_over;
  CallerPathOptions caller_path;
  TenantStateOptions tenant_states;
  AllowanceGateOptions allowance_gate;
  UsageLedgerOptions usage_ledger;
  // Most entries of each kind in one gossip datagram, so that it fits into one Ethernet frame.
  std::size_t max_silent_leaves = 22;
  std::size_t max_leaving_leaves = 8;
  std::size_t max_crashes = 12;
  std::size_t max_refusals = 8;
  std::size_t max_limits = 8;
  std::size_t max_tenant_states = 8;
  std::size_t leaf_report_targets = 16;  // VMs that receive a report about leaves
  std::size_t news_targets = 4;          // VMs that this VM passes news of crashes and limits on to
  std::size_t tenant_news_targets = 2;   // the same for limited tenants, which are more
  // Delay of the first read of the store when the whole system starts, so that the gossip of peers
  // arrives first.
  Duration first_store_read_delay = std::chrono::milliseconds(350);
  // Share of the calls answered completely and in time that are logged, 0..1. The hash of the
  // request id selects them.
  double log_sample_rate = 0.05;
};

// ---- 3. Node ------------------------------------------------------------------------------------

template <PlatformTranslation Platform>
class Node {
 public:
  Node(typename Platform::Settings settings, std::string settings_path, NodeOptions options);

  // Errors: Unavailable if an address cannot be bound.
  absl::Status Start();
  void Run();  // returns after a signal to stop, when the calls are finished or out of time

 private:
  // A call that this VM runs, with the port that it came from: the port of the callers, or the port
  // of the peers if another VM handed it over.
  struct OpenCall {
    CallerPort* port = nullptr;
    std::uint64_t ticket = 0;
    HttpRequest request;
    std::string request_id;
    std::string route;
    TenantKey tenant = 0;  // its allowance counts the call; 0 if another VM took the call
    TimePoint arrived{};
  };
  // A call that this VM handed over to a coordinator.
  struct HandedOverCall {
    HttpRequest request;
    Call call;
    std::string route;
    std::optional<KeyHash> key;  // of the caller
    bool repeatable = false;     // Route::repeatable
    TimePoint arrived{};
    TimePoint sent_at{};      // when it was sent to `coordinator`
    std::string coordinator;  // address that it was sent to last
  };
  // A peer's long poll for documents newer than the revision `after`.
  struct PeerDocumentRequest {
    std::uint64_t ticket = 0;
    Revision after;
    TimePoint until{};
  };

  // Callers and leaves (node_calls.h).
  void OnRequest(std::uint64_t ticket, HttpRequest request, Duration caller_time);
  bool NeedsCoordinator(const Route& route, TimePoint now);
  void RunCall(CallerPort& port, std::uint64_t ticket, HttpRequest&& request, Call call);
  void RunHandedOverCall(std::uint64_t ticket, bool may_have_been_sent);
  void OnCallerLeft(CallerPort& port, std::uint64_t ticket);
  void OnLeafReply(AttemptId attempt, HttpReply reply);
  void OnLeafFailure(AttemptId attempt, AttemptFailure failure);
  void Execute(Actions actions);
  void ScheduleCallTimer();
  void RecordFinishedCalls();
  void OnStatusRequest(CallerPort& port, std::uint64_t ticket, const HttpRequest& request);
  std::string DebugState() const;

  // Other VMs (node_peers.h).
  void OnPeerRequest(std::uint64_t ticket, HttpRequest request);
  void OnPeerReply(AttemptId attempt, HttpReply reply);
  void OnPeerFailure(AttemptId attempt, AttemptFailure failure);
  void ExecuteHandOver(std::vector<HandOverAction> actions);
  void EndHandOver(std::uint64_t ticket, int status, std::string_view outcome);
  void ScheduleHandOverTimer();
  void AnswerDocumentRequests(bool all);
  PeerAddress own_address() const;
  const Route* FindWidestRoute() const;
  LeafShares MeasureLeafShares() const;

  // Gossip between VMs (node_gossip.h).
  void ReceiveGossip();
  void SendGossip();
  void SendGossipTo(const std::vector<PeerAddress>& targets, TimePoint now);
  void SendMessage(const GossipMessage& message, const std::vector<PeerAddress>& targets);
  void SendDatagram(const std::string& bytes, const PeerAddress& target);
  void ProcessLeafReports();
  void ForwardCrashNews();
  void SendLimitReports(const std::vector<LeafLimitReport>& reports);
  void LogLeafLimit(const LeafLimitReport& report, const std::string& seen_by);
  void ForwardLimitNews();
  void UpdateLimitSenders(TimePoint now);
  std::vector<PeerAddress> PickLeafReportTargets();
  std::vector<PeerAddress> PickRandomPeers(std::size_t count);
  void SendLeafReports(GossipMessage message, const std::vector<PeerAddress>& targets);
  void ApplyLeafNotice(const LeafNotice& notice, const std::string& seen_by);
  void OnGossip(const GossipMessage& message, const PeerAddress& from);
  void UpdatePlan();

  // Keys and allowances of tenants (node_tenants.h).
  std::optional<AnswerReason> Authorize(const Route& route,
                                        const std::optional<KeyHash>& key,
                                        HttpRequest& request,
                                        Call& call);
  bool TakeAllowance(std::uint64_t ticket, const Call& call, TimePoint now);
  void EndTenantCall(TenantKey tenant, bool has_run, Duration took);
  std::string FormatTenant(TenantKey key) const;
  void SendUsageReports(TimePoint now);
  void OnUsageMessage(const UsageMessage& message, const PeerAddress& from);
  void MergeTenantStates(const std::vector<TenantState>& states, TimePoint now);
  void UpdateTenantStates(TimePoint now);
  void UpdateTenantSharers(TimePoint now);
  void HandOverAccounts();
  void SetTenants(const RouteTablePtr& routes);
  UsageLedgerOptions MakeLedgerOptions() const;
  TenantStateOptions MakeTenantStateOptions() const;
  std::string FormatLimitedTenants() const;

  // Published documents (node_documents.h).
  void RunNextFeedStep();
  void StartFeedRequest(HttpRequest request,
                        const std::string& address,
                        std::uint16_t port,
                        Duration limit);
  void OnPeerDocuments(const HttpReply& reply);
  void OnStoreReply(FeedStep step, const HttpReply& reply);
  void ApplyCompleteList(const std::vector<DocumentChange>& documents,
                         Revision as_of,
                         bool peer_in_touch);
  void FailFeedRequest(std::string_view cause);
  void EndFeedRequest(FeedOutcome outcome, bool peer_in_touch, std::string_view detail);
  void ApplyDocuments(const std::vector<DocumentChange>& changes);
  void ApplyRoutes(const DocumentChange& change);
  DirectoryEvent ApplyLeaf(const LeafId& id, const DocumentChange& change);
  void ApplyEvacuation(const DataCentre& data_centre, const DocumentChange& change, TimePoint now);
  void ApplyDeferredChanges(TimePoint now);
  void LogDirectoryEvents(const std::vector<DirectoryEvent>& events);
  void OpenLeafConnections();

  // Start, reload and stop (node_lifecycle.h).
  void OnSignal(int signal);
  void ReloadSettings();
  void BeginStop();
  void AdvanceStop();
  void SendFinalAnswers();
  void Tick();
  bool ready() const;
  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);
  static constexpr Duration kPlanInterval = std::chrono::milliseconds(500);

  typename Platform::Settings settings;
  std::string settings_path;
  NodeOptions options;

  boost::asio::io_context context{1};
  boost::asio::signal_set signals{context};
  boost::asio::steady_timer call_timer{context};
  boost::asio::steady_timer feed_timer{context};
  boost::asio::steady_timer feed_request_timer{context};
  boost::asio::steady_timer tick_timer{context};
  EventLog log;
  Metrics metrics;
  Random random;

  LeafDirectory directory;
  Coordinator coordinator;
  ConnectionPool pool;
  CallerPort callers;
  CallerPort readiness;
  CallerPort operators;

  std::unordered_map<CallId, OpenCall> open_calls;
  std::map<std::pair<CallerPort*, std::uint64_t>, CallId> calls_by_ticket;
  std::unordered_map<AttemptId, CallId> calls_by_attempt;
  std::optional<TimePoint> call_timer_expiry;

  PeerTable peer_table;
  TenantStates tenant_states;
  AllowanceGate allowance_gate;
  UsageLedger usage_ledger;
  TimePoint usage_reported_at{};
  FleetPlan plan;
  HandOver hand_over;
  CallerPath caller_path;
  std::optional<Duration> unreported_hand_over_cost;  // last measured, not sent to a peer yet
  ConnectionPool peer_pool;
  CallerPort peer_port;
  boost::asio::ip::udp::socket gossip{context};
  boost::asio::steady_timer gossip_timer{context};
  boost::asio::steady_timer hand_over_timer{context};
  std::array<char, 4096> gossip_input{};
  boost::asio::ip::udp::endpoint gossip_sender;
  std::unordered_map<std::uint64_t, HandedOverCall> handed_over_calls;  // by ticket of `callers`
  std::vector<PeerDocumentRequest> peer_document_requests;
  std::optional<TimePoint> hand_over_timer_expiry;
  double fan_out_calls_in_window = 0;  // since rate_measured_at
  TimePoint rate_measured_at{};

  DocumentMirror mirror;
  DocumentFeed feed;
  std::shared_ptr<ClientConnection> feed_connection;  // to the store or to a peer
  std::string feed_host;                              // address and port that it is connected to
  std::vector<DocumentChange> listed_documents;       // from the pages of the list in progress
  Revision list_revision;                             // as_of of the first page of that list
  FeedAction feed_action;                             // feed request in progress, or the last one
  TimePoint feed_started_at{};                        // start of that request
  std::optional<HttpRequest> pending_feed_request;    // sent once the connection is open
  bool store_in_touch = false;
  bool documents_in_touch = false;
  TimePoint documents_confirmed_at{};  // the documents were known to be current then

  std::optional<TimePoint> stop_started_at;
  bool final_answers_sent = false;
  TimePoint started_at{};
  TimePoint settings_read_at{};
  TimePoint preconnected_at{};
  TimePoint plan_updated_at{};
  PauseDetector pause_detector{kTickInterval, BootClock::now()};
};

}  // namespace ibishold

#endif  // IBISHOLD_NODE_H_
