/* Adds, updates and removes backend servers. */
#include "core/jobs/scheduler.h"

#include <string.h>

#include "common/text.h"
#include "scheduler_state.h"

struct backend *
scheduler_find_backend(const struct scheduler *sched, const char *id)
{
    return g_hash_table_lookup(sched->backends, id);
}

GPtrArray *
scheduler_backend_ids(const struct scheduler *sched)
{
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->backends);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct backend *backend = value;
        if (backend->listed) {
            g_ptr_array_add(ids, g_strdup(backend->entry.id));
        }
    }
    return ids;
}

int64_t
sched_lease_over_ms(int64_t granted_ms, int64_t lease_ms)
{
    return granted_ms + lease_ms * 102 / 100 + 100;
}

/* Ends what certainly ran on the earlier incarnation. A start that no report
 * of it has shown may be carried out by the new one, or was, so its run stays
 * until a report of the new one is read; a stop is sent to that again. */
static void
release_ended_runs(struct scheduler *sched, struct backend *backend)
{
    sched_backend_strays_lost(sched, backend);
    for (guint i = backend->runs->len; i > 0; i--) {
        struct run *run = g_ptr_array_index(backend->runs, i - 1);
        if (run->reported) {
            sched_log_run(sched, "run_lost", run);
            sched->stats.lost++;
            sched_run_free(sched, run);
            continue;
        }
        run->stop_acked_ms = 0;
        run->stop_sent_ms = 0;
        run->stop_pending = false;
        run->stop_count_before = run->stop_count;
        run->first_clock_ms = 0;
    }
}

/* What it was before @entry: that says whether its end was a crash. */
static void
suspect_restart(struct scheduler *sched, struct backend *backend,
                const struct backend_entry *entry)
{
    if (backend->entry.host == NULL) {
        return;
    }
    struct host *host = sched_host_find_or_add(sched, backend->entry.host);
    if (strcmp(entry->pool, backend->entry.pool) != 0) {
        /* Ended by an order of a previous leader. */
        if (host->crash != NULL) {
            sched_crash_dropped(sched, host);
        }
        return;
    }
    sched_crash_suspected(sched, backend);
    sched_crash_inherited(sched, host, backend, backend);
}

/* The host list has another incarnation under the same id, so the old one has
 * ended. */
static void
renew_incarnation(struct scheduler *sched, struct backend *backend,
                  const struct former_backend *before)
{
    sched_log_event(sched, "backend_restarted",
                    "\"backend\":\"%s\",\"before\":%" G_GINT64_FORMAT
                    ",\"now\":%" G_GINT64_FORMAT ",\"runs\":%u",
                    backend->entry.id, before->incarnation_start_ms,
                    backend->entry.incarnation_start_ms, backend->runs->len);
    release_ended_runs(sched, backend);
    backend->previous_start_ms = before->incarnation_start_ms;
    backend->earlier_start_ms = 0;
    backend->seen_ms = sched_now(sched);
    backend->seen_tick = sched->ticks;
    backend->claim_refuted = false;
    backend->superseded = false;
    backend->incarnation++;
    backend->settled_ms = 0;
    /* Its record names the earlier incarnation and what that served. */
    backend->registered = false;
    if (backend->entry.host != NULL) {
        struct host *host = sched_host_find_or_add(sched, backend->entry.host);
        sched_crash_unexplained(sched, host, before, backend);
        sched_crash_proved(sched, host, backend);
    }
    backend->report_received = false;
    /* A previous leader may have started runs on the new one too, so it stays
     * unreconciled. */
    backend->reconcile_due_ms = 0;
    backend->clock_sampled_ms = 0;
    backend->clock_ms = 0;
    backend->granted_until_ms = 0;
    backend->unseen_ms = 0;
    /* Commands meant for the earlier incarnation that this one carries out
     * grant it the longest lease, since its clock starts anew. */
    backend->leases_expire_ms = sched_lease_over_ms(
        MAX(backend->granted_ms, sched->takeover_ms) + LATE_COMMAND_MS,
        sched->lease_accepted_max_ms);
    if (backend->runs->len > 0) {
        sched_longer_lease(sched,
                           sched_lease_over_ms(sched_now(sched),
                                               sched->lease_accepted_max_ms));
    }
    backend_forget_completions(backend);
    backend->unresponsive = false;
    backend->end_explained = false;
}

struct former_backend
sched_former_backend(const struct scheduler *sched,
                     const struct backend *backend)
{
    return (struct former_backend){
        .incarnation = backend->incarnation,
        .removed_ms = sched_now(sched),
        .incarnation_start_ms = backend->entry.incarnation_start_ms,
        .pool = backend->pool,
        .draining = backend->entry.draining,
        .superseded = backend->superseded,
        .end_explained = backend->end_explained,
    };
}

/* It may come back under its id while commands to it are still on their way,
 * and needs a higher token then. */
static void
remember_backend(struct scheduler *sched, const struct backend *backend)
{
    struct former_backend *former = g_new0(struct former_backend, 1);
    *former = sched_former_backend(sched, backend);
    g_hash_table_replace(sched->former_backends, g_strdup(backend->entry.id),
                         former);
}

static gboolean
former_backend_expired(void *id, void *value, void *ctx)
{
    (void)id;
    const struct former_backend *former = value;
    const struct scheduler *sched = ctx;
    return sched_now(sched) - former->removed_ms > FORMER_BACKEND_MS;
}

static struct backend *
add_backend(struct scheduler *sched, const struct backend_entry *entry)
{
    struct backend *backend = backend_create(entry);
    backend->empty_since_ms = sched_now(sched);
    backend->seen_ms = sched_now(sched);
    backend->seen_tick = sched->ticks;
    backend->list_stored =
        g_hash_table_contains(sched->list_stored, entry->id);
    g_hash_table_insert(sched->backends, backend->entry.id, backend);
    sched_backend_refs(sched, backend);
    const struct former_backend *former =
        g_hash_table_lookup(sched->former_backends, entry->id);
    if (former != NULL) {
        backend->incarnation = former->incarnation + 1;
        backend->superseded =
            former->superseded && former->incarnation_start_ms != 0 &&
            former->incarnation_start_ms == entry->incarnation_start_ms;
        if (entry->host != NULL) {
            sched_crash_unexplained(sched,
                                    sched_host_find_or_add(sched, entry->host),
                                    former, backend);
        }
        g_hash_table_remove(sched->former_backends, entry->id);
    }
    return backend;
}

static void
update_entry(struct scheduler *sched, struct backend *backend,
             const struct backend_entry *entry)
{
    struct backend_entry *copy = backend_entry_copy(entry);
    /* An entry without a start time doesn't say that it has restarted. */
    if (copy->incarnation_start_ms == 0) {
        copy->incarnation_start_ms = backend->entry.incarnation_start_ms;
    }
    /* A backend server stays on its host. */
    if (backend->entry.host != NULL &&
        g_strcmp0(copy->host, backend->entry.host) != 0 &&
        copy->incarnation_start_ms == backend->entry.incarnation_start_ms) {
        g_free(copy->host);
        copy->host = g_strdup(backend->entry.host);
    }
    char *id = backend->entry.id;
    g_free(copy->id);
    copy->id = NULL;
    backend->entry.id = NULL;
    backend_entry_clear(&backend->entry);
    backend->entry = *copy;
    backend->entry.id = id;
    g_free(copy);
    sched_backend_refs(sched, backend);
}

/* A delayed read shows an incarnation that has ended. */
static bool
entry_outdated(const struct backend *backend,
               const struct backend_entry *entry)
{
    if (entry->incarnation_start_ms == 0) {
        return false;
    }
    return entry->incarnation_start_ms == backend->previous_start_ms ||
           (entry->incarnation_start_ms <
                backend->entry.incarnation_start_ms &&
            entry->incarnation_start_ms != backend->earlier_start_ms);
}

void
scheduler_backend_updated(struct scheduler *sched,
                          const struct backend_entry *entry)
{
    struct backend *backend = scheduler_find_backend(sched, entry->id);
    if (backend != NULL && entry_outdated(backend, entry)) {
        sched_log_event(sched, "entry_outdated",
                        "\"backend\":\"%s\",\"started\":%" G_GINT64_FORMAT
                        ",\"now_started\":%" G_GINT64_FORMAT,
                        entry->id, entry->incarnation_start_ms,
                        backend->entry.incarnation_start_ms);
        return;
    }
    if (backend == NULL) {
        backend = add_backend(sched, entry);
        sched_log_event(sched, "backend_seen",
                        "\"backend\":\"%s\",\"pool\":%s,\"host\":%s",
                        entry->id, text_quote(entry->pool),
                        text_quote(entry->host));
    }
    else {
        int64_t previous_start_ms = backend->entry.incarnation_start_ms;
        if (entry->draining && !backend->entry.draining) {
            sched_log_event(sched, "backend_draining", "\"backend\":\"%s\"",
                            entry->id);
        }
        bool restarted = previous_start_ms != 0 &&
                         entry->incarnation_start_ms != 0 &&
                         previous_start_ms != entry->incarnation_start_ms;
        if (restarted) {
            suspect_restart(sched, backend, entry);
        }
        struct former_backend before = sched_former_backend(sched, backend);
        if (!backend_entry_equal(&backend->entry, entry)) {
            update_entry(sched, backend, entry);
        }
        if (restarted) {
            renew_incarnation(sched, backend, &before);
        }
    }
    backend->listed = true;
    if (backend->entry.draining &&
        !g_ptr_array_find(sched->draining, backend, NULL)) {
        g_ptr_array_add(sched->draining, backend);
    }
    sched_host_incarnation(sched, backend);
    sched_register_backend(sched, backend);
    sched_backend_changed(sched, backend);
    sched_schedule_report(sched, backend);
}

void
scheduler_backend_removed(struct scheduler *sched, const char *id)
{
    struct backend *backend = scheduler_find_backend(sched, id);
    if (backend == NULL || !backend->listed) {
        return;
    }
    backend->listed = false;
    sched_backend_changed(sched, backend);
    sched_log_event(sched, "backend_unlisted",
                    "\"backend\":\"%s\",\"runs\":%u", id, backend->runs->len);
}

void
scheduler_backend_inherited(struct scheduler *sched,
                            const struct backend_entry *entry,
                            int64_t lease_ms)
{
    struct backend *backend = scheduler_find_backend(sched, entry->id);
    if (backend == NULL) {
        backend = add_backend(sched, entry);
    }
    backend->unreconciled = true;
    sched->maybe_unreconciled = true;
    backend->registered = true;
    /* The previous leader granted its last lease before this term began. */
    int64_t open_ms = MIN(lease_ms, sched->lease_accepted_max_ms);
    backend->leases_expire_ms =
        MIN(sched_lease_over_ms(sched->takeover_ms, open_ms),
            sched_lease_over_ms(sched->takeover_ms, SCHED_ANY_LEASE_MAX_MS));
    sched_host_incarnation(sched, backend);
    sched_backend_changed(sched, backend);
}

void
scheduler_longer_leases(struct scheduler *sched, int64_t lease_ms)
{
    if (lease_ms > sched->timings.lease_max_ms) {
        sched->longer_leases_over_ms =
            sched_lease_over_ms(sched->takeover_ms, lease_ms);
    }
}

/* In a store outage or under overload renewals come late, and a lease that
 * ends meanwhile ends sound runs. */
int64_t
sched_lease_ms(struct scheduler *sched)
{
    if (!sched->outage && sched->overload.level < SHED_THROTTLING) {
        return LEASE_MS;
    }
    sched->long_lease_granted_ms = sched_now(sched);
    return sched->timings.lease_max_ms;
}

/* Whether nothing but the scheduler keeps @backend within its capacity, and
 * runs take some of it of which the scheduler doesn't know how much: strays of
 * unknown jobs, or runs that the previous leader is stopping. */
static bool
capacity_unknown(const struct scheduler *sched, const struct backend *backend)
{
    if (!backend->unreconciled && backend->unknown_strays == 0) {
        return false;
    }
    const struct pool_config *pool = sched_pool_config(sched, backend->pool);
    return pool != NULL && !pool->enforces_capacity;
}

bool
sched_backend_usable(const struct scheduler *sched,
                     const struct backend *backend)
{
    return !capacity_unknown(sched, backend) && backend->listed &&
           backend->report_received && backend->registered &&
           !backend->list_stored && !backend->entry.draining &&
           !backend->unresponsive && !backend->leaving &&
           !sched_backend_contested(backend) &&
           !sched_is_out_of_service(sched, backend->entry.data_centre);
}

/* Whether nothing has ever answered to its entry, which may be that of no
 * backend server. */
static bool
never_answered(const struct backend *backend)
{
    return backend->unresponsive && backend->answered_request_ms == 0;
}

/* A leader that takes over waits for each backend server on record. What was
 * on record before this one did tells of crashes for a while. */
static void
forget_unanswered(struct scheduler *sched, struct backend *backend)
{
    if (sched_now(sched) - sched->takeover_ms > LATE_COMMAND_MS &&
        backend->registered && never_answered(backend) &&
        backend->runs->len + backend->strays->len == 0) {
        backend->registered = false;
        g_ptr_array_add(sched->to_release, g_strdup(backend->entry.id));
    }
}

/* Removes backend servers that can no longer hold any of our runs. */
void
sched_expire_backends(struct scheduler *sched)
{
    sched_crash_expire(sched);
    g_hash_table_foreach_remove(sched->former_backends, former_backend_expired,
                                sched);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->backends);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct backend *backend = value;
        bool expired = sched_leases_over(sched, backend);
        if (expired && backend->unresponsive &&
            backend->runs->len + backend->strays->len > 0) {
            sched_backend_lost(sched, backend, "lapsed");
        }
        if (expired && backend->unresponsive) {
            backend->end_explained =
                backend->end_explained || backend->unreconciled;
            backend->unreconciled = false;
        }
        if (expired) {
            forget_unanswered(sched, backend);
        }
        if (backend->listed || !expired || backend->runs->len > 0 ||
            backend->strays->len > 0 || backend->report_in_flight ||
            backend->registering) {
            continue;
        }
        if (g_hash_table_contains(sched->backend_records, backend->entry.id)) {
            g_ptr_array_add(sched->to_release, g_strdup(backend->entry.id));
        }
        remember_backend(sched, backend);
        sched_backend_refs_clear(backend);
        g_ptr_array_remove_fast(sched->draining, backend);
        g_ptr_array_remove_fast(sched->contenders, backend);
        sched_holds_drop(sched, backend);
        deadline_heap_remove(sched->report_deadlines,
                             &backend->report_deadline);
        g_hash_table_iter_remove(&iter);
    }
}

/* A backend server is stored as possibly holding runs before its first run
 * starts. */
void
sched_register_backend(struct scheduler *sched, struct backend *backend)
{
    if (sched->config == NULL || !backend->listed || backend->registered ||
        backend->registering || backend->entry.draining ||
        never_answered(backend)) {
        return;
    }
    const struct pool_config *pool = sched_pool_config(sched, backend->pool);
    if (pool == NULL || pool->spare) {
        return;
    }
    backend->registering = true;
    g_ptr_array_add(sched->to_register, g_strdup(backend->entry.id));
}

void
sched_register_backends(struct scheduler *sched)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->backends);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        sched_register_backend(sched, value);
    }
}
