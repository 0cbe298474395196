/* Texts from outside that must not be cut short in silence. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../suite.h"
#include "common/json_read.h"
#include "common/log.h"
#include "common/status.h"
#include "common/text.h"

/* Position of the only finding in @text, or NULL if it is read; g_free(). */
static char *
refusal(const char *text, size_t size_bytes)
{
    struct findings *findings = findings_create();
    JsonNode *root =
        json_read_text(text, (int64_t)size_bytes, "test", findings);
    char *reason = NULL;
    if (root == NULL) {
        CU_ASSERT_EQUAL_FATAL(findings_count(findings), 1);
        reason = g_strdup(findings_get(findings, 0)->reason);
    }
    g_clear_pointer(&root, json_node_unref);
    findings_destroy(findings);
    return reason;
}

/* Guards against names of a configuration of which only the part before
 * U+0000 is applied. */
static void
test_json_that_would_be_cut(void)
{
    static const struct {
        const char *text;
        size_t size_bytes;
        const char *reason;
    } texts[] = {
#define TEXT(text, reason) {text, sizeof(text) - 1, reason}
        TEXT("{\"a\":\"x\\u0000y\"}", "byte 8: "),
        TEXT("{\"a\\u0000b\":\"x\"}", "byte 4: "),
        TEXT("{\"a\":\"\\\\\\u0000\"}", "byte 9: "),
        TEXT("{\"a\":\"x\\ud800y\"}", "byte 8: "),
        TEXT("{\"a\":\"x\\ud800\\u0041\"}", "byte 8: "),
        TEXT("{\"a\":\"x\\udc00\"}", "byte 8: "),
        TEXT("{\"a\":\"x\\u00zz\"}", "byte 8: "),
        TEXT("{\"a\":\"x\\u00", "byte 8: "),
        TEXT("{\"a\":\"x\xFFy\"}", ""),
        TEXT("{\"a\":\"x\0y\"}", ""),
        TEXT("{\"a\":\"x\"}\0", ""),
        TEXT("{\"a\":\"\\\\u0000\\u0001\\ud83d\\ude80\"}", NULL),
        TEXT("{\"a\":\"\\\\\"}", NULL),
#undef TEXT
    };
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        char *reason = refusal(texts[i].text, texts[i].size_bytes);
        if ((reason == NULL) != (texts[i].reason == NULL) ||
            (reason != NULL && !g_str_has_prefix(reason, texts[i].reason))) {
            printf("%zu: %s\n", i, reason == NULL ? "is read" : reason);
            CU_FAIL("a text that is cut short");
        }
        g_free(reason);
    }
}

static void
test_quoted_values_are_whole(void)
{
    char *name = g_strnfill(300, 'n');
    CU_ASSERT_STRING_EQUAL(log_quote(name), name);
    CU_ASSERT_STRING_EQUAL(log_quote("a b\"\\\n\xC3\xA9"),
                           "\"a b\\\"\\\\\\x0a\\xc3\\xa9\"");
    char *spaced = g_strconcat(name, " ", name, NULL);
    CU_ASSERT_EQUAL(strlen(log_quote(spaced)), strlen(spaced) + 2);
    g_free(spaced);
    g_free(name);
}

static void
test_log_lines_are_whole(void)
{
    char *path = NULL;
    int file = g_file_open_tmp("log-XXXXXX", &path, NULL);
    CU_ASSERT_FATAL(file >= 0);
    fflush(stderr);
    int saved = dup(STDERR_FILENO);
    dup2(file, STDERR_FILENO);
    char *name = g_strnfill(9000, 'n');
    log_open("test", LOG_LEVEL_INFO);
    log_line(LOG_LEVEL_INFO, "long", "name=%s end=1", name);
    log_close();
    fflush(stderr);
    dup2(saved, STDERR_FILENO);
    close(saved);
    close(file);
    char *text = NULL;
    CU_ASSERT_FATAL(g_file_get_contents(path, &text, NULL, NULL));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, name));
    CU_ASSERT(g_str_has_suffix(text, " end=1\n"));
    unlink(path);
    g_free(path);
    g_free(text);
    g_free(name);
}

static void
test_cut_message_says_so(void)
{
    struct status status;
    char *name = g_strnfill(STATUS_MESSAGE_BYTES, 'n');
    status_set(&status, STATUS_INVALID, "key %s", name);
    CU_ASSERT(g_str_has_suffix(status.message, "n [...]"));
    CU_ASSERT_EQUAL(strlen(status.message), STATUS_MESSAGE_BYTES - 1);
    status_set(&status, STATUS_INVALID, "key n");
    CU_ASSERT_STRING_EQUAL(status.message, "key n");
    g_free(name);
}

/* Every text comes back as it was. */
static void
test_held_texts(void)
{
    static const struct {
        const char *utf8;
        size_t bytes;
        const char *json;
        const char *escaped;
    } texts[] = {
        {"", 0, "\"\"", ""},
        {"\0", 1, "\"\\u0000\"", "%00"},
        {"a\0\0z", 4, "\"a\\u0000\\u0000z\"", "a%00%00z"},
        {"\xC3\xA9 /\"", 5, "\"\xC3\xA9 /\\\"\"", "%C3%A9%20/%22"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        char *text = text_create(texts[i].utf8, texts[i].bytes);
        char *escaped = text_uri_escape(text, "/");
        char *unescaped = text_uri_unescape(escaped);
        CU_ASSERT_EQUAL(text_utf8_bytes(text), texts[i].bytes);
        CU_ASSERT_STRING_EQUAL(text_quote(text), texts[i].json);
        CU_ASSERT_STRING_EQUAL(escaped, texts[i].escaped);
        CU_ASSERT_STRING_EQUAL(unescaped, text);
        g_free(text);
        g_free(escaped);
        g_free(unescaped);
    }
    CU_ASSERT_PTR_NULL(text_uri_unescape("%FF"));
    CU_ASSERT_PTR_NULL(text_uri_unescape("%C0%80"));
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"JSON that would be cut short is refused",
         test_json_that_would_be_cut},
        {"quoted values are whole", test_quoted_values_are_whole},
        {"log lines are whole", test_log_lines_are_whole},
        {"a message that is cut says so", test_cut_message_says_so},
        {"texts are held whole", test_held_texts},
    };
    return suite_main("texts", tests, G_N_ELEMENTS(tests));
}
