/*
 * A team never runs more tasks than its limit while the store is out of reach,
 * a gateway is killed or paused, or the limit is lowered. Permits that others
 * take over too early from a lost gateway, or a gateway that resumes with
 * permits it no longer holds, would exceed it.
 */
#include <signal.h>

#include "process_config.h"
#include "process_fleet.h"
#include "process_suite.h"

enum {
    LIMIT = 10,
    LOWER_LIMIT = 4,
    SHORT_RUN_MS = 40,
    /* Longer than it takes to fence the gateway that started the task. */
    LONG_RUN_MS = 5900,
    /* Longer than the others take to fence an unresponsive gateway and to
     * wait until its last task must have ended, so that its permits are
     * reclaimed. */
    PAUSE_MS = 11000,
};

static struct fleet *fleet;
static char *key;

static char *
make_plan(int64_t duration_ms, bool lost_allowed, uint32_t run_ms)
{
    return g_strdup_printf(
        "{\"duration_ms\": %" G_GINT64_FORMAT ", \"lost_allowed\": %s,"
        " \"teams\": [{\"team\": \"alpha\", \"key\": \"%s\","
        " \"queues\": [\"keyed\"], \"concurrency\": 40,"
        " \"idempotent_permille\": 500, \"body\": \"run_ms=%u\"}]}",
        duration_ms, lost_allowed ? "true" : "false", key, run_ms);
}

static GSubprocess *
start_load(int64_t duration_ms, bool lost_allowed, uint32_t run_ms)
{
    char *plan = make_plan(duration_ms, lost_allowed, run_ms);
    GSubprocess *load = fleet_load_start(fleet, plan);
    g_free(plan);
    return load;
}

static void
open_fleet_with(const char *name, uint32_t gateways, const char *config)
{
    fleet = fleet_start(&(struct fleet_options){
        .name = name,
        .gateways = gateways,
        .layout = PROCESS_LAYOUT,
        .dcs = PROCESS_DCS,
        .config = config,
    });
    key = fleet_key(fleet, "alpha");
    CU_ASSERT_PTR_NOT_NULL_FATAL(key);
}

static void
open_fleet(const char *name, uint32_t gateways)
{
    open_fleet_with(name, gateways, PROCESS_CONFIG("10"));
}

static void
close_fleet(void)
{
    CU_ASSERT(fleet_stop(fleet));
    g_free(key);
}

/* Waits for the load and checks the limit and that at least @min_done tasks
 * are done. */
static void
finish_load(GSubprocess *load, int64_t min_done)
{
    JsonNode *results = fleet_load_finish(fleet, load);
    CU_ASSERT_PTR_NOT_NULL_FATAL(results);
    CU_ASSERT_EQUAL(fleet_result(results, NULL, "violated"), 0);
    CU_ASSERT(fleet_result(results, "alpha", "running_high") <= LIMIT);
    CU_ASSERT(fleet_result(results, "alpha", "done") >= min_done);
    json_node_unref(results);
}

static void
test_store_outage(void)
{
    open_fleet("limit-store", 3);
    GSubprocess *load = start_load(9000, false, SHORT_RUN_MS);
    fleet_sleep_ms(3000);
    fleet_store_faults(fleet, "{\"down\": true}");
    fleet_sleep_ms(1000);
    int64_t before = fleet_backend_stat(fleet, "teams", "alpha", "ended");
    fleet_sleep_ms(3000);
    int64_t during = fleet_backend_stat(fleet, "teams", "alpha", "ended");
    /* A gateway with lease grants of a majority goes on without the store. */
    CU_ASSERT(during - before > 50);
    fleet_store_faults(fleet, "{\"down\": false}");
    finish_load(load, 300);
    close_fleet();
}

static void
test_gateway_killed(void)
{
    open_fleet("limit-kill", 3);
    GSubprocess *load = start_load(9000, true, SHORT_RUN_MS);
    fleet_sleep_ms(3000);
    fleet_signal(fleet, 1, SIGKILL);
    finish_load(load, 200);
    close_fleet();
}

/* The tasks of the killed gateway still run at the backend servers. */
static void
test_killed_with_long_tasks(void)
{
    char **parts =
        g_strsplit(PROCESS_CONFIG("10"), "\"max_run_ms\": 2000", -1);
    char *config = g_strjoinv("\"max_run_ms\": 6000", parts);
    open_fleet_with("limit-kill-long", 3, config);
    GSubprocess *load = start_load(9000, true, LONG_RUN_MS);
    fleet_sleep_ms(2000);
    fleet_signal(fleet, 1, SIGKILL);
    finish_load(load, 10);
    close_fleet();
    g_strfreev(parts);
    g_free(config);
}

static void
test_gateway_paused(void)
{
    open_fleet("limit-pause", 3);
    GSubprocess *load = start_load(16000, true, SHORT_RUN_MS);
    fleet_sleep_ms(2500);
    fleet_signal(fleet, 1, SIGSTOP);
    fleet_sleep_ms(PAUSE_MS);
    fleet_signal(fleet, 1, SIGCONT);
    finish_load(load, 300);
    close_fleet();
}

/* Returns the active configuration with its keys and a lower limit. */
static char *
lower_limit(const char *text)
{
    JsonNode *root = json_from_string(text, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(root);
    JsonArray *teams =
        json_object_get_array_member(json_node_get_object(root), "teams");
    for (guint i = 0; i < json_array_get_length(teams); i++) {
        JsonObject *team = json_array_get_object_element(teams, i);
        if (g_str_equal(json_object_get_string_member(team, "name"),
                        "alpha")) {
            json_object_set_int_member(team, "max_running", LOWER_LIMIT);
        }
    }
    char *lower = json_to_string(root, TRUE);
    json_node_unref(root);
    return lower;
}

static void
test_limit_lowered(void)
{
    open_fleet("limit-lower", 3);
    GSubprocess *load = start_load(8000, false, SHORT_RUN_MS);
    fleet_sleep_ms(2500);
    char *before = fleet_ctl(fleet, "get", "--json", NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(before);
    char *lower = lower_limit(before);
    char *path = g_build_filename(fleet->run_dir, "lower.json", NULL);
    g_file_set_contents(path, lower, -1, NULL);
    char *output = fleet_ctl(fleet, "apply", path, "--wait", NULL);
    CU_ASSERT_PTR_NOT_NULL(output);
    /* Tasks started under the old limit get time to end; then the peaks are
     * reset, so that only starts from now on count. */
    fleet_sleep_ms(2000);
    g_free(fleet_call(fleet, "POST", fleet->backend_port,
                      "/standin/restart-highs", "", NULL));
    fleet_sleep_ms(1500);
    CU_ASSERT(fleet_backend_stat(fleet, "teams", "alpha", "running_high") <=
              LOWER_LIMIT);
    CU_ASSERT(fleet_backend_stat(fleet, "teams", "alpha", "started") > 0);
    finish_load(load, 100);
    g_free(output);
    g_free(path);
    g_free(lower);
    g_free(before);
    close_fleet();
}

int
main(int argc, char **argv)
{
    static const struct suite_test tests[] = {
        {"store outage", test_store_outage},
        {"gateway killed", test_gateway_killed},
        {"killed with long work", test_killed_with_long_tasks},
        {"gateway paused", test_gateway_paused},
        {"limit lowered", test_limit_lowered},
    };
    return suite_main_one("limit", tests, G_N_ELEMENTS(tests), argc, argv);
}
