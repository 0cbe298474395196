/* Transactions whose answers from the store are lost. */
#include <signal.h>

#include "../suite.h"
#include "egretjobd/committer.h"
#include "net/http_server.h"

enum {
    TIMEOUT_MS = 1000,
    /* Well before the timeout, after the second attempt. */
    PROMPT_MS = 400,
    POLL_US = 2500,
    WITHHELD_MAX = 8,
};

#define STORE_ADDRESS "127.0.0.1:20921"

/**
 * struct lossy_store - store that leaves most requests without an answer
 * @answers_every: it answers one request in this many
 * @refuses: its answers are refusals
 * @withheld: requests without an answer
 */
struct lossy_store {
    int answers_every;
    bool refuses;
    int requests;
    struct http_exchange *withheld[WITHHELD_MAX];
    int n_withheld;
};

struct outcome_seen {
    int outcome;
    int count;
};

static void
on_request(void *ctx, struct http_exchange *exchange)
{
    struct lossy_store *store = ctx;
    store->requests++;
    if (store->requests % store->answers_every != 0) {
        store->withheld[store->n_withheld++] = exchange;
        return;
    }
    if (store->refuses) {
        http_exchange_reply(exchange, 503, NULL);
        return;
    }
    http_exchange_reply(exchange, 412,
                        "{\"items\":[{\"key\":\"a\",\"revision\":7}]}");
}

static void
keep_outcome(void *ctx, const struct kv_result *result)
{
    struct outcome_seen *seen = ctx;
    seen->outcome = (int)result->outcome;
    seen->count++;
}

/* Commits once to @store; returns the outcome seen within @within_ms. */
static struct outcome_seen
commit_once(struct lossy_store *store, int within_ms)
{
    struct event_base *base = event_base_new();
    struct http_server *server =
        http_server_create(base, STORE_ADDRESS, on_request, store);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    struct committer *committer = committer_create(
        base, STORE_ADDRESS, TIMEOUT_MS, (struct kv_route){0});
    struct kv_condition condition = {.key = "a"};
    struct kv_put put = {.key = "a", .value = "x"};
    struct kv_txn txn = {
        .conditions = &condition,
        .n_conditions = 1,
        .puts = &put,
        .n_puts = 1,
    };
    struct outcome_seen seen = {.outcome = -1};
    committer_commit(committer, &txn,
                     (struct kv_done){.call = keep_outcome, .ctx = &seen});
    for (int i = 0; i < within_ms * 1000 / POLL_US && seen.count == 0; i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        g_usleep(POLL_US);
    }
    committer_destroy(committer);
    for (int i = 0; i < store->n_withheld; i++) {
        http_exchange_reply(store->withheld[i], 503, NULL);
    }
    event_base_loop(base, EVLOOP_NONBLOCK);
    http_server_destroy(server);
    event_base_free(base);
    return seen;
}

/* The answer to the first attempt is lost; the second attempt learns the
 * outcome of the transaction long before the timeout. */
static void
test_lost_answer_is_retried_soon(void)
{
    struct lossy_store store = {.answers_every = 2};
    struct outcome_seen seen = commit_once(&store, PROMPT_MS);
    CU_ASSERT_EQUAL(seen.count, 1);
    CU_ASSERT_EQUAL(seen.outcome, KV_CONFLICT);
    CU_ASSERT_EQUAL(store.requests, 2);
}

/* One attempt got no answer, the other was refused: the first may have been
 * carried out, so the outcome must not be KV_REFUSED. */
static void
test_refusal_after_no_answer_is_unknown(void)
{
    struct lossy_store store = {.answers_every = 2, .refuses = true};
    struct outcome_seen seen = commit_once(&store, 2 * TIMEOUT_MS);
    CU_ASSERT_EQUAL(seen.count, 1);
    CU_ASSERT_EQUAL(seen.outcome, KV_UNKNOWN);
}

/* If the only attempt is refused, the outcome is KV_REFUSED, without delay. */
static void
test_refusal_is_reported(void)
{
    struct lossy_store store = {.answers_every = 1, .refuses = true};
    struct outcome_seen seen = commit_once(&store, PROMPT_MS);
    CU_ASSERT_EQUAL(seen.outcome, KV_REFUSED);
    CU_ASSERT_EQUAL(store.requests, 1);
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    static const struct suite_test tests[] = {
        {"a lost answer is retried soon", test_lost_answer_is_retried_soon},
        {"a refusal after no answer is unknown",
         test_refusal_after_no_answer_is_unknown},
        {"a refusal is reported", test_refusal_is_reported},
    };
    return suite_main("committer", tests, sizeof(tests) / sizeof(tests[0]));
}
