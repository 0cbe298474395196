#include "task_spec.h"

#include <string.h>

enum {
    SPEC_MAX_BYTES = 512
};

static enum disconnect_point
disconnect_by_name(const char *name)
{
    static const char *const names[] = {
        "none", "before", "after_read", "mid_answer", "truncate",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (g_str_equal(name, names[i])) {
            return (enum disconnect_point)i;
        }
    }
    return DISCONNECT_NONE;
}

static void
apply_token(struct task_spec *spec, const char *name, const char *value)
{
    if (g_str_equal(name, "tag")) {
        g_free(spec->tag);
        spec->tag = g_strdup(value);
    }
    else if (g_str_equal(name, "run_ms")) {
        spec->run_ms = g_ascii_strtoll(value, NULL, 10);
    }
    else if (g_str_equal(name, "answer_bytes")) {
        spec->response_bytes = g_ascii_strtoll(value, NULL, 10);
    }
    else if (g_str_equal(name, "fail")) {
        spec->fail = g_str_equal(value, "1");
    }
    else if (g_str_equal(name, "close")) {
        spec->disconnect = disconnect_by_name(value);
    }
    else if (g_str_equal(name, "truncate")) {
        spec->disconnect = DISCONNECT_CLOSE_MID_RESPONSE;
    }
}

void
task_spec_parse(struct task_spec *spec, const char *body, size_t size_bytes)
{
    *spec = (struct task_spec){.run_ms = TASK_DEFAULT_RUN_MS};
    char *text =
        g_strndup(body == NULL ? "" : body, MIN(size_bytes, SPEC_MAX_BYTES));
    char **tokens = g_strsplit_set(text, " \n", -1);
    for (char **token = tokens; *token != NULL; token++) {
        char *equals = strchr(*token, '=');
        if (equals != NULL) {
            *equals = '\0';
            apply_token(spec, *token, equals + 1);
        }
    }
    g_strfreev(tokens);
    g_free(text);
}

void
task_spec_clear(struct task_spec *spec)
{
    g_clear_pointer(&spec->tag, g_free);
}

GBytes *
task_spec_response(const struct task_spec *spec, const char *body,
                   size_t size_bytes)
{
    if (spec->response_bytes == 0) {
        return g_bytes_new(body, size_bytes);
    }
    size_t wanted_bytes = (size_t)spec->response_bytes;
    GString *text = g_string_sized_new(wanted_bytes + 128);
    g_string_printf(text, "tag=%s request_bytes=%zu\n",
                    spec->tag == NULL ? "-" : spec->tag, size_bytes);
    size_t head_bytes = text->len;
    while (text->len < wanted_bytes) {
        g_string_append_len(text, text->str, (gssize)head_bytes);
    }
    g_string_truncate(text, wanted_bytes);
    return g_string_free_to_bytes(text);
}
