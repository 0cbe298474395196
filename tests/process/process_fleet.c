#include "process_fleet.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/types.h>

#include "../../standins/free_ports.h"

enum {
    START_TIMEOUT_MS = 20000,
    POLL_INTERVAL_MS = 50,
};

int64_t
fleet_now_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

void
fleet_sleep_ms(int64_t ms)
{
    g_usleep((gulong)ms * 1000);
}

static void
kill_processes(struct fleet *fleet)
{
    for (guint i = fleet->processes->len; i > 0; i--) {
        struct fleet_child *process =
            g_ptr_array_index(fleet->processes, i - 1);
        g_subprocess_send_signal(process->child, SIGCONT);
        g_subprocess_force_exit(process->child);
    }
}

static void
fail(struct fleet *fleet, const char *what)
{
    fprintf(stderr, "%s failed, see %s\n", what, fleet->run_dir);
    kill_processes(fleet);
    exit(EXIT_FAILURE);
}

static char *
run_path(const struct fleet *fleet, const char *name)
{
    return g_build_filename(fleet->run_dir, name, NULL);
}

/* Children die with a test that exits early. */
static void
set_parent_death_signal(gpointer data)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static GSubprocess *
spawn(struct fleet *fleet, const char *name, char **argv)
{
    GSubprocessLauncher *launcher =
        g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE);
    char *log_name = g_strconcat(name, ".log", NULL);
    char *log = run_path(fleet, log_name);
    GError *error = NULL;
    g_subprocess_launcher_set_stdout_file_path(launcher, log);
    g_subprocess_launcher_set_child_setup(launcher, set_parent_death_signal,
                                          NULL, NULL);
    GSubprocess *child = g_subprocess_launcher_spawnv(
        launcher, (const char *const *)argv, &error);
    g_object_unref(launcher);
    g_free(log_name);
    g_free(log);
    if (child == NULL) {
        fail(fleet, error->message);
    }
    return child;
}

/* Takes ownership of the arguments after @program. */
static struct fleet_child *
start(struct fleet *fleet, const char *name, const char *program, ...)
{
    GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(argv, g_build_filename(fleet->build_dir, program, NULL));
    va_list list;
    va_start(list, program);
    for (char *arg = va_arg(list, char *); arg != NULL;
         arg = va_arg(list, char *)) {
        g_ptr_array_add(argv, arg);
    }
    va_end(list);
    g_ptr_array_add(argv, NULL);
    struct fleet_child *process = g_new0(struct fleet_child, 1);
    process->name = g_strdup(name);
    process->child = spawn(fleet, name, (char **)argv->pdata);
    g_ptr_array_add(fleet->processes, process);
    g_ptr_array_unref(argv);
    return process;
}

static uint16_t
wait_port_file(struct fleet *fleet, const char *name)
{
    char *path = run_path(fleet, name);
    char *text = NULL;
    int64_t end_ms = fleet_now_ms() + START_TIMEOUT_MS;
    while (!g_file_get_contents(path, &text, NULL, NULL)) {
        if (fleet_now_ms() > end_ms) {
            fail(fleet, name);
        }
        fleet_sleep_ms(POLL_INTERVAL_MS);
    }
    uint16_t port = (uint16_t)strtoul(text, NULL, 10);
    g_free(text);
    g_free(path);
    return port;
}

char *
fleet_call(struct fleet *fleet, const char *method, uint16_t port,
           const char *path, const char *body, guint *status)
{
    char *uri = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
    SoupMessage *message = soup_message_new(method, uri);
    char *text = NULL;
    if (body != NULL) {
        GBytes *bytes = g_bytes_new(body, strlen(body));
        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 bytes);
        g_bytes_unref(bytes);
    }
    GBytes *answer =
        soup_session_send_and_read(fleet->session, message, NULL, NULL);
    if (answer != NULL) {
        gsize size_bytes = 0;
        const char *data = g_bytes_get_data(answer, &size_bytes);
        text = g_strndup(data == NULL ? "" : data, size_bytes);
        g_bytes_unref(answer);
    }
    if (status != NULL) {
        *status = text == NULL ? 0 : soup_message_get_status(message);
    }
    g_object_unref(message);
    g_free(uri);
    return text;
}

JsonNode *
fleet_call_json(struct fleet *fleet, const char *method, uint16_t port,
                const char *path, const char *body)
{
    char *text = fleet_call(fleet, method, port, path, body, NULL);
    JsonNode *root = text == NULL ? NULL : json_from_string(text, NULL);
    g_free(text);
    return root;
}

static void
wait_ok(struct fleet *fleet, const char *method, uint16_t port,
        const char *path, const char *body)
{
    int64_t end_ms = fleet_now_ms() + START_TIMEOUT_MS;
    guint status = 0;
    while (status != SOUP_STATUS_OK) {
        g_free(fleet_call(fleet, method, port, path, body, &status));
        if (fleet_now_ms() > end_ms) {
            fail(fleet, path);
        }
        if (status != SOUP_STATUS_OK) {
            fleet_sleep_ms(POLL_INTERVAL_MS);
        }
    }
}

static void
send_put(struct fleet *fleet, uint16_t port, const char *path,
         const char *body)
{
    g_free(fleet_call(fleet, "PUT", port, path, body, NULL));
}

static uint16_t
add_route(struct fleet *fleet, const char *name, uint16_t target_port)
{
    char *body = g_strdup_printf(
        "{\"name\": \"%s\", \"target\": \"127.0.0.1:%u\"}", name, target_port);
    JsonNode *root = fleet_call_json(fleet, "PUT", fleet->proxy_port,
                                     "/standin/routes", body);
    g_free(body);
    if (root == NULL) {
        fail(fleet, name);
    }
    uint16_t port = (uint16_t)json_object_get_int_member(
        json_node_get_object(root), "port");
    json_node_unref(root);
    return port;
}

static void
publish_host_list(struct fleet *fleet)
{
    char *text = json_to_string(fleet->hosts, FALSE);
    wait_ok(fleet, "PUT", fleet->store_port, "/standin/hosts", text);
    g_free(text);
}

void
fleet_publish_leaving(struct fleet *fleet, const char *name)
{
    JsonArray *hosts = json_node_get_array(fleet->hosts);
    for (guint i = 0; i < json_array_get_length(hosts); i++) {
        JsonObject *host = json_array_get_object_element(hosts, i);
        JsonObject *node = json_object_get_object_member(host, "Node");
        JsonObject *service = json_object_get_object_member(host, "Service");
        if (g_str_equal(json_object_get_string_member(node, "Node"), name)) {
            json_object_set_string_member(
                json_object_get_object_member(service, "Meta"), "state",
                "leaving");
        }
    }
    publish_host_list(fleet);
}

/* Publishes the backend stand-in's host list, unless @direct with the proxy's
 * ports in place of the backend servers'. */
static void
publish_initial_host_list(struct fleet *fleet, bool direct)
{
    fleet->hosts = fleet_call_json(fleet, "GET", fleet->backend_port,
                                   "/standin/hosts", NULL);
    JsonArray *hosts = json_node_get_array(fleet->hosts);
    guint n_routes = direct ? 0 : json_array_get_length(hosts);
    for (guint i = 0; i < n_routes; i++) {
        JsonObject *host = json_array_get_object_element(hosts, i);
        JsonObject *service = json_object_get_object_member(host, "Service");
        JsonObject *node = json_object_get_object_member(host, "Node");
        char *name = g_strconcat(
            "backend-", json_object_get_string_member(node, "Node"), NULL);
        uint16_t port = (uint16_t)json_object_get_int_member(service, "Port");
        json_object_set_int_member(service, "Port",
                                   add_route(fleet, name, port));
        g_free(name);
    }
    publish_host_list(fleet);
}

static char *
write_settings(struct fleet *fleet, const char *name, uint16_t http_port,
               uint16_t peer_port, uint16_t store_port)
{
    char *file_name = g_strconcat(name, ".json", NULL);
    char *path = run_path(fleet, file_name);
    char *text = g_strdup_printf(
        "{\"name\": \"%s\", \"dc\": \"split-1\", \"address\": \"127.0.0.1\","
        " \"http_port\": %u, \"peer_port\": %u,"
        " \"store_url\": \"http://127.0.0.1:%u\","
        " \"secret_file\": \"%s/secret\", \"shutdown_ms\": 10000%s}",
        name, http_port, peer_port, store_port, fleet->run_dir,
        fleet->settings);
    g_file_set_contents(path, text, -1, NULL);
    g_free(text);
    g_free(file_name);
    return path;
}

static void
start_gateway(struct fleet *fleet, uint32_t i)
{
    uint16_t ports[2];
    char name[32];
    free_ports_find(ports, G_N_ELEMENTS(ports));
    g_snprintf(name, sizeof(name), "store-%u", i);
    uint16_t store_port = add_route(fleet, name, fleet->store_port);
    g_snprintf(name, sizeof(name), "entry-%u", i);
    fleet->http_ports[i] = ports[0];
    fleet->peer_ports[i] = ports[1];
    fleet->gateways[i] = start(
        fleet, name, "egretd/egretd",
        write_settings(fleet, name, ports[0], ports[1], store_port), NULL);
}

static void
start_controller(struct fleet *fleet, uint32_t i, const char *name,
                 uint16_t store_port)
{
    uint16_t port = 0;
    free_ports_find(&port, 1);
    fleet->controller_ports[i] = port;
    fleet->controllers[i] =
        start(fleet, name, "egretfleetd/egretfleetd",
              write_settings(fleet, name, port, 0, store_port), NULL);
}

static void
start_controllers(struct fleet *fleet, uint32_t routed)
{
    if (routed == 0) {
        start_controller(fleet, 0, "controller", fleet->store_port);
    }
    for (uint32_t i = 0; i < routed; i++) {
        char name[32];
        g_snprintf(name, sizeof(name), "store-controller-%u", i);
        uint16_t port = add_route(fleet, name, fleet->store_port);
        start_controller(fleet, i, name + strlen("store-"), port);
    }
}

char *
fleet_relay_start(struct fleet *fleet, const char *target,
                  bool new_connections)
{
    uint16_t port = 0;
    free_ports_find(&port, 1);
    start(fleet, "relay", "standins/standin-relay",
          g_strdup_printf("--target=%s", target),
          g_strdup_printf("--port=%u", port),
          new_connections ? g_strdup("--new-connections") : NULL, NULL);
    wait_ok(fleet, "POST", port, "/", "run_ms=0");
    return g_strdup_printf("127.0.0.1:%u", port);
}

static struct fleet *
create_fleet(const struct fleet_options *options)
{
    struct fleet *fleet = g_new0(struct fleet, 1);
    char *name = g_strdup_printf("process-run/%s", options->name);
    fleet->build_dir = g_strdup(g_getenv("EGRET_BUILD"));
    if (fleet->build_dir == NULL) {
        fprintf(stderr, "EGRET_BUILD is not set\n");
        exit(EXIT_FAILURE);
    }
    fleet->run_dir = g_build_filename(fleet->build_dir, name, NULL);
    fleet->processes = g_ptr_array_new();
    fleet->session = soup_session_new_with_options("timeout", 30, NULL);
    fleet->n_gateways = options->gateways;
    fleet->config_file = run_path(fleet, "config.json");
    fleet->settings =
        g_strdup(options->settings == NULL ? "" : options->settings);
    g_mkdir_with_parents(fleet->run_dir, 0700);
    g_file_set_contents(fleet->config_file, options->config, -1, NULL);
    char *secret = run_path(fleet, "secret");
    g_file_set_contents(secret, "a secret for process tests only", -1, NULL);
    g_free(secret);
    g_free(name);
    return fleet;
}

static void
start_standins(struct fleet *fleet, const struct fleet_options *options)
{
    const char *const port_files[] = {"backend.port", "proxy.port"};
    for (size_t i = 0; i < G_N_ELEMENTS(port_files); i++) {
        char *path = run_path(fleet, port_files[i]);
        remove(path);
        g_free(path);
    }
    free_ports_find(&fleet->store_port, 1);
    start(fleet, "store", "standins/standin-store",
          g_strdup_printf("--port=%u", fleet->store_port), NULL);
    start(fleet, "backend", "standins/standin-backend",
          g_strdup_printf("--layout=%s", options->layout),
          g_strdup_printf("--dcs=%s", options->dcs),
          g_strdup_printf("--port-out=%s/backend.port", fleet->run_dir), NULL);
    start(fleet, "proxy", "standins/standin-proxy",
          g_strdup_printf("--port-out=%s/proxy.port", fleet->run_dir), NULL);
    fleet->backend_port = wait_port_file(fleet, "backend.port");
    fleet->proxy_port = wait_port_file(fleet, "proxy.port");
}

struct fleet *
fleet_start(const struct fleet_options *options)
{
    struct fleet *fleet = create_fleet(options);
    start_standins(fleet, options);
    publish_initial_host_list(fleet, options->direct_backends);
    start_controllers(fleet, options->routed_controllers);
    for (uint32_t i = 0; i < fleet->n_gateways; i++) {
        start_gateway(fleet, i);
    }
    char *output =
        fleet_ctl(fleet, "apply", fleet->config_file, "--wait", NULL);
    if (output == NULL) {
        fail(fleet, "egretctl apply");
    }
    g_free(output);
    for (uint32_t i = 0; i < fleet->n_gateways; i++) {
        wait_ok(fleet, "GET", fleet->http_ports[i], "/healthz", NULL);
        wait_ok(fleet, "POST", fleet->http_ports[i], "/v1/queues/open/tasks",
                "run_ms=1");
    }
    return fleet;
}

static void
save_response(struct fleet *fleet, uint16_t port, const char *path,
              const char *name)
{
    char *text = fleet_call(fleet, "GET", port, path, NULL, NULL);
    char *file = run_path(fleet, name);
    if (text != NULL) {
        g_file_set_contents(file, text, -1, NULL);
    }
    g_free(file);
    g_free(text);
}

bool
fleet_stop(struct fleet *fleet)
{
    bool all_expected = true;
    save_response(fleet, fleet->backend_port, "/standin/summary",
                  "summary.json");
    save_response(fleet, fleet->proxy_port, "/standin/routes", "routes.json");
    for (guint i = 0; i < fleet->processes->len; i++) {
        struct fleet_child *process = g_ptr_array_index(fleet->processes, i);
        if (g_subprocess_get_identifier(process->child) == NULL &&
            !process->exit_expected) {
            fprintf(stderr, "%s exited unexpectedly, see %s\n", process->name,
                    fleet->run_dir);
            all_expected = false;
        }
    }
    kill_processes(fleet);
    for (guint i = 0; i < fleet->processes->len; i++) {
        struct fleet_child *process = g_ptr_array_index(fleet->processes, i);
        g_subprocess_wait(process->child, NULL, NULL);
        g_object_unref(process->child);
        g_free(process->name);
        g_free(process);
    }
    g_ptr_array_unref(fleet->processes);
    g_object_unref(fleet->session);
    json_node_unref(fleet->hosts);
    g_free(fleet->config_file);
    g_free(fleet->settings);
    g_free(fleet->build_dir);
    g_free(fleet->run_dir);
    g_free(fleet);
    return all_expected;
}

void
fleet_signal(struct fleet *fleet, uint32_t i, int signal)
{
    struct fleet_child *process = fleet->gateways[i];
    process->exit_expected |= signal == SIGKILL || signal == SIGTERM;
    g_subprocess_send_signal(process->child, signal);
}

int
fleet_wait_exit(struct fleet *fleet, uint32_t i)
{
    GSubprocess *child = fleet->gateways[i]->child;
    g_subprocess_wait(child, NULL, NULL);
    return g_subprocess_get_if_exited(child)
               ? g_subprocess_get_exit_status(child)
               : -1;
}

char *
fleet_ctl(struct fleet *fleet, ...)
{
    GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(
        argv, g_build_filename(fleet->build_dir, "egretctl/egretctl", NULL));
    g_ptr_array_add(argv, g_strdup_printf("--store=http://127.0.0.1:%u",
                                          fleet->store_port));
    g_ptr_array_add(
        argv, g_strdup_printf("--secret-file=%s/secret", fleet->run_dir));
    va_list list;
    va_start(list, fleet);
    for (char *arg = va_arg(list, char *); arg != NULL;
         arg = va_arg(list, char *)) {
        g_ptr_array_add(argv, g_strdup(arg));
    }
    va_end(list);
    g_ptr_array_add(argv, NULL);
    char *output = NULL;
    GSubprocess *child =
        g_subprocess_newv((const char *const *)argv->pdata,
                          G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL);
    g_subprocess_communicate_utf8(child, NULL, NULL, &output, NULL, NULL);
    if (!g_subprocess_get_successful(child)) {
        fprintf(stderr, "egretctl: %s\n", output);
        g_clear_pointer(&output, g_free);
    }
    g_object_unref(child);
    g_ptr_array_unref(argv);
    return output;
}

/* egretctl prints the key among the lines about the progress of --wait. */
char *
fleet_key(struct fleet *fleet, const char *team)
{
    char *key = NULL;
    char *text = fleet_ctl(fleet, "key", "issue", team, "--wait", NULL);
    char **words = g_strsplit_set(text == NULL ? "" : text, " \n", -1);
    for (char **word = words; *word != NULL; word++) {
        if (g_str_has_prefix(*word, "egk.")) {
            g_free(key);
            key = g_strdup(*word);
        }
    }
    g_strfreev(words);
    g_free(text);
    return key;
}

void
fleet_store_faults(struct fleet *fleet, const char *faults)
{
    send_put(fleet, fleet->store_port, "/standin/faults", faults);
}

void
fleet_proxy_faults(struct fleet *fleet, const char *faults)
{
    send_put(fleet, fleet->proxy_port, "/standin/faults", faults);
}

void
fleet_backend_mode(struct fleet *fleet, const char *mode)
{
    send_put(fleet, fleet->backend_port, "/standin/mode", mode);
}

int64_t
fleet_backend_stat(struct fleet *fleet, const char *kind, const char *name,
                   const char *member)
{
    JsonNode *root = fleet_call_json(fleet, "GET", fleet->backend_port,
                                     "/standin/summary", NULL);
    JsonObject *stats =
        json_object_get_object_member(json_node_get_object(root), kind);
    int64_t value = 0;
    if (json_object_has_member(stats, name)) {
        value = json_object_get_int_member(
            json_object_get_object_member(stats, name), member);
    }
    json_node_unref(root);
    return value;
}
