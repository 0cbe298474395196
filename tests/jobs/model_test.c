/*
 * Seeded schedules of takeovers, commands, leases and storing. Arguments:
 * number of schedules, first seed, anything more prints what happens; CI runs
 * a few.
 */
#include <stdio.h>
#include <stdlib.h>

#include "../suite.h"
#include "model.h"

enum {
    SCHEDULE_COUNT = 400,
    /* A violation must show within this many schedules when a mechanism is
     * switched off. */
    MUTATION_SCHEDULES_MAX = 600,
};

static uint32_t schedules = SCHEDULE_COUNT;
static uint32_t first_seed = 1;

static void
test_schedules(void)
{
    uint32_t n_violating = 0;
    uint32_t unfinished = 0;
    uint64_t starts = 0;
    uint64_t takeovers = 0;
    for (uint32_t seed = first_seed; seed < first_seed + schedules; seed++) {
        struct model_result result = model_run(seed, MUTATION_NONE);
        starts += result.starts;
        takeovers += result.takeovers;
        unfinished += result.unfinished;
        if (result.violation != NULL && n_violating++ < 5) {
            printf("seed %u: %s\n", seed, result.violation);
        }
        if (result.unfinished > 0 && unfinished < 10) {
            printf("seed %u: %u unfinished\n", seed, result.unfinished);
        }
    }
    printf("%u schedules, %lu starts, %lu takeovers, %u violating, "
           "%u unfinished\n",
           schedules, (unsigned long)starts, (unsigned long)takeovers,
           n_violating, unfinished);
    CU_ASSERT_EQUAL(n_violating, 0);
    CU_ASSERT_EQUAL(unfinished, 0);
    CU_ASSERT(starts > schedules * 10);
    CU_ASSERT(takeovers > schedules);
}

/* A leader that handles nothing for a while serves less and breaks nothing. */
static void
test_slow_leaders(void)
{
    uint32_t violating = 0;
    uint32_t unfinished = 0;
    for (uint32_t seed = first_seed; seed < first_seed + schedules; seed++) {
        struct model_result result = model_run_faults(
            seed, (struct model_faults){.slow_leaders = true});
        unfinished += result.unfinished;
        if (result.violation != NULL && violating++ < 5) {
            printf("seed %u: %s\n", seed, result.violation);
        }
    }
    printf("%u schedules, %u violating, %u unfinished\n", schedules, violating,
           unfinished);
    CU_ASSERT_EQUAL(violating, 0);
    CU_ASSERT_EQUAL(unfinished, 0);
}

/* After one takeover or several in a row, what backend servers that are cut
 * off run under an earlier leader counts against a client account's maximum.
 */
static void
test_limited(void)
{
    uint32_t violating = 0;
    uint32_t unfinished = 0;
    for (uint32_t seed = first_seed; seed < first_seed + schedules; seed++) {
        struct model_result result = model_run_faults(
            seed, (struct model_faults){.limited = true,
                                        .slow_leaders = seed % 2 == 0});
        unfinished += result.unfinished;
        if (result.violation != NULL && violating++ < 5) {
            printf("seed %u: %s\n", seed, result.violation);
        }
        if (result.unfinished > 0 && unfinished < 10) {
            printf("seed %u: %u unfinished\n", seed, result.unfinished);
        }
    }
    printf("%u schedules, %u violating, %u unfinished\n", schedules, violating,
           unfinished);
    CU_ASSERT_EQUAL(violating, 0);
    CU_ASSERT_EQUAL(unfinished, 0);
}

/* A leader stood still until it gave a report request up. The answer, made
 * before a run started, was read as that to the next request. */
static void
test_late_report(void)
{
    static const uint32_t seeds[] = {23657};
    for (size_t i = 0; i < sizeof(seeds) / sizeof(seeds[0]); i++) {
        struct model_result result = model_run_faults(
            seeds[i], (struct model_faults){.slow_leaders = true});
        CU_ASSERT_PTR_NULL(result.violation);
    }
}

/* A write that is carried out late undoes no later one. */
static void
test_late_writes(void)
{
    uint32_t violating = 0;
    uint32_t unfinished = 0;
    for (uint32_t seed = first_seed; seed < first_seed + schedules; seed++) {
        struct model_result result =
            model_run_faults(seed, (struct model_faults){.late_writes = true});
        unfinished += result.unfinished;
        if (result.violation != NULL && violating++ < 5) {
            printf("seed %u: %s\n", seed, result.violation);
        }
        if (result.unfinished > 0 && unfinished < 10) {
            printf("seed %u: %u unfinished\n", seed, result.unfinished);
        }
    }
    printf("%u schedules, %u violating, %u unfinished\n", schedules, violating,
           unfinished);
    CU_ASSERT_EQUAL(violating, 0);
    CU_ASSERT_EQUAL(unfinished, 0);
}

/* Without any one of the mechanisms the model finds a violation. */
static void
test_mutations(void)
{
    for (int m = MUTATION_NONE + 1; m < MUTATION_COUNT; m++) {
        uint32_t first = 0;
        const char *violation = NULL;
        for (uint32_t seed = 1; seed <= MUTATION_SCHEDULES_MAX && first == 0;
             seed++) {
            struct model_result result =
                model_run(seed, (enum model_mutation)m);
            if (result.violation != NULL) {
                first = seed;
                violation = result.violation;
            }
        }
        printf("%s: seed %u, %s\n",
               model_mutation_name((enum model_mutation)m), first,
               violation == NULL ? "not detected" : violation);
        CU_ASSERT(first > 0);
    }
}

int
main(int argc, char **argv)
{
    if (argc > 1) {
        schedules = (uint32_t)strtoul(argv[1], NULL, 10);
    }
    if (argc > 2) {
        first_seed = (uint32_t)strtoul(argv[2], NULL, 10);
    }
    model_set_trace(argc > 3);
    static const struct suite_test tests[] = {
        {"no seeded schedule violates an invariant", test_schedules},
        {"slow leaders violate no invariant", test_slow_leaders},
        {"a late run report shows no absence", test_late_report},
        {"late writes of the store violate no invariant", test_late_writes},
        {"takeovers violate no limit of a client account", test_limited},
        {"the model detects each missing mechanism", test_mutations},
    };
    return suite_main("jobs model", tests, sizeof(tests) / sizeof(tests[0]));
}
