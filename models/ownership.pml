/*
 * At-most-once execution with Echo binding, transfer, refusal records and
 * retirement: one non-idempotent request, two companions, two lives of
 * each, a network that loses, duplicates and delays without bound (a packet
 * that was ever sent may arrive again at any time, anywhere).
 *
 * Checked in every reachable state:
 *   - the request runs at most once, whatever the caller repeats
 *   - after "not run" was told, it has not run and never will
 *
 * Each guard can be removed to show that the check needs it:
 *   -DNO_ECHO            any companion runs the request
 *   -DNO_LIFE_CHECK      an Echo of a former life is accepted
 *   -DNO_REFUSAL_RECORD  a refusal leaves no record
 *   -DNO_TARGET_LIFE     a transferred request runs in any life of its target
 *   -DNO_FENCE           a retiring companion goes on running requests
 *   -DEARLY_FORGET       a record is forgotten while its Echo is only stale
 *   -DNO_RETIRED_AGE     siblings take a retired companion's records as
 *                        complete even for Echo values that had expired
 *   -DNO_PACKET_LIFETIME a transferred request arrives after any time
 *   -DMANY_ECHOES        the caller sends it under several Echo values at once
 */

#define COMPANIONS 2
#define LIVES 2
#define ECHOES 4 /* COMPANIONS * LIVES */

#define echo_of(c, l) ((c) * LIVES + (l))
#define other(c) (1 - (c))

/* State of the record of the request at a companion. */
#define NONE 0
#define RAN 1
#define REFUSED 2
#define TRANSFERRED 3

/* Age of an Echo value. */
#define FRESH 0
#define STALE 1
#define EXPIRED 2

byte life[COMPANIONS];
byte record[COMPANIONS];
byte record_target_life[COMPANIONS];
bool fenced[COMPANIONS];
/* What a retired life left with its sibling. */
bool retired[ECHOES];
byte retired_record[ECHOES];
byte retired_target_life[ECHOES];
/* The Echo had expired when its companion retired: records under it may have
 * been forgotten before they could be handed over. */
bool retired_expired[ECHOES];

byte age[ECHOES];
bool issued[ECHOES];
bool sent[ECHOES];
/* replacement[e]: Echo + 1 that was offered in answer to a packet under e. */
byte replacement[ECHOES];
/* Echo + 1 that the caller uses for the request; zero before the first. */
byte current;
/* transferred[e * LIVES + l]: request with Echo e is on its way to life l of
 * the other companion, vouched for by the companion that issued e. */
bool transferred[8];

byte executions;
bool told_not_run;
bool caller_finished;

inline run_at(c)
{
    executions++;
    record[c] = RAN;
    assert(executions <= 1);
    assert(!told_not_run);
}

inline refuse_at(c)
{
#ifndef NO_REFUSAL_RECORD
    record[c] = REFUSED;
#endif
    /* The caller takes the first final answer only. */
    if
    :: !caller_finished ->
        told_not_run = true;
        caller_finished = true;
        assert(executions == 0)
    :: else
    fi
}

/* Tells the caller that under Echo e the request has not run; the caller may
 * come back under an Echo of companion c. */
inline require_echo(c, e)
{
    issued[echo_of(c, life[c])] = true;
    replacement[e] = echo_of(c, life[c]) + 1
}

inline transfer_from(c, e)
{
    record[c] = TRANSFERRED;
    record_target_life[c] = life[other(c)];
    transferred[e * LIVES + life[other(c)]] = true
}

/* The companion that an Echo names takes the request. */
inline take_own(c, e)
{
    if
    :: age[e] == EXPIRED -> skip /* told unknown */
    :: age[e] == STALE -> require_echo(c, e)
    :: age[e] == FRESH ->
        if
        :: run_at(c)
        :: refuse_at(c)
        :: transfer_from(c, e)
        fi
    fi
}

inline receive(c, e)
{
    if
    :: record[c] != NONE -> skip /* a repeat: the stored answer */
#ifndef NO_FENCE
    :: record[c] == NONE && fenced[c] -> skip
#endif
#ifdef NO_FENCE
    :: record[c] == NONE && e / LIVES == c && e % LIVES == life[c] ->
#else
    :: record[c] == NONE && !fenced[c] && e / LIVES == c &&
       e % LIVES == life[c] ->
#endif
        take_own(c, e)
    :: record[c] == NONE && !fenced[c] && e / LIVES == c &&
       e % LIVES != life[c] ->
#ifdef NO_LIFE_CHECK
        take_own(c, e)
#else
        skip /* told unknown */
#endif
    :: record[c] == NONE && !fenced[c] && e / LIVES != c ->
        if
#ifdef NO_ECHO
        :: run_at(c)
#endif
        #ifdef NO_RETIRED_AGE
        :: retired[e] && retired_record[e] == NONE -> require_echo(c, e)
#else
        :: retired[e] && retired_record[e] == NONE && !retired_expired[e] ->
            require_echo(c, e)
#endif
        :: retired[e] && retired_record[e] == TRANSFERRED ->
            transferred[e * LIVES + retired_target_life[e]] = true
        :: else -> skip /* relayed to the companion of the Echo */
        fi
    fi
}

inline receive_transferred(c, e, l)
{
    if
    :: record[c] != NONE -> skip
    :: record[c] == NONE && fenced[c] -> skip
#ifdef NO_TARGET_LIFE
    :: record[c] == NONE && !fenced[c] ->
#else
    :: record[c] == NONE && !fenced[c] && l != life[c] -> skip
    :: record[c] == NONE && !fenced[c] && l == life[c] ->
#endif
        if
        :: run_at(c)
        :: refuse_at(c)
        fi
    fi
}

active proctype system()
{
    byte c, e, l;
    do
    /* A packet without Echo, or a stored 4.01: a fresh value is issued. */
    :: atomic {
        select(c : 0 .. 1);
        !fenced[c] && record[c] == NONE && !issued[echo_of(c, life[c])] ->
        issued[echo_of(c, life[c])] = true
    }
    /* The caller sends the request under the first Echo that it is given ... */
    :: atomic {
        select(e : 0 .. 3);
#ifdef MANY_ECHOES
        issued[e] && !sent[e] && !caller_finished ->
#else
        issued[e] && current == 0 && !caller_finished ->
#endif
        current = e + 1;
        sent[e] = true
    }
    /* ... and changes it only for the answer to a packet under that Echo. */
    :: atomic {
        current != 0 && replacement[current - 1] != 0 && !caller_finished ->
        current = replacement[current - 1];
        sent[current - 1] = true
    }
    /* A packet that was ever sent arrives, perhaps again, anywhere. */
    :: atomic {
        select(c : 0 .. 1);
        select(e : 0 .. 3);
        sent[e] -> receive(c, e)
    }
    /* A transferred request arrives, perhaps again, but not after the record
     * window: datagrams do not live so long, and the replay window of the
     * receiver refuses old ones. */
    :: atomic {
        select(e : 0 .. 3);
        select(l : 0 .. 1);
#ifdef NO_PACKET_LIFETIME
        transferred[e * LIVES + l] ->
#else
        transferred[e * LIVES + l] && age[e] != EXPIRED ->
#endif
        c = other(e / LIVES);
        receive_transferred(c, e, l)
    }
    /* Time passes for one Echo value. */
    :: atomic {
        select(e : 0 .. 3);
        issued[e] && age[e] < EXPIRED -> age[e]++
    }
    /* A record's window passes: never before its Echo has expired. */
    :: atomic {
        select(c : 0 .. 1);
        e = echo_of(c, life[c]);
#ifdef EARLY_FORGET
        record[c] == RAN && age[e] >= STALE -> record[c] = NONE
#else
        record[c] == RAN && age[e] == EXPIRED &&
        age[echo_of(other(c), 0)] == EXPIRED &&
        age[echo_of(other(c), 1)] == EXPIRED -> record[c] = NONE
#endif
    }
    /* A companion dies and starts anew. */
    :: atomic {
        select(c : 0 .. 1);
        life[c] < LIVES - 1 ->
        life[c]++;
        record[c] = NONE;
        record_target_life[c] = 0;
        fenced[c] = false
    }
    /* A graceful stop: fence, then hand the record to the sibling. */
    :: atomic {
        select(c : 0 .. 1);
        !fenced[c] ->
        fenced[c] = true;
        e = echo_of(c, life[c]);
        retired[e] = true;
        retired_record[e] = record[c];
        retired_expired[e] = (age[e] == EXPIRED);
        retired_target_life[e] = record_target_life[c]
    }
    od
}
