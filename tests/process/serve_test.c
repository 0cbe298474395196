/*
 * A gateway in service: shutdown loses no task, the active generation never
 * decreases, invalid input does no harm, and a failing backend server is
 * ejected.
 */
#include <signal.h>

#include "process_config.h"
#include "process_fleet.h"
#include "process_suite.h"

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

/* Tasks that run or wait in gateway 0 at SIGTERM all get their outcome. */
static void
test_shutdown(void)
{
    open_fleet("serve-shutdown");
    char *plan = g_strdup_printf(
        "{\"duration_ms\": 2000, \"teams\": [{\"team\": \"alpha\","
        " \"key\": \"%s\", \"queues\": [\"keyed\"], \"concurrency\": 60,"
        " \"target\": 0, \"idempotent_permille\": 500,"
        " \"body\": \"run_ms=300 answer_bytes=40000\"}]}",
        key);
    GSubprocess *load = fleet_load_start(fleet, plan);
    fleet_sleep_ms(1900);
    fleet_signal(fleet, 0, SIGTERM);
    JsonNode *results = fleet_load_finish(fleet, load);
    CU_ASSERT_PTR_NOT_NULL_FATAL(results);
    CU_ASSERT_EQUAL(fleet_result(results, NULL, "violated"), 0);
    CU_ASSERT_EQUAL(fleet_result(results, "alpha", "lost"), 0);
    CU_ASSERT_EQUAL(fleet_result(results, "alpha", "unknown"), 0);
    CU_ASSERT(fleet_result(results, "alpha", "done") > 60);
    CU_ASSERT_EQUAL(fleet_wait_exit(fleet, 0), 0);
    json_node_unref(results);
    g_free(plan);
    close_fleet();
}

static int64_t
active_generation(uint32_t i)
{
    char *text =
        fleet_call(fleet, "GET", fleet->http_ports[i], "/metrics", NULL, NULL);
    const char *name = "egret_config_generation ";
    const char *at = text == NULL ? NULL : strstr(text, name);
    int64_t value =
        at == NULL ? 0 : g_ascii_strtoll(at + strlen(name), NULL, 10);
    g_free(text);
    return value;
}

/* While operators race, answers of the store get lost and the store is down
 * for a while, the active generation of a gateway never decreases, and all
 * gateways end with the same. */
static void
test_generations(void)
{
    open_fleet("serve-generations");
    int64_t highest[3] = {0};
    const char *const faults[] = {
        "{\"lose_answers_percent\": 50, \"seed\": 5}",
        "{\"lose_answers_percent\": 0, \"down\": true}",
        "{\"down\": false}",
    };
    for (uint32_t round = 0; round < 12; round++) {
        fleet_store_faults(fleet, faults[round / 4]);
        char *first =
            fleet_ctl(fleet, "dc", round % 2 ? "in" : "out", "zadar-1", NULL);
        char *second = fleet_ctl(fleet, "key", "issue", "beta", NULL);
        g_free(first);
        g_free(second);
        for (uint32_t i = 0; i < 3; i++) {
            int64_t now = active_generation(i);
            CU_ASSERT(now >= highest[i]);
            highest[i] = MAX(highest[i], now);
        }
    }
    fleet_sleep_ms(3000);
    int64_t last = active_generation(0);
    CU_ASSERT(last >= 6);
    CU_ASSERT_EQUAL(active_generation(1), last);
    CU_ASSERT_EQUAL(active_generation(2), last);
    close_fleet();
}

/* Sends raw bytes and returns what one read gives within two seconds. */
static char *
send_raw(uint16_t port, const char *bytes, size_t size_bytes)
{
    GSocketClient *client = g_socket_client_new();
    g_socket_client_set_timeout(client, 2);
    GSocketConnection *connection =
        g_socket_client_connect_to_host(client, "127.0.0.1", port, NULL, NULL);
    char *answer = g_malloc0(4096);
    if (connection != NULL) {
        g_output_stream_write_all(
            g_io_stream_get_output_stream(G_IO_STREAM(connection)), bytes,
            size_bytes, NULL, NULL, NULL);
        g_input_stream_read(
            g_io_stream_get_input_stream(G_IO_STREAM(connection)), answer,
            4095, NULL, NULL);
        g_object_unref(connection);
    }
    g_object_unref(client);
    return answer;
}

static void
check_rejected(const char *bytes, size_t size_bytes)
{
    char *answer = send_raw(fleet->http_ports[0], bytes, size_bytes);
    CU_ASSERT(strstr(answer, " 200 ") == NULL);
    g_free(answer);
}

static void
test_bad_input(void)
{
    open_fleet("serve-bad");
    static const char *const requests[] = {
        "nonsense\r\n\r\n",
        "POST /v1/queues/open/tasks HTTP/9.9\r\n\r\n",
        "POST /v1/queues/open/tasks HTTP/1.1\r\nHost: a\r\n"
        "Content-Length: -5\r\n\r\nabc",
        "POST /v1/queues/open/tasks HTTP/1.1\r\nHost: a\r\n"
        "Content-Length: 3\r\nContent-Length: 9\r\n\r\nabcabcabc",
        "POST /v1/queues/open/tasks HTTP/1.1\r\nHost: a\r\n"
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        "POST /v1/queues/none/tasks HTTP/1.1\r\nHost: a\r\n"
        "Content-Length: 1\r\n\r\na",
        "POST /v1/queues/keyed/tasks HTTP/1.1\r\nHost: a\r\n"
        "Content-Length: 1\r\n\r\na",
        "POST /v1/queues/keyed/tasks HTTP/1.1\r\nHost: a\r\n"
        "Authorization: Bearer egk.x\r\nContent-Length: 1\r\n\r\na",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        check_rejected(requests[i], strlen(requests[i]));
    }
    GString *large = g_string_new("GET /healthz HTTP/1.1\r\nHost: a\r\nX: ");
    for (uint32_t i = 0; i < 200000; i++) {
        g_string_append_c(large, 'x');
    }
    g_string_append(large, "\r\n\r\n");
    check_rejected(large->str, large->len);
    g_string_free(large, TRUE);
    /* Invalid frames on the peer port: a length far over the bound, a
     * truncated frame, and HTTP. */
    static const char invalid_frames[][12] = {
        "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
        "\x00\x00\x00\x02\x93\x01",
        "GET / HTTP/",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_frames); i++) {
        g_free(send_raw(fleet->peer_ports[0], invalid_frames[i],
                        sizeof(invalid_frames[i])));
    }
    guint status = 0;
    g_free(fleet_call(fleet, "POST", fleet->http_ports[0],
                      "/v1/queues/open/tasks", "run_ms=1", &status));
    CU_ASSERT_EQUAL(status, SOUP_STATUS_OK);
    close_fleet();
}

/* A backend server that fails every task gets few of them. */
static void
test_failing_host(void)
{
    open_fleet("serve-failing");
    fleet_backend_mode(fleet, "{\"host\": \"w-split-1-01\", \"fail\": true}");
    char *plan = g_strdup_printf(
        "{\"duration_ms\": 5000, \"teams\": [{\"team\": \"alpha\","
        " \"key\": \"%s\", \"queues\": [\"keyed\"], \"concurrency\": 30,"
        " \"idempotent_permille\": 1000, \"body\": \"run_ms=20\"}]}",
        key);
    JsonNode *results = fleet_load_run(fleet, plan);
    CU_ASSERT_PTR_NOT_NULL_FATAL(results);
    CU_ASSERT_EQUAL(fleet_result(results, NULL, "violated"), 0);
    int64_t done = fleet_result(results, "alpha", "done");
    CU_ASSERT(done > 500);
    CU_ASSERT(fleet_result(results, "alpha", "failed") * 100 <= done);
    int64_t there =
        fleet_backend_stat(fleet, "hosts", "w-split-1-01", "started");
    CU_ASSERT(there > 0);
    /* Without ejection this one of eight would get an eighth. */
    CU_ASSERT(there * 25 <= done);
    json_node_unref(results);
    g_free(plan);
    close_fleet();
}

int
main(int argc, char **argv)
{
    static const struct suite_test tests[] = {
        {"shutdown", test_shutdown},
        {"generations", test_generations},
        {"bad input", test_bad_input},
        {"failing host", test_failing_host},
    };
    return suite_main_one("serve", tests, G_N_ELEMENTS(tests), argc, argv);
}
