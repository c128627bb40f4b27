/*
 * Configuration changes under compare-and-swap: two operators race, responses
 * are lost after the write took effect, the store has outages, entries restart
 * without state and learn the configuration from the store or from peers.
 *
 * Checked in every reachable state:
 *   - each generation has exactly one change, written once
 *   - an operator that was told "accepted" is the writer of that generation,
 *     and one that was told "refused" is not
 *   - the generation at an entry never decreases between restarts
 * Checked as a liveness property, for runs in which the store stays up in the
 * end:
 *   - what the store holds is eventually in force at every entry for good
 *
 * Guards that can be removed:
 *   -DNO_COMPARE     the write does not compare the revision
 *   -DREAPPLY        after a lost response, the operator writes again under the
 *                    newest revision instead of reading back
 *   -DNO_ORDER       an entry accepts a document of any generation
 *   -DNO_STORE_READ  entries learn from peers only
 */

#define OPERATORS 2
#define ENTRIES 3
#define MAX_GENERATION 3

byte store_generation;
/* writer[g]: operator + 1 whose change is generation g. */
byte writer[MAX_GENERATION + 1];
bool store_up = true;
byte outages;
byte restarts;

byte in_force[ENTRIES];

/* Result reported to each operator. */
#define PENDING 0
#define ACCEPTED 1
#define REFUSED 2
byte told[OPERATORS];
byte written_by[OPERATORS]; /* changes by this operator in the store */

inline write_change(o, g)
{
    store_generation = g;
    assert(writer[g] == 0);
    writer[g] = o + 1;
    written_by[o]++;
    assert(written_by[o] <= 1)
}

proctype operator(byte o)
{
    byte seen;
    bool lost = false;
    /* Reads the current document. */
    atomic { store_up -> seen = store_generation }
    /* Writes the next generation under compare-and-swap. */
    atomic {
        store_up && seen < MAX_GENERATION ->
        if
#ifdef NO_COMPARE
        :: true ->
#else
        :: store_generation == seen ->
#endif
            write_change(o, seen + 1);
            if
            :: told[o] = ACCEPTED
            :: lost = true /* the response is lost */
            fi
        :: store_generation != seen ->
            if
            :: told[o] = REFUSED
            :: lost = true
            fi
        fi
    }
#ifdef REAPPLY
    if
    :: lost ->
        atomic {
            store_up && store_generation < MAX_GENERATION ->
            write_change(o, store_generation + 1);
            told[o] = ACCEPTED
        }
    :: else
    fi;
#else
    /* Resolves a lost response by reading the record of that generation. */
    if
    :: lost ->
        atomic {
            store_up ->
            if
            :: writer[seen + 1] == o + 1 -> told[o] = ACCEPTED
            :: else -> told[o] = REFUSED
            fi
        }
    :: else
    fi;
#endif
    atomic {
        assert(told[o] != ACCEPTED || written_by[o] == 1);
        assert(told[o] != REFUSED || written_by[o] == 0)
    }
}

#ifdef NO_ORDER
#define may_learn(i, g) (g != in_force[i])
#else
#define may_learn(i, g) (g > in_force[i])
#endif

inline learn(i, g)
{
    assert(g >= in_force[i]);
    in_force[i] = g
}

proctype entry(byte i)
{
end:
    do
#ifndef NO_STORE_READ
    :: atomic { store_up && may_learn(i, store_generation) ->
        learn(i, store_generation) }
#endif
    /* A peer sends its document, which may be an old one. */
    :: atomic { in_force[(i + 1) % ENTRIES] > 0 &&
                may_learn(i, in_force[(i + 1) % ENTRIES]) ->
        learn(i, in_force[(i + 1) % ENTRIES]) }
    :: atomic { in_force[(i + 2) % ENTRIES] > 0 &&
                may_learn(i, in_force[(i + 2) % ENTRIES]) ->
        learn(i, in_force[(i + 2) % ENTRIES]) }
    od
}

proctype faults()
{
end:
    do
    :: atomic { store_up && outages < 1 -> store_up = false; outages++ }
    :: atomic { !store_up -> store_up = true }
    :: atomic { restarts < 2 -> restarts++; in_force[0] = 0 }
    :: atomic { restarts < 2 -> restarts++; in_force[1] = 0 }
    od
}

init
{
    atomic {
        writer[1] = 9;
        store_generation = 1;
        run operator(0);
        run operator(1);
        run entry(0);
        run entry(1);
        run entry(2);
        run faults()
    }
}

#define settled (store_up && told[0] != PENDING && told[1] != PENDING)
#define everywhere (in_force[0] == store_generation && \
                    in_force[1] == store_generation && \
                    in_force[2] == store_generation)

/* If the store eventually stays up, its generation is eventually in force at
 * every entry for good. */
ltl spreads { <>[] store_up -> <>[] everywhere }
