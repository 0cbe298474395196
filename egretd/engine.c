#include "egretd/engine.h"

#include "common/log.h"
#include "engine_state.h"

enum {
    RETRY_AFTER_MS = 1000,
};

int64_t
engine_now_ms(const struct engine *engine)
{
    return ms_clock_now(&engine->options.clock);
}

struct request *
engine_find_request(struct engine *engine, uint64_t task)
{
    return g_hash_table_lookup(engine->requests, &task);
}

static void
count_outcome(struct engine *engine, const struct request *request,
              const struct answer *answer)
{
    char labels[256];
    g_snprintf(labels, sizeof(labels),
               "team=\"%s\",queue=\"%s\",outcome=\"%s\",reason=\"%s\"",
               request->team, request->queue, outcome_name(answer->outcome),
               reason_name(answer->reason));
    counters_add(engine->options.counters, "egret_requests_total", labels, 1);
}

void
engine_finish(struct engine *engine, struct request *request,
              const struct answer *answer)
{
    if (request->claimed) {
        /* Calls this function again for every request of the id, this one
         * included, with @claimed unset. */
        claims_finished(engine->claims, request, answer);
        return;
    }
    int64_t took_ms = engine_now_ms(engine) - request->arrived_ms;
    log_line(LOG_LEVEL_INFO, "outcome",
             "task=%s request=%s team=%s queue=%s host=%s outcome=%s "
             "reason=%s status=%u took_ms=%" G_GINT64_FORMAT,
             request->task_name, log_quote(request->request_id), request->team,
             request->queue, log_quote(answer->host),
             outcome_name(answer->outcome), reason_name(answer->reason),
             answer->status, took_ms);
    count_outcome(engine, request, answer);
    request_answer(request, answer);
    g_hash_table_remove(engine->requests, &request->task);
}

/* The outcome of a request with an id also covers earlier requests of that
 * id: until its owner has checked, one of them may have run. */
static enum outcome
refusal_outcome(const struct request *request)
{
    bool known = !engine_needs_claim(request) || request->first_attempt ||
                 request->claimed;
    return known ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN;
}

void
engine_refuse(struct engine *engine, struct request *request,
              enum reason reason, int64_t retry_after_ms)
{
    struct answer *answer = answer_create(refusal_outcome(request), reason);
    answer->retry_after_ms = retry_after_ms;
    engine_finish(engine, request, answer);
    answer_destroy(answer);
}

static void
on_abandoned(void *ctx, struct request *request)
{
    struct engine *engine = ctx;
    uint64_t attempt = 0;
    if (request->claimed || request->role == ROLE_WAIT) {
        /* The caller may have lost its connection and send the id again. */
        return;
    }
    if (request->role == ROLE_FORWARD) {
        forwards_abort(engine->forwards, request->task);
        return;
    }
    bool was_queued = dispatch_cancel(engine->dispatch, request->task,
                                      &attempt, engine_now_ms(engine));
    if (was_queued) {
        engine_refuse(engine, request, REASON_CANCELLED, 0);
    }
    else if (attempt != 0) {
        attempts_cancel(engine->attempts, attempt);
    }
    else {
        forwards_abort(engine->forwards, request->task);
    }
    engine_run_actions(engine);
}

void
engine_run_request(struct engine *engine, struct request *request)
{
    int64_t retry_after_ms = 0;
    struct dispatch_task task = {
        .id = request->task,
        .team = request->team,
        .queue = request->queue,
        .key_id = request->key_id,
        .key_hash_hex = request->key_id == NULL ? NULL : request->key_hash_hex,
        .idempotent = request->idempotent,
        .forwarded = request->forwarded && !request->to_owner,
    };
    enum reason reason = dispatch_submit(
        engine->dispatch, &task, engine_now_ms(engine), &retry_after_ms);
    if (reason != REASON_NONE) {
        engine_refuse(engine, request, reason, retry_after_ms);
        return;
    }
    engine_run_actions(engine);
}

static enum reason
check_admission(const struct engine *engine, const struct request *request)
{
    if (engine->draining) {
        return REASON_SHUTDOWN;
    }
    if (g_hash_table_size(engine->requests) >
        engine->options.settings->max_inflight) {
        return REASON_OVERLOAD;
    }
    if (engine_needs_claim(request) &&
        !engine->options.has_quorum_lease(engine->options.ctx)) {
        return REASON_NO_QUORUM_LEASE;
    }
    return REASON_NONE;
}

void
engine_submit(struct engine *engine, struct request *request)
{
    request->task = ++engine->next_task;
    request->task_name = g_strdup_printf("%s.%" G_GUINT64_FORMAT,
                                         engine->incarnation, request->task);
    request->arrived_ms = engine_now_ms(engine);
    request->abandoned = on_abandoned;
    request->callback_ctx = engine;
    g_hash_table_insert(engine->requests, &request->task, request);
    enum reason reason = check_admission(engine, request);
    if (reason != REASON_NONE) {
        engine_refuse(engine, request, reason, RETRY_AFTER_MS);
        return;
    }
    if (!engine_needs_claim(request)) {
        engine_run_request(engine, request);
        return;
    }
    request->role = ROLE_WAIT;
    claims_submit(engine->claims, request);
}

static struct request *
find_by_id(struct engine *engine, const char *team, const char *request_id)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, engine->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct request *request = value;
        if (g_strcmp0(request->request_id, request_id) == 0 &&
            g_str_equal(request->team, team) && request->role == ROLE_RUN) {
            return request;
        }
    }
    return NULL;
}

const char *
engine_cancel_by_id(struct engine *engine, const char *team,
                    const char *request_id)
{
    struct request *request = find_by_id(engine, team, request_id);
    uint64_t attempt = 0;
    if (request == NULL) {
        return "not-found";
    }
    if (dispatch_cancel(engine->dispatch, request->task, &attempt,
                        engine_now_ms(engine))) {
        engine_refuse(engine, request, REASON_CANCELLED, 0);
        engine_run_actions(engine);
        return "cancelled";
    }
    if (attempt != 0) {
        attempts_cancel(engine->attempts, attempt);
    }
    else {
        /* The other gateway detects the closed connection and cancels. */
        forwards_abort(engine->forwards, request->task);
    }
    engine_run_actions(engine);
    return "running";
}

const char *
engine_incarnation(const struct engine *engine)
{
    return engine->incarnation;
}

struct dispatch *
engine_dispatch(struct engine *engine)
{
    return engine->dispatch;
}

void
engine_drain(struct engine *engine)
{
    engine->draining = true;
    dispatch_drain(engine->dispatch);
    engine_run_actions(engine);
}

uint32_t
engine_inflight(const struct engine *engine)
{
    return g_hash_table_size(engine->requests);
}

static void
destroy_request(void *data)
{
    request_destroy(data);
}

struct engine *
engine_create(const struct engine_options *options)
{
    struct engine *engine = g_new0(struct engine, 1);
    engine->options = *options;
    engine->options.incarnation = NULL;
    engine->incarnation = g_strdup(options->incarnation);
    engine->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                             destroy_request);
    engine->task_by_attempt =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    engine->dispatch = dispatch_create(&(struct dispatch_options){
        .seed = g_str_hash(options->incarnation),
        .dc = options->settings->dc,
    });
    engine_create_attempts(engine);
    engine_create_forwards(engine);
    engine_create_claims(engine);
    return engine;
}

void
engine_destroy(struct engine *engine)
{
    if (engine == NULL) {
        return;
    }
    if (engine->wake_source != 0) {
        g_source_remove(engine->wake_source);
    }
    claims_destroy(engine->claims);
    forwards_destroy(engine->forwards);
    attempts_destroy(engine->attempts);
    dispatch_destroy(engine->dispatch);
    g_hash_table_unref(engine->requests);
    g_hash_table_unref(engine->task_by_attempt);
    g_free(engine->incarnation);
    g_free(engine);
}
