/* What the client of a backend server makes of refusals by fencing token. */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "../suite.h"
#include "platform/backend_client.h"

enum {
    FIRST_TOKEN = 7168,
    SECOND_TOKEN = 7169,
    TEST_TIMEOUT_MS = 3000,
};

/**
 * struct refusal - answers of a backend server that refuses all by its token
 * @answer: answer to the start
 * @fenced: on_fenced() was called
 * @left: answers that are still to come
 */
struct refusal {
    struct event_base *base;
    enum start_answer answer;
    bool fenced;
    int left;
};

static void
answered(struct refusal *refusal)
{
    if (--refusal->left == 0) {
        event_base_loopbreak(refusal->base);
    }
}

static int64_t
patience_ms(void *ctx)
{
    (void)ctx;
    return 0;
}

static bool
may_start(void *ctx, uint64_t handle)
{
    (void)ctx;
    (void)handle;
    return true;
}

static void
on_start(void *ctx, uint64_t handle, enum start_answer answer,
         int64_t clock_ms)
{
    (void)handle;
    (void)clock_ms;
    struct refusal *refusal = ctx;
    refusal->answer = answer;
    answered(refusal);
}

static void
on_stop(void *ctx, uint64_t handle, uint32_t attempt, bool acked)
{
    (void)handle;
    CU_ASSERT_FALSE(acked);
    answered(ctx);
}

static void
on_fenced(void *ctx)
{
    ((struct refusal *)ctx)->fenced = true;
}

static void
on_throttle(void *ctx, uint64_t handle, int32_t percent, bool acked)
{
    (void)ctx;
    (void)handle;
    (void)percent;
    (void)acked;
}

static void
on_report(void *ctx, const char *backend_id, const struct run_report *report)
{
    (void)backend_id;
    CU_ASSERT_EQUAL(report->outcome, REPORT_FENCED);
    answered(ctx);
}

static void
refuse(struct evhttp_request *request, void *ctx)
{
    (void)ctx;
    struct evbuffer *body = evbuffer_new();
    evbuffer_add_printf(body, "{\"clock_ms\":5,\"reason\":\"fence\"}");
    evhttp_send_reply(request, 409, "Conflict", body);
    evbuffer_free(body);
}

/* Sends a start and a stop with the first token, then a report request with
 * @report_token; all are refused. */
static struct refusal
run_refusals(int64_t report_token)
{
    struct refusal refusal = {.base = event_base_new(), .left = 3};
    struct evhttp *server = evhttp_new(refusal.base);
    evhttp_set_gencb(server, refuse, NULL);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
    struct sockaddr_in address;
    socklen_t address_bytes = sizeof(address);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&address,
                &address_bytes);
    char *text = g_strdup_printf("127.0.0.1:%u", ntohs(address.sin_port));
    struct backend_callbacks callbacks = {
        .patience_ms = patience_ms,
        .may_start = may_start,
        .on_start = on_start,
        .on_stop = on_stop,
        .on_fenced = on_fenced,
        .on_throttle = on_throttle,
        .on_report = on_report,
        .ctx = &refusal,
    };
    struct backend_client *client =
        backend_client_create(refusal.base, "b1", text, &callbacks);
    struct start_call call = {.handle = 1,
                              .task = "00000000000000aa.0.0.0",
                              .number = 1,
                              .spec = "x",
                              .until_ms = 1000,
                              .token = FIRST_TOKEN};
    backend_client_start(client, &call);
    struct stop_command stop = {
        .handle = 2, .attempt = 1, .task = call.task, .number = 1};
    backend_client_stop(client, &stop, FIRST_TOKEN);
    struct report_request request = {.number = 1};
    backend_client_request_report(client, &request, 0, report_token, 0, 0);
    struct timeval timeout = {.tv_sec = TEST_TIMEOUT_MS / 1000};
    event_base_loopexit(refusal.base, &timeout);
    event_base_dispatch(refusal.base);
    CU_ASSERT_EQUAL(refusal.left, 0);
    backend_client_destroy(client);
    event_base_loop(refusal.base, EVLOOP_NONBLOCK);
    evhttp_free(server);
    event_base_free(refusal.base);
    g_free(text);
    return refusal;
}

/* The backend server has seen another leader. */
static void
test_refused_by_other_leader(void)
{
    struct refusal refusal = run_refusals(FIRST_TOKEN);
    CU_ASSERT_EQUAL(refusal.answer, START_FENCED);
    CU_ASSERT_TRUE(refusal.fenced);
}

/* A report request with a higher token of our own overtook the commands. */
static void
test_refused_by_own_token(void)
{
    struct refusal refusal = run_refusals(SECOND_TOKEN);
    CU_ASSERT_EQUAL(refusal.answer, START_REFUSED);
    CU_ASSERT_FALSE(refusal.fenced);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a refusal by another leader's token", test_refused_by_other_leader},
        {"a refusal by an own later token", test_refused_by_own_token},
    };
    return suite_main("jobs backend client", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
