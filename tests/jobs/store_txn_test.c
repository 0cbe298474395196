/* Records of backend servers, as a new leader reads them. */
#include <string.h>

#include "../suite.h"
#include "egretjobd/records.h"
#include "fleet_fixture.h"

enum {
    FIRST_START_MS = 1000
};

/* Backend servers that name no host are not incarnations of one host: the
 * later record must not end the earlier one. */
static void
test_records_without_host(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    static const char *const ids[] = {"b1", "b2"};
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        struct backend_entry entry = {
            .id = (char *)ids[i],
            .incarnation_start_ms = FIRST_START_MS,
            .pool = (char *)"p",
            .address = (char *)"127.0.0.1:1",
            .data_centre = (char *)"dc",
        };
        char *value = record_backend_encode(&entry);
        struct backend_entry read;
        CU_ASSERT(record_backend_decode(ids[i], value, strlen(value), &read));
        CU_ASSERT_PTR_NULL(read.host);
        scheduler_backend_inherited(f.sched, &read, 3000);
        backend_entry_clear(&read);
        g_free(value);
    }
    struct sched_stats stats;
    scheduler_stats(f.sched, &stats);
    CU_ASSERT_EQUAL(stats.backends_unreconciled, 2);
    fixture_clear(&f);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"records without a host end no incarnation",
         test_records_without_host},
    };
    return suite_main("jobs store transactions", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
