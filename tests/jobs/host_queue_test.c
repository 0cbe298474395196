/* Host commands that wait for a connection while the process is frozen and
 * another leader takes over: they aren't sent any more. */
#include <signal.h>
#include <stdio.h>

#include "../suite.h"
#include "net/http_server.h"
#include "platform/hosts_api.h"

enum {
    POLLS_MAX = 400,
    POLL_US = 2500,
    /* More than the connections of the client. */
    COMMANDS = 12,
};

#define HOSTS_ADDRESS "127.0.0.1:20942"

/**
 * struct host_calls - commands as the host API and the leader see them
 * @allowed: whether the leadership is valid
 * @lost_at: it ends when the host API has received this many
 * @received: commands that the host API received
 * @done: commands that were answered
 * @refused: commands that were reported as refused
 */
struct host_calls {
    bool allowed;
    int lost_at;
    int received;
    int done;
    int refused;
};

static void
serve(void *ctx, struct http_exchange *exchange)
{
    struct host_calls *calls = ctx;
    calls->received++;
    if (calls->received == calls->lost_at) {
        calls->allowed = false;
    }
    http_exchange_reply(exchange, 200, "{}");
}

static bool
may_command(void *ctx)
{
    const struct host_calls *calls = ctx;
    return calls->allowed;
}

static void
on_command(void *ctx, const char *host, int64_t wave,
           enum host_command_result result)
{
    (void)host;
    (void)wave;
    struct host_calls *calls = ctx;
    calls->done += result == HOST_COMMAND_DONE;
    calls->refused += result == HOST_COMMAND_REFUSED;
}

static struct host_calls
send_commands(int lost_at)
{
    struct host_calls calls = {.allowed = true, .lost_at = lost_at};
    struct event_base *base = event_base_new();
    struct http_server *server =
        http_server_create(base, HOSTS_ADDRESS, serve, &calls);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    struct hosts_callbacks callbacks = {
        .may_command = may_command,
        .on_command = on_command,
        .ctx = &calls,
    };
    struct hosts_api *api =
        hosts_api_create(base, HOSTS_ADDRESS, "leader", &callbacks);
    for (int i = 0; i < COMMANDS; i++) {
        char host[8];
        g_snprintf(host, sizeof(host), "m%d", i);
        hosts_api_move(api, host, "p", 7);
    }
    for (int i = 0; i < POLLS_MAX && calls.done + calls.refused < COMMANDS;
         i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        g_usleep(POLL_US);
    }
    CU_ASSERT_EQUAL(calls.done + calls.refused, COMMANDS);
    hosts_api_destroy(api);
    event_base_loop(base, EVLOOP_NONBLOCK);
    http_server_destroy(server);
    event_base_free(base);
    return calls;
}

static void
test_all_are_sent(void)
{
    struct host_calls calls = send_commands(0);
    CU_ASSERT_EQUAL(calls.received, COMMANDS);
    CU_ASSERT_EQUAL(calls.done, COMMANDS);
}

/* Only those that were on their way arrive. */
static void
test_queued_after_the_leadership(void)
{
    struct host_calls calls = send_commands(1);
    CU_ASSERT(calls.received < COMMANDS);
    CU_ASSERT_EQUAL(calls.done, calls.received);
    CU_ASSERT_EQUAL(calls.refused, COMMANDS - calls.received);
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    static const struct suite_test tests[] = {
        {"all commands are sent", test_all_are_sent},
        {"none is sent after the leadership has ended",
         test_queued_after_the_leadership},
    };
    return suite_main("jobs host queue", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
