#include "ibishold/front_process.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <thread>
#include <utility>

#include "front/request_duty.h"
#include "ibishold/ring.h"

namespace ibishold {

namespace asio = boost::asio;

namespace {

constexpr Duration kStopPoll = std::chrono::milliseconds(20);
// Callers that use a connection again just before its close get time to be served.
constexpr Duration kQuietBeforeClose = std::chrono::milliseconds(200);

// What the caller thread hands to the request thread.
struct CallerEvent {
  std::shared_ptr<CallerRequest> request;  // null: the caller of `abandoned` left
  std::uint64_t abandoned = 0;
};

}  // namespace

class FrontProcess::Impl {
 public:
  Impl(FrontProcessOptions given, Metrics& metrics)
      : options(std::move(given)),
        server(this->caller_context, this->options.caller),
        duty(this->request_context,
             this->options,
             metrics,
             [this](std::shared_ptr<CallerAnswer> answer) {
               this->answers.Push(std::move(answer));
             }),
        requests(this->request_context.get_executor(),
                 [this](const CallerEvent& event) { this->OnEvent(event); },
                 {.capacity = this->options.ring_capacity}),
        answers(
            this->caller_context.get_executor(),
            [this](const std::shared_ptr<CallerAnswer>& answer) { this->server.Answer(*answer); },
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
    absl::Status listening = this->server.Listen(
        this->options.address, this->options.ports.front_http,
        [this](std::shared_ptr<CallerRequest> request) {
          return this->requests.Push(CallerEvent{.request = std::move(request)});
        },
        [this](std::uint64_t ticket) { this->requests.Push(CallerEvent{.abandoned = ticket}); });
    if (!listening.ok()) {
      return listening;
    }
    absl::Status linked = this->duty.Listen();
    if (!linked.ok()) {
      return linked;
    }
    asio::post(this->request_context, [this] { this->duty.Start(); });
    this->caller_thread = std::thread([this] { this->caller_context.run(); });
    this->request_thread = std::thread([this] { this->request_context.run(); });
    return absl::OkStatus();
  }

  void BeginStop() {
    if (this->stopping.exchange(true)) {
      return;
    }
    asio::post(this->caller_context, [this] {
      this->stop_began = BootClock::now();
      this->quiet_since = this->stop_began;
      this->server.AnnounceClose();
      this->PollStop();
    });
  }

  bool ready() const { return !this->stopping.load() && this->duty.has_view(); }

  FrontProcessOptions options;
  asio::io_context caller_context;
  asio::io_context request_context;
  asio::executor_work_guard<asio::io_context::executor_type> caller_work{
      this->caller_context.get_executor()};
  asio::executor_work_guard<asio::io_context::executor_type> request_work{
      this->request_context.get_executor()};
  CallerServer server;
  RequestDuty duty;
  Ring<CallerEvent> requests;
  Ring<std::shared_ptr<CallerAnswer>> answers;
  asio::steady_timer stop_timer;
  std::thread caller_thread;
  std::thread request_thread;
  std::atomic<bool> stopping{false};
  std::atomic<bool> done{false};
  TimePoint stop_began{};
  TimePoint quiet_since{};
  bool accepting = true;

 private:
  void OnEvent(const CallerEvent& event) {
    if (event.request) {
      this->duty.Request(std::move(*event.request));
    } else {
      this->duty.Abandon(event.abandoned);
    }
  }

  // Accepts for the balancer's lag, then waits until every request has been answered.
  void PollStop() {
    const TimePoint now = BootClock::now();
    if (this->server.waiting_count() > 0) {
      this->quiet_since = now;
    }
    if (this->accepting && now - this->stop_began >= this->options.stop_lag) {
      this->accepting = false;
      this->quiet_since = now;
      this->server.StopAccepting();
      asio::post(this->request_context, [this] { this->duty.BeginHandOver(); });
    }
    const bool finished = !this->accepting && now - this->quiet_since >= kQuietBeforeClose &&
                          this->duty.in_progress() == 0 && this->duty.hand_over_done();
    if (finished || now - this->stop_began >= this->options.stop_limit) {
      this->server.CloseConnections();
      asio::post(this->request_context, [this] {
        this->duty.Close();
        this->done = true;
      });
      return;
    }
    this->stop_timer.expires_after(kStopPoll);
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
  return this->impl->done;
}

bool FrontProcess::ready() const {
  return this->impl->ready();
}

std::string FrontProcess::DebugState() const {
  return this->impl->duty.DebugState();
}

}  // namespace ibishold
