/* Entries of other writers among those of the backend servers: they name no
 * backend server to use, and the others hold. */
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "fleet_fixture.h"
#include "platform/decode.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

enum {
    FUZZ_SEED = 20261205,
    FUZZ_ROUNDS = 20000,
    FUZZ_CHANGES_MAX = 4,
    /* Deeper than the parser follows, and deep enough to use up a stack. */
    NESTING = 200000,
    KEY_BYTES_MAX = 200,
};

static const char good[] =
    "{\"service\":\"p\",\"address\":\"127.0.0.1:80\",\"zone\":\"dc\","
    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
    "\"cold_remaining_ms\":0,\"machine\":\"m0\","
    "\"room\":{\"cpu\":16000,\"mem_mb\":64000,\"gpu\":0},"
    "\"labels\":[\"a\",\"r1\"],\"born\":1700000000000,\"seq\":1}";

static const char one_task[] =
    "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":9000}]";

/* The good entry with @from replaced by @to. */
static char *
changed(const char *from, const char *to)
{
    const char *at = strstr(good, from);
    CU_ASSERT_PTR_NOT_NULL_FATAL(at);
    return g_strdup_printf("%.*s%s%s", (int)(at - good), good, to,
                           at + strlen(from));
}

static bool
usable(const char *id, const char *text, size_t bytes)
{
    struct backend_entry entry;
    char *error = NULL;
    bool read = decode_backend(id, text, bytes, &entry, &error);
    CU_ASSERT_EQUAL(read, error == NULL);
    backend_entry_clear(&entry);
    g_free(error);
    return read;
}

struct odd_member {
    const char *from;
    const char *to;
    const char *place;
};

/* Each of @members makes the entry unusable, and the error names its place. */
static void
expect_errors(const struct odd_member *members, size_t n_members)
{
    for (size_t i = 0; i < n_members; i++) {
        struct backend_entry entry;
        char *error = NULL;
        char *text = changed(members[i].from, members[i].to);
        bool read = decode_backend("b0", text, strlen(text), &entry, &error);
        if (read || error == NULL ||
            !g_str_has_prefix(error, members[i].place)) {
            printf("%s: %s\n", members[i].to,
                   read ? "is taken for a backend server" : error);
            CU_FAIL("an odd member");
        }
        backend_entry_clear(&entry);
        g_free(error);
        g_free(text);
    }
}

static void
test_good_entry(void)
{
    struct backend_entry entry;
    char *error = NULL;
    CU_ASSERT_FATAL(decode_backend("b0", good, strlen(good), &entry, &error));
    CU_ASSERT_STRING_EQUAL(entry.id, "b0");
    CU_ASSERT_STRING_EQUAL(entry.pool, "p");
    CU_ASSERT_STRING_EQUAL(entry.address, "127.0.0.1:80");
    CU_ASSERT_STRING_EQUAL(entry.data_centre, "dc");
    CU_ASSERT_STRING_EQUAL(entry.host, "m0");
    CU_ASSERT_STRING_EQUAL(entry.labels[1], "r1");
    CU_ASSERT_PTR_NULL(entry.labels[2]);
    CU_ASSERT_EQUAL(entry.incarnation_start_ms, 1700000000000);
    CU_ASSERT_EQUAL(entry.capacity.cpu_milli, 16000);
    CU_ASSERT_EQUAL(entry.capacity.mem_mb, 64000);
    CU_ASSERT_EQUAL(entry.capacity.gpus, 0);
    CU_ASSERT_FALSE(entry.draining);
    backend_entry_clear(&entry);
}

/* Members that older installations or other versions may not send. */
static void
test_optional_members(void)
{
    static const char *const optional[] = {
        ",\"born\":1700000000000",    "\"machine\":\"m0\",",
        "\"labels\":[\"a\",\"r1\"],", ",\"gpu\":0",
        "\"version\":\"v1\",",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(optional); i++) {
        char *text = changed(optional[i], "");
        CU_ASSERT(usable("b0", text, strlen(text)));
        g_free(text);
    }
}

/* A backend server whose capacity shrinks stays in the list, also with none
 * left and runs in progress. */
static void
test_capacity_shrinks_to_nothing(void)
{
    struct backend_entry entry;
    char *error = NULL;
    char *text = changed("\"cpu\":16000,\"mem_mb\":64000",
                         "\"cpu\":0,\"mem_mb\":44800.7");
    CU_ASSERT_FATAL(decode_backend("b0", text, strlen(text), &entry, &error));
    CU_ASSERT_EQUAL(entry.capacity.cpu_milli, 0);
    CU_ASSERT_EQUAL(entry.capacity.mem_mb, 44800);
    g_free(text);
    struct fleet_fixture f;
    fixture_init(&f, 1);
    entry.incarnation_start_ms = f.incarnation_start_ms;
    scheduler_backend_updated(f.sched, &entry);
    fixture_tick(&f, f.now_ms + 10);
    fixture_add_job(&f, "00000000000000aa", "p", one_task);
    struct reported_run running = {.task = "00000000000000aa.0.0.0",
                                   .number = 1,
                                   .saved = "",
                                   .percent = 1};
    fixture_report(&f, "b0", &running, 1, NULL, 0);
    fixture_tick(&f, f.now_ms + 100);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 0);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_STOP, NULL), 0);
    CU_ASSERT_EQUAL(scheduler_find_backend(f.sched, "b0")->runs->len, 1);
    fixture_clear(&f);
    backend_entry_clear(&entry);
}

static void
test_number_out_of_range(void)
{
    static const struct odd_member members[] = {
        {"\"cpu\":16000", "\"cpu\":1e300", "$.room.cpu"},
        {"\"cpu\":16000", "\"cpu\":1e999", "$.room.cpu"},
        {"\"cpu\":16000", "\"cpu\":9223372036854775807", "$.room.cpu"},
        {"\"cpu\":16000", "\"cpu\":10000001", "$.room.cpu"},
        {"\"cpu\":16000", "\"cpu\":-16000", "$.room.cpu"},
        {"\"cpu\":16000", "\"cpu\":\"16000\"", "$.room.cpu"},
        {"\"cpu\":16000,", "", "$.room.cpu"},
        {"\"mem_mb\":64000", "\"mem_mb\":1e300", "$.room.mem_mb"},
        {"\"mem_mb\":64000", "\"mem_mb\":-1", "$.room.mem_mb"},
        {"\"mem_mb\":64000", "\"mem_mb\":-0.5", "$.room.mem_mb"},
        {"\"gpu\":0", "\"gpu\":1e19", "$.room.gpu"},
        {"\"gpu\":0", "\"gpu\":-1", "$.room.gpu"},
        {"\"born\":1700000000000", "\"born\":1e300", "$.born"},
        {"\"born\":1700000000000", "\"born\":9007199254740993", "$.born"},
        {"\"born\":1700000000000", "\"born\":-1e300", "$.born"},
        {"\"born\":1700000000000", "\"born\":1700000000000.5", "$.born"},
        {"\"born\":1700000000000", "\"born\":null", "$.born"},
        {"\"seq\":1", "\"seq\":1e300", "$.seq"},
        {"\"seq\":1", "\"seq\":-1", "$.seq"},
        {"\"slots\":8", "\"slots\":1e300", "$.slots"},
    };
    expect_errors(members, G_N_ELEMENTS(members));
}

static void
test_member_of_another_type(void)
{
    char *name = g_strnfill(256, 'n');
    char *long_pool = g_strdup_printf("\"service\":\"%s\"", name);
    const struct odd_member members[] = {
        {"\"service\":\"p\"", "\"service\":7", "$.service"},
        {"\"service\":\"p\"", "\"service\":\"\"", "$.service"},
        {"\"service\":\"p\"", "\"service\":\"p\\n\"", "$.service"},
        {"\"service\":\"p\"", "\"service\":\"p\\\"\"", "$.service"},
        {"\"service\":\"p\"", long_pool, "$.service"},
        {"\"zone\":\"dc\"", "\"zone\":null", "$.zone"},
        {"\"machine\":\"m0\"", "\"machine\":[]", "$.machine"},
        {"\"state\":\"ready\"", "\"state\":\"idle\"", "$.state"},
        {"\"address\":\"127.0.0.1:80\"", "\"address\":80", "$.address"},
        {"[\"a\",\"r1\"]", "[\"a\",1]", "$.labels[1]"},
        {"[\"a\",\"r1\"]", "\"r1\"", "$.labels"},
        {"{\"cpu\":16000,\"mem_mb\":64000,\"gpu\":0}", "[]", "$.room"},
    };
    expect_errors(members, G_N_ELEMENTS(members));
    g_free(long_pool);
    g_free(name);
}

static void
test_address_that_is_none(void)
{
    static const char *const addresses[] = {
        "127.0.0.1:65536",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1:+80",
        "127.0.0.1:80x",
        "127.0.0.1: 80",
        "127.0.0.1:",
        "127.0.0.1",
        ":80",
        "",
        "256.0.0.1:80",
        " 127.0.0.1:80",
        "backend.example:80",
        "[::1]:80",
        "127.0.0.1:80\\r\\nX: 1",
        "127.0.0.1:1e3",
        "127.0.0.1:86467",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
        char *address = g_strdup_printf("\"%s\"", addresses[i]);
        const struct odd_member member = {"\"127.0.0.1:80\"", address,
                                          "$.address"};
        expect_errors(&member, 1);
        g_free(address);
    }
}

static void
test_bytes_that_cannot_be_read(void)
{
    static const char with_nul[] = "{\"service\":\"p\0\"}";
    CU_ASSERT_FALSE(usable("b0", "", 0));
    CU_ASSERT_FALSE(usable("b0", "[]", 2));
    CU_ASSERT_FALSE(usable("b0", "null", 4));
    CU_ASSERT_FALSE(usable("b0", good, strlen(good) - 1));
    CU_ASSERT_FALSE(usable("b0", with_nul, sizeof(with_nul) - 1));
    static const struct odd_member not_utf8[] = {
        {"\"machine\":\"m0\"", "\"machine\":\"m\xff\"", "$"},
        {"\"version\":\"v1\"", "\"version\":\"\xc3\x28\"", "$"},
    };
    expect_errors(not_utf8, G_N_ELEMENTS(not_utf8));
}

static void
test_deep_nesting(void)
{
    char *open = g_strnfill(NESTING, '[');
    char *close = g_strnfill(NESTING, ']');
    char *member = g_strdup_printf("\"version\":%s%s", open, close);
    char *text = changed("\"version\":\"v1\"", member);
    CU_ASSERT_FALSE(usable("b0", text, strlen(text)));
    CU_ASSERT_FALSE(usable("b0", open, NESTING));
    g_free(text);
    g_free(member);
    g_free(open);
    g_free(close);
}

/* The id goes into a header, into log lines and into keys, which have at most
 * 200 bytes. */
static void
test_id_that_no_key_takes(void)
{
    char *longest = g_strnfill(KEY_BYTES_MAX - strlen("servers/"), 'b');
    const char *const ids[] = {
        "", "b 0", "b0\r\nX: 1", "b\"0", "b\\0", "b\xff", longest,
    };
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        CU_ASSERT_FALSE(usable(ids[i], good, strlen(good)));
    }
    CU_ASSERT(usable("i-0-0_a.b:c/d", good, strlen(good)));
    g_free(longest);
}

/* An entry names the host of a backend server and a start time far beyond any
 * clock. The run there is not given up for it, and not started again. */
static void
test_start_time_too_large_ends_no_run(void)
{
    static const char *const pools[] = {"p", "p", NULL};
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_hosts(&f, pools);
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_accept_starts(&f);
    const char *host =
        fixture_count(&f, COMMAND_START, "b0") > 0 ? "m0" : "m1";
    char *text = g_strdup_printf(
        "{\"service\":\"p\",\"address\":\"127.0.0.1:80\",\"zone\":\"dc\","
        "\"slots\":8,\"state\":\"ready\",\"machine\":\"%s\",\"room\":{"
        "\"cpu\":16000,\"mem_mb\":64000,\"gpu\":0},\"born\":1e18,\"seq\":1}",
        host);
    struct backend_entry entry;
    char *error = NULL;
    if (decode_backend("odd", text, strlen(text), &entry, &error)) {
        scheduler_backend_updated(f.sched, &entry);
    }
    fixture_tick(&f, f.now_ms + 10);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    backend_entry_clear(&entry);
    g_free(error);
    g_free(text);
    fixture_clear(&f);
}

/* Lists an entry of a pool that the configuration doesn't name, on the host of
 * a backend server and with a later start. */
static void
add_unnamed_pool(struct fleet_fixture *f, const char *host)
{
    f->incarnation_start_ms = 2;
    fixture_add_backend(f, "odd", "unnamed", host);
    f->incarnation_start_ms = 1;
}

/* Such an entry ends no run of the host that it names. */
static void
test_unnamed_pool_ends_no_run(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, "b0"), 1);
    fixture_accept_starts(&f);
    add_unnamed_pool(&f, "m0");
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_tick(&f, f.now_ms + 10);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* A new leader reads the entries before it applies the configuration. The
 * heartbeats that follow restore the host. */
static void
test_unnamed_pool_read_before_configuration(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    scheduler_configure(f.sched, NULL);
    add_unnamed_pool(&f, "m0");
    fixture_add_backend(&f, "b0", "p", "m0");
    scheduler_configure(f.sched, f.config);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, "b0"), 1);
    fixture_accept_starts(&f);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_tick(&f, f.now_ms + 10);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, NULL), 1);
    fixture_clear(&f);
}

/* The entry of a backend server is replaced by one that can't be read, which
 * counts as missing. Its run goes on under its lease, and its completion
 * counts; nothing new starts there. */
static void
test_unusable_entry_keeps_runs(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 0);
    fixture_add_backend(&f, "b0", "p", "m0");
    fixture_reconcile(&f);
    fixture_add_job(&f, JOB_A, "p", one_task);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL_FATAL(fixture_count(&f, COMMAND_START, "b0"), 1);
    fixture_accept_starts(&f);
    uint32_t number = fixture_last(&f, COMMAND_START)->number;
    uint32_t requests = fixture_count(&f, COMMAND_REQUEST_REPORT, "b0");
    scheduler_backend_removed(f.sched, "b0");
    fixture_add_backend(&f, "b1", "p", "m1");
    fixture_tick(&f, f.now_ms + 10);
    fixture_report(&f, "b1", NULL, 0, NULL, 0);
    for (int32_t percent = 1; percent < 60; percent++) {
        struct reported_run running = {.task = JOB_A ".0.0.0",
                                       .number = number,
                                       .saved = "",
                                       .percent = percent};
        fixture_tick(&f, f.now_ms + 200);
        /* One request for each report, each of which extends the lease. */
        CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_REQUEST_REPORT, "b0"),
                        requests + (uint32_t)percent);
        fixture_report(&f, "b0", &running, 1, NULL, 0);
    }
    struct run_completion done = {.number = 1,
                                  .task = JOB_A ".0.0.0",
                                  .run = number,
                                  .reason = END_DONE,
                                  .saved = ""};
    fixture_report(&f, "b0", NULL, 0, &done, 1);
    fixture_tick(&f, f.now_ms + 10);
    fixture_add_job(&f, JOB_B, "p", one_task);
    fixture_tick(&f, f.now_ms + 10);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b0"), 1);
    CU_ASSERT_EQUAL(fixture_count(&f, COMMAND_START, "b1"), 1);
    fixture_clear(&f);
}

/* A random change of @text: a byte, a piece that is left out or repeated, or a
 * piece of JSON that is inserted. */
static void
mutate(GRand *random, GString *text)
{
    static const char *const pieces[] = {
        "1e308",   "-1",   "1e999", "9223372036854775808",
        "null",    "{}",   "[",     "\"\"",
        "\\u0000", "\xff", "0.5",   "}",
    };
    gssize at = g_rand_int_range(random, 0, (gint32)text->len + 1);
    gssize left = (gssize)text->len - at;
    gssize bytes = g_rand_int_range(random, 0, 12);
    bytes = MIN(bytes, left);
    switch (g_rand_int_range(random, 0, 4)) {
    case 0:
        if (left > 0) {
            text->str[at] = (char)g_rand_int_range(random, 0, 256);
        }
        break;
    case 1:
        g_string_erase(text, at, bytes);
        break;
    case 2: {
        char *piece = g_strndup(text->str + at, (gsize)bytes);
        g_string_insert(text, at, piece);
        g_free(piece);
        break;
    }
    default:
        g_string_erase(text, at, bytes);
        g_string_insert(
            text, at,
            pieces[g_rand_int_range(random, 0, (gint32)G_N_ELEMENTS(pieces))]);
        break;
    }
}

static void
check_entry(const struct backend_entry *entry, const char *text)
{
    bool valid =
        entry->capacity.cpu_milli >= 0 &&
        entry->capacity.cpu_milli <= INT32_MAX &&
        entry->capacity.mem_mb >= 0 && entry->capacity.mem_mb <= INT32_MAX &&
        entry->capacity.gpus >= 0 && entry->capacity.gpus <= INT32_MAX &&
        entry->incarnation_start_ms >= 0 &&
        entry->incarnation_start_ms <= 4102444800000 &&
        entry->pool[0] != '\0' && entry->data_centre[0] != '\0' &&
        entry->labels != NULL;
    if (!valid) {
        printf("%s\n", text);
        CU_FAIL("a usable entry is out of bounds");
    }
}

static void
test_random_changes(void)
{
    GRand *random = g_rand_new_with_seed(FUZZ_SEED);
    uint32_t n_usable = 0;
    for (int round = 0; round < FUZZ_ROUNDS; round++) {
        GString *text = g_string_new(good);
        int changes = g_rand_int_range(random, 1, FUZZ_CHANGES_MAX + 1);
        for (int i = 0; i < changes; i++) {
            mutate(random, text);
        }
        /* Without a byte behind it, so that a read beyond it is found. */
        char *bytes = g_memdup2(text->str, text->len);
        struct backend_entry entry;
        char *error = NULL;
        if (decode_backend("b0", bytes, text->len, &entry, &error)) {
            check_entry(&entry, text->str);
            n_usable++;
        }
        else {
            CU_ASSERT_PTR_NOT_NULL(error);
        }
        backend_entry_clear(&entry);
        g_free(error);
        g_free(bytes);
        g_string_free(text, TRUE);
    }
    /* Else the changes would prove nothing. */
    CU_ASSERT(n_usable > FUZZ_ROUNDS / 100);
    CU_ASSERT(n_usable < FUZZ_ROUNDS);
    g_rand_free(random);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a capacity that shrinks to nothing",
         test_capacity_shrinks_to_nothing},
        {"a good entry is read", test_good_entry},
        {"optional members may be missing", test_optional_members},
        {"a number out of range", test_number_out_of_range},
        {"a member of another type", test_member_of_another_type},
        {"an address that is none", test_address_that_is_none},
        {"bytes that cannot be read", test_bytes_that_cannot_be_read},
        {"deep nesting", test_deep_nesting},
        {"an id that no key takes", test_id_that_no_key_takes},
        {"a start time too large ends no run",
         test_start_time_too_large_ends_no_run},
        {"an unnamed pool ends no run", test_unnamed_pool_ends_no_run},
        {"an unnamed pool is read before the configuration",
         test_unnamed_pool_read_before_configuration},
        {"an unusable entry keeps its runs", test_unusable_entry_keeps_runs},
        {"random changes of an entry", test_random_changes},
    };
    return suite_main("jobs odd entry", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
