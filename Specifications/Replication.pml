/* Replication of the configuration log (LibReplication/ReplicatedLog) with the
 * replacement of one voter and one lost disk.
 *
 * A voter is identified by a member and its data folder. Identities 0, 1 and 2
 * are the initial voters; 3 replaces 2. Identity 2 can lose its disk at any
 * time. It is then gone permanently, because its member would return with a new
 * identity. A lost or delayed message is modeled as a step that is skipped or
 * taken later; votes and acknowledgements are durable when they are sent.
 *
 * Safety property: a committed entry is never lost or replaced, that is, all
 * commits by all leaders agree on the entry at each index.
 *
 * Bounds: three terms and four entries. A leader sends its whole log at once,
 * so the rule about entries of earlier terms (Raft, section 5.4.2) is not
 * exercised.
 *
 * Variants that violate safety: a member that lost its disk continues as the
 * same voter and votes at once; the voter is replaced in one step.
 */
// check: expect=pass
// check: -DVOTE_AT_ONCE expect=fail
// check: -DREPLACE_IN_ONE_STEP expect=fail

#define MEMBERS 4
#define MAX_TERM 3
#define MAX_LOG 4

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* An entry encodes its term, its leader and the kind of voter change. */
#define NO_OPERATION 0
#define ADD_JOINING 1
#define REMOVE_LEAVING 2
#define ENTRY(t, i, k) ((t) * 16 + (i) * 4 + (k))
#define TERM_OF(e) ((e) / 16)
#define KIND_OF(e) ((e) % 4)

/* Sets of identities as bit sets. */
#define FIRST_VOTERS 7
#define ALL_VOTERS 15
#define LAST_VOTERS 11
#define BIT(i) (1 << (i))
#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1))
#define IS_MAJORITY(s, voters) (2 * COUNT((s) & (voters)) > COUNT(voters))

#define AT(i, n) entries[(i) * MAX_LOG + (n)]
#define ACK(i, j) acknowledged[(i) * MEMBERS + (j)]

byte current[MEMBERS];
byte voted_for[MEMBERS]; /* identity + 1, or 0 */
byte role[MEMBERS];
byte votes[MEMBERS];
byte length[MEMBERS];
byte committed[MEMBERS]; /* commit index of a leader, else 0 */
byte entries[16];
byte acknowledged[16];   /* match index known to a leader, else 0 */
byte voters[MEMBERS];    /* voter set in the log of each identity */
bool is_disk_lost;

/* All entries committed so far, by any leader. */
byte history_length;
byte history[MAX_LOG];

hidden byte n;
hidden byte holders;
hidden byte is_equal;

#ifdef VOTE_AT_ONCE
#define IS_ALIVE(i) true
#else
#define IS_ALIVE(i) ((i) != 2 || !is_disk_lost)
#endif
#define LAST_TERM(i) (length[i] == 0 -> 0 : TERM_OF(AT(i, length[i] - 1)))
#define IS_CURRENT(i, j) (LAST_TERM(i) > LAST_TERM(j) || (LAST_TERM(i) == LAST_TERM(j) && length[i] >= length[j]))
#define COVERS_OWN_TERM(i) (committed[i] > 0 && TERM_OF(AT(i, committed[i] - 1)) == current[i])

inline become_follower(i) {
  role[i] = FOLLOWER;
  votes[i] = 0;
  committed[i] = 0;
  n = 0;
  do
  :: n < MEMBERS -> ACK(i, n) = 0; n++
  :: else -> break
  od
}

/* Takes the voter set from the last entry that changes it, committed or not. */
inline read_voters(i) {
  voters[i] = FIRST_VOTERS;
  n = 0;
  do
  :: n < length[i] ->
    if
#ifdef REPLACE_IN_ONE_STEP
    :: KIND_OF(AT(i, n)) == ADD_JOINING -> voters[i] = LAST_VOTERS
#else
    :: KIND_OF(AT(i, n)) == ADD_JOINING -> voters[i] = ALL_VOTERS
#endif
    :: KIND_OF(AT(i, n)) == REMOVE_LEAVING -> voters[i] = LAST_VOTERS
    :: else -> skip
    fi;
    n++
  :: else -> break
  od
}

inline append(i, k) {
  AT(i, length[i]) = ENTRY(current[i], i, k);
  length[i]++;
  ACK(i, i) = length[i];
  read_voters(i)
}

inline start_election(i) {
  become_follower(i);
  role[i] = CANDIDATE;
  current[i]++;
  voted_for[i] = i + 1;
  votes[i] = BIT(i)
}

inline grant_vote(j, i) {
  if
  :: current[j] < current[i] -> current[j] = current[i]; become_follower(j)
  :: else -> skip
  fi;
  voted_for[j] = i + 1;
  votes[i] = votes[i] | BIT(j)
}

inline lead(i) {
  role[i] = LEADER;
  votes[i] = 0;
  append(i, NO_OPERATION)
}

/* Copies the log of i to j. Entries of j beyond it are kept if all entries
 * before them match, otherwise truncated. */
inline replicate(i, j) {
  if
  :: current[j] < current[i] -> current[j] = current[i]; voted_for[j] = 0
  :: else -> skip
  fi;
  become_follower(j);
  is_equal = (length[j] >= length[i]);
  n = 0;
  do
  :: n < length[i] ->
    if
    :: n < length[j] && AT(i, n) != AT(j, n) -> is_equal = 0
    :: else -> skip
    fi;
    AT(j, n) = AT(i, n);
    n++
  :: else -> break
  od;
  if
  :: is_equal == 0 ->
    n = length[i];
    do
    :: n < MAX_LOG -> AT(j, n) = 0; n++
    :: else -> break
    od;
    length[j] = length[i]
  :: else -> skip
  fi;
  ACK(i, j) = length[i];
  read_voters(j)
}

/* Advances the commit index to the last entry of the current term that a
 * majority has acknowledged. */
inline commit(i) {
  n = length[i];
  do
  :: n > committed[i] ->
    holders = (ACK(i, 0) >= n) + 2 * (ACK(i, 1) >= n) + 4 * (ACK(i, 2) >= n) + 8 * (ACK(i, 3) >= n);
    if
    :: IS_MAJORITY(holders, voters[i]) && TERM_OF(AT(i, n - 1)) == current[i] -> break
    :: else -> n--
    fi
  :: else -> break
  od;
  committed[i] = n;
  n = 0;
  do
  :: n < committed[i] ->
    if
    :: n < history_length -> assert(history[n] == AT(i, n))
    :: else -> history[n] = AT(i, n); history_length = n + 1
    fi;
    n++
  :: else -> break
  od
}

inline lose_disk() {
  is_disk_lost = true;
  become_follower(2);
  current[2] = 0;
  voted_for[2] = 0;
  length[2] = 0;
  n = 0;
  do
  :: n < MAX_LOG -> AT(2, n) = 0; n++
  :: else -> break
  od;
  read_voters(2)
}

inline pick(i) {
  if
  :: i = 0
  :: i = 1
  :: i = 2
  :: i = 3
  fi
}

active proctype group() {
  byte i;
  byte j;
  d_step {
    do
    :: i < MEMBERS -> voters[i] = FIRST_VOTERS; i++
    :: else -> break
    od;
    i = 0
  }
  do
  :: atomic {
      pick(i);
      if
      :: IS_ALIVE(i) && role[i] != LEADER && current[i] < MAX_TERM && (voters[i] & BIT(i)) ->
        d_step { start_election(i); i = 0 }
      :: IS_ALIVE(i) && role[i] == CANDIDATE && length[i] < MAX_LOG && IS_MAJORITY(votes[i], voters[i]) ->
        d_step { lead(i); i = 0 }
      :: IS_ALIVE(i) && role[i] == LEADER && length[i] < MAX_LOG && voters[i] == FIRST_VOTERS && COVERS_OWN_TERM(i) && ACK(i, 3) >= committed[i] ->
        d_step { append(i, ADD_JOINING); i = 0 }
      :: IS_ALIVE(i) && role[i] == LEADER && length[i] < MAX_LOG && voters[i] == ALL_VOTERS && COVERS_OWN_TERM(i) && committed[i] == length[i] ->
        d_step { append(i, REMOVE_LEAVING); i = 0 }
      :: IS_ALIVE(i) && role[i] == LEADER ->
        d_step { commit(i); i = 0 }
      :: else -> i = 0
      fi
    }
  :: atomic {
      pick(i);
      pick(j);
      if
      :: i != j && IS_ALIVE(i) && IS_ALIVE(j) && role[i] == CANDIDATE && (j != 3 || length[3] > 0) && IS_CURRENT(i, j) && (current[i] > current[j] || (current[i] == current[j] && (voted_for[j] == 0 || voted_for[j] == i + 1))) ->
        d_step { grant_vote(j, i); i = 0; j = 0 }
      :: i != j && IS_ALIVE(i) && IS_ALIVE(j) && role[i] == LEADER && current[i] >= current[j] && role[j] != LEADER && (j == 3 || (voters[i] & BIT(j))) ->
        d_step { replicate(i, j); i = 0; j = 0 }
      :: i != j && IS_ALIVE(i) && IS_ALIVE(j) && role[i] == LEADER && current[i] > current[j] && role[j] == LEADER && (j == 3 || (voters[i] & BIT(j))) ->
        d_step { replicate(i, j); i = 0; j = 0 }
      :: else -> i = 0; j = 0
      fi
    }
  :: atomic { !is_disk_lost -> d_step { lose_disk(); n = 0 } }
  od
}
