/* Collects changes to be stored, in batches of one transaction each. */
#include "core/jobs/scheduler.h"

#include <string.h>

#include "scheduler_state.h"

enum {
    /* The store may reject a call for a moment, such as while it starts. */
    STORE_REJECTIONS_MAX = 3,
};

int64_t
scheduler_backend_record(const struct scheduler *sched, const char *id)
{
    const int64_t *revision = g_hash_table_lookup(sched->backend_records, id);
    return revision == NULL ? 0 : *revision;
}

void
scheduler_set_backend_record(struct scheduler *sched, const char *id,
                             int64_t revision)
{
    if (revision == 0) {
        g_hash_table_remove(sched->backend_records, id);
        return;
    }
    g_hash_table_replace(sched->backend_records, g_strdup(id),
                         g_memdup2(&revision, sizeof(revision)));
}

static void
take_registrations(struct scheduler *sched, struct store_batch *batch,
                   uint32_t most)
{
    while (sched->to_register->len > 0 && batch->register_ids->len < most) {
        char *id = g_ptr_array_steal_index(sched->to_register, 0);
        const struct backend *backend = scheduler_find_backend(sched, id);
        g_ptr_array_add(batch->register_ids, id);
        g_array_append_val(batch->register_starts,
                           backend->entry.incarnation_start_ms);
        if (!g_hash_table_contains(sched->backend_records, id)) {
            /* Without an answer it may be stored all the same. */
            g_hash_table_insert(sched->backend_records, g_strdup(id),
                                g_new0(int64_t, 1));
        }
    }
}

/* Whether a start may be sent to it, or was. */
static bool
record_wanted(const struct scheduler *sched, const char *id)
{
    const struct backend *backend = scheduler_find_backend(sched, id);
    return backend != NULL && (backend->registered || backend->registering ||
                               backend->runs->len + backend->strays->len > 0);
}

/* A backend server may be listed again since its deletion was decided. */
static void
take_releases(struct scheduler *sched, struct store_batch *batch,
              uint32_t most)
{
    while (sched->to_release->len > 0 && batch->release_ids->len < most) {
        char *id = g_ptr_array_steal_index(sched->to_release, 0);
        if (record_wanted(sched, id) ||
            !g_hash_table_contains(sched->backend_records, id) ||
            g_ptr_array_find_with_equal_func(batch->release_ids, id,
                                             g_str_equal, NULL)) {
            g_free(id);
            continue;
        }
        g_ptr_array_add(batch->release_ids, id);
    }
}

/* Removes finished jobs from the store after their retention time. */
static void
take_expired(struct scheduler *sched, struct store_batch *batch, uint32_t most)
{
    int64_t now_ms = ms_clock_now(&sched->unix_clock);
    while (batch->expire_ids->len < most) {
        struct job *job = g_queue_peek_head(&sched->finished);
        if (job == NULL || job->storing ||
            MAX(job->accepted_unix_ms, job->ended_unix_ms) +
                    sched->timings.retention_ms >
                now_ms ||
            job->stored_version != job->version || job->ref_count > 1) {
            return;
        }
        g_queue_pop_head(&sched->finished);
        g_ptr_array_add(batch->expire_ids, g_strdup(job->id));
        g_hash_table_remove(sched->jobs, job->id);
    }
}

static struct store_batch *
batch_create(void)
{
    struct store_batch *batch = g_new0(struct store_batch, 1);
    batch->jobs = g_ptr_array_new();
    batch->versions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    batch->register_ids = g_ptr_array_new_with_free_func(g_free);
    batch->register_starts = g_array_new(FALSE, FALSE, sizeof(int64_t));
    batch->release_ids = g_ptr_array_new_with_free_func(g_free);
    batch->expire_ids = g_ptr_array_new_with_free_func(g_free);
    return batch;
}

/* Whether the batch takes nothing else, for a job that is stored alone. */
static bool
take_dirty(struct scheduler *sched, struct store_batch *batch, uint32_t most)
{
    while (!g_queue_is_empty(&sched->dirty) && batch->jobs->len < most) {
        struct job *job = g_queue_peek_head(&sched->dirty);
        if (job->store_alone &&
            batch->jobs->len + batch->register_ids->len > 0) {
            return true;
        }
        g_queue_pop_head(&sched->dirty);
        job->dirty = false;
        job->storing = true;
        g_ptr_array_add(batch->jobs, job);
        g_array_append_val(batch->versions, job->version);
        if (job->store_alone) {
            return true;
        }
    }
    return false;
}

struct store_batch *
scheduler_take_progress(struct scheduler *sched, uint32_t most)
{
    if (g_queue_is_empty(&sched->dirty)) {
        return NULL;
    }
    struct store_batch *batch = batch_create();
    take_dirty(sched, batch, most);
    return batch;
}

struct store_batch *
scheduler_take_batch(struct scheduler *sched, uint32_t most)
{
    struct store_batch *batch = batch_create();
    take_registrations(sched, batch, most);
    uint32_t left = most - batch->register_ids->len;
    if (!take_dirty(sched, batch, left)) {
        left -= batch->jobs->len;
        take_releases(sched, batch, left);
        left -= batch->release_ids->len;
        take_expired(sched, batch, left);
    }
    if (batch->register_ids->len + batch->jobs->len + batch->release_ids->len +
            batch->expire_ids->len >
        0) {
        return batch;
    }
    scheduler_batch_stored(sched, batch, false, 0);
    return NULL;
}

static void
job_stored(struct scheduler *sched, struct job *job, uint64_t version,
           bool stored, int64_t revision)
{
    job->storing = false;
    if (stored) {
        job->stored_version = MAX(job->stored_version, version);
        job->revision = revision;
        job->store_alone = false;
        job->store_rejections = 0;
    }
    if (job->stored_version < job->version) {
        job->dirty = true;
        g_queue_push_tail(&sched->dirty, job);
        return;
    }
    job_unref(job);
}

/* The backend server may have restarted since; then only its earlier
 * incarnation is registered. */
static void
registration_stored(struct scheduler *sched, const char *id, int64_t start_ms,
                    bool stored, int64_t revision)
{
    if (stored) {
        scheduler_set_backend_record(sched, id, revision);
    }
    struct backend *backend = scheduler_find_backend(sched, id);
    if (backend == NULL) {
        return;
    }
    backend->registering = false;
    backend->registered =
        backend->registered ||
        (stored && backend->entry.incarnation_start_ms == start_ms);
    if (stored) {
        sched_register_backend(sched, backend);
    }
    sched_backend_changed(sched, backend);
}

static void
release_stored(struct scheduler *sched, const char *id, bool stored)
{
    if (stored) {
        scheduler_set_backend_record(sched, id, 0);
        return;
    }
    g_ptr_array_add(sched->to_release, g_strdup(id));
}

/* The store rejected the progress of @job in a transaction of its own. */
static void
job_rejected(struct scheduler *sched, struct job *job)
{
    if (++job->store_rejections < STORE_REJECTIONS_MAX) {
        return;
    }
    sched_log_event(sched, "job_unstorable", "\"job\":\"%s\",\"state\":\"%s\"",
                    job->id, job_state_name(job->state));
    job->store_rejections = 0;
    if (job->state == JOB_ACTIVE) {
        /* The record of a finished job has its state only. */
        sched_finish_job(sched, job, JOB_FAILED);
        return;
    }
    job->stored_version = job->version;
}

void
scheduler_batch_rejected(struct scheduler *sched, struct store_batch *batch)
{
    bool alone = batch->jobs->len == 1 && batch->register_ids->len == 0 &&
                 batch->release_ids->len + batch->expire_ids->len == 0;
    for (guint i = 0; i < batch->jobs->len; i++) {
        struct job *job = g_ptr_array_index(batch->jobs, i);
        job->store_alone = true;
        if (alone) {
            job_rejected(sched, job);
        }
    }
    scheduler_batch_stored(sched, batch, false, 0);
}

void
scheduler_batch_stored(struct scheduler *sched, struct store_batch *batch,
                       bool stored, int64_t revision)
{
    for (guint i = 0; i < batch->jobs->len; i++) {
        job_stored(sched, g_ptr_array_index(batch->jobs, i),
                   g_array_index(batch->versions, uint64_t, i), stored,
                   revision);
    }
    for (guint i = 0; i < batch->register_ids->len; i++) {
        registration_stored(sched, g_ptr_array_index(batch->register_ids, i),
                            g_array_index(batch->register_starts, int64_t, i),
                            stored, revision);
    }
    for (guint i = 0; i < batch->release_ids->len; i++) {
        release_stored(sched, g_ptr_array_index(batch->release_ids, i),
                       stored);
    }
    g_ptr_array_unref(batch->jobs);
    g_array_unref(batch->versions);
    g_ptr_array_unref(batch->register_ids);
    g_array_unref(batch->register_starts);
    g_ptr_array_unref(batch->release_ids);
    g_ptr_array_unref(batch->expire_ids);
    g_free(batch);
}
