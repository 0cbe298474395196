/* Timeline of one job, merged from the logs of all entry hosts. */
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "common/json_read.h"

/* How a log line begins. */
#define TIME_MEMBER "{\"t\":"

/* Events of the leader or the store, which concern every unfinished job. */
static const char *const fleet_events[] = {
    "duty_won",         "duty_lost",     "leadership_handover", "leader_ready",
    "orders_suspended", "store_relayed", "store_failed",        "shedding",
};

/**
 * struct timeline_event - one log line
 * @at_ms: wall time
 * @text: text to print; indented if the line is not about this job
 */
struct timeline_event {
    int64_t at_ms;
    char *text;
};

static void
timeline_event_free(void *data)
{
    struct timeline_event *event = data;
    g_free(event->text);
    g_free(event);
}

static int
compare_timeline_events(const void *a, const void *b)
{
    const struct timeline_event *x = *(const struct timeline_event *const *)a;
    const struct timeline_event *y = *(const struct timeline_event *const *)b;
    return x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms;
}

static void
add_member(JsonObject *object, const char *name, JsonNode *node, void *ctx)
{
    (void)object;
    GString *text = ctx;
    if (strcmp(name, "t") == 0 || strcmp(name, "node") == 0 ||
        strcmp(name, "event") == 0 || !JSON_NODE_HOLDS_VALUE(node)) {
        return;
    }
    if (json_node_get_value_type(node) == G_TYPE_STRING) {
        g_string_append_printf(text, " %s=%s", name,
                               json_node_get_string(node));
    }
    else {
        g_string_append_printf(text, " %s=%" G_GINT64_FORMAT, name,
                               json_node_get_int(node));
    }
}

static void
add_timeline_event(GPtrArray *events, const char *log_line, bool about_fleet)
{
    JsonParser *parser = json_parser_new();
    JsonNode *root = json_load_text(parser, log_line, strlen(log_line), NULL)
                         ? json_parser_get_root(parser)
                         : NULL;
    if (root != NULL && JSON_NODE_HOLDS_OBJECT(root)) {
        JsonObject *object = json_node_get_object(root);
        struct timeline_event *event = g_new0(struct timeline_event, 1);
        GString *text = g_string_new(NULL);
        event->at_ms = json_object_get_int_member_with_default(object, "t", 0);
        g_string_append_printf(
            text, "%s%-14s %-18s", about_fleet ? "  " : "",
            json_object_get_string_member_with_default(object, "node", "?"),
            json_object_get_string_member_with_default(object, "event", "?"));
        json_object_foreach_member(object, add_member, text);
        event->text = g_string_free(text, FALSE);
        g_ptr_array_add(events, event);
    }
    else if (g_str_has_prefix(log_line, TIME_MEMBER)) {
        /* A text in it can't be printed; shown as it stands in the log. */
        struct timeline_event *event = g_new0(struct timeline_event, 1);
        event->at_ms =
            g_ascii_strtoll(log_line + strlen(TIME_MEMBER), NULL, 10);
        event->text = g_strdup(log_line);
        g_ptr_array_add(events, event);
    }
    g_object_unref(parser);
}

static bool
is_fleet_event(const char *text)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fleet_events); i++) {
        char *mark = g_strdup_printf("\"event\":\"%s\"", fleet_events[i]);
        bool found = strstr(text, mark) != NULL;
        g_free(mark);
        if (found) {
            return true;
        }
    }
    return false;
}

static bool
read_log(GPtrArray *events, const char *file, const char *id)
{
    char *text = NULL;
    GError *error = NULL;
    if (!g_file_get_contents(file, &text, NULL, &error)) {
        fprintf(stderr, "%s: %s\n", file, error->message);
        g_error_free(error);
        return false;
    }
    char **rows = g_strsplit(text, "\n", 0);
    for (char **row = rows; *row != NULL; row++) {
        bool own = strstr(*row, id) != NULL;
        if (own || is_fleet_event(*row)) {
            add_timeline_event(events, *row, !own);
        }
    }
    g_strfreev(rows);
    g_free(text);
    return true;
}

/* Events that are not about the job are printed only between its first and its
 * last one. */
static void
print_timeline(const GPtrArray *events)
{
    int64_t first_ms = 0;
    int64_t last_ms = 0;
    for (guint i = 0; i < events->len; i++) {
        const struct timeline_event *event = g_ptr_array_index(events, i);
        if (event->text[0] != ' ') {
            first_ms = first_ms == 0 ? event->at_ms : first_ms;
            last_ms = event->at_ms;
        }
    }
    for (guint i = 0; i < events->len; i++) {
        const struct timeline_event *event = g_ptr_array_index(events, i);
        if (event->at_ms >= first_ms && event->at_ms <= last_ms) {
            printf("%+8.3f s  %s\n", (double)(event->at_ms - first_ms) / 1000,
                   event->text);
        }
    }
    if (first_ms == 0) {
        printf("no log line mentions this job\n");
    }
}

enum ctl_exit
command_job(struct ctl *ctl, int n_args, char **args)
{
    (void)ctl;
    GPtrArray *events = g_ptr_array_new_with_free_func(timeline_event_free);
    bool read = true;
    for (int i = 1; i < n_args; i++) {
        read = read_log(events, args[i], args[0]) && read;
    }
    g_ptr_array_sort(events, compare_timeline_events);
    print_timeline(events);
    g_ptr_array_unref(events);
    return read ? CTL_OK : CTL_REFUSED;
}
