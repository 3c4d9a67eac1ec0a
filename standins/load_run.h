#ifndef STANDINS_LOAD_RUN_H_
#define STANDINS_LOAD_RUN_H_

// Open-loop load: requests start at their scheduled times whatever became of earlier ones.

#include <map>
#include <string>
#include <vector>

#include "ibishold/core.h"
#include "standins/load_check.h"
#include "standins/load_client.h"

namespace ibishold::standin {

struct LoadOptions {
  double rate = 50;                   // requests/s, Poisson arrivals; 50
  double seconds = 10;                // of offered load; 10
  std::uint64_t count = UINT64_MAX;   // requests after which the load ends early; no limit
  std::uint64_t seed = 1;             // of arrivals and mixes; 1
  double deadline_ms = 500;           // X-Deadline-Ms; 500
  double execute_share = 0.1;         // share of non-repeatable requests; 0.1
  std::vector<std::string> services;  // queried with equal shares; empty: all of the topology
  std::vector<double> classes = {0.5, 0.3, 0.2};  // interactive, standard, bulk; 50, 30, 20 %
  std::uint32_t tenants = 4;                      // with equal shares; 4
  std::uint32_t max_attempts = 3;                 // calls for one request; 3
  double client_latency_ms = 0;  // one way between callers and fronts, added to each call; 0
  std::string crash_term;        // sent instead of the query's own term every second; none
  bool show = false;             // print each answer; false
};

struct Second {
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;  // cut, timed out or not connected
  double coverage_sum = 0;
  std::uint64_t queries = 0;  // answered queries
  std::vector<double> latencies_ms;
};

class LoadRun {
 public:
  LoadRun(asio::io_context& context,
          Balancer& balancer,
          const AnswerCheck& check,
          const Topology& topology,
          const LoadOptions& options);

  asio::awaitable<void> Run();  // ends when all requests have ended
  json::object Report() const;
  bool AllRight() const;

 private:
  struct Request {
    std::uint64_t number = 0;
    std::string service;
    std::string tenant;
    RequestClass request_class = RequestClass::kInteractive;
    bool execute = false;
    std::uint64_t key = 0;
    std::size_t second = 0;  // of the timeline
  };
  // What a caller learns from one call.
  struct Outcome {
    bool final = false;  // no further call is needed
    Verdict verdict = Verdict::kMayHaveRun;
    double retry_ms = -1;  // below 0: no Retry-After
    std::string error;     // status, error code and verdict, or the transport failure
  };

  Request Draw(std::uint64_t number);
  std::string Suffix(const Request& request) const;
  asio::awaitable<void> Serve(Request request);
  asio::awaitable<Outcome> Query(const Request& request, std::uint32_t attempt);
  asio::awaitable<Outcome> Execute(const Request& request,
                                   std::uint32_t attempt,
                                   std::string& token,
                                   std::string& operation);
  asio::awaitable<Call> Send(const Request& request,
                             const std::string& call,
                             const std::string& id,
                             const std::string& token,
                             const json::value& body);
  Outcome NoteFailure(const Request& request, const Call& call);
  void NoteAnswer(const Request& request,
                  const CheckResult& result,
                  Clock::time_point begin,
                  const std::string& id);

  asio::io_context& context;
  Balancer& balancer;
  const AnswerCheck& check;
  const Topology& topology;
  LoadOptions options;
  Random random;
  std::uint64_t active = 0;
  std::vector<Second> timeline;
  std::map<std::string, std::vector<double>> latencies_ms;  // by class, and "execute"
  std::map<std::string, std::uint64_t> errors;              // by status or transport failure
  std::map<std::string, std::uint64_t> reasons;             // of shards that were not full
  std::vector<std::string> not_run_terms;
  std::vector<std::string> not_run_operations;
  std::map<std::string, std::vector<std::string>> operations;  // by request: operation ids sent
  std::vector<std::string> mistakes;                           // first 20
  std::vector<std::string> given_up_requests;                  // first 20, with their refusals
  std::uint64_t calls = 0;
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::uint64_t executed = 0;
  std::uint64_t given_up = 0;
  std::uint64_t cut = 0;
  std::uint64_t wrong = 0;
  std::uint64_t misstated = 0;
  std::uint64_t useful_shards = 0;  // records that answered queries needed and got
  std::uint64_t queries = 0;
  double coverage_sum = 0;
};

}  // namespace ibishold::standin

#endif  // STANDINS_LOAD_RUN_H_
