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
    // The successes counted by the former primary are not available, so the warm-up starts again.
    this->SetLevel(1);
  }
}

std::uint32_t WarmUp::GetAllowance() const {
  const std::uint32_t primary_slots = this->share.primary_slots;
  const std::uint32_t own_slots =
      this->share.primary ? primary_slots : this->share.total_slots - primary_slots;
  if (this->is_warm()) {
    return own_slots;
  }
  if (this->share.primary) {
    return std::min(this->level, primary_slots);
  }
  return this->level > primary_slots ? std::min(this->level - primary_slots, own_slots) : 0;
}

bool WarmUp::RecordAnswer(Incarnation incarnation, Duration uptime) {
  if (incarnation == 0) {
    return false;
  }
  if (this->leaf_incarnation != 0 && incarnation < this->leaf_incarnation) {
    return false;  // delayed answer of an earlier run of the leaf
  }
  const bool incarnation_changed =
      this->leaf_incarnation != 0 && incarnation != this->leaf_incarnation;
  // The uptime only grows during one run of the leaf, so a drop indicates a restart.
  const bool uptime_dropped = !incarnation_changed && this->leaf_incarnation != 0 &&
                              uptime + std::chrono::seconds(1) < this->leaf_uptime;
  const bool is_first_answer = this->leaf_incarnation == 0;
  this->leaf_incarnation = incarnation;
  this->leaf_uptime = uptime;
  if (incarnation_changed || uptime_dropped) {
    this->MarkCold(incarnation_changed ? ColdReason::kIncarnation : ColdReason::kUptime);
    return true;
  }
  if (is_first_answer && uptime < this->options.uptime_limit && this->warm) {
    this->MarkCold(ColdReason::kUptime);
  }
  return false;
}

void WarmUp::MarkCold(ColdReason new_reason) {
  if (new_reason != ColdReason::kPeer) {
    ++this->own_report_number;
  }
  this->cold_reason = new_reason;
  this->cold_transitions += this->warm || this->level > 1 ? 1 : 0;
  this->warm = false;
  this->consecutive_timeouts = 0;
  this->SetLevel(1);
}

void WarmUp::Forget() {
  this->MarkCold(ColdReason::kUnknown);
  this->leaf_incarnation = 0;
  this->leaf_uptime = Duration{};
}

void WarmUp::RecordSuccess(std::uint64_t stage_at_start) {
  this->consecutive_timeouts = 0;
  if (this->warm || !this->share.primary || stage_at_start != this->current_stage) {
    return;
  }
  if (++this->successes_at_level < this->options.successes_per_level) {
    return;
  }
  if (this->level >= this->share.total_slots) {
    this->warm = true;
    this->cold_reason = ColdReason::kNone;
    this->peer_message_due = true;
    return;
  }
  this->SetLevel(this->level + 1);
}

void WarmUp::RecordTimeout(std::uint64_t stage_at_start) {
  if (!this->warm) {
    this->HalveLevel(stage_at_start);
    return;
  }
  if (++this->consecutive_timeouts >= this->options.consecutive_timeout_limit) {
    this->MarkCold(ColdReason::kLatency);
  }
}

void WarmUp::RecordShed(std::uint64_t stage_at_start) {
  if (this->warm) {
    // A leaf that sheds requests within its slots has less capacity than its slots indicate.
    this->warm = false;
    this->cold_reason = ColdReason::kLatency;
    ++this->cold_transitions;
    this->SetLevel(std::max(1U, this->share.total_slots / 2));
    return;
  }
  this->HalveLevel(stage_at_start);
}

void WarmUp::MergePeerLevel(const LeafLevel& peer) {
  const bool report_is_new = peer.report > this->peer_report_number;
  this->peer_report_number = std::max(this->peer_report_number, peer.report);
  if (peer.incarnation != 0 && peer.incarnation < this->leaf_incarnation) {
    this->peer_message_due = true;  // the other owner has not detected the restart yet
    return;
  }
  const bool is_newer_run = peer.incarnation > this->leaf_incarnation;
  if (is_newer_run) {
    const bool knew_earlier_run = this->leaf_incarnation != 0;
    this->leaf_incarnation = peer.incarnation;
    this->leaf_uptime = Duration{};
    if (knew_earlier_run) {
      this->MarkCold(ColdReason::kPeer);
    }
  }
  if (this->share.primary) {
    if (!is_newer_run && report_is_new && peer.incarnation == this->leaf_incarnation &&
        peer.incarnation != 0 && !peer.warm) {
      this->MarkCold(ColdReason::kPeer);
    }
    this->peer_message_due = true;
    return;
  }
  if (peer.echo < this->own_report_number) {
    this->peer_message_due = true;
    return;
  }
  this->warm = peer.warm;
  this->cold_reason = peer.warm ? ColdReason::kNone : ColdReason::kPeer;
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
  return this->GetLevel();
}

LeafLevel WarmUp::GetLevel() const {
  return {.incarnation = this->leaf_incarnation,
          .level = this->level,
          .warm = this->is_warm(),
          .report = this->own_report_number,
          .echo = this->peer_report_number};
}

void WarmUp::SetLevel(std::uint32_t new_level) {
  this->level = new_level;
  this->successes_at_level = 0;
  ++this->current_stage;
  this->peer_message_due = true;
}

void WarmUp::HalveLevel(std::uint64_t stage_at_start) {
  // Failures of calls started in an earlier stage are ignored, because the level has been
  // changed since then.
  if (stage_at_start == this->current_stage) {
    this->SetLevel(std::max(1U, this->level / 2));
  }
}

}  // namespace ibishold
