#include "egretjobd/loop_lag.h"

#include <glib.h>

enum {
    /* Short against the lags that matter, from 60 ms on. */
    SAMPLE_INTERVAL_MS = 20,
};

/**
 * struct loop_lag - a periodic timer and how late it was
 * @due_ms: when it is due; 0: it isn't running
 * @worst_ms: longest lag since the last loop_lag_take()
 * @total_ms: sum of the lags since then
 * @count: how many these are
 */
struct loop_lag {
    struct node *node;
    struct event *timer;
    int64_t due_ms;
    int64_t worst_ms;
    int64_t total_ms;
    int64_t count;
};

static void
note_lag(struct loop_lag *lag)
{
    int64_t lag_ms = node_now(lag->node) - lag->due_ms;
    if (lag->due_ms != 0 && lag_ms >= 0) {
        lag->worst_ms = MAX(lag->worst_ms, lag_ms);
        lag->total_ms += lag_ms;
        lag->count++;
    }
}

static void
clear(struct loop_lag *lag)
{
    lag->worst_ms = 0;
    lag->total_ms = 0;
    lag->count = 0;
}

static void
arm(struct loop_lag *lag)
{
    lag->due_ms = node_now(lag->node) + SAMPLE_INTERVAL_MS;
    timer_set(lag->timer, SAMPLE_INTERVAL_MS);
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct loop_lag *lag = ctx;
    note_lag(lag);
    arm(lag);
}

struct loop_lag *
loop_lag_create(struct node *node, enum loop_priority priority)
{
    struct loop_lag *lag = g_new0(struct loop_lag, 1);
    lag->node = node;
    lag->timer = evtimer_new(node->base, on_timer, lag);
    event_priority_set(lag->timer, priority);
    return lag;
}

void
loop_lag_destroy(struct loop_lag *lag)
{
    if (lag == NULL) {
        return;
    }
    event_free(lag->timer);
    g_free(lag);
}

void
loop_lag_start(struct loop_lag *lag)
{
    clear(lag);
    arm(lag);
}

void
loop_lag_stop(struct loop_lag *lag)
{
    event_del(lag->timer);
    lag->due_ms = 0;
    clear(lag);
}

struct lag_sample
loop_lag_take(struct loop_lag *lag)
{
    note_lag(lag);
    struct lag_sample sample = {
        .worst_ms = lag->worst_ms,
        .mean_ms = lag->count == 0 ? 0 : lag->total_ms / lag->count,
    };
    clear(lag);
    return sample;
}
