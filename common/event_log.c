#include "common/event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <limits.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/text.h"

enum {
    /* Per event name; keeps the cost of writing below 2.5 % of a core (a tenth
     * of a quarter core). */
    EVENT_LINES_PER_S_MAX = 200,
    /* Total of all events. The first lines of each event in a second are
     * exempt, so that rare events are not dropped. */
    TOTAL_LINES_PER_S_MAX = 400,
    EXEMPT_LINES_PER_S = 20,
    /* A pipe takes a line of this size whole or not at all. */
    LINE_MAX_BYTES = PIPE_BUF,
};

struct budget {
    int64_t second;
    uint32_t lines;
};

static char *node_name;
static GHashTable *budgets;
static struct budget total_budget;
static uint64_t dropped;

void
event_log_open(const char *node)
{
    g_free(node_name);
    node_name = g_strdup(node);
    g_clear_pointer(&budgets, g_hash_table_unref);
    budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

static bool
within_budget(const char *event, int64_t second)
{
    struct budget *budget = g_hash_table_lookup(budgets, event);
    if (budget == NULL) {
        budget = g_new0(struct budget, 1);
        g_hash_table_insert(budgets, g_strdup(event), budget);
    }
    if (budget->second != second) {
        *budget = (struct budget){.second = second};
    }
    if (total_budget.second != second) {
        total_budget = (struct budget){.second = second};
    }
    if (budget->lines >= EVENT_LINES_PER_S_MAX) {
        return false;
    }
    budget->lines++;
    return budget->lines <= EXEMPT_LINES_PER_S ||
           total_budget.lines++ < TOTAL_LINES_PER_S_MAX;
}

static bool
write_line(const char *line, size_t bytes)
{
    return write(STDOUT_FILENO, line, bytes) == (ssize_t)bytes;
}

static GString *
line_start(int64_t unix_ms, const char *event)
{
    GString *line = g_string_new(NULL);
    g_string_append_printf(line,
                           "{\"t\":%" G_GINT64_FORMAT ",\"node\":", unix_ms);
    text_add_json(line, node_name);
    g_string_append_printf(line, ",\"event\":\"%s\"", event);
    return line;
}

/* Frees @line; false if it was not written. */
static bool
line_finish(GString *line)
{
    g_string_append(line, "}\n");
    bool written = write_line(line->str, line->len);
    g_string_free(line, TRUE);
    return written;
}

static void
report_dropped(int64_t unix_ms)
{
    GString *line = line_start(unix_ms, "log_dropped");
    g_string_append_printf(line, ",\"lines\":%" G_GUINT64_FORMAT, dropped);
    if (line_finish(line)) {
        dropped = 0;
    }
}

void
event_log(const char *event, const char *fields, ...)
{
    if (budgets == NULL) {
        return;
    }
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    int64_t unix_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    if (!within_budget(event, now.tv_sec)) {
        dropped++;
        return;
    }
    if (dropped > 0) {
        report_dropped(unix_ms);
    }
    GString *line = line_start(unix_ms, event);
    if (fields[0] != '\0') {
        g_string_append_c(line, ',');
        va_list args;
        va_start(args, fields);
        g_string_append_vprintf(line, fields, args);
        va_end(args);
    }
    if (line->len + strlen("}\n") > LINE_MAX_BYTES) {
        size_t bytes = line->len;
        g_string_free(line, TRUE);
        line = line_start(unix_ms, "log_too_long");
        g_string_append_printf(
            line, ",\"of\":\"%s\",\"bytes\":%" G_GSIZE_FORMAT, event, bytes);
    }
    if (!line_finish(line)) {
        dropped++;
    }
}
