/*
 * A team never runs more tasks than its limit, under random outages, lost and
 * late messages, kills and pauses of gateways. Two gateways that both count a
 * permit as theirs would break the limit. Switching off any one mechanism
 * that prevents this has to give a violation, else the schedules are too mild
 * to show anything.
 */
#include <inttypes.h>

#include "../suite.h"
#include "model.h"

enum {
    SCHEDULE_COUNT = 1000,
    /* A switched-off mechanism has to give a violation within this many. */
    MUTATION_SCHEDULES_MAX = 1000,
};

static struct model_result
run_schedules(const char *label, uint64_t first_seed, uint64_t n_schedules,
              uint32_t n_violated_max, unsigned mutations)
{
    struct model_result total = {0};
    uint32_t n_violated = 0;
    uint64_t n_run = 0;
    for (uint64_t seed = first_seed;
         n_run < n_schedules && n_violated < n_violated_max; seed++) {
        struct model_result one = model_run(seed, mutations);
        if (one.violations > 0 && mutations == MODEL_MUTATION_NONE) {
            printf("\n    seed %" PRIu64 ": %u violations", seed,
                   one.violations);
        }
        n_run++;
        n_violated += one.violations > 0;
        total.violations += one.violations;
        total.starts += one.starts;
        total.outage_starts += one.outage_starts;
        total.late_outage_starts += one.late_outage_starts;
        total.reclaims += one.reclaims;
        total.joins += one.joins;
    }
    printf("\n    %s: %u of %" PRIu64 " schedules violated, %u starts, %u in "
           "outages (%u late), %u proposals to join, %u to remove ",
           label, n_violated, n_run, total.starts, total.outage_starts,
           total.late_outage_starts, total.joins, total.reclaims);
    return total;
}

static void
test_limit_holds(void)
{
    struct model_result all =
        run_schedules("all mechanisms on", 1, SCHEDULE_COUNT, UINT32_MAX,
                      MODEL_MUTATION_NONE);
    CU_ASSERT_EQUAL(all.violations, 0);
    /* A fleet that starts nothing would also stay within its limit. */
    CU_ASSERT(all.starts > 50 * SCHEDULE_COUNT);
    CU_ASSERT(all.late_outage_starts > 4 * SCHEDULE_COUNT);
    CU_ASSERT(all.reclaims > SCHEDULE_COUNT);
}

static void
check_mutation_found(const char *label, uint64_t first_seed,
                     unsigned mutations)
{
    struct model_result all =
        run_schedules(label, first_seed, MUTATION_SCHEDULES_MAX, 1, mutations);
    CU_ASSERT(all.violations > 0);
}

static void
test_each_mechanism_is_needed(void)
{
    check_mutation_found("no wait for quorum and task leases", 1,
                         MODEL_MUTATION_NO_WAIT);
    check_mutation_found("leases granted whatever the epoch", 1,
                         MODEL_MUTATION_ANY_EPOCH);
    check_mutation_found("changes without a majority", 1,
                         MODEL_MUTATION_NO_MAJORITY);
    check_mutation_found("no check of the quorum lease", 1,
                         MODEL_MUTATION_NO_LEASE_CHECK);
    check_mutation_found("stored holding used as permits", 1,
                         MODEL_MUTATION_HOLDING_AS_STORED);
    check_mutation_found("renewal record not deleted", 340,
                         MODEL_MUTATION_RENEWAL_KEPT);
    check_mutation_found("old limit after a pause", 490,
                         MODEL_MUTATION_STALE_LIMIT);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"limit holds", test_limit_holds},
        {"each mechanism is needed", test_each_mechanism_is_needed},
    };
    return suite_main("limit properties", tests, 2);
}
