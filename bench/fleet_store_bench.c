/* Measures store calls, bytes, processor time and memory of one fleet
 * controller process at 5,700 hosts and 56 pools. */
#include <stdio.h>
#include <unistd.h>

#include "../tests/suite.h"
#include "fleet_process.h"

enum {
    N_POOLS = 56,
    RACKS_PER_DC = 475,
    ADOPT_TIMEOUT_MS = 60000,
    MEASURE_MS = 30000,
    N_CONTROLLERS = 7,
};

static void
report(const char *name, double value, const char *unit, double bound)
{
    bool met = value <= bound;
    printf("{\"name\": \"%s\", \"value\": %.4g, \"unit\": \"%s\","
           " \"bound\": %.4g, \"ok\": %s}\n",
           name, value, unit, bound, met ? "true" : "false");
    CU_ASSERT(met);
}

/**
 * struct usage - usage of the controller since its start
 * @reads, @writes, @bytes: calls to the store and their bytes, from the store
 */
struct usage {
    int64_t reads;
    int64_t writes;
    int64_t bytes;
    double cpu_s;
    double resident_mb;
};

static double
resident_mb(const char *pid)
{
    char *path = g_strdup_printf("/proc/%s/statm", pid);
    char *text = NULL;
    double pages = 0;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        char **fields = g_strsplit(text, " ", 3);
        pages = g_ascii_strtod(fields[1], NULL);
        g_strfreev(fields);
    }
    g_free(text);
    g_free(path);
    return pages * (double)sysconf(_SC_PAGESIZE) / 1e6;
}

/* Fields 14 and 15 of /proc/PID/stat, utime and stime; the fields are counted
 * from the end of the program's name in parentheses. */
static double
cpu_s(const char *pid)
{
    char *path = g_strdup_printf("/proc/%s/stat", pid);
    char *text = NULL;
    double ticks = 0;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        char **fields = g_strsplit(strrchr(text, ')') + 2, " ", 15);
        ticks = g_ascii_strtod(fields[11], NULL) +
                g_ascii_strtod(fields[12], NULL);
        g_strfreev(fields);
    }
    g_free(text);
    g_free(path);
    return ticks / (double)sysconf(_SC_CLK_TCK);
}

static struct usage
read_usage(const struct fleet_process *fleet)
{
    const struct store_process *store = &fleet->store_process;
    const char *pid = g_subprocess_get_identifier(fleet->controllers[0]);
    return (struct usage){
        .reads = store_process_stat(store, "gets") +
                 store_process_stat(store, "watches") +
                 store_process_stat(store, "hosts"),
        .writes = store_process_stat(store, "puts"),
        .bytes = store_process_stat(store, "bytes_in") +
                 store_process_stat(store, "bytes_out"),
        .cpu_s = cpu_s(pid),
        .resident_mb = resident_mb(pid),
    };
}

static bool
all_hosts_adopted(struct fleet_process *fleet)
{
    return g_hash_table_size(fleet->records) == fleet->n_hosts;
}

static void
measure(void)
{
    static char names[N_POOLS][8];
    const char *pools[N_POOLS];
    unsigned budgets[N_POOLS];
    for (unsigned i = 0; i < N_POOLS; i++) {
        g_snprintf(names[i], sizeof(names[i]), "p%u", i);
        pools[i] = i + 1 < N_POOLS ? names[i] : "spare";
        budgets[i] = i + 1 < N_POOLS ? 75 : 0;
    }
    struct fleet_process fleet;
    fleet_process_start(&fleet, &(struct fleet_process_options){
                                    .fleet_settings = "{}",
                                    .pools = pools,
                                    .budgets = budgets,
                                    .n_pools = N_POOLS,
                                    .n_controllers = 1,
                                    .racks_per_dc = RACKS_PER_DC,
                                });
    CU_ASSERT(fleet_process_run(&fleet, ADOPT_TIMEOUT_MS, all_hosts_adopted));
    fleet_process_stop_sampling(&fleet);
    fleet_process_run(&fleet, 3000, NULL);
    struct usage before = read_usage(&fleet);
    fleet_process_run(&fleet, MEASURE_MS, NULL);
    struct usage after = read_usage(&fleet);
    double seconds = MEASURE_MS / 1000.0;
    printf("\n");
    /* The bounds are a tenth of 2,000 reads/s and of several hundred writes/s
     * that the store is expected to serve. */
    report("fleet_store_reads_per_second_7_controllers",
           N_CONTROLLERS * (double)(after.reads - before.reads) / seconds,
           "calls/s", 200);
    report("fleet_store_writes_per_second_7_controllers",
           N_CONTROLLERS * (double)(after.writes - before.writes) / seconds,
           "calls/s", 30);
    report("fleet_store_bytes_per_second",
           (double)(after.bytes - before.bytes) / seconds, "B/s", 4096);
    report("fleet_cpu_percent", (after.cpu_s - before.cpu_s) / seconds * 100,
           "%", 2.5);
    report("fleet_resident_mb", after.resident_mb, "MB", 32);
    fleet_process_stop(&fleet);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"fleet controller at 5,700 hosts", measure},
    };
    return suite_main("fleet-store-bench", tests, G_N_ELEMENTS(tests));
}
