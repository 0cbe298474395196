/* The order of waiting jobs of queues with priorities, and what does not
 * preempt. */
#include <stdio.h>

#include "../suite.h"
#include "priority_world.h"

/* Guards against preemption among equals, and of a higher priority. */
static void
test_equals(void)
{
    struct world world;
    world_init(&world, true);
    world_fill(&world, LOW_JOB, "low", "");
    world_add_job(&world, "00000000000000b1", "low", four_cores);
    world_add_job(&world, "00000000000000c1", "lowest", four_cores);
    world_run_for(&world, 5000);
    CU_ASSERT_EQUAL(world_stops(&world), 0);
    CU_ASSERT_EQUAL(world_starts_of(&world, "00000000000000b1"), 0);
    CU_ASSERT_EQUAL(world_starts_of(&world, "00000000000000c1"), 0);
    world_clear(&world);
}

/* Guards against a job whose queue was removed, and has no priority, that
 * stops runs. */
static void
test_unknown_queue(void)
{
    struct world world;
    world_init(&world, true);
    world_fill(&world, LOW_JOB, "lowest", "");
    world_add_job(&world, "00000000000000d0", "removed", four_cores);
    world_run_for(&world, 3000);
    CU_ASSERT_EQUAL(world_stops(&world), 0);
    world_clear(&world);
}

/* All commands of a replay with jobs of two queues, as text; g_free(). */
static char *
replay_off(const char *high, const char *low)
{
    struct world world;
    world_init(&world, false);
    world_fill(&world, LOW_JOB, low, "");
    for (int i = 0; i < 16; i++) {
        char id[JOB_ID_CHARS + 1];
        snprintf(id, sizeof(id), "00000000000001%02x", i);
        world_add_job(&world, id, i % 2 == 0 ? high : low, four_cores);
        world_run_for(&world, 5000);
    }
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < world.f.commands->len; i++) {
        const struct recorded_command *command =
            g_ptr_array_index(world.f.commands, i);
        g_string_append_printf(text, "%d %s %s %u %" G_GINT64_FORMAT "\n",
                               (int)command->kind, command->target,
                               command->task == NULL ? "" : command->task,
                               command->number, command->at_ms);
    }
    world_clear(&world);
    return g_string_free(text, FALSE);
}

/* Guards against changes by the priorities of queues where the feature is off.
 */
static void
test_off(void)
{
    char *ranked = replay_off("high", "lowest");
    char *equal = replay_off("high", "high");
    CU_ASSERT_STRING_EQUAL(ranked, equal);
    g_free(ranked);
    g_free(equal);
    struct world world;
    world_init(&world, false);
    world_fill(&world, LOW_JOB, "low", "");
    world_add_job(&world, "00000000000000b1", "low", four_cores);
    world_run_for(&world, 100);
    world_add_job(&world, HIGH_JOB, "high",
                  "[{\"count\":1,\"cpu\":4000,\"mem_mb\":10,"
                  "\"estimate_ms\":1100}]");
    world_run_for(&world, 5000);
    CU_ASSERT_EQUAL(world_stops(&world), 0);
    world_run_for(&world, 60000);
    CU_ASSERT_EQUAL(world_stops(&world), 0);
    /* The least work first, whatever the queue. */
    CU_ASSERT_EQUAL(world_starts_of(&world, "00000000000000b1"), 1);
    CU_ASSERT_EQUAL(world_starts_of(&world, HIGH_JOB), 1);
    world_clear(&world);
}

/* Guards against small jobs of a lower priority that come first since they
 * have the least work. */
static void
test_order(void)
{
    struct world world;
    world_init(&world, true);
    /* Equal priorities of all that runs: nothing is preempted. */
    world_fill(&world, "00000000000000a1", "high", "");
    for (int i = 0; i < 8; i++) {
        char id[JOB_ID_CHARS + 1];
        snprintf(id, sizeof(id), "00000000000000b%d", i);
        world_add_job(&world, id, "low",
                      "[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,"
                      "\"estimate_ms\":500}]");
    }
    world_add_job(&world, HIGH_JOB, "high",
                  "[{\"count\":16,\"cpu\":4000,\"mem_mb\":10,"
                  "\"estimate_ms\":5000}]");
    world_run_for(&world, 60000);
    CU_ASSERT_EQUAL(world_starts_of(&world, HIGH_JOB), 16);
    CU_ASSERT_EQUAL(world_starts_of(&world, LOW_JOB), 0);
    CU_ASSERT_EQUAL(world_stops(&world), 0);
    world_run_for(&world, 6000);
    CU_ASSERT_EQUAL(world_starts_of(&world, LOW_JOB), 1);
    world_clear(&world);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"nothing is preempted among equals", test_equals},
        {"a job of an unknown queue preempts nothing", test_unknown_queue},
        {"off, nothing is preempted", test_off},
        {"the priority comes first in the order", test_order},
    };
    return suite_main("jobs queue priority", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
