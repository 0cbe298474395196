#include "egretjobd/records.h"

#include <string.h>

#include "platform/decode.h"
#include "platform/json_text.h"

static void
add_text_member(GString *out, const char *member, const char *text)
{
    g_string_append_printf(out, "%s\"%s\":", out->len > 1 ? "," : "", member);
    json_text_add(out, text == NULL ? "" : text);
}

static void
add_int_member(GString *out, const char *member, int64_t value)
{
    g_string_append_printf(out, "%s\"%s\":%" G_GINT64_FORMAT,
                           out->len > 1 ? "," : "", member, value);
}

char *
record_job_encode(const struct job_envelope *envelope)
{
    GString *out = g_string_new("{");
    add_text_member(out, "queue", envelope->queue);
    add_text_member(out, "pool", envelope->pool);
    add_text_member(out, "team", envelope->team);
    add_int_member(out, "attempts", envelope->attempts);
    add_int_member(out, "accepted_unix_ms", envelope->accepted_unix_ms);
    char *body = g_strndup(envelope->body, envelope->body_bytes);
    add_text_member(out, "body", body);
    g_free(body);
    g_string_append_c(out, '}');
    return g_string_free(out, FALSE);
}

struct job *
record_job_decode(const char *id, const char *value, size_t bytes)
{
    cJSON *record = cJSON_ParseWithLength(value, bytes);
    const char *body = json_text_get(record, "body");
    const char *queue = json_text_get(record, "queue");
    struct job *job = NULL;
    if (body != NULL && queue != NULL && strlen(id) == JOB_ID_CHARS) {
        char *error = NULL;
        job = decode_job(body, strlen(body), &error);
        g_free(error);
    }
    if (job != NULL) {
        g_strlcpy(job->id, id, sizeof(job->id));
        job->queue = g_strdup(queue);
        job->pool = g_strdup(json_text_get(record, "pool"));
        job->team = g_strdup(json_text_get(record, "team"));
        job->attempts = (uint32_t)json_int_get(record, "attempts", 1);
        job->accepted_unix_ms = json_int_get(record, "accepted_unix_ms", 0);
    }
    cJSON_Delete(record);
    return job;
}

/* One character for each task of a step in one occurrence: 'd' if it is done,
 * else '.'. */
static void
encode_step_progress(GString *out, const struct job *job,
                     uint32_t progress_index)
{
    const struct step_progress *progress = &job->progress[progress_index];
    uint32_t n_tasks = job->steps[progress_index % job->n_steps].task_count;
    if (progress_index > 0) {
        g_string_append_c(out, ',');
    }
    g_string_append_c(out, '"');
    for (uint32_t t = 0; t < n_tasks; t++) {
        g_string_append_c(out, progress->tasks[t].done ? 'd' : '.');
    }
    g_string_append_c(out, '"');
}

/* Rows of step progress index, task, checkpoint and numbers of failed runs. */
static void
encode_tasks(GString *out, const struct job *job)
{
    uint32_t n_progress = job->n_occurrences * job->n_steps;
    bool first = true;
    for (uint32_t p = 0; p < n_progress; p++) {
        uint32_t n_tasks = job->steps[p % job->n_steps].task_count;
        for (uint32_t t = 0; t < n_tasks; t++) {
            const struct job_task *task = &job->progress[p].tasks[t];
            if (task->failures == 0 && task->saved == NULL) {
                continue;
            }
            g_string_append_printf(out, "%s[%u,%u,", first ? "" : ",", p, t);
            json_text_add(out, task->saved == NULL ? "" : task->saved);
            uint32_t n_failed = MIN(task->failures, JOB_FAILED_RUNS_MAX);
            for (uint32_t i = 0; i < n_failed; i++) {
                g_string_append_printf(out, ",%u", task->failed_runs[i]);
            }
            g_string_append_c(out, ']');
            first = false;
        }
    }
}

enum {
    ROW_SUSPECT = 1,
    ROW_SHARED = 2,
};

/* Rows of step progress index, task, counted crashes, those alone, whether the
 * task is a suspect, and where it starts alone or has started beside others.
 */
static void
encode_crashes(GString *out, const struct job *job)
{
    uint32_t n_progress = job->n_occurrences * job->n_steps;
    bool first = true;
    for (uint32_t p = 0; p < n_progress; p++) {
        uint32_t n_tasks = job->steps[p % job->n_steps].task_count;
        for (uint32_t t = 0; t < n_tasks; t++) {
            const struct job_task *task = &job->progress[p].tasks[t];
            const struct crash_record *crash = &task->crash;
            if (crash->crashes == 0 && !crash->suspect &&
                !task->crash_shared) {
                continue;
            }
            g_string_append_printf(out, "%s[%u,%u,%u,%u,%d,",
                                   first ? ",\"crashes\":[" : ",", p, t,
                                   crash->crashes, crash->alone,
                                   (crash->suspect ? ROW_SUSPECT : 0) +
                                       (task->crash_shared ? ROW_SHARED : 0));
            const char *backend = task->crash_backend;
            json_text_add(out, backend == NULL ? "" : backend);
            g_string_append_c(out, ']');
            first = false;
        }
    }
    if (!first) {
        g_string_append_c(out, ']');
    }
}

char *
record_progress_encode(const struct job *job)
{
    GString *out = g_string_new("{");
    add_text_member(out, "state", job_state_name(job->state));
    if (job->state == JOB_ACTIVE) {
        g_string_append(out, ",\"parts\":[");
        uint32_t n_progress = job->n_occurrences * job->n_steps;
        for (uint32_t p = 0; p < n_progress; p++) {
            encode_step_progress(out, job, p);
        }
        g_string_append(out, "],\"tasks\":[");
        encode_tasks(out, job);
        g_string_append_c(out, ']');
        encode_crashes(out, job);
        if (job->left_pool) {
            add_int_member(out, "left_pool", 1);
        }
    }
    g_string_append_c(out, '}');
    return g_string_free(out, FALSE);
}

static bool
state_of(const cJSON *record, enum job_state *state)
{
    const char *name = json_text_get(record, "state");
    for (int s = JOB_ACTIVE; name != NULL && s <= JOB_CANCELLED; s++) {
        if (strcmp(job_state_name((enum job_state)s), name) == 0) {
            *state = (enum job_state)s;
            return true;
        }
    }
    return false;
}

static void
apply_step_progress(struct job *job, uint32_t progress_index,
                    const char *task_marks)
{
    struct step_progress *progress = &job->progress[progress_index];
    uint32_t n_tasks = job->steps[progress_index % job->n_steps].task_count;
    for (uint32_t t = 0; t < n_tasks && task_marks[t] != '\0'; t++) {
        if (task_marks[t] == 'd') {
            progress->tasks[t].done = true;
            progress->done++;
            job->started = true;
        }
    }
}

static void
apply_task_record(struct job *job, const cJSON *row)
{
    const cJSON *p = cJSON_GetArrayItem(row, 0);
    const cJSON *t = cJSON_GetArrayItem(row, 1);
    const char *saved = cJSON_GetStringValue(cJSON_GetArrayItem(row, 2));
    if (!cJSON_IsNumber(p) || !cJSON_IsNumber(t) ||
        p->valueint >= (int)(job->n_occurrences * job->n_steps) ||
        t->valueint >=
            (int)job->steps[p->valueint % (int)job->n_steps].task_count) {
        return;
    }
    struct job_task *task = &job->progress[p->valueint].tasks[t->valueint];
    for (int i = 3; i < cJSON_GetArraySize(row); i++) {
        job_task_record_failure(
            task, (uint32_t)cJSON_GetArrayItem(row, i)->valueint);
    }
    if (saved != NULL && saved[0] != '\0') {
        task->saved = g_strdup(saved);
    }
}

static int64_t
row_number(const cJSON *row, int column)
{
    const cJSON *item = cJSON_GetArrayItem(row, column);
    return cJSON_IsNumber(item) ? item->valueint : -1;
}

static void
apply_crash_record(struct job *job, const cJSON *row)
{
    int64_t p = row_number(row, 0);
    int64_t t = row_number(row, 1);
    int64_t crashes = row_number(row, 2);
    if (p < 0 || t < 0 || crashes < 0 ||
        p >= (int64_t)job->n_occurrences * job->n_steps ||
        t >= (int64_t)job->steps[p % job->n_steps].task_count) {
        return;
    }
    struct job_task *task = &job->progress[p].tasks[t];
    int64_t marks = row_number(row, 4);
    /* It may have crashed the backend server that fell silent. */
    task->crash_shared =
        marks == ROW_SHARED || marks == ROW_SUSPECT + ROW_SHARED;
    task->crash = (struct crash_record){
        .suspect = marks == ROW_SUSPECT || task->crash_shared,
        .crashes = (uint32_t)crashes,
        .alone = (uint32_t)MAX(row_number(row, 3), 0),
    };
    const char *backend = cJSON_GetStringValue(cJSON_GetArrayItem(row, 5));
    if (backend != NULL && backend[0] != '\0') {
        task->crash_backend = g_strdup(backend);
    }
}

bool
record_progress_apply(struct job *job, const char *value, size_t bytes)
{
    cJSON *record = cJSON_ParseWithLength(value, bytes);
    bool known = state_of(record, &job->state);
    job->left_pool = json_int_get(record, "left_pool", 0) == 1;
    uint32_t n_progress = job->n_occurrences * job->n_steps;
    uint32_t index = 0;
    const cJSON *item;
    cJSON_ArrayForEach(item, cJSON_GetObjectItemCaseSensitive(record, "parts"))
    {
        if (index < n_progress && cJSON_IsString(item)) {
            apply_step_progress(job, index, item->valuestring);
        }
        index++;
    }
    cJSON_ArrayForEach(item, cJSON_GetObjectItemCaseSensitive(record, "tasks"))
    {
        apply_task_record(job, item);
    }
    cJSON_ArrayForEach(item,
                       cJSON_GetObjectItemCaseSensitive(record, "crashes"))
    {
        apply_crash_record(job, item);
    }
    cJSON_Delete(record);
    return known;
}

bool
record_progress_state(const char *value, size_t bytes, enum job_state *state)
{
    cJSON *record = cJSON_ParseWithLength(value, bytes);
    bool known = state_of(record, state);
    cJSON_Delete(record);
    return known;
}

char *
record_backend_encode(const struct backend_entry *entry)
{
    GString *out = g_string_new("{");
    add_text_member(out, "pool", entry->pool);
    add_text_member(out, "address", entry->address);
    add_text_member(out, "data_centre", entry->data_centre);
    add_text_member(out, "host", entry->host);
    add_int_member(out, "born_ms", entry->incarnation_start_ms);
    g_string_append_c(out, '}');
    return g_string_free(out, FALSE);
}

bool
record_backend_decode(const char *id, const char *value, size_t bytes,
                      struct backend_entry *entry)
{
    cJSON *record = cJSON_ParseWithLength(value, bytes);
    const char *pool = json_text_get(record, "pool");
    const char *address = json_text_get(record, "address");
    *entry = (struct backend_entry){0};
    bool valid = pool != NULL && address != NULL;
    if (valid) {
        entry->id = g_strdup(id);
        entry->pool = g_strdup(pool);
        entry->address = g_strdup(address);
        entry->data_centre = g_strdup(json_text_get(record, "data_centre"));
        /* Backend servers without a host must not pass for incarnations of
         * one host. */
        const char *host = json_text_get(record, "host");
        entry->host = host == NULL || host[0] == '\0' ? NULL : g_strdup(host);
        entry->incarnation_start_ms = json_int_get(record, "born_ms", 0);
    }
    cJSON_Delete(record);
    return valid;
}

char *
record_peer_encode(const char *address, double cores)
{
    char text[G_ASCII_DTOSTR_BUF_SIZE];
    g_ascii_formatd(text, sizeof(text), "%.3f", cores);
    return g_strconcat(address, " ", text, NULL);
}

bool
record_peer_decode(const char *value, char **address, double *cores)
{
    if (value == NULL || value[0] == '\0' || value[0] == ' ') {
        return false;
    }
    const char *space = strchr(value, ' ');
    *address = space == NULL ? g_strdup(value)
                             : g_strndup(value, (gsize)(space - value));
    *cores = space == NULL ? 0 : g_ascii_strtod(space + 1, NULL);
    return true;
}
