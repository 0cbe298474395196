/*
 * Randomly edited configurations, heads and settings: a parser either accepts
 * a document or reports findings, never both or neither, without crashing or
 * GLib warnings.
 */
#include <glib/gstdio.h>
#include <stdbool.h>
#include <string.h>

#include "../suite.h"
#include "common/json_read.h"
#include "common/random.h"
#include "common/settings.h"
#include "store/config_parts.h"

enum {
    ROUNDS = 4000,
    SETTINGS_ROUNDS = 1500,
    MUTATIONS_MAX = 6,
    PIECE_MAX_BYTES = 24,
};

static const char *const fragments[] = {
    "null",
    "{}",
    "[]",
    "\"\"",
    "-1",
    "1e400",
    "9223372036854775808",
    "true",
    "[[[[[[",
    "\"\\u0000\"",
    "\xff\xfe",
    ":",
    ",",
    "\"name\"",
};

/* One edit: overwrite a byte, delete a piece, repeat one, or insert a
 * fragment. */
static void
mutate_once(GString *text, struct random *random)
{
    uint32_t offset = random_below(random, (uint32_t)text->len);
    uint32_t size = random_below(random, PIECE_MAX_BYTES);
    size = MIN(size, (uint32_t)text->len - offset);
    const char *fragment =
        fragments[random_below(random, G_N_ELEMENTS(fragments))];
    char *piece = g_strndup(text->str + offset, size);
    switch (random_below(random, 4)) {
    case 0:
        text->str[offset] = (char)random_below(random, 256);
        break;
    case 1:
        g_string_erase(text, offset, size);
        break;
    case 2:
        g_string_insert(text, offset, piece);
        break;
    default:
        g_string_insert(text, offset, fragment);
        break;
    }
    g_free(piece);
}

static GString *
mutate_text(const char *original, struct random *random)
{
    GString *text = g_string_new(original);
    uint32_t n_mutations = 1 + random_below(random, MUTATIONS_MAX);
    for (uint32_t i = 0; i < n_mutations && text->len > 0; i++) {
        mutate_once(text, random);
    }
    return text;
}

/* An accepted configuration is the same after being split into parts and
 * joined again. */
static void
check_round_trip(const struct config *config, struct findings *findings)
{
    GTree *texts = config_split(config);
    struct config_head head = {
        .generation = 1,
        .id = "x",
        .parts = config_part_keys(texts),
    };
    struct config *joined = config_join(&head, texts, findings);
    CU_ASSERT_PTR_NOT_NULL_FATAL(joined);
    JsonNode *before = config_to_json(config);
    JsonNode *after = config_to_json(joined);
    CU_ASSERT(json_node_equal(before, after));
    json_node_unref(before);
    json_node_unref(after);
    config_destroy(joined);
    g_tree_unref(head.parts);
    g_tree_unref(texts);
}

static unsigned
try_config(const GString *text)
{
    struct findings *findings = findings_create();
    JsonNode *root =
        json_read_text(text->str, (int64_t)text->len, "fuzz", findings);
    struct config *config =
        root == NULL ? NULL : config_parse(root, "fuzz", findings);
    CU_ASSERT_EQUAL(config == NULL, findings_count(findings) > 0);
    if (config != NULL) {
        check_round_trip(config, findings);
    }
    bool accepted = config != NULL;
    config_destroy(config);
    g_clear_pointer(&root, json_node_unref);
    findings_destroy(findings);
    return accepted;
}

static void
test_config(void)
{
    char *path = g_build_filename(getenv("EXAMPLES"), "skela.json", NULL);
    char *original = NULL;
    CU_ASSERT_FATAL(g_file_get_contents(path, &original, NULL, NULL));
    unsigned accepted = 0;
    for (unsigned seed = 0; seed < ROUNDS; seed++) {
        struct random random = random_seeded(seed);
        GString *text = mutate_text(original, &random);
        accepted += try_config(text);
        g_string_free(text, TRUE);
    }
    /* Some documents have to be accepted and some rejected, else the edits
     * change too much or too little. */
    CU_ASSERT(accepted > 0 && accepted < ROUNDS);
    g_free(original);
    g_free(path);
}

static void
test_head(void)
{
    static const char original[] =
        "{\"generation\":7,\"id\":\"0123456789abcdef\",\"previous\":\"\","
        "\"written_s\":1,\"author\":\"a\",\"summary\":\"s\",\"parts\":"
        "{\"base\":\"base/0123456789abcdef\","
        "\"teams.07\":\"teams.07/0123456789abcdef\"}}";
    unsigned accepted = 0;
    for (unsigned seed = 0; seed < ROUNDS; seed++) {
        struct random random = random_seeded(seed);
        GString *text = mutate_text(original, &random);
        struct findings *findings = findings_create();
        struct config_head *head =
            config_head_parse(text->str, (int64_t)text->len, findings);
        CU_ASSERT_EQUAL(head == NULL, findings_count(findings) > 0);
        if (head != NULL) {
            char *rendered = config_head_render(head);
            struct config_head *again =
                config_head_parse(rendered, -1, findings);
            CU_ASSERT_PTR_NOT_NULL(again);
            config_head_destroy(again);
            g_free(rendered);
            accepted++;
        }
        config_head_destroy(head);
        findings_destroy(findings);
        g_string_free(text, TRUE);
    }
    CU_ASSERT(accepted > 0 && accepted < ROUNDS);
}

static void
test_settings(void)
{
    static const char original[] =
        "{\"name\": \"entry-1\", \"dc\": \"split-1\","
        " \"address\": \"127.0.0.1\", \"http_port\": 8080,"
        " \"peer_port\": 8081, \"store_url\": \"http://127.0.0.1:8500\","
        " \"secret_file\": \"/run/secret\", \"log_level\": \"info\","
        " \"support_ms\": 2000, \"heartbeat_ms\": 500}";
    char *path = NULL;
    int fd = g_file_open_tmp("fuzz-XXXXXX", &path, NULL);
    CU_ASSERT_FATAL(fd >= 0);
    g_close(fd, NULL);
    for (unsigned seed = 0; seed < SETTINGS_ROUNDS; seed++) {
        struct random random = random_seeded(seed);
        GString *text = mutate_text(original, &random);
        struct findings *findings = findings_create();
        CU_ASSERT(g_file_set_contents_full(path, text->str, (gssize)text->len,
                                           G_FILE_SET_CONTENTS_NONE, 0600,
                                           NULL));
        struct settings *settings = settings_read(path, findings);
        CU_ASSERT_EQUAL(settings == NULL, findings_count(findings) > 0);
        settings_destroy(settings);
        findings_destroy(findings);
        g_string_free(text, TRUE);
    }
    remove(path);
    g_free(path);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"configuration", test_config},
        {"head", test_head},
        {"settings", test_settings},
    };
    g_log_set_always_fatal(G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING |
                           G_LOG_FATAL_MASK);
    return suite_main("document fuzz", tests, G_N_ELEMENTS(tests));
}
