/* Texts of callers, backend servers, the operator and the store: each keeps
 * its whole length, or is refused with the place of the error. */
#include <string.h>

#include "../suite.h"
#include "common/text.h"
#include "egretjobd/job_call.h"
#include "egretjobd/operator_records.h"
#include "egretjobd/records.h"
#include "net/http_server.h"
#include "platform/advice_api.h"
#include "platform/backend_client.h"
#include "platform/decode.h"
#include "platform/hosts_api.h"
#include "platform/kv.h"

enum {
    POLLS_MAX = 400,
    POLL_US = 2500,
    SPEC_BYTES_MAX = 4000,
    KV_TIMEOUT_MS = 1000,
    RANDOM_SEED = 20261206,
    RANDOM_ROUNDS = 20000,
};

#define SERVER_ADDRESS "127.0.0.1:20951"
#define JOB_ID "00000000000000aa"
#define STEPS "\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":64}]"

/**
 * struct server - a server of the platform
 * @replies: bodies of its replies, one after the other; the last is repeated
 * @n_replies: length of @replies
 * @paths: paths of the requests, with their queries
 * @received: body of the last request
 * @served: number of requests
 */
struct server {
    struct event_base *base;
    struct http_server *http;
    const char *const *replies;
    size_t n_replies;
    GPtrArray *paths;
    char *received;
    size_t served;
};

static void
serve(void *ctx, struct http_exchange *exchange)
{
    struct server *server = ctx;
    size_t bytes = 0;
    const char *body = http_exchange_body(exchange, &bytes);
    g_free(server->received);
    server->received = g_strndup(body, bytes);
    CU_ASSERT_EQUAL(strlen(server->received), bytes);
    g_ptr_array_add(server->paths, g_strdup(http_exchange_path(exchange)));
    size_t index = MIN(server->served, server->n_replies - 1);
    server->served++;
    http_exchange_reply(exchange, 200, server->replies[index]);
}

static void
server_start(struct server *server, const char *const *replies,
             size_t n_replies)
{
    *server = (struct server){.replies = replies, .n_replies = n_replies};
    server->base = event_base_new();
    server->http =
        http_server_create(server->base, SERVER_ADDRESS, serve, server);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server->http);
    server->paths = g_ptr_array_new_with_free_func(g_free);
}

static void
server_stop(struct server *server)
{
    event_base_loop(server->base, EVLOOP_NONBLOCK);
    http_server_destroy(server->http);
    event_base_free(server->base);
    g_ptr_array_unref(server->paths);
    g_free(server->received);
}

/* Runs the loop until @count becomes @wanted. */
static void
wait_for(struct server *server, const size_t *count, size_t wanted)
{
    for (int i = 0; i < POLLS_MAX && *count < wanted; i++) {
        event_base_loop(server->base, EVLOOP_NONBLOCK);
        g_usleep(POLL_US);
    }
    CU_ASSERT_EQUAL(*count, wanted);
}

static int64_t
no_patience(void *ctx)
{
    (void)ctx;
    return 0;
}

static bool
may_start(void *ctx, uint64_t handle)
{
    (void)ctx;
    (void)handle;
    return true;
}

static void
on_start(void *ctx, uint64_t handle, enum start_answer answer,
         int64_t clock_ms)
{
    size_t *answers = ctx;
    (void)handle;
    (void)clock_ms;
    CU_ASSERT_EQUAL(answer, START_DONE);
    (*answers)++;
}

/* Body of the start command that tells a backend server @spec, @saved and
 * @ticket; g_free(). */
static char *
start_body(const char *spec, const char *saved, const char *ticket)
{
    static const char *const replies[] = {"{\"clock_ms\":1}"};
    struct server server;
    size_t answers = 0;
    server_start(&server, replies, G_N_ELEMENTS(replies));
    struct backend_callbacks callbacks = {
        .patience_ms = no_patience,
        .may_start = may_start,
        .on_start = on_start,
        .ctx = &answers,
    };
    struct backend_client *client =
        backend_client_create(server.base, "b0", SERVER_ADDRESS, &callbacks);
    backend_client_start(client, &(struct start_call){
                                     .task = JOB_ID ".0.0.0",
                                     .number = 1,
                                     .spec = spec,
                                     .token = 1,
                                     .saved = saved,
                                     .ticket = ticket,
                                 });
    wait_for(&server, &answers, 1);
    char *body = g_steal_pointer(&server.received);
    backend_client_destroy(client);
    server_stop(&server);
    return body;
}

/* A job whose text is @literal, a JSON string. */
static char *
job_body(const char *literal)
{
    return g_strdup_printf("{\"spec\":%s," STEPS "}", literal);
}

/* @body has @member with the JSON string @literal. */
static void
expect_member(const char *body, const char *member, const char *literal)
{
    char *expected = g_strdup_printf("\"%s\":%s", member, literal);
    if (strstr(body, expected) == NULL) {
        printf("expected %s in %s\n", expected, body);
        CU_FAIL("a text is told otherwise");
    }
    g_free(expected);
}

struct spec {
    const char *sent;
    const char *told;
};

static const struct spec sound_specs[] = {
    {"\"notice 4711\\u0000dry-run\"", "\"notice 4711\\u0000dry-run\""},
    {"\"\\u0000x\"", "\"\\u0000x\""},
    {"\"x\\u0000\"", "\"x\\u0000\""},
    {"\"\\u0000\\u0000\"", "\"\\u0000\\u0000\""},
    {"\"\\\\u0000\\u0000\"", "\"\\\\u0000\\u0000\""},
    {"\"\\u0001\\u001f\\t\\r\\n\"", "\"\\u0001\\u001f\\u0009\\u000d\\u000a\""},
    {"\"\\ud83d\\ude80\"", "\"\xF0\x9F\x9A\x80\""},
    {"\"\xF0\x9F\x9A\x80\\u0000\xC3\xA9\"",
     "\"\xF0\x9F\x9A\x80\\u0000\xC3\xA9\""},
    {"\"\\\"\\\\\\/\"", "\"\\\"\\\\/\""},
    {"\"\\uffff\\ufffe\x7F\"", "\"\xEF\xBF\xBF\xEF\xBF\xBE\x7F\""},
    /* Should be escaped, which not every caller does. */
    {"\"a\tb\x01\"", "\"a\\u0009b\\u0001\""},
    {"\"a\nb\\u0000\\\"\n\"", "\"a\\u000ab\\u0000\\\"\\u000a\""},
    {"\"\"", "\"\""},
};

static void
expect_told(const struct job *job, const char *literal)
{
    char *body = start_body(job->text, NULL, NULL);
    expect_member(body, "spec", literal);
    g_free(body);
}

/* Guards against a spec that reaches the backend servers cut off at U+0000. */
static void
test_spec_is_told_whole(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sound_specs); i++) {
        char *error = NULL;
        char *body = job_body(sound_specs[i].sent);
        struct job *job = decode_job(body, strlen(body), &error);
        CU_ASSERT_PTR_NULL(error);
        CU_ASSERT_PTR_NOT_NULL_FATAL(job);
        expect_told(job, sound_specs[i].told);
        job_unref(job);
        g_free(body);
    }
}

static struct job *
stored_job(const char *body, size_t bytes)
{
    char *record = record_job_encode(&(struct job_envelope){
        .queue = "q",
        .pool = "p",
        .team = "t",
        .attempts = 2,
        .body = body,
        .body_bytes = bytes,
    });
    struct job *job = record_job_decode(JOB_ID, record, strlen(record));
    g_free(record);
    return job;
}

/* Guards against a spec that the next leader reads cut off at U+0000. */
static void
test_spec_is_stored_whole(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sound_specs); i++) {
        char *body = job_body(sound_specs[i].sent);
        struct job *job = stored_job(body, strlen(body));
        CU_ASSERT_PTR_NOT_NULL_FATAL(job);
        expect_told(job, sound_specs[i].told);
        job_unref(job);
        g_free(body);
    }
}

/* Guards against a limit that counts only what stands before U+0000, or the
 * bytes in which it is held. */
static void
test_spec_length_is_that_of_the_whole(void)
{
    static const struct {
        const char *unit;
        size_t unit_bytes;
    } units[] = {{"x", 1}, {"\\u0000", 1}, {"\xF0\x9F\x9A\x80", 4}};
    for (size_t i = 0; i < G_N_ELEMENTS(units); i++) {
        GString *literal = g_string_new("\"");
        for (size_t n = 0; n < SPEC_BYTES_MAX; n += units[i].unit_bytes) {
            g_string_append(literal, units[i].unit);
        }
        for (int extra = 0; extra < 2; extra++) {
            char *error = NULL;
            char *quoted = g_strconcat(literal->str, "\"", NULL);
            char *body = job_body(quoted);
            struct job *job = decode_job(body, strlen(body), &error);
            CU_ASSERT_EQUAL(job != NULL, extra == 0);
            if (job != NULL) {
                job_unref(job);
            }
            else {
                CU_ASSERT_TRUE(g_str_has_prefix(error, "$.spec: "));
            }
            g_free(error);
            g_free(body);
            g_free(quoted);
            g_string_append_c(literal, 'x');
        }
        g_string_free(literal, TRUE);
    }
}

/* Guards against bodies that are accepted and then told as something that no
 * JSON reader takes. */
static void
test_unsound_bodies_are_refused(void)
{
    static const struct {
        const char *body;
        size_t bytes;
    } bodies[] = {
#define BODY(text) {text, sizeof(text) - 1}
        BODY("{\"spec\":\"a\xFFz\"," STEPS "}"),
        BODY("{\"spec\":\"a\xC0\x80z\"," STEPS "}"),
        BODY("{\"spec\":\"a\xED\xA0\x80z\"," STEPS "}"),
        BODY("{\"spec\":\"a\xF4\x90\x80\x80z\"," STEPS "}"),
        BODY("{\"spec\":\"a\xE2\x82\"," STEPS "}"),
        BODY("{\"spec\":\"a\\ud800z\"," STEPS "}"),
        BODY("{\"spec\":\"a\\udc00z\"," STEPS "}"),
        BODY("{\"spec\":\"a\\u00zz\"," STEPS "}"),
        BODY("{\"spec\":\"a\0z\"," STEPS "}"),
        BODY("{\"spec\":\"a\tb\0z\"," STEPS "}"),
        BODY("{\"spec\":\"a\\\tz\"," STEPS "}"),
        BODY("{\"spec\":\"a\"," STEPS "}\0"),
        BODY("{\"spec\":\"a\"," STEPS "}{}"),
        BODY("{\"spec\":\"a\"," STEPS "}\xFF"),
        BODY("{\"spec\\u0000\":\"a\"," STEPS "}"),
        BODY("{\"spec\":\"a\","
             "\"steps\":[{\"count\":1,\"image\":\"\xFF\"}]}"),
        BODY("{\"spec\":\"a\"," STEPS ",\"new\":\"\xFF\"}"),
        BODY("{\"spec\":\"a\"," STEPS),
        BODY(""),
#undef BODY
    };
    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        char *error = NULL;
        struct job *job = decode_job(bodies[i].body, bodies[i].bytes, &error);
        if (job != NULL || error == NULL || !g_str_has_prefix(error, "$") ||
            !g_utf8_validate(error, -1, NULL)) {
            printf("%zu: %s\n", i, error == NULL ? "is accepted" : error);
            CU_FAIL("an unsound body");
        }
        if (job != NULL) {
            job_unref(job);
        }
        g_free(error);
    }
    char *error = NULL;
    static const char not_utf8[] = "{\"spec\":\"a\xFFz\"," STEPS "}";
    CU_ASSERT_PTR_NULL(decode_job(not_utf8, strlen(not_utf8), &error));
    CU_ASSERT_PTR_NOT_NULL_FATAL(error);
    CU_ASSERT_STRING_EQUAL(error, "$: byte 11: not UTF-8");
    g_free(error);
}

/* Bytes are those of the body as it was sent. cJSON names the byte behind the
 * one that it can't read. */
static void
test_place_of_an_error(void)
{
    static const struct {
        const char *body;
        const char *error;
    } bodies[] = {
        {"{\"a\":\"b\\u0000\\\\\\u0000\",x}", "$: near byte 25: no JSON"},
        {"{\"a\":\"\\u0000\"} {}",
         "$: near byte 16: expected the end of the document"},
        {"{\"a\":\"\\u0000\\ud800\"}",
         "$: byte 13: an escape that stands for no character"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        char *error = NULL;
        CU_ASSERT_PTR_NULL(
            decode_job(bodies[i].body, strlen(bodies[i].body), &error));
        CU_ASSERT_PTR_NOT_NULL_FATAL(error);
        CU_ASSERT_STRING_EQUAL(error, bodies[i].error);
        g_free(error);
    }
}

/* Whatever characters it has, a text that is written is read again. */
static void
test_random_texts(void)
{
    static const gunichar characters[] = {
        0,    0,    1,     '"',    '\\',   '/',    'u',     '0',      '\n',
        0x7F, 0x80, 0x7FF, 0xD7FF, 0xE000, 0xFFFF, 0x10000, 0x10FFFF,
    };
    GRand *random = g_rand_new_with_seed(RANDOM_SEED);
    for (int round = 0; round < RANDOM_ROUNDS; round++) {
        GString *utf8 = g_string_new(NULL);
        for (int n = g_rand_int_range(random, 0, 12); n > 0; n--) {
            gint32 index =
                g_rand_int_range(random, 0, (gint32)G_N_ELEMENTS(characters));
            char bytes[6];
            gint length = g_unichar_to_utf8(characters[index], bytes);
            g_string_append_len(utf8, bytes, length);
        }
        char *text = text_create(utf8->str, utf8->len);
        GString *body = g_string_new("{\"spec\":");
        text_add_json(body, text);
        g_string_append(body, "," STEPS "}");
        char *error = NULL;
        struct job *job = decode_job(body->str, body->len, &error);
        CU_ASSERT_PTR_NOT_NULL_FATAL(job);
        CU_ASSERT_STRING_EQUAL(job->text, text);
        CU_ASSERT_EQUAL(text_utf8_bytes(job->text), utf8->len);
        job_unref(job);
        g_string_free(body, TRUE);
        g_string_free(utf8, TRUE);
        g_free(text);
    }
    g_rand_free(random);
}

/* Guards against jobs that are lost with an upgrade, since the version that
 * accepted them read more than JSON allows. */
static void
test_jobs_of_earlier_versions_are_read(void)
{
    static const struct spec specs[] = {
        {"\"a\\u0000z\"", "\"a\\u0000z\""},
        {"\"a\tz\"", "\"a\\u0009z\""},
        {"\"a\xFFz\"", "\"a\xEF\xBF\xBDz\""},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(specs); i++) {
        char *body = job_body(specs[i].sent);
        char *with_rest = g_strconcat(body, " rest", NULL);
        struct job *job = stored_job(with_rest, strlen(with_rest));
        CU_ASSERT_PTR_NOT_NULL_FATAL(job);
        CU_ASSERT_EQUAL(job->attempts, 2);
        expect_told(job, specs[i].told);
        job_unref(job);
        g_free(with_rest);
        g_free(body);
    }
    /* Its spec was measured without what stands after U+0000. */
    char *rest = g_strnfill(SPEC_BYTES_MAX, 'x');
    char *literal = g_strdup_printf("\"a\\u0000%s\"", rest);
    char *body = job_body(literal);
    struct job *job = stored_job(body, strlen(body));
    CU_ASSERT_PTR_NOT_NULL_FATAL(job);
    expect_told(job, literal);
    job_unref(job);
    g_free(body);
    g_free(literal);
    g_free(rest);
}

/**
 * struct kept_report - texts of the last run report
 * @outcome: its outcome
 * @error: why it could not be read
 */
struct kept_report {
    size_t reports;
    enum report_outcome outcome;
    char *error;
    char *task;
    char *saved;
    char *end_task;
    char *end_saved;
    enum completion_reason reason;
};

static void
on_report(void *ctx, const char *backend_id, const struct run_report *report)
{
    struct kept_report *kept = ctx;
    (void)backend_id;
    kept->reports++;
    kept->outcome = report->outcome;
    kept->error = g_strdup(report->error);
    if (report->n_running > 0) {
        kept->task = g_strdup(report->running[0].task);
        kept->saved = g_strdup(report->running[0].saved);
    }
    if (report->n_completions > 0) {
        kept->end_task = g_strdup(report->completions[0].task);
        kept->end_saved = g_strdup(report->completions[0].saved);
        kept->reason = report->completions[0].reason;
    }
}

static void
request_report(const char *reply, struct kept_report *kept)
{
    struct server server;
    *kept = (struct kept_report){0};
    server_start(&server, &reply, 1);
    struct backend_callbacks callbacks = {
        .patience_ms = no_patience,
        .on_report = on_report,
        .ctx = kept,
    };
    struct backend_client *client =
        backend_client_create(server.base, "b0", SERVER_ADDRESS, &callbacks);
    struct report_request request = {.number = 1};
    backend_client_request_report(client, &request, 0, 1, 0, 0);
    wait_for(&server, &kept->reports, 1);
    backend_client_destroy(client);
    server_stop(&server);
}

static void
kept_report_clear(struct kept_report *kept)
{
    g_free(kept->error);
    g_free(kept->task);
    g_free(kept->saved);
    g_free(kept->end_task);
    g_free(kept->end_saved);
}

/* Stores @saved as a task's checkpoint and reads it back; g_free(). */
static char *
stored_checkpoint(const char *saved)
{
    char *body = job_body("\"s\"");
    struct job *job = stored_job(body, strlen(body));
    CU_ASSERT_PTR_NOT_NULL_FATAL(job);
    job_step_progress(job, 0, 0)->tasks[0].saved = g_strdup(saved);
    char *record = record_progress_encode(job, KV_VALUE_BYTES_DEFAULT);
    struct job *next = stored_job(body, strlen(body));
    CU_ASSERT_TRUE(record_progress_apply(next, record, strlen(record)));
    char *read = g_strdup(job_step_progress(next, 0, 0)->tasks[0].saved);
    job_unref(job);
    job_unref(next);
    g_free(record);
    g_free(body);
    return read;
}

/* Guards against a checkpoint that is told back cut off at U+0000. */
static void
test_checkpoint_is_told_back_whole(void)
{
    struct kept_report kept;
    request_report("{\"clock_ms\":1,\"running\":[[\"" JOB_ID
                   ".0.0.0\",1,\"9\\u00007\",5,0]],\"ended\":[[1,\"" JOB_ID
                   ".0.0.1\",1,\"stopped\",\"\\u00008\"]]}",
                   &kept);
    CU_ASSERT_EQUAL(kept.outcome, REPORT_READ);
    char *body = start_body("s", kept.saved, NULL);
    expect_member(body, "saved", "\"9\\u00007\"");
    g_free(body);
    body = start_body("s", kept.end_saved, NULL);
    expect_member(body, "saved", "\"\\u00008\"");
    g_free(body);
    char *stored = stored_checkpoint(kept.saved);
    body = start_body("s", stored, NULL);
    expect_member(body, "saved", "\"9\\u00007\"");
    g_free(body);
    g_free(stored);
    kept_report_clear(&kept);
}

/* Guards against names of tasks and of ends that are compared only up to
 * U+0000. */
static void
test_reported_names_are_compared_whole(void)
{
    struct kept_report kept;
    request_report("{\"clock_ms\":1,\"running\":[[\"" JOB_ID
                   ".0.0.0\\u0000x\",1,\"\",5,0]],\"ended\":[[1,\"" JOB_ID
                   ".0.0.1\\u0000\",1,\"done\\u0000\",\"\"]]}",
                   &kept);
    CU_ASSERT_EQUAL(kept.outcome, REPORT_READ);
    CU_ASSERT_STRING_NOT_EQUAL(kept.task, JOB_ID ".0.0.0");
    CU_ASSERT_STRING_NOT_EQUAL(kept.end_task, JOB_ID ".0.0.1");
    CU_ASSERT_NOT_EQUAL(kept.reason, END_DONE);
    kept_report_clear(&kept);
}

/* Guards against a report of which a part is read that is not UTF-8. */
static void
test_unsound_report_is_refused(void)
{
    struct kept_report kept;
    request_report("{\"clock_ms\":1,\"running\":[[\"" JOB_ID
                   ".0.0.0\",1,\"9\xFF\",5,0]],\"ended\":[]}",
                   &kept);
    CU_ASSERT_NOT_EQUAL(kept.outcome, REPORT_READ);
    CU_ASSERT_PTR_NOT_NULL_FATAL(kept.error);
    CU_ASSERT_TRUE(g_str_has_prefix(kept.error, "$: byte "));
    kept_report_clear(&kept);
}

/* Guards against an entry that is taken for that of a backend server whose
 * texts are the parts before U+0000. */
static void
test_entry_texts_are_compared_whole(void)
{
    static const char entry[] =
        "{\"service\":\"p%s\",\"address\":\"127.0.0.1:80%s\",\"zone\":\"dc%s\""
        ",\"slots\":8,\"state\":\"ready%s\",\"machine\":\"m0%s\","
        "\"room\":{\"cpu\":16000,\"mem_mb\":64000},"
        "\"labels\":[\"a\"],\"born\":1700000000000,\"seq\":1}";
    static const char *const places[] = {"$.service", "$.address", "$.zone",
                                         "$.state", "$.machine"};
    for (size_t odd = 0; odd <= G_N_ELEMENTS(places); odd++) {
        const char *ends[G_N_ELEMENTS(places)];
        for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
            ends[i] = i == odd ? "\\u0000" : "";
        }
        char *text = g_strdup_printf(entry, ends[0], ends[1], ends[2], ends[3],
                                     ends[4]);
        struct backend_entry read;
        char *error = NULL;
        bool usable = decode_backend("b0", text, strlen(text), &read, &error);
        CU_ASSERT_EQUAL(usable, odd == G_N_ELEMENTS(places));
        if (!usable) {
            CU_ASSERT_TRUE(g_str_has_prefix(error, places[odd]));
        }
        backend_entry_clear(&read);
        g_free(error);
        g_free(text);
    }
}

/* Guards against a task that starts on a backend server whose label, or on a
 * rack whose name, is only the part before U+0000 of what the task wants. */
static void
test_labels_are_compared_whole(void)
{
    static const char entry[] =
        "{\"service\":\"p\",\"address\":\"127.0.0.1:80\",\"zone\":\"dc\""
        ",\"slots\":8,\"state\":\"ready\",\"machine\":\"m0\","
        "\"room\":{\"cpu\":16000,\"mem_mb\":64000},"
        "\"labels\":[\"a\",\"a\\u0000x\",\"\\n\\\"\"],"
        "\"born\":1700000000000,\"seq\":1}";
    static const char wanted[] =
        "{\"spec\":\"\",\"steps\":[{\"count\":1,\"requires\":\"a\\u0000x\","
        "\"affinity\":\"a\\u0000y\",\"image\":\"a\\u0000z\"}]}";
    struct backend_entry read;
    char *error = NULL;
    CU_ASSERT_FATAL(decode_backend("b0", entry, strlen(entry), &read, &error));
    struct job *job = decode_job(wanted, strlen(wanted), &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(job);
    const struct job_step *step = &job->steps[0];
    CU_ASSERT_STRING_EQUAL(read.labels[0], "a");
    CU_ASSERT_STRING_EQUAL(read.labels[1], step->required_label);
    CU_ASSERT_STRING_EQUAL(read.labels[2], "\n\"");
    CU_ASSERT_STRING_NOT_EQUAL(step->required_label, "a");
    CU_ASSERT_STRING_NOT_EQUAL(step->data_rack, "a");
    CU_ASSERT_STRING_NOT_EQUAL(step->data_rack, step->required_label);
    CU_ASSERT_STRING_NOT_EQUAL(step->image, "a");
    job_unref(job);
    backend_entry_clear(&read);
}

/* Guards against a key that grants the access of another one, which is its
 * part before U+0000, and against queues and accounts that are mixed up. */
static void
test_configuration_is_compared_whole(void)
{
    static const char text[] =
        "{\"version\":1,\"tenants\":["
        "{\"name\":\"t\\u0000a\",\"api_keys\":[\"k1\\u0000x\",\"k2\"]},"
        "{\"name\":\"t\\u0000b\",\"api_keys\":[\"k3\"]}],"
        "\"routes\":[{\"name\":\"q\\u0000a\",\"host\":\"h\",\"prefix\":\"/a/\""
        ",\"service\":\"p\\u0000a\"},"
        "{\"name\":\"q\\u0000b\",\"host\":\"h\",\"prefix\":\"/b/\""
        ",\"service\":\"p\"},"
        "{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/c\\u0000/\""
        ",\"service\":\"p\"}],"
        "\"services\":[{\"name\":\"p\"},{\"name\":\"p\\u0000a\","
        "\"enforces_capacity\":true}]}";
    struct fleet_config *config = decode_config(text, strlen(text), 1, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    CU_ASSERT_PTR_NULL(fleet_config_key_owner(config, "k1"));
    const struct team_config *a = fleet_config_key_owner(config, "k2");
    const struct team_config *b = fleet_config_key_owner(config, "k3");
    CU_ASSERT_PTR_NOT_NULL_FATAL(a);
    CU_ASSERT_PTR_NOT_NULL_FATAL(b);
    CU_ASSERT_PTR_EQUAL(fleet_config_team(config, a->name), a);
    CU_ASSERT_PTR_EQUAL(fleet_config_team(config, b->name), b);
    const struct queue_config *queue = fleet_config_match(config, "h", "/a/1");
    CU_ASSERT_PTR_NOT_NULL_FATAL(queue);
    CU_ASSERT_PTR_EQUAL(fleet_config_queue(config, queue->name), queue);
    const struct pool_config *pool = fleet_config_pool(config, queue->pool);
    CU_ASSERT_PTR_NOT_NULL_FATAL(pool);
    CU_ASSERT_TRUE(pool->enforces_capacity);
    CU_ASSERT_PTR_NULL(fleet_config_match(config, "h", "/c/1"));
    CU_ASSERT_PTR_NULL(fleet_config_match(config, "h", "/c"));
    fleet_config_destroy(config);
}

/** struct kept_keys - keys that the store returned */
struct kept_keys {
    size_t results;
    GPtrArray *items;
};

static void
keep_keys(void *ctx, const struct kv_result *result)
{
    struct kept_keys *kept = ctx;
    kept->results++;
    CU_ASSERT_EQUAL(result->outcome, KV_OK);
    for (guint i = 0; i < result->items->len; i++) {
        g_ptr_array_add(kept->items,
                        kv_item_copy(g_ptr_array_index(result->items, i)));
    }
}

/* Guards against a key of the store that is taken for another one, which is
 * its part before U+0000, and against a copy that loses the end of a value. */
static void
test_store_keys_and_values_are_whole(void)
{
    static const char *const replies[] = {
        "{\"as_of\":5,\"has_more\":true,\"items\":["
        "{\"key\":\"servers/a\\u0000b\",\"revision\":1,"
        "\"value\":\"MQAy\"}]}",
        "{\"as_of\":5,\"items\":[{\"key\":\"servers/c\",\"revision\":2,"
        "\"value\":\"MQ==\"}]}",
    };
    struct server server;
    struct kept_keys kept = {
        .items = g_ptr_array_new_with_free_func(kv_item_destroy)};
    server_start(&server, replies, G_N_ELEMENTS(replies));
    struct kv *kv = kv_create(server.base, SERVER_ADDRESS, KV_TIMEOUT_MS,
                              (struct kv_route){0});
    kv_range_all(kv, "servers/",
                 (struct kv_done){.call = keep_keys, .ctx = &kept});
    wait_for(&server, &kept.results, 1);
    CU_ASSERT_EQUAL_FATAL(kept.items->len, 2);
    const struct kv_item *item = g_ptr_array_index(kept.items, 0);
    CU_ASSERT_STRING_NOT_EQUAL(item->key, "servers/a");
    CU_ASSERT_EQUAL(item->value_bytes, 3);
    CU_ASSERT_EQUAL(memcmp(item->value, "1\0002", 3), 0);
    CU_ASSERT_STRING_EQUAL(g_ptr_array_index(server.paths, 1),
                           "/v1/kv-range?prefix=servers/&after=servers/a%00b");
    struct kv_condition condition = {.key = item->key, .revision = 1};
    char *txn = kv_txn_encode(
        &(struct kv_txn){.conditions = &condition, .n_conditions = 1});
    expect_member(txn, "key", "\"servers/a\\u0000b\"");
    g_free(txn);
    kv_destroy(kv);
    server_stop(&server);
    g_ptr_array_unref(kept.items);
}

/** struct kept_hosts - the list of hosts, and commands sent about it */
struct kept_hosts {
    size_t lists;
    size_t answers;
    char *host;
    char *pool;
};

static void
on_list(void *ctx, const struct host_info *hosts, size_t n_hosts)
{
    struct kept_hosts *kept = ctx;
    kept->lists++;
    CU_ASSERT_EQUAL_FATAL(n_hosts, 1);
    kept->host = g_strdup(hosts[0].host);
    kept->pool = g_strdup(hosts[0].pool);
    CU_ASSERT_FALSE(hosts[0].up);
}

static bool
may_command(void *ctx)
{
    (void)ctx;
    return true;
}

static void
on_command(void *ctx, const char *host, int64_t wave,
           enum host_command_result result)
{
    struct kept_hosts *kept = ctx;
    (void)wave;
    CU_ASSERT_EQUAL(result, HOST_COMMAND_DONE);
    CU_ASSERT_STRING_EQUAL(host, kept->host);
    kept->answers++;
}

/* Guards against a command about another host than the one in the list, and a
 * list that goes on at the wrong page. */
static void
test_host_list_is_whole(void)
{
    static const char *const replies[] = {
        "{\"machines\":[],\"next_token\":\"p\\u00002\"}",
        "{\"machines\":[{\"machine\":\"m\\u00001\",\"pool\":\"p\\u00001\","
        "\"state\":\"up\\u0000\"}]}",
    };
    struct server server;
    struct kept_hosts kept = {0};
    server_start(&server, replies, G_N_ELEMENTS(replies));
    struct hosts_callbacks callbacks = {
        .on_list = on_list,
        .may_command = may_command,
        .on_command = on_command,
        .ctx = &kept,
    };
    struct hosts_api *api =
        hosts_api_create(server.base, SERVER_ADDRESS, "n", &callbacks);
    CU_ASSERT_TRUE(hosts_api_list(api));
    wait_for(&server, &kept.lists, 1);
    CU_ASSERT_STRING_EQUAL(g_ptr_array_index(server.paths, 1),
                           "/v1/machines?page_token=p%002");
    hosts_api_move(api, kept.host, kept.pool, 1);
    wait_for(&server, &kept.answers, 1);
    expect_member(server.received, "machine", "\"m\\u00001\"");
    expect_member(server.received, "pool", "\"p\\u00001\"");
    hosts_api_destroy(api);
    server_stop(&server);
    g_free(kept.host);
    g_free(kept.pool);
}

/** struct kept_advice - grants of the advice service */
struct kept_advice {
    size_t answers;
    char *ticket;
};

static void
on_advice(void *ctx, const struct advice_answer *answer)
{
    struct kept_advice *kept = ctx;
    kept->answers++;
    CU_ASSERT_EQUAL_FATAL(answer->n_grants, 1);
    kept->ticket = g_strdup(answer->grants[0].ticket);
}

/* Guards against a ticket that is told back cut off at U+0000. */
static void
test_ticket_is_told_back_whole(void)
{
    static const char *const replies[] = {
        "{\"good\":[[\"b0\",\"t\\u00001\"]],\"valid_ms\":1000}"};
    static const char *const backends[] = {"b0", NULL};
    struct server server;
    struct kept_advice kept = {0};
    server_start(&server, replies, G_N_ELEMENTS(replies));
    struct advice_api *api = advice_api_create(
        server.base, SERVER_ADDRESS,
        (struct advice_callback){.call = on_advice, .ctx = &kept});
    advice_api_request(api, JOB_ID ".0.0", backends);
    wait_for(&server, &kept.answers, 1);
    advice_api_destroy(api);
    server_stop(&server);
    char *body = start_body("s", NULL, kept.ticket);
    expect_member(body, "ticket", "\"t\\u00001\"");
    g_free(body);
    g_free(kept.ticket);
}

/* Guards against records that reach a process without the store's answers cut
 * off at a NUL, and against one that makes all of them unreadable. */
static void
test_operator_records_are_passed_on_whole(void)
{
    static const struct {
        const char *key;
        const char *value;
        size_t bytes;
    } records[] = {
        {"op/config", "{\"version\":1}", 13},
        {"op/evacuate/a", "{}\0rest", 7},
        {"op/evacuate/a\xC0\x80z", "", 0},
        {"op/evacuate/b", "\xFF\xFE", 2},
        {"op/evacuate/\"\\\n", "\xC0\x80", 2},
    };
    GPtrArray *sent = g_ptr_array_new_with_free_func(kv_item_destroy);
    for (size_t i = 0; i < G_N_ELEMENTS(records); i++) {
        struct kv_item item = {
            .key = (char *)records[i].key,
            .value = (char *)records[i].value,
            .value_bytes = records[i].bytes,
            .revision = (int64_t)i + 1,
        };
        g_ptr_array_add(sent, kv_item_copy(&item));
    }
    char *text = operator_records_encode(sent, 5, 9);
    CU_ASSERT(g_utf8_validate(text, -1, NULL));
    GPtrArray *read = g_ptr_array_new_with_free_func(kv_item_destroy);
    int64_t age_ms = 0;
    int64_t as_of = 0;
    char *error = NULL;
    CU_ASSERT_FATAL(operator_records_decode(text, strlen(text), read, &age_ms,
                                            &as_of, &error));
    CU_ASSERT_EQUAL(age_ms, 5);
    CU_ASSERT_EQUAL(as_of, 9);
    CU_ASSERT_EQUAL_FATAL(read->len, G_N_ELEMENTS(records));
    for (guint i = 0; i < read->len; i++) {
        const struct kv_item *item = g_ptr_array_index(read, i);
        CU_ASSERT_STRING_EQUAL(item->key, records[i].key);
        CU_ASSERT_EQUAL_FATAL(item->value_bytes, records[i].bytes);
        CU_ASSERT_EQUAL(
            memcmp(item->value, records[i].value, item->value_bytes), 0);
    }
    static const char broken[] = "{\"age_ms\":1,\"items\":[\"\xFF\"]}";
    CU_ASSERT_FALSE(operator_records_decode(broken, strlen(broken), read,
                                            &age_ms, &as_of, &error));
    CU_ASSERT_PTR_NOT_NULL(error);
    g_free(error);
    g_free(text);
    g_ptr_array_unref(sent);
    g_ptr_array_unref(read);
}

/* Names that a header does not carry as they are. */
static const char *const odd_names[] = {
    "permit notice",
    " leading",
    "trailing ",
    "two\r\nlines",
    "a\nb",
    "a\xC0\x80z",
    "100%",
    "%00",
    "\xC3\xA9\xF0\x9F\x9A\x80",
    "\t",
    "",
    "q!\"#$&'()*",
    "\x01",
};

static void
serve_call(void *ctx, struct http_exchange *exchange)
{
    size_t *served = ctx;
    const char *name = odd_names[*served];
    struct job_call call = {0};
    struct job_call_headers headers;
    CU_ASSERT_FATAL(job_call_headers_read(&headers, exchange, &call));
    CU_ASSERT_STRING_EQUAL(call.id, JOB_ID);
    CU_ASSERT_STRING_EQUAL(call.queue, name);
    CU_ASSERT_STRING_EQUAL(call.pool, name);
    CU_ASSERT_STRING_EQUAL(call.team, name);
    CU_ASSERT_EQUAL(call.attempts, 3);
    job_call_headers_clear(&headers);
    (*served)++;
    http_exchange_reply(exchange, 200, NULL);
}

static void
count_reply(void *ctx, const struct http_reply *reply)
{
    size_t *replies = ctx;
    CU_ASSERT_EQUAL(reply->status, 200);
    (*replies)++;
}

/* Guards against a job that the leader stores for another queue or account
 * than the one whose caller sent it, since a header has lost its name. */
static void
test_names_reach_the_leader_whole(void)
{
    struct event_base *base = event_base_new();
    size_t served = 0;
    struct http_server *server =
        http_server_create(base, SERVER_ADDRESS, serve_call, &served);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    struct http_client *client =
        http_client_create(base, SERVER_ADDRESS, KV_TIMEOUT_MS);
    size_t replies = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(odd_names); i++) {
        struct job_call_headers headers;
        job_call_headers_init(&headers, &(struct job_call){
                                            .id = JOB_ID,
                                            .queue = odd_names[i],
                                            .pool = odd_names[i],
                                            .team = odd_names[i],
                                            .attempts = 3,
                                        });
        http_client_send(client, &(struct http_call){
                                     .method = "POST",
                                     .path = "/submit",
                                     .headers = headers.list,
                                     .done = count_reply,
                                     .ctx = &replies,
                                 });
        job_call_headers_clear(&headers);
    }
    for (int i = 0; i < POLLS_MAX && replies < G_N_ELEMENTS(odd_names); i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        g_usleep(POLL_US);
    }
    CU_ASSERT_EQUAL(replies, G_N_ELEMENTS(odd_names));
    http_client_destroy(client);
    event_base_loop(base, EVLOOP_NONBLOCK);
    http_server_destroy(server);
    event_base_free(base);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a spec is told whole", test_spec_is_told_whole},
        {"a spec is stored whole", test_spec_is_stored_whole},
        {"the length of a spec is that of the whole",
         test_spec_length_is_that_of_the_whole},
        {"unsound bodies are refused", test_unsound_bodies_are_refused},
        {"the place of an error", test_place_of_an_error},
        {"random texts", test_random_texts},
        {"jobs of earlier versions are read",
         test_jobs_of_earlier_versions_are_read},
        {"a checkpoint is told back whole",
         test_checkpoint_is_told_back_whole},
        {"reported names are compared whole",
         test_reported_names_are_compared_whole},
        {"an unsound report is refused", test_unsound_report_is_refused},
        {"texts of an entry are compared whole",
         test_entry_texts_are_compared_whole},
        {"labels are compared whole", test_labels_are_compared_whole},
        {"the configuration is compared whole",
         test_configuration_is_compared_whole},
        {"keys and values of the store are whole",
         test_store_keys_and_values_are_whole},
        {"the host list is whole", test_host_list_is_whole},
        {"a ticket is told back whole", test_ticket_is_told_back_whole},
        {"the operator's records are passed on whole",
         test_operator_records_are_passed_on_whole},
        {"names reach the leader whole", test_names_reach_the_leader_whole},
    };
    return suite_main("texts", tests, G_N_ELEMENTS(tests));
}
