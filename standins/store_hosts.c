#include "store_hosts.h"

#include <glib.h>

/** struct pending_list - a host list that isn't visible yet */
struct pending_list {
    struct store_hosts *hosts;
    char *text;
    guint timer;
};

struct store_hosts {
    struct store_hosts_listener listener;
    char *text;
    uint64_t index;
    GQueue pending;
};

struct store_hosts *
store_hosts_create(struct store_hosts_listener listener)
{
    struct store_hosts *hosts = g_new0(struct store_hosts, 1);
    hosts->listener = listener;
    hosts->text = g_strdup("[]");
    hosts->index = 1;
    g_queue_init(&hosts->pending);
    return hosts;
}

static void
pending_destroy(struct pending_list *pending)
{
    if (pending->timer != 0) {
        g_source_remove(pending->timer);
    }
    g_free(pending->text);
    g_free(pending);
}

void
store_hosts_destroy(struct store_hosts *hosts)
{
    if (hosts == NULL) {
        return;
    }
    struct pending_list *pending;
    while ((pending = g_queue_pop_head(&hosts->pending)) != NULL) {
        pending_destroy(pending);
    }
    g_free(hosts->text);
    g_free(hosts);
}

static gboolean
publish_list(void *data)
{
    struct pending_list *pending = data;
    struct store_hosts *hosts = pending->hosts;
    pending->timer = 0;
    g_free(hosts->text);
    hosts->text = g_steal_pointer(&pending->text);
    hosts->index++;
    g_queue_remove(&hosts->pending, pending);
    pending_destroy(pending);
    hosts->listener.changed(hosts->listener.ctx);
    return G_SOURCE_REMOVE;
}

void
store_hosts_set(struct store_hosts *hosts, const char *text, int64_t delay_ms)
{
    struct pending_list *pending = g_new0(struct pending_list, 1);
    pending->hosts = hosts;
    pending->text = g_strdup(text);
    g_queue_push_tail(&hosts->pending, pending);
    if (delay_ms == 0) {
        publish_list(pending);
        return;
    }
    pending->timer = g_timeout_add((guint)delay_ms, publish_list, pending);
}

const char *
store_hosts_text(const struct store_hosts *hosts)
{
    return hosts->text;
}

uint64_t
store_hosts_index(const struct store_hosts *hosts)
{
    return hosts->index;
}
