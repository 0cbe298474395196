/* Where a job would be placed, as the leader of the job daemons tells it. */
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "common/json_read.h"
#include "table.h"

enum {
    /* The leader answers from memory; a daemon that is stopping may not. */
    TIMEOUT_S = 3,
    /* The first daemon names the leader; while that changes, it may be named
     * twice. */
    REFERRALS_MAX = 3,
    STATUS_NOT_THE_LEADER = 421,
};

/**
 * struct place_answer - answer of a daemon
 * @status: HTTP status; 0: no answer
 * @root: its JSON, or NULL
 */
struct place_answer {
    unsigned status;
    JsonNode *root;
};

static struct place_answer
ask(SoupSession *session, const char *address, const char *query,
    const char *body)
{
    struct place_answer answer = {0};
    char *url = g_strdup_printf("http://%s/explain?%s", address, query);
    SoupMessage *message = soup_message_new("POST", url);
    g_free(url);
    if (message == NULL) {
        return answer;
    }
    GBytes *sent = g_bytes_new(body, strlen(body));
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             sent);
    g_bytes_unref(sent);
    GBytes *received =
        soup_session_send_and_read(session, message, NULL, NULL);
    if (received != NULL) {
        gsize bytes = 0;
        const char *text = g_bytes_get_data(received, &bytes);
        answer.status = soup_message_get_status(message);
        JsonParser *parser = json_parser_new();
        if (text != NULL && json_load_text(parser, text, bytes, NULL)) {
            answer.root = json_parser_steal_root(parser);
        }
        g_object_unref(parser);
        g_bytes_unref(received);
    }
    g_object_unref(message);
    return answer;
}

static const char *
text_of(const struct place_answer *answer, const char *member)
{
    return answer->root == NULL || !JSON_NODE_HOLDS_OBJECT(answer->root)
               ? NULL
               : json_object_get_string_member_with_default(
                     json_node_get_object(answer->root), member, NULL);
}

/* Asks @address, then the leader that it names. */
static struct place_answer
ask_leader(const char *address, const char *query, const char *body)
{
    SoupSession *session =
        soup_session_new_with_options("timeout", TIMEOUT_S, NULL);
    struct place_answer answer = ask(session, address, query, body);
    for (int i = 0; i < REFERRALS_MAX; i++) {
        const char *leader = text_of(&answer, "leader");
        if (answer.status != STATUS_NOT_THE_LEADER || leader == NULL) {
            break;
        }
        struct place_answer next = ask(session, leader, query, body);
        json_node_unref(answer.root);
        answer = next;
    }
    g_object_unref(session);
    return answer;
}

static int64_t
number_of(JsonObject *object, const char *member)
{
    return json_object_get_int_member_with_default(object, member, 0);
}

static void
add_step(struct table *table, JsonObject *step)
{
    static const char *const numbers[] = {
        "step",     "tasks",   "servers", "usable",
        "suitable", "fitting", "allowed", "most_free_milli",
    };
    enum {
        N_NUMBERS = G_N_ELEMENTS(numbers),
    };
    char *texts[N_NUMBERS];
    const char *cells[N_NUMBERS + 2];
    for (size_t i = 0; i < N_NUMBERS; i++) {
        texts[i] =
            g_strdup_printf("%" G_GINT64_FORMAT, number_of(step, numbers[i]));
        cells[i] = texts[i];
    }
    cells[N_NUMBERS] =
        json_object_get_string_member_with_default(step, "backend", NULL);
    cells[N_NUMBERS + 1] =
        json_object_get_string_member_with_default(step, "waits_for", NULL);
    table_add(table, cells);
    for (size_t i = 0; i < N_NUMBERS; i++) {
        g_free(texts[i]);
    }
}

static void
print_explanation(const struct ctl *ctl, JsonNode *root)
{
    if (ctl->options.json) {
        char *text = json_to_string(root, TRUE);
        puts(text);
        g_free(text);
        return;
    }
    static const char *const heading[] = {
        "step",    "tasks",   "servers",    "usable",  "suitable",
        "fitting", "allowed", "free milli", "backend", "waits for",
    };
    JsonObject *object = json_node_get_object(root);
    int64_t retry_after_ms = number_of(object, "retry_after_ms");
    printf("pool %s, %" G_GINT64_FORMAT " jobs of the queue wait; ",
           json_object_get_string_member_with_default(object, "pool", "?"),
           number_of(object, "waiting"));
    if (retry_after_ms > 0) {
        printf("the job would be refused, to be sent again after %.1f s\n",
               (double)retry_after_ms / 1000);
    }
    else {
        puts("the job would be accepted");
    }
    struct table *table = table_create(G_N_ELEMENTS(heading), heading);
    JsonArray *steps = json_object_get_array_member(object, "steps");
    for (guint i = 0; i < json_array_get_length(steps); i++) {
        add_step(table, json_array_get_object_element(steps, i));
    }
    table_print(table, false);
    table_destroy(table);
}

static enum ctl_exit
print_answer(const struct ctl *ctl, const struct place_answer *answer)
{
    if (answer->status == 0) {
        return ctl_fail(CTL_NO_STORE, "no answer from the job daemon");
    }
    if (answer->status != SOUP_STATUS_OK || answer->root == NULL) {
        const char *error = text_of(answer, "error");
        return ctl_fail(CTL_REFUSED, "not explained (%u): %s", answer->status,
                        error == NULL ? "no reason given" : error);
    }
    print_explanation(ctl, answer->root);
    return CTL_OK;
}

enum ctl_exit
command_place(struct ctl *ctl, int n_args, char **args)
{
    char *body = NULL;
    GError *error = NULL;
    if (!g_file_get_contents(args[2], &body, NULL, &error)) {
        enum ctl_exit code =
            ctl_fail(CTL_REFUSED, "%s: %s", args[2], error->message);
        g_error_free(error);
        return code;
    }
    char *queue = g_uri_escape_string(args[1], NULL, FALSE);
    char *account =
        n_args > 3 ? g_uri_escape_string(args[3], NULL, FALSE) : NULL;
    char *query = g_strdup_printf(
        "queue=%s%s%s", queue,
        account == NULL ? "" : "&account=", account == NULL ? "" : account);
    struct place_answer answer = ask_leader(args[0], query, body);
    enum ctl_exit code = print_answer(ctl, &answer);
    if (answer.root != NULL) {
        json_node_unref(answer.root);
    }
    g_free(query);
    g_free(account);
    g_free(queue);
    g_free(body);
    return code;
}
