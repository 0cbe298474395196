#include "common/log.h"
#include "engine_state.h"

enum {
    /* Size of the connection pool of one host; the dispatcher accounts for
     * the connections in use. */
    HOST_CONNECTIONS_MAX = 64,
};

static struct request *
remove_attempt(struct engine *engine, uint64_t number)
{
    uint64_t *task = g_hash_table_lookup(engine->task_by_attempt, &number);
    struct request *request =
        task == NULL ? NULL : engine_find_request(engine, *task);
    g_hash_table_remove(engine->task_by_attempt, &number);
    if (request != NULL) {
        request->attempt = 0;
    }
    return request;
}

static enum reason
on_may_send(void *ctx, uint64_t number)
{
    struct engine *engine = ctx;
    return dispatch_may_send(engine->dispatch, number, engine_now_ms(engine));
}

static void
on_sent(void *ctx, uint64_t number)
{
    struct engine *engine = ctx;
    dispatch_sent(engine->dispatch, number, engine_now_ms(engine));
}

static void
on_resolved(void *ctx, uint64_t number)
{
    struct engine *engine = ctx;
    dispatch_attempt_resolved(engine->dispatch, number, engine_now_ms(engine));
    engine_run_actions(engine);
}

static void
on_load(void *ctx, const char *host, uint32_t running)
{
    struct engine *engine = ctx;
    dispatch_host_load(engine->dispatch, host, running, engine_now_ms(engine));
}

static struct request *
find_attempt_request(struct engine *engine, uint64_t number)
{
    uint64_t *task = g_hash_table_lookup(engine->task_by_attempt, &number);
    return task == NULL ? NULL : engine_find_request(engine, *task);
}

static void
on_wrote(void *ctx, struct request *request)
{
    struct engine *engine = ctx;
    if (request->attempt != 0) {
        attempts_continue(engine->attempts, request->attempt);
    }
    else {
        forwards_continue(engine->forwards, request->task);
    }
}

static bool
on_stream(void *ctx, uint64_t number, const struct answer_head *head)
{
    struct engine *engine = ctx;
    struct request *request = find_attempt_request(engine, number);
    return request != NULL && request_stream_start(request, head, on_wrote);
}

static void
on_data(void *ctx, uint64_t number, GBytes *piece)
{
    struct engine *engine = ctx;
    struct request *request = find_attempt_request(engine, number);
    if (request == NULL || request->streaming == NULL) {
        attempts_abort(engine->attempts, number);
        return;
    }
    request_stream_data(request, piece);
}

/* Ends a request whose answer was streamed. There is no retry: the caller
 * already has part of the answer. */
static void
finish_stream(struct engine *engine, struct request *request,
              enum attempt_result result, enum reason reason, bool task_ended)
{
    uint64_t attempt = 0;
    bool complete = result == ATTEMPT_DONE;
    if (!task_ended) {
        dispatch_cancel(engine->dispatch, request->task, &attempt,
                        engine_now_ms(engine));
    }
    request_stream_end(request, complete);
    struct answer *answer =
        answer_create(complete ? OUTCOME_DONE : OUTCOME_UNKNOWN, reason);
    answer->host = g_strdup(request->host);
    engine_finish(engine, request, answer);
    answer_destroy(answer);
}

static struct answer *
final_answer(enum attempt_result result, enum reason reason,
             struct answer *answer)
{
    if (answer != NULL) {
        return answer;
    }
    switch (result) {
    case ATTEMPT_LOST:
        return answer_create(OUTCOME_UNKNOWN, reason);
    case ATTEMPT_STOPPED:
        return answer_create(OUTCOME_UNKNOWN, REASON_CANCELLED);
    default:
        return answer_create(OUTCOME_NOT_RUN, reason);
    }
}

static void
on_ended(void *ctx, uint64_t number, enum attempt_result result,
         enum reason reason, struct answer *answer)
{
    struct engine *engine = ctx;
    struct request *request = remove_attempt(engine, number);
    bool task_ended = dispatch_attempt_ended(engine->dispatch, number, result,
                                             engine_now_ms(engine));
    if (request == NULL) {
        answer_destroy(answer);
        engine_run_actions(engine);
        return;
    }
    if (request->streaming != NULL ||
        (result == ATTEMPT_DONE && answer == NULL)) {
        finish_stream(engine, request, result, reason, task_ended);
    }
    else if (task_ended) {
        struct answer *final = final_answer(result, reason, answer);
        engine_finish(engine, request, final);
        answer_destroy(final);
    }
    else {
        log_line(LOG_LEVEL_INFO, "retry",
                 "task=%s host=%s result=%d reason=%s", request->task_name,
                 log_quote(request->host), result, reason_name(reason));
        answer_destroy(request->last_failure);
        request->last_failure = answer;
    }
    engine_run_actions(engine);
}

static bool
on_forward_stream(void *ctx, uint64_t task, const struct answer_head *head)
{
    struct engine *engine = ctx;
    struct request *request = engine_find_request(engine, task);
    return request != NULL && request_stream_start(request, head, on_wrote);
}

static void
on_forward_data(void *ctx, uint64_t task, GBytes *piece)
{
    struct engine *engine = ctx;
    struct request *request = engine_find_request(engine, task);
    if (request == NULL || request->streaming == NULL) {
        forwards_abort(engine->forwards, task);
        return;
    }
    request_stream_data(request, piece);
}

/* An earlier request of the same id may have run, unless the caller declared
 * that this is the first. */
static struct answer *
owner_answer(const struct request *request, enum attempt_result result,
             struct answer *answer)
{
    if (answer != NULL) {
        return answer;
    }
    if (result == ATTEMPT_NOT_SENT && request->first_attempt) {
        return answer_create(OUTCOME_NOT_RUN, REASON_ID_OWNER_GONE);
    }
    return answer_create(OUTCOME_UNKNOWN, REASON_ID_OWNER_GONE);
}

static void
owner_forward_ended(struct engine *engine, struct request *request,
                    enum attempt_result result, struct answer *answer)
{
    if (request->streaming != NULL) {
        finish_stream(engine, request, result, REASON_BACKEND_LOST, true);
        answer_destroy(answer);
        return;
    }
    struct answer *final = owner_answer(request, result, answer);
    engine_finish(engine, request, final);
    answer_destroy(final);
}

static void
dispatched_forward_ended(struct engine *engine, struct request *request,
                         enum attempt_result result, struct answer *answer,
                         bool task_ended)
{
    if (request->streaming != NULL ||
        (result == ATTEMPT_DONE && answer == NULL)) {
        finish_stream(engine, request, result, REASON_BACKEND_LOST,
                      task_ended);
        answer_destroy(answer);
        return;
    }
    if (task_ended) {
        answer = final_answer(result, REASON_BACKEND_LOST, answer);
        engine_finish(engine, request, answer);
    }
    answer_destroy(answer);
}

void
engine_forward_ended(struct engine *engine, uint64_t task,
                     enum attempt_result result, struct answer *answer)
{
    struct request *request = engine_find_request(engine, task);
    if (request != NULL && request->role == ROLE_FORWARD) {
        owner_forward_ended(engine, request, result, answer);
        return;
    }
    bool task_ended = dispatch_forward_ended(engine->dispatch, task, result,
                                             engine_now_ms(engine));
    if (request != NULL) {
        dispatched_forward_ended(engine, request, result, answer, task_ended);
    }
    else {
        answer_destroy(answer);
    }
    engine_run_actions(engine);
}

static void
on_forward_ended(void *ctx, uint64_t task, enum attempt_result result,
                 struct answer *answer)
{
    engine_forward_ended(ctx, task, result, answer);
}

void
engine_create_attempts(struct engine *engine)
{
    engine->attempts = attempts_create(&(struct attempts_options){
        .counters = engine->options.counters,
        .clock = engine->options.clock,
        .connect_timeout_ms = engine->options.settings->connect_timeout_ms,
        .host_connections = HOST_CONNECTIONS_MAX,
        .handler =
            {
                .may_send = on_may_send,
                .sent = on_sent,
                .ended = on_ended,
                .stream = on_stream,
                .data = on_data,
                .resolved = on_resolved,
                .load = on_load,
                .ctx = engine,
            },
    });
}

void
engine_create_forwards(struct engine *engine)
{
    engine->forwards = forwards_create(&(struct forwards_options){
        .secret = engine->options.secret,
        .clock = engine->options.clock,
        .connect_timeout_ms = engine->options.settings->connect_timeout_ms,
        .ended = on_forward_ended,
        .stream = on_forward_stream,
        .data = on_forward_data,
        .ctx = engine,
    });
}
