#include "backend_model.h"

#include <stdio.h>
#include <string.h>

static void
run_free(void *data)
{
    struct model_task_run *run = data;
    g_free(run->task);
    g_free(run);
}

static void
completion_free(void *data)
{
    struct model_completion *completion = data;
    g_free(completion->task);
    g_free(completion);
}

void
model_backend_init(struct model_backend *backend, int index,
                   int64_t speed_percent, int64_t offset_ms)
{
    *backend = (struct model_backend){
        .speed_percent = speed_percent,
        .offset_ms = offset_ms,
        .next_completion = 1,
    };
    snprintf(backend->id, sizeof(backend->id), "b%d", index);
    backend->runs = g_ptr_array_new_with_free_func(run_free);
    backend->completions = g_ptr_array_new_with_free_func(completion_free);
    backend->stale_upto =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
model_backend_clear(struct model_backend *backend)
{
    g_ptr_array_unref(backend->runs);
    g_ptr_array_unref(backend->completions);
    g_hash_table_unref(backend->stale_upto);
}

void
model_backend_restart(struct model_backend *backend, int64_t now_ms)
{
    g_ptr_array_set_size(backend->runs, 0);
    g_ptr_array_set_size(backend->completions, 0);
    g_hash_table_remove_all(backend->stale_upto);
    backend->token = 0;
    backend->until_ms = 0;
    backend->next_completion = 1;
    backend->offset_ms = 1 - now_ms * backend->speed_percent / 100;
}

int64_t
model_backend_clock(const struct model_backend *backend, int64_t now_ms)
{
    return backend->offset_ms + now_ms * backend->speed_percent / 100;
}

static void
extend_lease(struct model_backend *backend, int64_t until_ms, int64_t now_ms)
{
    if (backend->lease_max_ms > 0) {
        until_ms = MIN(until_ms, model_backend_clock(backend, now_ms) +
                                     backend->lease_max_ms);
    }
    backend->until_ms = MAX(backend->until_ms, until_ms);
}

static uint32_t
stale_run_upto(const struct model_backend *backend, const char *task)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(backend->stale_upto, task));
}

static void
mark_stale(struct model_backend *backend, const char *task, uint32_t number)
{
    if (number > stale_run_upto(backend, task)) {
        g_hash_table_replace(backend->stale_upto, g_strdup(task),
                             GUINT_TO_POINTER(number));
    }
}

static void
end_run(struct model_backend *backend, guint index,
        enum completion_reason reason)
{
    struct model_task_run *run = g_ptr_array_index(backend->runs, index);
    struct model_completion *completion = g_new0(struct model_completion, 1);
    completion->number = backend->next_completion++;
    completion->task = g_strdup(run->task);
    completion->run = run->number;
    completion->reason = reason;
    g_ptr_array_add(backend->completions, completion);
    mark_stale(backend, run->task, run->number);
    g_ptr_array_remove_index_fast(backend->runs, index);
}

void
model_backend_advance(struct model_backend *backend, int64_t now_ms)
{
    bool lease_expired =
        !backend->no_lease_expiry &&
        model_backend_clock(backend, now_ms) > backend->until_ms;
    for (guint i = 0; lease_expired && i < backend->completions->len; i++) {
        ((struct model_completion *)g_ptr_array_index(backend->completions, i))
            ->lease_expired = true;
    }
    for (guint i = backend->runs->len; i > 0; i--) {
        const struct model_task_run *run =
            g_ptr_array_index(backend->runs, i - 1);
        if (now_ms >= run->ends_ms) {
            end_run(backend, i - 1, run->fails ? END_FAILED : END_DONE);
        }
        else if (lease_expired) {
            end_run(backend, i - 1, END_LEASE_EXPIRED);
        }
        else if (run->stops_ms != 0 && now_ms >= run->stops_ms) {
            end_run(backend, i - 1, END_STOPPED);
        }
    }
}

static bool
fenced(struct model_backend *backend, int64_t token)
{
    if (backend->no_fence) {
        return false;
    }
    if (token < backend->token) {
        return true;
    }
    backend->token = token;
    return false;
}

static struct model_task_run *
find_run(const struct model_backend *backend, const char *task)
{
    for (guint i = 0; i < backend->runs->len; i++) {
        struct model_task_run *run = g_ptr_array_index(backend->runs, i);
        if (strcmp(run->task, task) == 0) {
            return run;
        }
    }
    return NULL;
}

enum start_answer
model_backend_start(struct model_backend *backend, const char *task,
                    uint32_t number, int64_t until_ms, int64_t token,
                    int64_t run_ms, bool fails, int64_t now_ms, bool *started)
{
    *started = false;
    if (fenced(backend, token)) {
        return START_FENCED;
    }
    extend_lease(backend, until_ms, now_ms);
    const struct model_task_run *existing = find_run(backend, task);
    if (existing != NULL) {
        return existing->number == number ? START_DONE
                                          : START_STALE_RUN_NUMBER;
    }
    if (number <= stale_run_upto(backend, task)) {
        return START_STALE_RUN_NUMBER;
    }
    if (until_ms <= model_backend_clock(backend, now_ms)) {
        return START_REFUSED;
    }
    struct model_task_run *run = g_new0(struct model_task_run, 1);
    run->task = g_strdup(task);
    run->number = number;
    run->ends_ms = now_ms + run_ms;
    run->fails = fails;
    g_ptr_array_add(backend->runs, run);
    *started = true;
    return START_DONE;
}

bool
model_backend_stop(struct model_backend *backend, const char *task,
                   uint32_t number, int64_t token, int64_t stop_ms,
                   int64_t now_ms)
{
    if (fenced(backend, token)) {
        return false;
    }
    mark_stale(backend, task, number);
    struct model_task_run *run = find_run(backend, task);
    if (run != NULL && run->number <= number && run->stops_ms == 0) {
        run->stops_ms = now_ms + stop_ms;
    }
    return true;
}

bool
model_backend_renew(struct model_backend *backend, int64_t until_ms,
                    int64_t acked_completion, int64_t token, int64_t now_ms)
{
    if (fenced(backend, token)) {
        return false;
    }
    extend_lease(backend, until_ms, now_ms);
    for (guint i = backend->completions->len; i > 0; i--) {
        const struct model_completion *completion =
            g_ptr_array_index(backend->completions, i - 1);
        if (completion->number <= acked_completion) {
            g_ptr_array_remove_index(backend->completions, i - 1);
        }
    }
    return true;
}
