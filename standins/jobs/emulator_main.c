/*
 * Emulator of the prepared platform for the demo and the process tests.
 *
 * Ports from FIRST on: the store, the interface for hosts and advice,
 * administration, then one for each backend server.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "emulator.h"
#include "platform/json_text.h"
#include "platform/kv.h"

enum {
    PORT_STORE,
    PORT_HOSTS,
    PORT_ADMIN,
    PORT_BACKENDS,
    HISTORY_ROWS_MAX = 4000,
};

struct arguments {
    int first_port;
    size_t value_bytes;
    int64_t maximum_milli;
    const char *config;
};

int64_t
emulator_now_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

static void
on_tick(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct emulator *emulator = ctx;
    int64_t now_ms = emulator_now_ms();
    emulator_hosts_tick(emulator, now_ms);
    kv_model_expire(&emulator->kv, now_ms);
    if (emulator->kv.history->len > HISTORY_ROWS_MAX) {
        g_ptr_array_remove_range(emulator->kv.history, 0,
                                 HISTORY_ROWS_MAX / 2);
    }
    emulator_kv_answer_watches(emulator, now_ms);
    struct timeval tick = {.tv_usec = EMULATOR_TICK_MS * 1000};
    evtimer_add(emulator->tick, &tick);
}

static void
put_text(struct emulator *emulator, const char *key, const char *text,
         size_t bytes)
{
    char *value = g_base64_encode((const guchar *)text, bytes);
    kv_model_next_revision(&emulator->kv);
    kv_model_put(&emulator->kv, key, value, 0);
    g_free(value);
}

static void
serve_stats(struct emulator *emulator, struct http_exchange *exchange)
{
    char text[240];
    snprintf(text, sizeof(text),
             "{\"checks\":%" G_GUINT64_FORMAT
             ",\"tickets_missing\":%" G_GUINT64_FORMAT
             ",\"violations\":%" G_GUINT64_FORMAT
             ",\"moves\":%" G_GUINT64_FORMAT ",\"reads\":%" G_GUINT64_FORMAT
             ",\"rejected\":%" G_GUINT64_FORMAT "}",
             emulator->checks, emulator->tickets_missing, emulator->violations,
             emulator->moves, emulator->reads, emulator->rejected);
    http_exchange_reply(exchange, 200, text);
}

/* Answers all withheld calls with 503. Their callers have timed out by now, so
 * none of them takes this late answer for a refusal. */
static void
release_withheld(struct emulator *emulator)
{
    for (guint i = 0; i < emulator->withheld->len; i++) {
        http_exchange_reply(g_ptr_array_index(emulator->withheld, i), 503,
                            NULL);
    }
    g_ptr_array_set_size(emulator->withheld, 0);
}

static void
put_document(struct emulator *emulator, const char *key, const cJSON *document)
{
    char *text = cJSON_PrintUnformatted(document);
    put_text(emulator, key, text, strlen(text));
    cJSON_free(text);
}

/* Writes the configuration again, as a newer version. */
static void
renew_config(struct emulator *emulator)
{
    const struct kv_row *row = kv_model_get(&emulator->kv, "op/config");
    gsize bytes = 0;
    char *text = (char *)g_base64_decode(row->value, &bytes);
    cJSON *config = json_document_read(text, bytes, NULL);
    g_free(text);
    cJSON_ReplaceItemInObject(
        config, "version",
        cJSON_CreateNumber((double)json_int_get(config, "version", 0) + 3));
    put_document(emulator, "op/config", config);
    cJSON_Delete(config);
}

/* POST /put/KEY writes a key; POST /unreadable/KEY refuses reads of it alone;
 * POST /store/up|down|silent; POST /crash/N; POST /dark/N toggles whether
 * backend server N is reachable;
 * POST /restart-unseen/N restarts it under the same id, see emulator.h;
 * POST /config writes the configuration again; POST /cancelled/ID tells that a
 * cancel was acknowledged; POST /break/INVARIANT; GET /figures. */
static void
on_admin(void *ctx, struct http_exchange *exchange)
{
    struct emulator *emulator = ctx;
    const char *path = http_exchange_path(exchange);
    size_t bytes = 0;
    const char *body = http_exchange_body(exchange, &bytes);
    if (strcmp(path, "/figures") == 0) {
        serve_stats(emulator, exchange);
        return;
    }
    int index = 0;
    if (g_str_has_prefix(path, "/put/")) {
        put_text(emulator, path + strlen("/put/"), body, bytes);
    }
    else if (g_str_has_prefix(path, "/unreadable/")) {
        g_free(emulator->unreadable_key);
        emulator->unreadable_key = g_strdup(path + strlen("/unreadable/"));
    }
    else if (g_str_has_prefix(path, "/store/")) {
        emulator->store_down = strcmp(path, "/store/down") == 0;
        emulator->store_unresponsive = strcmp(path, "/store/silent") == 0;
        if (!emulator->store_unresponsive) {
            release_withheld(emulator);
        }
    }
    else if (strcmp(path, "/config") == 0) {
        renew_config(emulator);
    }
    else if (g_str_has_prefix(path, "/cancelled/")) {
        int64_t now_ms = emulator_now_ms();
        g_hash_table_insert(emulator->cancelled_ms,
                            g_strdup(path + strlen("/cancelled/")),
                            g_memdup2(&now_ms, sizeof(now_ms)));
    }
    else if (g_str_has_prefix(path, "/break/")) {
        g_free(emulator->violated_invariant);
        emulator->violated_invariant = g_strdup(path + strlen("/break/"));
    }
    else if (sscanf(path, "/crash/%d", &index) == 1 && index >= 0 &&
             index < emulator->n_hosts) {
        emulator_restart_host(&emulator->hosts[index]);
    }
    else if (sscanf(path, "/restart-unseen/%d", &index) == 1 && index >= 0 &&
             index < emulator->n_hosts) {
        emulator_restart_unseen(&emulator->hosts[index]);
    }
    else if (sscanf(path, "/dark/%d", &index) == 1 && index >= 0 &&
             index < emulator->n_hosts) {
        emulator->hosts[index].unreachable =
            !emulator->hosts[index].unreachable;
    }
    http_exchange_reply(exchange, 200, "{}");
}

static struct http_server *
listen_at(struct emulator *emulator, const char *address,
          void (*handle)(void *ctx, struct http_exchange *exchange), void *ctx)
{
    struct http_server *server =
        http_server_create(emulator->base, address, handle, ctx);
    if (server == NULL) {
        fprintf(stderr, "cannot listen on %s\n", address);
        exit(EXIT_FAILURE);
    }
    return server;
}

static struct http_server *
listen_on(struct emulator *emulator, int port,
          void (*handle)(void *ctx, struct http_exchange *exchange), void *ctx)
{
    char address[32];
    snprintf(address, sizeof(address), "127.0.0.1:%d", port);
    return listen_at(emulator, address, handle, ctx);
}

void
emulator_listen(struct emulated_host *host)
{
    host->server = listen_at(host->emulator, host->address,
                             emulator_backend_request, host);
}

static void
add_host(struct emulator *emulator, const char *pool, int first_port)
{
    int index = emulator->n_hosts++;
    struct emulated_host *host = &emulator->hosts[index];
    host->emulator = emulator;
    host->index = index;
    snprintf(host->name, sizeof(host->name), "m-%d", index);
    host->pool = g_strdup(pool);
    host->data_centre = g_strdup_printf("dc-%c", 'a' + index % 2);
    host->address =
        g_strdup_printf("127.0.0.1:%d", first_port + PORT_BACKENDS + index);
    host->waiting_reports = g_ptr_array_new();
    host->incarnation_start_ms = g_get_real_time() / 1000;
    model_backend_init(&host->backend, index, 100, 1000 + 100 * index);
    snprintf(host->backend.id, sizeof(host->backend.id), "i-%d-0", index);
    emulator_listen(host);
}

static void
set_maxima(cJSON *config, double maximum_milli)
{
    cJSON *team;
    cJSON_ArrayForEach(team,
                       cJSON_GetObjectItemCaseSensitive(config, "tenants"))
    {
        cJSON *maximum = cJSON_GetObjectItemCaseSensitive(team, "maximum");
        cJSON_ReplaceItemInObject(maximum, "cpu",
                                  cJSON_CreateNumber(maximum_milli));
    }
}

/* Reads the configuration: "hosts" is the number of hosts of each pool, the
 * rest is the operator's configuration in the store. */
static bool
read_config(struct emulator *emulator, const struct arguments *arguments)
{
    char *text = NULL;
    gsize bytes = 0;
    if (!g_file_get_contents(arguments->config, &text, &bytes, NULL)) {
        fprintf(stderr, "%s: cannot be read\n", arguments->config);
        return false;
    }
    cJSON *body = json_document_read(text, bytes, NULL);
    g_free(text);
    cJSON *pools = cJSON_DetachItemFromObject(body, "hosts");
    if (pools == NULL) {
        fprintf(stderr, "%s: $.hosts: missing\n", arguments->config);
        cJSON_Delete(body);
        return false;
    }
    const cJSON *pool;
    cJSON_ArrayForEach(pool, pools)
    {
        for (int i = 0; i < json_int_of(pool, 0) &&
                        emulator->n_hosts < EMULATOR_BACKENDS_MAX;
             i++) {
            add_host(emulator, pool->string, arguments->first_port);
        }
    }
    if (arguments->maximum_milli > 0) {
        set_maxima(body, (double)arguments->maximum_milli);
    }
    put_document(emulator, "op/config", body);
    cJSON_Delete(pools);
    cJSON_Delete(body);
    return true;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct arguments *arguments = state->input;
    if (key == 'p') {
        arguments->first_port = atoi(arg);
        return 0;
    }
    if (key == 'v') {
        arguments->value_bytes = strtoul(arg, NULL, 10);
        return 0;
    }
    if (key == 'm') {
        arguments->maximum_milli = g_ascii_strtoll(arg, NULL, 10);
        return 0;
    }
    if (key == ARGP_KEY_ARG) {
        arguments->config = arg;
        return 0;
    }
    return ARGP_ERR_UNKNOWN;
}

int
main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"port", 'p', "FIRST", 0, "first port", 0},
        {"maximum", 'm', "CPU", 0, "maximum of each client account", 0},
        {"value-bytes", 'v', "BYTES", 0, "longest value of the store", 0},
        {0},
    };
    static const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .args_doc = "CONFIG",
        .doc = "Emulates the prepared platform on loopback.",
    };
    struct arguments arguments = {.first_port = 7600,
                                  .value_bytes = KV_VALUE_BYTES_DEFAULT};
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    if (arguments.config == NULL) {
        fprintf(stderr, "missing argument: CONFIG\n");
        return EXIT_FAILURE;
    }
    signal(SIGPIPE, SIG_IGN);
    static struct emulator emulator;
    emulator.base = event_base_new();
    emulator.watches = g_ptr_array_new();
    emulator.withheld = g_ptr_array_new();
    emulator.done_acked =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    kv_model_init(&emulator.kv);
    emulator.value_bytes_max = arguments.value_bytes;
    emulator.maximum_milli = arguments.maximum_milli;
    emulator.cancelled_ms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    if (!read_config(&emulator, &arguments)) {
        return EXIT_FAILURE;
    }
    int port = arguments.first_port;
    emulator.store = listen_on(&emulator, port + PORT_STORE,
                               emulator_kv_request, &emulator);
    emulator.hosts_api = listen_on(&emulator, port + PORT_HOSTS,
                                   emulator_hosts_request, &emulator);
    emulator.admin =
        listen_on(&emulator, port + PORT_ADMIN, on_admin, &emulator);
    emulator.tick = evtimer_new(emulator.base, on_tick, &emulator);
    on_tick(-1, 0, &emulator);
    event_base_dispatch(emulator.base);
    return EXIT_SUCCESS;
}
