#include "ibishold/membership.h"

#include <algorithm>
#include <utility>

#include "membership/document_exchange.h"
#include "membership/fact_queue.h"
#include "membership/hold_clock.h"
#include "membership/monitors.h"
#include "membership/platform_schedule.h"
#include "membership/silence_detector.h"
#include "membership/vm_table.h"

namespace ibishold {

Membership::Membership(MembershipOptions given)
    : options(std::move(given)),
      random(this->options.seed),
      own_incarnation(this->options.incarnation),
      table(std::make_unique<VmTable>()),
      facts(std::make_unique<FactQueue>()),
      hold(std::make_unique<HoldClock>(this->options.acknowledgement_limit)),
      // A report is repeated with every heartbeat and is valid for a few heartbeat intervals.
      silence(std::make_unique<SilenceDetector>(this->options.vm,
                                                this->options.loss_limit,
                                                this->options.heartbeat_interval * 5)),
      exchange(std::make_unique<DocumentExchange>(this->options.fetch_timeout)),
      schedule(std::make_unique<PlatformSchedule>(this->options, this->random)) {
  for (const std::string_view key : {kVmsKey, kTableKey, kTopologyKey}) {
    this->missing.emplace(key, MissingDocument{});
  }
}

Membership::~Membership() = default;

void Membership::Start(TimePoint now, MembershipActions& actions) {
  this->started_at = now;
  this->last_tick_at = now;
  // Spreads the heartbeats and first calls of VMs that start together over one interval.
  const Duration phase(static_cast<Duration::rep>(
      this->random.NextFraction() * static_cast<double>(this->options.heartbeat_interval.count())));
  this->next_heartbeat_at = now + phase;
  for (auto& [key, state] : this->missing) {
    state.ask_at = now + (this->options.seeds.empty() ? phase : Duration{});
  }
  this->changed = true;
  this->Tick(now, actions);
}

void Membership::Tick(TimePoint now, MembershipActions& actions) {
  if (now - this->last_tick_at > this->options.max_tick_gap) {
    this->silence->Resume(now);
  }
  this->last_tick_at = now;
  this->exchange->Expire(this->documents, now, actions);
  this->Bootstrap(now, actions);
  this->schedule->Plan(this->documents, now, actions);
  if (this->push_at <= now) {
    this->Push(actions);
  }
  if (this->next_heartbeat_at <= now) {
    this->SendHeartbeats(now, actions);
    this->SendReports(now, actions);
    // Scheduled from now, so that a process does not send a burst after a pause.
    this->next_heartbeat_at = now + this->options.heartbeat_interval;
  }
}

TimePoint Membership::NextWake(TimePoint now) {
  TimePoint next = std::min({this->next_heartbeat_at, this->push_at, this->exchange->NextWake(),
                             this->schedule->NextWake(now)});
  for (const auto& [key, state] : this->missing) {
    if (!this->exchange->IsPending(key) && !this->schedule->IsReadPending(key) &&
        !state.absent_on_platform) {
      next = std::min(next, state.ask_at);
    }
  }
  return next;
}

void Membership::OnPlatformAnswer(std::uint64_t call,
                                  absl::StatusOr<PlatformAnswer> answer,
                                  TimePoint now,
                                  MembershipActions& actions) {
  const bool absent = absl::IsNotFound(answer.status());
  const std::string key = this->schedule->OnCallEnd(call, answer, now);
  if (key.empty()) {
    return;
  }
  const auto state = this->missing.find(key);
  if (state != this->missing.end()) {
    state->second.absent_on_platform = absent;
    // Peers are asked again before the next platform call.
    state->second.peers_asked = 0;
    state->second.delayed = false;
    state->second.ask_at = now + this->random.ApplyJitter(this->options.minimum_backoff * 2, 0.5);
  }
  if (answer.ok() && answer->text) {
    this->AcceptDocument({{key, answer->generation, 0}, *std::move(answer->text)}, now);
  }
  this->Bootstrap(now, actions);
  this->schedule->Plan(this->documents, now, actions);
}

void Membership::OnDocumentFetched(std::uint64_t call,
                                   absl::StatusOr<std::optional<Document>> document,
                                   TimePoint now,
                                   MembershipActions& actions) {
  if (document.ok() && document->has_value()) {
    this->AcceptDocument(*std::move(*document), now);
  }
  this->exchange->OnFetchEnd(call, this->documents, now, actions);
  this->Bootstrap(now, actions);
}

void Membership::Leave(TimePoint now) {
  if (this->leaving) {
    return;
  }
  this->leaving = true;
  this->ApplyFact({this->options.vm, this->own_incarnation, VmState::kLeaving}, now);
}

void Membership::AddSuccessor(const TokenHomeRun& home,
                              const TokenSuccessor& successor,
                              TimePoint now) {
  TokenSuccessor& known = this->successors[home];
  if (known.hops >= successor.hops && !known.vm.value.empty()) {
    return;
  }
  known = successor;
  if (this->successors.size() > this->options.successor_limit) {
    // Incarnations are start times, so the lowest is the oldest run.
    this->successors.erase(std::min_element(
        this->successors.begin(), this->successors.end(), [](const auto& left, const auto& right) {
          return left.first.incarnation < right.first.incarnation;
        }));
  }
  this->successors_to_send.emplace_back(home, 24);
  this->changed = true;
  this->RequestPush(now);
}

bool Membership::TakeChange(TimePoint now) {
  const bool may_hold_slots = now < this->HoldUntil();
  const bool ready_now = this->ready(now);
  const bool result =
      this->changed || may_hold_slots != this->published_hold || ready_now != this->published_ready;
  this->changed = false;
  this->published_hold = may_hold_slots;
  this->published_ready = ready_now;
  return result;
}

ControlView Membership::BuildView(TimePoint now) {
  ControlView view;
  view.topology = this->documents.topology();
  view.table = this->documents.table();
  view.vms = this->table->GetMerged();
  view.lost_vms = this->table->FindLost();
  view.ready = this->ready(now);
  view.may_hold_slots = now < this->HoldUntil();
  view.successors = this->successors;
  view.documents = this->documents.documents();
  return view;
}

TimePoint Membership::HoldUntil() const {
  if (this->superseded || this->declared_lost || !this->documents.vms()) {
    return TimePoint::min();
  }
  return this->hold->HoldUntil();
}

bool Membership::ready(TimePoint now) const {
  if (!this->documents.topology() || !this->documents.vms()) {
    return false;
  }
  // Without the table, work could be sent to an evacuated data centre.
  const auto table_missing = this->missing.find(std::string(kTableKey));
  if (table_missing != this->missing.end() && !table_missing->second.absent_on_platform) {
    return false;
  }
  // The platform may serve old documents; digests from a peer show whether a newer one exists.
  return this->acknowledged_by_peer ||
         now - this->started_at >= this->options.peer_contact_timeout ||
         this->documents.vms()->vms.size() <= 1;
}

bool Membership::AcceptDocument(Document document, TimePoint now) {
  const std::string key = document.digest.key;
  if (!Applied(this->documents.Offer(std::move(document)))) {
    return false;
  }
  this->missing.erase(key);
  this->changed = true;
  if (key == kVmsKey) {
    this->table->SetPublishedList(this->documents.vms());
    this->OnVmListChange(now);
  }
  this->RequestPush(now);
  return true;
}

void Membership::OnVmListChange(TimePoint now) {
  const VmList& list = *this->documents.vms();
  this->hold->SetMonitors(
      SelectMonitors(this->options.vm, this->options.data_centre, list, this->options.monitors));
  this->silence->SetPublishedList(list, this->options.monitors, now);
  this->schedule->SetRole(
      IsWatcher(this->options.vm, this->options.data_centre, *this->table->GetMerged(),
                this->options.watchers_per_data_centre),
      list.vms.size(), now);
}

void Membership::Bootstrap(TimePoint now, MembershipActions& actions) {
  for (auto& [key, state] : this->missing) {
    if (state.absent_on_platform || state.ask_at > now || this->exchange->IsPending(key) ||
        this->schedule->IsReadPending(key)) {
      continue;
    }
    const std::optional<std::string> peer = this->ChooseRandomPeerAddress();
    if (!peer && key != kVmsKey && !this->documents.vms() &&
        !this->schedule->IsReadPending("vms") && this->missing.contains(std::string(kVmsKey))) {
      // The VM list is read first, because it names peers that have the other documents.
      state.ask_at = now + this->options.peer_interval;
      continue;
    }
    if (peer && state.peers_asked < this->options.peer_requests_before_platform) {
      ++state.peers_asked;
      state.ask_at = now + this->random.ApplyJitter(this->options.peer_interval, 0.5);
      this->exchange->Request(*peer, key, now, actions);
      continue;
    }
    if (peer && !state.delayed && !this->schedule->watcher()) {
      const std::chrono::duration<double> spread(
          static_cast<double>(this->documents.vms() ? this->documents.vms()->vms.size() : 1) /
          this->options.first_reads_per_second * this->random.NextFraction());
      state.delayed = true;
      state.ask_at = now + std::chrono::duration_cast<Duration>(spread);
      continue;
    }
    this->schedule->RequestRead(key, now);
  }
}

void Membership::RequestPush(TimePoint now) {
  this->push_at = std::min(this->push_at, now + this->options.push_delay);
}

}  // namespace ibishold
