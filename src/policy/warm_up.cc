#include <algorithm>

#include "ibishold/policy.h"

namespace ibishold {

void WarmUp::SetShare(const WarmUpShare& new_share) {
  if (new_share == this->share) {
    return;
  }
  const bool promoted = new_share.primary && !this->share.primary && this->share.total_slots > 0;
  this->share = new_share;
  this->peer_message_due = true;
  if (promoted && !this->warm) {
    // This owner does not know the successes of the former primary, so the warm-up starts again.
    this->SetLevel(1);
  }
}

std::uint32_t WarmUp::Allowance() const {
  const std::uint32_t primary_slots = this->share.primary_slots;
  const std::uint32_t own =
      this->share.primary ? primary_slots : this->share.total_slots - primary_slots;
  if (this->is_warm()) {
    return own;
  }
  if (this->share.primary) {
    return std::min(this->level, primary_slots);
  }
  return this->level > primary_slots ? std::min(this->level - primary_slots, own) : 0;
}

bool WarmUp::RecordAnswer(Incarnation incarnation, Duration uptime) {
  if (incarnation == 0) {
    return false;
  }
  if (this->known_incarnation != 0 && incarnation < this->known_incarnation) {
    return false;  // delayed answer of an earlier run
  }
  const bool changed = this->known_incarnation != 0 && incarnation != this->known_incarnation;
  // Within one run the uptime only grows, so a drop shows a restart.
  const bool dropped = !changed && this->known_incarnation != 0 &&
                       uptime + std::chrono::seconds(1) < this->known_uptime;
  const bool first = this->known_incarnation == 0;
  this->known_incarnation = incarnation;
  this->known_uptime = uptime;
  if (changed || dropped) {
    this->MarkCold(changed ? ColdReason::kIncarnation : ColdReason::kUptime);
    return true;
  }
  if (first && uptime < this->options.uptime_limit && this->warm) {
    this->MarkCold(ColdReason::kUptime);
  }
  return false;
}

void WarmUp::MarkCold(ColdReason new_reason) {
  if (new_reason != ColdReason::kPeer) {
    ++this->own_report;
  }
  this->reason = new_reason;
  this->transitions += this->warm || this->level > 1 ? 1 : 0;
  this->warm = false;
  this->timeouts_in_row = 0;
  this->SetLevel(1);
}

void WarmUp::Forget() {
  this->MarkCold(ColdReason::kUnknown);
  this->known_incarnation = 0;
  this->known_uptime = Duration{};
}

void WarmUp::RecordSuccess(std::uint64_t started_stage) {
  this->timeouts_in_row = 0;
  if (this->warm || !this->share.primary || started_stage != this->current_stage) {
    return;
  }
  if (++this->successes < this->options.successes_per_level) {
    return;
  }
  if (this->level >= this->share.total_slots) {
    this->warm = true;
    this->reason = ColdReason::kNone;
    this->peer_message_due = true;
    return;
  }
  this->SetLevel(this->level + 1);
}

void WarmUp::RecordTimeout(std::uint64_t started_stage) {
  if (!this->warm) {
    this->Halve(started_stage);
    return;
  }
  if (++this->timeouts_in_row >= this->options.failures_in_row) {
    this->MarkCold(ColdReason::kLatency);
  }
}

void WarmUp::RecordShed(std::uint64_t started_stage) {
  if (this->warm) {
    // A leaf that sheds within its slots has less capacity than its slots indicate.
    this->warm = false;
    this->reason = ColdReason::kLatency;
    ++this->transitions;
    this->SetLevel(std::max(1U, this->share.total_slots / 2));
    return;
  }
  this->Halve(started_stage);
}

void WarmUp::MergePeerLevel(const LeafLevel& peer) {
  const bool report_is_new = peer.report > this->peer_report;
  this->peer_report = std::max(this->peer_report, peer.report);
  if (peer.incarnation != 0 && peer.incarnation < this->known_incarnation) {
    this->peer_message_due = true;  // the other owner has not seen the restart yet
    return;
  }
  const bool newer = peer.incarnation > this->known_incarnation;
  if (newer) {
    const bool known = this->known_incarnation != 0;
    this->known_incarnation = peer.incarnation;
    this->known_uptime = Duration{};
    if (known) {
      this->MarkCold(ColdReason::kPeer);
    }
  }
  if (this->share.primary) {
    if (!newer && report_is_new && peer.incarnation == this->known_incarnation &&
        peer.incarnation != 0 && !peer.warm) {
      this->MarkCold(ColdReason::kPeer);
    }
    this->peer_message_due = true;
    return;
  }
  if (peer.echo < this->own_report) {
    this->peer_message_due = true;
    return;
  }
  this->warm = peer.warm;
  this->reason = peer.warm ? ColdReason::kNone : ColdReason::kPeer;
  if (this->level != peer.level) {
    this->SetLevel(std::max(1U, peer.level));
  }
  this->peer_message_due = false;
}

std::optional<LeafLevel> WarmUp::TakeMessage() {
  if (!this->peer_message_due) {
    return std::nullopt;
  }
  this->peer_message_due = false;
  return this->Level();
}

LeafLevel WarmUp::Level() const {
  return {.incarnation = this->known_incarnation,
          .level = this->level,
          .warm = this->is_warm(),
          .report = this->own_report,
          .echo = this->peer_report};
}

void WarmUp::SetLevel(std::uint32_t new_level) {
  this->level = new_level;
  this->successes = 0;
  ++this->current_stage;
  this->peer_message_due = true;
}

void WarmUp::Halve(std::uint64_t started_stage) {
  // Calls of an earlier stage are ignored, because that stage has already been evaluated.
  if (started_stage == this->current_stage) {
    this->SetLevel(std::max(1U, this->level / 2));
  }
}

}  // namespace ibishold
