/*
 * Parts of a process start in the order of their registration and stop in
 * reverse; a restart also restarts the parts after it, which may use it, and a
 * failed start stops what already runs.
 */
#include <glib.h>
#include <string.h>

#include "../suite.h"
#include "common/supervisor.h"

static GString *trace;

static bool
start_part(void *ctx, struct status *status)
{
    if (g_str_equal(ctx, "bad")) {
        status_set(status, STATUS_INTERNAL, "cannot start");
        return false;
    }
    g_string_append_printf(trace, "+%s", (const char *)ctx);
    return true;
}

static void
stop_part(void *ctx)
{
    g_string_append_printf(trace, "-%s", (const char *)ctx);
}

static void
add_part(struct supervisor *supervisor, const char *name)
{
    supervisor_add(supervisor, &(struct supervisor_child){
                                   .name = name,
                                   .start = start_part,
                                   .stop = stop_part,
                                   .ctx = (void *)name,
                               });
}

static void
test_start_and_stop_order(void)
{
    struct status status;
    status_clear(&status);
    trace = g_string_new(NULL);
    struct supervisor *supervisor = supervisor_create();
    add_part(supervisor, "a");
    add_part(supervisor, "b");
    add_part(supervisor, "c");
    CU_ASSERT(supervisor_start(supervisor, &status));
    CU_ASSERT(supervisor_restart(supervisor, "b", &status));
    supervisor_destroy(supervisor);
    CU_ASSERT_STRING_EQUAL(trace->str, "+a+b+c-c-b+b+c-c-b-a");
    g_string_free(trace, TRUE);
}

static void
test_failed_start_stops_running_parts(void)
{
    struct status status;
    status_clear(&status);
    trace = g_string_new(NULL);
    struct supervisor *supervisor = supervisor_create();
    add_part(supervisor, "a");
    add_part(supervisor, "bad");
    CU_ASSERT_FALSE(supervisor_start(supervisor, &status));
    CU_ASSERT_EQUAL(status.code, STATUS_INTERNAL);
    CU_ASSERT_STRING_EQUAL(trace->str, "+a-a");
    supervisor_destroy(supervisor);
    g_string_free(trace, TRUE);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"start and stop order", test_start_and_stop_order},
        {"failed start stops running parts",
         test_failed_start_stops_running_parts},
    };
    return suite_main("supervisor", tests, G_N_ELEMENTS(tests));
}
