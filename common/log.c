#include "common/log.h"

#include <glib.h>
#include <log4c.h>
#include <stdio.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>

enum {
    QUOTE_BUFFER_COUNT = 8,
};

static log4c_category_t *category;
static enum log_level threshold = LOG_LEVEL_INFO;

static const int priorities[] = {
    [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
    [LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
    [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
    [LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

static const char *
format_event(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    (void)layout;
    static GString *line;
    char stamp[32];
    struct tm utc;
    gmtime_r(&event->evt_timestamp.tv_sec, &utc);
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
    if (line == NULL) {
        line = g_string_new(NULL);
    }
    g_string_printf(line, "time=%s.%03ldZ level=%s prog=%s %s\n", stamp,
                    (long)event->evt_timestamp.tv_usec / 1000,
                    log4c_priority_to_string(event->evt_priority),
                    event->evt_category, event->evt_msg);
    return line->str;
}

static const log4c_layout_type_t layout_type = {
    .name = "egret_key_value",
    .format = format_event,
};

static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    (void)appender;
    return fputs(event->evt_rendered_msg, stderr);
}

/* log4c's stream appender writes its own name before every line. */
static const log4c_appender_type_t appender_type = {
    .name = "egret_stderr",
    .append = append_line,
};

void
log_open(const char *program, enum log_level level)
{
    threshold = level;
    log4c_init();
    log4c_layout_type_set(&layout_type);
    log4c_layout_t *layout = log4c_layout_get("egret_layout");
    log4c_layout_set_type(layout, &layout_type);
    log4c_appender_type_set(&appender_type);
    log4c_appender_t *appender = log4c_appender_get("egret_stderr");
    log4c_appender_set_type(appender, &appender_type);
    log4c_appender_set_layout(appender, layout);
    category = log4c_category_get(program);
    log4c_category_set_appender(category, appender);
    log4c_category_set_additivity(category, 0);
    log4c_category_set_priority(category, priorities[level]);
}

void
log_close(void)
{
    category = NULL;
    log4c_fini();
}

bool
log_enabled(enum log_level level)
{
    return category != NULL && level <= threshold;
}

void
log_line(enum log_level level, const char *event, const char *format, ...)
{
    if (!log_enabled(level)) {
        return;
    }
    GString *text = g_string_new(NULL);
    g_string_printf(text, "event=%s ", event);
    va_list args;
    va_start(args, format);
    g_string_append_vprintf(text, format, args);
    va_end(args);
    log4c_category_log(category, priorities[level], "%s", text->str);
    g_string_free(text, TRUE);
}

static bool
is_plain(const char *text)
{
    for (const char *c = text; *c != '\0'; c++) {
        if (!g_ascii_isgraph(*c) || *c == '"' || *c == '=' || *c == '\\') {
            return false;
        }
    }
    return text[0] != '\0';
}

const char *
log_quote(const char *text)
{
    static GString *buffers[QUOTE_BUFFER_COUNT];
    static unsigned next;
    if (text == NULL) {
        return "-";
    }
    if (is_plain(text)) {
        return text;
    }
    GString **out = &buffers[next++ % QUOTE_BUFFER_COUNT];
    if (*out == NULL) {
        *out = g_string_new(NULL);
    }
    g_string_assign(*out, "\"");
    for (const char *c = text; *c != '\0'; c++) {
        if (*c == '"' || *c == '\\') {
            g_string_append_c(*out, '\\');
            g_string_append_c(*out, *c);
        }
        else if (g_ascii_isprint(*c)) {
            g_string_append_c(*out, *c);
        }
        else {
            g_string_append_printf(*out, "\\x%02x", (unsigned char)*c);
        }
    }
    g_string_append_c(*out, '"');
    return (*out)->str;
}
