/*
 * Configuration documents: the shipped examples are valid and survive being
 * written and read again, every mistake is reported at once with its place,
 * and keys are found and checked.
 */
#include "../suite.h"
#include "common/config.h"
#include "common/json_read.h"
#include "common/key.h"

static struct config *
parse(const char *text, struct findings *findings)
{
    JsonNode *root = json_read_text(text, -1, "test", findings);
    CU_ASSERT_PTR_NOT_NULL_FATAL(root);
    struct config *config = config_parse(root, "test", findings);
    json_node_unref(root);
    return config;
}

static bool
has_finding(const struct findings *findings, const char *path)
{
    for (size_t i = 0; i < findings_count(findings); i++) {
        if (g_str_equal(findings_get(findings, i)->path, path)) {
            return true;
        }
    }
    printf("no finding at %s\n", path);
    return false;
}

static void
check_example(const char *name)
{
    char *path = g_build_filename(getenv("EXAMPLES"), name, NULL);
    struct findings *findings = findings_create();
    JsonNode *root = json_read_file(path, findings);
    CU_ASSERT_PTR_NOT_NULL_FATAL(root);
    struct config *config = config_parse(root, name, findings);
    findings_print(findings, stdout);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    CU_ASSERT_EQUAL(config->n_teams, 6);
    CU_ASSERT_EQUAL(config->n_pools, 6);
    JsonNode *written = config_to_json(config);
    struct config *again = config_parse(written, name, findings);
    CU_ASSERT_PTR_NOT_NULL_FATAL(again);
    JsonNode *rewritten = config_to_json(again);
    CU_ASSERT(json_node_equal(written, rewritten));
    json_node_unref(rewritten);
    json_node_unref(written);
    json_node_unref(root);
    config_destroy(again);
    config_destroy(config);
    findings_destroy(findings);
    g_free(path);
}

static void
test_examples(void)
{
    check_example("skela.json");
    check_example("tresses.json");
}

static void
test_all_findings_at_once(void)
{
    struct findings *findings = findings_create();
    CU_ASSERT_PTR_NULL(parse(
        "{\"service_unit\": \"hour\", \"colour\": 1,"
        "\"data_centres\": [{\"name\": \"a\", \"region\": \"r\"}, 7,"
        "  {\"name\": \"a\", \"region\": \"r\", \"state\": \"off\"}],"
        "\"pools\": [{\"name\": \"p\", \"min_available_hosts\": 4,"
        "  \"min_hosts\": 3, \"max_hosts\": 5},"
        "  {\"name\": \"s\", \"spare\": true, \"max_hosts\": 0,"
        "   \"min_available_per_dc_hosts\": 1},"
        "  {\"name\": \"m\", \"min_hosts\": 3, \"max_hosts\": 2}],"
        "\"queues\": [{\"name\": \"q\", \"pool\": \"none\","
        "  \"start_deadline_ms\": 0, \"max_run_ms\": 1,"
        "  \"open_team\": \"nobody\"},"
        "  {\"name\": \"Q\", \"pool\": \"s\", \"start_deadline_ms\": 1}],"
        "\"teams\": [{\"name\": \"t\", \"share_permille\": 600,"
        "  \"max_running\": 1, \"keys\": [{\"id\": \"k\","
        "  \"sha256\": \"00\"}, {\"id\": \"k\"}]},"
        "  {\"name\": \"u\", \"share_permille\": 600,"
        "   \"max_running\": -1}]}",
        findings));
    static const char *const places[] = {
        "$.service_unit",
        "$.colour",
        "$.data_centres[1]",
        "$.data_centres[2].name",
        "$.data_centres[2].state",
        "$.pools[0].min_available_hosts",
        "$.pools[1].min_available_per_dc_hosts",
        "$.pools[2].min_hosts",
        "$.queues[0].pool",
        "$.queues[0].start_deadline_ms",
        "$.queues[0].open_team",
        "$.queues[1].name",
        "$.queues[1].pool",
        "$.queues[1].max_run_ms",
        "$.teams",
        "$.teams[0].keys[0].sha256",
        "$.teams[0].keys[1].id",
        "$.teams[1].max_running",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(places); i++) {
        CU_ASSERT(has_finding(findings, places[i]));
    }
    findings_destroy(findings);
}

static void
test_keys(void)
{
    char text[KEY_TEXT_MAX_BYTES + 1];
    char id[KEY_ID_BYTES + 1];
    CU_ASSERT(key_generate(text));
    CU_ASSERT(key_parse_id(text, id));
    struct config_key key = {.id = id};
    key_hash(text, key.hash_hex);
    CU_ASSERT(key_matches(text, &key));
    text[strlen(text) - 1] ^= 1;
    CU_ASSERT_FALSE(key_matches(text, &key));
    static const char *const malformed[] = {"", "egk.", "egk.a.b", "bearer"};
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        CU_ASSERT_FALSE(key_parse_id(malformed[i], id));
    }
}

static void
test_find_key(void)
{
    struct findings *findings = findings_create();
    GString *text = g_string_new(
        "{\"service_unit\": \"task\", \"pools\": [], \"queues\": [],"
        "\"data_centres\": [{\"name\": \"a\", \"region\": \"r\"}],"
        "\"teams\": [");
    for (unsigned i = 0; i < 40; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\": \"t%u\", \"share_permille\": 1, \"max_running\": 1,"
            "\"keys\": [{\"id\": \"z%u\", \"sha256\": \"%064u\"},"
            "{\"id\": \"a%u\", \"sha256\": \"%064u\"}]}",
            i == 0 ? "" : ",", i, i, i, i, i);
    }
    g_string_append(text, "]}");
    struct config *config = parse(text->str, findings);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    for (unsigned i = 0; i < 40; i++) {
        char id[16];
        char team_name[16];
        const struct config_team *team = NULL;
        g_snprintf(id, sizeof(id), "%c%u", i % 2 == 0 ? 'z' : 'a', i);
        g_snprintf(team_name, sizeof(team_name), "t%u", i);
        const struct config_key *key = config_find_key(config, id, &team);
        CU_ASSERT_PTR_NOT_NULL_FATAL(key);
        CU_ASSERT_STRING_EQUAL(team->name, team_name);
        CU_ASSERT_PTR_EQUAL(team, config_find_team(config, team_name));
    }
    const struct config_team *team = NULL;
    CU_ASSERT_PTR_NULL(config_find_key(config, "b1", &team));
    config_destroy(config);
    findings_destroy(findings);
    g_string_free(text, TRUE);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"examples", test_examples},
        {"all findings at once", test_all_findings_at_once},
        {"keys", test_keys},
        {"find key", test_find_key},
    };
    return suite_main("config", tests, G_N_ELEMENTS(tests));
}
