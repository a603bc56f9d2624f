/* At-most-once execution of a booking: one record in the table, a first attempt and two repeats.
 *
 * A message in flight takes effect at any later time, or never. A process may stop between any two
 * steps, for a while (a pause) or forever (a crash). An attempt may stop waiting for a reply at any
 * time, so a reply may be lost or late. Retries are not counted: an attempt may continue or give up
 * at each step. Labels of Attempt are the states of rattangate/core/at_most_once.py, the states of the record
 * are RecordState of rattangate/core/at_most_once_messages.py.
 *
 * A write to the record is a compare-and-swap on its version. Of the swaps in flight only those that
 * expect the current version are modelled: the others can no longer change the record, and the
 * attempt detects the conflict by reading.
 *
 * Mutants, each of which must break an assertion:
 *   TAKE_OVER          a repeat takes over a record in DISPATCHED
 *   SEND_FIRST         the request is sent before the result of the swap is known
 *   SEND_UNREAD        an attempt sends the request although it cannot read the record back
 *   SEND_AGAIN         a request whose connection was lost is sent again
 *   NOT_RUN_AFTER_CUT  a request whose connection was lost is refused as not run
 *   BLIND_ABANDON      the write of ABANDONED ignores the version
 *   RUNS_NEVER         reachability: asserts that no request ever runs
 *   NEVER_TWO_CLAIMS   reachability: asserts that no abandoned record is claimed again
 */

#define ATTEMPTS 3
#define NOBODY ATTEMPTS

mtype = { ABSENT, DISPATCHED, ANSWERED, UNKNOWN, ABANDONED, REFUSED, RAN }

byte version = 0;
byte record = ABSENT;
byte holder = NOBODY;

byte runs = 0;
bool ran[ATTEMPTS];
bool said_not_run[ATTEMPTS];

bool claim_flying[ATTEMPTS];    /* a swap to DISPATCHED that expects the current version is in flight */
byte write_flying[ATTEMPTS];    /* the state that such a swap to a later state sets, or 0 */
bool applied[ATTEMPTS];         /* the latest swap succeeded and its reply is in flight */
bool send_flying[ATTEMPTS];
byte send_reply[ATTEMPTS];

inline apply(me, next)
{
    version++;
    record = next;
    holder = me;
    applied[me] = true;
    for (other : 0 .. ATTEMPTS - 1) {
        claim_flying[other] = false;
#ifdef BLIND_ABANDON
        if
        :: write_flying[other] != ABANDONED || other == me -> write_flying[other] = 0
        :: else
        fi
#else
        write_flying[other] = 0
#endif
    }
    other = 0
}

proctype Table(byte me)
{
    byte other;
end:
    do
    :: atomic {
        claim_flying[me] ->
#ifdef NEVER_TWO_CLAIMS
        assert(version == 0);
#endif
        apply(me, DISPATCHED)
       }
    :: atomic { write_flying[me] -> apply(me, write_flying[me]) }
    od
}

proctype Endpoint(byte me)
{
end:
    do
    :: atomic {
        send_flying[me] ->
        send_flying[me] = false;
        if
        :: send_reply[me] = REFUSED
        :: assert(runs == 0);
           assert(!said_not_run[me]);
#ifdef RUNS_NEVER
           assert(false);
#endif
           runs++;
           ran[me] = true;
           send_reply[me] = RAN
        fi
       }
    od
}

inline say_not_run()
{
    assert(!ran[me]);
    said_not_run[me] = true
}

proctype Attempt(byte me)
{
    byte seen_version = 0;  /* the version that the next swap expects */
    byte last;              /* the state that the final write sets */
    bool in_doubt = false;  /* an own swap to DISPATCHED may have taken effect or may still do so */

swapping:
    if
    :: goto give_up                             /* the table is unavailable or the deadline has passed */
    :: atomic {
        applied[me] = false;
        claim_flying[me] = (seen_version == version)
       }
    fi;
#ifdef SEND_FIRST
    atomic { seen_version++; goto owning };
#endif

    if
    :: atomic { applied[me] -> seen_version++; goto owning }
    :: atomic { version != seen_version -> goto met }
    :: atomic { in_doubt = true; goto reading_back }    /* the reply is lost or late */
    :: atomic { in_doubt = true; goto give_up }         /* the deadline has passed */
    fi;

reading_back:
    if
    :: goto give_up                             /* the record cannot be read */
#ifdef SEND_UNREAD
    :: atomic { seen_version++; goto owning }
#endif
    :: atomic { version == seen_version -> goto swapping }
    :: atomic { version != seen_version -> goto met }
    fi;

met:
    atomic {
        seen_version = version;
        applied[me] = false;
        in_doubt = false;
        if
        :: record == ANSWERED || record == UNKNOWN -> goto done
        :: record == ABANDONED -> goto swapping
        :: record == DISPATCHED && holder == me -> goto owning
        :: record == DISPATCHED && holder != me -> goto waiting
        fi
    };

waiting:
    if
    :: goto done                                /* answered "may have run" */
#ifdef TAKE_OVER
    :: goto swapping
#endif
    :: atomic { version != seen_version -> goto met }
    fi;

owning:
    if
    :: atomic { say_not_run(); last = ABANDONED; goto write }   /* past the deadline, or no replica available */
    :: atomic {
        applied[me] = false;
        in_doubt = false;
        send_reply[me] = 0;
        send_flying[me] = true
       }
    fi;

sending:
    if
    :: atomic { send_reply[me] == REFUSED -> goto owning }
    :: atomic { send_reply[me] == RAN -> last = ANSWERED; goto write }
    :: atomic { last = UNKNOWN; goto write }    /* connection lost: answered "may have run" */
#ifdef SEND_AGAIN
    :: goto owning
#endif
#ifdef NOT_RUN_AFTER_CUT
    :: atomic { say_not_run(); last = ABANDONED; goto write }
#endif
    fi;

give_up:
    atomic {
        say_not_run();
        last = ABANDONED;
        if
        :: !in_doubt -> goto done
        :: else
        fi
    };

write:                                          /* saving or abandoning */
    if
    :: goto done                                /* stops retrying the write */
    :: atomic {
#ifdef BLIND_ABANDON
        version < 6 ->
#endif
        applied[me] = false;
        in_doubt = false;
#ifdef BLIND_ABANDON
        write_flying[me] = last
#else
        write_flying[me] = (seen_version == version -> last : 0)
#endif
       }
    fi;

    if
    :: applied[me] -> goto done
    :: atomic { version != seen_version && !applied[me] ->
        if
        :: record == DISPATCHED && holder == me -> seen_version = version; goto write
        :: else -> goto done
        fi
       }
    :: goto write                               /* the reply is lost or late */
    fi;

done:
    atomic {
        applied[me] = false;
        send_reply[me] = 0;
        seen_version = 0;
        last = 0;
        in_doubt = false
    }
}

init
{
    byte i = 0;
    atomic {
        do
        :: i < ATTEMPTS -> run Table(i); run Endpoint(i); run Attempt(i); i++
        :: else -> i = 0; break
        od
    }
}
