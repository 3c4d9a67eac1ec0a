#ifndef IBISHOLD_NODE_H_
#define IBISHOLD_NODE_H_

// One process that does everything a VM has to do, on one event loop: callers, leaves, published
// documents, peers. It joins the decision libraries with the transport; the translation of the
// platform that it runs on is a template argument.
//
// Index of this header:
//   1. PlatformTranslation   what a platform's adapter offers
//   2. NodeOptions           tunables of the process itself
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
  { Platform::DecodeLeafReply(reply) } -> std::same_as<LeafReply>;
  { Platform::FindReplyOwner(reply, text) } -> std::same_as<ReplyOwner>;
  { Platform::EncodeAnswer(answer) } -> std::same_as<CallerReply>;
  { Platform::BuildListRequest(text, text) } -> std::same_as<HttpRequest>;
  { Platform::BuildWatchRequest(text, change.revision, duration) } -> std::same_as<HttpRequest>;
};

// ---- 2. NodeOptions -----------------------------------------------------------------------------

struct NodeOptions {
  std::uint16_t operator_port = 9464;  // metrics and live state; 9464
  CoordinatorOptions coordinator;
  ConnectionPoolOptions pool;
  std::size_t caller_request_bytes_limit = 16U
                                           << 20U;  // bytes of callers' requests at a time, 16 MB
  DocumentFeedOptions feed;
  LeafDirectoryOptions directory;
  EventLogOptions log;
  // Longest time for the store to answer beyond a watch's own wait.
  Duration store_timeout = std::chrono::milliseconds(1500);
  // The same while no document is known: a store that was silent may answer a new call.
  Duration initial_store_timeout = std::chrono::milliseconds(600);
  // Connections to leaves of routed services are opened in advance at this interval.
  Duration preconnect_interval = std::chrono::milliseconds(500);
  Duration settings_reload_interval = std::chrono::seconds(2);  // the settings file is read again
  // After the signal to stop, connections that wait for a next request are closed after this time:
  // the balancer asks for readiness once a second and drops a VM after two misses.
  Duration idle_close_delay = std::chrono::milliseconds(2600);
  // Before the platform kills the process, it ends by itself.
  Duration stop_margin = std::chrono::milliseconds(300);
  // Before that, calls in progress get their final answer, which takes this long to be written.
  Duration final_answer_time = std::chrono::milliseconds(300);
  std::size_t initial_vm_count = 15;  // until the peers are known
  PeerTableOptions peers;
  FleetPlanOptions plan;
  HandOverOptions hand_over;
  CallerPathOptions caller_path;
  // Longest wait at a peer for news; a peer that freezes is noticed within it and the limit.
  Duration peer_long_poll_time = std::chrono::milliseconds(1000);
  Duration peer_timeout = std::chrono::milliseconds(400);  // to answer beyond that wait
  std::size_t max_silent_leaves = 24;                      // in one datagram of an Ethernet frame
  std::size_t max_leaving_leaves = 8;                      // the same
  std::size_t max_crashes = 12;                            // the same
  std::size_t max_refusals = 8;                            // the same
  std::size_t leaf_report_targets = 16;                    // VMs that are told of a silent leaf
  // Right after the start, peers are heard of before the store is asked.
  Duration first_store_read_delay = std::chrono::milliseconds(350);
  // A call that is answered completely and in time is logged if its hash falls into this share.
  double log_sample_rate = 0.05;
};

// ---- 3. Node ------------------------------------------------------------------------------------

template <PlatformTranslation Platform>
class Node {
 public:
  Node(typename Platform::Settings settings, std::string settings_path, NodeOptions options);

  // Errors: Unavailable if an address cannot be bound.
  absl::Status Start();
  void Run();  // until the process has been told to stop and has finished its calls

 private:
  // Where a call came from: a caller, or another VM that handed it over.
  struct OpenCall {
    CallerPort* port = nullptr;
    std::uint64_t ticket = 0;
    HttpRequest request;
    std::string request_id;
    std::string route;
    TimePoint arrived{};
  };
  // A call of a caller that a coordinator works on.
  struct HandedOverCall {
    HttpRequest request;
    Call call;
    std::string route;
    TimePoint arrived{};
    TimePoint sent_at{};      // to the newest coordinator
    std::string coordinator;  // newest one
  };
  struct PeerDocumentRequest {
    std::uint64_t ticket = 0;
    std::uint64_t after = 0;
    TimePoint until{};
  };

  // Callers and leaves (node_calls.h).
  void OnRequest(std::uint64_t ticket, HttpRequest request, Duration caller_time);
  void RunCall(CallerPort& port, std::uint64_t ticket, HttpRequest&& request, Call call);
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
  void ProcessLeafReports();
  std::vector<PeerAddress> PickLeafReportTargets();
  void SendLeafReports(GossipMessage message, const std::vector<PeerAddress>& targets);
  void ApplyLeafNotice(const LeafNotice& notice, const std::string& seen_by);
  void OnGossip(const GossipMessage& message, const PeerAddress& from);
  void UpdatePlan();

  // Published documents (node_documents.h).
  void RunNextFeedStep();
  void StartFeedRequest(HttpRequest request,
                        const std::string& address,
                        std::uint16_t port,
                        Duration limit);
  void OnPeerDocuments(const HttpReply& reply);
  void OnStoreReply(FeedStep step, const HttpReply& reply);
  void FailFeedRequest(std::string_view cause);
  void EndFeedRequest(FeedOutcome outcome, bool peer_in_touch, std::string_view detail);
  void ApplyDocuments(const std::vector<DocumentChange>& news);
  void ApplyRoutes(const DocumentChange& change);
  DirectoryEvent ApplyLeaf(const LeafId& id, const DocumentChange& change);
  void LogDirectoryEvents(const std::vector<DirectoryEvent>& events);
  void OpenLeafConnections();

  // Start, reload and stop (node_life.h).
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
  FleetPlan plan;
  HandOver hand_over;
  CallerPath caller_path;
  std::optional<Duration> unreported_hand_over_cost;  // newest measured, not told yet
  ConnectionPool peer_pool;
  CallerPort peer_port;
  boost::asio::ip::udp::socket gossip{context};
  boost::asio::steady_timer gossip_timer{context};
  boost::asio::steady_timer hand_over_timer{context};
  std::array<char, 4096> gossip_input{};
  boost::asio::ip::udp::endpoint gossip_sender;
  std::unordered_map<std::uint64_t, HandedOverCall>
      handed_over_calls;  // by ticket of the callers' port
  std::vector<PeerDocumentRequest> peer_document_requests;
  std::optional<TimePoint> hand_over_timer_expiry;
  double fan_out_calls_in_window = 0;  // since the rate was taken
  TimePoint rate_measured_at{};

  DocumentMirror mirror;
  DocumentFeed feed;
  std::shared_ptr<ClientConnection> feed_connection;  // or the peer that is asked for news
  std::string feed_host;                              // it is connected to
  std::vector<DocumentChange> listed_documents;       // pages of the list in progress
  std::uint64_t list_revision = 0;                    // of its first page
  FeedStep feed_step = FeedStep::kWait;               // of the call in progress
  std::optional<HttpRequest> pending_feed_request;    // waits for the connection
  bool store_in_touch = false;
  bool documents_in_touch = false;

  std::optional<TimePoint> stop_started_at;
  bool final_answers_sent = false;
  TimePoint started_at{};
  TimePoint settings_read_at{};
  TimePoint preconnected_at{};
  TimePoint plan_updated_at{};
};

}  // namespace ibishold

#endif  // IBISHOLD_NODE_H_
