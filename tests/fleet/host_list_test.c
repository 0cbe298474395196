/* Parsing of the platform's host list and of stored host records. */
#include <glib.h>
#include <string.h>

#include "../suite.h"
#include "core/host_shard.h"
#include "store/host_list.h"

static const char list_text[] =
    "[{\"Node\": {\"Node\": \"w2\", \"Datacenter\": \"split\","
    "  \"Meta\": {\"rack\": \"r1\"}},"
    "  \"Service\": {\"Address\": \"127.0.0.1\", \"Port\": 9002, \"Meta\":"
    "   {\"slots\": \"4\", \"connections\": \"32\", \"state\": \"leaving\"}},"
    "  \"Checks\": [{\"Status\": \"passing\"}]},"
    " {\"Node\": {\"Node\": \"w1\", \"Datacenter\": \"split\","
    "  \"Meta\": {\"rack\": \"r1\"}},"
    "  \"Service\": {\"Address\": \"127.0.0.1\", \"Port\": 9001, \"Meta\":"
    "   {\"state\": \"live\", \"pool\": \"permits\"}},"
    "  \"Checks\": [{\"Status\": \"passing\"}, {\"Status\": \"critical\"}]},"
    " {\"Node\": 7}, {\"Node\": {\"Node\": \"w3\", \"Datacenter\": \"split\","
    "  \"Meta\": {\"rack\": \"r1\"}},"
    "  \"Service\": {\"Address\": \"127.0.0.1\", \"Port\": 0, \"Meta\": {}},"
    "  \"Checks\": []}]";

/* Malformed entries are reported and left out; the others are read, sorted by
 * name. A host is live if all its checks pass. */
static void
test_list(void)
{
    struct findings *findings = findings_create();
    size_t n = 0;
    struct host_list_host *hosts =
        host_list_parse(list_text, strlen(list_text), &n, findings);
    CU_ASSERT_EQUAL_FATAL(n, 2);
    CU_ASSERT_STRING_EQUAL(hosts[0].name, "w1");
    CU_ASSERT_STRING_EQUAL(hosts[0].address, "127.0.0.1:9001");
    CU_ASSERT_STRING_EQUAL(hosts[0].pool, "permits");
    CU_ASSERT_EQUAL(hosts[0].slots, 8);
    CU_ASSERT_FALSE(hosts[0].live);
    CU_ASSERT(hosts[1].live);
    CU_ASSERT(hosts[1].leaving);
    CU_ASSERT_EQUAL(hosts[1].slots, 4);
    CU_ASSERT_STRING_EQUAL(findings_get(findings, 0)->path, "$[2].Node");
    struct host_list_view view = {.hosts = hosts, .n_hosts = n};
    CU_ASSERT_PTR_EQUAL(host_list_find(&view, "w2"), &hosts[1]);
    CU_ASSERT_PTR_NULL(host_list_find(&view, "w3"));
    host_list_hosts_free(hosts, n);
    findings_destroy(findings);
}

static void
test_list_is_no_array(void)
{
    struct findings *findings = findings_create();
    size_t n = 0;
    CU_ASSERT_PTR_NULL(host_list_parse("{}", 2, &n, findings));
    CU_ASSERT_PTR_NULL(host_list_parse("[", 1, &n, findings));
    CU_ASSERT_EQUAL(findings_count(findings), 2);
    /* A list truncated at any length must be refused: the missing hosts would
     * look removed. */
    for (size_t i = 0; i + 1 < strlen(list_text); i++) {
        CU_ASSERT_PTR_NULL(host_list_parse(list_text, i, &n, findings));
    }
    struct host_list_host *none =
        host_list_parse(" [ ] ", strlen(" [ ] "), &n, findings);
    CU_ASSERT_PTR_NOT_NULL(none);
    CU_ASSERT_EQUAL(n, 0);
    host_list_hosts_free(none, n);
    findings_destroy(findings);
}

/* Brackets and quotes inside strings must not end an entry. */
static void
test_brackets_in_names(void)
{
    const char *text = "[{\"Node\": {\"Node\": \"a\\\"],{\", \"Datacenter\":"
                       " \"d\", \"Meta\": {\"rack\": \"r]\"}}, \"Service\":"
                       " {\"Address\": \"127.0.0.1\", \"Port\": 1, \"Meta\":"
                       " {}}, \"Checks\": []}]";
    struct findings *findings = findings_create();
    size_t n = 0;
    struct host_list_host *hosts =
        host_list_parse(text, strlen(text), &n, findings);
    CU_ASSERT_EQUAL_FATAL(n, 1);
    CU_ASSERT_STRING_EQUAL(hosts[0].name, "a\"],{");
    CU_ASSERT_STRING_EQUAL(hosts[0].rack, "r]");
    host_list_hosts_free(hosts, n);
    findings_destroy(findings);
}

/* Invalid records in a shard are reported, and kept when the shard is written
 * again; the valid ones stay usable. */
static void
test_damaged_record_is_kept(void)
{
    const char *text =
        "{\"write\": \"a:1\", \"hosts\": {"
        "\"w1\": {\"pool\": \"p\", \"dc\": \"d\", \"rack\": \"r\","
        " \"state\": \"draining\", \"admission\": 7, \"target\": \"q\"},"
        "\"w2\": {\"pool\": \"p\", \"dc\": \"d\", \"rack\": \"r\","
        " \"state\": \"asleep\"}, \"w3\": 1}}";
    struct findings *findings = findings_create();
    struct host_shard *shard =
        host_shard_parse(text, strlen(text), "hosts/00", findings);
    CU_ASSERT_PTR_NOT_NULL_FATAL(shard);
    CU_ASSERT_EQUAL(findings_count(findings), 2);
    size_t size_bytes = 0;
    char *again = host_shard_serialise(shard, &size_bytes);
    struct host_shard *copy =
        host_shard_parse(again, size_bytes, "hosts/00", findings);
    CU_ASSERT_EQUAL(findings_count(findings), 4);
    CU_ASSERT_EQUAL(g_hash_table_size(copy->hosts), 1);
    CU_ASSERT_EQUAL(g_hash_table_size(copy->damaged), 2);
    const struct host_record *record = g_hash_table_lookup(copy->hosts, "w1");
    CU_ASSERT_EQUAL(record->state, HOST_DRAINING);
    CU_ASSERT_EQUAL(record->admission, 7);
    CU_ASSERT_STRING_EQUAL(record->target, "q");
    host_shard_destroy(shard);
    host_shard_destroy(copy);
    g_free(again);
    findings_destroy(findings);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"list", test_list},
        {"list is no array", test_list_is_no_array},
        {"brackets in names", test_brackets_in_names},
        {"damaged record is kept", test_damaged_record_is_kept},
    };
    return suite_main("hosts", tests, G_N_ELEMENTS(tests));
}
