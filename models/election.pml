/* Model of the replicated log with elections, commits and network cuts.
   3 voters, terms 1 to 4, 2 entries.
   A voter grants a vote only with its term and vote durable and to a log that is not behind.
   A leader commits an entry of its own term once a majority holds it.
   Mutants: VOTE_TWICE, VOTE_STALE_LOG, COMMIT_MINORITY, COMMIT_OLD_TERM. */
#define N 3
#define TERMS 5
#define ENTRIES 2

byte term[N];            /* durable */
byte votedFor[N];        /* durable; 0 is none, otherwise candidate + 1 */
byte length[N];          /* length of the durable log */
byte entryTerm[6];       /* N * ENTRIES, row per voter */
bool leads[N];
byte leaderTerm[N];
byte leaderOfTerm[TERMS];  /* 0 is none, otherwise leader + 1 */
byte committed[ENTRIES];   /* the term of the committed entry; 0 is none */
bool cut[N];               /* cut off from all others */
hidden byte lastTerm;

#define AT(v, i) entryTerm[(v) * ENTRIES + (i)]
#define REACHES(a, b) (!cut[a] && !cut[b])

#ifdef VOTE_TWICE
#define VOTE_FREE(c, v) true
#else
#define VOTE_FREE(c, v) \
    (candidateTerm > term[v] || votedFor[v] == 0 || votedFor[v] == c + 1)
#endif
#ifdef VOTE_STALE_LOG
#define UP_TO_DATE(c, v) true
#else
#define UP_TO_DATE(c, v) \
    (candidateLast > lastTerm || (candidateLast == lastTerm && length[c] >= length[v]))
#endif
#ifdef COMMIT_MINORITY
#define ENOUGH(n) (n >= 1)
#else
#define ENOUGH(n) (n * 2 > N)
#endif
#ifdef COMMIT_OLD_TERM
#define OWN_TERM(l, i) true
#else
#define OWN_TERM(l, i) (AT(l, i) == leaderTerm[l])
#endif

inline lastTermOf(v) {
    if
    :: length[v] == 0 -> lastTerm = 0
    :: else -> lastTerm = AT(v, length[v] - 1)
    fi
}

hidden byte candidateTerm;
hidden byte votes;
hidden byte voter;
hidden byte candidateLast;
hidden byte grants;

inline askVotes(c) {
    candidateTerm = term[c] + 1;
    lastTermOf(c);
    candidateLast = lastTerm;
    votes = 0;
    voter = 0;
    do
    :: voter == N -> break
    :: voter < N ->
        lastTermOf(voter);
        grants = (voter == c || REACHES(c, voter)) && candidateTerm >= term[voter] && VOTE_FREE(c, voter) && UP_TO_DATE(c, voter);
        if
        :: grants ->
            if
            :: candidateTerm > term[voter] -> leads[voter] = false
            :: else -> skip
            fi;
            term[voter] = candidateTerm;
            votedFor[voter] = c + 1;
            votes++
        :: else -> skip
        fi;
        voter++
    od;
    if
    :: votes * 2 > N ->
        assert(leaderOfTerm[candidateTerm] == 0 || leaderOfTerm[candidateTerm] == c + 1);
        leaderOfTerm[candidateTerm] = c + 1;
        leads[c] = true;
        leaderTerm[c] = candidateTerm;
        /* Election safety: every committed entry is in the new leader's log. */
        assert(committed[0] == 0 || (length[c] > 0 && AT(c, 0) == committed[0]));
        assert(committed[1] == 0 || (length[c] > 1 && AT(c, 1) == committed[1]))
    :: else -> skip
    fi
}

hidden byte holders;
hidden byte position;

inline tryCommit(l) {
    position = length[l] - 1;
    holders = 0;
    voter = 0;
    do
    :: voter == N -> break
    :: voter < N ->
        if
        :: length[voter] > position && AT(voter, position) == AT(l, position) -> holders++
        :: else -> skip
        fi;
        voter++
    od;
    if
    :: ENOUGH(holders) && OWN_TERM(l, position) ->
        voter = 0;
        do
        :: voter > position -> break
        :: voter <= position ->
            assert(committed[voter] == 0 || committed[voter] == AT(l, voter));
            committed[voter] = AT(l, voter);
            voter++
        od
    :: else -> skip
    fi
}

hidden byte copied;

/* One voter: it campaigns, appends, replicates and commits as leader, and restarts. */
active [N] proctype Voter() {
    byte self = _pid;
    byte peer;
    do
    :: atomic { !leads[self] && term[self] + 1 < TERMS && !cut[self] -> askVotes(self) }
    :: atomic { leads[self] && leaderTerm[self] == term[self] && length[self] < ENTRIES ->
        AT(self, length[self]) = leaderTerm[self]; length[self] = length[self] + 1 }
    :: atomic { leads[self] && leaderTerm[self] == term[self] && length[self] > 0 ->
        /* Sends the whole log to a peer, which refuses an older term. */
        if
        :: peer = 0
        :: peer = 1
        :: peer = 2
        fi;
        if
        :: peer != self && REACHES(self, peer) && term[peer] <= leaderTerm[self] ->
            if
            :: term[peer] < leaderTerm[self] -> term[peer] = leaderTerm[self]; votedFor[peer] = 0
            :: else -> skip
            fi;
            leads[peer] = false;
            copied = 0;
            do
            :: copied == length[self] -> break
            :: else -> AT(peer, copied) = AT(self, copied); copied++
            od;
            length[peer] = length[self];
            copied = 0
        :: else -> skip
        fi;
        peer = 0 }
    :: atomic { leads[self] && leaderTerm[self] == term[self] && length[self] > 0 ->
        tryCommit(self) }
    :: atomic { leads[self] -> leads[self] = false } /* crash: term, vote and log are durable */
    :: atomic { cut[0] + cut[1] + cut[2] == 0 -> cut[self] = true }
    :: atomic { cut[self] -> cut[self] = false }
    od
}
