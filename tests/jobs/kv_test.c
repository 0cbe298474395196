/* The store client when its route changes between calls. */
#include <signal.h>

#include "../suite.h"
#include "net/http_server.h"
#include "platform/kv.h"

enum {
    TIMEOUT_MS = 300,
    POLLS_MAX = 400,
    POLL_US = 2500,
};

#define UNRESPONSIVE_ADDRESS "127.0.0.1:20911"
#define SERVING_ADDRESS "127.0.0.1:20912"

/**
 * struct route_state - state behind the route callbacks
 * @relay: peer that relays the next call
 * @reports: number of answers and failures reported
 * @failed: peer of the last call without an answer
 */
struct route_state {
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
    return ((struct route_state *)ctx)->relay;
}

static void
record_report(void *ctx, const char *relay, int status)
{
    struct route_state *state = ctx;
    state->reports++;
    if (status == 0) {
        g_free(state->failed);
        state->failed = g_strdup(relay);
    }
}

static void
keep_outcome(void *ctx, const struct kv_result *result)
{
    *(int *)ctx = (int)result->outcome;
}

/* A call open through one peer still completes after the next call switched to
 * another peer; otherwise its caller would wait forever. */
static void
test_switch_completes_calls(void)
{
    struct event_base *base = event_base_new();
    struct http_exchange *withheld = NULL;
    struct http_server *unresponsive = http_server_create(
        base, UNRESPONSIVE_ADDRESS, never_answer, &withheld);
    struct http_server *serving =
        http_server_create(base, SERVING_ADDRESS, answer_missing, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(unresponsive);
    CU_ASSERT_PTR_NOT_NULL_FATAL(serving);
    struct route_state state = {.relay = UNRESPONSIVE_ADDRESS};
    struct kv_route route = {
        .relay = choose_relay, .report = record_report, .ctx = &state};
    struct kv *kv = kv_create(base, SERVING_ADDRESS, TIMEOUT_MS, route);

    int first = -1;
    int second = -1;
    kv_get(kv, "a", (struct kv_done){.call = keep_outcome, .ctx = &first});
    event_base_loop(base, EVLOOP_NONBLOCK);
    state.relay = SERVING_ADDRESS;
    kv_get(kv, "b", (struct kv_done){.call = keep_outcome, .ctx = &second});
    for (int i = 0; i < POLLS_MAX && (first < 0 || second < 0); i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        g_usleep(POLL_US);
    }
    CU_ASSERT_EQUAL(first, KV_UNKNOWN);
    CU_ASSERT_EQUAL(second, KV_NOT_FOUND);
    CU_ASSERT_EQUAL(state.reports, 2);
    /* The failure is reported for the peer that the call went through. */
    CU_ASSERT_STRING_EQUAL(state.failed, UNRESPONSIVE_ADDRESS);
    g_free(state.failed);
    kv_destroy(kv);
    if (withheld != NULL) {
        http_exchange_reply(withheld, 503, NULL);
    }
    event_base_loop(base, EVLOOP_NONBLOCK);
    http_server_destroy(serving);
    http_server_destroy(unresponsive);
    event_base_free(base);
}

/* Where nothing listens, the call was certainly not carried out, and its
 * caller may get a refusal. A call that was read but not answered may have
 * been carried out. */
static void
test_unsent_call_is_refused(void)
{
    struct event_base *base = event_base_new();
    struct http_exchange *withheld = NULL;
    struct http_server *unresponsive = http_server_create(
        base, UNRESPONSIVE_ADDRESS, never_answer, &withheld);
    CU_ASSERT_PTR_NOT_NULL_FATAL(unresponsive);
    struct kv_route route = {0};
    struct kv *unsent = kv_create(base, SERVING_ADDRESS, TIMEOUT_MS, route);
    struct kv *unanswered =
        kv_create(base, UNRESPONSIVE_ADDRESS, TIMEOUT_MS, route);
    int first = -1;
    int second = -1;
    kv_get(unsent, "a", (struct kv_done){.call = keep_outcome, .ctx = &first});
    kv_get(unanswered, "a",
           (struct kv_done){.call = keep_outcome, .ctx = &second});
    for (int i = 0; i < POLLS_MAX && (first < 0 || second < 0); i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        g_usleep(POLL_US);
    }
    CU_ASSERT_EQUAL(first, KV_REFUSED);
    CU_ASSERT_EQUAL(second, KV_UNKNOWN);
    kv_destroy(unsent);
    kv_destroy(unanswered);
    if (withheld != NULL) {
        http_exchange_reply(withheld, 503, NULL);
    }
    event_base_loop(base, EVLOOP_NONBLOCK);
    http_server_destroy(unresponsive);
    event_base_free(base);
}

/* Serves keys "a" and "b" in two pages; the store changes between them. */
static void
serve_pages(void *ctx, struct http_exchange *exchange)
{
    int *n_pages = ctx;
    (*n_pages)++;
    bool first = strstr(http_exchange_path(exchange), "after=") == NULL;
    http_exchange_reply(
        exchange, 200,
        first
            ? "{\"items\":[{\"key\":\"a\",\"value\":\"eA==\",\"revision\":7}],"
              "\"has_more\":true,\"as_of\":10}"
            : "{\"items\":[{\"key\":\"b\",\"value\":\"eA==\",\"revision\":8}],"
              "\"has_more\":false,\"as_of\":20}");
}

struct range_result {
    int outcome;
    uint32_t n_items;
    int64_t as_of;
};

static void
keep_range(void *ctx, const struct kv_result *result)
{
    *(struct range_result *)ctx = (struct range_result){
        .outcome = (int)result->outcome,
        .n_items = result->items->len,
        .as_of = result->as_of,
    };
}

/* A change of the first page while the second one is read would be missed by a
 * watch that continues from the second page. */
static void
test_change_between_pages_is_watched(void)
{
    struct event_base *base = event_base_new();
    int n_pages = 0;
    struct http_server *server =
        http_server_create(base, SERVING_ADDRESS, serve_pages, &n_pages);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    struct kv *kv =
        kv_create(base, SERVING_ADDRESS, TIMEOUT_MS, (struct kv_route){0});
    struct range_result range = {.outcome = -1};
    kv_range_all(kv, "", (struct kv_done){.call = keep_range, .ctx = &range});
    for (int i = 0; i < POLLS_MAX && range.outcome < 0; i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        g_usleep(POLL_US);
    }
    CU_ASSERT_EQUAL(range.outcome, KV_OK);
    CU_ASSERT_EQUAL(n_pages, 2);
    CU_ASSERT_EQUAL(range.n_items, 2);
    CU_ASSERT_EQUAL(range.as_of, 10);
    /* A read that is open when its client is destroyed. */
    kv_range_all(kv, "", (struct kv_done){.call = keep_range, .ctx = &range});
    kv_destroy(kv);
    event_base_loop(base, EVLOOP_NONBLOCK);
    http_server_destroy(server);
    event_base_free(base);
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    static const struct suite_test tests[] = {
        {"a change of the route completes calls", test_switch_completes_calls},
        {"an unsent call is refused", test_unsent_call_is_refused},
        {"a change between two pages is watched",
         test_change_between_pages_is_watched},
    };
    return suite_main("store client", tests, sizeof(tests) / sizeof(tests[0]));
}
