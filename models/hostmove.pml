/* Model of a host move between pools while an entry process of the zone may be cut off.
   Order: move committed, releases acknowledged by all entry processes of the zone, the endpoint
   reports nothing in flight, then pool and epoch change. An operator may override a cut-off process.
   Mutants: SKIP_ACK, SKIP_IN_FLIGHT, ENDPOINT_ACCEPTS_ANY, ACK_BEFORE_APPLY. */
#define ENTRIES 2

byte epoch;              /* committed assignment epoch; the pool is epoch % 2 */
bool draining;           /* committed */
bool applied[ENTRIES];   /* the process applied the draining entry */
bool acknowledged[ENTRIES];
byte entryEpoch[ENTRIES];  /* the epoch that the process sends under */
byte endpointEpoch;      /* learned from announcement replies */
byte inFlight;
byte workEpoch;          /* epoch of the request in flight */
bool cut[ENTRIES];

#ifdef ENDPOINT_ACCEPTS_ANY
#define ACCEPTED(e) true
#else
#define ACCEPTED(e) (entryEpoch[e] == endpointEpoch)
#endif
#ifdef ACK_BEFORE_APPLY
#define MAY_ACKNOWLEDGE(e) true
#else
#define MAY_ACKNOWLEDGE(e) applied[e]
#endif
#ifdef SKIP_ACK
#define RELEASED true
#else
#define RELEASED (acknowledged[0] && acknowledged[1])
#endif
#ifdef SKIP_IN_FLIGHT
#define IDLE true
#else
#define IDLE (inFlight == 0)
#endif

proctype Entry(byte e) {
    do
    :: atomic { !applied[e] && inFlight == 0 ->
        /* Sends a request; the endpoint refuses another epoch as not-run. */
        if
        :: ACCEPTED(e) -> inFlight = 1; workEpoch = entryEpoch[e];
            /* An endpoint runs only requests of the epoch that it knows. */
            assert(workEpoch == endpointEpoch)
        :: else -> skip
        fi }
    :: atomic { draining && !cut[e] && !applied[e] -> applied[e] = true }
    :: atomic { draining && !cut[e] && !acknowledged[e] && MAY_ACKNOWLEDGE(e) -> acknowledged[e] = true }
    :: atomic { !draining && applied[e] && !cut[e] ->
        applied[e] = false; acknowledged[e] = false; entryEpoch[e] = epoch }
    :: atomic { !draining && !applied[e] && !cut[e] && entryEpoch[e] != epoch ->
        entryEpoch[e] = epoch }
    :: atomic { !cut[e] -> cut[e] = true }
    :: atomic { cut[e] -> cut[e] = false }
    :: atomic { inFlight == 1 && workEpoch == entryEpoch[e] -> inFlight = 0 }
    od
}

active proctype Leader() {
    do
    :: atomic { !draining && epoch < 2 && !applied[0] && !applied[1] -> draining = true }
    :: atomic { draining && RELEASED && IDLE ->
        epoch++; draining = false;
        /* No request of the old epoch is still running, and no process can send another one. */
        assert(inFlight == 0);
        assert(applied[0] && applied[1]) }
    :: atomic { draining && (cut[0] || cut[1]) && inFlight == 0 ->
        /* The operator overrides a process that is cut off. */
        epoch++; draining = false }
    :: atomic { endpointEpoch != epoch -> endpointEpoch = epoch }
    od
}

init { atomic { run Entry(0); run Entry(1) } }
