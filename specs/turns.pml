/* Handover of endpoints between lease holders (rattangate/core/endpoint_claims.py, core/leases.py).
 *
 * The lease record names (claims) the endpoints to which its holder may send orders or may recently
 * have sent some. A holder sends orders to an endpoint only while the stored record names it. A new
 * holder inherits the names, sends nothing to those endpoints until its guard time ends, and may send
 * to all others immediately. The lease itself is modelled in leases_and_orders.pml: here a new holder
 * starts when the previous one has ended.
 *
 * The store may return from an older copy at any moment: the names in the record are lost then. A
 * holder that has not noticed sends orders to the endpoints that it recorded before. A holder that
 * takes over before the names are written again waits for the guard time before it begins.
 *
 * Time is not modelled: an order is recent until the guard time after it has passed. That is the case
 * at the latest when the guard time of the next holder ends, since it started after the order.
 *
 * Safety: no holder sends an order to an endpoint while an order of another holder is recent there.
 *
 * Mutants, each of which must break an assertion:
 *   ORDER_UNNAMED     an order is sent before the record that names its endpoint is stored
 *   DROP_EARLY        a name is removed while an order of its holder is recent
 *   FORGET_INHERITED  a new holder's record omits the names of the previous one
 *   NO_GUARD          a new holder sends orders to inherited endpoints immediately
 *   NO_RETURN_WAIT    a new holder begins immediately although the names were lost
 *   NEVER_ORDERED     reachability: asserts that no second holder sends an order
 */

#define HOLDERS 3
#define ENDPOINTS 2
#define NOBODY HOLDERS

byte holder = NOBODY;           /* holder of the lease; each process acquires it once, in order */
byte next = 0;
bool recorded[ENDPOINTS];       /* the names in the stored record */
bool lost = false;              /* the store has returned without the names */
bool recent[HOLDERS * ENDPOINTS];
#define RECENT(h, e) recent[(h) * ENDPOINTS + (e)]

inline store_names()
{
    lost = false;
    recorded[0] = names[0];
    recorded[1] = names[1];
    stored[0] = names[0];
    stored[1] = names[1]
}

inline let_guard_pass(me, e)
{
    byte other = 0;
    do
    :: other < HOLDERS ->
       if
       :: other != me -> RECENT(other, e) = false
       :: else
       fi;
       other++
    :: else -> break
    od;
    other = 0
}

proctype Store()
{
    atomic {
        lost = true;
        recorded[0] = false;
        recorded[1] = false
    }
}

proctype Holder(byte me)
{
    bool names[ENDPOINTS];
    bool stored[ENDPOINTS];     /* the names in the record as this holder wrote it last */
    bool guarded[ENDPOINTS];
    byte e = 0;

    /* The swap that acquires the lease also stores the first record. */
    atomic {
        holder == NOBODY && next == me ->
        holder = me;
        next = me + 1;
#ifndef NO_RETURN_WAIT
        if
        :: lost ->
           let_guard_pass(me, 0);
           let_guard_pass(me, 1)
        :: else
        fi;
#endif
        guarded[0] = recorded[0];
        guarded[1] = recorded[1];
#ifndef FORGET_INHERITED
        names[0] = recorded[0];
        names[1] = recorded[1];
#endif
        store_names()
    };

    do
    :: atomic { names[0] = true; e = 0 }                            /* an endpoint is needed */
    :: atomic { names[1] = true; e = 0 }
    :: atomic { store_names() }                                /* renewal */
    :: atomic { guarded[0] || guarded[1] ->                         /* the guard time ends */
        let_guard_pass(me, 0);
        let_guard_pass(me, 1);
        guarded[0] = false;
        guarded[1] = false }
    :: atomic { RECENT(me, 0) -> RECENT(me, 0) = false }
    :: atomic { RECENT(me, 1) -> RECENT(me, 1) = false }
#ifdef DROP_EARLY
    :: atomic { names[0] && !guarded[0] -> names[0] = false }
    :: atomic { names[1] && !guarded[1] -> names[1] = false }
#else
    :: atomic { names[0] && !guarded[0] && !RECENT(me, 0) -> names[0] = false }
    :: atomic { names[1] && !guarded[1] && !RECENT(me, 1) -> names[1] = false }
#endif
    :: atomic {
        if
        :: e = 0
        :: e = 1
        fi;
        if
#ifdef ORDER_UNNAMED
        :: names[e] && !guarded[e] ->
#else
#ifdef NO_GUARD
        :: stored[e] && names[e] ->
#else
        :: stored[e] && names[e] && !guarded[e] ->
#endif
#endif
           assert(!RECENT((me + 1) % HOLDERS, e) && !RECENT((me + 2) % HOLDERS, e));
#ifdef NEVER_ORDERED
           assert(me == 0);
#endif
           RECENT(me, e) = true
        :: else
        fi;
        e = 0 }
    :: atomic { holder = NOBODY; break }                            /* the holder ends, at any moment */
    od
}

init
{
    atomic {
        byte i = 0;
        do
        :: i < HOLDERS -> run Holder(i); i++
        :: else -> break
        od;
        run Store()
    }
}
