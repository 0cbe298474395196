/*
 * A withdrawn key, a data centre out of service and a leaving host get no more
 * starts from any gateway once CHANGE_ACTIVE_MS have passed. A gateway whose
 * watch of the store hangs, or whose link to the store is cut, could go on
 * with its old configuration.
 */
#include "process_config.h"
#include "process_fleet.h"
#include "process_suite.h"

enum {
    /* By then every gateway has to follow a change. */
    CHANGE_ACTIVE_MS = 3000,
    /* How long starts are observed after that. */
    OBSERVE_MS = 2000,
};

/**
 * enum fault - fault between the first gateway and the store
 * @FAULT_WATCH_HANGS: open connections stay open but pass no data
 * @FAULT_LINK_CUT: connections are closed and new ones refused
 */
enum fault {
    FAULT_NONE,
    FAULT_WATCH_HANGS,
    FAULT_LINK_CUT,
};

static struct fleet *fleet;
static char *key;

static void
open_fleet(const char *name)
{
    fleet = fleet_start(&(struct fleet_options){
        .name = name,
        .gateways = 3,
        .layout = PROCESS_LAYOUT,
        .dcs = PROCESS_DCS,
        .config = PROCESS_CONFIG("40"),
    });
    key = fleet_key(fleet, "alpha");
    CU_ASSERT_PTR_NOT_NULL_FATAL(key);
}

static void
close_fleet(void)
{
    CU_ASSERT(fleet_stop(fleet));
    g_free(key);
}

static void
inject_store_fault(enum fault fault)
{
    if (fault == FAULT_WATCH_HANGS) {
        fleet_proxy_faults(fleet,
                           "{\"routes\": \"store-0\", \"silence\": true}");
    }
    if (fault == FAULT_LINK_CUT) {
        fleet_proxy_faults(fleet, "{\"routes\": \"store-0\", \"refuse\": true,"
                                  " \"cut\": true}");
    }
}

/* The callers send to all gateways in turn. */
static GSubprocess *
start_load(int64_t duration_ms)
{
    char *plan = g_strdup_printf(
        "{\"duration_ms\": %" G_GINT64_FORMAT ","
        " \"teams\": [{\"team\": \"alpha\", \"key\": \"%s\","
        " \"queues\": [\"keyed\"], \"concurrency\": 30,"
        " \"idempotent_permille\": 500, \"body\": \"run_ms=20\"},"
        " {\"team\": \"public\", \"queues\": [\"open\"],"
        " \"concurrency\": 10, \"body\": \"run_ms=20\"}]}",
        duration_ms, key);
    GSubprocess *load = fleet_load_start(fleet, plan);
    g_free(plan);
    return load;
}

static void
finish_load(GSubprocess *load)
{
    JsonNode *results = fleet_load_finish(fleet, load);
    CU_ASSERT_PTR_NOT_NULL_FATAL(results);
    CU_ASSERT_EQUAL(fleet_result(results, NULL, "violated"), 0);
    CU_ASSERT(fleet_result(results, "public", "done") > 100);
    json_node_unref(results);
}

static void
check_key_withdrawn(const char *name, enum fault fault)
{
    open_fleet(name);
    GSubprocess *load = start_load(10000);
    fleet_sleep_ms(2000);
    CU_ASSERT(fleet_backend_stat(fleet, "teams", "alpha", "started") > 20);
    inject_store_fault(fault);
    char **parts = g_strsplit(key, ".", 3);
    char *output = fleet_ctl(fleet, "key", "withdraw", parts[1], NULL);
    int64_t accepted_ms = fleet_now_ms();
    CU_ASSERT_PTR_NOT_NULL(output);
    fleet_sleep_ms(CHANGE_ACTIVE_MS + OBSERVE_MS);
    int64_t last_ms =
        fleet_backend_stat(fleet, "teams", "alpha", "last_start_ms");
    printf("last start %" G_GINT64_FORMAT " ms after acceptance\n",
           last_ms - accepted_ms);
    CU_ASSERT(last_ms - accepted_ms <= CHANGE_ACTIVE_MS);
    /* Other teams still start tasks. */
    CU_ASSERT(fleet_now_ms() - fleet_backend_stat(fleet, "teams", "public",
                                                  "last_start_ms") <
              OBSERVE_MS);
    finish_load(load);
    g_strfreev(parts);
    g_free(output);
    close_fleet();
}

static void
test_key(void)
{
    check_key_withdrawn("change-key", FAULT_NONE);
}

static void
test_key_watch_hangs(void)
{
    check_key_withdrawn("change-key-watch", FAULT_WATCH_HANGS);
}

static void
test_key_link_cut(void)
{
    check_key_withdrawn("change-key-link", FAULT_LINK_CUT);
}

static void
check_dc_out(const char *name, enum fault fault)
{
    open_fleet(name);
    GSubprocess *load = start_load(10000);
    fleet_sleep_ms(2000);
    CU_ASSERT(fleet_backend_stat(fleet, "dcs", "zadar-1", "started") > 20);
    inject_store_fault(fault);
    char *output = fleet_ctl(fleet, "dc", "out", "zadar-1", NULL);
    int64_t accepted_ms = fleet_now_ms();
    CU_ASSERT_PTR_NOT_NULL(output);
    fleet_sleep_ms(CHANGE_ACTIVE_MS + OBSERVE_MS);
    int64_t last_ms =
        fleet_backend_stat(fleet, "dcs", "zadar-1", "last_start_ms");
    printf("last start %" G_GINT64_FORMAT " ms after acceptance\n",
           last_ms - accepted_ms);
    CU_ASSERT(last_ms - accepted_ms <= CHANGE_ACTIVE_MS);
    CU_ASSERT(fleet_now_ms() - fleet_backend_stat(fleet, "dcs", "split-1",
                                                  "last_start_ms") <
              OBSERVE_MS);
    finish_load(load);
    g_free(output);
    close_fleet();
}

static void
test_dc(void)
{
    check_dc_out("change-dc", FAULT_NONE);
}

static void
test_dc_watch_hangs(void)
{
    check_dc_out("change-dc-watch", FAULT_WATCH_HANGS);
}

static void
test_dc_link_cut(void)
{
    check_dc_out("change-dc-link", FAULT_LINK_CUT);
}

/* The platform's host list shows the host as leaving; the backend server
 * itself would still accept tasks. */
static void
test_leaving_host(void)
{
    open_fleet("change-leaving");
    GSubprocess *load = start_load(9000);
    fleet_sleep_ms(2000);
    CU_ASSERT(fleet_backend_stat(fleet, "hosts", "w-split-1-01", "started") >
              5);
    int64_t published_ms = fleet_now_ms();
    fleet_publish_leaving(fleet, "w-split-1-01");
    fleet_sleep_ms(CHANGE_ACTIVE_MS + OBSERVE_MS);
    int64_t last_ms =
        fleet_backend_stat(fleet, "hosts", "w-split-1-01", "last_start_ms");
    printf("last start %" G_GINT64_FORMAT
           " ms after the host list showed it\n",
           last_ms - published_ms);
    CU_ASSERT(last_ms - published_ms <= CHANGE_ACTIVE_MS);
    CU_ASSERT(fleet_now_ms() - fleet_backend_stat(fleet, "hosts",
                                                  "w-split-1-02",
                                                  "last_start_ms") <
              OBSERVE_MS);
    finish_load(load);
    close_fleet();
}

int
main(int argc, char **argv)
{
    static const struct suite_test tests[] = {
        {"key withdrawn", test_key},
        {"key withdrawn silent watch", test_key_watch_hangs},
        {"key withdrawn link cut", test_key_link_cut},
        {"dc out", test_dc},
        {"dc out silent watch", test_dc_watch_hangs},
        {"dc out link cut", test_dc_link_cut},
        {"leaving host", test_leaving_host},
    };
    return suite_main_one("change", tests, G_N_ELEMENTS(tests), argc, argv);
}
