/* Hosts: their current incarnations, and the results of host commands. */
#include "core/jobs/scheduler.h"

#include <string.h>

#include "common/text.h"
#include "scheduler_state.h"

enum {
    COMMAND_RETRY_MS = 500,
    /* An accepted command shows in the host list once the host is back; a list
     * that was requested sooner may still show the old state. */
    COMMAND_VISIBLE_MS = 2000,
    /* Wall clocks of hosts differ, so an incarnation that started by less than
     * this before a list was requested may be newer than the list. One that
     * was seen only after the request may be so whatever its clock says. */
    WALL_CLOCK_DIFFERENCE_MAX_MS = 4000,
    /* Pages of a list are read one after the other, so a host may slip between
     * two of them when the list changes. */
    LISTS_WITHOUT_GONE_HOST = 2,
};

struct backend *
sched_host_backend(const struct scheduler *sched, const struct host *host)
{
    return host->backend_id == NULL
               ? NULL
               : scheduler_find_backend(sched, host->backend_id);
}

/* Whether nothing runs on the host; unknown without its run report. */
bool
sched_host_empty(const struct scheduler *sched, const struct host *host)
{
    const struct pool_config *pool =
        host->load == NULL ? NULL : sched_pool_config(sched, host->load);
    const struct backend *backend = sched_host_backend(sched, host);
    if (pool != NULL && pool->spare) {
        return backend == NULL || backend->runs->len == 0;
    }
    return backend != NULL && backend->report_received &&
           !backend->unreconciled && !backend->unresponsive &&
           backend->runs->len == 0 && backend->strays->len == 0;
}

bool
sched_host_gone(const struct scheduler *sched, const struct host *host)
{
    const struct backend *backend = sched_host_backend(sched, host);
    bool serves = backend != NULL && backend->listed && !backend->unresponsive;
    return host->left_out >= LISTS_WITHOUT_GONE_HOST && !serves;
}

void
sched_host_set_intent(struct scheduler *sched, struct host *host,
                      enum host_intent intent, const char *pool)
{
    host->intent = intent;
    host->intent_ms = sched_now(sched);
    /* @pool may be the host's own target_pool. */
    char *target = g_strdup(pool);
    g_free(host->target_pool);
    host->target_pool = target;
    struct backend *backend = sched_host_backend(sched, host);
    if (backend != NULL) {
        backend->leaving = intent != HOST_STAYS;
        sched_backend_changed(sched, backend);
    }
}

/* An earlier incarnation of a host has ended, and all its runs with it. */
static void
end_incarnation(struct scheduler *sched, struct backend *backend)
{
    if (backend == NULL) {
        return;
    }
    sched_backend_lost(sched, backend, "its host has a new incarnation");
    if (!backend->superseded) {
        backend->superseded = true;
        backend->ended_ms = sched_now(sched);
    }
    backend->granted_until_ms = 0;
    backend->leases_expire_ms = 0;
    backend->unseen_ms = 0;
    backend->unreconciled = false;
    backend->unresponsive = true;
    sched_backend_changed(sched, backend);
    scheduler_backend_removed(sched, backend->entry.id);
}

/* Looks at the incarnation that ended; its backend server may have been
 * removed before. */
static void
explain_end(struct scheduler *sched, const struct host *host,
            const struct backend *before, const struct backend *after)
{
    if (before != NULL) {
        struct former_backend ended = sched_former_backend(sched, before);
        sched_crash_unexplained(sched, host, &ended, after);
        return;
    }
    const struct former_backend *former =
        host->backend_id == NULL
            ? NULL
            : g_hash_table_lookup(sched->former_backends, host->backend_id);
    if (former != NULL) {
        sched_crash_unexplained(sched, host, former, after);
    }
}

static void
log_incarnation(struct scheduler *sched, const struct host *host,
                const char *backend_id, const char *source)
{
    const struct backend *before = sched_host_backend(sched, host);
    const struct backend *after = scheduler_find_backend(sched, backend_id);
    if (before == NULL) {
        return;
    }
    sched_log_event(sched, "host_incarnation",
                    "\"host\":%s,\"source\":\"%s\",\"before\":\"%s\","
                    "\"started\":%" G_GINT64_FORMAT ",\"now\":\"%s\","
                    "\"now_started\":%" G_GINT64_FORMAT,
                    text_quote(host->name), source, before->entry.id,
                    before->entry.incarnation_start_ms, backend_id,
                    after == NULL ? 0 : after->entry.incarnation_start_ms);
}

static void
set_incarnation(struct scheduler *sched, struct host *host,
                const char *backend_id)
{
    struct backend *after = scheduler_find_backend(sched, backend_id);
    g_free(host->backend_id);
    host->backend_id = g_strdup(backend_id);
    if (after != NULL) {
        after->superseded = false;
    }
    /* A move without an answer was carried out. */
    bool moved = after != NULL && host->intent == HOST_MOVES &&
                 g_strcmp0(after->entry.pool, host->target_pool) == 0;
    /* A reboot without an answer may still be carried out. */
    bool reboot_open = host->command_in_flight && host->intent == HOST_REBOOTS;
    if (moved || ((host->command_accepted || host->command_in_flight) &&
                  !reboot_open)) {
        host->command_accepted = false;
        sched_host_set_intent(sched, host, HOST_STAYS, NULL);
    }
    else if (host->intent != HOST_STAYS) {
        sched_host_set_intent(sched, host, host->intent, host->target_pool);
    }
}

/* The host is back after a command, or has restarted by itself. */
static void
new_incarnation(struct scheduler *sched, struct host *host,
                const char *backend_id, const char *source)
{
    const struct backend *before = sched_host_backend(sched, host);
    const struct backend *after = scheduler_find_backend(sched, backend_id);
    log_incarnation(sched, host, backend_id, source);
    end_incarnation(sched, sched_host_backend(sched, host));
    sched_crash_inherited(sched, host, before, after);
    explain_end(sched, host, before, after);
    sched_crash_proved(sched, host, after);
    set_incarnation(sched, host, backend_id);
}

static void
set_text(char **text, const char *value)
{
    if (g_strcmp0(*text, value) != 0) {
        g_free(*text);
        *text = g_strdup(value);
    }
}

static void
set_pool(struct scheduler *sched, struct host *host, const char *pool)
{
    if (g_strcmp0(host->pool, pool) != 0) {
        set_text(&host->pool, pool);
        host->load = pool == NULL ? NULL : sched_pool_load(sched, pool);
    }
}

struct host *
sched_host_find_or_add(struct scheduler *sched, const char *name)
{
    struct host *host = g_hash_table_lookup(sched->hosts, name);
    if (host == NULL) {
        host = g_new0(struct host, 1);
        host->name = g_strdup(name);
        host->known_ms = sched_now(sched);
        g_hash_table_insert(sched->hosts, host->name, host);
    }
    return host;
}

void
scheduler_host_commanded_before(struct scheduler *sched, const char *host_name)
{
    sched_host_find_or_add(sched, host_name)->commanded_before = true;
}

/* Before the configuration is known, every pool may be in it. */
static bool
pool_may_exist(const struct scheduler *sched, const struct backend *backend)
{
    return sched->config == NULL ||
           sched_pool_config(sched, backend->pool) != NULL;
}

/* Entries of ended incarnations may stay in the list for a while. An entry of
 * a pool that doesn't exist says nothing of the host that it names. */
void
sched_host_incarnation(struct scheduler *sched, struct backend *backend)
{
    if (backend->entry.host == NULL || !pool_may_exist(sched, backend)) {
        return;
    }
    struct host *host = sched_host_find_or_add(sched, backend->entry.host);
    if (g_strcmp0(host->backend_id, backend->entry.id) == 0) {
        return;
    }
    struct backend *current = sched_host_backend(sched, host);
    enum incarnation is = INCARNATION_CURRENT;
    if (g_strcmp0(host->commanded_incarnation, backend->entry.id) == 0) {
        is = INCARNATION_ENDED;
    }
    else if (current != NULL && pool_may_exist(sched, current)) {
        is = sched_incarnation_compare(sched, host, current, backend);
    }
    if (is == INCARNATION_OPEN) {
        return;
    }
    if (is == INCARNATION_ENDED) {
        end_incarnation(sched, backend);
        sched_crash_inherited(sched, host, backend, current);
        /* A loss of the current incarnation is not proved by an older one. */
        sched_crash_proved_of(sched, host, backend->entry.id, current);
        return;
    }
    new_incarnation(sched, host, backend->entry.id, "entry");
    set_pool(sched, host, backend->entry.pool);
    /* The entry of an ended incarnation may stay in the list while its host is
     * unavailable. */
    if (host->down_unix_ms == 0 ||
        backend->entry.incarnation_start_ms >= host->down_unix_ms) {
        host->up = true;
        host->down_unix_ms = 0;
    }
}

bool
sched_host_ended_by_command(const struct host *host)
{
    return host->command_accepted &&
           g_strcmp0(host->commanded_incarnation, host->backend_id) == 0;
}

/* Whether the host was in the pool of @current when that was seen, and was in
 * another one, with another backend server or none, when the list was made: a
 * move, which ends what runs. After a takeover nobody knows of its command. */
static bool
moved_since(const struct scheduler *sched, const struct backend *current,
            const struct host_info *info, int64_t requested_ms)
{
    return current->seen_ms < requested_ms && pool_may_exist(sched, current) &&
           g_strcmp0(info->pool, current->entry.pool) != 0;
}

/* Applies the row of a list that was requested at @requested_ms. A list may
 * arrive long after that, and it doesn't say when an incarnation started. */
static void
update_host(struct scheduler *sched, const struct host_info *info,
            int64_t requested_ms)
{
    struct host *host = sched_host_find_or_add(sched, info->host);
    int64_t requested_unix_ms =
        ms_clock_now(&sched->unix_clock) - (sched_now(sched) - requested_ms);
    host->present = true;
    host->left_out = 0;
    set_text(&host->data_centre, info->data_centre);
    bool command_pending = host->command_in_flight || host->command_accepted;
    if (command_pending &&
        requested_ms - host->intent_ms < COMMAND_VISIBLE_MS) {
        return;
    }
    struct backend *current = sched_host_backend(sched, host);
    bool other_incarnation =
        info->up && info->backend_id != NULL &&
        g_strcmp0(info->backend_id, host->backend_id) != 0;
    bool moved = current != NULL && other_incarnation &&
                 moved_since(sched, current, info, requested_ms);
    if (current != NULL && other_incarnation && !moved &&
        !sched_host_ended_by_command(host)) {
        /* Only entries tell which of two incarnations is the newer one. */
        return;
    }
    if (info->unavailable && current != NULL &&
        current->seen_ms < requested_ms &&
        requested_unix_ms - current->entry.incarnation_start_ms >
            WALL_CLOCK_DIFFERENCE_MAX_MS) {
        end_incarnation(sched, current);
        sched_crash_dropped(sched, host);
    }
    if (moved) {
        log_incarnation(sched, host, info->backend_id, "move in host list");
        end_incarnation(sched, current);
        sched_crash_dropped(sched, host);
        set_incarnation(sched, host, info->backend_id);
    }
    else if (other_incarnation) {
        new_incarnation(sched, host, info->backend_id, "host list");
    }
    else if (info->up && host->command_accepted && !host->command_in_flight) {
        /* The command was not carried out after all. */
        host->command_accepted = false;
        sched_host_set_intent(sched, host, HOST_STAYS, NULL);
    }
    if (!info->up && host->down_unix_ms == 0) {
        host->down_unix_ms = requested_unix_ms;
    }
    if (info->up) {
        host->down_unix_ms = 0;
    }
    host->up = info->up;
    set_pool(sched, host, info->pool);
}

void
scheduler_hosts_read(struct scheduler *sched, const struct host_info *hosts,
                     size_t n_hosts, int64_t requested_ms)
{
    /* A fleet without hosts has no use for a list of them. */
    if (n_hosts == 0) {
        return;
    }
    sched->hosts_read = true;
    sched->hosts_requested_ms = requested_ms;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, sched->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct host *host = value;
        host->present = false;
        host->left_out += requested_ms >= host->known_ms;
    }
    for (size_t i = 0; i < n_hosts; i++) {
        update_host(sched, &hosts[i], requested_ms);
    }
}

static void
on_command_accepted(struct scheduler *sched, struct host *host, int64_t number)
{
    host->command_accepted = true;
    host->commanded_before = false;
    host->up = false;
    /* Halfway through the move, because wall clocks differ slightly between
     * hosts: the old incarnation started before this time, the new one after
     * it. */
    host->down_unix_ms =
        ms_clock_now(&sched->unix_clock) + sched->timings.move_ms / 2;
    host->intent_ms = sched_now(sched);
    struct wave *wave = sched_find_wave(sched, number);
    if (wave != NULL) {
        g_hash_table_add(wave->started, g_strdup(host->name));
        host->wave = 0;
    }
    else if (host->target_pool != NULL) {
        set_pool(sched, host, host->target_pool);
    }
}

void
scheduler_on_host_command(struct scheduler *sched, const char *host_name,
                          int64_t wave_number, enum host_command_result result)
{
    struct host *host = g_hash_table_lookup(sched->hosts, host_name);
    sched_log_event(sched, "host_order_answer",
                    "\"host\":%s,\"wave\":%" G_GINT64_FORMAT ",\"answer\":%d",
                    text_quote(host_name), wave_number, result);
    if (result == HOST_COMMAND_FENCED) {
        sched->fenced = true;
    }
    if (host == NULL || !host->command_in_flight) {
        return;
    }
    host->command_in_flight = false;
    switch (result) {
    case HOST_COMMAND_FENCED:
        break;
    case HOST_COMMAND_DONE:
        on_command_accepted(sched, host, wave_number);
        break;
    case HOST_COMMAND_NOT_WANTED:
        if (sched_find_wave(sched, wave_number) != NULL) {
            g_hash_table_add(sched_find_wave(sched, wave_number)->started,
                             g_strdup(host_name));
            host->wave = 0;
        }
        sched_host_set_intent(sched, host, HOST_STAYS, NULL);
        break;
    case HOST_COMMAND_UNKNOWN:
        /* Sent again until it is answered; the command is idempotent. */
        host->retry_ms = sched_now(sched) + COMMAND_RETRY_MS;
        break;
    case HOST_COMMAND_REFUSED:
        host->retry_ms = sched_now(sched) + COMMAND_RETRY_MS;
        if (wave_number == 0) {
            sched_host_set_intent(sched, host, HOST_STAYS, NULL);
        }
        break;
    }
}
