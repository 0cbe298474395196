/* egretctl asks real job daemons where a job would be placed. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process_fixture.h"

/* The fixture serves metrics three ports above that for callers. */
static char *
metrics_address(int entry)
{
    const char *caller = fixture.frontends[entry];
    const char *colon = strrchr(caller, ':');
    return g_strdup_printf("%.*s:%d", (int)(colon - caller), caller,
                           atoi(colon + 1) + 3);
}

static int
ask(int entry, const char *queue, const char *body, char **output)
{
    char *address = metrics_address(entry);
    char *program = g_build_filename(build_root, "egretctl", "egretctl", NULL);
    char *file = g_build_filename(fixture.directory, "job.json", NULL);
    g_file_set_contents(file, body, -1, NULL);
    char *argv[] = {program, (char *)"place", address, (char *)queue, file,
                    NULL};
    int status = -1;
    char *errors = NULL;
    CU_ASSERT(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
                           output, &errors, &status, NULL));
    if (status != 0) {
        fprintf(stderr, "%s", errors);
    }
    g_free(errors);
    g_free(address);
    g_free(program);
    g_free(file);
    return status;
}

/* Guards against a question that is answered by a daemon which doesn't lead,
 * that adds the job, or that is accepted with a malformed job. */
static void
test_explains_without_sending(void)
{
    run_for(500, false);
    int leader = find_leader();
    CU_ASSERT_FATAL(leader >= 0);
    for (int entry = 0; entry < ENTRY_HOST_COUNT; entry++) {
        char *output = NULL;
        CU_ASSERT_EQUAL(ask(entry, "draft-notice", job_body, &output), 0);
        CU_ASSERT_PTR_NOT_NULL(strstr(output, "would be accepted"));
        g_free(output);
    }
    char *output = NULL;
    CU_ASSERT_NOT_EQUAL(ask(leader, "no-queue", job_body, &output), 0);
    g_free(output);
    CU_ASSERT_NOT_EQUAL(ask(leader, "draft-notice", "{\"steps\":1}", &output),
                        0);
    g_free(output);
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
}

int
main(int argc, char **argv)
{
    static const struct scenario scenarios[] = {
        {.name = "explain-processes", .run = test_explains_without_sending},
    };
    return scenario_main(argc, argv, scenarios,
                         sizeof(scenarios) / sizeof(scenarios[0]));
}
