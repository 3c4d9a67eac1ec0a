#include "standins/load_run.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>

namespace ibishold::standin {

namespace {

double Since(Clock::time_point from) {
  return Milliseconds(Clock::now() - from).count();
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return std::round(values[rank] * 100) / 100;
}

json::object Quantiles(const std::vector<double>& values) {
  return {{"count", values.size()},
          {"p50_ms", Quantile(values, 0.5)},
          {"p90_ms", Quantile(values, 0.9)},
          {"p99_ms", Quantile(values, 0.99)},
          {"p999_ms", Quantile(values, 0.999)}};
}

// A refusal's body; empty if it is not a JSON object.
json::object RefusalOf(const std::string& body) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  return !error && value.is_object() ? value.as_object() : json::object();
}

std::string TextOf(const json::object& refusal, std::string_view member) {
  const json::value* text = refusal.if_contains(member);
  return text != nullptr && text->is_string() ? std::string(text->as_string()) : "";
}

}  // namespace

LoadRun::LoadRun(asio::io_context& context,
                 Balancer& balancer,
                 const AnswerCheck& check,
                 const Topology& topology,
                 const LoadOptions& options)
    : context(context),
      balancer(balancer),
      check(check),
      topology(topology),
      options(options),
      random(options.seed),
      timeline(static_cast<std::size_t>(std::ceil(options.seconds)) + 1) {}

// Part of ids and terms; the seed keeps those of several runs against the same leaves apart.
std::string LoadRun::Suffix(const Request& request) const {
  return std::to_string(this->options.seed) + "." + std::to_string(request.number);
}

LoadRun::Request LoadRun::Draw(std::uint64_t number) {
  Request request;
  request.number = number;
  const auto& services = this->options.services;
  request.service = services[this->random.NextBelow(services.size())];
  request.tenant = "tenant-" + std::to_string(this->random.NextBelow(this->options.tenants));
  double draw = this->random.NextFraction();
  for (std::size_t i = 0; i < this->options.classes.size(); ++i) {
    request.request_class = static_cast<RequestClass>(i);
    draw -= this->options.classes[i];
    if (draw < 0) {
      break;
    }
  }
  request.execute = this->random.NextFraction() < this->options.execute_share;
  request.key = this->random.Next();
  return request;
}

asio::awaitable<void> LoadRun::Run() {
  const Clock::time_point begin = Clock::now();
  double at_ms = 0;
  for (std::uint64_t number = 0;; ++number) {
    at_ms += -std::log(1 - this->random.NextFraction()) * 1000 / this->options.rate;
    if (at_ms >= this->options.seconds * 1000 || number >= this->options.count) {
      break;
    }
    const double wait_ms = at_ms - Since(begin);
    if (wait_ms > 0) {
      co_await Sleep(wait_ms);
    }
    Request request = this->Draw(number);
    request.second = static_cast<std::size_t>(at_ms / 1000);
    this->offered += 1;
    this->timeline[request.second].offered += 1;
    this->active += 1;
    asio::co_spawn(this->context, this->Serve(std::move(request)), asio::detached);
  }
  while (this->active > 0) {
    co_await Sleep(20);
  }
}

// A caller: repeats its request after Retry-After, a non-repeatable one only under its token.
asio::awaitable<void> LoadRun::Serve(Request request) {
  std::string token;
  std::string operation;
  bool done = false;
  std::string failures;
  for (std::uint32_t attempt = 0; attempt < this->options.max_attempts && !done; ++attempt) {
    Outcome outcome;
    if (request.execute) {
      outcome = co_await this->Execute(request, attempt, token, operation);
    } else {
      outcome = co_await this->Query(request, attempt);
    }
    done = outcome.final;
    failures += (attempt == 0 ? "" : "; ") + outcome.error;
    if (!done && attempt + 1 < this->options.max_attempts) {
      co_await Sleep(outcome.retry_ms < 0 ? 100 : std::min(outcome.retry_ms, 5000.0));
    }
  }
  if (!done) {
    this->given_up += 1;
    if (this->given_up_requests.size() < 20) {
      this->given_up_requests.push_back((request.execute ? "e" : "q") + this->Suffix(request) +
                                        ": " + failures);
    }
  }
  this->active -= 1;
}

asio::awaitable<Call> LoadRun::Send(const Request& request,
                                    const std::string& call,
                                    const std::string& id,
                                    const std::string& token,
                                    const json::value& body) {
  HttpRequest http_request(http::verb::post, "/v1/services/" + request.service + "/" + call, 11);
  http_request.set(http::field::content_type, "application/json");
  http_request.set("X-Request-Id", id);
  http_request.set("X-Deadline-Ms",
                   std::to_string(static_cast<std::uint64_t>(this->options.deadline_ms)));
  http_request.set("X-Tenant", request.tenant);
  const std::string_view name = ToName(kRequestClassNames, request.request_class);
  http_request.set("X-Class", boost::beast::string_view(name.data(), name.size()));
  if (!token.empty()) {
    http_request.set("Idempotency-Key", token);
  }
  http_request.body() = json::serialize(body);
  if (this->options.client_latency_ms > 0) {
    co_await Sleep(this->options.client_latency_ms);
  }
  Call result;
  // As balancers do, another front is tried while no byte has been sent.
  for (int tries = 0; tries < 3 && result.result == CallResult::kNotConnected; ++tries) {
    Balancer::Target* target = this->balancer.Next();
    if (target == nullptr) {
      break;
    }
    this->calls += 1;
    result =
        co_await target->caller->Send(http_request, Milliseconds(this->options.deadline_ms + 1000));
  }
  if (this->options.client_latency_ms > 0) {
    co_await Sleep(this->options.client_latency_ms);
  }
  co_return result;
}

LoadRun::Outcome LoadRun::NoteFailure(const Request& request, const Call& call) {
  Second& second = this->timeline[request.second];
  Outcome outcome;
  if (call.result != CallResult::kAnswered) {
    second.failed += 1;
    const bool unsent = call.result == CallResult::kNotConnected;
    outcome.error = unsent ? "not_connected" : call.result == CallResult::kCut ? "cut" : "timeout";
    this->errors[outcome.error] += 1;
    this->cut += call.result == CallResult::kCut ? 1 : 0;
    outcome.verdict = unsent ? Verdict::kNotRun : Verdict::kMayHaveRun;
    return outcome;
  }
  second.refused += 1;
  const json::object refusal = RefusalOf(call.response.body());
  // A refusal without a verdict tells nothing.
  outcome.verdict =
      FromName<Verdict>(kVerdictNames, TextOf(refusal, "verdict")).value_or(Verdict::kMayHaveRun);
  outcome.error = std::to_string(call.response.result_int()) + " " + TextOf(refusal, "error") +
                  " " + std::string(ToName(kVerdictNames, outcome.verdict));
  this->errors[outcome.error] += 1;
  outcome.error += " (" + TextOf(refusal, "message") + ")";
  const auto after = call.response.find(http::field::retry_after);
  if (after != call.response.end()) {
    outcome.retry_ms = 1000 * std::atof(std::string(after->value()).c_str());
  }
  // The member has a finer unit than the header's whole seconds.
  outcome.retry_ms = NumberOr(refusal, "retry_after_ms", outcome.retry_ms);
  return outcome;
}

void LoadRun::NoteAnswer(const Request& request,
                         const CheckResult& result,
                         Clock::time_point begin,
                         const std::string& id) {
  const double latency_ms = Since(begin);
  Second& second = this->timeline[request.second];
  this->answered += 1;
  second.answered += 1;
  second.latencies_ms.push_back(latency_ms);
  const std::string group =
      request.execute ? "execute" : std::string(ToName(kRequestClassNames, request.request_class));
  this->latencies_ms[group].push_back(latency_ms);
  this->wrong += result.wrong.empty() ? 0 : 1;
  this->misstated += result.coverage_misstated.empty() ? 0 : 1;
  for (const std::string& mistake : {result.wrong, result.coverage_misstated}) {
    if (!mistake.empty() && this->mistakes.size() < 20) {
      this->mistakes.push_back(id + ": " + mistake);
    }
  }
  if (request.execute) {
    this->executed += 1;
  } else {
    this->queries += 1;
    this->coverage_sum += result.coverage;
    second.queries += 1;
    second.coverage_sum += result.coverage;
    this->useful_shards += result.records;
    for (const auto& [reason, count] : result.reasons) {
      this->reasons[reason] += count;
    }
  }
  if (this->options.show) {
    std::cout << id << " " << request.service << " " << group << ": " << result.records
              << " records";
    if (!request.execute) {
      std::uint64_t full = result.shards;
      for (const auto& [reason, count] : result.reasons) {
        full -= std::min<std::uint64_t>(full, count);
      }
      std::cout << ", snapshot " << result.index_version << "/" << result.map_version
                << ", coverage " << std::fixed << std::setprecision(2) << result.coverage
                << std::defaultfloat << std::setprecision(6) << " (" << full << " of "
                << result.shards << " shards)";
    }
    std::cout << ", " << std::round(latency_ms * 10) / 10 << " ms, "
              << (result.wrong.empty() && result.coverage_misstated.empty()
                      ? "right"
                      : "WRONG: " + result.wrong + result.coverage_misstated)
              << "\n";
  }
}

asio::awaitable<LoadRun::Outcome> LoadRun::Query(const Request& request, std::uint32_t attempt) {
  // A term of its own for each call lets the leaves' records tell whether this call ran.
  const std::string id = "q" + this->Suffix(request) + "-" + std::to_string(attempt);
  const bool crash = !this->options.crash_term.empty() && attempt == 0 &&
                     this->timeline[request.second].offered == 1;
  const std::string term = crash ? this->options.crash_term : id;
  const Clock::time_point begin = Clock::now();
  const json::value body = json::object{{"query", json::object{{"term", term}}}};
  const Call call = co_await this->Send(request, "query", id, "", body);
  if (call.result != CallResult::kAnswered || call.response.result_int() != 200) {
    Outcome outcome = this->NoteFailure(request, call);
    if (outcome.verdict == Verdict::kNotRun && !crash) {
      this->not_run_terms.push_back(term);
    }
    outcome.final = crash;
    co_return outcome;
  }
  this->NoteAnswer(request, this->check.CheckQuery(request.service, term, id, call.response.body()),
                   begin, id);
  co_return Outcome{.final = true, .verdict = Verdict::kRan};
}

asio::awaitable<LoadRun::Outcome> LoadRun::Execute(const Request& request,
                                                   std::uint32_t attempt,
                                                   std::string& token,
                                                   std::string& operation) {
  const std::string name = "e" + this->Suffix(request);
  const std::string id = name + "-" + std::to_string(attempt);
  if (operation.empty()) {
    // A new id after a truthful "not run", so that a false one shows in the leaves' records.
    operation = id;
    this->operations[name].push_back(operation);
  }
  const json::value body = json::object{
      {"key", request.key}, {"operation", json::object{{"id", operation}, {"term", name}}}};
  if (token.empty()) {
    const Call call = co_await this->Send(request, "execute", id, "", body);
    if (call.result != CallResult::kAnswered || call.response.result_int() != 428) {
      co_return this->NoteFailure(request, call);
    }
    token = std::string(call.response["Idempotency-Key"]);
  }
  const Clock::time_point begin = Clock::now();
  const Call call = co_await this->Send(request, "execute", id, token, body);
  if (call.result == CallResult::kAnswered && call.response.result_int() == 200) {
    this->NoteAnswer(request, this->check.CheckExecute(operation, id, call.response.body()), begin,
                     id);
    co_return Outcome{.final = true, .verdict = Verdict::kRan};
  }
  const Outcome outcome = this->NoteFailure(request, call);
  if (outcome.verdict == Verdict::kNotRun) {
    if (call.result == CallResult::kAnswered) {
      this->not_run_operations.push_back(operation);
    }
    token.clear();
    operation.clear();
  }
  co_return outcome;
}

bool LoadRun::AllRight() const {
  return this->wrong == 0 && this->misstated == 0 && this->answered > 0;
}

json::object LoadRun::Report() const {
  json::object latency;
  for (const auto& [group, values] : this->latencies_ms) {
    latency[group] = Quantiles(values);
  }
  json::array seconds;
  for (const Second& second : this->timeline) {
    if (second.offered == 0) {
      continue;
    }
    seconds.push_back(json::object{
        {"offered", second.offered},
        {"answered", second.answered},
        {"refused", second.refused},
        {"failed", second.failed},
        {"coverage",
         second.queries == 0 ? 0 : second.coverage_sum / static_cast<double>(second.queries)},
        {"p50_ms", Quantile(second.latencies_ms, 0.5)},
        {"p99_ms", Quantile(second.latencies_ms, 0.99)}});
  }
  json::object error_counts;
  for (const auto& [error, count] : this->errors) {
    error_counts[error] = count;
  }
  json::object reason_counts;
  for (const auto& [reason, count] : this->reasons) {
    reason_counts[reason] = count;
  }
  json::object sent;
  for (const auto& [name, ids] : this->operations) {
    sent[name] = json::value_from(ids);
  }
  return {{"offered", this->offered},
          {"offered_rate", static_cast<double>(this->offered) / this->options.seconds},
          {"answered", this->answered},
          {"answered_rate", static_cast<double>(this->answered) / this->options.seconds},
          {"executed", this->executed},
          {"given_up", this->given_up},
          {"given_up_requests", json::value_from(this->given_up_requests)},
          {"calls", this->calls},
          {"cut", this->cut},
          {"errors", std::move(error_counts)},
          {"latency", std::move(latency)},
          {"coverage_mean",
           this->queries == 0 ? 0 : this->coverage_sum / static_cast<double>(this->queries)},
          {"not_full_reasons", std::move(reason_counts)},
          {"coverage_misstated", this->misstated},
          {"wrong_answers", this->wrong},
          {"mistakes", json::value_from(this->mistakes)},
          {"useful_shards", this->useful_shards},
          {"not_run_terms", json::value_from(this->not_run_terms)},
          {"not_run_operations", json::value_from(this->not_run_operations)},
          {"operations", std::move(sent)},
          {"timeline", std::move(seconds)}};
}

}  // namespace ibishold::standin
