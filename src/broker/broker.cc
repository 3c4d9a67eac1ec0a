#include "ibishold/broker.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <thread>
#include <utility>

#include "broker/leaf_manager.h"
#include "broker/link_manager.h"
#include "ibishold/ring.h"

namespace ibishold {

namespace asio = boost::asio;

struct Broker::State {
  explicit State(BrokerOptions new_options)
      : options(std::move(new_options)),
        link_manager(link_context,
                     options,
                     [this](LeafThreadMessage&& message) {
                       return this->messages_to_leaf_thread.Push(std::move(message));
                     }),
        leaf_manager(leaf_context,
                     options,
                     [this](LinkThreadMessage&& message) {
                       return this->messages_to_link_thread.Push(std::move(message));
                     }),
        messages_to_leaf_thread(leaf_context.get_executor(),
                                [this](LeafThreadMessage message) {
                                  this->leaf_manager.OnLinkMessage(std::move(message));
                                },
                                {.capacity = options.settings.ring_capacity}),
        messages_to_link_thread(link_context.get_executor(),
                                [this](LinkThreadMessage message) {
                                  this->link_manager.OnLeafMessage(std::move(message));
                                },
                                {.capacity = options.settings.ring_capacity}),
        view_updates(leaf_context.get_executor(),
                     [this](const PlannedView& view) { this->leaf_manager.OnView(view); },
                     {.capacity = 256}) {}

  BrokerOptions options;
  asio::io_context link_context{1};
  asio::io_context leaf_context{1};
  LinkManager link_manager;
  LeafManager leaf_manager;
  Ring<LeafThreadMessage> messages_to_leaf_thread;
  Ring<LinkThreadMessage> messages_to_link_thread;
  Ring<PlannedView> view_updates;
  PlannedView latest_view;  // used only by the thread that calls OnView
  std::thread link_thread;
  std::thread leaf_thread;
};

Broker::Broker(BrokerOptions options) : state(std::make_unique<State>(std::move(options))) {}

Broker::~Broker() {
  this->Stop();
}

absl::Status Broker::Start() {
  absl::Status listen_status = this->state->link_manager.Listen();
  if (!listen_status.ok()) {
    return listen_status;
  }
  this->state->leaf_manager.Start();
  const auto run_until_stopped = [](asio::io_context& context) {
    const auto guard = asio::make_work_guard(context);
    context.run();
  };
  this->state->link_thread =
      std::thread([this, run_until_stopped] { run_until_stopped(this->state->link_context); });
  this->state->leaf_thread =
      std::thread([this, run_until_stopped] { run_until_stopped(this->state->leaf_context); });
  return absl::OkStatus();
}

void Broker::OnView(ControlViewPtr view) {
  PlannedView& latest = this->state->latest_view;
  const ControlViewPtr previous = std::exchange(latest.view, std::move(view));
  if (!latest.view || !latest.view->topology || !latest.view->vms) {
    return;
  }
  // Plans are computed here because placement in a large fleet would block the leaf thread too
  // long.
  if (!previous || previous->topology != latest.view->topology ||
      previous->vms != latest.view->vms) {
    latest.plan = std::make_shared<const SlotPlan>(*latest.view->topology, *latest.view->vms);
    VmList vms_after_leaving = *latest.view->vms;
    for (VmEntry& vm : vms_after_leaving.vms) {
      if (vm.id == this->state->options.vm) {
        vm.state = VmState::kLeaving;
      }
    }
    latest.plan_after_leaving =
        std::make_shared<const SlotPlan>(*latest.view->topology, vms_after_leaving);
  }
  PlannedView copy = latest;
  if (!this->state->view_updates.Push(std::move(copy))) {
    // The ring is full. Forget this view, so that the next one gets new plans.
    latest.view.reset();
  }
}

void Broker::BeginStop(std::function<void()> on_stopped) {
  State* const broker_state = this->state.get();
  const auto on_slots_released = [broker_state] {
    asio::post(broker_state->link_context,
               [broker_state] { broker_state->link_manager.BeginStop(); });
  };
  asio::post(broker_state->leaf_context,
             [broker_state, on_slots_released, on_stopped = std::move(on_stopped)] {
               broker_state->leaf_manager.BeginStop(on_slots_released, on_stopped);
             });
}

void Broker::Stop() {
  State& broker_state = *this->state;
  if (broker_state.leaf_thread.joinable()) {
    asio::post(broker_state.leaf_context, [&broker_state] {
      broker_state.leaf_manager.Close();
      broker_state.leaf_context.stop();
    });
    broker_state.leaf_thread.join();
  }
  if (broker_state.link_thread.joinable()) {
    asio::post(broker_state.link_context, [&broker_state] {
      broker_state.link_manager.Close();
      broker_state.link_context.stop();
    });
    broker_state.link_thread.join();
  }
}

std::string Broker::StateJson() const {
  return this->state->leaf_manager.StateJson();
}

}  // namespace ibishold
