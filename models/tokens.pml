/*
 * Tokens and verdicts of one non-repeatable request.
 *
 * Stands for: TokenHome (include/ibishold/idempotency.h, src/idempotency/) and the verdict rule of
 * the broker (src/broker/: not_run only before the first byte is written).
 *
 * Assumptions:
 * - One token. Callers send it to any run at any time and any number of times, so that every way of
 *   forwarding is covered.
 * - Runs: A, the home; B, the successor that A names; C, the successor that B names; R, a later run
 *   of A's or B's VM. A run may stop taking steps at any point, for ever (crash) or for a while
 *   (freeze, partition).
 * - Messages of a hand-over may be lost, repeated, late and out of order: what was sent once may be
 *   delivered at any later time and any number of times. Without CHAIN the hand-over of A has two
 *   parts, and A may repeat it once; the record lies in the first part of the first export and in
 *   the second part of the second one. With CHAIN it has one
 *   part, and B may hand over to C.
 * - A leaf request that was written may run at any later time or never. The broker may still send a
 *   queued request after the front has given up.
 * - A run sees the expiry at any time after it came, but not later than a hand-over that was sent
 *   after the expiry.
 * - A and B dispatch at most twice, C once (bounds of the check, not of the code).
 *
 * Checked: at most one execution; a not_run answer is true.
 */

#define A 0
#define B 1
#define C 2
#define R 3

/* State of the token's record at a run. */
#define NONE 0
#define LOCAL 1   /* dispatched by this run, no result */
#define REMOTE 2  /* dispatched by the run that handed over, no result */
#define RAN 3
#define MAYBE 4   /* may_have_run */
#define NOTRUN 5  /* kept only after the run has handed over */

/* State of a leaf request at the broker. */
#define IDLE 0
#define QUEUED 1    /* not one byte written */
#define WRITTEN 2   /* may run */
#define EXECUTED 3  /* has run; the answer may arrive */

byte ent[4];
bool own[4];      /* the record is of a dispatch of this run: Entry::dispatch != 0 */
byte req[4];
byte number[4];   /* of the newest dispatch */
byte removed[4];  /* number of a dispatch whose removal was reported; the report may repeat */
bool closed[4];   /* has handed over */
bool knows[4];    /* may dispatch the token */
bool expired[4];  /* expiry seen by this run */
byte runs;

byte exports;     /* of A */
byte snap[3];     /* record in each export */
bool snap_expired[3];
byte got_export;  /* newest export of which B has a part */
bool got_first;
bool got_second;
byte results_a;   /* results that A sent after the export, one bit a state */
bool export_b;
byte snap_b;
bool snap_b_expired;
byte results_b;

#ifdef CHAIN
#define EXPORTS 1
#else
#define EXPORTS 2
#endif

inline dispatch(n) {
  ent[n] = LOCAL;
  own[n] = true;
  number[n]++;
  req[n] = QUEUED;
}

#define MAY_DISPATCH (number[n] < limit && req[n] != QUEUED)

/* TokenHome::Begin. Joining and replaying change nothing that is checked. */
inline begin(n) {
  if
#ifdef NO_JOIN
  :: ent[n] == LOCAL && knows[n] && !closed[n] && !expired[n] && MAY_DISPATCH -> dispatch(n)
#endif
#ifdef NO_EXPIRY_CHECK
  :: ent[n] == NONE && knows[n] && !closed[n] && MAY_DISPATCH -> dispatch(n)
#endif
#ifdef DISPATCH_AFTER_EXPORT
  :: ent[n] == NONE && knows[n] && !expired[n] && MAY_DISPATCH -> dispatch(n)
#endif
#ifdef UNKNOWN_RUN_DISPATCHES
  :: ent[n] == NONE && !closed[n] && !expired[n] && MAY_DISPATCH -> dispatch(n)
#endif
  :: ent[n] == NONE && knows[n] && !closed[n] && !expired[n] && MAY_DISPATCH -> dispatch(n)
  :: else
  fi
}

/* TokenHome::Finish with not_run of dispatch k. */
inline finish_not_run(n, k) {
  if
#ifndef LATE_NOT_RUN
  :: k == number[n] && own[n] && (ent[n] == LOCAL || ent[n] == MAYBE) ->
#else
  :: own[n] && (ent[n] == LOCAL || ent[n] == MAYBE) ->
#endif
     assert(k != number[n] || (runs == 0 && req[n] == IDLE));
     if
     :: closed[n] -> ent[n] = NOTRUN
     :: else -> ent[n] = NONE; own[n] = false
     fi
  :: else
  fi
}

/* TokenHome::ImportRecord. */
#ifdef OLD_PART_REVIVES
#define MAY_INSERT(n) (ent[n] == NONE)
#else
#define MAY_INSERT(n) (ent[n] == NONE && !closed[n] && !expired[n])
#endif

inline take_record(n, state) {
  if
  :: MAY_INSERT(n) && (state == LOCAL || state == REMOTE) -> ent[n] = REMOTE; own[n] = false
  :: MAY_INSERT(n) && (state == RAN || state == MAYBE) -> ent[n] = state; own[n] = false
#ifdef IMPORT_TOUCHES_LOCAL
  :: ent[n] == LOCAL && state == NOTRUN -> ent[n] = NONE
#endif
  :: ent[n] == REMOTE && (state == RAN || state == MAYBE) -> ent[n] = state
  :: ent[n] == REMOTE && state == NOTRUN && closed[n] -> ent[n] = NOTRUN
  :: ent[n] == REMOTE && state == NOTRUN && !closed[n] -> ent[n] = NONE
  :: else
  fi
}

inline send_results(sent, state) {
  if
  :: state == RAN || state == MAYBE || state == NOTRUN -> sent = sent | (1 << state)
  :: else
  fi
}

proctype Run(byte n; byte limit) {
end:
  do
  :: d_step { begin(n) }
  :: d_step { !expired[n] && (n == A || knows[n]) -> expired[n] = true }
  /* Records are dropped only after the expiry. */
  :: d_step { expired[n] && ent[n] != NONE -> ent[n] = NONE; own[n] = false }
  /* The front's timeout: may_have_run until the broker confirms the removal. */
  :: d_step { ent[n] == LOCAL -> ent[n] = MAYBE }
  /* Broker. */
  :: d_step { req[n] == QUEUED -> req[n] = WRITTEN }
  :: d_step { req[n] == QUEUED -> req[n] = IDLE; removed[n] = number[n] }
#ifdef NOT_RUN_AFTER_WRITE
  :: d_step { req[n] == WRITTEN -> req[n] = IDLE; removed[n] = number[n]; runs++ }
#endif
  :: d_step { removed[n] != 0 -> finish_not_run(n, removed[n]) }
  /* Leaf. */
  :: d_step { req[n] == WRITTEN -> req[n] = EXECUTED; runs++; assert(runs <= 1) }
  :: d_step { req[n] == EXECUTED && own[n] && (ent[n] == LOCAL || ent[n] == MAYBE) ->
              ent[n] = RAN }
  /* TokenHome::OnSenderStopped, at any time. */
#ifdef STOPPED_FREES
  :: d_step { ent[n] == REMOTE -> ent[n] = NONE }
#else
  :: d_step { ent[n] == REMOTE -> ent[n] = MAYBE }
#endif
  od
}

/* TokenHome::Import at B of one part of an export of A. */
inline newest(e) {
#ifdef CLOCK_OF_FIRST_PART
  if :: snap_expired[e] && got_export == 0 -> expired[B] = true :: else fi;
#else
  if :: snap_expired[e] -> expired[B] = true :: else fi;
#endif
#ifdef MIX_EXPORTS
  if :: e > got_export -> got_export = e :: else fi
#else
  if :: e > got_export -> got_export = e; got_first = false; got_second = false :: else fi
#endif
}

proctype ToB(byte e) {
end:
  do
  :: d_step { e <= exports && (!closed[B] || knows[B]) ->
              newest(e);
              if :: e == 1 -> take_record(B, snap[e]) :: else fi;
              if :: e == got_export -> got_first = true :: else fi;
#ifdef CHAIN
              got_second = true;
#endif
              if :: got_first && got_second -> knows[B] = true :: else fi }
#ifndef CHAIN
  :: d_step { e <= exports && (!closed[B] || knows[B]) ->
              newest(e);
              if :: e == 2 -> take_record(B, snap[e]) :: else fi;
              if :: e == got_export -> got_second = true :: else fi;
#ifdef LAST_PART_COMPLETES
              knows[B] = true }
#else
              if :: got_first && got_second -> knows[B] = true :: else fi }
#endif
#endif
  od
}

proctype HandOver() {
end:
  do
  /* A: Export and ExportLateResults. */
  :: d_step { exports < EXPORTS -> closed[A] = true; exports++; snap[exports] = ent[A];
              snap_expired[exports] = expired[A] }
  :: d_step { closed[A] -> send_results(results_a, ent[A]) }
  :: d_step { got_export != 0 && (results_a & (1 << RAN)) -> take_record(B, RAN) }
  :: d_step { got_export != 0 && (results_a & (1 << MAYBE)) -> take_record(B, MAYBE) }
  :: d_step { got_export != 0 && (results_a & (1 << NOTRUN)) -> take_record(B, NOTRUN) }
#ifdef ANY_RUN_IMPORTS
  :: d_step { exports > 0 && !knows[R] -> take_record(R, snap[1]);
              expired[R] = snap_expired[1]; knows[R] = true }
#endif
#ifdef SECOND_SUCCESSOR
  :: d_step { closed[A] && !knows[C] -> take_record(C, ent[A]); expired[C] = expired[A];
              knows[C] = true }
#endif
#ifdef CHAIN
  /* B: Export to C, and C's import. */
  :: d_step { !export_b && knows[B] -> closed[B] = true; export_b = true;
              snap_b = ent[B]; snap_b_expired = expired[B] }
  :: d_step { closed[B] -> send_results(results_b, ent[B]) }
  :: d_step { export_b -> if :: snap_b_expired -> expired[C] = true :: else fi;
              take_record(C, snap_b); knows[C] = true }
  :: d_step { knows[C] && export_b && (results_b & (1 << RAN)) -> take_record(C, RAN) }
  :: d_step { knows[C] && export_b && (results_b & (1 << MAYBE)) -> take_record(C, MAYBE) }
  :: d_step { knows[C] && export_b && (results_b & (1 << NOTRUN)) -> take_record(C, NOTRUN) }
#endif
  od
}

init {
  atomic {
    knows[A] = true;
    run Run(A, 2);
    run Run(B, 2);
#if defined(CHAIN) || defined(SECOND_SUCCESSOR)
    run Run(C, 1);
#endif
#if defined(ANY_RUN_IMPORTS) || defined(UNKNOWN_RUN_DISPATCHES)
    run Run(R, 1);
#endif
    run ToB(1);
#ifndef CHAIN
    run ToB(2);
#endif
    run HandOver();
  }
}
