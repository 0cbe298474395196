/* State shared by the files of the leader. */
#ifndef EGRETJOBD_LEADER_STATE_H
#define EGRETJOBD_LEADER_STATE_H

#include "egretjobd/leader.h"
#include "platform/backend_calls.h"
#include "platform/hosts_api.h"
#include "platform/kv.h"

enum leader_stage {
    STAGE_PROGRESS,
    STAGE_JOBS,
    STAGE_REGISTERED,
    STAGE_WAVES,
    STAGE_BACKENDS,
    STAGE_NEWS,
    STAGE_READY,
};

struct cancel_waiter {
    struct job *job;
    struct job_reply reply;
};

struct leader {
    struct node *node;
    struct scheduler *sched;
    int64_t token;
    enum leader_stage stage;
    bool destroyed;
    struct kv *reads;
    struct kv *writes;
    struct kv *backend_watch;
    struct kv *news_watch;
    struct hosts_api *hosts;
    struct event *tick;
    struct event *load_retry;
    struct event *watch_timer;
    struct event *news_timer;
    struct event *hosts_timer;
    struct event *flush_timer;
    bool tick_soon;
    int64_t tick_due_ms;
    GHashTable *links;
    GHashTable *progress;
    GHashTable *listed_now;
    int64_t backends_as_of;
    int64_t news_as_of;
    struct store_batch *batch;
    GPtrArray *cancels;
    GHashTable *wave_status;
    char *wave_status_sent;
    int64_t status_retry_ms;
};

/* leader.c */
void
leader_tick_soon(struct leader *leader);
void
leader_enter(struct leader *leader);

/* leader_load.c */
void
leader_load(struct leader *leader);
void
leader_watch_backends(struct leader *leader);
void
leader_watch_news(struct leader *leader);

/* leader_store.c */
void
leader_flush(struct leader *leader);
void
leader_report_waves(struct leader *leader);

/* leader_links.c */
struct sched_ops
leader_ops(struct leader *leader);
void
leader_trim_links(struct leader *leader);

#endif
