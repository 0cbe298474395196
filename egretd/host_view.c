#include "egretd/host_view.h"

#include <glib.h>

#include "store/host_list.h"
#include "store/host_records.h"

enum {
    /* Bounds how long a connection that fails without an error hides a leaving
     * host. */
    HOST_LIST_WAIT_MS = 1000,
};

struct host_view {
    struct host_view_options options;
    struct host_list *list;
    struct host_records *records;
    GArray *hosts;
    guint idle;
};

static bool
takes_work(const struct host_list_host *listed,
           const struct host_record *record)
{
    return listed->live && !listed->leaving && record != NULL &&
           host_state_accepts_work(record->state);
}

static void
join_hosts(struct host_view *view)
{
    const struct host_list_view *list = host_list_view(view->list);
    g_array_set_size(view->hosts, 0);
    for (size_t i = 0; i < list->n_hosts; i++) {
        const struct host_list_host *listed = &list->hosts[i];
        const struct host_record *record =
            host_records_find(view->records, listed->name);
        struct dispatch_host host = {
            .name = listed->name,
            .address = listed->address,
            .pool = record == NULL ? NULL : record->pool,
            .dc = listed->dc,
            .rack = listed->rack,
            .slots = listed->slots,
            .connections = listed->connections,
            .accepting = takes_work(listed, record),
        };
        g_array_append_val(view->hosts, host);
    }
}

static gboolean
on_idle(void *data)
{
    struct host_view *view = data;
    view->idle = 0;
    join_hosts(view);
    view->options.changed(
        view->options.ctx,
        (const struct dispatch_host *)(void *)view->hosts->data,
        view->hosts->len);
    return G_SOURCE_REMOVE;
}

/* Joins once for several shards that change at the same time. */
static void
schedule_join(struct host_view *view)
{
    if (view->idle == 0) {
        view->idle = g_idle_add(on_idle, view);
    }
}

static void
on_list(void *ctx, const struct host_list_view *list)
{
    (void)list;
    schedule_join(ctx);
}

static void
on_shard(void *ctx, uint32_t shard)
{
    (void)shard;
    schedule_join(ctx);
}

void
host_view_each_draining(const struct host_view *view,
                        void (*each)(void *ctx, const char *host), void *ctx)
{
    const struct host_list_view *list = host_list_view(view->list);
    for (size_t i = 0; i < list->n_hosts; i++) {
        const struct host_record *record =
            host_records_find(view->records, list->hosts[i].name);
        if (record != NULL && record->state == HOST_DRAINING) {
            each(ctx, list->hosts[i].name);
        }
    }
}

struct host_view *
host_view_create(const struct host_view_options *options)
{
    struct host_view *view = g_new0(struct host_view, 1);
    view->options = *options;
    view->hosts = g_array_new(FALSE, TRUE, sizeof(struct dispatch_host));
    view->records = host_records_create(&(struct host_records_options){
        .store = options->store,
        .changed = on_shard,
        .ctx = view,
    });
    view->list = host_list_create(&(struct host_list_options){
        .url = options->settings->hosts_url,
        .timeout_ms = options->settings->store_timeout_ms,
        .wait_ms = HOST_LIST_WAIT_MS,
        .clock = options->clock,
        .changed = on_list,
        .ctx = view,
    });
    return view;
}

void
host_view_destroy(struct host_view *view)
{
    if (view == NULL) {
        return;
    }
    if (view->idle != 0) {
        g_source_remove(view->idle);
    }
    host_list_destroy(view->list);
    host_records_destroy(view->records);
    g_array_unref(view->hosts);
    g_free(view);
}
