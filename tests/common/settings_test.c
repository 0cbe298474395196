/*
 * Settings files: defaults are filled in, and every mistake of a file is
 * reported in one go, so that an operator need not start the process again
 * for each.
 */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "../suite.h"
#include "common/request_auth.h"
#include "common/settings.h"

static char *
write_file(const char *text)
{
    char *path = NULL;
    int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);
    CU_ASSERT_FATAL(fd >= 0);
    g_close(fd, NULL);
    CU_ASSERT(g_file_set_contents(path, text, -1, NULL));
    return path;
}

static void
test_defaults(void)
{
    char *path = write_file("{\"name\": \"entry-1\", \"dc\": \"split-1\","
                            " \"address\": \"127.0.0.1\", \"http_port\": 8080,"
                            " \"store_url\": \"http://127.0.0.1:8500\","
                            " \"secret_file\": \"/run/secret\"}");
    struct findings *findings = findings_create();
    struct settings *settings = settings_read(path, findings);
    CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
    CU_ASSERT_EQUAL(findings_count(findings), 0);
    CU_ASSERT_STRING_EQUAL(settings->hosts_url, "http://127.0.0.1:8500");
    CU_ASSERT_EQUAL(settings->quorum_lease_ms, 2000);
    CU_ASSERT_EQUAL(settings->max_connections, 16384);
    CU_ASSERT_EQUAL(settings->max_buffered_bytes, 1 << 30);
    CU_ASSERT_EQUAL(settings->head_timeout_ms, 30000);
    CU_ASSERT_EQUAL(settings->stall_timeout_ms, 60000);
    settings_destroy(settings);
    findings_destroy(findings);
    remove(path);
    g_free(path);
}

static void
test_all_mistakes_at_once(void)
{
    char *path =
        write_file("{\"name\": 7, \"address\": \"here\", \"http_port\": 70000,"
                   " \"store_url\": \"ftp://x\", \"log_level\": \"loud\","
                   " \"support_ms\": -1, \"max_inflight\": \"many\","
                   " \"max_connections\": 2, \"head_timeout_ms\": 0,"
                   " \"stall_timeout_ms\": \"long\","
                   " \"max_body_bytes\": 1000, \"max_buffered_bytes\": 1999,"
                   " \"heartbeat_ms\": 1900, \"colour\": \"blue\"}");
    struct findings *findings = findings_create();
    CU_ASSERT_PTR_NULL(settings_read(path, findings));
    const char *const places[] = {
        "$.name",
        "$.dc",
        "$.address",
        "$.http_port",
        "$.store_url",
        "$.log_level",
        "$.support_ms",
        "$.secret_file",
        "$.max_inflight",
        "$.heartbeat_ms",
        "$.colour",
        "$.max_connections",
        "$.max_buffered_bytes",
        "$.head_timeout_ms",
        "$.stall_timeout_ms",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(places); i++) {
        bool found = false;
        for (size_t k = 0; k < findings_count(findings); k++) {
            found |= g_str_equal(findings_get(findings, k)->path, places[i]);
        }
        if (!found) {
            printf("no finding at %s\n", places[i]);
        }
        CU_ASSERT(found);
    }
    findings_destroy(findings);
    remove(path);
    g_free(path);
}

static void
test_request_auth(void)
{
    char *value = request_auth_sign("secret", "POST", "/a", "x");
    CU_ASSERT(request_auth_verify("secret", "POST", "/a", "x", value));
    CU_ASSERT_FALSE(request_auth_verify("other", "POST", "/a", "x", value));
    CU_ASSERT_FALSE(request_auth_verify("secret", "GET", "/a", "x", value));
    CU_ASSERT_FALSE(request_auth_verify("secret", "POST", "/a", "y", value));
    CU_ASSERT_FALSE(request_auth_verify("secret", "POST", "/a", "x", "junk"));
    CU_ASSERT_FALSE(request_auth_verify("secret", "POST", "/a", "x", NULL));
    g_free(value);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"defaults", test_defaults},
        {"all mistakes at once", test_all_mistakes_at_once},
        {"request auth", test_request_auth},
    };
    return suite_main("settings", tests, G_N_ELEMENTS(tests));
}
