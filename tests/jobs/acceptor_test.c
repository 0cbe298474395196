/* Jobs that entry hosts forward to a leader whose store answers late. */
#include <signal.h>
#include <string.h>

#include "../suite.h"
#include "common/ms_clock.h"
#include "egretjobd/acceptor.h"
#include "egretjobd/leadership.h"
#include "egretjobd/node.h"
#include "egretjobd/store_route.h"
#include "net/http_server.h"
#include "platform/kv.h"

#define STORE_ADDRESS "127.0.0.1:20971"

enum {
    /* More than all transactions that are open at once hold. */
    JOBS = 200,
    BATCH_GAP_MS = 40,
    BATCHES = 10,
    WITHHELD_MAX = 64,
    POLLS = 40,
    POLL_US = 2500,
    /* A peer gives a forwarded call up after this time. */
    PEER_TIMEOUT_MS = 700,
};

/**
 * struct slow_store - store that withholds its answers
 * @withheld: transactions without an answer
 */
struct slow_store {
    struct http_exchange *withheld[WITHHELD_MAX];
    int n_withheld;
};

/** struct replies - answers to the submitted jobs, by status */
struct replies {
    int stored;
    int handed_back;
    int others;
};

static struct slow_store store;
static int64_t now_ms;

static void
on_request(void *ctx, struct http_exchange *exchange)
{
    (void)ctx;
    /* Other calls read the leader's record. */
    if (strcmp(http_exchange_method(exchange), "POST") != 0) {
        http_exchange_reply(exchange, 404, NULL);
        return;
    }
    g_assert(store.n_withheld < WITHHELD_MAX);
    store.withheld[store.n_withheld++] = exchange;
}

static void
on_answer(void *ctx, const struct job_answer *answer)
{
    struct replies *replies = ctx;
    switch (answer->status) {
    case 200:
        replies->stored++;
        break;
    case JOB_ANSWER_USE_STORE:
        replies->handed_back++;
        break;
    default:
        replies->others++;
        break;
    }
}

static void
poll_events(struct event_base *base)
{
    for (int i = 0; i < POLLS; i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        g_usleep(POLL_US);
    }
}

static void
answer_withheld(void)
{
    int n = store.n_withheld;
    store.n_withheld = 0;
    for (int i = 0; i < n; i++) {
        http_exchange_reply(store.withheld[i], 200, "{\"revision\":7}");
    }
}

static void
submit(struct acceptor *acceptor, int number, bool forwarded,
       struct replies *replies)
{
    char id[JOB_ID_CHARS + 1];
    g_snprintf(id, sizeof(id), "%016x", number);
    struct job_call call = {
        .kind = JOB_CALL_SUBMIT,
        .id = id,
        .queue = "draft",
        .pool = "notices",
        .team = "skela",
        .attempts = 1,
        .body = "{}",
        .body_bytes = 2,
        .forwarded = forwarded,
    };
    acceptor_submit(acceptor, &call,
                    (struct job_reply){.call = on_answer, .ctx = replies});
}

/* Submits more jobs than fit into open transactions, then lets the store
 * answer the first ones after @wait_ms, and the others at once. */
static void
submit_to_slow_store(bool forwarded, int64_t wait_ms, struct replies *replies)
{
    struct job_settings settings = {
        .store_address = (char *)STORE_ADDRESS,
        .node_name = (char *)"entry-1",
        .peer_address = (char *)"127.0.0.1:1",
        .value_bytes_max = 100000,
    };
    now_ms = 1000000;
    store = (struct slow_store){0};
    struct node node = {
        .base = event_base_new(),
        .settings = &settings,
        .clock = ms_clock_manual(&now_ms),
        .unix_clock = ms_clock_manual(&now_ms),
    };
    struct http_server *server =
        http_server_create(node.base, STORE_ADDRESS, on_request, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    node.store_route = store_route_create(&node);
    node.leadership = leadership_create(&node);
    struct acceptor *acceptor = acceptor_create(&node);
    for (int i = 0; i < JOBS; i++) {
        now_ms += i % (JOBS / BATCHES) == 0 ? BATCH_GAP_MS : 0;
        submit(acceptor, i, forwarded, replies);
    }
    poll_events(node.base);
    now_ms += wait_ms;
    for (int i = 0; i < JOBS; i++) {
        answer_withheld();
        event_base_loop(node.base, EVLOOP_NONBLOCK);
        g_usleep(POLL_US);
    }
    acceptor_answer_pending(acceptor);
    acceptor_destroy(acceptor);
    leadership_destroy(node.leadership);
    store_route_destroy(node.store_route);
    answer_withheld();
    event_base_loop(node.base, EVLOOP_NONBLOCK);
    http_server_destroy(server);
    event_base_free(node.base);
}

/* Guards against a leader that stores, one batch after the other, jobs that
 * their entry hosts have stored themselves meanwhile. */
static void
test_forwarded_job_is_handed_back(void)
{
    struct replies replies = {0};
    submit_to_slow_store(true, PEER_TIMEOUT_MS, &replies);
    CU_ASSERT(replies.stored > 0);
    CU_ASSERT(replies.handed_back > 0);
    CU_ASSERT_EQUAL(replies.stored + replies.handed_back, JOBS);
    CU_ASSERT_EQUAL(replies.others, 0);
}

/* The callers of this host itself have nobody else who stores their jobs. */
static void
test_own_job_waits(void)
{
    struct replies replies = {0};
    submit_to_slow_store(false, PEER_TIMEOUT_MS, &replies);
    CU_ASSERT_EQUAL(replies.stored, JOBS);
    CU_ASSERT_EQUAL(replies.handed_back, 0);
}

static void
test_forwarded_job_is_stored_in_time(void)
{
    struct replies replies = {0};
    submit_to_slow_store(true, 0, &replies);
    CU_ASSERT(replies.stored > JOBS / 2);
    CU_ASSERT_EQUAL(replies.stored + replies.handed_back, JOBS);
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    static const struct suite_test tests[] = {
        {"forwarded job is handed back", test_forwarded_job_is_handed_back},
        {"own job waits", test_own_job_waits},
        {"forwarded job is stored in time",
         test_forwarded_job_is_stored_in_time},
    };
    return suite_main("acceptor", tests, G_N_ELEMENTS(tests));
}
