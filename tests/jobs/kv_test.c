/* The client of the store when its way changes between calls. */
#include <signal.h>

#include "../suite.h"
#include "net/http_server.h"
#include "platform/kv.h"

enum {
    TIMEOUT_MS = 300,
    TURNS_MAX = 400,
    TURN_US = 2500,
};

#define SILENT_ADDRESS "127.0.0.1:20911"
#define SERVING_ADDRESS "127.0.0.1:20912"

struct way {
    const char *relay;
    int reports;
    char *failed;
};

/* Keeps the request without an answer until the end of the test. */
static void
never_answer(void *ctx, struct http_exchange *exchange)
{
    *(struct http_exchange **)ctx = exchange;
}

static void
answer_missing(void *ctx, struct http_exchange *exchange)
{
    (void)ctx;
    http_exchange_reply(exchange, 404, "{}");
}

static const char *
choose_relay(void *ctx)
{
    return ((struct way *)ctx)->relay;
}

static void
count_report(void *ctx, const char *relay, int status)
{
    struct way *way = ctx;
    way->reports++;
    if (status == 0) {
        g_free(way->failed);
        way->failed = g_strdup(relay);
    }
}

static void
keep_outcome(void *ctx, const struct kv_result *result)
{
    *(int *)ctx = (int)result->outcome;
}

/* A call that waits at one peer gets its end although the next call goes
 * through another; without it its caller would wait for good. */
static void
test_switch_completes_calls(void)
{
    struct event_base *base = event_base_new();
    struct http_exchange *kept = NULL;
    struct http_server *silent =
        http_server_create(base, SILENT_ADDRESS, never_answer, &kept);
    struct http_server *serving =
        http_server_create(base, SERVING_ADDRESS, answer_missing, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(silent);
    CU_ASSERT_PTR_NOT_NULL_FATAL(serving);
    struct way way = {.relay = SILENT_ADDRESS};
    struct kv_route path = {
        .relay = choose_relay, .report = count_report, .ctx = &way};
    struct kv *kv = kv_create(base, SERVING_ADDRESS, TIMEOUT_MS, path);

    int first = -1;
    int second = -1;
    kv_get(kv, "a", (struct kv_done){.call = keep_outcome, .ctx = &first});
    event_base_loop(base, EVLOOP_NONBLOCK);
    way.relay = SERVING_ADDRESS;
    kv_get(kv, "b", (struct kv_done){.call = keep_outcome, .ctx = &second});
    for (int i = 0; i < TURNS_MAX && (first < 0 || second < 0); i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        g_usleep(TURN_US);
    }
    CU_ASSERT_EQUAL(first, KV_UNKNOWN);
    CU_ASSERT_EQUAL(second, KV_NOT_FOUND);
    CU_ASSERT_EQUAL(way.reports, 2);
    /* The failure is laid to the peer that the call went through. */
    CU_ASSERT_STRING_EQUAL(way.failed, SILENT_ADDRESS);
    g_free(way.failed);
    kv_destroy(kv);
    if (kept != NULL) {
        http_exchange_reply(kept, 503, NULL);
    }
    event_base_loop(base, EVLOOP_NONBLOCK);
    http_server_destroy(serving);
    http_server_destroy(silent);
    event_base_free(base);
}

/* Nothing listens: the call was certainly not carried out, and its caller may
 * be told so. One that was read and got no answer may have been. */
static void
test_unsent_call_is_refused(void)
{
    struct event_base *base = event_base_new();
    struct http_exchange *kept = NULL;
    struct http_server *silent =
        http_server_create(base, SILENT_ADDRESS, never_answer, &kept);
    CU_ASSERT_PTR_NOT_NULL_FATAL(silent);
    struct kv_route path = {0};
    struct kv *unsent = kv_create(base, SERVING_ADDRESS, TIMEOUT_MS, path);
    struct kv *unanswered = kv_create(base, SILENT_ADDRESS, TIMEOUT_MS, path);
    int first = -1;
    int second = -1;
    kv_get(unsent, "a", (struct kv_done){.call = keep_outcome, .ctx = &first});
    kv_get(unanswered, "a",
           (struct kv_done){.call = keep_outcome, .ctx = &second});
    for (int i = 0; i < TURNS_MAX && (first < 0 || second < 0); i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        g_usleep(TURN_US);
    }
    CU_ASSERT_EQUAL(first, KV_REFUSED);
    CU_ASSERT_EQUAL(second, KV_UNKNOWN);
    kv_destroy(unsent);
    kv_destroy(unanswered);
    if (kept != NULL) {
        http_exchange_reply(kept, 503, NULL);
    }
    event_base_loop(base, EVLOOP_NONBLOCK);
    http_server_destroy(silent);
    event_base_free(base);
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    static const struct suite_test tests[] = {
        {"a change of the way completes calls", test_switch_completes_calls},
        {"an unsent call is refused", test_unsent_call_is_refused},
    };
    return suite_main("store client", tests, sizeof(tests) / sizeof(tests[0]));
}
