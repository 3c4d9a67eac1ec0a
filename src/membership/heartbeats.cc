#include <algorithm>
#include <set>
#include <utility>

#include "ibishold/membership.h"
#include "membership/document_exchange.h"
#include "membership/fact_queue.h"
#include "membership/hold_clock.h"
#include "membership/monitors.h"
#include "membership/platform_schedule.h"
#include "membership/silence_detector.h"
#include "membership/vm_table.h"

namespace ibishold {

namespace {

// Successors in one heartbeat: recent ones, and one chosen round-robin from all, for VMs that
// started later.
constexpr std::size_t kSuccessorsPerHeartbeat = 3;

}  // namespace

void Membership::OnDatagram(const std::string& address,
                            const HeartbeatMessage& message,
                            TimePoint now,
                            MembershipActions& actions) {
  if (message.vm == this->options.vm) {
    // Another process uses the ID of this VM; the incarnation decides which of the two is newer.
    this->ApplySelfFact({message.vm, message.incarnation, message.state}, now);
    return;
  }
  const VmFact known = this->table->GetFact(message.vm);
  const bool outdated = message.incarnation < known.incarnation;
  const bool lost = message.incarnation == known.incarnation && known.state == VmState::kLost;
  if (!outdated) {
    if (!lost) {
      this->silence->RecordHeartbeat(message.vm, now);
    }
    this->ApplyFact({message.vm, message.incarnation, message.state}, now);
  }
  for (const VmFact& fact : message.facts) {
    if (fact.vm == this->options.vm) {
      this->ApplySelfFact(fact, now);
    } else {
      this->ApplyFact(fact, now);
    }
  }
  if (message.acknowledgement) {
    this->acknowledged_by_peer = true;
    // If the acknowledgement says that this run is lost, the facts above have already reset the
    // hold clock, so it has no effect. An acknowledgement that shows a newer VM list is ignored:
    // under that list other VMs may have taken over the slots, and a process that returns could be
    // cut off again before the list arrives.
    if (!outdated && !this->HasNewerList(message)) {
      this->hold->RecordAcknowledgement(message.vm, message.sequence);
    }
  } else {
    for (const SilentVm& report : message.silent) {
      this->ApplyReport(message.vm, report, now);
    }
  }
  for (const auto& [home, successor] : message.successors) {
    this->AddSuccessor(home, successor, now);
  }
  this->exchange->RecordOffer(address, message.digests, this->documents, now, actions);
  if (message.acknowledgement) {
    return;
  }
  const bool differ = message.digests != this->documents.digests();
  if (message.sequence == 0 && !differ && !lost && !outdated) {
    return;
  }
  const bool counts = this->silence->MayAcknowledge(message.vm, message.incarnation);
  HeartbeatMessage answer = this->BuildMessage(true, counts ? message.sequence : 0, differ);
  if (lost || outdated) {
    answer.facts.insert(answer.facts.begin(), known);
  } else if (!counts) {
    // This VM reported the run silent, so others may have declared it lost. It is told to return
    // with a new incarnation; otherwise its monitors could stop acknowledging it one by one.
    answer.facts.insert(answer.facts.begin(), {message.vm, message.incarnation, VmState::kLost});
  }
  actions.push_back(SendDatagram{address, std::move(answer)});
}

bool Membership::HasNewerList(const HeartbeatMessage& message) const {
  const std::uint64_t known = this->documents.vms() ? this->documents.vms()->generation : 0;
  return std::any_of(message.digests.begin(), message.digests.end(), [known](const Digest& each) {
    return each.key == kVmsKey && each.generation > known;
  });
}

void Membership::ApplyFact(const VmFact& fact, TimePoint now) {
  const VmFact before = this->table->GetFact(fact.vm);
  if (!this->table->Apply(fact)) {
    return;
  }
  const VmFact after = this->table->GetFact(fact.vm);
  const bool bad_news = after.state > before.state || after.state == VmState::kLost;
  const bool good_news = after.state < before.state;
  if (bad_news || good_news || fact.vm == this->options.vm) {
    this->facts->Add(fact, this->documents.vms() ? this->documents.vms()->vms.size() : 1);
    this->RequestPush(now);
  }
  this->changed = true;
  if ((bad_news || good_news) && this->documents.vms()) {
    this->schedule->SetRole(
        IsWatcher(this->options.vm, this->options.data_centre, *this->table->GetMerged(),
                  this->options.watchers_per_data_centre),
        this->documents.vms()->vms.size(), now);
  }
}

void Membership::ApplySelfFact(const VmFact& fact, TimePoint now) {
  if (fact.incarnation > this->own_incarnation) {
    // A newer run of this VM exists: this process was replaced and must not hold slots again.
    this->superseded = true;
    this->changed = true;
    return;
  }
  if (fact.incarnation < this->own_incarnation || fact.state != VmState::kLost ||
      this->declared_lost) {
    return;
  }
  // Other VMs may already use the slots of this run, so it gives them up and returns with a new
  // incarnation.
  this->declared_lost = true;
  this->hold->Reset();
  this->ApplyFact(fact, now);
}

void Membership::ApplyReport(const VmId& reporter, const SilentVm& report, TimePoint now) {
  const VmFact known = this->table->GetFact(report.vm);
  if (report.incarnation != known.incarnation || known.state == VmState::kLost) {
    return;
  }
  if (this->silence->RecordReport(reporter, report, now)) {
    this->ApplyFact({report.vm, report.incarnation, VmState::kLost}, now);
  }
}

void Membership::SendHeartbeats(TimePoint now, MembershipActions& actions) {
  if (this->declared_lost) {
    this->declared_lost = false;
    ++this->own_incarnation;
    this->ApplyFact({this->options.vm, this->own_incarnation, this->OwnState()}, now);
  }
  if (!this->documents.vms()) {
    return;
  }
  ++this->sequence;
  this->hold->RecordSent(this->sequence, now);
  for (const VmId& monitor : this->hold->monitors()) {
    if (const VmEntry* entry = this->table->FindPublished(monitor)) {
      actions.push_back(
          SendDatagram{entry->address, this->BuildMessage(false, this->sequence, true)});
    }
  }
  if (const VmEntry* peer = this->ChooseRandomPeer(true)) {
    actions.push_back(SendDatagram{peer->address, this->BuildMessage(false, this->sequence, true)});
  }
}

void Membership::SendReports(TimePoint now, MembershipActions& actions) {
  for (const SilenceDetector::Silent& silent : this->silence->SilentVms(now)) {
    const VmFact known = this->table->GetFact(silent.vm);
    if (known.state == VmState::kLost) {
      continue;
    }
    const SilentVm report{silent.vm, known.incarnation};
    this->ApplyReport(this->options.vm, report, now);
    for (const VmId& monitor : silent.monitors) {
      const VmEntry* entry = this->table->FindPublished(monitor);
      if (monitor == this->options.vm || entry == nullptr) {
        continue;
      }
      HeartbeatMessage message = this->BuildMessage(false, 0, true);
      message.silent.push_back(report);
      actions.push_back(SendDatagram{entry->address, std::move(message)});
    }
  }
}

void Membership::Push(MembershipActions& actions) {
  this->push_at = TimePoint::max();
  if (!this->documents.vms()) {
    return;
  }
  std::set<VmId> sent;
  for (std::size_t i = 0; i < this->options.push_fanout; ++i) {
    const VmEntry* peer = this->ChooseRandomPeer(false);
    if (peer != nullptr && sent.insert(peer->id).second) {
      actions.push_back(SendDatagram{peer->address, this->BuildMessage(false, 0, true)});
    }
  }
}

HeartbeatMessage Membership::BuildMessage(bool acknowledgement,
                                          std::uint64_t message_sequence,
                                          bool with_digests) {
  HeartbeatMessage message;
  message.acknowledgement = acknowledgement;
  message.vm = this->options.vm;
  message.incarnation = this->own_incarnation;
  message.sequence = message_sequence;
  message.state = this->OwnState();
  if (with_digests) {
    message.digests = this->documents.digests();
  }
  message.facts = this->facts->Take(this->options.facts_per_heartbeat);
  while (!this->successors_to_send.empty() &&
         message.successors.size() + 1 < kSuccessorsPerHeartbeat) {
    auto [home, left] = this->successors_to_send.front();
    this->successors_to_send.pop_front();
    const auto found = this->successors.find(home);
    if (found != this->successors.end()) {
      message.successors.push_back(*found);
      if (left > 1) {
        this->successors_to_send.emplace_back(home, left - 1);
      }
    }
    if (this->successors_to_send.size() < kSuccessorsPerHeartbeat) {
      break;  // avoids repeating the same successors within one message
    }
  }
  if (!acknowledgement && !this->successors.empty()) {
    auto turn = this->successors.upper_bound(this->successor_cursor);
    if (turn == this->successors.end()) {
      turn = this->successors.begin();
    }
    this->successor_cursor = turn->first;
    message.successors.push_back(*turn);
  }
  return message;
}

const VmEntry* Membership::ChooseRandomPeer(bool prefer_other_data_centre) {
  const std::shared_ptr<const VmList> list = this->table->GetMerged();
  if (!list || list->vms.empty()) {
    return nullptr;
  }
  // A few random draws find a live VM unless nearly all are lost; then this round is skipped.
  for (int attempt = 0; attempt < 16; ++attempt) {
    const VmEntry& entry = list->vms[this->random.NextBelow(list->vms.size())];
    const bool own_centre = entry.data_centre == this->options.data_centre;
    if (entry.id == this->options.vm || (prefer_other_data_centre && own_centre && attempt < 12)) {
      continue;
    }
    // Some heartbeats also go to lost VMs, to detect that a network partition has ended.
    if (entry.state == VmState::kLost && !prefer_other_data_centre) {
      continue;
    }
    return this->table->FindPublished(entry.id);
  }
  return nullptr;
}

std::optional<std::string> Membership::ChooseRandomPeerAddress() {
  if (const VmEntry* peer = this->ChooseRandomPeer(false)) {
    return peer->address;
  }
  if (this->options.seeds.empty()) {
    return std::nullopt;
  }
  return this->options.seeds[this->random.NextBelow(this->options.seeds.size())];
}

VmState Membership::OwnState() const {
  return this->leaving ? VmState::kLeaving : VmState::kLive;
}

}  // namespace ibishold
