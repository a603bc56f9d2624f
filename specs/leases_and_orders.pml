/* Orders to endpoints under a lease: two holders, one endpoint that checks the fencing number (the
 * number) of an order and one that ignores it, and a desired state that an operator changes.
 *
 * A message in flight takes effect at any later time or never. A holder may stop between any two
 * steps, for a while, so that it sends an order long after its check of the lease, or forever, which
 * is a crash. A holder may stop waiting for a reply at any time, so a reply may be lost or late. Time
 * is not modelled: the term of a lease may end at any moment, and a candidate acquires the lease only
 * after the term has ended on the holder's own clock, after the holder has released it, or after its
 * own restart (rattangate/core/leases.py). Numbers are those of rattangate/core/orders.py.
 *
 * Safety: no lease is acquired while another holder may still give orders under it, and the endpoint
 * that checks numbers never returns to an older desired state. Convergence: when no further step is
 * possible, both endpoints run the desired state.
 *
 * Mutants, each of which must break an assertion:
 *   NO_FENCE       orders carry no number that the endpoint could check
 *   FENCE_ONLY     all orders of one lease carry the same number
 *   NO_READ_BACK   an order that was sent is assumed to have taken effect
 *   BLIND_ACQUIRE  the lease is written without a check of its version
 *   NEVER_TAKEN    reachability: asserts that no lease is ever taken over
 *   RELEASE_FIRST  a holder releases the lease before it stops giving orders
 *   SHARED_NAME    two instances share a name, and each reacquires the lease as its own
 *   NEVER_RESTARTED  reachability: asserts that no lease is reacquired after a restart
 */

#define HOLDERS 2
#define ENDPOINTS 2     /* 0 checks order numbers, 1 ignores them */
#define SLOTS 2         /* maximum number of orders in flight from one holder to one endpoint */
#define MAX_TERMS 3
#ifndef MAX_LOST
#define MAX_LOST 1      /* maximum number of orders whose reply a holder stops waiting for */
#endif
#define ORDERS_PER_FENCE 10
#define NOBODY HOLDERS

byte fence = 0;                 /* fencing number of the lease record in the table */
byte lease_holder = NOBODY;
bool released = false;          /* the holder in the record has released the lease */
bool valid[HOLDERS];            /* the lease is valid on the holder's own clock */
bool restarts_left = true;
#define MAY_TAKE(me) (lease_holder == NOBODY || released || \
                      (lease_holder != me && !valid[lease_holder]))

byte wanted = 1;
byte state[ENDPOINTS];
byte highest[ENDPOINTS];
byte lost = 0;

byte flying_number[HOLDERS * ENDPOINTS * SLOTS];    /* 0: the slot is free */
byte flying_state[HOLDERS * ENDPOINTS * SLOTS];

proctype Operator()
{
    wanted = 2
}

proctype Clock()
{
end:
    do
    :: atomic { lease_holder != NOBODY && valid[lease_holder] && fence < MAX_TERMS ->
                valid[lease_holder] = false }
    od
}

proctype Wire(byte slot; byte endpoint)
{
end:
    do
    :: atomic {
        flying_number[slot] ->
        if
        :: endpoint == 0 && flying_number[slot] < highest[0] -> skip    /* refused */
        :: else ->
           assert(endpoint != 0 || flying_state[slot] >= state[0]);
           state[endpoint] = flying_state[slot];
#ifndef NO_FENCE
           highest[endpoint] = flying_number[slot]
#endif
        fi;
        flying_number[slot] = 0;
        flying_state[slot] = 0
       }
    od
}

proctype Holder(byte me)
{
    byte own_fence = 0;
    byte seen_fence = 0;
    byte sent = 0;
    byte goal = 0;
    byte endpoint = 0;
    byte slot = 0;
    bool believed[ENDPOINTS];

watching:
end:
    if
    :: atomic { MAY_TAKE(me) && fence < MAX_TERMS -> seen_fence = fence }
#ifdef SHARED_NAME
    :: atomic { lease_holder != NOBODY && fence < MAX_TERMS -> seen_fence = fence }
#endif
    fi;

acquiring:
    atomic {
        if
#ifdef BLIND_ACQUIRE
        :: true ->
#else
        :: fence == seen_fence ->
#endif
           own_fence = seen_fence + 1;
#ifdef NEVER_TAKEN
           assert(fence == 0);
#endif
           assert(own_fence > fence);
           assert(!valid[1 - me]);
           fence = own_fence;
           lease_holder = me;
           released = false;
           valid[me] = true;
           sent = 0
        :: fence != seen_fence -> goto watching
        fi
    };

holding:
end_holding:
    if
    :: atomic { !valid[me] -> goto watching }
    :: atomic { valid[me] && fence < MAX_TERMS -> goto releasing }
    :: atomic { restarts_left && lease_holder == me && fence < MAX_TERMS ->
                restarts_left = false; valid[me] = false; goto restarted }
    :: atomic { state[0] != wanted && !believed[0] -> endpoint = 0 }    /* read back */
    :: atomic { state[1] != wanted && !believed[1] -> endpoint = 1 }
    fi;
    goal = wanted;

checking:
    if
    :: atomic { !valid[me] -> goto watching }
    :: valid[me]    /* the last check before the order is sent */
    fi;

sending:
    atomic {
        slot = (me * ENDPOINTS + endpoint) * SLOTS;
        if
        :: flying_number[slot] == 0
        :: flying_number[slot] != 0 && flying_number[slot + 1] == 0 -> slot++
        :: else -> goto holding
        fi;
        if
        :: sent < ORDERS_PER_FENCE - 1 -> sent++
        :: else
        fi;
#ifdef FENCE_ONLY
        flying_number[slot] = own_fence;
#else
        flying_number[slot] = own_fence * ORDERS_PER_FENCE + sent;
#endif
        flying_state[slot] = goal;
#ifdef NO_READ_BACK
        believed[endpoint] = true;
#endif
        goal = 0
    };

confirming:
    if
    :: atomic { flying_number[slot] == 0 -> slot = 0; goto holding }
    :: atomic { lost < MAX_LOST -> lost++; slot = 0; goto holding } /* the reply is lost or late */
    fi;

releasing:
#ifdef RELEASE_FIRST
    atomic {
        if
        :: own_fence == fence && lease_holder == me -> released = true
        :: else
        fi
    };
    valid[me] = false;
#else
    valid[me] = false;
    atomic {
        if
        :: own_fence == fence && lease_holder == me -> released = true
        :: else
        fi
    };
#endif
    goto watching;

restarted:
#ifdef NEVER_RESTARTED
    assert(false);
#endif
    atomic {
        own_fence = 0;
        believed[0] = false;
        believed[1] = false;
        if
        :: lease_holder == me && fence < MAX_TERMS -> seen_fence = fence; goto acquiring
        :: else -> goto watching
        fi
    }
}

proctype Monitor()
{
    timeout ->
    assert(state[0] == wanted && state[1] == wanted)
}

init
{
    byte i = 0;
    atomic {
        do
        :: i < HOLDERS * ENDPOINTS * SLOTS -> run Wire(i, (i / SLOTS) % ENDPOINTS); i++
        :: else -> i = 0; break
        od;
        run Operator();
        run Clock();
        run Holder(0);
        run Holder(1);
        run Monitor()
    }
}
