#include "egretjobd/node.h"

#include <signal.h>
#include <time.h>

#include <event2/event.h>
#include <glib.h>

#include "common/event_log.h"
#include "egretjobd/acceptor.h"
#include "egretjobd/config_feed.h"
#include "egretjobd/frontend.h"
#include "egretjobd/job_queries.h"
#include "egretjobd/leader.h"
#include "egretjobd/leadership.h"
#include "egretjobd/peers.h"
#include "egretjobd/records.h"
#include "egretjobd/store_route.h"
#include "net/loop_priority.h"
#include "platform/kv.h"

enum {
    SHUTDOWN_POLL_MS = 50,
    /* Part of the stop grace period reserved for the process exit. */
    SHUTDOWN_MARGIN_MS = 700,
    /* Time to send the last replies. */
    SHUTDOWN_ANSWER_MS = 200,
    /* Requests are still routed here until the health check has failed twice,
     * a second apart. */
    SHUTDOWN_LINGER_MS = 2500,
    REGISTER_TIMEOUT_MS = 1000,
    REGISTER_RETRY_MS = 300,
};

struct node_process {
    struct node node;
    struct event *sigterm;
    struct event *sigint;
    struct event *sighup;
    struct event *shutdown_timer;
    struct event *register_timer;
    struct kv *registry;
    int64_t shutdown_start_ms;
};

static int64_t
boot_time_ms(void *ctx)
{
    (void)ctx;
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static int64_t
unix_time_ms(void *ctx)
{
    (void)ctx;
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
timer_set(struct event *timer, int64_t delay_ms)
{
    struct timeval delay = {
        .tv_sec = delay_ms / 1000,
        .tv_usec = delay_ms % 1000 * 1000,
    };
    evtimer_add(timer, &delay);
}

static void
on_shutdown_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct node_process *state = ctx;
    struct node *node = &state->node;
    int64_t passed_ms = node_now(node) - state->shutdown_start_ms;
    int64_t end_ms = node->settings->stop_grace_ms - SHUTDOWN_MARGIN_MS;
    bool done =
        passed_ms >= SHUTDOWN_LINGER_MS && frontend_idle(node->frontend);
    if (done || passed_ms >= end_ms) {
        event_base_loopbreak(node->base);
        return;
    }
    if (passed_ms >= end_ms - SHUTDOWN_ANSWER_MS) {
        acceptor_answer_pending(node->acceptor);
    }
    timer_set(state->shutdown_timer, SHUTDOWN_POLL_MS);
}

static void
on_stop_signal(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct node_process *state = ctx;
    if (state->node.stopping) {
        return;
    }
    event_log("stopping", "\"signal\":\"TERM\"");
    state->node.stopping = true;
    state->shutdown_start_ms = node_now(&state->node);
    leadership_release(state->node.leadership);
    frontend_begin_shutdown(state->node.frontend);
    timer_set(state->shutdown_timer, SHUTDOWN_POLL_MS);
}

static void
on_reload_signal(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    (void)ctx;
    /* Addresses and limits in the settings are fixed for the lifetime of the
     * process; configuration changes come from the store. */
    event_log("reload", "\"signal\":\"HUP\"");
}

static void
on_registered(void *ctx, const struct kv_result *result)
{
    struct node_process *state = ctx;
    if (result->outcome != KV_OK) {
        timer_set(state->register_timer, REGISTER_RETRY_MS);
    }
}

/* Stores this process's peer address, by which the others find it, and its
 * processor capacity. */
static void
on_register_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct node_process *state = ctx;
    const struct job_settings *settings = state->node.settings;
    char *key = g_strconcat(RECORD_PEER_PREFIX, settings->node_name, NULL);
    char *value = record_peer_encode(settings->peer_address, settings->cores);
    struct kv_put put = {.key = key, .value = value};
    struct kv_txn txn = {.puts = &put, .n_puts = 1};
    kv_commit(state->registry, &txn,
              (struct kv_done){.call = on_registered, .ctx = state});
    g_free(value);
    g_free(key);
}

static bool
start_components(struct node *node)
{
    node->store_route = store_route_create(node);
    node->peers = peers_create(node);
    node->frontend = frontend_create(node);
    if (node->peers == NULL || node->frontend == NULL) {
        event_log("start_failed",
                  "\"why\":\"cannot listen on an address of the settings\"");
        return false;
    }
    node->acceptor = acceptor_create(node);
    node->job_queries = job_queries_create(node);
    node->feed = config_feed_create(node);
    node->leadership = leadership_create(node);
    return true;
}

static void
stop_components(struct node *node)
{
    struct leader *leader = node->leader;
    node->leader = NULL;
    leader_destroy(leader);
    leadership_destroy(node->leadership);
    config_feed_destroy(node->feed);
    acceptor_destroy(node->acceptor);
    job_queries_destroy(node->job_queries);
    frontend_destroy(node->frontend);
    peers_destroy(node->peers);
    store_route_destroy(node->store_route);
}

static void
add_signals(struct node_process *state)
{
    struct event_base *base = state->node.base;
    signal(SIGPIPE, SIG_IGN);
    state->sigterm = evsignal_new(base, SIGTERM, on_stop_signal, state);
    state->sigint = evsignal_new(base, SIGINT, on_stop_signal, state);
    state->sighup = evsignal_new(base, SIGHUP, on_reload_signal, state);
    evsignal_add(state->sigterm, NULL);
    evsignal_add(state->sigint, NULL);
    evsignal_add(state->sighup, NULL);
}

static void
free_events(struct node_process *state)
{
    event_free(state->sigterm);
    event_free(state->sigint);
    event_free(state->sighup);
    event_free(state->shutdown_timer);
    event_free(state->register_timer);
}

int
node_run(const struct job_settings *settings)
{
    struct node_process state = {
        .node =
            {
                .base = event_base_new(),
                .settings = settings,
                .clock = {.now = boot_time_ms},
                .unix_clock = {.now = unix_time_ms},
            },
    };
    struct node *node = &state.node;
    event_base_priority_init(node->base, LOOP_PRIORITIES);
    event_log("start", "\"data_centre\":\"%s\",\"version\":\"%s\"",
              settings->data_centre, EGRET_VERSION);
    state.shutdown_timer = evtimer_new(node->base, on_shutdown_timer, &state);
    state.register_timer = evtimer_new(node->base, on_register_timer, &state);
    add_signals(&state);
    bool started = start_components(node);
    if (started) {
        state.registry =
            kv_create(node->base, settings->store_address, REGISTER_TIMEOUT_MS,
                      store_route_any(node->store_route));
        timer_set(state.register_timer, 0);
        event_base_dispatch(node->base);
        kv_destroy(state.registry);
    }
    stop_components(node);
    free_events(&state);
    event_log("stop", "\"code\":%d", started ? 0 : 1);
    /* Frees connections that were closed in the last loop iteration. */
    event_base_loop(node->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
    event_base_free(node->base);
    return started ? 0 : 1;
}
