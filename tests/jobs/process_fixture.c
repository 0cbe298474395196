#include "process_fixture.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../standins/free_ports.h"
#include "platform/json_text.h"

enum {
    READY_ATTEMPTS_MAX = 100,
    POLL_US = 2000,
    SUBMIT_INTERVAL_MS = 150,
    FINISH_TIMEOUT_MS = 20000,
    /* Offsets from the first port: administration of the proxy, its routes. */
    PORT_PROXY = 70,
    PORT_ROUTES = 71,
};

const char job_body[] =
    "{\"spec\":\"ms=300 "
    "\\u0000\\u0001\\ud83d\\ude80z\",\"steps\":[{\"count\":4,\"cpu\":900,"
    "\"mem_mb\":900,"
    "\"estimate_ms\":300},{\"count\":2,\"cpu\":900,\"mem_mb\":900,"
    "\"estimate_ms\":300,\"after\":[0]}]}";
const char service_job_body[] =
    "{\"spec\":\"forever\",\"steps\":[{\"count\":3,\"cpu\":900,"
    "\"mem_mb\":900,\"long_running\":true,\"may_miss\":1,"
    "\"anti_affinity\":1}]}";
const char ending_service_body[] =
    "{\"spec\":\"ms=700\",\"steps\":[{\"count\":3,\"cpu\":900,"
    "\"mem_mb\":900,\"long_running\":true,\"may_miss\":1,"
    "\"anti_affinity\":1}]}";

struct fixture fixture;
const char *build_root;

static const char *scheduling_setting;
static const char *config_path;

void
fixture_set_scheduling(const char *scheduling)
{
    scheduling_setting = scheduling;
}

void
fixture_set_config(const char *path)
{
    config_path = path;
}

static pid_t
spawn(const char *log, char *const *argv)
{
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (freopen(log, "a", stdout) == NULL ||
            dup2(STDOUT_FILENO, STDERR_FILENO) < 0) {
            _exit(EXIT_FAILURE);
        }
        execv(argv[0], argv);
        _exit(EXIT_FAILURE);
    }
    return pid;
}

void
end_process(pid_t *pid, int signal_number)
{
    if (*pid > 0) {
        kill(*pid, signal_number);
        waitpid(*pid, NULL, 0);
        *pid = 0;
    }
}

static int
entry_port(int entry)
{
    return fixture.first_port + 30 + 10 * entry;
}

static int
proxy_port(int entry)
{
    return fixture.first_port + PORT_ROUTES + entry;
}

/* Further members of the settings, each with a comma before it. */
static const char *limit_members = "";
static const char *connection_members = "";

void
fixture_limit_connections(const char *limits, const char *connections)
{
    limit_members = limits;
    connection_members = connections;
}

void
start_entry_host(int entry)
{
    int port = entry_port(entry);
    int store_port =
        fixture.proxy > 0 ? proxy_port(entry) : fixture.first_port;
    char *settings = g_strdup_printf(
        "{\"node_name\":\"entry-%d\",\"zone\":\"dc-a\",\"ip\":\"127.0.0.1\","
        "\"internal_ports\":[%d,%d],\"listen\":{\"front\":\"127.0.0.1:%d\","
        "\"ready\":\"127.0.0.1:%d\"},\"platform\":{\"address\":"
        "\"127.0.0.1:%d\",\"value_bytes\":%d},\"cloud\":{\"address\":\"127.0."
        "0.1:%d\"},"
        "\"advice\":\"127.0.0.1:%d\",\"scheduling\":%s,"
        "\"limits\":{\"cpu_share\":0.5%s},\"bounds\":{\"stop_ms\":200,"
        "\"move_s\":1,\"maintenance_s\":1,\"grace_s\":2,\"max_hold_ms\":6000,"
        "\"config_ms\":2000,\"lease_ms\":3000}%s}",
        entry, port + 2, port + 5, port, port + 1, store_port,
        STORE_VALUE_BYTES, fixture.first_port + 1, fixture.first_port + 1,
        scheduling_setting == NULL ? "{}" : scheduling_setting, limit_members,
        connection_members);
    char *file = g_strdup_printf("%s/entry-%d.json", fixture.directory, entry);
    char *log = g_strdup_printf("%s/entry-%d.log", fixture.directory, entry);
    char *program =
        g_build_filename(build_root, "egretjobd", "egretjobd", NULL);
    g_file_set_contents(file, settings, -1, NULL);
    char *const argv[] = {program, file, NULL};
    fixture.entry_pids[entry] = spawn(log, argv);
    g_free(settings);
    g_free(file);
    g_free(log);
    g_free(program);
}

int
send_request(const char *address, const char *method, const char *path)
{
    return http_call_sync(fixture.base, address, method, path, NULL, NULL,
                          NULL);
}

void
wait_ready(int entry)
{
    char *address = g_strdup_printf("127.0.0.1:%d", entry_port(entry) + 1);
    int attempts = READY_ATTEMPTS_MAX;
    while (send_request(address, "GET", "/v1/readiness") != 200 &&
           --attempts > 0) {
        g_usleep(50000);
    }
    CU_ASSERT(attempts > 0);
    g_free(address);
}

static void
add_route(int entry)
{
    char *route = g_strdup_printf(
        "{\"name\":\"store-%d\",\"target\":\"127.0.0.1:%d\",\"listen\":%d}",
        entry, fixture.first_port, proxy_port(entry));
    int attempts = READY_ATTEMPTS_MAX;
    while (http_call_sync(fixture.base, fixture.proxy_admin, "POST",
                          "/standin/routes", NULL, route, NULL) != 200 &&
           --attempts > 0) {
        g_usleep(50000);
    }
    CU_ASSERT(attempts > 0);
    g_free(route);
}

static void
start_proxy(void)
{
    char *program =
        g_build_filename(build_root, "standins", "standin-proxy", NULL);
    char *port =
        g_strdup_printf("--admin-port=%d", fixture.first_port + PORT_PROXY);
    char *log = g_strdup_printf("%s/proxy.log", fixture.directory);
    char *const argv[] = {program, port, NULL};
    fixture.proxy_admin =
        g_strdup_printf("127.0.0.1:%d", fixture.first_port + PORT_PROXY);
    fixture.proxy = spawn(log, argv);
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        add_route(i);
    }
    g_free(program);
    g_free(port);
    g_free(log);
}

static int team_maximum_milli;

void
fixture_limit_teams(int maximum_milli)
{
    team_maximum_milli = maximum_milli;
}

void
fixture_set_up(int first_port, bool proxied)
{
    /* Ports below FREE_PORTS_END may be drawn by tests that run meanwhile. */
    CU_ASSERT_FATAL(first_port >= FREE_PORTS_END);
    fixture = (struct fixture){.first_port = first_port};
    fixture.base = event_base_new();
    fixture.directory = g_dir_make_tmp("jobs-test-XXXXXX", NULL);
    char *program = g_build_filename(build_root, "standins", "jobs",
                                     "jobs-emulator", NULL);
    char *port = g_strdup_printf("%d", first_port);
    char *config =
        config_path == NULL
            ? g_build_filename(build_root, "..", "examples", "jobs.json", NULL)
            : g_strdup(config_path);
    char *log = g_strdup_printf("%s/emulator.log", fixture.directory);
    char *value_bytes = g_strdup_printf("%d", STORE_VALUE_BYTES);
    char *maximum = g_strdup_printf("%d", team_maximum_milli);
    char *const argv[] = {
        program,     (char *)"--port",    port,    (char *)"--value-bytes",
        value_bytes, (char *)"--maximum", maximum, config,
        NULL};
    fixture.emulator = spawn(log, argv);
    g_free(value_bytes);
    g_free(maximum);
    g_free(program);
    g_free(port);
    g_free(config);
    g_free(log);
    fixture.admin = g_strdup_printf("127.0.0.1:%d", first_port + 2);
    if (proxied) {
        start_proxy();
    }
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        fixture.frontends[i] = g_strdup_printf("127.0.0.1:%d", entry_port(i));
        start_entry_host(i);
    }
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        wait_ready(i);
    }
    fixture.caller = job_caller_create(fixture.base,
                                       (const char *const *)fixture.frontends);
    fixture.quick = (struct caller_queue){
        .name = "quick",
        .host = "jobs.example",
        .prefix = "/draft/",
        .key = "key-skela",
        .objective_ms = 2000,
    };
    fixture.service = (struct caller_queue){
        .name = "service",
        .host = "jobs.example",
        .prefix = "/archive/",
        .objective_ms = 2000,
    };
    caller_queue_init(&fixture.quick);
    caller_queue_init(&fixture.service);
}

int64_t
emulator_stat(const char *name)
{
    char *body = NULL;
    http_call_sync(fixture.base, fixture.admin, "GET", "/figures", NULL, NULL,
                   &body);
    cJSON *stats = json_document_read(body, strlen(body), NULL);
    int64_t value = json_int_get(stats, name, -1);
    cJSON_Delete(stats);
    g_free(body);
    return value;
}

void
fixture_tear_down(void)
{
    job_caller_destroy(fixture.caller);
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        end_process(&fixture.entry_pids[i], SIGTERM);
        g_free(fixture.frontends[i]);
    }
    end_process(&fixture.proxy, SIGTERM);
    end_process(&fixture.emulator, SIGTERM);
    caller_queue_clear(&fixture.quick);
    caller_queue_clear(&fixture.service);
    g_free(fixture.admin);
    g_free(fixture.proxy_admin);
    g_free(fixture.directory);
    event_base_free(fixture.base);
}

void
run_for(int64_t duration_ms, bool submit)
{
    int64_t start_ms = g_get_monotonic_time() / 1000;
    int64_t next_ms = start_ms;
    int64_t now_ms = start_ms;
    while (now_ms < start_ms + duration_ms) {
        if (submit && now_ms >= next_ms) {
            next_ms = now_ms + SUBMIT_INTERVAL_MS;
            job_caller_submit(fixture.caller, &fixture.quick, job_body);
        }
        event_base_loop(fixture.base, EVLOOP_NONBLOCK);
        g_usleep(POLL_US);
        now_ms = g_get_monotonic_time() / 1000;
    }
}

void
run_until_finished(void)
{
    for (int64_t passed_ms = 0; passed_ms < FINISH_TIMEOUT_MS &&
                                job_caller_pending(fixture.caller) > 0;
         passed_ms += 100) {
        run_for(100, false);
    }
}

void
check_invariants(void)
{
    const struct caller_queue *quick = &fixture.quick;
    printf("%u jobs, %u accepted, %u completed, %u failed, p50 %ld ms, "
           "p99 %ld ms, logs in %s\n",
           quick->submitted, quick->accepted, quick->completed, quick->failed,
           (long)caller_queue_quantile_ms(quick, 0.5),
           (long)caller_queue_quantile_ms(quick, 0.99), fixture.directory);
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
    CU_ASSERT(emulator_stat("checks") > 0);
    CU_ASSERT_EQUAL(job_caller_pending(fixture.caller), 0);
    CU_ASSERT_EQUAL(quick->failed, 0);
    CU_ASSERT_EQUAL(quick->refused, 0);
    CU_ASSERT_EQUAL(quick->accepted, quick->submitted);
}

int
find_leader(void)
{
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        char *address = g_strdup_printf("127.0.0.1:%d", entry_port(i) + 3);
        char *body = NULL;
        int status = fixture.entry_pids[i] == 0
                         ? 0
                         : http_call_sync(fixture.base, address, "GET",
                                          "/metrics", NULL, NULL, &body);
        bool leads = status == 200 && body != NULL &&
                     strstr(body, "scheduler_held 1") != NULL;
        g_free(body);
        g_free(address);
        if (leads) {
            return i;
        }
    }
    return -1;
}

int
submit_job(const char *path, const char *key, const char *text, char **body)
{
    return http_call_sync(fixture.base, fixture.frontends[0], "POST", path,
                          key, text, body);
}

static int first_port;
static const struct scenario *chosen;

static void
run_chosen(void)
{
    fixture_set_up(first_port, chosen->proxied);
    chosen->run();
    fixture_tear_down();
}

int
scenario_main(int argc, char **argv, const struct scenario *scenarios,
              size_t n_scenarios)
{
    if (argc < 4) {
        fprintf(stderr, "usage: %s BUILD PORT SCENARIO\n", argv[0]);
        return EXIT_FAILURE;
    }
    signal(SIGPIPE, SIG_IGN);
    build_root = argv[1];
    for (size_t i = 0; i < n_scenarios; i++) {
        if (strcmp(scenarios[i].name, argv[3]) == 0) {
            first_port = atoi(argv[2]);
            chosen = &scenarios[i];
            const struct suite_test test = {argv[3], run_chosen};
            return suite_main("jobs processes", &test, 1);
        }
    }
    fprintf(stderr, "no scenario %s\n", argv[3]);
    return EXIT_FAILURE;
}
