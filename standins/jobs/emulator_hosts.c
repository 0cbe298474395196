/* Backend servers, the interface for hosts, and placement advice. */
#include "emulator.h"

#include <stdio.h>
#include <string.h>

#include "platform/json_text.h"

enum {
    HEARTBEAT_MS = 500,
    STOP_MS = 200,
    /* After that time an acknowledged cancel has to bind. */
    CANCEL_MS = 3000,
    RUN_MS_DEFAULT = 300,
    UNAVAILABLE_MS = 1000,
    /* After a restart that nobody notices. Longer than a lease of 3 s, and
     * than the longest one. */
    ENTRY_LATE_MS = 9000,
    CUT_OFF_MS = 8000,
    /* As the settings of the entry hosts say. */
    LEASE_MAX_MS = 6000,
};

/** struct waiting_report - a report request that waits for a completion */
struct waiting_report {
    struct http_exchange *exchange;
    int64_t until_ms;
};

static void
put_entry(struct emulated_host *host, int64_t now_ms)
{
    struct model_backend *backend = &host->backend;
    GString *text = g_string_new(NULL);
    g_string_append_printf(
        text,
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
        "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
        "\"cold_remaining_ms\":0,\"machine\":\"%s\","
        "\"room\":{\"cpu\":16000,\"mem_mb\":65536,\"gpu\":0},"
        "\"labels\":[\"a\",\"r-%d\"],\"born\":%" G_GINT64_FORMAT
        ",\"clock_ms\":%" G_GINT64_FORMAT ",\"seq\":%" G_GINT64_FORMAT "}",
        host->pool, host->address, host->data_centre, host->name,
        host->index / 4, host->incarnation_start_ms,
        model_backend_clock(backend, now_ms), ++host->seq);
    char *value = g_base64_encode((const guchar *)text->str, text->len);
    char *key = g_strconcat("servers/", backend->id, NULL);
    struct kv_model *kv = &host->emulator->kv;
    kv_model_next_revision(kv);
    kv_model_put(kv, key, value, 0);
    g_free(key);
    g_free(value);
    g_string_free(text, TRUE);
}

static void
delete_entry(struct emulated_host *host)
{
    char *key = g_strconcat("servers/", host->backend.id, NULL);
    kv_model_next_revision(&host->emulator->kv);
    kv_model_delete(&host->emulator->kv, key);
    g_free(key);
}

/* Replaces the host's backend server by a new one without runs. */
static void
start_incarnation(struct emulated_host *host)
{
    delete_entry(host);
    model_backend_clear(&host->backend);
    model_backend_init(&host->backend, host->index, 100,
                       1000 + 100 * host->index);
    g_snprintf(host->backend.id, sizeof(host->backend.id), "i-%d-%u",
               host->index, ++host->incarnation);
    host->incarnation_start_ms = g_get_real_time() / 1000;
    host->entry_due_ms = 0;
    host->cut_off_until_ms = 0;
    host->seq = 0;
}

void
emulator_restart_host(struct emulated_host *host)
{
    start_incarnation(host);
    host->unavailable_until_ms = emulator_now_ms() + UNAVAILABLE_MS;
}

/* Drops calls that came by connections which are about to be closed. */
static void
drop_calls(struct emulated_host *host)
{
    GPtrArray *withheld = host->emulator->withheld;
    for (guint i = host->waiting_reports->len; i > 0; i--) {
        struct waiting_report *waiting_report =
            g_ptr_array_remove_index_fast(host->waiting_reports, i - 1);
        g_free(waiting_report->exchange);
        g_free(waiting_report);
    }
    for (guint i = withheld->len; i > 0; i--) {
        struct http_exchange *exchange = g_ptr_array_index(withheld, i - 1);
        if (exchange->server == host->server) {
            g_free(exchange);
            g_ptr_array_remove_index_fast(withheld, i - 1);
        }
    }
}

void
emulator_restart_unseen(struct emulated_host *host)
{
    int64_t now_ms = emulator_now_ms();
    drop_calls(host);
    http_server_destroy(host->server);
    emulator_listen(host);
    model_backend_restart(&host->backend, now_ms);
    host->backend.lease_max_ms = LEASE_MAX_MS;
    host->incarnation_start_ms = g_get_real_time() / 1000;
    host->entry_due_ms = now_ms + ENTRY_LATE_MS;
    host->cut_off_until_ms = 0;
}

static bool
is_unreachable(const struct emulated_host *host)
{
    return host->unreachable || emulator_now_ms() < host->cut_off_until_ms;
}

/* Run time given in the job's spec as "ms=N"; "forever": until stopped. */
static int64_t
run_time_ms(const char *spec)
{
    const char *given = spec == NULL ? NULL : strstr(spec, "ms=");
    if (spec != NULL && strstr(spec, "forever") != NULL) {
        return INT32_MAX;
    }
    return given == NULL ? (int64_t)RUN_MS_DEFAULT
                         : g_ascii_strtoll(given + 3, NULL, 10);
}

static void
violation(struct emulator *emulator, const char *what, const char *task)
{
    emulator->violations++;
    fprintf(stderr, "violation: %s: %s\n", what, task);
}

static bool
violates(const struct emulator *emulator, const char *invariant)
{
    return g_strcmp0(emulator->violated_invariant, invariant) == 0;
}

/* Sets up the state that a violation of the invariant would leave. */
static void
violate_invariant(struct emulated_host *host, const char *task)
{
    struct emulator *emulator = host->emulator;
    if (violates(emulator, "one-run")) {
        struct emulated_host *other =
            &emulator->hosts[(host->index + 1) % emulator->n_hosts];
        struct model_task_run *run = g_new0(struct model_task_run, 1);
        run->task = g_strdup(task);
        run->ends_ms = emulator_now_ms();
        g_ptr_array_add(other->backend.runs, run);
    }
    if (violates(emulator, "cancelled")) {
        int64_t cancelled_ms = emulator_now_ms() - 2 * CANCEL_MS;
        g_hash_table_insert(emulator->cancelled_ms, g_strndup(task, 16),
                            g_memdup2(&cancelled_ms, sizeof(cancelled_ms)));
    }
    if (violates(emulator, "once-done")) {
        g_hash_table_add(emulator->done_acked, g_strdup(task));
    }
}

/* Record of the task's job, and the job as its caller sent it; NULL if there
 * is none. cJSON_Delete() */
static cJSON *
read_record(struct emulator *emulator, const char *task, cJSON **body)
{
    char *key = g_strdup_printf("eg/job/%.16s", task);
    const struct kv_row *row = kv_model_get(&emulator->kv, key);
    g_free(key);
    *body = NULL;
    if (row == NULL) {
        return NULL;
    }
    gsize bytes = 0;
    char *text = (char *)g_base64_decode(row->value, &bytes);
    cJSON *record = json_document_read(text, bytes, NULL);
    g_free(text);
    const char *job = json_text_get(record, "body");
    *body = job == NULL ? NULL : json_document_read(job, strlen(job), NULL);
    return record;
}

/* The task's step in the job as its caller sent it, or NULL. */
static const cJSON *
step_of(const cJSON *body, const char *task)
{
    int step = 0;
    sscanf(task, "%*[^.].%*d.%d", &step);
    return cJSON_GetArrayItem(cJSON_GetObjectItemCaseSensitive(body, "steps"),
                              step);
}

/* Whether the task runs until its job is cancelled, so that it has to start
 * again however it ends. */
static bool
is_service(struct emulator *emulator, const char *task)
{
    cJSON *body = NULL;
    cJSON *record = read_record(emulator, task, &body);
    bool service = json_bool_get(step_of(body, task), "long_running");
    cJSON_Delete(body);
    cJSON_Delete(record);
    return service;
}

/* Account of the task's job and what the task takes, from the job's record;
 * g_free(). */
static char *
account_of(struct emulator *emulator, const char *task, int64_t *need_milli)
{
    cJSON *body = NULL;
    cJSON *record = read_record(emulator, task, &body);
    *need_milli = json_int_get(step_of(body, task), "cpu", 0);
    char *account = g_strdup(json_text_get(record, "team"));
    cJSON_Delete(body);
    cJSON_Delete(record);
    return account == NULL ? g_strdup("") : account;
}

/* A start tells the spec as the caller sent it. */
static void
check_spec(struct emulator *emulator, const char *task, const char *told)
{
    cJSON *body = NULL;
    cJSON *record = read_record(emulator, task, &body);
    const char *sent = json_text_get(body, "spec");
    if ((sent != NULL && g_strcmp0(sent, told) != 0) ||
        violates(emulator, "spec")) {
        violation(emulator, "a start with another spec", task);
    }
    cJSON_Delete(body);
    cJSON_Delete(record);
}

/* What its client account runs everywhere, reachable or not, may exceed the
 * maximum by a tenth and one task. */
static void
check_maximum(struct emulator *emulator, const char *task)
{
    int64_t need_milli = 0;
    char *account = account_of(emulator, task, &need_milli);
    int64_t most_milli = emulator->maximum_milli * 11 / 10 + need_milli;
    int64_t running_milli = 0;
    for (int i = 0; account[0] != '\0' && i < emulator->n_hosts; i++) {
        const GPtrArray *runs = emulator->hosts[i].backend.runs;
        for (guint r = 0; r < runs->len; r++) {
            const struct model_task_run *run = g_ptr_array_index(runs, r);
            char *other = account_of(emulator, run->task, &need_milli);
            running_milli += strcmp(other, account) == 0 ? need_milli : 0;
            g_free(other);
        }
    }
    g_free(account);
    if (running_milli > most_milli || violates(emulator, "maximum")) {
        violation(emulator, "a client account above its maximum", task);
    }
}

static void
check_cancelled(struct emulator *emulator, const char *task)
{
    char *id = g_strndup(task, 16);
    const int64_t *cancelled_ms =
        g_hash_table_lookup(emulator->cancelled_ms, id);
    g_free(id);
    if (cancelled_ms != NULL &&
        emulator_now_ms() - *cancelled_ms > CANCEL_MS) {
        violation(emulator, "a start after its job was cancelled", task);
    }
}

static void
check_start(struct emulated_host *host, const char *task)
{
    struct emulator *emulator = host->emulator;
    emulator->checks++;
    for (int i = 0; i < emulator->n_hosts; i++) {
        const struct emulated_host *other = &emulator->hosts[i];
        for (guint r = 0; r < other->backend.runs->len; r++) {
            const struct model_task_run *run =
                g_ptr_array_index(other->backend.runs, r);
            if (other != host && strcmp(run->task, task) == 0) {
                violation(emulator, "two runs at the same time", task);
            }
        }
    }
    if (g_hash_table_contains(emulator->done_acked, task)) {
        violation(emulator, "a start after its end was acknowledged", task);
    }
    char *key = g_strdup_printf("eg/job/%.16s", task);
    if (kv_model_get(&emulator->kv, key) == NULL ||
        violates(emulator, "stored")) {
        violation(emulator, "a start without a stored job", task);
    }
    g_free(key);
    check_cancelled(emulator, task);
    if (emulator->maximum_milli > 0) {
        check_maximum(emulator, task);
    }
}

/* Whether the policy allows @step on this backend server; it allows half of
 * them. */
static bool
advised(const char *step, const char *id)
{
    return (g_str_hash(step) + g_str_hash(id)) % 2 == 0;
}

/* A ticket is valid for one step on one incarnation of a backend server. */
static char *
make_ticket(const char *step, const char *id)
{
    return g_strdup_printf("%s@%s", step, id);
}

/* Starts of jobs whose spec contains "advised" need a ticket. */
static bool
ticket_missing(const struct emulated_host *host, const cJSON *body)
{
    if (strstr(json_text_get(body, "spec"), "advised") == NULL) {
        return false;
    }
    char *step = g_strdup(json_text_get(body, "task"));
    *strrchr(step, '.') = '\0';
    char *ticket = make_ticket(step, host->backend.id);
    bool missing = !advised(step, host->backend.id) ||
                   g_strcmp0(json_text_get(body, "ticket"), ticket) != 0;
    g_free(ticket);
    g_free(step);
    return missing;
}

static void
serve_advice(struct http_exchange *exchange, const cJSON *body)
{
    const char *step = json_text_get(body, "step");
    GString *out = g_string_new("{\"good\":[");
    const cJSON *worker;
    bool first = true;
    cJSON_ArrayForEach(worker,
                       cJSON_GetObjectItemCaseSensitive(body, "workers"))
    {
        const char *id = cJSON_GetStringValue(worker);
        if (!advised(step, id)) {
            continue;
        }
        char *ticket = make_ticket(step, id);
        g_string_append_printf(out, "%s[\"%s\",\"%s\"]", first ? "" : ",", id,
                               ticket);
        g_free(ticket);
        first = false;
    }
    g_string_append(out, "],\"valid_ms\":3000}");
    http_exchange_reply(exchange, 200, out->str);
    g_string_free(out, TRUE);
}

static void
serve_start(struct emulated_host *host, struct http_exchange *exchange,
            const cJSON *body, int64_t now_ms)
{
    static const char *const reasons[] = {
        [START_REFUSED] = "late",
        [START_STALE_RUN_NUMBER] = "old",
        [START_FENCED] = "fence",
    };
    const char *task = json_text_get(body, "task");
    bool started = false;
    if (ticket_missing(host, body)) {
        host->emulator->tickets_missing++;
        http_exchange_reply(exchange, 409, "{\"reason\":\"ticket\"}");
        return;
    }
    enum start_answer answer = model_backend_start(
        &host->backend, task, (uint32_t)json_int_get(body, "run", 0),
        json_int_get(body, "until_ms", 0),
        json_int_get(body, "fencing_token", 0),
        run_time_ms(json_text_get(body, "spec")),
        strstr(json_text_get(body, "spec"), "fail") != NULL, now_ms, &started);
    if (started) {
        violate_invariant(host, task);
        check_start(host, task);
        check_spec(host->emulator, task, json_text_get(body, "spec"));
        if (host->entry_due_ms != 0 && host->cut_off_until_ms == 0) {
            host->cut_off_until_ms = now_ms + CUT_OFF_MS;
        }
    }
    char text[96];
    int64_t clock_ms = model_backend_clock(&host->backend, now_ms);
    if (answer == START_DONE) {
        snprintf(text, sizeof(text), "{\"clock_ms\":%" G_GINT64_FORMAT "}",
                 clock_ms);
        http_exchange_reply(exchange, 200, text);
        return;
    }
    snprintf(text, sizeof(text),
             "{\"clock_ms\":%" G_GINT64_FORMAT ",\"reason\":\"%s\"}", clock_ms,
             reasons[answer]);
    http_exchange_reply(exchange, 409, text);
}

static void
serve_stop(struct emulated_host *host, struct http_exchange *exchange,
           const cJSON *body, int64_t now_ms)
{
    bool stopped = model_backend_stop(
        &host->backend, json_text_get(body, "task"),
        (uint32_t)json_int_get(body, "run", 0),
        json_int_get(body, "fencing_token", 0), STOP_MS, now_ms);
    http_exchange_reply(exchange, stopped ? 200 : 409,
                        stopped ? "{}" : "{\"reason\":\"fence\"}");
}

static const char *
reason_name(enum completion_reason reason)
{
    static const char *const names[] = {
        [END_DONE] = "done",       [END_FAILED] = "failed",
        [END_STOPPED] = "stopped", [END_LEASE_EXPIRED] = "lapsed",
        [END_BROKEN] = "broken",   [END_GANG_INCOMPLETE] = "alone",
    };
    return names[reason];
}

static void
answer_report(struct emulated_host *host, struct http_exchange *exchange,
              int64_t now_ms)
{
    const struct model_backend *backend = &host->backend;
    GString *out = g_string_new(NULL);
    g_string_append_printf(out,
                           "{\"born\":%" G_GINT64_FORMAT
                           ",\"clock_ms\":%" G_GINT64_FORMAT ",\"running\":[",
                           host->incarnation_start_ms,
                           model_backend_clock(backend, now_ms));
    bool first = true;
    for (guint i = 0; i < backend->runs->len; i++) {
        const struct model_task_run *run = g_ptr_array_index(backend->runs, i);
        if (run->stops_ms != 0) {
            continue;
        }
        /* Service tasks are ready; the progress of others changes with time.
         */
        int64_t left_ms = run->ends_ms - now_ms;
        int percent = left_ms > INT32_MAX / 2 ? 100 : (int)(now_ms % 97);
        g_string_append_printf(out, "%s[\"%s\",%u,\"\",%d,0]",
                               first ? "" : ",", run->task, run->number,
                               percent);
        first = false;
    }
    g_string_append(out, "],\"ended\":[");
    for (guint i = 0; i < backend->completions->len; i++) {
        const struct model_completion *completion =
            g_ptr_array_index(backend->completions, i);
        g_string_append_printf(
            out, "%s[%" G_GINT64_FORMAT ",\"%s\",%u,\"%s\",\"\"]",
            i == 0 ? "" : ",", completion->number, completion->task,
            completion->run, reason_name(completion->reason));
    }
    g_string_append(out, "]}");
    http_exchange_reply(exchange, 200, out->str);
    g_string_free(out, TRUE);
}

/* Records tasks whose completion as done is acknowledged: they must not start
 * again. */
static void
record_acked(struct emulated_host *host, int64_t acked_completion)
{
    for (guint i = 0; i < host->backend.completions->len; i++) {
        const struct model_completion *completion =
            g_ptr_array_index(host->backend.completions, i);
        if (completion->number <= acked_completion &&
            completion->reason == END_DONE && !completion->lease_expired &&
            !is_service(host->emulator, completion->task)) {
            g_hash_table_add(host->emulator->done_acked,
                             g_strdup(completion->task));
        }
    }
}

static void
serve_report(struct emulated_host *host, struct http_exchange *exchange,
             const cJSON *body, int64_t now_ms)
{
    int64_t token = json_int_get(body, "fencing_token", 0);
    int64_t acked_completion = json_int_get(body, "seen_upto", 0);
    if (token >= host->backend.token) {
        record_acked(host, acked_completion);
    }
    if (!model_backend_renew(&host->backend, json_int_get(body, "until_ms", 0),
                             acked_completion, token, now_ms)) {
        http_exchange_reply(exchange, 409, "{\"reason\":\"fence\"}");
        return;
    }
    int64_t wait_ms = json_int_get(body, "wait_ms", 0);
    if (wait_ms == 0 || host->backend.completions->len > 0) {
        answer_report(host, exchange, now_ms);
        return;
    }
    struct waiting_report *waiting_report = g_new0(struct waiting_report, 1);
    waiting_report->exchange = exchange;
    waiting_report->until_ms = now_ms + wait_ms;
    g_ptr_array_add(host->waiting_reports, waiting_report);
}

void
emulator_backend_request(void *ctx, struct http_exchange *exchange)
{
    struct emulated_host *host = ctx;
    int64_t now_ms = emulator_now_ms();
    const char *path = http_exchange_path(exchange);
    const char *expected = http_exchange_header(exchange, "X-Expect-Instance");
    if (is_unreachable(host) || host->unavailable_until_ms != 0) {
        g_ptr_array_add(host->emulator->withheld, exchange);
        return;
    }
    if (expected != NULL && strcmp(expected, host->backend.id) != 0) {
        http_exchange_reply(exchange, 421, "{}");
        return;
    }
    model_backend_advance(&host->backend, now_ms);
    size_t bytes = 0;
    const char *text = http_exchange_body(exchange, &bytes);
    cJSON *body = json_document_read(text, bytes, NULL);
    if (strcmp(path, "/v1/run-start") == 0) {
        serve_start(host, exchange, body, now_ms);
    }
    else if (strcmp(path, "/v1/run-stop") == 0) {
        serve_stop(host, exchange, body, now_ms);
    }
    else if (strcmp(path, "/v1/hold") == 0) {
        serve_report(host, exchange, body, now_ms);
    }
    else {
        http_exchange_reply(exchange, 404, "{}");
    }
    cJSON_Delete(body);
}

static void
serve_host_list(struct emulator *emulator, struct http_exchange *exchange)
{
    GString *out = g_string_new("{\"machines\":[");
    for (int i = 0; i < emulator->n_hosts; i++) {
        const struct emulated_host *host = &emulator->hosts[i];
        g_string_append_printf(
            out,
            "%s{\"machine\":\"%s\",\"pool\":\"%s\",\"state\":\"%s\","
            "\"zone\":\"%s\",\"id\":\"%s\"}",
            i == 0 ? "" : ",", host->name, host->pool,
            host->unavailable_until_ms == 0 ? "up" : "moving",
            host->data_centre, host->backend.id);
    }
    g_string_append(out, "],\"next_token\":null}");
    http_exchange_reply(exchange, 200, out->str);
    g_string_free(out, TRUE);
}

static struct emulated_host *
find_host(struct emulator *emulator, const char *name)
{
    for (int i = 0; i < emulator->n_hosts; i++) {
        if (g_strcmp0(emulator->hosts[i].name, name) == 0) {
            return &emulator->hosts[i];
        }
    }
    return NULL;
}

void
emulator_hosts_request(void *ctx, struct http_exchange *exchange)
{
    struct emulator *emulator = ctx;
    const char *path = http_exchange_path(exchange);
    if (g_str_has_prefix(path, "/v1/machines")) {
        serve_host_list(emulator, exchange);
        return;
    }
    size_t bytes = 0;
    const char *text = http_exchange_body(exchange, &bytes);
    cJSON *body = json_document_read(text, bytes, NULL);
    if (strcmp(path, "/v1/advise") == 0) {
        serve_advice(exchange, body);
        cJSON_Delete(body);
        return;
    }
    struct emulated_host *host =
        find_host(emulator, json_text_get(body, "machine"));
    const char *pool = json_text_get(body, "pool");
    if (host == NULL) {
        http_exchange_reply(exchange, 400, "{}");
    }
    else if (host->unavailable_until_ms != 0) {
        http_exchange_reply(exchange, 409, "{\"reason\":\"busy\"}");
    }
    else {
        if (pool != NULL) {
            g_free(host->pool);
            host->pool = g_strdup(pool);
        }
        emulator->moves++;
        emulator_restart_host(host);
        http_exchange_reply(exchange, 200, "{}");
    }
    cJSON_Delete(body);
}

static void
answer_waiting_reports(struct emulated_host *host, int64_t now_ms)
{
    bool ended = host->backend.completions->len > 0;
    for (guint i = host->waiting_reports->len; i > 0; i--) {
        struct waiting_report *waiting_report =
            g_ptr_array_index(host->waiting_reports, i - 1);
        if (!ended && now_ms < waiting_report->until_ms) {
            continue;
        }
        g_ptr_array_remove_index_fast(host->waiting_reports, i - 1);
        answer_report(host, waiting_report->exchange, now_ms);
        g_free(waiting_report);
    }
}

void
emulator_hosts_tick(struct emulator *emulator, int64_t now_ms)
{
    for (int i = 0; i < emulator->n_hosts; i++) {
        struct emulated_host *host = &emulator->hosts[i];
        if (host->unavailable_until_ms != 0 &&
            now_ms >= host->unavailable_until_ms) {
            host->unavailable_until_ms = 0;
            host->next_heartbeat_ms = 0;
        }
        model_backend_advance(&host->backend, now_ms);
        if (host->unavailable_until_ms != 0 || is_unreachable(host)) {
            continue;
        }
        if (now_ms >= MAX(host->next_heartbeat_ms, host->entry_due_ms)) {
            host->next_heartbeat_ms = now_ms + HEARTBEAT_MS;
            put_entry(host, now_ms);
        }
        answer_waiting_reports(host, now_ms);
    }
}
