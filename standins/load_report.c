#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "load.h"

/**
 * struct team_stats - outcomes of one team's requests
 * @failed: of those done: with an HTTP error status
 * @target_share, @achieved_share: configured and achieved fraction of the
 *                                 requests done among the competing teams
 */
struct team_stats {
    uint64_t by_outcome[LOAD_LOST + 1];
    uint64_t failed;
    double p50_ms;
    double p99_ms;
    double target_share;
    double achieved_share;
};

static gint
compare_latency(gconstpointer a, gconstpointer b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return (left > right) - (left < right);
}

static double
percentile_ms(const GArray *latencies_us, double part)
{
    if (latencies_us->len == 0) {
        return 0;
    }
    guint index = (guint)((double)(latencies_us->len - 1) * part);
    return (double)g_array_index(latencies_us, int64_t, index) / 1000.0;
}

static void
collect_team_stats(const struct load *load, const struct load_team *team,
                   struct team_stats *stats)
{
    GArray *latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (guint i = 0; i < load->requests->len; i++) {
        const struct load_request *request =
            g_ptr_array_index(load->requests, i);
        if (request->team != team) {
            continue;
        }
        stats->by_outcome[request->outcome]++;
        if (request->outcome == LOAD_DONE) {
            g_array_append_val(latencies_us, request->latency_us);
            stats->failed += request->status >= SOUP_STATUS_BAD_REQUEST;
        }
    }
    g_array_sort(latencies_us, compare_latency);
    stats->p50_ms = percentile_ms(latencies_us, 0.5);
    stats->p99_ms = percentile_ms(latencies_us, 0.99);
    g_array_free(latencies_us, TRUE);
}

/* Shares are relative to the sum over the teams that demand more than their
 * share. */
static struct team_stats *
collect_stats(const struct load *load)
{
    struct team_stats *all = g_new0(struct team_stats, load->teams->len);
    double shares = 0;
    double done = 0;
    for (guint i = 0; i < load->teams->len; i++) {
        const struct load_team *team = g_ptr_array_index(load->teams, i);
        collect_team_stats(load, team, &all[i]);
        if (team->competes) {
            shares += team->share_permille;
            done += (double)all[i].by_outcome[LOAD_DONE];
        }
    }
    for (guint i = 0; i < load->teams->len; i++) {
        const struct load_team *team = g_ptr_array_index(load->teams, i);
        if (team->competes && shares > 0 && done > 0) {
            all[i].target_share = team->share_permille / shares;
            all[i].achieved_share =
                (double)all[i].by_outcome[LOAD_DONE] / done;
        }
    }
    return all;
}

static void
print_share(const struct load_team *team, double share)
{
    if (team->competes) {
        printf(" %7.3f", share);
    }
    else {
        printf(" %7s", "-");
    }
}

void
load_print_table(const struct load *load)
{
    struct team_stats *all = collect_stats(load);
    printf("%-20s %7s %9s %8s %8s %6s %8s %8s %7s %7s %11s\n", "team", "sent",
           "completed", "not-run", "unknown", "lost", "p50 ms", "p99 ms",
           "wanted", "got", "high/limit");
    for (guint i = 0; i < load->teams->len; i++) {
        const struct load_team *team = g_ptr_array_index(load->teams, i);
        const uint64_t *counts = all[i].by_outcome;
        printf("%-20s %7" PRIu64 " %9" PRIu64 " %8" PRIu64 " %8" PRIu64
               " %6" PRIu64 " %8.1f %8.1f",
               team->name, team->sent, counts[LOAD_DONE], counts[LOAD_NOT_RUN],
               counts[LOAD_UNKNOWN], counts[LOAD_LOST], all[i].p50_ms,
               all[i].p99_ms);
        print_share(team, all[i].target_share);
        print_share(team, all[i].achieved_share);
        printf(" %5u/%u\n", team->running_peak, team->max_running);
    }
    g_free(all);
}

static void
add_reasons(JsonBuilder *builder, const struct load *load,
            const struct load_team *team)
{
    GHashTable *reasons = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer key = NULL;
    gpointer value = NULL;
    for (guint i = 0; i < load->requests->len; i++) {
        const struct load_request *request =
            g_ptr_array_index(load->requests, i);
        if (request->team == team && request->reason != NULL) {
            value = g_hash_table_lookup(reasons, request->reason);
            g_hash_table_insert(reasons, request->reason,
                                GUINT_TO_POINTER(GPOINTER_TO_UINT(value) + 1));
        }
    }
    json_builder_set_member_name(builder, "reasons");
    json_builder_begin_object(builder);
    g_hash_table_iter_init(&iter, reasons);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        json_builder_set_member_name(builder, key);
        json_builder_add_int_value(builder, GPOINTER_TO_UINT(value));
    }
    json_builder_end_object(builder);
    g_hash_table_destroy(reasons);
}

static void
add_int(JsonBuilder *builder, const char *name, uint64_t value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, (gint64)value);
}

static void
add_double(JsonBuilder *builder, const char *name, double value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_double_value(builder, value);
}

static void
add_team(JsonBuilder *builder, const struct load *load,
         const struct load_team *team, const struct team_stats *stats)
{
    json_builder_set_member_name(builder, team->name);
    json_builder_begin_object(builder);
    add_int(builder, "sent", team->sent);
    add_int(builder, "done", stats->by_outcome[LOAD_DONE]);
    add_int(builder, "failed", stats->failed);
    add_int(builder, "not_run", stats->by_outcome[LOAD_NOT_RUN]);
    add_int(builder, "unknown", stats->by_outcome[LOAD_UNKNOWN]);
    add_int(builder, "lost", stats->by_outcome[LOAD_LOST]);
    add_int(builder, "running_high", team->running_peak);
    add_double(builder, "p50_ms", stats->p50_ms);
    add_double(builder, "p99_ms", stats->p99_ms);
    add_double(builder, "wanted", stats->target_share);
    add_double(builder, "got", stats->achieved_share);
    add_reasons(builder, load, team);
    json_builder_end_object(builder);
}

/* Times of the last response of each kind, from which tests see when requests
 * stopped being done or refused. */
static void
add_last_times(JsonBuilder *builder, const struct load *load)
{
    int64_t last_done_ms = 0;
    int64_t last_refused_ms = 0;
    for (guint i = 0; i < load->requests->len; i++) {
        const struct load_request *request =
            g_ptr_array_index(load->requests, i);
        if (request->outcome == LOAD_DONE) {
            last_done_ms = MAX(last_done_ms, request->end_ms);
        }
        else {
            last_refused_ms = MAX(last_refused_ms, request->end_ms);
        }
    }
    add_int(builder, "last_done_ms", (uint64_t)last_done_ms);
    add_int(builder, "last_refused_ms", (uint64_t)last_refused_ms);
}

bool
load_write_results(const struct load *load, const struct load_checks *checks,
                   const char *file)
{
    struct team_stats *all = collect_stats(load);
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    add_int(builder, "checked", checks->checked);
    add_int(builder, "violated", checks->violated);
    add_int(builder, "elapsed_ms", (uint64_t)(load->end_ms - load->start_ms));
    add_last_times(builder, load);
    json_builder_set_member_name(builder, "teams");
    json_builder_begin_object(builder);
    for (guint i = 0; i < load->teams->len; i++) {
        add_team(builder, load, g_ptr_array_index(load->teams, i), &all[i]);
    }
    json_builder_end_object(builder);
    json_builder_end_object(builder);
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, TRUE);
    bool written = g_file_set_contents(file, text, -1, NULL);
    g_free(text);
    json_node_unref(root);
    g_object_unref(builder);
    g_free(all);
    return written;
}
