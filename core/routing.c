/* Chooses a backend server for a task: the better of two random hosts, and
 * seemingly full hosts as probes when no other has a free slot. */
#include "dispatch_state.h"

enum {
    /* A host's report loses weight with age; from this age on only the mean
     * of the pool is used. */
    REPORT_MAX_AGE_MS = 1000,
    /* Random picks to find a host that still has a free slot. */
    PICKS_MAX = 4,
    /* Full hosts that are checked again with each choice. */
    FULL_HOSTS_PER_CHOICE = 2,
    /* Time after a refusal during which the host is not probed. */
    REFUSED_PAUSE_MS = 100,
    /* Time over which the slots of a returned host are ramped up. */
    RAMP_MS = 4000,
    RAMP_START_PERCENT = 10,
    /* Loads are compared in steps of 1 / LOAD_STEPS of a host's limit, so
     * that small differences don't override locality. */
    LOAD_STEPS = 16,
};

/* A host with fewer estimated free slots is treated as full. */
static const double FREE_SLOTS_MIN = 0.9;

bool
host_usable(const struct host *host)
{
    return host->listed && host->accepting && host->pool != NULL &&
           host->pool->configured &&
           (host->dc == NULL || !host->dc->out_of_service);
}

/* Estimated attempts of other gateways on the host: from the host's own
 * report, and the older that is, the more from the host's share of what peers
 * report for the pool. */
static double
host_other_attempts(const struct dispatch *dispatch, const struct host *host)
{
    const struct pool *pool = host->pool;
    double mean = pool->slots > 0
                      ? (double)pool->peers_running * host->slots / pool->slots
                      : 0;
    int64_t age_ms = dispatch->now_ms - host->reported_ms;
    if (age_ms >= REPORT_MAX_AGE_MS) {
        return mean;
    }
    double weight = 1.0 - (double)age_ms / REPORT_MAX_AGE_MS;
    return host->reported_others * weight + mean * (1.0 - weight);
}

static uint32_t
host_limit(const struct dispatch *dispatch, const struct host *host)
{
    if (host->outlier.state == OUTLIER_PROBING) {
        return 1;
    }
    int64_t since_return_ms = dispatch->now_ms - host->returned_ms;
    if (since_return_ms >= RAMP_MS) {
        return host->slots;
    }
    int64_t percent = RAMP_START_PERCENT +
                      (100 - RAMP_START_PERCENT) * since_return_ms / RAMP_MS;
    return MAX(1, (uint32_t)(host->slots * percent / 100));
}

static bool
host_below_limits(const struct dispatch *dispatch, const struct host *host)
{
    uint32_t connections = host->connections / live_gateways(dispatch);
    return host->outstanding < host_limit(dispatch, host) &&
           host->outstanding < MAX(connections, 1);
}

static bool
host_has_capacity(const struct dispatch *dispatch, const struct host *host)
{
    double load = host->outstanding + host_other_attempts(dispatch, host);
    return host_below_limits(dispatch, host) &&
           load + FREE_SLOTS_MIN <= host_limit(dispatch, host);
}

static void
array_add(GPtrArray *hosts, struct host *host, int32_t *index)
{
    *index = (int32_t)hosts->len;
    g_ptr_array_add(hosts, host);
}

static void
host_open(struct host *host)
{
    struct pool *pool = host->pool;
    if (host->full) {
        host->full = false;
        g_queue_unlink(&pool->full_hosts, &host->full_link);
    }
    if (host->open_index >= 0) {
        return;
    }
    array_add(pool->open_hosts, host, &host->open_index);
    if (host->local) {
        array_add(pool->open_local, host, &host->local_index);
    }
}

void
host_close(struct host *host)
{
    struct pool *pool = host->pool;
    if (host->full) {
        host->full = false;
        g_queue_unlink(&pool->full_hosts, &host->full_link);
    }
    if (host->open_index >= 0) {
        guint i = (guint)host->open_index;
        g_ptr_array_remove_index_fast(pool->open_hosts, i);
        if (i < pool->open_hosts->len) {
            struct host *moved = g_ptr_array_index(pool->open_hosts, i);
            moved->open_index = (int32_t)i;
        }
        host->open_index = -1;
    }
    if (host->local_index >= 0) {
        guint i = (guint)host->local_index;
        g_ptr_array_remove_index_fast(pool->open_local, i);
        if (i < pool->open_local->len) {
            struct host *moved = g_ptr_array_index(pool->open_local, i);
            moved->local_index = (int32_t)i;
        }
        host->local_index = -1;
    }
}

static void
host_set_counted(struct host *host, bool counted)
{
    if (host->counted == counted) {
        return;
    }
    host->counted = counted;
    if (counted) {
        host->pool->slots += host->slots;
        host->pool->hosts_accepting++;
    }
    else {
        host->pool->slots -= host->slots;
        host->pool->hosts_accepting--;
    }
}

void
host_update(struct dispatch *dispatch, struct host *host)
{
    if (host->pool == NULL || !host->listed) {
        return;
    }
    bool routed = host_usable(host) && host->outlier.state != OUTLIER_EJECTED;
    host_set_counted(host, routed);
    if (!routed) {
        host_close(host);
    }
    else if (host_has_capacity(dispatch, host)) {
        host_open(host);
    }
    else if (!host->full) {
        host_close(host);
        host->full = true;
        g_queue_push_tail_link(&host->pool->full_hosts, &host->full_link);
    }
}

static void
recheck_full_hosts(struct dispatch *dispatch, struct pool *pool)
{
    for (int i = 0; i < FULL_HOSTS_PER_CHOICE; i++) {
        struct host *host = g_queue_peek_head(&pool->full_hosts);
        if (host == NULL) {
            return;
        }
        g_queue_unlink(&pool->full_hosts, &host->full_link);
        g_queue_push_tail_link(&pool->full_hosts, &host->full_link);
        host_update(dispatch, host);
    }
}

/* A random host that the task does not avoid. The task avoids at most
 * n_failed + 1 hosts, so n_failed + 2 are enough to look at. */
static struct host *
pick_any(struct dispatch *dispatch, const GPtrArray *hosts,
         const struct task *task)
{
    if (hosts->len == 0) {
        return NULL;
    }
    guint start = random_below(&dispatch->random, hosts->len);
    guint n = MIN(hosts->len, task->n_failed + 2);
    for (guint i = 0; i < n; i++) {
        struct host *host = g_ptr_array_index(hosts, (start + i) % hosts->len);
        if (!task_avoids(task, host)) {
            return host;
        }
    }
    return NULL;
}

/* Checks the picked host again: reports of peers may have filled it since it
 * was put among the open hosts. */
static struct host *
pick(struct dispatch *dispatch, const GPtrArray *hosts,
     const struct task *task)
{
    for (int i = 0; i < PICKS_MAX; i++) {
        struct host *host = pick_any(dispatch, hosts, task);
        if (host == NULL || host_has_capacity(dispatch, host)) {
            return host;
        }
        host_update(dispatch, host);
    }
    return NULL;
}

/* Load in units of 1 / LOAD_STEPS of the host's limit. */
static uint32_t
host_load(const struct dispatch *dispatch, const struct host *host)
{
    double load = host->outstanding + host_other_attempts(dispatch, host);
    return (uint32_t)(load * LOAD_STEPS / host_limit(dispatch, host));
}

static bool
host_suspect(const struct host *host)
{
    return host->outlier.failures_in_row >= OUTLIER_FAILURES_MIN;
}

static bool
prefer_host(const struct dispatch *dispatch, const struct host *a,
            const struct host *b)
{
    if (host_suspect(a) != host_suspect(b)) {
        return host_suspect(b);
    }
    uint32_t load_a = host_load(dispatch, a);
    uint32_t load_b = host_load(dispatch, b);
    if (load_a != load_b) {
        return load_a < load_b;
    }
    if (a->local != b->local) {
        return a->local;
    }
    if (a->rack != NULL && b->rack != NULL) {
        return a->rack->outstanding < b->rack->outstanding;
    }
    return false;
}

/* A host that seems full but may have a free slot by now, or NULL. */
static struct host *
probe_full(struct dispatch *dispatch, struct pool *pool,
           const struct task *task)
{
    int64_t pause_ms = pool_team_behind(task->lane->pool_team)
                           ? PROBE_PAUSE_MIN_MS
                           : pool->probe_pause_ms;
    if (dispatch->now_ms - pool->probed_ms < pause_ms) {
        return NULL;
    }
    guint n = MIN(pool->full_hosts.length, FULL_HOSTS_PER_CHOICE);
    for (guint i = 0; i < n; i++) {
        struct host *host = g_queue_peek_head(&pool->full_hosts);
        g_queue_unlink(&pool->full_hosts, &host->full_link);
        g_queue_push_tail_link(&pool->full_hosts, &host->full_link);
        if (host_below_limits(dispatch, host) && !task_avoids(task, host) &&
            dispatch->now_ms - host->refused_ms >= REFUSED_PAUSE_MS) {
            pool->probed_ms = dispatch->now_ms;
            return host;
        }
    }
    return NULL;
}

struct host *
host_choose(struct dispatch *dispatch, struct pool *pool,
            const struct task *task, bool *probe)
{
    recheck_full_hosts(dispatch, pool);
    struct host *first = pick(dispatch, pool->open_local, task);
    struct host *second = pick(dispatch, pool->open_hosts, task);
    *probe = false;
    if (first == NULL && second != NULL) {
        first = pick(dispatch, pool->open_hosts, task);
    }
    if (first == NULL) {
        *probe = true;
        return probe_full(dispatch, pool, task);
    }
    if (second != NULL && prefer_host(dispatch, second, first)) {
        return second;
    }
    return first;
}

void
host_freed(struct dispatch *dispatch, struct host *host)
{
    uint32_t taken = host->outstanding + 1;
    if (taken <= host->slots) {
        host->reported_others =
            MIN(host->reported_others, host->slots - taken);
    }
    host_update(dispatch, host);
}

void
dispatch_host_load(struct dispatch *dispatch, const char *host_name,
                   uint32_t running, int64_t now_ms)
{
    dispatch_advance_clock(dispatch, now_ms);
    struct host *host = g_hash_table_lookup(dispatch->hosts, host_name);
    if (host == NULL) {
        return;
    }
    /* The attempt whose answer carried the report has ended. */
    uint32_t own = host->outstanding > 0 ? host->outstanding - 1 : 0;
    host->reported_others = running - MIN(running, own);
    host->reported_ms = dispatch->now_ms;
    host_update(dispatch, host);
    if (host->pool != NULL && host->open_index >= 0) {
        pool_wake(dispatch, host->pool);
    }
}
