/* Measures the size of a configuration and of its changes, and the time until
 * a change is active on all gateways. */
#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/key.h"
#include "egretd/config_feed.h"
#include "store/config_store.h"

enum {
    GATEWAYS = 7,
    CHANGES = 40,
    KEYS_PER_TEAM = 3,
    QUEUES_PER_POOL = 2,
    DCS = 7,
    TIMEOUT_MS = 2000,
    WATCH_WAIT_MS = 10000,
    POLL_MS = 1000,
};

/* 4 KB/s at 2,600 changes per day. */
#define CHANGE_BOUND_BYTES (4096.0 * 86400 / 2600)
#define ACTIVE_BOUND_MS 3000.0
/* 2.5% of a core at 2,600 changes per day, if all of it went into joining the
 * parts. */
#define JOIN_BOUND_MS (25.0 * 86400 / 2600)

struct bench_size {
    unsigned teams;
    unsigned pools;
};

static bool all_met = true;

static void
report(const char *name, unsigned teams, double value, const char *unit,
       double bound)
{
    bool met = value <= bound;
    all_met = all_met && met;
    printf("{\"name\": \"%s_%u_teams\", \"value\": %.1f, \"unit\": \"%s\", "
           "\"bound\": %.0f, \"ok\": %s}\n",
           name, teams, value, unit, bound, met ? "true" : "false");
}

static void
add_teams(GString *text, const struct bench_size *size)
{
    for (unsigned i = 0; i < size->teams; i++) {
        g_string_append_printf(text,
                               "%s{\"name\":\"team-%u\",\"share_permille\":1,"
                               "\"max_running\":%u,\"keys\":[",
                               i == 0 ? "" : ",", i, 10 + i);
        for (unsigned k = 0; k < KEYS_PER_TEAM; k++) {
            char hash[CONFIG_HASH_HEX_BYTES + 1];
            char id[KEY_ID_BYTES + 1];
            g_snprintf(id, sizeof(id), "k%05uid%04u", i, k);
            key_hash(id, hash);
            g_string_append_printf(text,
                                   "%s{\"id\":\"%s\",\"sha256\":\"%s\","
                                   "\"expires_s\":1900000000}",
                                   k == 0 ? "" : ",", id, hash);
        }
        g_string_append(text, "]}");
    }
}

static void
add_pools(GString *text, const struct bench_size *size)
{
    for (unsigned i = 0; i < size->pools; i++) {
        g_string_append_printf(text,
                               "%s{\"name\":\"pool-%u\",\"min_hosts\":80,"
                               "\"min_available_hosts\":70}",
                               i == 0 ? "" : ",", i);
    }
    g_string_append(text, "],\"queues\":[");
    for (unsigned i = 0; i < size->pools * QUEUES_PER_POOL; i++) {
        g_string_append_printf(text,
                               "%s{\"name\":\"queue-%u\",\"pool\":\"pool-%u\","
                               "\"start_deadline_ms\":5000,"
                               "\"max_run_ms\":60000}",
                               i == 0 ? "" : ",", i, i / QUEUES_PER_POOL);
    }
}

static struct config *
make_config(const struct bench_size *size)
{
    GString *text = g_string_new("{\"service_unit\":\"task\","
                                 "\"data_centres\":[");
    for (unsigned i = 0; i < DCS; i++) {
        g_string_append_printf(text,
                               "%s{\"name\":\"dc-%u\",\"region\":\"r-%u\"}",
                               i == 0 ? "" : ",", i, i % 3);
    }
    g_string_append(text, "],\"pools\":[");
    add_pools(text, size);
    g_string_append(text, "],\"teams\":[");
    add_teams(text, size);
    g_string_append(text, "]}");
    struct findings *findings = findings_create();
    JsonNode *root = json_from_string(text->str, NULL);
    struct config *config = config_parse(root, "bench", findings);
    findings_print(findings, stderr);
    findings_destroy(findings);
    json_node_unref(root);
    g_string_free(text, TRUE);
    if (config == NULL) {
        exit(EXIT_FAILURE);
    }
    return config;
}

static void
measure_sizes(const struct bench_size *size, const struct config *config)
{
    GTree *part_texts = config_split(config);
    struct config_head head = {
        .generation = 1000000,
        .id = "0123456789abcdef",
        .previous = "0123456789abcdef",
        .author = "operator@host",
        .summary = "key issue team-000 0123456789ab",
        .parts = config_part_keys(part_texts),
    };
    char *head_text = config_head_render(&head);
    size_t largest_part_bytes = 0;
    size_t total_bytes = strlen(head_text);
    for (GTreeNode *node = g_tree_node_first(part_texts); node != NULL;
         node = g_tree_node_next(node)) {
        size_t size_bytes = strlen(g_tree_node_value(node));
        largest_part_bytes = MAX(largest_part_bytes, size_bytes);
        total_bytes += size_bytes;
    }
    report("config_head_bytes", size->teams, (double)strlen(head_text),
           "bytes", STORE_VALUE_MAX_BYTES);
    report("config_largest_part_bytes", size->teams,
           (double)largest_part_bytes, "bytes", STORE_VALUE_MAX_BYTES);
    report("config_whole_bytes", size->teams, (double)total_bytes, "bytes",
           2.0 * (1 << 20));
    struct findings *findings = findings_create();
    int64_t start_us = g_get_monotonic_time();
    config_destroy(config_join(&head, part_texts, findings));
    report("config_join_ms", size->teams,
           (double)(g_get_monotonic_time() - start_us) / 1000, "ms",
           JOIN_BOUND_MS);
    findings_destroy(findings);
    g_tree_unref(head.parts);
    g_tree_unref(part_texts);
    g_free(head_text);
}

/**
 * struct bench - configuration feeds of all gateways in this process, and a
 * stand-in store in another one
 * @published: the last change has been written
 * @generation: generation of the last change
 * @written_us: when its write was confirmed
 */
struct bench {
    GSubprocess *child;
    char *url;
    struct counters *counters;
    struct store *operator_store;
    struct store *stores[GATEWAYS];
    struct config_feed *feeds[GATEWAYS];
    struct config *config;
    bool published;
    uint64_t generation;
    int64_t written_us;
};

static void
start_store(struct bench *bench)
{
    bench->child = g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL,
                                    getenv("STANDIN_STORE"), NULL);
    GDataInputStream *lines =
        g_data_input_stream_new(g_subprocess_get_stdout_pipe(bench->child));
    char *line = g_data_input_stream_read_line(lines, NULL, NULL, NULL);
    if (line == NULL) {
        exit(EXIT_FAILURE);
    }
    bench->url =
        g_strdup_printf("http://127.0.0.1:%s", line + strlen("port="));
    g_free(line);
    g_object_unref(lines);
}

static struct store *
open_store(const struct bench *bench)
{
    return store_create(&(struct store_options){
        .url = bench->url,
        .timeout_ms = TIMEOUT_MS,
        .watch_wait_ms = WATCH_WAIT_MS,
        .clock = ms_clock_system(),
    });
}

static void
on_changed(void *ctx, const struct config *config)
{
    (void)ctx;
    (void)config;
}

static void
on_published(void *ctx, const struct config_publish_result *result)
{
    struct bench *bench = ctx;
    if (!status_ok(&result->status)) {
        fprintf(stderr, "cannot publish the configuration: %s\n",
                result->status.message);
        exit(EXIT_FAILURE);
    }
    bench->published = true;
    bench->generation = result->generation;
    bench->written_us = g_get_monotonic_time();
}

static void
on_current_config(void *ctx, struct config_snapshot *snapshot)
{
    struct bench *bench = ctx;
    const struct config_publish_request request = {
        .config = bench->config,
        .base = snapshot->head,
        .base_version = snapshot->head_version,
        .author = "operator@host",
        .summary = "key issue team-000 0123456789ab",
    };
    config_publish(bench->operator_store, &request,
                   (struct config_publish_callback){
                       .done = on_published,
                       .ctx = bench,
                   });
}

static bool
active_everywhere(const struct bench *bench)
{
    for (unsigned i = 0; i < GATEWAYS; i++) {
        if (config_feed_generation(bench->feeds[i]) < bench->generation) {
            return false;
        }
    }
    return bench->published;
}

/* Returns the time in ms from the confirmed write until the change is active
 * on all gateways. */
static double
publish_and_wait_active(struct bench *bench)
{
    bench->published = false;
    config_fetch(bench->operator_store, NULL,
                 (struct config_fetch_callback){
                     .done = on_current_config,
                     .ctx = bench,
                 });
    while (!active_everywhere(bench)) {
        g_main_context_iteration(NULL, TRUE);
    }
    return (double)(g_get_monotonic_time() - bench->written_us) / 1000;
}

static struct store_stats
feed_stats(const struct bench *bench)
{
    struct store_stats sum = {.calls = 0};
    for (unsigned i = 0; i < GATEWAYS; i++) {
        struct store_stats one = store_stats_get(bench->stores[i]);
        sum.calls += one.calls;
        sum.bytes_in += one.bytes_in;
    }
    return sum;
}

static void
change_config(struct bench *bench, unsigned round)
{
    size_t team = round * 17 % bench->config->n_teams;
    bench->config->teams[team].max_running += 1 + round;
}

static int
compare_times(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

static void
measure_changes(struct bench *bench, const struct bench_size *size)
{
    double times_ms[CHANGES];
    publish_and_wait_active(bench);
    struct store_stats before = feed_stats(bench);
    struct store_stats operator_before =
        store_stats_get(bench->operator_store);
    for (unsigned i = 0; i < CHANGES; i++) {
        change_config(bench, i);
        times_ms[i] = publish_and_wait_active(bench);
    }
    struct store_stats after = feed_stats(bench);
    struct store_stats operator_after = store_stats_get(bench->operator_store);
    qsort(times_ms, CHANGES, sizeof(times_ms[0]), compare_times);
    report("config_change_bytes", size->teams,
           (double)(after.bytes_in - before.bytes_in) / CHANGES / GATEWAYS,
           "bytes", CHANGE_BOUND_BYTES);
    report("config_change_gateway_calls", size->teams,
           (double)(after.calls - before.calls) / CHANGES / GATEWAYS, "calls",
           10);
    report("config_change_operator_calls", size->teams,
           (double)(operator_after.calls - operator_before.calls) / CHANGES,
           "calls", 20);
    report("config_in_force_ms_p50", size->teams, times_ms[CHANGES / 2], "ms",
           ACTIVE_BOUND_MS);
    report("config_in_force_ms_max", size->teams, times_ms[CHANGES - 1], "ms",
           ACTIVE_BOUND_MS);
}

static void
run_changes(const struct bench_size *size)
{
    struct bench bench = {.config = make_config(size)};
    start_store(&bench);
    bench.counters = counters_create();
    bench.operator_store = open_store(&bench);
    for (unsigned i = 0; i < GATEWAYS; i++) {
        bench.stores[i] = open_store(&bench);
        bench.feeds[i] = config_feed_create(&(struct config_feed_options){
            .store = bench.stores[i],
            .counters = bench.counters,
            .clock = ms_clock_system(),
            .poll_ms = POLL_MS,
            .listener = {.changed = on_changed},
        });
    }
    measure_changes(&bench, size);
    for (unsigned i = 0; i < GATEWAYS; i++) {
        config_feed_destroy(bench.feeds[i]);
        store_destroy(bench.stores[i]);
    }
    store_destroy(bench.operator_store);
    counters_destroy(bench.counters);
    config_destroy(bench.config);
    g_subprocess_force_exit(bench.child);
    g_subprocess_wait(bench.child, NULL, NULL);
    g_object_unref(bench.child);
    g_free(bench.url);
}

int
main(void)
{
    static const struct bench_size sizes[] = {{6, 6}, {67, 18}, {670, 56}};
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct config *config = make_config(&sizes[i]);
        measure_sizes(&sizes[i], config);
        config_destroy(config);
        run_changes(&sizes[i]);
    }
    return all_met ? EXIT_SUCCESS : EXIT_FAILURE;
}
