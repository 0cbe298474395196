#include "egretjobd/committer.h"

#include <string.h>

#include "egretjobd/node.h"

enum {
    SENDINGS = 2,
    /* The store answers in some milliseconds and, slow, in a few tenths of a
     * second. */
    AGAIN_AFTER_MS = 150,
};

/** struct sending - one connection and the transaction that it carries */
struct sending {
    struct committer *committer;
    struct kv *kv;
    uint64_t number;
};

/**
 * struct committer - the open transaction
 * @number: counts transactions; answers to earlier ones are dropped
 * @open: sendings without an answer
 * @unknown: a sending got no answer
 * @body: what is sent, or NULL if none is open
 */
struct committer {
    struct sending sendings[SENDINGS];
    struct event *again;
    uint64_t number;
    uint32_t open;
    bool unknown;
    char *body;
    struct kv_done done;
};

static void
finish(struct committer *committer, const struct kv_result *result)
{
    evtimer_del(committer->again);
    g_free(committer->body);
    committer->body = NULL;
    committer->number++;
    committer->done.call(committer->done.ctx, result);
}

static void
on_answer(void *ctx, const struct kv_result *result)
{
    struct sending *sending = ctx;
    struct committer *committer = sending->committer;
    if (sending->number != committer->number) {
        return;
    }
    committer->open--;
    bool known =
        result->outcome != KV_UNKNOWN && result->outcome != KV_REFUSED;
    if (known) {
        finish(committer, result);
        return;
    }
    committer->unknown = committer->unknown || result->outcome == KV_UNKNOWN;
    if (committer->open > 0) {
        return;
    }
    struct kv_result worst = *result;
    worst.outcome = committer->unknown ? KV_UNKNOWN : KV_REFUSED;
    finish(committer, &worst);
}

static void
send_by(struct committer *committer, struct sending *sending)
{
    sending->number = committer->number;
    committer->open++;
    kv_commit_encoded(sending->kv, committer->body,
                      (struct kv_done){.call = on_answer, .ctx = sending});
}

/* A connection that still waits for an earlier answer may wait in vain; the
 * one that gave the last answer is idle. */
static struct sending *
least_busy(struct committer *committer)
{
    struct sending *best = &committer->sendings[0];
    for (size_t i = 1; i < SENDINGS; i++) {
        if (kv_pending(committer->sendings[i].kv) < kv_pending(best->kv)) {
            best = &committer->sendings[i];
        }
    }
    return best;
}

static void
on_again(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct committer *committer = ctx;
    struct sending *sending = least_busy(committer);
    if (kv_pending(sending->kv) == 0) {
        send_by(committer, sending);
    }
}

struct committer *
committer_create(struct event_base *base, const char *address,
                 int64_t timeout_ms, struct kv_route path)
{
    struct committer *committer = g_new0(struct committer, 1);
    for (size_t i = 0; i < SENDINGS; i++) {
        committer->sendings[i] = (struct sending){
            .committer = committer,
            .kv = kv_create(base, address, timeout_ms, path),
        };
    }
    committer->again = evtimer_new(base, on_again, committer);
    return committer;
}

void
committer_destroy(struct committer *committer)
{
    if (committer == NULL) {
        return;
    }
    for (size_t i = 0; i < SENDINGS; i++) {
        kv_destroy(committer->sendings[i].kv);
    }
    event_free(committer->again);
    g_free(committer->body);
    g_free(committer);
}

void
committer_commit(struct committer *committer, const struct kv_txn *txn,
                 struct kv_done done)
{
    committer->body = kv_txn_encode(txn);
    committer->done = done;
    committer->open = 0;
    committer->unknown = false;
    send_by(committer, least_busy(committer));
    timer_set(committer->again, AGAIN_AFTER_MS);
}
