/* Measures the resource usage of one gateway and one fleet controller for
 * fleets of three sizes, with 3 entry hosts or as many as the argument says.
 * Exits with 1 when a bound is missed at the smallest size, that of today's
 * fleet; at the larger sizes a miss is only reported. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "capacity.h"

enum {
    ENTRY_HOSTS_DEFAULT = 3,
    /* Steady state: few writes to the store from all daemons together. */
    STEADY_WAIT_MIN_MS = 4000,
    STEADY_WAIT_MAX_MS = 42000,
    STEADY_SAMPLE_MS = 2000,
    STEADY_PUTS_PER_S = 12,
    /* As long as a watch waits, so that each watch is repeated once. */
    IDLE_MS = 10000,
    CONFIG_CHANGES = 60,
    CHANGES_MS = 10000,
    WAITED_CHANGES = 3,
    LIST_CHANGES = 4,
    LIST_CHANGE_MS = 1000,
    SIZES = 3,
    SERIES_MAX = 64,
};

#define BOUND_NONE 0.0
#define BOUND_MB 32.0
#define BOUND_BYTES_PER_S 4096.0
#define BOUND_CPU_PERCENT 2.5
#define BOUND_ACTIVE_MS 3000.0
#define BOUND_VALUE_BYTES 1000000.0

/* At the largest size; scaled by the number of hosts for smaller fleets. A
 * host that fails, restarts or is maintained changes the host list twice: it
 * leaves the live hosts and returns. */
#define SECONDS_PER_DAY 86400.0
#define CONFIG_CHANGES_PER_DAY 2600.0
#define LIST_CHANGES_PER_DAY (2.0 * (63 + 430 + 5700 / 35.0))

static const struct capacity_size sizes[SIZES] = {
    {.teams = 6, .hosts = 50, .pools = 5},
    {.teams = 67, .hosts = 570, .pools = 12},
    {.teams = 670, .hosts = 5700, .pools = 56},
};

/** struct capacity_series - a measured value at each size */
struct capacity_series {
    char name[64];
    const char *unit;
    double values[SIZES];
};

static struct capacity_series series[SERIES_MAX];
static uint32_t n_series;
static uint32_t n_entry_hosts = ENTRY_HOSTS_DEFAULT;
static bool smallest_size_met = true;

static struct capacity_series *
find_series(const char *name, const char *unit)
{
    for (uint32_t i = 0; i < n_series; i++) {
        if (g_str_equal(series[i].name, name)) {
            return &series[i];
        }
    }
    struct capacity_series *added = &series[n_series++];
    g_assert(n_series <= SERIES_MAX);
    g_strlcpy(added->name, name, sizeof(added->name));
    added->unit = unit;
    return added;
}

static void
report(uint32_t size, const char *name, double value, const char *unit,
       double bound)
{
    find_series(name, unit)->values[size] = value;
    printf("{\"name\": \"capacity_%s_%u_teams\", \"value\": %.5g,"
           " \"unit\": \"%s\"",
           name, sizes[size].teams, value, unit);
    if (bound != BOUND_NONE) {
        bool met = value <= bound;
        smallest_size_met = smallest_size_met && (met || size > 0);
        printf(", \"bound\": \"<= %.4g\", \"ok\": %s", bound,
               met ? "true" : "false");
    }
    printf("%s}\n", size > 0 ? ", \"target\": true" : "");
    fflush(stdout);
}

/* Prints a least-squares fit over the number of hosts; the number of teams
 * grows in proportion to it. */
static void
print_fit(const struct capacity_series *fitted)
{
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (uint32_t i = 0; i < SIZES; i++) {
        double x = sizes[i].hosts;
        sx += x;
        sy += fitted->values[i];
        sxx += x * x;
        sxy += x * fitted->values[i];
    }
    double slope = (SIZES * sxy - sx * sy) / (SIZES * sxx - sx * sx);
    double intercept = (sy - slope * sx) / SIZES;
    double residual = 0;
    for (uint32_t i = 0; i < SIZES; i++) {
        double error = fitted->values[i] - intercept - slope * sizes[i].hosts;
        residual = fmax(residual, fabs(error));
    }
    printf("{\"name\": \"capacity_%s_per_1000_hosts\", \"value\": %.4g,"
           " \"unit\": \"%s\", \"at_0\": %.4g, \"residual\": %.3g}\n",
           fitted->name, slope * 1000, fitted->unit, intercept, residual);
}

static void
report_for_daemon(uint32_t size, const char *daemon, const char *what,
                  double value, const char *unit, double bound)
{
    char *name = g_strdup_printf("%s_%s", daemon, what);
    report(size, name, value, unit, bound);
    g_free(name);
}

/** struct measured - usage of a daemon before and after each phase */
struct measured {
    const char *name;
    struct capacity_daemon daemon;
    struct capacity_usage idle[2];
    struct capacity_usage changes[2];
    struct capacity_usage host_lists[2];
};

/** struct cost - processor time and bytes, per second or per event */
struct cost {
    double cpu_ms;
    double bytes;
};

static struct cost
cost_per_s(const struct capacity_usage usages[2], double seconds)
{
    return (struct cost){
        .cpu_ms = (double)(usages[1].cpu_ms - usages[0].cpu_ms) / seconds,
        .bytes = (double)(capacity_usage_bytes(&usages[1]) -
                          capacity_usage_bytes(&usages[0])) /
                 seconds,
    };
}

/* Cost of each of @n events, in addition to @idle. */
static struct cost
cost_per_event(const struct capacity_usage usages[2], double seconds,
               const struct cost *idle, uint32_t n)
{
    struct cost cost = cost_per_s(usages, seconds);
    return (struct cost){
        .cpu_ms = fmax(0, (cost.cpu_ms - idle->cpu_ms) * seconds / n),
        .bytes = fmax(0, (cost.bytes - idle->bytes) * seconds / n),
    };
}

static void
report_bytes(uint32_t size, const struct measured *measured)
{
    const struct capacity_usage *from = &measured->idle[0];
    const struct capacity_usage *to = &measured->idle[1];
    double seconds = IDLE_MS / 1000.0;
    const struct {
        const char *what;
        int64_t bytes;
    } rows[] = {
        {"rest_store_in", to->store_in_bytes - from->store_in_bytes},
        {"rest_store_out", to->store_out_bytes - from->store_out_bytes},
        {"rest_peers_in", to->peer_in_bytes - from->peer_in_bytes},
        {"rest_peers_out", to->peer_out_bytes - from->peer_out_bytes},
    };
    for (size_t i = 0; i < (measured->daemon.n_peers > 0 ? 4 : 2); i++) {
        report_for_daemon(size, measured->name, rows[i].what,
                          (double)rows[i].bytes / seconds, "bytes/s",
                          BOUND_NONE);
    }
}

static void
report_daemon(uint32_t size, const struct measured *measured,
              const double seconds[2])
{
    const char *name = measured->name;
    const struct capacity_usage *last = &measured->host_lists[1];
    struct cost idle = cost_per_s(measured->idle, IDLE_MS / 1000.0);
    struct cost change =
        cost_per_event(measured->changes, seconds[0], &idle, CONFIG_CHANGES);
    struct cost list_change =
        cost_per_event(measured->host_lists, seconds[1], &idle, LIST_CHANGES);
    double fraction = (double)sizes[size].hosts / sizes[SIZES - 1].hosts;
    double changes_per_s = CONFIG_CHANGES_PER_DAY * fraction / SECONDS_PER_DAY;
    double lists_per_s = LIST_CHANGES_PER_DAY * fraction / SECONDS_PER_DAY;
    report_bytes(size, measured);
    report_for_daemon(size, name, "rest_rss",
                      (double)measured->idle[1].rss_kb / 1024, "MB", BOUND_MB);
    report_for_daemon(size, name, "last_rss", (double)last->rss_kb / 1024,
                      "MB", BOUND_MB);
    report_for_daemon(size, name, "peak_rss", (double)last->peak_kb / 1024,
                      "MB", BOUND_MB);
    report_for_daemon(size, name, "rest_bytes", idle.bytes, "bytes/s",
                      BOUND_BYTES_PER_S);
    report_for_daemon(size, name, "rest_cpu", idle.cpu_ms / 10, "percent",
                      BOUND_CPU_PERCENT);
    report_for_daemon(size, name, "change_bytes", change.bytes, "bytes",
                      BOUND_NONE);
    report_for_daemon(size, name, "change_cpu", change.cpu_ms, "ms",
                      BOUND_NONE);
    report_for_daemon(size, name, "list_bytes", list_change.bytes, "bytes",
                      BOUND_NONE);
    report_for_daemon(size, name, "list_cpu", list_change.cpu_ms, "ms",
                      BOUND_NONE);
    report_for_daemon(size, name, "day_bytes",
                      idle.bytes + change.bytes * changes_per_s +
                          list_change.bytes * lists_per_s,
                      "bytes/s", BOUND_BYTES_PER_S);
    report_for_daemon(size, name, "day_cpu",
                      (idle.cpu_ms + change.cpu_ms * changes_per_s +
                       list_change.cpu_ms * lists_per_s) /
                          10,
                      "percent", BOUND_CPU_PERCENT);
}

static void
report_store(uint32_t size, const struct capacity_calls calls[2])
{
    double seconds = IDLE_MS / 1000.0;
    const struct {
        const char *name;
        const char *unit;
        int64_t count;
    } rows[] = {
        {"store_rest_gets", "1/s", calls[1].gets - calls[0].gets},
        {"store_rest_watches", "1/s", calls[1].watches - calls[0].watches},
        {"store_rest_puts", "1/s", calls[1].puts - calls[0].puts},
        {"store_rest_deletes", "1/s", calls[1].deletes - calls[0].deletes},
        {"store_rest_hosts", "1/s", calls[1].hosts - calls[0].hosts},
        {"store_rest_bytes", "bytes/s", calls[1].bytes - calls[0].bytes},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        report(size, rows[i].name, (double)rows[i].count / seconds,
               rows[i].unit, BOUND_NONE);
    }
}

static double
seconds_since(int64_t start_ms)
{
    return (double)(fleet_now_ms() - start_ms) / 1000;
}

static void
issue_key(struct fleet *fleet, uint32_t size, uint32_t i, const char *wait)
{
    char *team = g_strdup_printf("team-%u", i % (sizes[size].teams - 1));
    char *output = fleet_ctl(fleet, "key", "issue", team, wait, NULL);
    if (output == NULL) {
        fprintf(stderr, "cannot issue a key for %s\n", team);
        exit(EXIT_FAILURE);
    }
    g_free(output);
    g_free(team);
}

/* Adds a proxy route to the store that only egretctl uses. */
static uint16_t
add_command_route(struct fleet *fleet)
{
    char *body = g_strdup_printf("{\"name\": \"store-command\","
                                 " \"target\": \"127.0.0.1:%u\"}",
                                 fleet->store_port);
    JsonNode *root = fleet_call_json(fleet, "PUT", fleet->proxy_port,
                                     "/standin/routes", body);
    uint16_t port = (uint16_t)json_object_get_int_member(
        json_node_get_object(root), "port");
    json_node_unref(root);
    g_free(body);
    return port;
}

/* Processor time of all ended child processes. During the measurement only
 * egretctl commands end. */
static double
children_cpu_ms(void)
{
    struct rusage usage;
    getrusage(RUSAGE_CHILDREN, &usage);
    return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000 +
           (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1000;
}

static void
run_config_changes(struct fleet *fleet, uint32_t size)
{
    uint16_t store_port = fleet->store_port;
    fleet->store_port = add_command_route(fleet);
    double cpu_ms = children_cpu_ms();
    int64_t start_ms = fleet_now_ms();
    for (uint32_t i = 0; i < CONFIG_CHANGES; i++) {
        int64_t due_ms = start_ms + (int64_t)i * CHANGES_MS / CONFIG_CHANGES;
        fleet_sleep_ms(MAX(0, due_ms - fleet_now_ms()));
        issue_key(fleet, size, i, NULL);
    }
    cpu_ms = children_cpu_ms() - cpu_ms;
    fleet->store_port = store_port;
    report(size, "changes_took", seconds_since(start_ms), "s", BOUND_NONE);
    report(size, "command_cpu", cpu_ms / CONFIG_CHANGES, "ms", BOUND_NONE);
    report(size, "command_bytes",
           (double)capacity_route_bytes(fleet, "store-command") /
               CONFIG_CHANGES,
           "bytes", BOUND_NONE);
    fleet_sleep_ms(MAX(0, start_ms + CHANGES_MS - fleet_now_ms()));
}

static void
run_waited_changes(struct fleet *fleet, uint32_t size)
{
    double worst_s = 0;
    for (uint32_t i = 0; i < WAITED_CHANGES; i++) {
        int64_t start_ms = fleet_now_ms();
        issue_key(fleet, size, i, "--wait");
        worst_s = fmax(worst_s, seconds_since(start_ms));
    }
    report(size, "in_force", worst_s * 1000, "ms", BOUND_ACTIVE_MS);
}

static void
put_hosts(struct fleet *fleet, uint32_t size, uint32_t failing)
{
    char *hosts = capacity_hosts(&sizes[size], failing);
    guint status = 0;
    g_free(fleet_call(fleet, "PUT", fleet->store_port, "/standin/hosts", hosts,
                      &status));
    g_free(hosts);
    if (status != SOUP_STATUS_OK) {
        fprintf(stderr, "the store refused the host list\n");
        exit(EXIT_FAILURE);
    }
}

static void
run_host_list_changes(struct fleet *fleet, uint32_t size)
{
    for (uint32_t i = 0; i < LIST_CHANGES; i++) {
        put_hosts(fleet, size, i % 2 == 0 ? 1 : 0);
        fleet_sleep_ms(LIST_CHANGE_MS);
    }
}

static void
report_state(struct fleet *fleet, uint32_t size)
{
    static const char *const kinds[] = {"hosts", "permits", "demand",
                                        "config/parts"};
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        int64_t largest_bytes = 0;
        char *prefix = g_strdup_printf("egretglade/%s/", kinds[i]);
        char *name = g_strdup_printf("state_%s", kinds[i]);
        int64_t bytes = capacity_state_bytes(fleet, prefix, &largest_bytes);
        report(size, name, (double)bytes, "bytes", BOUND_NONE);
        g_free(name);
        name = g_strdup_printf("state_%s_largest", kinds[i]);
        report(size, name, (double)largest_bytes, "bytes", BOUND_VALUE_BYTES);
        g_free(name);
        g_free(prefix);
    }
}

static void
read_both(struct fleet *fleet, struct measured measured[2], size_t offset)
{
    for (uint32_t i = 0; i < 2; i++) {
        struct capacity_usage *usage =
            (struct capacity_usage *)((char *)&measured[i] + offset);
        *usage = capacity_usage_read(fleet, &measured[i].daemon);
    }
}

#define READ_BOTH(fleet, measured, member)                                    \
    read_both(fleet, measured, offsetof(struct measured, member))

static void
wait_for_steady_state(struct fleet *fleet, uint32_t size)
{
    int64_t start_ms = fleet_now_ms();
    bool steady = false;
    fleet_sleep_ms(STEADY_WAIT_MIN_MS);
    while (!steady && fleet_now_ms() - start_ms < STEADY_WAIT_MAX_MS) {
        int64_t puts = capacity_read_calls(fleet).puts;
        fleet_sleep_ms(STEADY_SAMPLE_MS);
        puts = capacity_read_calls(fleet).puts - puts;
        steady = puts * 1000 <= (int64_t)STEADY_PUTS_PER_S * STEADY_SAMPLE_MS;
    }
    report(size, "settled", seconds_since(start_ms), "s", BOUND_NONE);
}

static struct fleet *
start_measured_fleet(uint32_t size, struct measured measured[2])
{
    char *name = g_strdup_printf("bench-capacity-%u", n_entry_hosts);
    char *config = capacity_config(&sizes[size]);
    struct fleet *fleet = fleet_start(&(struct fleet_options){
        .name = name,
        .gateways = n_entry_hosts,
        .layout = "pool-0:2",
        .dcs = "split-1",
        .config = config,
        .direct_backends = true,
        .routed_controllers = n_entry_hosts,
    });
    g_free(config);
    g_free(name);
    measured[0] = (struct measured){
        .name = "gateway",
        .daemon = {.pid =
                       g_subprocess_get_identifier(fleet->gateways[0]->child),
                   .route = "store-0",
                   .peer_ports = fleet->peer_ports,
                   .n_peers = n_entry_hosts},
    };
    measured[1] = (struct measured){
        .name = "controller",
        .daemon = {.pid = g_subprocess_get_identifier(
                       fleet->controllers[0]->child),
                   .route = "store-controller-0"},
    };
    put_hosts(fleet, size, 0);
    wait_for_steady_state(fleet, size);
    return fleet;
}

static bool
measure(uint32_t size)
{
    struct measured measured[2];
    struct capacity_calls calls[2];
    double seconds[2];
    struct fleet *fleet = start_measured_fleet(size, measured);
    READ_BOTH(fleet, measured, idle[0]);
    calls[0] = capacity_read_calls(fleet);
    fleet_sleep_ms(IDLE_MS);
    calls[1] = capacity_read_calls(fleet);
    READ_BOTH(fleet, measured, idle[1]);
    report_store(size, calls);
    report_state(fleet, size);
    int64_t start_ms = fleet_now_ms();
    READ_BOTH(fleet, measured, changes[0]);
    run_config_changes(fleet, size);
    READ_BOTH(fleet, measured, changes[1]);
    seconds[0] = seconds_since(start_ms);
    run_waited_changes(fleet, size);
    start_ms = fleet_now_ms();
    READ_BOTH(fleet, measured, host_lists[0]);
    run_host_list_changes(fleet, size);
    READ_BOTH(fleet, measured, host_lists[1]);
    seconds[1] = seconds_since(start_ms);
    for (uint32_t i = 0; i < 2; i++) {
        report_daemon(size, &measured[i], seconds);
    }
    return fleet_stop(fleet);
}

int
main(int argc, char **argv)
{
    guint64 n_wanted = ENTRY_HOSTS_DEFAULT;
    if (argc > 1 && !g_ascii_string_to_unsigned(
                        argv[1], 10, 1, FLEET_GATEWAYS_MAX, &n_wanted, NULL)) {
        fprintf(stderr, "invalid number of entry hosts: %s\n", argv[1]);
        return EXIT_FAILURE;
    }
    n_entry_hosts = (uint32_t)n_wanted;
    for (uint32_t size = 0; size < SIZES; size++) {
        if (!measure(size)) {
            return EXIT_FAILURE;
        }
    }
    for (uint32_t i = 0; i < n_series; i++) {
        print_fit(&series[i]);
    }
    return smallest_size_met ? EXIT_SUCCESS : EXIT_FAILURE;
}
