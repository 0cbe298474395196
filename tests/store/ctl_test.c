/*
 * egretctl against a stand-in store and stand-in gateways: what it reports and
 * the exit code have to agree with what the store holds, also when operators
 * race and answers get lost, and --wait must not take a generation for active
 * before the gateways use exactly that one.
 */
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <string.h>

#include "../suite.h"
#include "store_process.h"

enum {
    OPERATORS = 6,
    GATEWAYS = 3,
    /* Exit codes of egretctl. */
    CODE_OK = 0,
    CODE_REFUSED = 1,
    CODE_USAGE = 2,
    CODE_CONFLICT = 3,
    CODE_NO_STORE = 4,
    CODE_UNKNOWN = 5,
    CODE_PENDING = 6,
};

static struct store_process process;

/* One run of egretctl: its exit code, and what it printed. */
struct ctl_process {
    GSubprocess *child;
    int code;
    char *output;
};

static struct ctl_process
ctl_process_start(const char *arguments)
{
    char *line = g_strdup_printf("%s --store %s %s", getenv("EGRETCTL"),
                                 process.url, arguments);
    char **argv = g_strsplit(line, " ", -1);
    struct ctl_process ctl_process = {
        .child = g_subprocess_newv((const char *const *)argv,
                                   G_SUBPROCESS_FLAGS_STDOUT_PIPE |
                                       G_SUBPROCESS_FLAGS_STDERR_MERGE,
                                   NULL),
    };
    CU_ASSERT_PTR_NOT_NULL_FATAL(ctl_process.child);
    g_strfreev(argv);
    g_free(line);
    return ctl_process;
}

static void
ctl_process_finish(struct ctl_process *ctl_process)
{
    g_subprocess_communicate_utf8(ctl_process->child, NULL, NULL,
                                  &ctl_process->output, NULL, NULL);
    ctl_process->code = g_subprocess_get_exit_status(ctl_process->child);
    g_object_unref(ctl_process->child);
}

/* Runs egretctl, checks its exit code and returns what it printed. */
static char *
run_ctl(const char *arguments, int code)
{
    struct ctl_process ctl_process = ctl_process_start(arguments);
    ctl_process_finish(&ctl_process);
    CU_ASSERT_EQUAL(ctl_process.code, code);
    if (ctl_process.code != code) {
        printf("egretctl %s: %d: %s\n", arguments, ctl_process.code,
               ctl_process.output);
    }
    return ctl_process.output;
}

static void
check_exit_code(const char *arguments, int code)
{
    g_free(run_ctl(arguments, code));
}

static bool
output_contains(const char *arguments, const char *text)
{
    char *output = run_ctl(arguments, CODE_OK);
    bool found = strstr(output, text) != NULL;
    g_free(output);
    return found;
}

static char *
apply_arguments(const char *name)
{
    return g_strdup_printf("apply %s/%s", getenv("EXAMPLES"), name);
}

static void
start_with_example(void)
{
    store_process_start(&process);
    char *apply = apply_arguments("skela.json");
    check_exit_code(apply, CODE_OK);
    g_free(apply);
}

static void
test_apply_keeps_keys_and_states(void)
{
    start_with_example();
    char *key = run_ctl("key issue public", CODE_OK);
    char **parts = g_strsplit(g_strstrip(key), ".", 3);
    CU_ASSERT_FATAL(g_strv_length(parts) == 3);
    check_exit_code("dc out split-1", CODE_OK);
    char *apply = apply_arguments("skela.json");
    check_exit_code(apply, CODE_OK);
    CU_ASSERT(output_contains("key list public", parts[1]));
    CU_ASSERT(output_contains("get", "\"out\""));
    CU_ASSERT_FALSE(output_contains("get", parts[2]));
    CU_ASSERT(output_contains("history", "dc out split-1"));
    char *withdraw = g_strdup_printf("key withdraw %s", parts[1]);
    check_exit_code(withdraw, CODE_OK);
    check_exit_code(withdraw, CODE_REFUSED);
    CU_ASSERT_FALSE(output_contains("key list public", parts[1]));
    CU_ASSERT(output_contains("diff 2 4", "removed"));
    g_free(withdraw);
    g_free(apply);
    g_strfreev(parts);
    g_free(key);
    store_process_stop(&process);
}

static void
test_exit_codes(void)
{
    char *path = NULL;
    start_with_example();
    check_exit_code("", CODE_USAGE);
    check_exit_code("nothing", CODE_USAGE);
    check_exit_code("get --wait", CODE_USAGE);
    check_exit_code("dc out nowhere", CODE_REFUSED);
    check_exit_code("key issue nobody", CODE_REFUSED);
    check_exit_code("maintain start --pool nothing", CODE_REFUSED);
    check_exit_code("gateway forget any", CODE_USAGE);
    check_exit_code("get 7", CODE_REFUSED);
    CU_ASSERT(
        output_contains("status --json", "\"data_centre\" : \"split-1\""));
    CU_ASSERT(output_contains("status --json", "\"hosts\" : null"));
    int fd = g_file_open_tmp("config-XXXXXX", &path, NULL);
    CU_ASSERT_FATAL(fd >= 0);
    g_close(fd, NULL);
    g_file_set_contents(path, "{\"teams\": 3, \"colour\": 1}", -1, NULL);
    char *check = g_strdup_printf("check %s", path);
    char *output = run_ctl(check, CODE_REFUSED);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "$.teams"));
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "$.colour"));
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "$.pools"));
    store_process_faults(&process, "{\"down\": true}");
    check_exit_code("get", CODE_NO_STORE);
    check_exit_code("dc out split-1", CODE_NO_STORE);
    remove(path);
    g_free(output);
    g_free(check);
    g_free(path);
    store_process_stop(&process);
}

/* A key is in the store if egretctl reported success for it, and is not if it
 * reported failure; either is possible for an unknown outcome. */
static void
test_racing_operators(void)
{
    static const char *const teams[OPERATORS] = {
        "adria-gradnja",    "kvarner-skele",  "dalmacija-fasade",
        "split-inspectors", "zagreb-foremen", "public",
    };
    struct ctl_process processes[OPERATORS];
    start_with_example();
    store_process_faults(&process,
                         "{\"lose_answers_percent\": 20, \"seed\": 11}");
    for (unsigned i = 0; i < OPERATORS; i++) {
        char *arguments = g_strdup_printf("key issue %s", teams[i]);
        processes[i] = ctl_process_start(arguments);
        g_free(arguments);
    }
    unsigned n_accepted = 0;
    unsigned n_unknown = 0;
    for (unsigned i = 0; i < OPERATORS; i++) {
        ctl_process_finish(&processes[i]);
        n_accepted += processes[i].code == CODE_OK;
        n_unknown += processes[i].code == CODE_UNKNOWN;
    }
    store_process_faults(&process, "{\"lose_answers_percent\": 0}");
    char *keys = run_ctl("key list", CODE_OK);
    unsigned n_stored = 0;
    for (unsigned i = 0; i < OPERATORS; i++) {
        n_stored += strstr(keys, teams[i]) != NULL;
        if (processes[i].code == CODE_OK) {
            CU_ASSERT_PTR_NOT_NULL(strstr(keys, teams[i]));
        }
        else if (processes[i].code != CODE_UNKNOWN) {
            CU_ASSERT_PTR_NULL(strstr(keys, teams[i]));
        }
        g_free(processes[i].output);
    }
    CU_ASSERT(n_accepted > 0);
    CU_ASSERT(n_stored >= n_accepted && n_stored <= n_accepted + n_unknown);
    char *next = g_strdup_printf("\n%u  ", n_stored + 1);
    CU_ASSERT(output_contains("history", next));
    g_free(next);
    g_free(keys);
    store_process_stop(&process);
}

static void
test_conflicting_applies(void)
{
    store_process_start(&process);
    char *applies[2] = {apply_arguments("skela.json"),
                        apply_arguments("tresses.json")};
    store_process_faults(&process, "{\"delay_ms\": 5}");
    struct ctl_process first = ctl_process_start(applies[0]);
    struct ctl_process second = ctl_process_start(applies[1]);
    ctl_process_finish(&first);
    ctl_process_finish(&second);
    bool one_applied = first.code == CODE_OK || second.code == CODE_OK;
    CU_ASSERT(one_applied);
    for (unsigned i = 0; i < 2; i++) {
        const struct ctl_process *ctl_process = i == 0 ? &first : &second;
        CU_ASSERT(ctl_process->code == CODE_OK ||
                  ctl_process->code == CODE_CONFLICT);
        if (ctl_process->code == CODE_CONFLICT) {
            CU_ASSERT_PTR_NOT_NULL(
                strstr(ctl_process->output, "another change came first"));
        }
    }
    bool skela = output_contains("get", "split-1");
    bool tresses = output_contains("get", "chaguanas-1");
    CU_ASSERT(skela != tresses);
    g_free(first.output);
    g_free(second.output);
    g_free(applies[0]);
    g_free(applies[1]);
    store_process_stop(&process);
}

/* A stand-in gateway that reports the generation and id set by the test. */
struct standin_gateway {
    SoupServer *server;
    uint64_t generation;
    const char *id;
    uint16_t port;
};

static struct standin_gateway gateways[GATEWAYS];

static void
on_status_request(SoupServer *server, SoupServerMessage *message,
                  const char *path, GHashTable *query, void *data)
{
    (void)server;
    (void)path;
    (void)query;
    const struct standin_gateway *gateway = data;
    char *text = g_strdup_printf("{\"generation\": %" G_GUINT64_FORMAT
                                 ", \"config_id\": \"%s\"}",
                                 gateway->generation, gateway->id);
    soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_TAKE, text, strlen(text));
}

static void
start_gateway(struct standin_gateway *gateway)
{
    gateway->server = soup_server_new(NULL, NULL);
    soup_server_add_handler(gateway->server, "/v1/status", on_status_request,
                            gateway, NULL);
    CU_ASSERT(soup_server_listen_local(gateway->server, 0,
                                       SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
    GSList *uris = soup_server_get_uris(gateway->server);
    gateway->port = (uint16_t)g_uri_get_port(uris->data);
    g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
}

static void
write_members(void)
{
    GString *text = g_string_new("{\"epoch\": 1, \"members\": {");
    for (unsigned i = 0; i < GATEWAYS; i++) {
        g_string_append_printf(
            text,
            "%s\"inc-%u\": {\"name\": \"entry-%u\", \"dc\": \"a\","
            "\"address\": \"127.0.0.1\", \"peer_port\": 1,"
            "\"http_port\": %u, \"state\": \"live\"}",
            i == 0 ? "" : ",", i, i, gateways[i].port);
    }
    g_string_append(text, "}}");
    store_process_put(&process, "egretglade/members", text->str);
    g_string_free(text, TRUE);
}

static void
on_communicated(GObject *child, GAsyncResult *result, void *data)
{
    struct ctl_process *ctl_process = data;
    g_subprocess_communicate_utf8_finish(G_SUBPROCESS(child), result,
                                         &ctl_process->output, NULL, NULL);
    ctl_process->code = g_subprocess_get_exit_status(ctl_process->child);
}

/* Runs egretctl while this process serves the requests to the gateways. */
static bool
run_with_gateways(const char *arguments, int code, const char *text)
{
    struct ctl_process ctl_process = ctl_process_start(arguments);
    g_subprocess_communicate_utf8_async(ctl_process.child, NULL, NULL,
                                        on_communicated, &ctl_process);
    while (ctl_process.output == NULL) {
        g_main_context_iteration(NULL, TRUE);
    }
    bool as_expected =
        ctl_process.code == code && strstr(ctl_process.output, text) != NULL;
    if (!as_expected) {
        printf("egretctl %s: %d: %s\n", arguments, ctl_process.code,
               ctl_process.output);
    }
    g_object_unref(ctl_process.child);
    g_free(ctl_process.output);
    return as_expected;
}

static void
set_generations(uint64_t first, uint64_t second, uint64_t third)
{
    gateways[0].generation = first;
    gateways[1].generation = second;
    gateways[2].generation = third;
}

static void
test_wait_for_gateways(void)
{
    start_with_example();
    for (unsigned i = 0; i < GATEWAYS; i++) {
        gateways[i].id = "unknown";
        start_gateway(&gateways[i]);
    }
    write_members();
    set_generations(2, 2, 2);
    /* The same generation with another id is not the written one. */
    CU_ASSERT(run_with_gateways("dc out split-1 --wait=1s", CODE_PENDING,
                                "not yet accepted: in force on 0 of 3"));
    store_process_stop(&process);
    start_with_example();
    write_members();
    set_generations(1, 1, 0);
    char *head = store_process_get(&process, "egretglade/config/head");
    char *id = strstr(head, "\"id\":\"") + strlen("\"id\":\"");
    id[strcspn(id, "\"")] = '\0';
    for (unsigned i = 0; i < GATEWAYS; i++) {
        gateways[i].id = id;
    }
    char *apply = apply_arguments("skela.json --wait=1s");
    CU_ASSERT(run_with_gateways(apply, CODE_PENDING,
                                "is accepted: in force on 2 of"));
    CU_ASSERT(
        run_with_gateways(apply, CODE_PENDING, "pending: entry-2 (older"));
    set_generations(1, 0, 0);
    CU_ASSERT(run_with_gateways(apply, CODE_PENDING, "not yet accepted"));
    set_generations(1, 1, 1);
    CU_ASSERT(
        run_with_gateways(apply, CODE_OK, "in force on 3 of 3 gateways"));
    /* The store was reset to a generation below that of the gateways. */
    set_generations(41, 41, 41);
    CU_ASSERT(
        run_with_gateways(apply, CODE_PENDING, "the store does not know"));
    char *confirmed = apply_arguments("skela.json --yes");
    CU_ASSERT(
        run_with_gateways(confirmed, CODE_OK, "generation 42 is written"));
    for (unsigned i = 0; i < GATEWAYS; i++) {
        g_object_unref(gateways[i].server);
    }
    g_free(head);
    g_free(apply);
    g_free(confirmed);
    store_process_stop(&process);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"apply keeps keys and states", test_apply_keeps_keys_and_states},
        {"exit codes", test_exit_codes},
        {"racing operators", test_racing_operators},
        {"conflicting applies", test_conflicting_applies},
        {"wait for gateways", test_wait_for_gateways},
    };
    return suite_main("egretctl", tests, G_N_ELEMENTS(tests));
}
