/*
 * Leases that may still run when the next leader takes over. Runs on a backend
 * server that gives no answer end with its lease, so the next leader waits for
 * that. One that was granted none by this leader, since it has never answered,
 * is named with what is left of earlier leases; otherwise each takeover would
 * begin that wait anew. One that has started again under its id may hold a
 * longer lease than this leader grants, which is stored as soon as it is
 * known. As long as the stored list may name it, it is granted none and takes
 * no work, even if it answers.
 */
#include "core/jobs/scheduler.h"

#include "scheduler_state.h"

enum {
    /* The list has less than 3 KB then; a daemon may use 4 KB/s. */
    SILENT_MAX = 64,
    /* Each takeover adds up to this to the wait. */
    REWRITE_MS = 700,
};

/* Whether no lease of this leader runs there. */
static bool
granted_none(const struct backend *backend)
{
    return backend->unreconciled && backend->answered_request_ms == 0 &&
           backend->granted_until_ms == 0 && backend->incarnation == 0;
}

static int64_t
open_ms_of(const struct scheduler *sched, const struct backend *backend)
{
    return MAX(backend->leases_expire_ms - sched_now(sched), 0);
}

int64_t
sched_timings_lease_ms(const struct sched_timings *timings)
{
    return MIN(timings->lease_max_ms, (int64_t)LEASE_MAX_MS);
}

static int64_t
own_lease_ms(const struct scheduler *sched)
{
    int64_t open_ms = sched->timings.lease_max_ms * 102 / 100;
    bool recent = sched->outage ||
                  (sched->long_lease_granted_ms != 0 &&
                   sched_now(sched) - sched->long_lease_granted_ms < open_ms);
    return recent ? sched->timings.lease_max_ms : (int64_t)LEASE_MS;
}

struct open_leases *
scheduler_open_leases(struct scheduler *sched, bool last)
{
    struct open_leases *leases = g_new0(struct open_leases, 1);
    leases->longest_ms =
        last ? own_lease_ms(sched) : sched->timings.lease_max_ms;
    leases->silent_ids = g_ptr_array_new_with_free_func(g_free);
    leases->silent_left_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
    g_hash_table_remove_all(sched->list_sent);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->backends);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct backend *backend = value;
        int64_t left_ms = MAX(open_ms_of(sched, backend),
                              sched_unseen_lease_left_ms(sched, backend));
        if (last && sched_start_may_be_unseen(backend)) {
            left_ms = sched->lease_accepted_max_ms;
        }
        if (!granted_none(backend) || !backend->unresponsive ||
            leases->silent_ids->len >= SILENT_MAX) {
            leases->longest_ms = MAX(leases->longest_ms, left_ms);
            continue;
        }
        const char *id = backend->entry.id;
        backend->list_stored = true;
        g_hash_table_add(sched->list_stored, g_strdup(id));
        g_hash_table_add(sched->list_sent, g_strdup(id));
        g_ptr_array_add(leases->silent_ids, g_strdup(id));
        g_array_append_val(leases->silent_left_ms, left_ms);
    }
    leases->longest_ms = MIN(leases->longest_ms, sched->lease_accepted_max_ms);
    sched->leases_written_ms = sched_now(sched);
    sched->leases_due = false;
    return leases;
}

void
open_leases_destroy(struct open_leases *leases)
{
    g_ptr_array_unref(leases->silent_ids);
    g_array_unref(leases->silent_left_ms);
    g_free(leases);
}

/* Whether the list should be written: one that it names may be needed again,
 * or one is missing, or what is left has become less. */
static bool
list_outdated(const struct scheduler *sched)
{
    int64_t now_ms = sched_now(sched);
    bool rewrite = now_ms - sched->leases_written_ms >= REWRITE_MS;
    if (sched->longer_leases_over_ms != 0 &&
        now_ms >= sched->longer_leases_over_ms && rewrite) {
        return true;
    }
    bool first = sched->leases_written_ms == sched->takeover_ms;
    if (sched->longer_known_ms > sched->longer_stored_ms &&
        (rewrite || first)) {
        return true;
    }
    GHashTableIter iter;
    void *id;
    void *value;
    g_hash_table_iter_init(&iter, sched->list_stored);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        const struct backend *backend = scheduler_find_backend(sched, id);
        if (backend == NULL || !granted_none(backend)) {
            return true;
        }
    }
    g_hash_table_iter_init(&iter, sched->backends);
    while (rewrite && g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct backend *backend = value;
        if (granted_none(backend) && backend->unresponsive &&
            open_ms_of(sched, backend) > 0) {
            return true;
        }
    }
    return false;
}

void
sched_check_open_leases(struct scheduler *sched)
{
    bool any = sched->maybe_unreconciled ||
               g_hash_table_size(sched->list_stored) > 0 ||
               sched->longer_leases_over_ms != 0;
    sched->leases_due = any && list_outdated(sched);
}

bool
scheduler_open_leases_due(const struct scheduler *sched)
{
    return sched->leases_due;
}

void
sched_longer_lease(struct scheduler *sched, int64_t over_ms)
{
    int64_t now_ms = sched_now(sched);
    if (over_ms <= sched_lease_over_ms(now_ms, sched->timings.lease_max_ms)) {
        return;
    }
    sched->longer_known_ms = now_ms;
    sched->longer_leases_over_ms = MAX(sched->longer_leases_over_ms, over_ms);
}

void
scheduler_open_leases_stored(struct scheduler *sched)
{
    sched->longer_stored_ms = sched->leases_written_ms;
    if (sched->leases_written_ms >= sched->longer_leases_over_ms) {
        sched->longer_leases_over_ms = 0;
    }
    GHashTableIter iter;
    void *id;
    g_hash_table_iter_init(&iter, sched->list_stored);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        if (g_hash_table_contains(sched->list_sent, id)) {
            continue;
        }
        struct backend *backend = scheduler_find_backend(sched, id);
        g_hash_table_iter_remove(&iter);
        if (backend != NULL) {
            backend->list_stored = false;
            sched_backend_changed(sched, backend);
            sched_schedule_report(sched, backend);
        }
    }
}

void
scheduler_lease_left(struct scheduler *sched, const char *id, int64_t left_ms)
{
    struct backend *backend = scheduler_find_backend(sched, id);
    if (backend != NULL && backend->unreconciled) {
        backend->leases_expire_ms =
            MIN(backend->leases_expire_ms, sched->takeover_ms + left_ms);
    }
}
