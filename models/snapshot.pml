/*
 * Snapshot and coverage of one query while index versions change and a shard is split.
 *
 * Stands for: SnapshotTracker::Learn, the plans of QueryPlanner and AnswerMerger
 * (include/ibishold/snapshot.h, src/snapshot/), and the epoch check and the single replan of
 * QueryEngine (src/front/query_engine.cc, src/front/query_plan.cc).
 *
 * Assumptions:
 * - The key space has three ranges, one bit each. Map 0 has the shards {0,1} with leaves A and B,
 *   and {2} with leaf C. Map 1 splits the first one: {0} with A, {1} with B, {2} with C, so that
 *   the index of C's shard differs. After the split A and B may still send the records of the
 *   whole old shard.
 * - Index versions and leaves change at any time: a request, which names the index version only,
 *   is refused or answered from either version under either map (superset of each leaf moving once
 *   from version 0 to 1 and from map 0 to 1).
 * - A leaf states the versions that it read the records from, and "complete" only if it read all
 *   of its range under the map that it states. LEAF_STATES_LATER drops the first for the index
 *   version; the code cannot detect it.
 * - A plan asks each leaf at most once, at any time (superset of first attempts, hedges and
 *   retries; the planner's order of preference is not modelled). The answer is delivered at any
 *   later time and any number of times; the dispatcher's check of correlation ids and the check
 *   for shards that are done are not relied on.
 * - Select returns any index version of any map that the front has (superset of the code).
 * - Every refusal or other version of the current plan may cause the replan (superset of the code),
 *   and the query may be closed at any time (deadline).
 * - At the replan the model forgets the answers to the first plan, because the epoch check drops
 *   them. With ONE_LEAF they are kept, so that the check is explored.
 * - With ONE_LEAF only C is asked, and what the tracker knows of it is followed while C moves
 *   from version 0 over both to 1.
 *
 * Checked: all merged records are of the pinned index version and map; no key range is counted
 * twice; coverage states exactly the ranges that were merged completely, out of the whole key
 * space; nothing changes after the close; at most one replan; knowledge of a leaf is never older
 * than the state that it had when the newest answered request was sent.
 */

#define A 0
#define B 1
#define C 2

#define MISSING 0
#define PARTIAL 1
#define FULL 2

/* Ranges of shard s under map m, and shard of leaf l under it. */
#define RANGES(m, s) (m == 0 -> (s == 0 -> 3 : (s == 1 -> 4 : 0)) : 1 << s)
#define SHARD(m, l) (m == 0 -> (l == C -> 1 : 0) : l)
#define ATTEMPT(e, l) ((e) * 3 + l)

bit front_map;        /* newest map that the front has */
bool previous;        /* the front may still pin map 0 after it has learnt map 1 */
bit pin_v;
bit pin_m;
bit epoch;            /* plan */
bit plan_map[2];      /* pinned map of each plan */
bool closed;

/* Attempts of both plans. */
bool sent[6];
bool refused[6];
bit stated_v[6];
bit stated_m[6];
bool complete[6];
byte records[6];      /* ranges of which the answer has records */
byte owned[6];        /* ranges of which it has all records if it is complete */
#ifdef LEAF_STATES_LATER
bit read_v[6];        /* version that the records were read from */
#endif
#ifdef ONE_LEAF
byte stage;           /* index versions that C holds: 0 {0}, 1 {0,1}, 2 {1} */
byte asked_stage[2];  /* stage of C when it was asked under each plan */
byte stated_stage[2];
bool answered[2];
#endif

/* Merged answer of each shard. */
byte state[3];
byte merged[3];       /* ranges with records */
byte whole[3];        /* ranges with all records */
bit merged_v[3];
bit merged_m[3];
bool twice;           /* a range was added twice to one shard */

#ifdef ONE_LEAF
/* What the tracker knows of C. */
byte known_asked;     /* 0 nothing, else 1 + plan of the request */
byte known_stage;
byte known_floor;     /* newest asked_stage of an answered request */
#endif

#define READ_V(a) stated_v[a]
#ifdef LEAF_STATES_LATER
#undef READ_V
#define READ_V(a) read_v[a]
#endif

/* SnapshotTracker::Select */
inline choose() {
  if :: pin_v = 0 :: pin_v = 1 fi;
  if :: pin_m = front_map :: previous -> pin_m = 0 fi
}

#ifdef ONE_LEAF
/* SnapshotTracker::Learn, for an answer of C to plan p. */
inline learn(p) {
  if
#ifndef OLD_STATEMENTS_COUNT
  :: known_asked > p + 1
#endif
  :: else -> known_asked = p + 1; known_stage = stated_stage[p]
  fi;
  if :: asked_stage[p] > known_floor -> known_floor = asked_stage[p] :: else fi;
  assert(known_stage >= known_floor)
}
#endif

/* QueryEngine::TryReplan: a new plan with a new merger, unless the same snapshot is chosen. */
inline replan() {
  if
#ifndef REPLAN_AGAIN
  :: epoch == 1
#endif
  :: else ->
     old_v = pin_v; old_m = pin_m;
     choose();
     if
     :: pin_v == old_v && pin_m == old_m
     :: else ->
        assert(epoch == 0);
        epoch = 1;
        plan_map[1] = pin_m;
#if !defined(NO_EPOCH) && !defined(ONE_LEAF)
        /* Answers to the first plan change nothing from here (see the head). */
        a = 0;
        do
        :: a < 3 -> sent[a] = false; refused[a] = false; stated_v[a] = 0; stated_m[a] = 0;
                    complete[a] = false; records[a] = 0; owned[a] = 0; a++
        :: else -> break
        od;
        a = 0;
#endif
#ifndef KEEP_PARTS
        s = 0;
        do
        :: s < 3 -> state[s] = MISSING; merged[s] = 0; whole[s] = 0;
                    merged_v[s] = 0; merged_m[s] = 0; s++
        :: else -> break
        od
#endif
     fi;
     old_v = 0; old_m = 0
  fi
}

#ifdef MERGE_OTHER_INDEX
#define SAME_V(a) true
#else
#define SAME_V(a) (stated_v[a] == pin_v)
#endif
#ifdef MERGE_OTHER_MAP
#define SAME_M(a) true
#else
#define SAME_M(a) (stated_m[a] == pin_m)
#endif
#ifdef NO_RANGE_FILTER
#define KEPT(a, s) records[a]
#else
#define KEPT(a, s) (records[a] & RANGES(pin_m, s))
#endif

/* AnswerMerger::Add of attempt a for shard s. */
inline add(a) {
  if
#ifndef LATE_CHANGES
  :: closed
#endif
  :: else ->
     if
#ifdef DUPLICATE_ADDS
     :: state[s] == FULL && !complete[a]
#else
     :: state[s] == FULL
#endif
     :: state[s] == PARTIAL && !complete[a]
     :: else ->
        assert(!closed);
#ifdef PARTIAL_KEPT
        twice = twice || (state[s] == PARTIAL && (merged[s] & KEPT(a, s)));
#endif
#ifdef DUPLICATE_ADDS
        twice = twice || (state[s] == FULL && (merged[s] & KEPT(a, s)));
#endif
        merged[s] = KEPT(a, s);
        whole[s] = (complete[a] -> owned[a] & KEPT(a, s) : 0);
        merged_v[s] = READ_V(a); merged_m[s] = stated_m[a];
#ifdef PARTIAL_COUNTS_FULL
        state[s] = FULL
#else
        state[s] = (complete[a] -> FULL : PARTIAL)
#endif
     fi
  fi
}

/* QueryEngine::OnReply. An answer to an earlier plan is dropped; what it states is learnt. */
inline deliver(p, l) {
#ifdef ONE_LEAF
  learn(p);
#endif
  s = SHARD(plan_map[p], l);
  if
#ifndef NO_EPOCH
  :: p != epoch
#endif
  :: else ->
     if
     :: !refused[ATTEMPT(p, l)] && SAME_V(ATTEMPT(p, l)) && SAME_M(ATTEMPT(p, l)) ->
        add(ATTEMPT(p, l))
     :: else -> if :: !closed -> replan() :: closed fi
     fi
  fi;
  s = 0
}

#ifdef COVERAGE_OF_CURRENT_MAP
#define COVERAGE_MAP front_map
#else
#define COVERAGE_MAP pin_m
#endif
#define STATED(s) (state[s] == FULL -> RANGES(COVERAGE_MAP, s) : 0)
#ifdef COVERAGE_OF_ANSWERS
/* The denominator is the shards that answered. */
#define IN_DENOMINATOR(s) (state[s] != MISSING -> RANGES(COVERAGE_MAP, s) : 0)
#else
#define IN_DENOMINATOR(s) RANGES(COVERAGE_MAP, s)
#endif
#define OF_PIN(s) (state[s] == MISSING || (merged_v[s] == pin_v && merged_m[s] == pin_m))

/* AnswerMerger::Close, and what must be true of the answer. */
inline close() {
  closed = true;
  assert(OF_PIN(0) && OF_PIN(1) && OF_PIN(2));
  assert(!twice && !(merged[0] & merged[1]) && !(merged[0] & merged[2]) &&
         !(merged[1] & merged[2]));
  assert((STATED(0) | STATED(1) | STATED(2)) == (whole[0] | whole[1] | whole[2]));
  assert((IN_DENOMINATOR(0) | IN_DENOMINATOR(1) | IN_DENOMINATOR(2)) == 7)
}

/* The current plan asks leaf l. */
inline ask(l) {
  a = ATTEMPT(epoch, l);
  sent[a] = true;
  if
  :: refused[a] = true
  :: if :: stated_v[a] = 1 :: true fi;
#ifdef LEAF_STATES_LATER
     if :: read_v[a] = 1 :: true fi;
#endif
     if :: complete[a] = true :: true fi;
     if
     :: owned[a] = RANGES(0, SHARD(0, l)); records[a] = owned[a]
     :: stated_m[a] = 1; owned[a] = RANGES(1, l); records[a] = owned[a]
     :: l != C -> stated_m[a] = 1; owned[a] = RANGES(1, l); records[a] = 3
     fi
  fi;
#ifdef ONE_LEAF
  asked_stage[epoch] = stage;
#endif
  a = 0
}

#ifdef ONE_LEAF
#define ANSWERED(p) answered[p]

proctype LeafC() {
end:
  do
  :: atomic { !closed && stage < 2 -> stage++ }
  :: atomic { sent[ATTEMPT(0, C)] && !answered[0] -> answered[0] = true; stated_stage[0] = stage }
  :: atomic { sent[ATTEMPT(1, C)] && !answered[1] -> answered[1] = true; stated_stage[1] = stage }
  od
}
#else
#define ANSWERED(p) true
#endif

proctype Front() {
  byte s;
  byte a;
  bit old_v;
  bit old_m;
end:
  do
  :: atomic { !closed && front_map == 0 -> front_map = 1; previous = true }
  :: atomic { !closed && previous -> previous = false }
#ifndef ONE_LEAF
  :: atomic { !closed && !sent[ATTEMPT(epoch, A)] -> ask(A) }
  :: atomic { !closed && !sent[ATTEMPT(epoch, B)] -> ask(B) }
#endif
  :: atomic { !closed && !sent[ATTEMPT(epoch, C)] -> ask(C) }
  :: atomic { sent[ATTEMPT(0, A)] -> deliver(0, A) }
  :: atomic { sent[ATTEMPT(0, B)] -> deliver(0, B) }
  :: atomic { sent[ATTEMPT(0, C)] && ANSWERED(0) -> deliver(0, C) }
  :: atomic { sent[ATTEMPT(1, A)] -> deliver(1, A) }
  :: atomic { sent[ATTEMPT(1, B)] -> deliver(1, B) }
  :: atomic { sent[ATTEMPT(1, C)] && ANSWERED(1) -> deliver(1, C) }
  :: atomic { !closed -> close() }
  od
}

init {
  atomic {
    /* The query may start before or after the front has learnt the new map. */
    if :: front_map = 1; previous = true :: true fi;
    choose();
    plan_map[0] = pin_m;
#ifdef ONE_LEAF
    run LeafC();
#endif
    run Front();
  }
}
