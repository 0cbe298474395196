#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "../tests/process/process_config.h"
#include "gateway_bench.h"

enum {
    CALLERS = 16,
    IDEMPOTENT_PERMILLE = 1000,
    NOT_IDEMPOTENT_PERMILLE = 0,
};

static struct fleet *fleet;
static char *key;

/** struct path_load - parameters of one run of the load generator */
struct path_load {
    const char *target;
    const char *key;
    bool direct;
    uint32_t callers;
    /* Open-loop requests per second, or 0. */
    uint32_t rate_per_s;
    uint32_t idempotent_permille;
    const char *body;
};

/* Runs callers of one target that continue at once after a refusal. */
static JsonNode *
run_load(const struct path_load *load)
{
    char *plan = g_strdup_printf(
        "{\"duration_ms\": 4000, \"direct\": %s, \"teams\": ["
        "{\"team\": \"alpha\", \"key\": \"%s\", \"queues\": [\"keyed\"],"
        " \"concurrency\": %u, \"rate_per_s\": %u, \"backoff_ms\": 0,"
        " \"idempotent_permille\": %u, \"body\": \"%s\"}]}",
        load->direct ? "true" : "false", load->key, load->callers,
        load->rate_per_s, load->idempotent_permille, load->body);
    JsonNode *results = fleet_load_run_at(fleet, plan, load->target);
    g_free(plan);
    return results;
}

static char *
host_targets(uint32_t n)
{
    GString *text = g_string_new(NULL);
    JsonArray *hosts = json_node_get_array(fleet->hosts);
    n = MIN(n, json_array_get_length(hosts));
    for (guint i = 0; i < n; i++) {
        JsonObject *service = json_object_get_object_member(
            json_array_get_object_element(hosts, i), "Service");
        g_string_append_printf(text, "%s127.0.0.1:%" G_GINT64_FORMAT,
                               i == 0 ? "" : ",",
                               json_object_get_int_member(service, "Port"));
    }
    return g_string_free(text, FALSE);
}

static double
done_per_s(JsonNode *results)
{
    double done = (double)fleet_result(results, "alpha", "done");
    double elapsed_ms = (double)fleet_result(results, NULL, "elapsed_ms");
    json_node_unref(results);
    return done * 1000 / elapsed_ms;
}

static double
relay_done_per_s(uint32_t idempotent_permille)
{
    char *host = host_targets(1);
    char *target = fleet_relay_start(
        fleet, host, idempotent_permille == NOT_IDEMPOTENT_PERMILLE);
    double value = done_per_s(run_load(&(struct path_load){
        .target = target,
        .key = key,
        .direct = true,
        .callers = CALLERS,
        .idempotent_permille = idempotent_permille,
        .body = "run_ms=0",
    }));
    g_free(target);
    g_free(host);
    return value;
}

static double
bench_throughput(const char *gateway, const char *name,
                 uint32_t idempotent_permille)
{
    double relay_per_s = relay_done_per_s(idempotent_permille);
    double gateway_per_s = done_per_s(run_load(&(struct path_load){
        .target = gateway,
        .key = key,
        .callers = CALLERS,
        .idempotent_permille = idempotent_permille,
        .body = "run_ms=0",
    }));
    fprintf(stderr, "%s: relay %.0f/s, egretd %.0f/s\n", name, relay_per_s,
            gateway_per_s);
    bench_report(name, gateway_per_s / relay_per_s, "of relay", 0.6, true);
    return gateway_per_s;
}

/* Latency at half of the throughput that was measured before. */
static void
bench_latency(const char *gateway, double throughput_per_s)
{
    char *hosts = host_targets(8);
    uint32_t rate_per_s = (uint32_t)(throughput_per_s / 2);
    JsonNode *direct_results = run_load(&(struct path_load){
        .target = hosts,
        .key = key,
        .direct = true,
        .rate_per_s = rate_per_s,
        .idempotent_permille = IDEMPOTENT_PERMILLE,
        .body = "run_ms=20",
    });
    JsonNode *gateway_results = run_load(&(struct path_load){
        .target = gateway,
        .key = key,
        .rate_per_s = rate_per_s,
        .idempotent_permille = IDEMPOTENT_PERMILLE,
        .body = "run_ms=20",
    });
    bench_report("added_latency_p50",
                 fleet_result_double(gateway_results, "alpha", "p50_ms") -
                     fleet_result_double(direct_results, "alpha", "p50_ms"),
                 "ms", 1, false);
    bench_report("added_latency_p99",
                 fleet_result_double(gateway_results, "alpha", "p99_ms") -
                     fleet_result_double(direct_results, "alpha", "p99_ms"),
                 "ms", 5, false);
    json_node_unref(direct_results);
    json_node_unref(gateway_results);
    g_free(hosts);
}

static double
cpu_us_per_request(const char *gateway, const char *presented_key,
                   const char *member)
{
    struct bench_usage before = bench_usage_read(fleet, 0);
    JsonNode *results = run_load(&(struct path_load){
        .target = gateway,
        .key = presented_key,
        .callers = CALLERS,
        .idempotent_permille = IDEMPOTENT_PERMILLE,
        .body = "run_ms=0",
    });
    struct bench_usage after = bench_usage_read(fleet, 0);
    double n = (double)fleet_result(results, "alpha", member);
    json_node_unref(results);
    return (double)(after.cpu_ms - before.cpu_ms) * 1000 / n;
}

static void
bench_refusal(const char *gateway)
{
    double served_us = cpu_us_per_request(gateway, key, "done");
    double refused_us = cpu_us_per_request(
        gateway,
        "egk.aaaaaaaaaaaa.AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA",
        "not_run");
    fprintf(stderr, "refusal: served %.1f us, refused %.1f us\n", served_us,
            refused_us);
    bench_report("refusal_cost", refused_us / served_us, "of served", 0.1,
                 false);
}

void
bench_path(void)
{
    fleet = fleet_start(&(struct fleet_options){
        .name = "bench-path",
        .gateways = 1,
        .layout = PROCESS_LAYOUT,
        .dcs = PROCESS_DCS,
        .config = PROCESS_CONFIG("64"),
        .direct_backends = true,
    });
    key = fleet_key(fleet, "alpha");
    char *gateway = g_strdup_printf("127.0.0.1:%u", fleet->http_ports[0]);
    double throughput_per_s = bench_throughput(
        gateway, "throughput_reused_connections", IDEMPOTENT_PERMILLE);
    bench_latency(gateway, throughput_per_s);
    bench_throughput(gateway, "throughput_new_connections",
                     NOT_IDEMPOTENT_PERMILLE);
    bench_refusal(gateway);
    g_free(gateway);
    g_free(key);
    fleet_stop(fleet);
}
