#include "ibishold/broker.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <thread>
#include <utility>

#include "broker/leaf_duty.h"
#include "broker/link_duty.h"
#include "ibishold/ring.h"

namespace ibishold {

namespace asio = boost::asio;

struct Broker::State {
  explicit State(BrokerOptions new_options)
      : options(std::move(new_options)),
        link_duty(link_context,
                  options,
                  [this](ToLeaf&& message) { return this->to_leaf.Push(std::move(message)); }),
        leaf_duty(leaf_context,
                  options,
                  [this](ToLink&& message) { return this->to_link.Push(std::move(message)); }),
        to_leaf(leaf_context.get_executor(),
                [this](ToLeaf message) { this->leaf_duty.OnLinkMessage(std::move(message)); },
                {.capacity = options.settings.ring_capacity}),
        to_link(link_context.get_executor(),
                [this](ToLink message) { this->link_duty.OnLeafMessage(std::move(message)); },
                {.capacity = options.settings.ring_capacity}),
        views(leaf_context.get_executor(),
              [this](const PlannedView& view) { this->leaf_duty.OnView(view); },
              {.capacity = 256}) {}

  BrokerOptions options;
  asio::io_context link_context{1};
  asio::io_context leaf_context{1};
  LinkDuty link_duty;
  LeafDuty leaf_duty;
  Ring<ToLeaf> to_leaf;
  Ring<ToLink> to_link;
  Ring<PlannedView> views;
  PlannedView planned;  // the last one; used by the thread that calls OnView
  std::thread link_thread;
  std::thread leaf_thread;
};

Broker::Broker(BrokerOptions options) : state(std::make_unique<State>(std::move(options))) {}

Broker::~Broker() {
  this->Stop();
}

absl::Status Broker::Start() {
  absl::Status listening = this->state->link_duty.Listen();
  if (!listening.ok()) {
    return listening;
  }
  this->state->leaf_duty.Start();
  const auto run = [](asio::io_context& context) {
    const auto guard = asio::make_work_guard(context);
    context.run();
  };
  this->state->link_thread = std::thread([this, run] { run(this->state->link_context); });
  this->state->leaf_thread = std::thread([this, run] { run(this->state->leaf_context); });
  return absl::OkStatus();
}

void Broker::OnView(ControlViewPtr view) {
  PlannedView& next = this->state->planned;
  const ControlViewPtr before = std::exchange(next.view, std::move(view));
  if (!next.view || !next.view->topology || !next.view->vms) {
    return;
  }
  // Placement takes too long for the leaf thread when the fleet is large.
  if (!before || before->topology != next.view->topology || before->vms != next.view->vms) {
    next.plan = std::make_shared<const SlotPlan>(*next.view->topology, *next.view->vms);
    VmList without = *next.view->vms;
    for (VmEntry& vm : without.vms) {
      if (vm.id == this->state->options.vm) {
        vm.state = VmState::kLeaving;
      }
    }
    next.plan_without = std::make_shared<const SlotPlan>(*next.view->topology, without);
  }
  PlannedView copy = next;
  if (!this->state->views.Push(std::move(copy))) {
    // The next view supersedes this one and gets a new placement.
    next.view.reset();
  }
}

void Broker::BeginStop(std::function<void()> on_stopped) {
  State* const broker = this->state.get();
  const auto on_left = [broker] {
    asio::post(broker->link_context, [broker] { broker->link_duty.BeginStop(); });
  };
  asio::post(broker->leaf_context, [broker, on_left, on_stopped = std::move(on_stopped)] {
    broker->leaf_duty.BeginStop(on_left, on_stopped);
  });
}

void Broker::Stop() {
  State& broker = *this->state;
  if (broker.leaf_thread.joinable()) {
    asio::post(broker.leaf_context, [&broker] {
      broker.leaf_duty.Close();
      broker.leaf_context.stop();
    });
    broker.leaf_thread.join();
  }
  if (broker.link_thread.joinable()) {
    asio::post(broker.link_context, [&broker] {
      broker.link_duty.Close();
      broker.link_context.stop();
    });
    broker.link_thread.join();
  }
}

std::string Broker::StateJson() const {
  return this->state->leaf_duty.StateJson();
}

}  // namespace ibishold
