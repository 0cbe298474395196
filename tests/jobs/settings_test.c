/* Settings of egretjobd that name no address to call. */
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>

#include "../suite.h"
#include "platform/job_settings.h"

/* The settings with these parts; true if they are accepted. Otherwise
 * @place is where the only finding is. */
static bool
accepted(const char *port, const char *store, const char *hosts,
         const char *place)
{
    char *text = g_strdup_printf(
        "{\"node_name\":\"n\",\"zone\":\"dc\",\"ip\":\"127.0.0.1\","
        "\"internal_ports\":[%s],\"listen\":{\"front\":\"127.0.0.1:1\","
        "\"ready\":\"127.0.0.1:2\"},\"platform\":{\"address\":\"%s\"},"
        "\"cloud\":{\"address\":\"%s\"}}",
        port, store, hosts);
    char *path = NULL;
    int file = g_file_open_tmp("settings-XXXXXX", &path, NULL);
    CU_ASSERT_FATAL(file >= 0);
    g_close(file, NULL);
    CU_ASSERT_FATAL(g_file_set_contents(path, text, -1, NULL));
    struct findings *findings = findings_create();
    struct job_settings *settings = job_settings_read(path, findings);
    bool read = settings != NULL;
    if (!read) {
        CU_ASSERT_EQUAL(findings_count(findings), 1);
        CU_ASSERT_STRING_EQUAL(findings_get(findings, 0)->path, place);
    }
    job_settings_destroy(settings);
    findings_destroy(findings);
    g_remove(path);
    g_free(path);
    g_free(text);
    return read;
}

static void
test_address_that_is_none(void)
{
    static const char good[] = "10.0.0.1:80";
    static const char *const none[] = {
        "store.example:80", "10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1", "",
    };
    CU_ASSERT(accepted("7000", good, good, NULL));
    for (size_t i = 0; i < G_N_ELEMENTS(none); i++) {
        CU_ASSERT_FALSE(accepted("7000", none[i], good, "$.platform.address"));
        CU_ASSERT_FALSE(accepted("7000", good, none[i], "$.cloud.address"));
    }
}

static void
test_port_out_of_range(void)
{
    static const char good[] = "10.0.0.1:80";
    /* The port after the first one is used, too. */
    static const char *const none[] = {"0", "65535", "-1", "1e300", "7000.5"};
    for (size_t i = 0; i < G_N_ELEMENTS(none); i++) {
        CU_ASSERT_FALSE(accepted(none[i], good, good, "$.internal_ports"));
    }
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"an address that is none", test_address_that_is_none},
        {"a port out of range", test_port_out_of_range},
    };
    return suite_main("jobs settings", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
