#include "egretjobd/committer.h"

#include <string.h>

#include "egretjobd/node.h"

enum {
    ATTEMPT_COUNT = 2,
    /* The store usually answers within milliseconds, and within a few tenths
     * of a second when it is slow. */
    RETRY_AFTER_MS = 150,
};

/**
 * struct commit_attempt - one connection and its last attempt
 * @number: number of the transaction that was sent last
 */
struct commit_attempt {
    struct committer *committer;
    struct kv *kv;
    uint64_t number;
};

/**
 * struct committer - the open transaction
 * @number: number of the open transaction; answers to earlier ones are ignored
 * @open_attempts: attempts without an answer
 * @outcome_unknown: an attempt got no answer
 * @body: what is sent, or NULL if none is open
 */
struct committer {
    struct commit_attempt attempts[ATTEMPT_COUNT];
    struct event *retry_timer;
    uint64_t number;
    uint32_t open_attempts;
    bool outcome_unknown;
    char *body;
    struct kv_done done;
};

static void
finish(struct committer *committer, const struct kv_result *result)
{
    evtimer_del(committer->retry_timer);
    g_free(committer->body);
    committer->body = NULL;
    committer->number++;
    committer->done.call(committer->done.ctx, result);
}

static void
on_answer(void *ctx, const struct kv_result *result)
{
    struct commit_attempt *attempt = ctx;
    struct committer *committer = attempt->committer;
    if (attempt->number != committer->number) {
        return;
    }
    committer->open_attempts--;
    bool known =
        result->outcome != KV_UNKNOWN && result->outcome != KV_REFUSED;
    if (known) {
        finish(committer, result);
        return;
    }
    committer->outcome_unknown =
        committer->outcome_unknown || result->outcome == KV_UNKNOWN;
    if (committer->open_attempts > 0) {
        return;
    }
    struct kv_result worst = *result;
    worst.outcome = committer->outcome_unknown ? KV_UNKNOWN : KV_REFUSED;
    finish(committer, &worst);
}

static void
attempt_send(struct committer *committer, struct commit_attempt *attempt)
{
    attempt->number = committer->number;
    committer->open_attempts++;
    kv_commit_encoded(attempt->kv, committer->body,
                      (struct kv_done){.call = on_answer, .ctx = attempt});
}

/* A connection that still waits for an earlier answer may be unresponsive; the
 * one that answered last is idle. */
static struct commit_attempt *
least_busy(struct committer *committer)
{
    struct commit_attempt *best = &committer->attempts[0];
    for (size_t i = 1; i < ATTEMPT_COUNT; i++) {
        if (kv_pending(committer->attempts[i].kv) < kv_pending(best->kv)) {
            best = &committer->attempts[i];
        }
    }
    return best;
}

static void
on_retry_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct committer *committer = ctx;
    struct commit_attempt *attempt = least_busy(committer);
    if (kv_pending(attempt->kv) == 0) {
        attempt_send(committer, attempt);
    }
}

struct committer *
committer_create(struct event_base *base, const char *address,
                 int64_t timeout_ms, struct kv_route route)
{
    struct committer *committer = g_new0(struct committer, 1);
    for (size_t i = 0; i < ATTEMPT_COUNT; i++) {
        committer->attempts[i] = (struct commit_attempt){
            .committer = committer,
            .kv = kv_create(base, address, timeout_ms, route),
        };
    }
    committer->retry_timer = evtimer_new(base, on_retry_timer, committer);
    return committer;
}

void
committer_destroy(struct committer *committer)
{
    if (committer == NULL) {
        return;
    }
    for (size_t i = 0; i < ATTEMPT_COUNT; i++) {
        kv_destroy(committer->attempts[i].kv);
    }
    event_free(committer->retry_timer);
    g_free(committer->body);
    g_free(committer);
}

void
committer_commit(struct committer *committer, const struct kv_txn *txn,
                 struct kv_done done)
{
    committer->body = kv_txn_encode(txn);
    committer->done = done;
    committer->open_attempts = 0;
    committer->outcome_unknown = false;
    attempt_send(committer, least_busy(committer));
    timer_set(committer->retry_timer, RETRY_AFTER_MS);
}
