#include "backend.h"

static const char *const state_names[] = {
    "running", "done", "failed", "stopped", "lease-ended",
};

int64_t
backend_now_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

static struct run_counts *
find_counts(GHashTable *counts, const char *name)
{
    struct run_counts *entry = g_hash_table_lookup(counts, name);
    if (entry == NULL) {
        entry = g_new0(struct run_counts, 1);
        g_hash_table_insert(counts, g_strdup(name), entry);
    }
    return entry;
}

static void
count_start(GHashTable *counts, const char *name, int64_t now_ms)
{
    struct run_counts *entry = find_counts(counts, name);
    entry->started++;
    entry->running++;
    entry->running_peak = MAX(entry->running_peak, entry->running);
    entry->last_start_ms = now_ms;
}

static void
count_end(GHashTable *counts, const char *name)
{
    struct run_counts *entry = find_counts(counts, name);
    entry->ended++;
    entry->running--;
}

struct run *
backend_run_start(struct backend *backend, struct backend_host *host,
                  const char *task, const char *team, const char *queue,
                  const char *tag)
{
    struct run *run = g_new0(struct run, 1);
    *run = (struct run){
        .task = g_strdup(task),
        .team = g_strdup(team),
        .queue = g_strdup(queue),
        .tag = g_strdup(tag),
        .host = host,
        .start_ms = backend_now_ms(),
        .state = RUN_RUNNING,
    };
    g_ptr_array_add(backend->runs, run);
    host->running++;
    host->running_peak = MAX(host->running_peak, host->running);
    count_start(backend->team_counts, team, run->start_ms);
    count_start(backend->queue_counts, queue, run->start_ms);
    count_start(backend->dc_counts, host->dc, run->start_ms);
    count_start(backend->host_counts, host->name, run->start_ms);
    return run;
}

void
backend_run_end(struct backend *backend, struct run *run, enum run_state state)
{
    run->state = state;
    run->end_ms = backend_now_ms();
    run->host->running--;
    count_end(backend->team_counts, run->team);
    count_end(backend->queue_counts, run->queue);
    count_end(backend->dc_counts, run->host->dc);
    count_end(backend->host_counts, run->host->name);
}

static void
reset_peaks(GHashTable *counts)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, counts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct run_counts *entry = value;
        entry->running_peak = entry->running;
    }
}

void
backend_peaks_reset(struct backend *backend)
{
    reset_peaks(backend->team_counts);
    reset_peaks(backend->queue_counts);
    reset_peaks(backend->dc_counts);
    reset_peaks(backend->host_counts);
    for (guint i = 0; i < backend->hosts->len; i++) {
        struct backend_host *host = g_ptr_array_index(backend->hosts, i);
        host->running_peak = host->running;
        host->open_peak = g_hash_table_size(host->open_sockets);
    }
}

char *
backend_runs_json(const struct backend *backend)
{
    GString *text = g_string_new("[");
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct run *run = g_ptr_array_index(backend->runs, i);
        g_string_append_printf(
            text,
            "%s\n{\"task\": \"%s\", \"team\": \"%s\", \"queue\": \"%s\", "
            "\"tag\": \"%s\", \"host\": \"%s\", \"dc\": \"%s\", "
            "\"start_ms\": %" G_GINT64_FORMAT ", \"end_ms\": "
            "%" G_GINT64_FORMAT ", \"state\": \"%s\"}",
            i == 0 ? "" : ",", run->task, run->team, run->queue, run->tag,
            run->host->name, run->host->dc, run->start_ms, run->end_ms,
            state_names[run->state]);
    }
    g_string_append(text, "\n]\n");
    return g_string_free(text, FALSE);
}

static void
append_counts(GString *text, const char *name, GHashTable *counts)
{
    GHashTableIter iter;
    gpointer key = NULL;
    gpointer value = NULL;
    const char *comma = "";
    g_string_append_printf(text, ",\n\"%s\": {", name);
    g_hash_table_iter_init(&iter, counts);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct run_counts *entry = value;
        g_string_append_printf(
            text,
            "%s\n\"%s\": {\"running\": %u, \"running_high\": %u, "
            "\"started\": %" G_GUINT64_FORMAT ", \"ended\": %" G_GUINT64_FORMAT
            ", \"last_start_ms\": %" G_GINT64_FORMAT "}",
            comma, (const char *)key, entry->running, entry->running_peak,
            entry->started, entry->ended, entry->last_start_ms);
        comma = ",";
    }
    g_string_append(text, "}");
}

char *
backend_summary_json(const struct backend *backend)
{
    uint32_t running_peak = 0;
    uint32_t open_peak = 0;
    uint64_t refused_connections = 0;
    for (guint i = 0; i < backend->hosts->len; i++) {
        const struct backend_host *host = g_ptr_array_index(backend->hosts, i);
        running_peak = MAX(running_peak, host->running_peak);
        open_peak = MAX(open_peak, host->open_peak);
        refused_connections += host->refused_connections;
    }
    GString *text = g_string_new(NULL);
    g_string_printf(
        text,
        "{\"now_ms\": %" G_GINT64_FORMAT ", \"duplicates\": %" G_GUINT64_FORMAT
        ", \"refused\": %" G_GUINT64_FORMAT
        ", \"lease_ends\": %" G_GUINT64_FORMAT ", \"host_running_high\": %u"
        ", \"host_connections_high\": %u"
        ", \"refused_connections\": %" G_GUINT64_FORMAT,
        backend_now_ms(), backend->duplicates, backend->refused,
        backend->lease_expiries, running_peak, open_peak, refused_connections);
    append_counts(text, "teams", backend->team_counts);
    append_counts(text, "queues", backend->queue_counts);
    append_counts(text, "dcs", backend->dc_counts);
    append_counts(text, "hosts", backend->host_counts);
    g_string_append(text, "}\n");
    return g_string_free(text, FALSE);
}
