#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>

#include "ibishold/daemon.h"

namespace ibishold {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kPollInterval{20};  // longest delay of the exit after the stop

// Waits for the first signal, then polls `stopped` until it is true or a second signal arrives.
class StopWaiter {
 public:
  StopWaiter(const std::function<void()>& on_stop, const std::atomic<bool>& stopped)
      : on_stop(on_stop), stopped(stopped) {}

  void Run() {
    this->WaitForSignal();
    this->context.run();
  }

 private:
  void WaitForSignal() {
    this->signals.async_wait([this](boost::system::error_code error, int) {
      if (error) {
        return;
      }
      if (this->stop_requested) {
        this->context.stop();
        return;
      }
      this->stop_requested = true;
      this->on_stop();
      this->PollStopped();
      this->WaitForSignal();
    });
  }

  void PollStopped() {
    if (this->stopped.load()) {
      this->context.stop();
      return;
    }
    this->timer.expires_after(kPollInterval);
    this->timer.async_wait([this](boost::system::error_code) { this->PollStopped(); });
  }

  const std::function<void()>& on_stop;
  const std::atomic<bool>& stopped;
  asio::io_context context;
  asio::signal_set signals{context, SIGTERM, SIGINT};
  asio::steady_timer timer{context};
  bool stop_requested = false;
};

}  // namespace

void RunUntilStopped(const std::function<void()>& on_stop, const std::atomic<bool>& stopped) {
  StopWaiter(on_stop, stopped).Run();
}

Incarnation MakeIncarnation() {
  return static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                      std::chrono::system_clock::now().time_since_epoch())
                                      .count());
}

}  // namespace ibishold
