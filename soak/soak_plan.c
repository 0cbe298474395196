#include "soak_plan.h"

#include <stdbool.h>

enum {
    FAULTS_MIN = 5,
    FAULTS_MAX = 9,
    DURATION_MIN_MS = 300,
    DURATION_MAX_MS = 5000,
    SERIES_MIN = 2,
    SERIES_MAX = 4,
    SERIES_DURATION_MAX_MS = 700,
    /* Shorter than a takeover takes, and longer. */
    SERIES_GAP_MAX_MS = 4000,
    /* Jobs run before the first fault. */
    FIRST_FAULT_MS = 1000,
    RESTARTS_UNSEEN_MAX = 3,
    DRAWN_KIND_COUNT = FAULT_RESTART_UNSEEN,
};

static bool
hits_entry_host(enum soak_fault_kind kind)
{
    return kind != FAULT_STORE_DOWN && kind != FAULT_STORE_UNRESPONSIVE &&
           kind != FAULT_BACKEND_UNREACHABLE && kind != FAULT_HOST_CRASH &&
           kind != FAULT_KILL_LEADER && kind != FAULT_CONFIG &&
           kind != FAULT_RESTART_UNSEEN;
}

static bool
hits_process(enum soak_fault_kind kind)
{
    return kind == FAULT_KILL || kind == FAULT_PAUSE || kind == FAULT_LEAVE;
}

static bool
hits_store(enum soak_fault_kind kind)
{
    return kind == FAULT_STORE_DOWN || kind == FAULT_STORE_UNRESPONSIVE;
}

/* Whether one fault would undo the other; such faults must not overlap, all
 * others may. */
static bool
same_target(const struct soak_fault *a, const struct soak_fault *b)
{
    if (hits_store(a->kind) && hits_store(b->kind)) {
        return true;
    }
    if (a->target != b->target) {
        return false;
    }
    if (hits_process(a->kind) && hits_process(b->kind)) {
        return true;
    }
    bool links = hits_entry_host(a->kind) && !hits_process(a->kind) &&
                 hits_entry_host(b->kind) && !hits_process(b->kind);
    return links || a->kind == b->kind;
}

static bool
can_add(const GArray *plan, const struct soak_fault *fault)
{
    for (guint i = 0; i < plan->len; i++) {
        const struct soak_fault *other =
            &g_array_index(plan, struct soak_fault, i);
        bool apart = fault->at_ms > other->at_ms + other->duration_ms ||
                     other->at_ms > fault->at_ms + fault->duration_ms;
        if (!apart && same_target(fault, other)) {
            return false;
        }
    }
    return true;
}

static int
compare_times(const void *a, const void *b)
{
    const struct soak_fault *x = a;
    const struct soak_fault *y = b;
    return x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms;
}

/* Kills of the leader, signals and configurations follow one another, so that
 * each finds the effects of the one before. */
static void
add_series(GArray *plan, GRand *rng, struct soak_fault fault)
{
    bool series = fault.kind == FAULT_KILL_LEADER ||
                  fault.kind == FAULT_HANGUP || fault.kind == FAULT_CONFIG;
    int length =
        series ? g_rand_int_range(rng, SERIES_MIN, SERIES_MAX + 1) : 1;
    for (int i = 0; i < length; i++) {
        if (series) {
            fault.duration_ms =
                g_rand_int_range(rng, DURATION_MIN_MS, SERIES_DURATION_MAX_MS);
        }
        g_array_append_val(plan, fault);
        fault.at_ms +=
            fault.duration_ms + g_rand_int_range(rng, 0, SERIES_GAP_MAX_MS);
    }
}

/* Drawn after all others, so that the seeds keep their other faults. */
static void
add_unseen_restarts(GArray *plan, GRand *rng, int n_backends,
                    int64_t length_ms)
{
    int count = g_rand_int_range(rng, 0, RESTARTS_UNSEEN_MAX + 1);
    for (int i = 0; i < count; i++) {
        struct soak_fault fault = {
            .kind = FAULT_RESTART_UNSEEN,
            .at_ms = g_rand_int_range(rng, FIRST_FAULT_MS, (gint32)length_ms),
            .target = g_rand_int_range(rng, 0, n_backends),
        };
        if (can_add(plan, &fault)) {
            g_array_append_val(plan, fault);
        }
    }
}

GArray *
soak_plan_create(uint32_t seed, int n_entries, int n_backends,
                 int64_t length_ms)
{
    GRand *rng = g_rand_new_with_seed(seed);
    GArray *plan = g_array_new(FALSE, FALSE, sizeof(struct soak_fault));
    int n_faults = g_rand_int_range(rng, FAULTS_MIN, FAULTS_MAX + 1);
    for (int i = 0; i < n_faults; i++) {
        struct soak_fault fault = {
            .kind = (enum soak_fault_kind)g_rand_int_range(rng, 0,
                                                           DRAWN_KIND_COUNT),
            .at_ms = g_rand_int_range(rng, FIRST_FAULT_MS, (gint32)length_ms),
            .duration_ms =
                g_rand_int_range(rng, DURATION_MIN_MS, DURATION_MAX_MS),
        };
        fault.target = g_rand_int_range(
            rng, 0, hits_entry_host(fault.kind) ? n_entries : n_backends);
        if (can_add(plan, &fault)) {
            add_series(plan, rng, fault);
        }
    }
    add_unseen_restarts(plan, rng, n_backends, length_ms);
    g_rand_free(rng);
    g_array_sort(plan, compare_times);
    return plan;
}

const char *
soak_fault_name(enum soak_fault_kind kind)
{
    static const char *const names[] = {
        [FAULT_KILL] = "kill",
        [FAULT_PAUSE] = "pause",
        [FAULT_LEAVE] = "leave",
        [FAULT_STORE_DOWN] = "store down",
        [FAULT_STORE_UNRESPONSIVE] = "store silent",
        [FAULT_LINK_REFUSED] = "link refused",
        [FAULT_LINK_UNRESPONSIVE] = "link silent",
        [FAULT_LINK_ONE_WAY] = "link one way",
        [FAULT_LINK_SLOW] = "link slow",
        [FAULT_LINK_RESET] = "link reset",
        [FAULT_BACKEND_UNREACHABLE] = "backend dark",
        [FAULT_HOST_CRASH] = "host crash",
        [FAULT_KILL_LEADER] = "kill leader",
        [FAULT_HANGUP] = "hangup",
        [FAULT_CONFIG] = "config",
        [FAULT_RESTART_UNSEEN] = "restart unseen",
    };
    return names[kind];
}
