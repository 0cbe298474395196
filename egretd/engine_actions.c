#include "common/log.h"
#include "engine_state.h"

enum {
    WAKE_DELAY_MAX_MS = 60000,
};

static void
start_attempt(struct engine *engine, struct request *request,
              const struct dispatch_action *action)
{
    uint64_t *number = g_new(uint64_t, 1);
    uint64_t *task = g_new(uint64_t, 1);
    *number = action->attempt;
    *task = action->task;
    g_hash_table_insert(engine->task_by_attempt, number, task);
    request->attempt = action->attempt;
    g_free(request->host);
    request->host = g_strdup(action->host);
    char *name = g_strdup_printf("%s-%" G_GUINT64_FORMAT, engine->incarnation,
                                 action->attempt);
    log_line(LOG_LEVEL_INFO, "route",
             "task=%s attempt=%s request=%s team=%s queue=%s host=%s "
             "lease_ms=%" G_GINT64_FORMAT,
             request->task_name, name, log_quote(request->request_id),
             request->team, request->queue, action->host, action->lease_ms);
    attempts_start(engine->attempts, &(struct attempt_params){
                                         .number = action->attempt,
                                         .task_name = name,
                                         .host = action->host,
                                         .address = action->address,
                                         .team = request->team,
                                         .queue = request->queue,
                                         .request_id = request->request_id,
                                         .content_type = request->content_type,
                                         .body = request->body,
                                         .idempotent = request->idempotent,
                                         .lease_ms = action->lease_ms,
                                     });
    g_free(name);
}

static void
start_forward(struct engine *engine, struct request *request,
              const struct dispatch_action *action)
{
    struct forward_target target;
    if (!engine->options.find_peer(engine->options.ctx, action->peer,
                                   &target)) {
        engine_forward_ended(engine, action->task, ATTEMPT_NOT_SENT, NULL);
        return;
    }
    log_line(LOG_LEVEL_INFO, "forward",
             "task=%s request=%s team=%s queue=%s peer=%s", request->task_name,
             log_quote(request->request_id), request->team, request->queue,
             action->peer);
    forwards_start(engine->forwards,
                   &(struct forward_params){
                       .request = request,
                       .address = target.address,
                       .timeout_ms = action->lease_ms + FORWARD_GRACE_MS,
                   });
}

static void
refuse(struct engine *engine, struct request *request,
       const struct dispatch_action *action)
{
    struct answer *answer;
    if (request->last_failure != NULL &&
        (action->outcome == OUTCOME_DONE ||
         action->reason == REASON_NEVER_RUNS)) {
        /* Each attempt that ran failed: the caller gets the last failure. */
        answer = answer_copy(request->last_failure);
        answer->reason = action->reason;
    }
    else {
        answer = answer_create(action->outcome, action->reason);
        answer->retry_after_ms = action->retry_after_ms;
    }
    engine_finish(engine, request, answer);
    answer_destroy(answer);
}

static void
run_action(struct engine *engine, const struct dispatch_action *action)
{
    struct request *request = engine_find_request(engine, action->task);
    if (request == NULL) {
        return;
    }
    switch (action->type) {
    case DISPATCH_START:
        start_attempt(engine, request, action);
        return;
    case DISPATCH_FORWARD:
        start_forward(engine, request, action);
        return;
    case DISPATCH_REFUSE:
        refuse(engine, request, action);
        return;
    }
}

static gboolean
on_wake(void *data)
{
    struct engine *engine = data;
    engine->wake_source = 0;
    engine_run_actions(engine);
    return G_SOURCE_REMOVE;
}

/* An earlier timer is left as it is and schedules the next one when it fires:
 * that is cheaper than replacing the timer for every request. */
static void
schedule_wake(struct engine *engine)
{
    int64_t now_ms = engine_now_ms(engine);
    int64_t at_ms = dispatch_wake_ms(engine->dispatch, now_ms);
    if (engine->wake_source != 0 && engine->wake_at_ms <= at_ms) {
        return;
    }
    if (engine->wake_source != 0) {
        g_source_remove(engine->wake_source);
        engine->wake_source = 0;
    }
    if (at_ms == INT64_MAX) {
        return;
    }
    int64_t delay_ms = CLAMP(at_ms - now_ms, 1, WAKE_DELAY_MAX_MS);
    engine->wake_at_ms = now_ms + delay_ms;
    engine->wake_source = g_timeout_add((guint)delay_ms, on_wake, engine);
}

void
engine_run_actions(struct engine *engine)
{
    struct dispatch_action action;
    if (engine->running_actions) {
        return;
    }
    engine->running_actions = true;
    while (dispatch_next(engine->dispatch, engine_now_ms(engine), &action)) {
        run_action(engine, &action);
    }
    engine->running_actions = false;
    schedule_wake(engine);
}
