#include "common/log.h"
#include "engine_state.h"

static void
on_run(void *ctx, uint64_t task)
{
    struct engine *engine = ctx;
    struct request *request = engine_find_request(engine, task);
    if (request == NULL) {
        return;
    }
    request->role = ROLE_RUN;
    request->claimed = true;
    engine_run_request(engine, request);
}

static void
on_forward(void *ctx, uint64_t task, const char *peer)
{
    struct engine *engine = ctx;
    struct request *request = engine_find_request(engine, task);
    struct forward_target target;
    if (request == NULL) {
        return;
    }
    request->role = ROLE_FORWARD;
    if (!engine->options.find_peer(engine->options.ctx, peer, &target)) {
        engine_forward_ended(engine, task, ATTEMPT_NOT_SENT, NULL);
        return;
    }
    const struct config_queue *queue =
        engine->options.find_queue(engine->options.ctx, request->queue);
    int64_t timeout_ms = FORWARD_GRACE_MS;
    if (queue != NULL) {
        timeout_ms += queue->start_deadline_ms + queue->max_run_ms;
    }
    log_line(LOG_LEVEL_INFO, "send-on",
             "task=%s request=%s team=%s queue=%s peer=%s", request->task_name,
             log_quote(request->request_id), request->team, request->queue,
             peer);
    forwards_start(engine->forwards, &(struct forward_params){
                                         .request = request,
                                         .address = target.address,
                                         .to_owner = true,
                                         .timeout_ms = timeout_ms,
                                     });
}

static void
on_answer(void *ctx, uint64_t task, const struct answer *answer)
{
    struct engine *engine = ctx;
    struct request *request = engine_find_request(engine, task);
    if (request != NULL) {
        request->claimed = false;
        engine_finish(engine, request, answer);
    }
}

static bool
on_find_peer(void *ctx, const char *peer, struct peer_http_address *address)
{
    struct engine *engine = ctx;
    struct forward_target target;
    if (!engine->options.find_peer(engine->options.ctx, peer, &target)) {
        return false;
    }
    g_strlcpy(address->text, target.address, sizeof(address->text));
    return true;
}

void
engine_create_claims(struct engine *engine)
{
    engine->claims = claims_create(&(struct claims_options){
        .self = engine->incarnation,
        .secret = engine->options.secret,
        .retention_ms = engine->options.settings->id_retention_ms,
        .timeout_ms = engine->options.settings->connect_timeout_ms,
        .clock = engine->options.clock,
        .run = on_run,
        .forward = on_forward,
        .answer = on_answer,
        .find_peer = on_find_peer,
        .ctx = engine,
    });
}

bool
engine_needs_claim(const struct request *request)
{
    return request->request_id != NULL && !request->idempotent &&
           (!request->forwarded || request->to_owner);
}

void
engine_set_members(struct engine *engine, const struct gateway_member *members,
                   size_t n_members, uint64_t epoch)
{
    claims_set_members(engine->claims, members, n_members, epoch);
}

/* Other gateways treat ids that the old incarnation owned as lost: requests
 * that wait for such an id end with an unknown outcome. */
static void
drop_claims(struct engine *engine)
{
    GList *requests = g_hash_table_get_values(engine->requests);
    for (GList *link = requests; link != NULL; link = link->next) {
        struct request *request = link->data;
        request->claimed = false;
        if (request->role == ROLE_WAIT) {
            struct answer *answer =
                answer_create(OUTCOME_UNKNOWN, REASON_ID_OWNER_GONE);
            engine_finish(engine, request, answer);
            answer_destroy(answer);
        }
    }
    g_list_free(requests);
}

void
engine_set_incarnation(struct engine *engine, const char *incarnation)
{
    if (engine->claims != NULL) {
        drop_claims(engine);
        claims_destroy(engine->claims);
    }
    g_free(engine->incarnation);
    engine->incarnation = g_strdup(incarnation);
    engine_create_claims(engine);
}

char *
engine_answer_query(struct engine *engine, const char *team, const char *id,
                    const char *querier)
{
    return claims_answer_query(engine->claims, team, id, querier);
}

bool
engine_find_owner(struct engine *engine, const char *team,
                  const char *request_id, struct forward_target *target)
{
    const char *owner = claims_owner(engine->claims, team, request_id);
    return owner != NULL &&
           engine->options.find_peer(engine->options.ctx, owner, target);
}
