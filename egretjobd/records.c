#include "egretjobd/records.h"

#include <string.h>

#include "common/text.h"
#include "platform/decode.h"
#include "platform/json_text.h"

enum {
    /* The fields of a progress record beside its occurrences. */
    RECORD_FIXED_BYTES = 200,
    /* The number of an open occurrence, and the range of finished ones before
     * it. */
    RECORD_OCCURRENCE_BYTES = 40,
    /* Quotes and a comma. */
    RECORD_STEP_BYTES = 3,
};

/**
 * enum record_detail - what a progress record has of the tasks that are not
 * done; each has what those before it have
 * @RECORD_DONE: nothing
 * @RECORD_FAILURES: numbers of their failed runs
 * @RECORD_CRASHES: what crashes of backend servers say about them
 * @RECORD_CHECKPOINTS: their checkpoints
 */
enum record_detail {
    RECORD_DONE,
    RECORD_FAILURES,
    RECORD_CRASHES,
    RECORD_CHECKPOINTS,
};

static void
add_text_member(GString *out, const char *member, const char *text)
{
    g_string_append_printf(out, "%s\"%s\":", out->len > 1 ? "," : "", member);
    text_add_json(out, text == NULL ? "" : text);
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

char *
record_tombstone_encode(const char *queue, const char *pool, const char *team,
                        int64_t unix_ms)
{
    GString *out = g_string_new("{");
    add_text_member(out, "queue", queue);
    add_text_member(out, "pool", pool);
    add_text_member(out, "team", team);
    add_int_member(out, "accepted_unix_ms", unix_ms);
    add_int_member(out, "tombstone", 1);
    g_string_append_c(out, '}');
    return g_string_free(out, FALSE);
}

static bool
is_tombstone(const cJSON *record)
{
    return json_int_get(record, "tombstone", 0) == 1;
}

bool
record_is_tombstone(const char *value, size_t bytes)
{
    cJSON *record = json_stored_read(value, bytes, NULL);
    bool tombstone = is_tombstone(record);
    cJSON_Delete(record);
    return tombstone;
}

static struct job *
tombstone_job(void)
{
    struct job *job = job_create(1);
    job->state = JOB_CANCELLED;
    job->tombstone = true;
    return job;
}

/* Empty if it is missing. */
static char *
dup_text(const cJSON *record, const char *member)
{
    const char *text = json_text_get(record, member);
    return g_strdup(text == NULL ? "" : text);
}

struct job *
record_job_decode(const char *id, const char *value, size_t bytes)
{
    cJSON *record = json_stored_read(value, bytes, NULL);
    const char *body = json_text_get(record, "body");
    const char *queue = json_text_get(record, "queue");
    struct job *job = NULL;
    if (is_tombstone(record) && queue != NULL && strlen(id) == JOB_ID_CHARS) {
        job = tombstone_job();
    }
    else if (body != NULL && queue != NULL && strlen(id) == JOB_ID_CHARS) {
        char *error = NULL;
        job = decode_stored_job(body, strlen(body), &error);
        g_free(error);
    }
    if (job != NULL) {
        g_strlcpy(job->id, id, sizeof(job->id));
        job->queue = g_strdup(queue);
        job->pool = dup_text(record, "pool");
        job->team = dup_text(record, "team");
        job->attempts = (uint32_t)json_int_get(record, "attempts", 1);
        job->accepted_unix_ms = json_int_get(record, "accepted_unix_ms", 0);
    }
    cJSON_Delete(record);
    return job;
}

/* One character for each task of a step in one occurrence: 'd' if it is done,
 * else '.'. */
static void
encode_step_progress(GString *out, const struct job_step *step,
                     const struct step_progress *progress)
{
    g_string_append_c(out, '"');
    for (uint32_t t = 0; t < step->task_count; t++) {
        g_string_append_c(out, progress->tasks[t].done ? 'd' : '.');
    }
    g_string_append_c(out, '"');
}

static bool
has_done_tasks(const struct job *job, const struct job_occurrence *occurrence)
{
    for (uint32_t s = 0; s < job->n_steps; s++) {
        if (occurrence->steps[s].done > 0) {
            return true;
        }
    }
    return false;
}

/* Finished occurrences as rows of the first and the last, then the numbers of
 * the open ones with progress, and marks for each step of each of these. */
static void
encode_occurrences(GString *out, const struct job *job)
{
    if (job->n_finished > 0) {
        g_string_append(out, ",\"finished\":[");
        for (guint i = 0; i < job->finished->len; i++) {
            const struct occurrence_range *range =
                &g_array_index(job->finished, struct occurrence_range, i);
            g_string_append_printf(out, "%s[%u,%u]", i == 0 ? "" : ",",
                                   range->first, range->last);
        }
        g_string_append_c(out, ']');
    }
    GString *numbers = g_string_new(NULL);
    GString *parts = g_string_new(NULL);
    for (guint i = 0; i < job->open->len; i++) {
        const struct job_occurrence *occurrence =
            g_ptr_array_index(job->open, i);
        if (job_occurrence_finished(job, occurrence->number) ||
            !has_done_tasks(job, occurrence)) {
            continue;
        }
        g_string_append_printf(numbers, "%s%u", numbers->len == 0 ? "" : ",",
                               occurrence->number);
        for (uint32_t s = 0; s < job->n_steps; s++) {
            if (parts->len > 0) {
                g_string_append_c(parts, ',');
            }
            encode_step_progress(parts, &job->steps[s], &occurrence->steps[s]);
        }
    }
    g_string_append_printf(out, ",\"occurrences\":[%s],\"parts\":[%s]",
                           numbers->str, parts->str);
    g_string_free(numbers, TRUE);
    g_string_free(parts, TRUE);
}

/* Row of step progress index, task, checkpoint and numbers of failed runs. */
static void
encode_task(GString *out, uint32_t progress_index, uint32_t index,
            const struct job_task *task, enum record_detail detail)
{
    const char *saved =
        detail == RECORD_CHECKPOINTS && task->saved != NULL ? task->saved : "";
    if (task->failures == 0 && saved[0] == '\0') {
        return;
    }
    g_string_append_printf(out, "%s[%u,%u,",
                           g_str_has_suffix(out->str, "[") ? "" : ",",
                           progress_index, index);
    text_add_json(out, saved);
    for (uint32_t i = 0; i < task->failures; i++) {
        g_string_append_printf(out, ",%u", task->failed_runs[i]);
    }
    g_string_append_c(out, ']');
}

enum {
    ROW_SUSPECT = 1,
    ROW_SHARED = 2,
};

/* Row of step progress index, task, counted crashes, those alone, whether the
 * task is a suspect, and where it starts alone or has started beside others.
 */
static void
encode_crash(GString *out, uint32_t progress_index, uint32_t index,
             const struct job_task *task, enum record_detail detail)
{
    const struct crash_record *crash = &task->crash;
    (void)detail;
    if (crash->crashes == 0 && !crash->suspect && !task->crash_shared) {
        return;
    }
    g_string_append_printf(out, "%s[%u,%u,%u,%u,%d,",
                           g_str_has_suffix(out->str, "[") ? "" : ",",
                           progress_index, index, crash->crashes, crash->alone,
                           (crash->suspect ? ROW_SUSPECT : 0) +
                               (task->crash_shared ? ROW_SHARED : 0));
    const char *backend = task->crash_backend;
    text_add_json(out, backend == NULL ? "" : backend);
    g_string_append_c(out, ']');
}

/* Rows of the tasks that are not done; nothing of the others matters. */
static void
encode_rows(GString *out, const char *member, const struct job *job,
            enum record_detail detail,
            void (*encode)(GString *out, uint32_t progress_index,
                           uint32_t index, const struct job_task *task,
                           enum record_detail detail))
{
    GString *rows = g_string_new("[");
    for (guint i = 0; i < job->open->len; i++) {
        const struct job_occurrence *occurrence =
            g_ptr_array_index(job->open, i);
        for (uint32_t s = 0; s < job->n_steps; s++) {
            uint32_t p = occurrence->number * job->n_steps + s;
            for (uint32_t t = 0; t < job->steps[s].task_count; t++) {
                const struct job_task *task = &occurrence->steps[s].tasks[t];
                if (!task->done) {
                    encode(rows, p, t, task, detail);
                }
            }
        }
    }
    if (rows->len > 1) {
        g_string_append_printf(out, ",\"%s\":%s]", member, rows->str);
    }
    g_string_free(rows, TRUE);
}

static char *
encode_progress(const struct job *job, enum record_detail detail)
{
    GString *out = g_string_new("{");
    add_text_member(out, "state", job_state_name(job->state));
    if (job->state == JOB_ACTIVE) {
        encode_occurrences(out, job);
        if (detail >= RECORD_FAILURES) {
            encode_rows(out, "tasks", job, detail, encode_task);
        }
        if (detail >= RECORD_CRASHES) {
            encode_rows(out, "crashes", job, detail, encode_crash);
        }
        if (job->left_pool) {
            add_int_member(out, "left_pool", 1);
        }
    }
    else {
        add_int_member(out, "ended_unix_ms", job->ended_unix_ms);
    }
    g_string_append_c(out, '}');
    return g_string_free(out, FALSE);
}

char *
record_progress_encode(const struct job *job, size_t bytes_max)
{
    for (int detail = RECORD_CHECKPOINTS;; detail--) {
        char *record = encode_progress(job, (enum record_detail)detail);
        if (strlen(record) <= bytes_max || detail == RECORD_DONE) {
            return record;
        }
        g_free(record);
    }
}

static size_t
occurrence_bytes(const struct job *job)
{
    return RECORD_OCCURRENCE_BYTES + job_task_count(job) +
           (size_t)job->n_steps * RECORD_STEP_BYTES;
}

size_t
record_progress_bytes(const struct job *job, size_t n_open)
{
    return RECORD_FIXED_BYTES + n_open * occurrence_bytes(job);
}

uint32_t
record_open_max(const struct job *job, size_t bytes_max)
{
    size_t left = bytes_max - MIN(bytes_max, (size_t)RECORD_FIXED_BYTES);
    return (uint32_t)MIN(left / occurrence_bytes(job), (size_t)UINT32_MAX);
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
apply_step_progress(struct job *job, uint32_t occurrence, uint32_t step,
                    const char *task_marks)
{
    uint32_t n_tasks = job->steps[step].task_count;
    /* Earlier versions stored gangs that were done in part. */
    bool gang_done = job->steps[step].gang && strchr(task_marks, 'd') != NULL;
    for (uint32_t t = 0; t < n_tasks && task_marks[t] != '\0'; t++) {
        if (gang_done || task_marks[t] == 'd') {
            job_task_finish(job, occurrence, step, t);
        }
    }
    job->started = true;
    job_open_occurrence(job, occurrence)->started = true;
    if (job->steps[step].long_running) {
        /* Of an earlier version: it has to run again. */
        job_mark_changed(job);
    }
}

/* Earlier versions stored an occurrence whose service tasks had ended as
 * finished. Only its other tasks are done. As many are opened as may be at
 * once; the others were not to start before these end. */
static void
reopen_occurrences(struct job *job, uint32_t first, uint32_t last)
{
    uint32_t open_max = job_open_max(job);
    for (uint32_t k = first; k <= last && job->open->len < open_max; k++) {
        job_open_occurrence(job, k)->started = true;
        for (uint32_t s = 0; s < job->n_steps; s++) {
            for (uint32_t t = 0; t < job->steps[s].task_count; t++) {
                job_task_finish(job, k, s, t);
            }
        }
    }
    job->started = true;
    job_mark_changed(job);
}

static int64_t
row_number(const cJSON *row, int column)
{
    return json_int_of(cJSON_GetArrayItem(row, column), -1);
}

/* Task that @row names by step progress index and task, or NULL. */
static struct job_task *
row_task(struct job *job, const cJSON *row)
{
    int64_t p = row_number(row, 0);
    int64_t t = row_number(row, 1);
    if (p < 0 || t < 0 || p >= (int64_t)job->n_occurrences * job->n_steps ||
        t >= (int64_t)job->steps[p % job->n_steps].task_count) {
        return NULL;
    }
    uint32_t occurrence = (uint32_t)(p / job->n_steps);
    job_open_occurrence(job, occurrence)->started = true;
    return &job_step_progress(job, occurrence, (uint32_t)(p % job->n_steps))
                ->tasks[t];
}

static void
apply_task_record(struct job *job, const cJSON *row)
{
    struct job_task *task = row_task(job, row);
    const char *saved = cJSON_GetStringValue(cJSON_GetArrayItem(row, 2));
    if (task == NULL) {
        return;
    }
    for (int i = 3; i < cJSON_GetArraySize(row); i++) {
        job_task_record_failure(task, (uint32_t)row_number(row, i));
    }
    if (saved != NULL && saved[0] != '\0') {
        g_free(task->saved);
        task->saved = g_strdup(saved);
    }
}

static void
apply_crash_record(struct job *job, const cJSON *row)
{
    int64_t crashes = row_number(row, 2);
    struct job_task *task = crashes < 0 ? NULL : row_task(job, row);
    if (task == NULL) {
        return;
    }
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
        g_free(task->crash_backend);
        task->crash_backend = g_strdup(backend);
    }
}

static void
apply_finished(struct job *job, const cJSON *row)
{
    int64_t first = row_number(row, 0);
    int64_t last = row_number(row, 1);
    if (first < 0 || first > last || last >= job->n_occurrences) {
        return;
    }
    if (job_is_service(job)) {
        reopen_occurrences(job, (uint32_t)first, (uint32_t)last);
        return;
    }
    job_finish_occurrences(job, (uint32_t)first, (uint32_t)last);
    job->started = true;
}

/* Records of earlier versions have the marks of every occurrence, and name
 * none. */
static void
apply_parts(struct job *job, const cJSON *record)
{
    const cJSON *numbers =
        cJSON_GetObjectItemCaseSensitive(record, "occurrences");
    const cJSON *parts = cJSON_GetObjectItemCaseSensitive(record, "parts");
    const cJSON *item;
    uint32_t index = 0;
    cJSON_ArrayForEach(item, parts)
    {
        int64_t occurrence = index / job->n_steps;
        if (numbers != NULL) {
            occurrence = row_number(numbers, (int)(index / job->n_steps));
        }
        if (cJSON_IsString(item) && occurrence >= 0 &&
            occurrence < job->n_occurrences &&
            strchr(cJSON_GetStringValue(item), 'd') != NULL) {
            apply_step_progress(job, (uint32_t)occurrence,
                                index % job->n_steps,
                                cJSON_GetStringValue(item));
        }
        index++;
    }
}

static void
apply_rows(struct job *job, const cJSON *record, const char *member,
           void (*apply)(struct job *job, const cJSON *row))
{
    const cJSON *rows = cJSON_GetObjectItemCaseSensitive(record, member);
    const cJSON *row;
    cJSON_ArrayForEach(row, rows)
    {
        apply(job, row);
    }
}

bool
record_progress_apply(struct job *job, const char *value, size_t bytes)
{
    cJSON *record = json_stored_read(value, bytes, NULL);
    bool known = state_of(record, &job->state);
    job->left_pool = json_int_get(record, "left_pool", 0) == 1;
    job->ended_unix_ms = json_int_get(record, "ended_unix_ms", 0);
    bool service = job_is_service(job);
    if (!service) {
        apply_rows(job, record, "finished", apply_finished);
    }
    apply_parts(job, record);
    apply_rows(job, record, "tasks", apply_task_record);
    apply_rows(job, record, "crashes", apply_crash_record);
    if (service) {
        /* Those that were open come first. */
        apply_rows(job, record, "finished", apply_finished);
    }
    if (service && job->state == JOB_COMPLETED) {
        job->state = JOB_ACTIVE;
        job->ended_unix_ms = 0;
        reopen_occurrences(job, 0, job->n_occurrences - 1);
    }
    job_close_occurrences(job);
    cJSON_Delete(record);
    return known;
}

bool
record_progress_state(const char *value, size_t bytes, enum job_state *state)
{
    cJSON *record = json_stored_read(value, bytes, NULL);
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
    add_int_member(out, "cpu_milli", entry->capacity.cpu_milli);
    add_int_member(out, "mem_mb", entry->capacity.mem_mb);
    add_int_member(out, "gpus", entry->capacity.gpus);
    g_string_append_c(out, '}');
    return g_string_free(out, FALSE);
}

bool
record_backend_decode(const char *id, const char *value, size_t bytes,
                      struct backend_entry *entry)
{
    cJSON *record = json_stored_read(value, bytes, NULL);
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
        entry->capacity = (struct resources){
            .cpu_milli = json_int_get(record, "cpu_milli", 0),
            .mem_mb = json_int_get(record, "mem_mb", 0),
            .gpus = json_int_get(record, "gpus", 0),
        };
    }
    cJSON_Delete(record);
    return valid;
}

/* Token, longest lease, then ID:MS for each silent backend server. Earlier
 * versions write and read the first two. */
char *
record_leases_encode(int64_t token, const struct open_leases *leases)
{
    GString *out = g_string_new(NULL);
    g_string_append_printf(out, "%" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
                           token, leases->longest_ms);
    for (guint i = 0; i < leases->silent_ids->len; i++) {
        g_string_append_printf(
            out, " %s:%" G_GINT64_FORMAT,
            (const char *)g_ptr_array_index(leases->silent_ids, i),
            g_array_index(leases->silent_left_ms, int64_t, i));
    }
    return g_string_free(out, FALSE);
}

int64_t
record_leases_decode(const char *value, int64_t *longest_ms,
                     GHashTable *left_ms)
{
    char **words = g_strsplit(value, " ", -1);
    guint n_words = g_strv_length(words);
    int64_t token = n_words < 2 ? 0 : g_ascii_strtoll(words[0], NULL, 10);
    *longest_ms = n_words < 2 ? 0 : g_ascii_strtoll(words[1], NULL, 10);
    g_hash_table_remove_all(left_ms);
    for (guint i = 2; i < n_words; i++) {
        const char *colon = strrchr(words[i], ':');
        char *end = NULL;
        int64_t left =
            colon == NULL ? -1 : g_ascii_strtoll(colon + 1, &end, 10);
        /* A name that can't be read says nothing. */
        if (left >= 0 && end != colon + 1 && *end == '\0') {
            g_hash_table_replace(left_ms,
                                 g_strndup(words[i], colon - words[i]),
                                 g_memdup2(&left, sizeof(left)));
        }
    }
    g_strfreev(words);
    return token;
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
