/*
 * One slot of a leaf: its old holder H, the new owner N, and H's monitors.
 *
 * Stands for: HoldClock and SilenceDetector (include/ibishold/membership.h, src/membership/),
 * SlotHolder (include/ibishold/ownership.h, src/ownership/), and the check before each send in the
 * broker.
 *
 * Time, in steps of the clock: a hold lasts HOLD from the sending of an acknowledged heartbeat
 * (5 s), a leaf request occupies its slot for at most BUSY (3 s), and the takeover wait is their
 * sum (8 s). SILENT stands for 60 s; it must only exceed that sum. A report counts for REPORT and
 * blocks acknowledgements for BLOCK.
 *
 * Assumptions:
 * - Clocks run at the same rate. Each process may be slow or stop at any point. H checks its hold
 *   and writes the request in one step: a pause between the two is not covered by the code either.
 * - Heartbeats and acknowledgements may be lost, and late without bound.
 * - A report among monitors arrives within 1 step or not at all (without: LATE_REPORTS).
 * - Once more than half of the monitors reported H, every reporting monitor learns of the loss
 *   before it acknowledges this run of H again (without: LOSS_UNHEARD). STICKY is a rule that needs
 *   neither of these two: a monitor that has reported a run never acknowledges it again.
 * - More than K - NEED monitors of H know the list that removed H when N learns it (without:
 *   STALE_MONITORS, the residual risk that design 5.3 states).
 * - The return of H with a new incarnation is not modelled.
 *
 * The two takeovers are checked apart: by the list, or with LOSS by the monitors' reports.
 *
 * Checked: H and N never use the slot at the same time; without the last assumption at most one
 * extra holder.
 */

#ifndef K
#define K 2
#endif
#define NEED ((K + 1) / 2)
#ifdef TAKEOVER_BY_HALF
#define MAJORITY ((K + 1) / 2)
#else
#define MAJORITY (K / 2 + 1)
#endif

#define HOLD 2
#define BUSY 2
#define SILENT 5
#define REPORT 1
#define BLOCK 2
#ifdef SHORT_WAIT
#define WAIT HOLD /* requests in flight are forgotten */
#else
#define WAIT (HOLD + BUSY)
#endif
#define NEVER 7

byte acked[K];      /* H: time since the sending of the newest acknowledged heartbeat */
byte beat[K];       /* on the way to a monitor: time since its sending */
byte answer[K];     /* on the way back: time since the sending of its heartbeat */
bool answer_list[K];  /* that acknowledgement brings the new list */
byte heard[K];      /* monitor: time since it heard H */
byte reported[K];   /* monitor: time since its last report */
byte noted[K];      /* N's side: time since that report arrived */
bool lost;          /* more than half reported */
bool knows_lost[K];
bool listed_out[K]; /* monitor has the list without H */
bool h_out;         /* H has that list */
bool h_lost;        /* H was told that it is lost */
byte h_busy;        /* time since H's request was written; NEVER: none */
byte n_list;        /* time since N has the list; NEVER: it does not have it */
bool released;
bool n_uses;

inline age(x, limit) {
  if :: x < limit -> x++ :: else fi
}

/* Heartbeats that are too old to count are dropped, which changes nothing. */
inline age_or_drop(x, limit) {
  if
#ifdef COUNT_FROM_RECEIPT
  :: x != NEVER && x < limit -> x++
#else
  :: x != NEVER && x + 1 >= limit -> x = NEVER
  :: x != NEVER && x + 1 < limit -> x++
#endif
  :: else
  fi
}

#if K == 2
#define HOLDS ((acked[0] < HOLD) + (acked[1] < HOLD) >= NEED)
#define REPORTS ((noted[0] <= REPORT) + (noted[1] <= REPORT))
#define INFORMED (listed_out[0] + listed_out[1] > K - NEED)
#else
#define HOLDS ((acked[0] < HOLD) + (acked[1] < HOLD) + (acked[2] < HOLD) >= NEED)
#define REPORTS ((noted[0] <= REPORT) + (noted[1] <= REPORT) + (noted[2] <= REPORT))
#define INFORMED (listed_out[0] + listed_out[1] + listed_out[2] > K - NEED)
#endif

proctype Clock() {
  byte i;
end:
  do
  :: d_step {
       i = 0;
       do
       :: i < K ->
          age(acked[i], HOLD);
          age_or_drop(beat[i], HOLD);
          age_or_drop(answer[i], HOLD);
#ifdef LOSS
          age(heard[i], SILENT);
          age(reported[i], BLOCK + 1);
          age(noted[i], REPORT + 1);
#endif
          i++
       :: else -> break
       od;
       /* The answer, or the limit after which the broker frees the slot. */
       if :: h_busy != NEVER && h_busy + 1 >= BUSY -> h_busy = NEVER
          :: h_busy != NEVER && h_busy + 1 < BUSY -> h_busy++ :: else fi;
       if :: n_list < WAIT -> n_list++ :: else fi;
       i = 0
     }
  od
}

proctype Monitor(byte m) {
end:
  do
  /* H's heartbeat; a newer one replaces one that is lost. */
  :: d_step { beat[m] != 0 && !h_out && !h_lost -> beat[m] = 0 }
  /* It arrives and is acknowledged, with the list if this monitor has it. */
  :: d_step { beat[m] != NEVER && !knows_lost[m] ->
#ifdef LOSS
              heard[m] = 0;
#endif
#if defined(LOSS_UNHEARD) || defined(STICKY)
#define FACT_BLOCKS false
#else
#define FACT_BLOCKS (lost && reported[m] != NEVER)
#endif
#ifdef STICKY
              if :: reported[m] == NEVER -> answer[m] = beat[m]; answer_list[m] = listed_out[m]
                 :: else fi;
#else
#ifdef REPORTER_ACKNOWLEDGES
              answer[m] = beat[m]; answer_list[m] = listed_out[m];
#else
              if :: reported[m] > BLOCK && !FACT_BLOCKS -> answer[m] = beat[m]; answer_list[m] = listed_out[m]
                 :: else fi;
#endif
#endif
              beat[m] = NEVER }
  :: d_step { answer[m] != NEVER ->
              if
              :: answer_list[m] -> h_out = true
              :: else ->
#ifdef COUNT_FROM_RECEIPT
                 acked[m] = 0
#else
                 if :: answer[m] < acked[m] -> acked[m] = answer[m] :: else fi
#endif
              fi;
              answer[m] = NEVER; answer_list[m] = false }
#ifdef LOSS
  /* Silence is reported as long as it lasts; the report may be lost. */
  :: d_step { heard[m] >= SILENT && !knows_lost[m] && (reported[m] != 0 || noted[m] != 0) ->
              reported[m] = 0; noted[m] = 0;
              if :: REPORTS >= MAJORITY -> lost = true :: else fi }
  :: d_step { heard[m] >= SILENT && !knows_lost[m] && reported[m] != 0 -> reported[m] = 0 }
#ifdef LATE_REPORTS
  :: d_step { reported[m] != NEVER && noted[m] != 0 -> noted[m] = 0;
              if :: REPORTS >= MAJORITY -> lost = true :: else fi }
#endif
  /* The loss is passed on. */
  :: d_step { lost && !knows_lost[m] -> knows_lost[m] = true }
  :: d_step { knows_lost[m] && !h_lost -> h_lost = true }
#else
  /* The list without H. */
  :: d_step { !listed_out[m] -> listed_out[m] = true }
#endif
  od
}

proctype Holder() {
end:
  do
#ifdef NO_HOLD_CHECK
  :: d_step { !h_out && !h_lost && h_busy == NEVER -> h_busy = 0; assert(!n_uses) }
#else
  :: d_step { !h_out && !h_lost && h_busy == NEVER && HOLDS -> h_busy = 0; assert(!n_uses) }
#endif
  :: d_step { h_busy != NEVER -> h_busy = NEVER }
#ifdef RELEASE_WHILE_BUSY
  :: d_step { h_out && !released -> released = true }
#else
  :: d_step { h_out && h_busy == NEVER && !released -> released = true }
#endif
  :: d_step { !h_out && n_list != NEVER -> h_out = true }
  od
}

proctype NewOwner() {
end:
  do
#ifndef LOSS
#ifdef STALE_MONITORS
  :: d_step { n_list == NEVER -> n_list = 0 }
#else
  :: d_step { n_list == NEVER && INFORMED -> n_list = 0 }
#endif
#endif
#ifdef NO_WAIT
  :: d_step { n_list != NEVER && !n_uses -> n_uses = true; assert(h_busy == NEVER) }
#endif
  :: d_step { (n_list == WAIT || (n_list != NEVER && released) || lost) && !n_uses ->
              n_uses = true; assert(h_busy == NEVER) }
  od
}

init {
  byte i;
  d_step {
    i = 0;
    do
    :: i < K -> beat[i] = NEVER; answer[i] = NEVER; reported[i] = NEVER; noted[i] = REPORT + 1; i++
    :: else -> break
    od;
    h_busy = NEVER;
    n_list = NEVER;
    i = 0
  }
  atomic {
    run Clock();
    run Monitor(0);
    run Monitor(1);
#if K == 3
    run Monitor(2);
#endif
    run Holder();
    run NewOwner();
  }
}
