/* Model of a non-idempotent request with a key, sent repeatedly through two entry processes.
   The claim is committed before the first byte goes out and released only after a proven not-run.
   Mutants: NO_CLAIM, RELEASE_UNKNOWN, ANSWER_NOT_RUN, LOSE_ANSWER, CRASH_RELEASES. */
#define NONE 0
#define HELD 1
#define ANSWERED 2
#define UNKNOWN 3

byte claim = NONE;     /* replicated */
byte owner;            /* entry process that owns the claim, + 1 */
byte answer;           /* replicated with the claim once ANSWERED */
byte runs;             /* number of runs at the endpoints */
byte resends;
bool alive[2] = true;

inline take(e) {
    if
#ifdef NO_CLAIM
    :: true -> claim = HELD; owner = e + 1; mine = true
#else
    :: claim == NONE -> claim = HELD; owner = e + 1; mine = true
    :: else -> mine = false
#endif
    fi
}

proctype Entry(byte e) {
    bool mine;
    bool reached;
    bool toldNotRun;
    atomic { alive[e] -> take(e) };
    if
    :: mine ->
        if
        :: atomic { alive[e] -> reached = true; runs++;
            assert(runs <= 1) } /* at most once */
            if
            :: atomic { alive[e] && claim == HELD && owner == e + 1 ->
                claim = ANSWERED;
#ifndef LOSE_ANSWER
                answer = runs
#endif
                }
            :: atomic { alive[e] -> /* the response did not arrive */
#ifdef RELEASE_UNKNOWN
                claim = NONE
#else
                claim = UNKNOWN
#endif
                }
#ifdef ANSWER_NOT_RUN
            :: atomic { alive[e] -> toldNotRun = true; claim = UNKNOWN }
#endif
            :: !alive[e]
            fi
        :: atomic { alive[e] -> toldNotRun = true; claim = NONE }
        :: !alive[e]
        fi
    :: else ->
        atomic {
            if
            :: claim == ANSWERED -> assert(answer == 1) /* a repeat gets the stored response */
            :: else -> skip
            fi
        }
    fi;
    /* An attempt whose outcome is not-run has reached no endpoint. */
    assert(!(toldNotRun && reached))
}

active proctype Caller() {
    do
    :: resends < 3 -> atomic { resends++; run Entry(0) }
    :: resends < 3 -> atomic { resends++; run Entry(1) }
    :: break
    od
}

/* When an entry process crashes, its claim becomes unknown; it is never released. */
active proctype Crash() {
    if
    :: atomic {
        alive[0] = false;
        if
#ifdef CRASH_RELEASES
        :: claim == HELD && owner == 1 -> claim = NONE
#else
        :: claim == HELD && owner == 1 -> claim = UNKNOWN
#endif
        :: else -> skip
        fi }
    :: skip
    fi
}
