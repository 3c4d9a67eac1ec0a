/*
 * Generations of one document at two VMs.
 *
 * Stands for: ConfigStore::Offer and Supersedes (include/ibishold/config.h,
 * src/config/config_store.cc), DocumentExchange and the start of a VM (src/membership/).
 *
 * Assumptions:
 * - The operator publishes generations 1, 2, 3; generation 2 may be published with two texts, of
 *   which the lower hash is text 0. Generation 3 exists in an invalid text as well.
 * - A read of the platform returns any text that was ever published (stale reads). A read from a
 *   peer returns what that peer has in force, or nothing during a partition, and may arrive late.
 * - A VM may restart once; it then has nothing and takes what it hears.
 * - "Never reverts" is a property of one run of a VM: if every VM restarts while the platform is
 *   stale, nothing can know the newest generation (design section 6).
 *
 * Checked, for each run: the generation in force never falls; one generation never goes from the
 * text with the lower hash to the other; an invalid text is never in force.
 */

#define INVALID 9 /* text of generation 3 that every VM refuses */

byte published;       /* newest generation, 1..3 */
bool conflict;        /* generation 2 was published with text 1, too */
bool invalid;         /* the invalid text of generation 3 was published */
byte generation[2];   /* in force; 0: none */
byte text[2];
byte letter_generation[2]; /* on the way to this VM from its peer; 0: nothing */
byte letter_text[2];
byte starts[2];
byte seen[2];         /* highest generation that was in force in this run */
bool seen_low[2];     /* the text with the lower hash was in force at generation 2 */

/* ConfigStore::Offer. */
inline offer(v, g, t) {
  if
#ifdef ACCEPT_INVALID
  :: t == INVALID && g > generation[v] -> generation[v] = g; text[v] = t
#else
  :: t == INVALID
#endif
#ifdef NEWEST_ARRIVAL_WINS
  :: t != INVALID ->
     generation[v] = g; text[v] = t
#else
  :: t != INVALID && g > generation[v] -> generation[v] = g; text[v] = t
#ifdef CONFLICT_NEWEST_WINS
  :: t != INVALID && g == generation[v] ->
     text[v] = t
#else
  :: t != INVALID && g == generation[v] && t < text[v] -> text[v] = t
#endif
  :: else
#endif
  fi;
  assert(text[v] != INVALID);
  assert(generation[v] >= seen[v]);
  assert(generation[v] != 2 || text[v] == 0 || !seen_low[v]);
  seen[v] = generation[v];
  if :: generation[v] == 2 && text[v] == 0 -> seen_low[v] = true :: else fi
}

proctype Operator() {
end:
  do
  :: d_step { published < 3 -> published++ }
  :: d_step { published >= 2 && !conflict -> conflict = true }
  :: d_step { published >= 2 && !invalid -> invalid = true }
  od
}

proctype Vm(byte v) {
end:
  do
  /* Platform: any text ever published. */
  :: d_step { published >= 1 -> offer(v, 1, 0) }
  :: d_step { published >= 2 -> offer(v, 2, 0) }
  :: d_step { conflict -> offer(v, 2, 1) }
  :: d_step { published >= 3 -> offer(v, 3, 0) }
  :: d_step { invalid -> offer(v, 3, INVALID) }
  /* Peer: pushes what it has; the letter may be late or lost. */
  :: d_step { generation[v] != 0 && letter_generation[1 - v] == 0 ->
              letter_generation[1 - v] = generation[v]; letter_text[1 - v] = text[v] }
  :: d_step { letter_generation[v] != 0 ->
              offer(v, letter_generation[v], letter_text[v]);
              letter_generation[v] = 0; letter_text[v] = 0 }
  :: d_step { letter_generation[v] != 0 -> letter_generation[v] = 0; letter_text[v] = 0 }
  /* Restart. */
  :: d_step { starts[v] < 1 -> starts[v]++; generation[v] = 0; text[v] = 0; seen[v] = 0;
              seen_low[v] = false }
  od
}

init {
  atomic {
    run Operator();
    run Vm(0);
    run Vm(1);
  }
}
