/* Follows the list of backend servers, and ejects those that keep failing. */
#include "dispatch_state.h"

void
host_destroy(void *data)
{
    struct host *host = data;
    g_free(host->name);
    g_free(host->address);
    g_free(host->rack_name);
    g_free(host);
}

static struct host *
host_get(struct dispatch *dispatch, const char *name)
{
    struct host *host = g_hash_table_lookup(dispatch->hosts, name);
    if (host == NULL) {
        host = g_new0(struct host, 1);
        host->serial = ++dispatch->last_host;
        host->name = g_strdup(name);
        host->open_index = -1;
        host->local_index = -1;
        host->full_link.data = host;
        host->ejection.owner = host;
        host->reported_ms = INT64_MIN / 2;
        host->refused_ms = INT64_MIN / 2;
        host->returned_ms =
            dispatch->hosts_known ? dispatch->now_ms : INT64_MIN / 2;
        g_hash_table_insert(dispatch->hosts, host->name, host);
        g_hash_table_insert(dispatch->hosts_by_serial,
                            GUINT_TO_POINTER(host->serial), host);
    }
    return host;
}

static void
replace_text(char **text, const char *value)
{
    if (g_strcmp0(*text, value) != 0) {
        g_free(*text);
        *text = g_strdup(value);
    }
}

static struct rack *
rack_get(struct dispatch *dispatch, const char *dc, const char *name)
{
    char *key = g_strconcat(dc != NULL ? dc : "", "/", name, NULL);
    struct rack *rack = g_hash_table_lookup(dispatch->racks, key);
    if (rack != NULL) {
        g_free(key);
        return rack;
    }
    rack = g_new0(struct rack, 1);
    g_hash_table_insert(dispatch->racks, key, rack);
    return rack;
}

static void
host_set_rack(struct dispatch *dispatch, struct host *host,
              const struct dispatch_host *info)
{
    struct rack *rack =
        info->rack != NULL ? rack_get(dispatch, info->dc, info->rack) : NULL;
    if (rack == host->rack) {
        return;
    }
    if (host->rack != NULL) {
        host->rack->outstanding -= host->outstanding;
    }
    if (rack != NULL) {
        rack->outstanding += host->outstanding;
    }
    host->rack = rack;
    replace_text(&host->rack_name, info->rack);
}

static void
host_leave_pool(struct dispatch *dispatch, struct host *host)
{
    host_close(host);
    deadline_heap_remove(dispatch->ejections, &host->ejection);
    if (host->pool != NULL) {
        outlier_reinstate(&host->outlier, &host->pool->outlier);
    }
}

static void
host_set(struct dispatch *dispatch, struct host *host,
         const struct dispatch_host *info)
{
    bool pooled = info->pool != NULL && info->pool[0] != '\0';
    struct pool *pool = pooled ? dispatch_pool(dispatch, info->pool) : NULL;
    if (pool != host->pool) {
        host_leave_pool(dispatch, host);
        host->pool = pool;
        host->returned_ms =
            dispatch->hosts_known ? dispatch->now_ms : host->returned_ms;
    }
    host->dc = info->dc != NULL ? dispatch_dc(dispatch, info->dc) : NULL;
    host->local =
        info->dc != NULL && g_strcmp0(info->dc, dispatch->own_dc) == 0;
    replace_text(&host->address, info->address);
    host_set_rack(dispatch, host, info);
    host->slots = info->slots;
    host->connections = info->connections;
    host->accepting = info->accepting;
    host->seen = true;
}

/* A removed host stays allocated, outside the tables, until its last attempt
 * is resolved. A host that is added later under the same name is a new one. */
static void
host_drop(struct dispatch *dispatch, struct host *host)
{
    host_leave_pool(dispatch, host);
    host->listed = false;
    g_hash_table_remove(dispatch->hosts_by_serial,
                        GUINT_TO_POINTER(host->serial));
    if (host->outstanding == 0) {
        host_destroy(host);
    }
}

static void
drop_unseen(struct dispatch *dispatch)
{
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, dispatch->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        struct host *host = entry;
        bool seen = host->seen;
        host->seen = false;
        host->listed = true;
        if (!seen) {
            g_hash_table_iter_steal(&iter);
            host_drop(dispatch, host);
        }
    }
}

static void
pools_clear(struct dispatch *dispatch)
{
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, dispatch->pools);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        struct pool *pool = entry;
        pool->slots = 0;
        pool->hosts = 0;
        pool->hosts_accepting = 0;
        pool->hosts_dc_out_of_service = 0;
        pool->outlier.hosts = 0;
    }
}

static void
host_recount(struct dispatch *dispatch, struct host *host)
{
    struct pool *pool = host->pool;
    if (pool == NULL) {
        return;
    }
    bool usable = host_usable(host);
    if (usable && !host->usable && host->was_usable) {
        host->returned_ms = dispatch->now_ms;
    }
    host->usable = usable;
    host->was_usable = host->was_usable || usable;
    host->counted = false;
    pool->hosts++;
    pool->outlier.hosts++;
    pool->hosts_dc_out_of_service +=
        host->dc != NULL && host->dc->out_of_service;
    host_update(dispatch, host);
}

void
wake_all_pools(struct dispatch *dispatch)
{
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, dispatch->pools);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        pool_plan_shares_soon(dispatch, entry);
        pool_wake(dispatch, entry);
    }
}

void
hosts_changed(struct dispatch *dispatch)
{
    pools_clear(dispatch);
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, dispatch->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        host_recount(dispatch, entry);
    }
    wake_all_pools(dispatch);
}

void
dispatch_set_hosts(struct dispatch *dispatch,
                   const struct dispatch_host *hosts, size_t n_hosts)
{
    for (size_t i = 0; i < n_hosts; i++) {
        host_set(dispatch, host_get(dispatch, hosts[i].name), &hosts[i]);
    }
    drop_unseen(dispatch);
    dispatch->hosts_known = dispatch->hosts_known || n_hosts > 0;
    hosts_changed(dispatch);
}

void
host_fail(struct dispatch *dispatch, struct host *host)
{
    if (host->pool == NULL || !host->listed) {
        return;
    }
    int64_t out_ms = outlier_failed(&host->outlier, &host->pool->outlier);
    if (out_ms > 0) {
        deadline_heap_set(dispatch->ejections, &host->ejection,
                          dispatch->now_ms + out_ms);
        host_update(dispatch, host);
    }
}

static struct host *
failed_host(const struct dispatch *dispatch, const struct task *task,
            uint32_t i)
{
    return g_hash_table_lookup(dispatch->hosts_by_serial,
                               GUINT_TO_POINTER(task->failed_on[i]));
}

void
hosts_discount_failures(struct dispatch *dispatch, struct task *task)
{
    for (uint32_t i = 0; i < task->n_failed && !task->failures_discounted;
         i++) {
        struct host *host = failed_host(dispatch, task, i);
        if (host != NULL) {
            outlier_discount_failure(&host->outlier);
        }
    }
    task->failures_discounted = true;
}

void
hosts_restore_failures(struct dispatch *dispatch, const struct task *task)
{
    for (uint32_t i = 0; i < task->n_failed; i++) {
        struct host *host = failed_host(dispatch, task, i);
        if (host != NULL) {
            host_fail(dispatch, host);
        }
    }
}

void
ejections_end(struct dispatch *dispatch)
{
    struct host *host;
    while ((host = deadline_heap_pop(dispatch->ejections, dispatch->now_ms)) !=
           NULL) {
        outlier_probe(&host->outlier);
        host_update(dispatch, host);
    }
}
