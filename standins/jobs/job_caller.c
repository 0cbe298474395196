#include "job_caller.h"

#include <stdlib.h>
#include <string.h>

#include "net/http_client.h"
#include "platform/json_text.h"

enum {
    CALL_TIMEOUT_MS = 3000,
    RETRY_MS = 200,
    POLL_MS = 100,
    ATTEMPTS_MAX = 40,
    LATE_REPEAT_MS = 1500,
    HEADER_SLOTS = 3,
};

struct job_caller {
    struct event_base *base;
    GPtrArray *clients;
    GHashTable *jobs;
    uint32_t next_id;
    uint32_t next_frontend;
    uint32_t run_id;
    uint32_t answered;
    GPtrArray *refused;
    struct http_client *admin;
};

/**
 * struct tracked_job - a job that has not ended
 * @cancel_ms: how long after its arrival it is cancelled; 0: never
 * @give_up: it is cancelled even if it isn't accepted by then
 * @gave_up: that cancel was acknowledged
 * @uncertain: an attempt got no answer, or one that leaves open whether the
 * job will run
 */
struct tracked_job {
    struct job_caller *caller;
    struct caller_queue *queue;
    struct event *timer;
    char *path;
    char *body;
    int64_t submitted_ms;
    int64_t cancel_ms;
    uint32_t attempts;
    bool give_up;
    bool gave_up;
    bool accepted;
    bool uncertain;
};

static int64_t
now_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

static void
tracked_job_free(void *data)
{
    struct tracked_job *job = data;
    event_free(job->timer);
    g_free(job->path);
    g_free(job->body);
    g_free(job);
}

static void
client_free(void *data)
{
    http_client_destroy(data);
}

struct job_caller *
job_caller_create(struct event_base *base, const char *const *frontends)
{
    struct job_caller *caller = g_new0(struct job_caller, 1);
    caller->base = base;
    caller->clients = g_ptr_array_new_with_free_func(client_free);
    caller->jobs = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                         tracked_job_free, NULL);
    caller->refused = g_ptr_array_new_with_free_func(g_free);
    caller->run_id = (uint32_t)g_get_real_time();
    for (; *frontends != NULL; frontends++) {
        g_ptr_array_add(caller->clients,
                        http_client_create(base, *frontends, CALL_TIMEOUT_MS));
    }
    return caller;
}

void
job_caller_destroy(struct job_caller *caller)
{
    if (caller == NULL) {
        return;
    }
    g_hash_table_unref(caller->jobs);
    g_ptr_array_unref(caller->clients);
    g_ptr_array_unref(caller->refused);
    http_client_destroy(caller->admin);
    g_free(caller);
}

static void
set_timer(struct tracked_job *job, int64_t delay_ms)
{
    struct timeval delay = {
        .tv_sec = delay_ms / 1000,
        .tv_usec = delay_ms % 1000 * 1000,
    };
    evtimer_add(job->timer, &delay);
}

static void
finish(struct tracked_job *job)
{
    g_hash_table_remove(job->caller->jobs, job);
}

static void
send_call(struct tracked_job *job, const char *method, const char *body,
          void (*done)(void *ctx, const struct http_reply *reply))
{
    struct job_caller *caller = job->caller;
    struct http_header headers[HEADER_SLOTS] = {
        {.name = "Host", .value = job->queue->host},
        {.name = job->queue->key == NULL ? NULL : "X-Credential",
         .value = job->queue->key},
        {0},
    };
    struct http_call call = {
        .method = method,
        .path = job->path,
        .headers = headers,
        .body = body,
        .body_bytes = body == NULL ? 0 : strlen(body),
        .done = done,
        .ctx = job,
    };
    guint frontend = caller->next_frontend++ % caller->clients->len;
    http_client_send(g_ptr_array_index(caller->clients, frontend), &call);
}

static void
count_completed(struct tracked_job *job)
{
    struct caller_queue *queue = job->queue;
    int64_t took_ms = now_ms() - job->submitted_ms;
    queue->completed++;
    if (took_ms <= queue->objective_ms) {
        queue->within_objective++;
    }
    g_array_append_val(queue->times_ms, took_ms);
}

static void
on_state(void *ctx, const struct http_reply *reply)
{
    struct tracked_job *job = ctx;
    cJSON *body = json_document_read(reply->body, reply->body_bytes, NULL);
    const char *state =
        reply->status == 200 ? json_text_get(body, "state") : NULL;
    bool ended = true;
    if (g_strcmp0(state, "completed") == 0) {
        count_completed(job);
    }
    else if (g_strcmp0(state, "failed") == 0) {
        job->queue->failed++;
    }
    else if (g_strcmp0(state, "cancelled") == 0) {
        job->queue->cancelled++;
    }
    else {
        ended = false;
    }
    cJSON_Delete(body);
    if (ended) {
        finish(job);
        return;
    }
    set_timer(job, POLL_MS);
}

static void
on_reported(void *ctx, const struct http_reply *reply)
{
    (void)ctx;
    (void)reply;
}

static void
report_cancel(const struct tracked_job *job)
{
    if (job->caller->admin == NULL) {
        return;
    }
    char *path = g_strconcat("/cancelled/", strrchr(job->path, '/') + 1, NULL);
    struct http_call call = {
        .method = "POST", .path = path, .done = on_reported};
    http_client_send(job->caller->admin, &call);
    g_free(path);
}

static void
on_late_repeat(void *ctx, const struct http_reply *reply)
{
    (void)reply;
    finish(ctx);
}

static void
on_gave_up(void *ctx, const struct http_reply *reply)
{
    struct tracked_job *job = ctx;
    if (reply->status != 200 && reply->status != 410) {
        set_timer(job, RETRY_MS);
        return;
    }
    report_cancel(job);
    job->gave_up = true;
    job->queue->given_up++;
    if (job->queue->given_up % 2 == 0) {
        finish(job);
        return;
    }
    set_timer(job, LATE_REPEAT_MS);
}

static void
on_cancelled(void *ctx, const struct http_reply *reply)
{
    struct tracked_job *job = ctx;
    if (reply->status == 200) {
        report_cancel(job);
    }
    if (reply->status == 200) {
        job->cancel_ms = 0;
    }
    set_timer(job, POLL_MS);
}

static void
on_submitted(void *ctx, const struct http_reply *reply)
{
    struct tracked_job *job = ctx;
    if (reply->status != 0) {
        job->caller->answered++;
    }
    if (reply->status == 200) {
        job->accepted = true;
        job->queue->accepted++;
        set_timer(job, POLL_MS);
        return;
    }
    job->uncertain =
        job->uncertain ||
        (reply->status != 503 && reply->status != 429 && !reply->never_sent);
    if (job->give_up) {
        set_timer(job, RETRY_MS);
        return;
    }
    if (reply->status == 400 || ++job->attempts >= ATTEMPTS_MAX) {
        job->queue->refused++;
        if (!job->uncertain) {
            g_ptr_array_add(job->caller->refused, g_strdup(job->path));
        }
        finish(job);
        return;
    }
    set_timer(job, RETRY_MS);
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    struct tracked_job *job = ctx;
    if (job->gave_up) {
        send_call(job, "POST", job->body, on_late_repeat);
    }
    else if (job->give_up && now_ms() - job->submitted_ms >= job->cancel_ms) {
        send_call(job, "DELETE", NULL, on_gave_up);
    }
    else if (!job->accepted) {
        send_call(job, "POST", job->body, on_submitted);
    }
    else if (job->cancel_ms > 0 &&
             now_ms() - job->submitted_ms >= job->cancel_ms) {
        send_call(job, "DELETE", NULL, on_cancelled);
    }
    else {
        send_call(job, "GET", NULL, on_state);
    }
}

static struct tracked_job *
track(struct job_caller *caller, struct caller_queue *queue, const char *body,
      int64_t cancel_ms)
{
    struct tracked_job *job = g_new0(struct tracked_job, 1);
    job->caller = caller;
    job->queue = queue;
    job->timer = evtimer_new(caller->base, on_timer, job);
    job->path = g_strdup_printf("%s%08x%08x", queue->prefix, caller->run_id,
                                ++caller->next_id);
    job->body = g_strdup(body);
    job->submitted_ms = now_ms();
    job->cancel_ms = cancel_ms;
    queue->submitted++;
    g_hash_table_add(caller->jobs, job);
    set_timer(job, 0);
    return job;
}

void
job_caller_submit_to_cancel(struct job_caller *caller,
                            struct caller_queue *queue, const char *body,
                            int64_t cancel_ms)
{
    track(caller, queue, body, cancel_ms);
}

void
job_caller_submit_to_give_up(struct job_caller *caller,
                             struct caller_queue *queue, const char *body,
                             int64_t give_up_ms)
{
    track(caller, queue, body, give_up_ms)->give_up = true;
}

void
job_caller_report_cancels(struct job_caller *caller, const char *address)
{
    caller->admin = http_client_create(caller->base, address, CALL_TIMEOUT_MS);
}

void
job_caller_submit(struct job_caller *caller, struct caller_queue *queue,
                  const char *body)
{
    job_caller_submit_to_cancel(caller, queue, body, 0);
}

uint32_t
job_caller_pending(const struct job_caller *caller)
{
    return g_hash_table_size(caller->jobs);
}

uint32_t
job_caller_answered(const struct job_caller *caller)
{
    return caller->answered;
}

const GPtrArray *
job_caller_refused(const struct job_caller *caller)
{
    return caller->refused;
}

void
caller_queue_init(struct caller_queue *queue)
{
    queue->times_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

void
caller_queue_clear(struct caller_queue *queue)
{
    g_array_unref(queue->times_ms);
}

static int
compare_times(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return x < y ? -1 : x > y;
}

int64_t
caller_queue_quantile_ms(const struct caller_queue *queue, double quantile)
{
    guint n_times = queue->times_ms->len;
    if (n_times == 0) {
        return 0;
    }
    g_array_sort(queue->times_ms, compare_times);
    guint index = MIN((guint)(quantile * n_times), n_times - 1);
    return g_array_index(queue->times_ms, int64_t, index);
}

struct answer {
    struct event_base *base;
    int status;
    char *body;
    bool done;
};

static void
on_answer(void *ctx, const struct http_reply *reply)
{
    struct answer *answer = ctx;
    answer->status = reply->status;
    answer->body = g_strndup(reply->body, reply->body_bytes);
    answer->done = true;
    event_base_loopbreak(answer->base);
}

int
http_call_sync(struct event_base *base, const char *address,
               const char *method, const char *path, const char *key,
               const char *text, char **body)
{
    struct answer answer = {.base = base};
    struct http_client *client =
        http_client_create(base, address, CALL_TIMEOUT_MS);
    struct http_header headers[HEADER_SLOTS] = {
        {.name = "Host", .value = "jobs.example"},
        {.name = key == NULL ? NULL : "X-Credential", .value = key},
        {0},
    };
    struct http_call call = {
        .method = method,
        .path = path,
        .headers = headers,
        .body = text,
        .body_bytes = text == NULL ? 0 : strlen(text),
        .done = on_answer,
        .ctx = &answer,
    };
    http_client_send(client, &call);
    while (!answer.done) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    http_client_destroy(client);
    event_base_loop(base, EVLOOP_NONBLOCK);
    if (body != NULL) {
        *body = answer.body;
    }
    else {
        g_free(answer.body);
    }
    return answer.status;
}
