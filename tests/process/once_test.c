/*
 * A task that is not declared idempotent runs at most once, and callers get a
 * complete and correct response, while connections to backend servers are cut,
 * answers are truncated, or gateways and callers go away. A retry after a lost
 * answer, or a request id sent again elsewhere, could start a task twice.
 */
#include <signal.h>

#include "process_config.h"
#include "process_fleet.h"
#include "process_suite.h"

static struct fleet *fleet;
static char *key;

static void
open_fleet(const char *name, uint32_t gateways)
{
    fleet = fleet_start(&(struct fleet_options){
        .name = name,
        .gateways = gateways,
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

static JsonNode *
run_load(uint32_t idempotent_permille, const char *body, bool ids)
{
    char *plan = g_strdup_printf(
        "{\"duration_ms\": 5000, \"teams\": [{\"team\": \"alpha\","
        " \"key\": \"%s\", \"queues\": [\"keyed\"], \"concurrency\": 24,"
        " \"backoff_ms\": 5, \"ids\": %s, \"idempotent_permille\": %u,"
        " \"body\": \"%s\"}]}",
        key, ids ? "true" : "false", idempotent_permille, body);
    JsonNode *results = fleet_load_run(fleet, plan);
    g_free(plan);
    CU_ASSERT_PTR_NOT_NULL_FATAL(results);
    CU_ASSERT_EQUAL(fleet_result(results, NULL, "violated"), 0);
    CU_ASSERT_EQUAL(fleet_result(results, "alpha", "lost"), 0);
    return results;
}

static int64_t
count_kills(void)
{
    JsonNode *root = fleet_call_json(fleet, "GET", fleet->proxy_port,
                                     "/standin/routes", NULL);
    JsonObjectIter iter;
    JsonNode *route = NULL;
    int64_t kills = 0;
    json_object_iter_init(&iter, json_node_get_object(root));
    while (json_object_iter_next(&iter, NULL, &route)) {
        kills +=
            json_object_get_int_member(json_node_get_object(route), "kills");
    }
    json_node_unref(root);
    return kills;
}

static void
test_kills(void)
{
    open_fleet("once-kills", 3);
    fleet_proxy_faults(fleet, "{\"routes\": \"backend-*\", \"kill\": \"any\","
                              " \"kill_permille\": 100}");
    JsonNode *results = run_load(0, "run_ms=10 answer_bytes=5000", false);
    /* Enough connections were cut, and enough tasks went through. */
    CU_ASSERT(count_kills() > 50);
    CU_ASSERT(fleet_result(results, "alpha", "unknown") > 0);
    CU_ASSERT(fleet_result(results, "alpha", "done") > 200);
    json_node_unref(results);
    close_fleet();
}

static void
test_kills_with_ids(void)
{
    open_fleet("once-kills-ids", 3);
    fleet_proxy_faults(fleet, "{\"routes\": \"backend-*\", \"kill\": \"any\","
                              " \"kill_permille\": 100}");
    JsonNode *results = run_load(0, "run_ms=10 answer_bytes=5000", true);
    CU_ASSERT(count_kills() > 50);
    CU_ASSERT(fleet_result(results, "alpha", "done") > 200);
    json_node_unref(results);
    close_fleet();
}

static void
test_answers_broken(void)
{
    open_fleet("once-answers", 2);
    fleet_proxy_faults(fleet, "{\"routes\": \"backend-w-split-1-*\","
                              " \"delay_ms\": 15}");
    fleet_proxy_faults(fleet, "{\"routes\": \"backend-w-zadar-1-*\","
                              " \"truncate_bytes\": 30000}");
    JsonNode *results = run_load(500, "run_ms=5 answer_bytes=9000", false);
    CU_ASSERT(fleet_result(results, "alpha", "done") > 200);
    json_node_unref(results);
    close_fleet();
}

static void
test_truncated_by_server(void)
{
    open_fleet("once-truncate", 1);
    JsonNode *results =
        run_load(0, "run_ms=5 truncate=1 answer_bytes=3000", false);
    CU_ASSERT_EQUAL(fleet_result(results, "alpha", "done"), 0);
    CU_ASSERT(fleet_result(results, "alpha", "unknown") > 20);
    json_node_unref(results);
    close_fleet();
}

/* Open connections stop passing data while new ones work. */
static void
test_silent_connections(void)
{
    open_fleet("once-silent", 2);
    JsonNode *before = run_load(1000, "run_ms=5", false);
    json_node_unref(before);
    fleet_proxy_faults(fleet,
                       "{\"routes\": \"backend-*\", \"silence\": true}");
    JsonNode *results = run_load(1000, "run_ms=5", false);
    CU_ASSERT(fleet_result(results, "alpha", "done") > 200);
    json_node_unref(results);
    close_fleet();
}

/** struct repeated_id - outcomes of one request id that is sent twice */
struct repeated_id {
    char *outcomes[2];
    uint32_t n;
};

static void
on_response(GObject *session, GAsyncResult *result, gpointer data)
{
    struct repeated_id *repeated_id = data;
    SoupMessage *message =
        soup_session_get_async_result_message(SOUP_SESSION(session), result);
    GBytes *body =
        soup_session_send_and_read_finish(SOUP_SESSION(session), result, NULL);
    const char *outcome = soup_message_headers_get_one(
        soup_message_get_response_headers(message), "Egret-Outcome");
    repeated_id->outcomes[repeated_id->n++] =
        g_strdup(body == NULL || outcome == NULL ? "none" : outcome);
    g_clear_pointer(&body, g_bytes_unref);
}

static void
send_id_cancellable(struct repeated_id *repeated_id, uint32_t gateway,
                    const char *id, GCancellable *cancel)
{
    char *uri = g_strdup_printf("http://127.0.0.1:%u/v1/queues/keyed/tasks",
                                fleet->http_ports[gateway]);
    char *bearer = g_strdup_printf("Bearer %s", key);
    char *text = g_strdup_printf("tag=%s run_ms=150", id);
    GBytes *body = g_bytes_new(text, strlen(text));
    SoupMessage *message = soup_message_new("POST", uri);
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);
    soup_message_headers_append(headers, "Authorization", bearer);
    soup_message_headers_append(headers, "Egret-Request-Id", id);
    soup_message_set_request_body_from_bytes(message, "text/plain", body);
    soup_session_send_and_read_async(fleet->session, message,
                                     G_PRIORITY_DEFAULT, cancel, on_response,
                                     repeated_id);
    g_object_unref(message);
    g_bytes_unref(body);
    g_free(text);
    g_free(bearer);
    g_free(uri);
}

static void
send_id(struct repeated_id *repeated_id, uint32_t gateway, const char *id)
{
    send_id_cancellable(repeated_id, gateway, id, NULL);
}

static uint32_t
count_runs(const char *tag)
{
    JsonNode *root = fleet_call_json(fleet, "GET", fleet->backend_port,
                                     "/standin/records", NULL);
    JsonArray *records = json_node_get_array(root);
    uint32_t runs = 0;
    for (guint i = 0; i < json_array_get_length(records); i++) {
        JsonObject *record = json_array_get_object_element(records, i);
        runs += g_str_equal(json_object_get_string_member(record, "tag"), tag);
    }
    json_node_unref(root);
    return runs;
}

static void
wait_responses(struct repeated_id *repeated_id, uint32_t n)
{
    int64_t until_ms = fleet_now_ms() + 20000;
    while (repeated_id->n < n && fleet_now_ms() < until_ms) {
        g_main_context_iteration(NULL, FALSE);
        g_usleep(1000);
    }
    CU_ASSERT_EQUAL_FATAL(repeated_id->n, n);
}

/* Sends one id to gateway @first and after @gap_ms to gateway @second. */
static void
check_repeated_id(const char *id, uint32_t first, uint32_t second,
                  int64_t gap_ms)
{
    struct repeated_id repeated_id = {.n = 0};
    send_id(&repeated_id, first, id);
    int64_t until_ms = fleet_now_ms() + gap_ms;
    while (fleet_now_ms() < until_ms) {
        g_main_context_iteration(NULL, FALSE);
    }
    send_id(&repeated_id, second, id);
    wait_responses(&repeated_id, 2);
    uint32_t runs = count_runs(id);
    CU_ASSERT(runs <= 1);
    for (uint32_t i = 0; i < 2; i++) {
        const char *outcome = repeated_id.outcomes[i];
        CU_ASSERT_STRING_NOT_EQUAL(outcome, "none");
        CU_ASSERT(runs == 0 || !g_str_equal(outcome, "not-run"));
        CU_ASSERT(runs == 1 || !g_str_equal(outcome, "done"));
        g_free(repeated_id.outcomes[i]);
    }
}

static void
test_repeated_ids(void)
{
    open_fleet("once-repeat", 3);
    for (uint32_t i = 0; i < 30; i++) {
        char *id = g_strdup_printf("again-%u", i);
        check_repeated_id(id, i % 3, (i / 3) % 3, (i % 5) * 60);
        g_free(id);
    }
    close_fleet();
}

static void
test_repeated_after_kill(void)
{
    open_fleet("once-repeat-kill", 3);
    struct repeated_id first = {.n = 0};
    send_id(&first, 0, "killed-1");
    int64_t until_ms = fleet_now_ms() + 75;
    while (fleet_now_ms() < until_ms) {
        g_main_context_iteration(NULL, FALSE);
    }
    fleet_signal(fleet, 0, SIGKILL);
    wait_responses(&first, 1);
    struct repeated_id again = {.n = 0};
    send_id(&again, 1, "killed-1");
    send_id(&again, 2, "killed-1");
    /* struct repeated_id has space for two responses. */
    wait_responses(&again, 2);
    uint32_t runs = count_runs("killed-1");
    CU_ASSERT(runs <= 1);
    for (uint32_t i = 0; i < 2; i++) {
        CU_ASSERT(runs == 0 || !g_str_equal(again.outcomes[i], "not-run"));
        CU_ASSERT(runs == 1 || !g_str_equal(again.outcomes[i], "done"));
        g_free(again.outcomes[i]);
    }
    g_free(first.outcomes[0]);
    close_fleet();
}

static void
run_main_loop(int64_t ms)
{
    int64_t until_ms = fleet_now_ms() + ms;
    while (fleet_now_ms() < until_ms) {
        g_main_context_iteration(NULL, FALSE);
        g_usleep(1000);
    }
}

/* Requests under way in a gateway, from its own metrics. */
static int64_t
count_inflight(uint32_t gateway)
{
    char *text = fleet_call(fleet, "GET", fleet->http_ports[gateway],
                            "/metrics", NULL, NULL);
    const char *line = strstr(text, "egret_inflight ");
    int64_t n =
        line == NULL
            ? -1
            : g_ascii_strtoll(line + strlen("egret_inflight "), NULL, 10);
    g_free(text);
    return n;
}

static void
test_callers_leave(void)
{
    open_fleet("once-leave", 3);
    for (uint32_t round = 0; round < 6; round++) {
        char *id = g_strdup_printf("left-%u", round);
        struct repeated_id left = {.n = 0};
        struct repeated_id back = {.n = 0};
        GCancellable *cancel = g_cancellable_new();
        send_id_cancellable(&left, 0, id, cancel);
        send_id_cancellable(&left, 1, id, cancel);
        run_main_loop(75);
        g_cancellable_cancel(cancel);
        wait_responses(&left, 2);
        send_id(&back, 2, id);
        wait_responses(&back, 1);
        CU_ASSERT_STRING_EQUAL(back.outcomes[0], "done");
        CU_ASSERT_EQUAL(count_runs(id), 1);
        g_free(left.outcomes[0]);
        g_free(left.outcomes[1]);
        g_free(back.outcomes[0]);
        g_object_unref(cancel);
        g_free(id);
    }
    run_main_loop(500);
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT_EQUAL(count_inflight(i), 0);
    }
    close_fleet();
}

int
main(int argc, char **argv)
{
    static const struct suite_test tests[] = {
        {"kills", test_kills},
        {"kills with ids", test_kills_with_ids},
        {"answers broken", test_answers_broken},
        {"truncated by server", test_truncated_by_server},
        {"silent connections", test_silent_connections},
        {"repeated ids", test_repeated_ids},
        {"repeated after kill", test_repeated_after_kill},
        {"callers leave", test_callers_leave},
    };
    return suite_main_one("once", tests, G_N_ELEMENTS(tests), argc, argv);
}
