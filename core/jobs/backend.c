#include "core/jobs/backend.h"

#include <string.h>

enum {
    /* A backend server's clock may run up to 2 % slow. */
    CLOCK_SLOW_MAX_PERCENT = 2,
    /* Covers rounding and the delay between sampling and sending. */
    LEASE_EXPIRY_MARGIN_MS = 60,
    /* Restarts of one backend server that a leader can tell apart. A leader's
     * token is a store revision; the product stays below 2^53, which JSON
     * numbers carry exactly. */
    TOKENS_PER_LEADER = 1024,
};

struct backend_entry *
backend_entry_copy(const struct backend_entry *entry)
{
    struct backend_entry *copy = g_new0(struct backend_entry, 1);
    *copy = *entry;
    copy->id = g_strdup(entry->id);
    copy->pool = g_strdup(entry->pool);
    copy->address = g_strdup(entry->address);
    copy->data_centre = g_strdup(entry->data_centre);
    copy->host = g_strdup(entry->host);
    copy->labels = g_strdupv(entry->labels);
    return copy;
}

static bool
labels_equal(char **a, char **b)
{
    if (a == NULL || b == NULL) {
        return a == b;
    }
    return g_strv_equal((const gchar *const *)a, (const gchar *const *)b);
}

bool
backend_entry_equal(const struct backend_entry *a,
                    const struct backend_entry *b)
{
    return a->incarnation_start_ms == b->incarnation_start_ms &&
           a->draining == b->draining &&
           a->capacity.cpu_milli == b->capacity.cpu_milli &&
           a->capacity.mem_mb == b->capacity.mem_mb &&
           a->capacity.gpus == b->capacity.gpus &&
           g_strcmp0(a->id, b->id) == 0 && g_strcmp0(a->pool, b->pool) == 0 &&
           g_strcmp0(a->address, b->address) == 0 &&
           g_strcmp0(a->data_centre, b->data_centre) == 0 &&
           g_strcmp0(a->host, b->host) == 0 &&
           labels_equal(a->labels, b->labels);
}

void
backend_entry_clear(struct backend_entry *entry)
{
    g_free(entry->id);
    g_free(entry->pool);
    g_free(entry->address);
    g_free(entry->data_centre);
    g_free(entry->host);
    g_strfreev(entry->labels);
    *entry = (struct backend_entry){0};
}

void
backend_entry_destroy(struct backend_entry *entry)
{
    if (entry == NULL) {
        return;
    }
    backend_entry_clear(entry);
    g_free(entry);
}

const struct job_step *
run_step(const struct run *run)
{
    return &run->job->steps[run->step];
}

struct job_task *
run_task(const struct run *run)
{
    return &job_step_progress(run->job, run->occurrence, run->step)
                ->tasks[run->index];
}

struct backend *
backend_create(const struct backend_entry *entry)
{
    struct backend *backend = g_new0(struct backend, 1);
    struct backend_entry *copy = backend_entry_copy(entry);
    backend->entry = *copy;
    g_free(copy);
    backend->runs = g_ptr_array_new();
    backend->strays = g_ptr_array_new();
    backend->report_deadline.owner = backend;
    g_queue_init(&backend->completions);
    return backend;
}

static void
pending_completion_free(void *data)
{
    struct pending_completion *completion = data;
    job_unref(completion->job);
    g_free(completion);
}

void
backend_forget_completions(struct backend *backend)
{
    g_queue_clear_full(&backend->completions, pending_completion_free);
    backend->last_completion = 0;
    backend->acked_completion = 0;
    backend->report_request.acked = 0;
    backend->acked_answered = 0;
}

void
backend_destroy(struct backend *backend)
{
    if (backend == NULL) {
        return;
    }
    g_queue_clear_full(&backend->completions, pending_completion_free);
    g_ptr_array_unref(backend->runs);
    g_ptr_array_unref(backend->strays);
    backend_entry_clear(&backend->entry);
    g_free(backend);
}

void
backend_clock_sampled(struct backend *backend, int64_t clock_ms,
                      int64_t now_ms)
{
    /* Answers on different connections may overtake each other. */
    if (backend->clock_sampled_ms != 0 &&
        clock_ms < backend_clock_at_least_ms(backend, now_ms)) {
        return;
    }
    backend->clock_ms = clock_ms;
    backend->clock_sampled_ms = now_ms;
}

int64_t
backend_clock_at_least_ms(const struct backend *backend, int64_t now_ms)
{
    int64_t elapsed_ms = now_ms - backend->clock_sampled_ms;
    return backend->clock_ms +
           elapsed_ms * (100 - CLOCK_SLOW_MAX_PERCENT) / 100;
}

bool
backend_leases_expired(const struct backend *backend, int64_t now_ms)
{
    if (backend->leases_expire_ms != 0 && now_ms < backend->leases_expire_ms) {
        return false;
    }
    if (backend->granted_until_ms == 0) {
        return true;
    }
    return backend_clock_at_least_ms(backend, now_ms) >
           backend->granted_until_ms + LEASE_EXPIRY_MARGIN_MS;
}

int64_t
backend_grant_lease(struct backend *backend, int64_t lease_ms, int64_t now_ms)
{
    int64_t until_ms = backend_clock_at_least_ms(backend, now_ms) + lease_ms;
    if (until_ms > backend->granted_until_ms) {
        backend->granted_until_ms = until_ms;
    }
    backend->granted_ms = now_ms;
    return backend->granted_until_ms;
}

int64_t
backend_fencing_token(const struct backend *backend, int64_t leader_token)
{
    return leader_token * TOKENS_PER_LEADER +
           MIN(backend->incarnation, (uint32_t)TOKENS_PER_LEADER - 1);
}

void
backend_ack_completions(struct backend *backend)
{
    for (;;) {
        struct pending_completion *completion =
            g_queue_peek_head(&backend->completions);
        if (completion == NULL ||
            (completion->job != NULL &&
             completion->job->stored_version < completion->version)) {
            return;
        }
        backend->acked_completion = completion->number;
        pending_completion_free(g_queue_pop_head(&backend->completions));
    }
}

bool
backend_has_label(const struct backend *backend, const char *label)
{
    return backend->entry.labels != NULL &&
           g_strv_contains((const char *const *)backend->entry.labels, label);
}

const char *
backend_rack(const struct backend *backend)
{
    char **labels = backend->entry.labels;
    guint n_labels = labels == NULL ? 0 : g_strv_length(labels);
    return n_labels == 0 ? "" : labels[n_labels - 1];
}
