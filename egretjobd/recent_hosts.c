#include "egretjobd/recent_hosts.h"

#include <glib.h>

#include "common/text.h"

/** struct recent_hosts - host to the time until which it counts */
struct recent_hosts {
    GHashTable *until_ms;
};

struct recent_hosts *
recent_hosts_create(void)
{
    struct recent_hosts *recent = g_new0(struct recent_hosts, 1);
    recent->until_ms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return recent;
}

void
recent_hosts_destroy(struct recent_hosts *recent)
{
    g_hash_table_unref(recent->until_ms);
    g_free(recent);
}

void
recent_hosts_add(struct recent_hosts *recent, const char *host,
                 int64_t until_ms)
{
    const int64_t *known = g_hash_table_lookup(recent->until_ms, host);
    int64_t later_ms = known == NULL ? until_ms : MAX(*known, until_ms);
    g_hash_table_replace(recent->until_ms, g_strdup(host),
                         g_memdup2(&later_ms, sizeof(later_ms)));
}

void
recent_hosts_inherit(struct recent_hosts *recent, const char *record,
                     int64_t until_ms,
                     void (*each)(void *ctx, const char *host), void *ctx)
{
    char **hosts = text_list_read(record);
    for (char **host = hosts; *host != NULL; host++) {
        recent_hosts_add(recent, *host, until_ms);
        each(ctx, *host);
    }
    g_strfreev(hosts);
}

char *
recent_hosts_encode(struct recent_hosts *recent, int64_t now_ms)
{
    GString *text = g_string_new(NULL);
    GHashTableIter iter;
    void *host;
    void *until_ms;
    g_hash_table_iter_init(&iter, recent->until_ms);
    while (g_hash_table_iter_next(&iter, &host, &until_ms)) {
        if (now_ms > *(const int64_t *)until_ms) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        text_list_add(text, host);
    }
    return g_string_free(text, FALSE);
}
