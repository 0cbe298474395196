#include "common/event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
    /* Per event name; keeps the cost of writing below 2.5 % of a core (a tenth
     * of a quarter core). */
    EVENT_LINES_PER_S_MAX = 200,
    /* Total of all events. The first lines of each event in a second are
     * exempt, so that rare events are not dropped. */
    TOTAL_LINES_PER_S_MAX = 400,
    EXEMPT_LINES_PER_S = 20,
    LINE_MAX_BYTES = 1000,
};

struct budget {
    int64_t second;
    uint32_t lines;
};

static char node_name[64];
static GHashTable *budgets;
static struct budget total_budget;
static uint64_t dropped;

void
event_log_open(const char *node)
{
    g_strlcpy(node_name, node, sizeof(node_name));
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

static void
report_dropped(int64_t unix_ms)
{
    char line[LINE_MAX_BYTES];
    int bytes = snprintf(line, sizeof(line),
                         "{\"t\":%" G_GINT64_FORMAT
                         ",\"node\":\"%s\",\"event\":\"log_dropped\","
                         "\"lines\":%" G_GUINT64_FORMAT "}\n",
                         unix_ms, node_name, dropped);
    if (write_line(line, (size_t)bytes)) {
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
    char line[LINE_MAX_BYTES];
    int bytes = snprintf(
        line, sizeof(line),
        "{\"t\":%" G_GINT64_FORMAT ",\"node\":\"%s\",\"event\":\"%s\"%s",
        unix_ms, node_name, event, fields[0] == '\0' ? "" : ",");
    va_list args;
    va_start(args, fields);
    bytes += vsnprintf(line + bytes, sizeof(line) - (size_t)bytes - 3, fields,
                       args);
    va_end(args);
    if (bytes > LINE_MAX_BYTES - 4) {
        dropped++;
        return;
    }
    line[bytes++] = '}';
    line[bytes++] = '\n';
    if (!write_line(line, (size_t)bytes)) {
        dropped++;
    }
}
