/*
 * Cold allowance of a leaf with two slots under two owners, P (primary) and S (secondary).
 *
 * Stands for: WarmUp (include/ibishold/policy.h, src/policy/warm_up.cc) and the message LeafState.
 *
 * Assumptions:
 * - The leaf restarts once. Its restart ends all requests and connections. An owner that writes on
 *   an old connection sees the reset before it can send on a new one, however late it wakes up.
 * - LeafState messages may be lost or late; one is on the way at a time in each direction.
 * - One completed request stands for the 8 successes of a level.
 * - ECHO: a level from P counts at S only if P sent it after it had received S's newest report.
 *   Without ECHO, S follows every level of the incarnation that it knows, and a level that P sent
 *   before it noticed the restart makes S warm again after S saw the reset. WarmUp::MergePeerLevel has
 *   ECHO (LeafLevel::echo); the run without it is a seeded fault.
 *
 * Checked: until its first success, a leaf that has just started has at most one request in flight.
 */

byte leaf = 1;        /* incarnation */
bool tested = true;   /* this run of the leaf has completed a request */
byte p_known = 1;
byte s_known = 1;
bool p_warm = true;
bool s_warm = true;
bool p_connected = true;
bool s_connected = true;
byte p_busy;          /* requests of this owner that the leaf is running */
byte s_busy;
byte s_reports;       /* number of S's newest report that it went cold */
byte p_heard;         /* newest of these that P has received */

/* On the way: 0 nothing, else incarnation. */
byte to_s;
bool to_s_warm;
byte to_s_echo;
byte to_p;
byte to_p_report;

#define CHECK assert(tested || p_busy + s_busy <= 1)

inline p_cold() { p_warm = false }

proctype Leaf() {
end:
  do
  :: d_step { leaf == 1 -> leaf = 2; tested = false; p_connected = false; s_connected = false;
              p_busy = 0; s_busy = 0 }
  :: d_step { p_busy > 0 -> p_busy = 0; tested = true;
              if :: p_known != leaf -> p_known = leaf; p_warm = false :: else -> p_warm = true fi }
  :: d_step { s_busy > 0 -> s_busy = 0; tested = true;
              if :: s_known != leaf -> s_known = leaf; s_warm = false :: else fi }
  od
}

proctype Primary() {
end:
  do
#ifdef RECONNECT_STAYS_WARM
  :: d_step { !p_connected -> p_connected = true }
#else
  :: d_step { !p_connected -> p_connected = true; p_cold() }
#endif
  :: d_step { p_connected && p_busy == 0 -> p_busy = 1; CHECK }
  :: d_step { to_s == 0 -> to_s = p_known; to_s_warm = p_warm; to_s_echo = p_heard }
  :: d_step { to_s != 0 -> to_s = 0; to_s_warm = false; to_s_echo = 0 } /* lost */
  :: d_step { to_p != 0 ->
              if
              :: to_p > p_known -> p_known = to_p; p_cold()
              :: to_p == p_known -> p_cold()
              :: else
              fi;
              p_heard = to_p_report;
              to_p = 0; to_p_report = 0 }
  od
}

proctype Secondary() {
end:
  do
#ifdef RECONNECT_STAYS_WARM
  :: d_step { !s_connected -> s_connected = true }
#else
  :: d_step { !s_connected -> s_connected = true; s_warm = false; s_reports++ }
#endif
  :: d_step { s_connected && s_warm && s_busy == 0 -> s_busy = 1; CHECK }
  :: d_step { to_p == 0 && !s_warm -> to_p = s_known; to_p_report = s_reports }
  :: d_step { to_p != 0 -> to_p = 0; to_p_report = 0 } /* lost */
  :: d_step { to_s != 0 ->
              if
              :: to_s < s_known
#ifdef ECHO
              :: to_s == s_known && to_s_echo < s_reports
#endif
              :: else ->
                 if :: to_s > s_known -> s_known = to_s :: else fi;
                 s_warm = to_s_warm
              fi;
              to_s = 0; to_s_warm = false; to_s_echo = 0 }
  od
}

init {
  atomic {
    run Leaf();
    run Primary();
    run Secondary();
  }
}
