#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <thread>
#include <utility>

#include "ibishold/control.h"
#include "ibishold/platform.h"

namespace ibishold {

namespace asio = boost::asio;

struct ControlDuty::State {
  explicit State(ControlOptions given)
      : options(std::move(given)),
        timer(context),
        platform(context, {.address = options.platform_address, .port = options.platform_port}) {}

  void Tick() {
    for (const std::string_view key : {kTopologyKey, kTableKey, kVmsKey}) {
      this->platform.Read(std::string(key), [this, key](absl::StatusOr<PlatformValue> value) {
        if (value.ok() && value->changed) {
          this->Accept({{std::string(key), value->generation, 0}, std::move(value->text)});
        }
      });
    }
    this->timer.expires_after(std::chrono::seconds(1));
    this->timer.async_wait([this](boost::system::error_code error) {
      if (!error) {
        this->Tick();
      }
    });
  }

  void Accept(Document document) {
    if (Applied(this->store.Offer(std::move(document)))) {
      this->Publish();
    }
  }

  void Publish() {
    auto view = std::make_shared<ControlView>();
    view->topology = this->store.topology();
    view->table = this->store.table();
    view->vms = this->store.vms();
    view->documents = this->store.documents();
    view->ready = view->topology && view->vms;
    view->may_hold_slots = view->ready;
    view->successors = this->successors;
    {
      const std::lock_guard lock(this->mutex);
      this->latest = view;
    }
    if (this->options.on_view) {
      this->options.on_view(view);
    }
  }

  ControlOptions options;
  asio::io_context context{1};
  asio::steady_timer timer;
  PlatformClient platform;
  ConfigStore store;
  std::map<Incarnation, VmId> successors;
  std::thread thread;
  mutable std::mutex mutex;  // guards latest
  ControlViewPtr latest = std::make_shared<ControlView>();
};

ControlDuty::ControlDuty(ControlOptions options)
    : state(std::make_unique<State>(std::move(options))) {}

ControlDuty::~ControlDuty() {
  this->Stop();
}

absl::Status ControlDuty::Start() {
  asio::post(this->state->context, [state = this->state.get()] { state->Tick(); });
  this->state->thread = std::thread([state = this->state.get()] {
    const auto guard = asio::make_work_guard(state->context);
    state->context.run();
  });
  return absl::OkStatus();
}

void ControlDuty::Stop() {
  this->state->context.stop();
  if (this->state->thread.joinable()) {
    this->state->thread.join();
  }
}

ControlViewPtr ControlDuty::view() const {
  const std::lock_guard lock(this->state->mutex);
  return this->state->latest;
}

TimePoint ControlDuty::hold_until() const {
  return TimePoint::max();
}

void ControlDuty::AnnounceLeaving() {}

void ControlDuty::AnnounceSuccessor(Incarnation incarnation, VmId vm) {
  asio::post(this->state->context, [state = this->state.get(), incarnation, vm = std::move(vm)] {
    state->successors[incarnation] = vm;
    state->Publish();
  });
}

}  // namespace ibishold
