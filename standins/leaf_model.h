#ifndef STANDINS_LEAF_MODEL_H_
#define STANDINS_LEAF_MODEL_H_

// One upstream leaf: protocol of design section 4.2, service times, cold starts, crashes, records.

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "ibishold/config.h"
#include "ibishold/core.h"
#include "standins/http.h"

namespace ibishold::standin {

using Clock = std::chrono::steady_clock;

inline double MillisecondsSince(Clock::time_point from) {
  return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}

// Behaviour of leaves. The admin API changes single members while running.
struct LeafOptions {
  double median_ms = 8;              // service time of a warm leaf, lognormal
  double sigma = 0.4;                // of the logarithm of the service time
  double straggler_share = 0;        // share of leaves that are slowed, 0..1
  double straggler_factor = 8;       // factor on their service time
  double cold_factor = 2;            // factor on the service time while cold
  double completions_per_level = 8;  // completed requests that raise a cold leaf's capacity by one
  double queue_limit = 4;            // requests that wait for a slot; more are shed with 503
  double restart_ms = 500;           // from a crash until connections are accepted again
  double drain_grace_ms = 1000;      // from the start of a drain until new work is shed
  double load_lag_ms = 2000;         // age of the values that the load report shows
  double mislead_share = 0.1;        // share of leaves whose report always says idle, 0..1
  double crash_after_ms = 2;         // run time of a request that crashes the leaf
  std::uint64_t seed = 1;            // of service times, stragglers and misleading reports

  void Update(const json::object& changes);
};

// What the leaf saw, independent of what the system under test states.
struct LeafRecords {
  std::uint64_t received = 0;           // searches and executions
  std::uint64_t started = 0;            // took a slot
  std::uint64_t completed = 0;          // finished, also if nobody waited for it
  std::uint64_t shed = 0;               // 503
  std::uint64_t expired = 0;            // 504
  std::uint64_t version_refused = 0;    // 409
  std::uint64_t cancelled_queued = 0;   // removed before running
  std::uint64_t cancelled_running = 0;  // kept the slot until done
  std::uint64_t cold_overload = 0;      // work beyond the capacity while cold
  std::uint64_t crashes = 0;
  std::uint64_t connections = 0;          // accepted
  std::uint64_t connections_refused = 0;  // beyond the limit
  std::uint64_t max_connections = 0;      // open at a time
  std::uint64_t max_in_leaf = 0;          // running and waiting at a time
  std::uint64_t late_work = 0;            // received more than 3 s after an announcement
  double last_work_after_announce_s = 0;  // age of the announcement at the last received work
  std::map<std::string, std::uint64_t> by_reason;  // header X-Reason
};

// Runs of requests over all leaves of the process, by operation id and by query term.
struct RunLog {
  std::unordered_map<std::string, std::uint32_t> operations;
  std::unordered_map<std::string, std::uint32_t> terms;
};

class LeafModel {
 public:
  LeafModel(asio::io_context& context,
            const Service& service,
            const Leaf& leaf,
            const LeafOptions& options,
            RunLog& log);

  void Start(bool warm);      // accepts connections as a new incarnation
  void Stop();                // resets all connections and refuses new ones
  void Crash();               // stops and starts cold after restart_ms
  void Drain(bool on);        // announced in the answers
  void AnnounceOut(bool on);  // operators took this leaf or its data centre out
  void Silence();             // open connections never answer again; new ones work
  void Advance(std::uint64_t version);
  void SetMap(const Topology& topology);  // keeps the ranges of earlier maps

  asio::awaitable<std::optional<HttpResponse>> Handle(std::shared_ptr<tcp::socket> socket,
                                                      Clock::time_point accepted,
                                                      HttpRequest request);
  json::object RecordsToJson() const;

  const Leaf leaf;
  const ServiceName service;

 private:
  struct Ticket {
    explicit Ticket(asio::any_io_executor executor) : wake(std::move(executor)) {}
    asio::steady_timer wake;
    bool admitted = false;
    bool removed = false;
  };
  struct Work {
    bool execute = false;
    std::string id;
    std::string term;
    std::string operation;
    std::string shard;
    std::uint64_t version = 0;  // 0: newest
    Clock::time_point deadline;
  };

  asio::awaitable<void> Accept(std::shared_ptr<tcp::acceptor> acceptor);
  asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> socket, Clock::time_point accepted);
  asio::awaitable<std::optional<HttpResponse>> Run(Work work);
  std::optional<HttpResponse> Refuse(const Work& work);
  HttpResponse Finish(const Work& work);
  HttpResponse Cancel(const std::string& id);
  HttpResponse Stamp(HttpResponse response, const std::string& id);
  HttpResponse LoadReport();
  Work ReadWork(const HttpRequest& request, bool execute) const;
  void NoteReceived(const std::string& reason);
  void Release();
  std::uint32_t Capacity() const;
  bool Cold() const;
  double ServiceTime();
  void SampleLoad(std::uint64_t epoch_now);

  asio::io_context& context;
  const LeafOptions& options;
  RunLog& log;
  std::uint32_t slots;
  std::uint32_t connection_limit;
  Duration connect_cost;
  bool straggler = false;
  bool misleads = false;
  Random random;
  std::map<std::string, KeyRange> shards;
  std::uint64_t map_version = 0;
  std::set<std::uint64_t> versions;

  std::shared_ptr<tcp::acceptor> acceptor;
  std::set<std::shared_ptr<tcp::socket>> open;
  std::set<std::shared_ptr<tcp::socket>> silent;
  std::uint64_t epoch = 0;  // changes at each start and stop; work of an earlier one is dropped
  Incarnation incarnation = 0;
  Clock::time_point started_at;
  std::uint64_t completed_since_start = 0;
  std::uint32_t running = 0;
  std::deque<std::shared_ptr<Ticket>> queue;
  std::unordered_map<std::string, std::shared_ptr<Ticket>> waiting;  // by request id
  std::set<std::string> running_ids;
  std::deque<std::string> finished_ids;  // newest 256
  bool draining = false;
  Clock::time_point drain_at;
  std::optional<Clock::time_point> announced;
  std::uint32_t sampled_running = 0;
  std::uint32_t sampled_queued = 0;
  LeafRecords records;
};

}  // namespace ibishold::standin

#endif  // STANDINS_LEAF_MODEL_H_
