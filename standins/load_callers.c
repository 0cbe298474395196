#include <string.h>

#include "task_spec.h"
#include "common/random.h"
#include "load.h"
#include "load_http.h"

enum {
    TICK_MS = 1,
    PERMILLE = 1000,
    LATE_START_WAIT_MS = 300,
};

/** struct load_call - a request that waits for its response */
struct load_call {
    struct load_request *request;
    bool closed_loop;
    int64_t sent_us;
};

static void
send_next(struct load_team *team, bool closed_loop);

int64_t
load_now_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

static bool
is_over(const struct load *load)
{
    return load->stopping ||
           load_now_ms() - load->start_ms >= load->duration_ms;
}

static bool
response_is_valid(const struct load_request *request, GBytes *response)
{
    struct task_spec spec;
    size_t size_bytes = strlen(request->body);
    task_spec_parse(&spec, request->body, size_bytes);
    GBytes *expected = task_spec_response(&spec, request->body, size_bytes);
    bool valid = g_bytes_equal(expected, response);
    g_bytes_unref(expected);
    task_spec_clear(&spec);
    return valid;
}

static enum load_outcome
outcome_by_name(const char *name)
{
    if (g_strcmp0(name, "done") == 0) {
        return LOAD_DONE;
    }
    if (g_strcmp0(name, "not-run") == 0) {
        return LOAD_NOT_RUN;
    }
    return g_strcmp0(name, "unknown") == 0 ? LOAD_UNKNOWN : LOAD_LOST;
}

static void
record_response(struct load_call *call,
                const struct load_http_response *response)
{
    struct load_request *request = call->request;
    request->end_ms = load_now_ms();
    request->latency_us = g_get_monotonic_time() - call->sent_us;
    if (response->error != NULL) {
        request->outcome = LOAD_LOST;
        request->reason = g_strdup(response->error);
        return;
    }
    SoupMessageHeaders *headers = response->headers;
    request->status = response->status;
    request->outcome = outcome_by_name(
        soup_message_headers_get_one(headers, "Egret-Outcome"));
    request->reason =
        g_strdup(soup_message_headers_get_one(headers, "Egret-Reason"));
    bool direct = request->team->load->direct;
    if (direct && request->status < SOUP_STATUS_BAD_REQUEST) {
        request->outcome = LOAD_DONE;
    }
    if (request->outcome == LOAD_DONE) {
        request->response_valid = request->status >= SOUP_STATUS_BAD_REQUEST ||
                                  response_is_valid(request, response->body);
    }
}

static gboolean
on_backoff_over(gpointer data)
{
    send_next(data, true);
    return G_SOURCE_REMOVE;
}

static void
on_response(void *ctx, const struct load_http_response *response)
{
    struct load_call *call = ctx;
    struct load_team *team = call->request->team;
    struct load *load = team->load;
    record_response(call, response);
    bool closed_loop = call->closed_loop;
    bool refused = call->request->outcome != LOAD_DONE;
    g_free(call);
    load->pending--;
    if (closed_loop && refused && team->backoff_ms > 0) {
        g_timeout_add((guint)team->backoff_ms, on_backoff_over, team);
    }
    else if (closed_loop) {
        send_next(team, true);
    }
    if (load->pending == 0 && is_over(load)) {
        g_main_loop_quit(load->loop);
    }
}

static const char *
pick_target(const struct load_team *team)
{
    struct load *load = team->load;
    guint n = g_strv_length(load->targets);
    if (team->target >= 0) {
        return load->targets[team->target % n];
    }
    return load->targets[load->next_target++ % n];
}

static struct load_request *
create_request(struct load_team *team)
{
    struct load *load = team->load;
    struct random random =
        random_seeded(load->seed * 1000003 + load->requests->len + 1);
    struct load_request *request = g_new0(struct load_request, 1);
    request->team = team;
    request->idempotent =
        random_below(&random, PERMILLE) < team->idempotent_permille;
    request->tag = g_strdup_printf("%s.%s.%u", team->name, load->run_id,
                                   load->requests->len);
    request->body = g_strdup_printf("tag=%s %s", request->tag, team->body);
    request->start_ms = load_now_ms();
    g_ptr_array_add(load->requests, request);
    return request;
}

static char *
format_headers(const struct load_request *request)
{
    GString *text = g_string_new(NULL);
    const struct load_team *team = request->team;
    if (team->load->direct) {
        g_string_append_printf(text, "Egret-Team: %s\r\n", team->name);
    }
    if (team->key != NULL) {
        g_string_append_printf(text, "Authorization: Bearer %s\r\n",
                               team->key);
    }
    if (team->send_ids) {
        g_string_append_printf(text,
                               "Egret-Request-Id: %s\r\n"
                               "Egret-First-Attempt: true\r\n",
                               request->tag);
    }
    if (request->idempotent) {
        g_string_append(text, "Egret-Idempotent: true\r\n");
    }
    return g_string_free(text, FALSE);
}

static char *
format_path(const struct load_team *team)
{
    if (team->load->direct) {
        return g_strdup_printf("/v1/tasks/load%s-%u", team->load->run_id,
                               team->load->requests->len);
    }
    const char *queue = team->queues[team->sent % g_strv_length(team->queues)];
    return g_strdup_printf("/v1/queues/%s/tasks", queue);
}

static void
send_next(struct load_team *team, bool closed_loop)
{
    struct load *load = team->load;
    if (is_over(load)) {
        return;
    }
    struct load_call *call = g_new0(struct load_call, 1);
    call->request = create_request(team);
    call->closed_loop = closed_loop;
    call->sent_us = g_get_monotonic_time();
    char *path = format_path(team);
    char *headers = format_headers(call->request);
    load->pending++;
    team->sent++;
    load_http_post(load->http,
                   &(struct load_http_request){
                       .target = pick_target(team),
                       .path = path,
                       .headers = headers,
                       .body = call->request->body,
                       .reuse_connection = call->request->idempotent,
                       .done = on_response,
                       .ctx = call,
                   });
    g_free(headers);
    g_free(path);
}

static gboolean
on_tick(gpointer data)
{
    struct load *load = data;
    if (is_over(load)) {
        if (load->pending == 0) {
            g_main_loop_quit(load->loop);
        }
        return G_SOURCE_CONTINUE;
    }
    int64_t now_ms = load_now_ms();
    double elapsed_s = (double)(now_ms - load->end_ms) / 1000.0;
    load->end_ms = now_ms;
    for (guint i = 0; i < load->teams->len; i++) {
        struct load_team *team = g_ptr_array_index(load->teams, i);
        team->due_requests += team->rate_per_s * elapsed_s;
        while (team->due_requests >= 1.0) {
            team->due_requests -= 1.0;
            send_next(team, false);
        }
    }
    return G_SOURCE_CONTINUE;
}

static gboolean
on_wait_over(gpointer data)
{
    g_main_loop_quit(data);
    return G_SOURCE_REMOVE;
}

void
load_run(struct load *load)
{
    load->loop = g_main_loop_new(NULL, FALSE);
    load->http = load_http_create(load->timeout_ms);
    load->start_ms = load_now_ms();
    load->end_ms = load->start_ms;
    for (guint i = 0; i < load->teams->len; i++) {
        struct load_team *team = g_ptr_array_index(load->teams, i);
        for (uint32_t k = 0; k < team->concurrency; k++) {
            send_next(team, true);
        }
    }
    guint tick = g_timeout_add(TICK_MS, on_tick, load);
    g_main_loop_run(load->loop);
    g_source_remove(tick);
    load->end_ms = load_now_ms();
    /* A task that runs although its request was refused may start late; wait,
     * so that the check sees it. */
    g_timeout_add(LATE_START_WAIT_MS, on_wait_over, load->loop);
    g_main_loop_run(load->loop);
}
