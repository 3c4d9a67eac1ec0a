#include "ibishold/front_process.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <thread>
#include <utility>

#include "front/request_worker.h"
#include "ibishold/ring.h"

namespace ibishold {

namespace asio = boost::asio;

namespace {

constexpr Duration kStopPollInterval = std::chrono::milliseconds(20);
// Time without waiting requests before all connections are closed, so that requests that arrive on
// kept-alive connections during the stop are still answered.
constexpr Duration kIdleTimeBeforeClose = std::chrono::milliseconds(200);

// Answers are given this long before the limit of a planned stop, so that they can be written.
constexpr Duration kFinalAnswerTime = std::chrono::milliseconds(100);

// Event that the caller thread passes to the request thread.
struct CallerEvent {
  std::shared_ptr<CallerRequest> request;  // null: the request `abandoned_ticket` was abandoned
  std::uint64_t abandoned_ticket = 0;
};

}  // namespace

class FrontProcess::Impl {
 public:
  Impl(FrontProcessOptions process_options, Metrics& metrics)
      : options(std::move(process_options)),
        caller_server(this->caller_context, this->options.caller),
        request_worker(this->request_context,
                       this->options,
                       metrics,
                       [this](std::shared_ptr<CallerAnswer> answer) {
                         this->caller_answers.Push(std::move(answer));
                       }),
        caller_events(this->request_context.get_executor(),
                      [this](const CallerEvent& event) { this->OnCallerEvent(event); },
                      {.capacity = this->options.ring_capacity}),
        caller_answers(this->caller_context.get_executor(),
                       [this](const std::shared_ptr<CallerAnswer>& answer) {
                         this->caller_server.SendAnswer(*answer);
                       },
                       {.capacity = this->options.ring_capacity}),
        stop_timer(this->caller_context) {}

  ~Impl() {
    this->caller_context.stop();
    this->request_context.stop();
    for (std::thread* thread : {&this->caller_thread, &this->request_thread}) {
      if (thread->joinable()) {
        thread->join();
      }
    }
  }

  absl::Status Start() {
    absl::Status http_listen_status = this->caller_server.Listen(
        this->options.address, this->options.ports.front_http,
        [this](std::shared_ptr<CallerRequest> request) {
          return this->caller_events.Push(CallerEvent{.request = std::move(request)});
        },
        [this](std::uint64_t ticket) {
          this->caller_events.Push(CallerEvent{.abandoned_ticket = ticket});
        });
    if (!http_listen_status.ok()) {
      return http_listen_status;
    }
    absl::Status front_link_listen_status = this->request_worker.Listen();
    if (!front_link_listen_status.ok()) {
      return front_link_listen_status;
    }
    asio::post(this->request_context, [this] { this->request_worker.Start(); });
    this->caller_thread = std::thread([this] { this->caller_context.run(); });
    this->request_thread = std::thread([this] { this->request_context.run(); });
    return absl::OkStatus();
  }

  void BeginStop() {
    if (this->stopping.exchange(true)) {
      return;
    }
    asio::post(this->caller_context, [this] {
      this->stop_started_at = BootClock::now();
      this->idle_since = this->stop_started_at;
      this->caller_server.AnnounceClose();
      const TimePoint last_answer_at =
          this->stop_started_at + this->options.stop_limit - kFinalAnswerTime;
      asio::post(this->request_context,
                 [this, last_answer_at] { this->request_worker.BeginStop(last_answer_at); });
      this->PollStop();
    });
  }

  bool ready() const { return !this->stopping.load() && this->request_worker.has_view(); }

  FrontProcessOptions options;
  asio::io_context caller_context;
  asio::io_context request_context;
  asio::executor_work_guard<asio::io_context::executor_type> caller_work_guard{
      this->caller_context.get_executor()};
  asio::executor_work_guard<asio::io_context::executor_type> request_work_guard{
      this->request_context.get_executor()};
  CallerServer caller_server;
  RequestWorker request_worker;
  Ring<CallerEvent> caller_events;
  Ring<std::shared_ptr<CallerAnswer>> caller_answers;
  asio::steady_timer stop_timer;
  std::thread caller_thread;
  std::thread request_thread;
  std::atomic<bool> stopping{false};
  std::atomic<bool> stop_done{false};
  TimePoint stop_started_at{};
  TimePoint idle_since{};
  bool accepts_connections = true;

 private:
  void OnCallerEvent(const CallerEvent& event) {
    if (event.request) {
      this->request_worker.HandleRequest(std::move(*event.request));
    } else {
      this->request_worker.AbandonRequest(event.abandoned_ticket);
    }
  }

  // Accepts connections for stop_lag, then waits until every request is answered and the tokens are
  // handed over. Closes everything after stop_limit at the latest.
  void PollStop() {
    const TimePoint now = BootClock::now();
    if (this->caller_server.waiting_request_count() > 0) {
      this->idle_since = now;
    }
    if (this->accepts_connections && now - this->stop_started_at >= this->options.stop_lag) {
      this->accepts_connections = false;
      this->idle_since = now;
      this->caller_server.StopAccepting();
      asio::post(this->request_context, [this] { this->request_worker.BeginHandOver(); });
    }
    const bool all_work_done =
        !this->accepts_connections && now - this->idle_since >= kIdleTimeBeforeClose &&
        this->request_worker.requests_in_progress() == 0 && this->request_worker.hand_over_done();
    if (all_work_done || now - this->stop_started_at >= this->options.stop_limit) {
      this->caller_server.CloseConnections();
      asio::post(this->request_context, [this] {
        this->request_worker.Close();
        this->stop_done = true;
      });
      return;
    }
    this->stop_timer.expires_after(kStopPollInterval);
    this->stop_timer.async_wait([this](boost::system::error_code error) {
      if (!error) {
        this->PollStop();
      }
    });
  }
};

FrontProcess::FrontProcess(FrontProcessOptions options, Metrics& metrics)
    : impl(std::make_unique<Impl>(std::move(options), metrics)) {}

FrontProcess::~FrontProcess() = default;

absl::Status FrontProcess::Start() {
  return this->impl->Start();
}

void FrontProcess::BeginStop() {
  this->impl->BeginStop();
}

const std::atomic<bool>& FrontProcess::stopped() const {
  return this->impl->stop_done;
}

bool FrontProcess::ready() const {
  return this->impl->ready();
}

std::string FrontProcess::DebugState() const {
  return this->impl->request_worker.DebugState();
}

}  // namespace ibishold
