#include "egretd/claims.h"

#include "common/log.h"
#include "core/request_ids.h"
#include "egretd/answer_codec.h"
#include "egretd/id_querier.h"

enum {
    RETAINED_ANSWER_MAX_BYTES = 64 << 10,
    RETAINED_TOTAL_MAX_BYTES = 8 << 20,
};

struct claims {
    struct claims_options options;
    /* Size of all retained answers, which may outlive the claims. */
    int64_t *retained_bytes;
    char *self;
    struct request_ids *ids;
    struct id_querier *querier;
};

static int64_t
now_ms(const struct claims *claims)
{
    return ms_clock_now(&claims->options.clock);
}

/* Covers the queue, too: the same body for another queue is another
 * request. */
static char *
hash_body(const struct request *request)
{
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
    gsize size_bytes;
    const guchar *data = g_bytes_get_data(request->body, &size_bytes);
    g_checksum_update(sum, (const guchar *)request->queue,
                      (gssize)strlen(request->queue) + 1);
    g_checksum_update(sum, data, (gssize)size_bytes);
    char *hash = g_strdup(g_checksum_get_string(sum));
    g_checksum_free(sum);
    return hash;
}

static void
query_peer(struct claims *claims, const char *team, const char *id,
           const char *peer)
{
    struct peer_http_address address = {""};
    /* An unknown address is replaced by one that refuses connections: the
     * query fails like one that can't reach its peer, after this call. */
    claims->options.find_peer(claims->options.ctx, peer, &address);
    id_querier_send(
        claims->querier,
        &(struct id_query){
            .address = address.text[0] == '\0' ? "127.0.0.1:1" : address.text,
            .peer = peer,
            .querier = claims->self,
            .team = team,
            .id = id,
        });
}

static struct answer *
decision_answer(const struct request_decision *decision)
{
    struct answer *answer = NULL;
    if (decision->answer != NULL) {
        answer = answer_decode(decision->answer);
    }
    if (answer == NULL) {
        answer = answer_create(decision->outcome, decision->reason);
        if (answer->outcome == OUTCOME_DONE) {
            answer->reason = REASON_ANSWER_NOT_KEPT;
        }
    }
    return answer;
}

static void
answer_all(struct claims *claims, const struct request_decision *decision,
           const uint64_t *tasks, const struct answer *own)
{
    struct answer *answer =
        own == NULL ? decision_answer(decision) : answer_copy(own);
    for (size_t i = 0; i < decision->n_tasks; i++) {
        claims->options.answer(claims->options.ctx, tasks[i], answer);
    }
    answer_destroy(answer);
}

static void
carry_out(struct claims *claims, const char *team, const char *id,
          const struct request_decision *decision, const struct answer *own)
{
    /* Copied, since callbacks may call claims functions, which invalidates the
     * decision. */
    uint64_t *tasks =
        g_memdup2(decision->tasks, decision->n_tasks * sizeof(*tasks));
    char *peer = g_strdup(decision->peer);
    size_t n_tasks = decision->n_tasks;
    switch (decision->verdict) {
    case REQUEST_RUN:
        claims->options.run(claims->options.ctx, tasks[0]);
        break;
    case REQUEST_WAIT:
        break;
    case REQUEST_QUERY:
        query_peer(claims, team, id, peer);
        break;
    case REQUEST_FORWARD:
        for (size_t i = 0; i < n_tasks; i++) {
            claims->options.forward(claims->options.ctx, tasks[i], peer);
        }
        break;
    case REQUEST_ANSWER:
        answer_all(claims, decision, tasks, own);
        break;
    }
    g_free(peer);
    g_free(tasks);
}

static void
on_reply(void *ctx, const char *team, const char *id, const char *peer,
         const struct id_query_reply *reply)
{
    struct claims *claims = ctx;
    struct request_decision decision;
    request_ids_query_answered(claims->ids, team, id, peer, reply,
                               now_ms(claims), &decision);
    log_line(LOG_LEVEL_INFO, "id-told",
             "team=%s request=%s peer=%s knowledge=%d verdict=%d", team, id,
             peer, reply->result, decision.verdict);
    carry_out(claims, team, id, &decision, NULL);
}

void
claims_submit(struct claims *claims, const struct request *request)
{
    struct request_decision decision;
    uint64_t task = request->task;
    char *hash = hash_body(request);
    char *team = g_strdup(request->team);
    char *id = g_strdup(request->request_id);
    request_ids_claim(claims->ids,
                      &(struct request_id){
                          .team = team,
                          .id = id,
                          .body_hash_hex = hash,
                          .task = request->task,
                          .first_attempt = request->first_attempt,
                          .hops = request->hops,
                      },
                      now_ms(claims), &decision);
    if (decision.n_tasks == 0) {
        /* The verdict applies to this request alone, not to others that wait
         * for the id. */
        decision.tasks = &task;
        decision.n_tasks = 1;
    }
    if (decision.reason == REASON_NO_QUORUM_LEASE && !request->first_attempt) {
        /* No owner was found to rule out that an earlier attempt ran. */
        decision.outcome = OUTCOME_UNKNOWN;
    }
    carry_out(claims, team, id, &decision, NULL);
    g_free(id);
    g_free(team);
    g_free(hash);
}

struct retained_answer {
    GBytes *bytes;
    int64_t *total_bytes;
};

static void
retained_answer_destroy(void *data)
{
    struct retained_answer *retained = data;
    *retained->total_bytes -= (int64_t)g_bytes_get_size(retained->bytes);
    g_rc_box_release(retained->total_bytes);
    g_bytes_unref(retained->bytes);
    g_free(retained);
}

/* Encoded answer for repeated requests; NULL when the size limits don't allow
 * to retain it. */
static GBytes *
retain_answer(struct claims *claims, const struct answer *answer)
{
    GBytes *bytes = answer_encode(answer);
    if (bytes == NULL) {
        return NULL;
    }
    gsize size_bytes;
    const void *data = g_bytes_get_data(bytes, &size_bytes);
    if (size_bytes > RETAINED_ANSWER_MAX_BYTES ||
        *claims->retained_bytes + (int64_t)size_bytes >
            RETAINED_TOTAL_MAX_BYTES) {
        g_bytes_unref(bytes);
        return NULL;
    }
    struct retained_answer *retained = g_new0(struct retained_answer, 1);
    retained->bytes = bytes;
    retained->total_bytes = g_rc_box_acquire(claims->retained_bytes);
    *retained->total_bytes += (int64_t)size_bytes;
    return g_bytes_new_with_free_func(data, size_bytes,
                                      retained_answer_destroy, retained);
}

void
claims_finished(struct claims *claims, const struct request *request,
                const struct answer *answer)
{
    struct request_decision decision;
    GBytes *retained = retain_answer(claims, answer);
    char *team = g_strdup(request->team);
    char *id = g_strdup(request->request_id);
    request_ids_finished(claims->ids, team, id, answer->outcome,
                         answer->reason, retained, now_ms(claims), &decision);
    carry_out(claims, team, id, &decision, answer);
    g_clear_pointer(&retained, g_bytes_unref);
    g_free(id);
    g_free(team);
}

const char *
claims_owner(const struct claims *claims, const char *team, const char *id)
{
    return request_ids_owner(claims->ids, team, id);
}

char *
claims_answer_query(struct claims *claims, const char *team, const char *id,
                    const char *querier)
{
    struct id_query_reply reply;
    request_ids_query(claims->ids, team, id, querier, now_ms(claims), &reply);
    return id_query_reply_format(&reply);
}

void
claims_set_members(struct claims *claims, const struct gateway_member *members,
                   size_t n_members, uint64_t epoch)
{
    const char **names = g_new0(const char *, n_members);
    size_t n_live = 0;
    for (size_t i = 0; i < n_members; i++) {
        if (members[i].live) {
            names[n_live++] = members[i].incarnation;
        }
    }
    request_ids_set_members(claims->ids, names, n_live, epoch, now_ms(claims));
    g_free(names);
}

struct claims *
claims_create(const struct claims_options *options)
{
    struct claims *claims = g_new0(struct claims, 1);
    claims->options = *options;
    claims->self = g_strdup(options->self);
    claims->retained_bytes = g_rc_box_new0(int64_t);
    claims->ids = request_ids_create(&(struct request_ids_options){
        .self = claims->self,
        .max_entries = CLAIMS_ENTRIES_MAX,
        .retention_ms = options->retention_ms,
    });
    claims->querier = id_querier_create(&(struct id_querier_options){
        .secret = options->secret,
        .timeout_ms = options->timeout_ms,
        .replied = on_reply,
        .ctx = claims,
    });
    return claims;
}

void
claims_destroy(struct claims *claims)
{
    if (claims == NULL) {
        return;
    }
    id_querier_destroy(claims->querier);
    request_ids_destroy(claims->ids);
    g_rc_box_release(claims->retained_bytes);
    g_free(claims->self);
    g_free(claims);
}
