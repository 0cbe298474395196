/* Hosts of recent commands, which limit what the next leaders may do. */
#include "egretjobd/recent_hosts.h"

#include <glib.h>
#include <string.h>

#include "../suite.h"

static void
count_host(void *count, const char *host)
{
    (void)host;
    (*(uint32_t *)count)++;
}

/* The second of two leaders in a row stored the hosts of its own commands
 * only, and the third counted none that the first had sent. */
static void
test_host_commands(void)
{
    struct recent_hosts *second = recent_hosts_create();
    uint32_t n_inherited = 0;
    recent_hosts_inherit(second, "m1 m2", 11000, count_host, &n_inherited);
    CU_ASSERT_EQUAL(n_inherited, 2);
    recent_hosts_add(second, "m3", 6000);
    /* Its own command doesn't shorten the time of the earlier one. */
    recent_hosts_add(second, "m1", 6000);
    char *record = recent_hosts_encode(second, 2000);
    struct recent_hosts *third = recent_hosts_create();
    n_inherited = 0;
    recent_hosts_inherit(third, record, 20000, count_host, &n_inherited);
    CU_ASSERT_EQUAL(n_inherited, 3);
    g_free(record);
    record = recent_hosts_encode(second, 7000);
    CU_ASSERT_PTR_NULL(strstr(record, "m3"));
    CU_ASSERT_PTR_NOT_NULL(strstr(record, "m1"));
    g_free(record);
    record = recent_hosts_encode(second, 11001);
    CU_ASSERT_STRING_EQUAL(record, "");
    g_free(record);
    recent_hosts_destroy(second);
    recent_hosts_destroy(third);
}

static void
keep_host(void *hosts, const char *host)
{
    g_hash_table_add(hosts, g_strdup(host));
}

/* Guards against a host whose name has a space being counted as two others by
 * the next leader, which then sends commands about it too early. */
static void
test_odd_host_names(void)
{
    static const char *const names[] = {
        "rack 1 host 2", " m", "m ", "100%", "%20", "a\xC0\x80z", "\n"};
    struct recent_hosts *first = recent_hosts_create();
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        recent_hosts_add(first, names[i], 6000);
    }
    char *record = recent_hosts_encode(first, 2000);
    CU_ASSERT(g_str_is_ascii(record));
    struct recent_hosts *second = recent_hosts_create();
    GHashTable *hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    recent_hosts_inherit(second, record, 8000, keep_host, hosts);
    CU_ASSERT_EQUAL(g_hash_table_size(hosts), G_N_ELEMENTS(names));
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        CU_ASSERT(g_hash_table_contains(hosts, names[i]));
    }
    g_hash_table_unref(hosts);
    g_free(record);
    recent_hosts_destroy(first);
    recent_hosts_destroy(second);
}

int
main(void)
{
    const struct suite_test tests[] = {
        {"commands of earlier leaders stay on record", test_host_commands},
        {"a host keeps its name whatever is in it", test_odd_host_names},
    };
    return suite_main("recent hosts", tests, G_N_ELEMENTS(tests));
}
