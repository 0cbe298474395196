#include "fleet_process.h"

#include <glib/gstdio.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <string.h>

#include "../suite.h"
#include "common/config.h"
#include "common/json_read.h"
#include "store/config_store.h"
#include "store/store_keys.h"

enum {
    N_DCS = 3,
    HOSTS_PER_RACK = 4,
    REBOOT_MS = 600,
    /* Longer than the lag of the host list plus a planning pass: every
     * controller knows of a failure after this time. */
    FAILURE_VISIBLE_MS = 1500,
};

static const char settings_text[] =
    "{\"name\": \"c%u\", \"dc\": \"d%u\", \"address\": \"127.0.0.1\","
    " \"http_port\": 0, \"store_url\": \"%s\", \"secret_file\": \"%s\","
    " \"log_level\": \"warn\", \"fleet\": %s}";

static const char short_timings[] =
    "{\"tick_ms\": 100, \"turn_ms\": 200, \"list_stale_ms\": 2000,"
    " \"demand_poll_ms\": 500, \"drain_margin_ms\": 100, \"lost_ms\": 1000,"
    " \"prove_ms\": 300, \"return_ms\": 3000, \"repair_ms\": 2000,"
    " \"settle_ms\": 1500, \"surplus_ms\": 1500, \"smooth_ms\": 1000}";

static int64_t
now_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

/** struct store_reply - result of a store call, copied in its callback */
struct store_reply {
    enum status_code code;
    GPtrArray *texts;
    uint64_t version;
    bool done;
};

static void
on_store_reply(void *ctx, const struct store_result *result)
{
    struct store_reply *reply = ctx;
    reply->code = result->status.code;
    for (size_t i = 0; i < result->n_entries; i++) {
        g_ptr_array_add(reply->texts, g_strdup(result->entries[i].value));
        reply->version = result->entries[i].version;
    }
    reply->done = true;
}

static struct store_reply
store_call(struct fleet_process *fleet, const char *key, const char *value,
           uint64_t version)
{
    struct store_reply reply = {.texts =
                                    g_ptr_array_new_with_free_func(g_free)};
    struct store_callback callback = {.done = on_store_reply, .ctx = &reply};
    if (value == NULL) {
        store_get(fleet->store, key, callback);
    }
    else {
        store_cas(fleet->store, key, value, strlen(value), version, callback);
    }
    while (!reply.done) {
        g_main_context_iteration(NULL, TRUE);
    }
    return reply;
}

static void
publish_host_list(const struct fleet_process *fleet)
{
    GString *text = g_string_new("[");
    for (unsigned i = 0; i < fleet->n_hosts; i++) {
        const struct platform_host *host = &fleet->hosts[i];
        g_string_append_printf(
            text,
            "%s{\"Node\": {\"Node\": \"%s\", \"Datacenter\": \"%s\","
            " \"Meta\": {\"rack\": \"%s\"}}, \"Service\": {\"Address\":"
            " \"127.0.0.1\", \"Port\": %u, \"Meta\": {\"state\": \"%s\","
            " \"pool\": \"%s\"}}, \"Checks\": [{\"Status\": \"%s\"}]}",
            i == 0 ? "" : ",", host->name, host->dc, host->rack, 9000 + i,
            host->leaving ? "leaving" : "live", host->pool,
            host->up ? "passing" : "critical");
    }
    g_string_append(text, "]");
    SoupSession *session = soup_session_new();
    char *url = g_strconcat(fleet->store_process.url, "/standin/hosts", NULL);
    SoupMessage *message = soup_message_new("PUT", url);
    GBytes *body = g_string_free_to_bytes(text);
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             body);
    GBytes *reply = soup_session_send_and_read(session, message, NULL, NULL);
    CU_ASSERT_EQUAL(soup_message_get_status(message), SOUP_STATUS_OK);
    g_clear_pointer(&reply, g_bytes_unref);
    g_bytes_unref(body);
    g_object_unref(message);
    g_object_unref(session);
    g_free(url);
}

static void
take_down(struct platform_host *host, int64_t down_ms)
{
    host->up = false;
    host->down_since_ms = now_ms();
    host->up_at_ms = now_ms() + down_ms;
}

static bool
step_host(struct fleet_process *fleet, struct platform_host *host)
{
    const struct host_record *record =
        g_hash_table_lookup(fleet->records, host->name);
    bool reboot_requested = record != NULL && record->state == HOST_REBOOTING;
    bool was_up = host->up;
    if (reboot_requested && !host->reboot_requested) {
        host->n_reboots++;
        take_down(host, host->never_returns ? INT32_MAX : REBOOT_MS);
    }
    host->reboot_requested = reboot_requested;
    if (!host->up && now_ms() >= host->up_at_ms) {
        host->up = true;
    }
    return host->up != was_up;
}

static bool
is_disrupted(const struct fleet_process *fleet, const char *name,
             const struct host_record *record)
{
    const struct disruption_record *pool =
        g_hash_table_lookup(fleet->disruptions, record->pool);
    const struct disruption_entry *entry =
        pool == NULL ? NULL : g_hash_table_lookup(pool->entries, name);
    return record->state == HOST_DRAINING || record->state == HOST_REBOOTING ||
           (entry != NULL && entry->admission > record->admission);
}

static unsigned
count_available(const struct fleet_process *fleet, const char *pool)
{
    unsigned available = 0;
    for (unsigned i = 0; i < fleet->n_hosts; i++) {
        const struct platform_host *host = &fleet->hosts[i];
        const struct host_record *record =
            g_hash_table_lookup(fleet->records, host->name);
        bool visibly_down =
            !host->up && now_ms() - host->down_since_ms > FAILURE_VISIBLE_MS;
        available += record != NULL && g_str_equal(record->pool, pool) &&
                     !is_disrupted(fleet, host->name, record) && !visibly_down;
    }
    return available;
}

static void
check_record(struct fleet_process *fleet, const char *name,
             const struct host_record *new)
{
    const struct host_record *old = g_hash_table_lookup(fleet->records, name);
    if (old != NULL && !g_str_equal(old->pool, new->pool)) {
        fleet->moves++;
        /* A host with a new admission may have drained between two samples. */
        fleet->moves_without_drain +=
            old->admission == new->admission && old->state != HOST_DRAINING;
    }
}

static void
read_shard(struct fleet_process *fleet, const char *text)
{
    struct findings *findings = findings_create();
    struct host_shard *shard =
        host_shard_parse(text, strlen(text), "shard", findings);
    GHashTableIter iter;
    void *name = NULL;
    void *record = NULL;
    g_hash_table_iter_init(&iter, shard->hosts);
    while (g_hash_table_iter_next(&iter, &name, &record)) {
        check_record(fleet, name, record);
        g_hash_table_insert(fleet->records, g_strdup(name),
                            host_record_copy(record));
    }
    CU_ASSERT_EQUAL(findings_count(findings), 0);
    host_shard_destroy(shard);
    findings_destroy(findings);
}

static unsigned
count_entries(const struct fleet_process *fleet)
{
    unsigned entries = 0;
    GHashTableIter iter;
    void *record = NULL;
    g_hash_table_iter_init(&iter, fleet->disruptions);
    while (g_hash_table_iter_next(&iter, NULL, &record)) {
        const struct disruption_record *disruptions = record;
        entries += g_hash_table_size(disruptions->entries);
    }
    return entries;
}

/* The host records are read after the disruption records: a host released in
 * between counts as available, one that began to drain in between shows as
 * draining. */
static void
on_hosts(void *ctx, const struct store_result *result)
{
    struct fleet_process *fleet = ctx;
    fleet->read_pending = false;
    for (size_t i = 0; i < result->n_entries; i++) {
        read_shard(fleet, result->entries[i].value);
    }
    for (unsigned i = 0; i < fleet->n_pools; i++) {
        bool all_known = g_hash_table_size(fleet->records) == fleet->n_hosts;
        unsigned available = count_available(fleet, fleet->pools[i]);
        if (all_known && available < fleet->budgets[i] &&
            count_entries(fleet) > 0) {
            fleet->budget_violations++;
        }
    }
}

static void
on_disruptions(void *ctx, const struct store_result *result)
{
    struct fleet_process *fleet = ctx;
    if (!status_ok(&result->status) &&
        result->status.code != STATUS_NOT_FOUND) {
        fleet->read_pending = false;
        return;
    }
    struct findings *findings = findings_create();
    unsigned before = count_entries(fleet);
    for (size_t i = 0; i < result->n_entries; i++) {
        const struct store_entry *entry = &result->entries[i];
        struct disruption_record *record = disruption_record_parse(
            entry->value, entry->size_bytes, entry->key, findings);
        CU_ASSERT_PTR_NOT_NULL_FATAL(record);
        g_hash_table_insert(
            fleet->disruptions,
            g_strdup(entry->key + strlen(STORE_KEY_DISRUPTIONS)), record);
    }
    findings_destroy(findings);
    unsigned after = count_entries(fleet);
    fleet->admissions += after > before ? after - before : 0;
    store_get(fleet->store, STORE_KEY_HOSTS,
              (struct store_callback){.done = on_hosts, .ctx = fleet});
}

static gboolean
on_sample(void *data)
{
    struct fleet_process *fleet = data;
    bool changed = false;
    for (unsigned i = 0; i < fleet->n_hosts; i++) {
        changed |= step_host(fleet, &fleet->hosts[i]);
    }
    if (changed) {
        publish_host_list(fleet);
    }
    if (!fleet->read_pending) {
        fleet->read_pending = true;
        store_get(
            fleet->store, STORE_KEY_DISRUPTIONS,
            (struct store_callback){.done = on_disruptions, .ctx = fleet});
    }
    return G_SOURCE_CONTINUE;
}

static void
start_controller(struct fleet_process *fleet, unsigned i,
                 const char *fleet_settings)
{
    char *secret = g_build_filename(fleet->directory, "secret", NULL);
    char name[16];
    g_snprintf(name, sizeof(name), "c%u.json", i);
    char *file = g_build_filename(fleet->directory, name, NULL);
    char *text =
        g_strdup_printf(settings_text, i, i % N_DCS, fleet->store_process.url,
                        secret, fleet_settings);
    CU_ASSERT(g_file_set_contents(secret, "a secret of sufficient length", -1,
                                  NULL));
    CU_ASSERT(g_file_set_contents(file, text, -1, NULL));
    fleet->controllers[i] =
        g_subprocess_new(G_SUBPROCESS_FLAGS_STDERR_SILENCE, NULL,
                         getenv("EGRETFLEETD"), file, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(fleet->controllers[i]);
    g_free(secret);
    g_free(file);
    g_free(text);
}

static void
make_hosts(struct fleet_process *fleet, unsigned racks_per_dc)
{
    fleet->n_hosts = N_DCS * racks_per_dc * HOSTS_PER_RACK;
    fleet->hosts = g_new0(struct platform_host, fleet->n_hosts);
    for (unsigned i = 0; i < fleet->n_hosts; i++) {
        struct platform_host *host = &fleet->hosts[i];
        unsigned rack = i / HOSTS_PER_RACK;
        g_snprintf(host->name, sizeof(host->name), "w%04u", i);
        g_snprintf(host->rack, sizeof(host->rack), "r%u", rack % racks_per_dc);
        g_snprintf(host->dc, sizeof(host->dc), "d%u", rack / racks_per_dc);
        g_strlcpy(host->pool, fleet->pools[i % fleet->n_pools],
                  sizeof(host->pool));
        host->up = true;
    }
}

static void
free_record(void *record)
{
    host_record_destroy(record);
}

static void
free_disruptions(void *record)
{
    disruption_record_destroy(record);
}

void
fleet_process_start(struct fleet_process *fleet,
                    const struct fleet_process_options *options)
{
    *fleet = (struct fleet_process){
        .n_controllers = options->n_controllers,
        .n_pools = options->n_pools,
    };
    for (unsigned i = 0; i < options->n_pools; i++) {
        fleet->pools[i] = options->pools[i];
        fleet->budgets[i] = options->budgets[i];
    }
    store_process_start(&fleet->store_process);
    fleet->store = store_create(&(struct store_options){
        .url = fleet->store_process.url,
        .timeout_ms = 1000,
        .watch_wait_ms = 1000,
        .clock = ms_clock_system(),
    });
    fleet->directory = g_dir_make_tmp("fleet-XXXXXX", NULL);
    fleet->records =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_record);
    fleet->disruptions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                               free_disruptions);
    make_hosts(fleet, options->racks_per_dc);
    publish_host_list(fleet);
    fleet_process_configure(fleet, NULL);
    const char *settings = options->fleet_settings;
    for (unsigned i = 0; i < options->n_controllers; i++) {
        start_controller(fleet, i,
                         settings != NULL ? settings : short_timings);
    }
    fleet->sample_timer = g_timeout_add(SAMPLE_INTERVAL_MS, on_sample, fleet);
}

void
fleet_process_stop_sampling(struct fleet_process *fleet)
{
    g_clear_handle_id(&fleet->sample_timer, g_source_remove);
}

void
fleet_process_stop(struct fleet_process *fleet)
{
    fleet_process_stop_sampling(fleet);
    for (unsigned i = 0; i < fleet->n_controllers; i++) {
        g_subprocess_send_signal(fleet->controllers[i], SIGCONT);
        g_subprocess_send_signal(fleet->controllers[i], SIGTERM);
        g_subprocess_wait(fleet->controllers[i], NULL, NULL);
        CU_ASSERT(g_subprocess_get_successful(fleet->controllers[i]));
        g_object_unref(fleet->controllers[i]);
    }
    store_destroy(fleet->store);
    store_process_stop(&fleet->store_process);
    g_hash_table_destroy(fleet->records);
    g_hash_table_destroy(fleet->disruptions);
    g_free(fleet->hosts);
    GDir *directory = g_dir_open(fleet->directory, 0, NULL);
    const char *name = NULL;
    while ((name = g_dir_read_name(directory)) != NULL) {
        char *path = g_build_filename(fleet->directory, name, NULL);
        g_unlink(path);
        g_free(path);
    }
    g_dir_close(directory);
    g_rmdir(fleet->directory);
    g_free(fleet->directory);
}

static char *
config_text(const struct fleet_process *fleet, const char *dc_out)
{
    GString *text =
        g_string_new("{\"service_unit\": \"task\", \"data_centres\": [");
    for (unsigned i = 0; i < N_DCS; i++) {
        char name[8];
        g_snprintf(name, sizeof(name), "d%u", i);
        g_string_append_printf(
            text, "%s{\"name\": \"%s\", \"region\": \"r\", \"state\": \"%s\"}",
            i == 0 ? "" : ",", name,
            g_strcmp0(name, dc_out) == 0 ? "out" : "in");
    }
    g_string_append(text, "], \"pools\": [");
    for (unsigned i = 0; i < fleet->n_pools; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\": \"%s\", \"spare\": %s, \"min_available_hosts\": %u,"
            " \"min_hosts\": %u}",
            i == 0 ? "" : ",", fleet->pools[i],
            g_str_equal(fleet->pools[i], "spare") ? "true" : "false",
            fleet->budgets[i], fleet->budgets[i]);
    }
    g_string_append(text, "], \"queues\": [{\"name\": \"q\", \"pool\":"
                          " \"p0\", \"start_deadline_ms\": 1000,"
                          " \"max_run_ms\": 300}], \"teams\": []}");
    return g_string_free(text, FALSE);
}

static void
on_published(void *ctx, const struct config_publish_result *result)
{
    struct store_reply *reply = ctx;
    reply->code = result->status.code;
    reply->version = result->head_version;
    reply->done = true;
}

void
fleet_process_configure(struct fleet_process *fleet, const char *dc_out)
{
    char *text = config_text(fleet, dc_out);
    struct findings *findings = findings_create();
    JsonNode *root = json_read_text(text, -1, "config", findings);
    struct config *config = config_parse(root, "config", findings);
    findings_print(findings, stdout);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    struct store_reply head =
        store_call(fleet, STORE_KEY_CONFIG_HEAD, NULL, 0);
    struct config_publish_request request = {
        .config = config,
        .author = "test",
        .summary = "test",
    };
    struct config_head *base = NULL;
    if (head.texts->len > 0) {
        base =
            config_head_parse(g_ptr_array_index(head.texts, 0), -1, findings);
        request.base = base;
        request.base_version = head.version;
    }
    struct store_reply reply = {.code = STATUS_INTERNAL};
    config_publish(
        fleet->store, &request,
        (struct config_publish_callback){.done = on_published, .ctx = &reply});
    while (!reply.done) {
        g_main_context_iteration(NULL, TRUE);
    }
    CU_ASSERT_EQUAL(reply.code, STATUS_OK);
    g_clear_pointer(&base, config_head_destroy);
    g_ptr_array_unref(head.texts);
    config_destroy(config);
    json_node_unref(root);
    findings_destroy(findings);
    g_free(text);
}

static gboolean
set_flag(void *data)
{
    *(bool *)data = true;
    return G_SOURCE_REMOVE;
}

static void
run_loop_for_ms(int64_t ms)
{
    bool over = false;
    g_timeout_add((guint)ms, set_flag, &over);
    while (!over) {
        g_main_context_iteration(NULL, TRUE);
    }
}

bool
fleet_process_run(struct fleet_process *fleet, int64_t limit_ms,
                  bool (*done)(struct fleet_process *fleet))
{
    int64_t end_ms = now_ms() + limit_ms;
    while (now_ms() < end_ms) {
        run_loop_for_ms(SAMPLE_INTERVAL_MS);
        if (done != NULL && done(fleet)) {
            return true;
        }
    }
    return false;
}

void
fleet_process_start_wave(struct fleet_process *fleet, unsigned number)
{
    struct wave_record *wave = wave_record_create();
    wave->number = number;
    wave->started_s = g_get_real_time() / G_USEC_PER_SEC;
    size_t size_bytes = 0;
    char *text = wave_record_serialise(wave, &size_bytes);
    char *key = g_strdup_printf("%s%u", STORE_KEY_WAVES, number);
    struct store_reply reply =
        store_call(fleet, key, text, STORE_VERSION_ABSENT);
    CU_ASSERT_EQUAL(reply.code, STATUS_OK);
    g_ptr_array_unref(reply.texts);
    wave_record_destroy(wave);
    g_free(text);
    g_free(key);
}

struct wave_record *
fleet_process_wave(struct fleet_process *fleet, unsigned number)
{
    char *key = g_strdup_printf("%s%u", STORE_KEY_WAVES, number);
    struct store_reply reply = store_call(fleet, key, NULL, 0);
    struct findings *findings = findings_create();
    struct wave_record *wave = NULL;
    if (reply.texts->len > 0) {
        const char *text = g_ptr_array_index(reply.texts, 0);
        wave = wave_record_parse(text, strlen(text), key, findings);
    }
    findings_destroy(findings);
    g_ptr_array_unref(reply.texts);
    g_free(key);
    return wave;
}

void
fleet_process_set_faults(struct fleet_process *fleet, const char *json)
{
    store_process_faults(&fleet->store_process, json);
}

void
fleet_process_fail_rack(struct fleet_process *fleet, const char *dc,
                        const char *rack, int64_t down_ms)
{
    for (unsigned i = 0; i < fleet->n_hosts; i++) {
        struct platform_host *host = &fleet->hosts[i];
        if (g_str_equal(host->dc, dc) && g_str_equal(host->rack, rack)) {
            take_down(host, down_ms);
        }
    }
    publish_host_list(fleet);
}

unsigned
fleet_process_count(struct fleet_process *fleet, const char *pool, int state)
{
    unsigned count = 0;
    GHashTableIter iter;
    void *value = NULL;
    g_hash_table_iter_init(&iter, fleet->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct host_record *record = value;
        count += (pool == NULL || g_str_equal(record->pool, pool)) &&
                 (state < 0 || (int)record->state == state);
    }
    return count;
}
