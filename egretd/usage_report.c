#include "egretd/usage_report.h"

enum {
    ACTIVE_INTERVAL_MS = 250,
    IDLE_INTERVAL_MS = 2000,
    /* Long reports are sent less often, to keep the traffic below this. */
    ACTIVE_BYTES_PER_S = 16 << 10,
    IDLE_BYTES_PER_S = 1 << 10,
    /* Peers discard reports older than 3 s (PEER_REPORT_MAX_AGE_MS). */
    ACTIVE_INTERVAL_MAX_MS = 2500,
    IDLE_INTERVAL_MAX_MS = 60000,
    /* Estimated size of one entry on the wire. */
    USAGE_ENTRY_BYTES = 40,
};

struct usage_report {
    struct usage_report_options options;
    guint timer;
    int64_t last_sent_ms;
    bool was_active;
    /* A peer with waiting tasks needs to know of free permits soon. */
    bool peer_has_queued;
};

static bool
is_active(const struct dispatch_usage *entries, size_t n_entries)
{
    for (size_t i = 0; i < n_entries; i++) {
        if (entries[i].running > 0 || entries[i].queued > 0) {
            return true;
        }
    }
    return false;
}

static void
send_usage(struct usage_report *report, const struct dispatch_usage *entries,
           size_t n_entries)
{
    n_entries = MIN(n_entries, MESSAGE_USAGE_MAX_ENTRIES);
    struct message_usage_entry *copies =
        g_new0(struct message_usage_entry, n_entries);
    for (size_t i = 0; i < n_entries; i++) {
        copies[i] = (struct message_usage_entry){
            .team = (char *)entries[i].team,
            .pool = (char *)entries[i].pool,
            .running = entries[i].running,
            .queued = entries[i].queued,
            .served_milli = entries[i].served_milli,
            .free_permits = entries[i].free_permits,
        };
    }
    struct message message = {
        .type = MESSAGE_USAGE,
        .as.usage = {.entries = copies, .n_entries = n_entries},
    };
    peers_broadcast(report->options.peers, &message);
    g_free(copies);
}

static int64_t
interval_ms(const struct usage_report *report, size_t n_entries, bool active)
{
    int64_t n_peers = peers_get_stats(report->options.peers).linked;
    int64_t size_bytes = (int64_t)n_entries * USAGE_ENTRY_BYTES * n_peers;
    if (active) {
        return CLAMP(size_bytes * 1000 / ACTIVE_BYTES_PER_S,
                     ACTIVE_INTERVAL_MS, ACTIVE_INTERVAL_MAX_MS);
    }
    return CLAMP(size_bytes * 1000 / IDLE_BYTES_PER_S, IDLE_INTERVAL_MS,
                 IDLE_INTERVAL_MAX_MS);
}

static gboolean
on_timer(void *data)
{
    struct usage_report *report = data;
    const struct dispatch_usage *entries;
    int64_t now_ms = ms_clock_now(&report->options.clock);
    size_t n_entries = dispatch_usage_get(
        engine_dispatch(report->options.engine), &entries, now_ms);
    bool active = is_active(entries, n_entries);
    /* One more report at the active interval shows peers that the last task
     * has ended. */
    int64_t wait_ms =
        interval_ms(report, n_entries,
                    active || report->was_active || report->peer_has_queued);
    if (now_ms - report->last_sent_ms >= wait_ms) {
        send_usage(report, entries, n_entries);
        report->last_sent_ms = now_ms;
        report->was_active = active;
        report->peer_has_queued = false;
    }
    return G_SOURCE_CONTINUE;
}

void
usage_report_received(struct usage_report *report, const char *peer,
                      const struct message_usage *usage)
{
    struct dispatch_usage *entries =
        g_new0(struct dispatch_usage, usage->n_entries);
    for (size_t i = 0; i < usage->n_entries; i++) {
        report->peer_has_queued |= usage->entries[i].queued > 0;
        entries[i] = (struct dispatch_usage){
            .team = usage->entries[i].team,
            .pool = usage->entries[i].pool,
            .running = usage->entries[i].running,
            .queued = usage->entries[i].queued,
            .served_milli = usage->entries[i].served_milli,
            .free_permits = usage->entries[i].free_permits,
        };
    }
    dispatch_peer_usage(engine_dispatch(report->options.engine), peer, entries,
                        usage->n_entries,
                        ms_clock_now(&report->options.clock));
    g_free(entries);
    engine_run_actions(report->options.engine);
}

struct usage_report *
usage_report_create(const struct usage_report_options *options)
{
    struct usage_report *report = g_new0(struct usage_report, 1);
    report->options = *options;
    report->timer = g_timeout_add(ACTIVE_INTERVAL_MS, on_timer, report);
    return report;
}

void
usage_report_destroy(struct usage_report *report)
{
    if (report == NULL) {
        return;
    }
    g_source_remove(report->timer);
    g_free(report);
}
