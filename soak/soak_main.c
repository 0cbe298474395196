/*
 * One soak run: entry hosts as real processes, a proxy before the store, and
 * overlapping faults drawn from a seed. What callers and backend servers see
 * is checked during the run and at its end.
 *
 *   soak BUILD PORT SEED [INVARIANT]
 *
 * INVARIANT is violated on purpose; the run has to fail.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "process_fixture.h"
#include "soak_plan.h"

enum {
    BACKEND_COUNT = 12,
    RUN_MS = 10000,
    SLICE_MS = 50,
    SERVICE_JOB_COUNT = 4,
};

static uint32_t seed;
static int first_port;
static const char *violated_invariant;

static void
set_link(int entry, const char *faults)
{
    char *body =
        g_strdup_printf("{\"routes\":\"store-%d\",%s}", entry, faults);
    http_call_sync(fixture.base, fixture.proxy_admin, "POST",
                   "/standin/faults", NULL, body, NULL);
    g_free(body);
}

static void
toggle_reachable(int backend)
{
    char *path = g_strdup_printf("/dark/%d", backend);
    send_request(fixture.admin, "POST", path);
    g_free(path);
}

static void
begin_fault(const struct soak_fault *fault)
{
    char path[32];
    int target = fault->target;
    switch (fault->kind) {
    case FAULT_KILL:
        end_process(&fixture.entry_pids[target], SIGKILL);
        break;
    case FAULT_PAUSE:
        kill(fixture.entry_pids[target], SIGSTOP);
        break;
    case FAULT_LEAVE:
        kill(fixture.entry_pids[target], SIGTERM);
        break;
    case FAULT_STORE_DOWN:
        send_request(fixture.admin, "POST", "/store/down");
        break;
    case FAULT_STORE_UNRESPONSIVE:
        send_request(fixture.admin, "POST", "/store/silent");
        break;
    case FAULT_LINK_REFUSED:
        set_link(target, "\"refuse\":true,\"cut\":true");
        break;
    case FAULT_LINK_UNRESPONSIVE:
        set_link(target, "\"silence\":true");
        break;
    case FAULT_LINK_ONE_WAY:
        set_link(target, "\"drop_down\":true");
        break;
    case FAULT_LINK_SLOW:
        set_link(target, "\"delay_ms\":150");
        break;
    case FAULT_LINK_RESET:
        set_link(target, "\"kill\":\"any\",\"kill_permille\":200");
        break;
    case FAULT_BACKEND_UNREACHABLE:
        toggle_reachable(target);
        break;
    case FAULT_HOST_CRASH:
        g_snprintf(path, sizeof(path), "/crash/%d", target);
        send_request(fixture.admin, "POST", path);
        break;
    case FAULT_KIND_COUNT:
        break;
    }
}

static void
end_fault(const struct soak_fault *fault)
{
    int target = fault->target;
    switch (fault->kind) {
    case FAULT_KILL:
        start_entry_host(target);
        break;
    case FAULT_PAUSE:
        kill(fixture.entry_pids[target], SIGCONT);
        break;
    case FAULT_LEAVE:
        waitpid(fixture.entry_pids[target], NULL, 0);
        start_entry_host(target);
        break;
    case FAULT_STORE_DOWN:
    case FAULT_STORE_UNRESPONSIVE:
        send_request(fixture.admin, "POST", "/store/up");
        break;
    case FAULT_LINK_REFUSED:
    case FAULT_LINK_UNRESPONSIVE:
    case FAULT_LINK_ONE_WAY:
    case FAULT_LINK_SLOW:
    case FAULT_LINK_RESET:
        set_link(target, "\"clear\":true,\"cut\":true");
        break;
    case FAULT_BACKEND_UNREACHABLE:
        toggle_reachable(target);
        break;
    case FAULT_HOST_CRASH:
    case FAULT_KIND_COUNT:
        break;
    }
}

/* Runs the plan: faults begin and end while jobs are submitted. */
static void
run_plan(const GArray *plan)
{
    bool *begun = g_new0(bool, plan->len + 1);
    bool *ended = g_new0(bool, plan->len + 1);
    guint n_ended = 0;
    int64_t start_ms = g_get_monotonic_time() / 1000;
    int64_t now_ms = 0;
    while (now_ms < RUN_MS || n_ended < plan->len) {
        for (guint i = 0; i < plan->len; i++) {
            const struct soak_fault *fault =
                &g_array_index(plan, struct soak_fault, i);
            if (!begun[i] && now_ms >= fault->at_ms) {
                begun[i] = true;
                begin_fault(fault);
            }
            if (begun[i] && !ended[i] &&
                now_ms >= fault->at_ms + fault->duration_ms) {
                ended[i] = true;
                n_ended++;
                end_fault(fault);
            }
        }
        run_for(SLICE_MS * 3, now_ms < RUN_MS);
        now_ms = g_get_monotonic_time() / 1000 - start_ms;
    }
    g_free(begun);
    g_free(ended);
}

/* A job whose every attempt was refused for good is unknown to any entry
 * host. */
static void
check_refused(void)
{
    const GPtrArray *refused = job_caller_refused(fixture.caller);
    for (guint i = 0; i < refused->len; i++) {
        int status = http_call_sync(
            fixture.base, fixture.frontends[i % ENTRY_HOST_COUNT], "GET",
            g_ptr_array_index(refused, i), "key-skela", NULL, NULL);
        CU_ASSERT_EQUAL(status, 410);
    }
}

static void
run_seed(void)
{
    fixture_set_up(first_port, true);
    GArray *plan = soak_plan_create(seed, ENTRY_HOST_COUNT, BACKEND_COUNT,
                                    RUN_MS * 8 / 10);
    for (guint i = 0; i < plan->len; i++) {
        const struct soak_fault *fault =
            &g_array_index(plan, struct soak_fault, i);
        printf("\n  %5ld ms for %4ld ms: %s %d", (long)fault->at_ms,
               (long)fault->duration_ms, soak_fault_name(fault->kind),
               fault->target);
    }
    printf("\n");
    if (violated_invariant != NULL) {
        char *path = g_strdup_printf("/break/%s", violated_invariant);
        send_request(fixture.admin, "POST", path);
        g_free(path);
    }
    for (int i = 0; i < SERVICE_JOB_COUNT; i++) {
        job_caller_submit_to_cancel(fixture.caller, &fixture.service,
                                    service_job_body, 4000 + 1500 * i);
    }
    if (g_strcmp0(violated_invariant, "ends") == 0) {
        job_caller_submit(fixture.caller, &fixture.service, service_job_body);
    }
    run_plan(plan);
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        wait_ready(i);
    }
    run_until_finished();
    if (g_strcmp0(violated_invariant, "refused") == 0) {
        char *body = NULL;
        CU_ASSERT_EQUAL(submit_job("/draft/00000000000000ff", "key-skela",
                                   job_body, &body),
                        200);
        g_free(body);
        g_ptr_array_add((GPtrArray *)job_caller_refused(fixture.caller),
                        g_strdup("/draft/00000000000000ff"));
    }
    printf("  %u jobs, %u accepted, %u completed, %u failed, %u refused; "
           "%ld starts checked; logs in %s\n",
           fixture.quick.submitted, fixture.quick.accepted,
           fixture.quick.completed, fixture.quick.failed,
           fixture.quick.refused, (long)emulator_stat("checks"),
           fixture.directory);
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
    CU_ASSERT(emulator_stat("checks") > 0);
    CU_ASSERT_EQUAL(job_caller_pending(fixture.caller), 0);
    CU_ASSERT_EQUAL(fixture.quick.failed, 0);
    CU_ASSERT_EQUAL(fixture.quick.completed, fixture.quick.accepted);
    CU_ASSERT_EQUAL(fixture.service.cancelled, fixture.service.accepted);
    check_refused();
    g_array_unref(plan);
    fixture_tear_down();
}

int
main(int argc, char **argv)
{
    if (argc < 4) {
        fprintf(stderr, "usage: %s BUILD PORT SEED [INVARIANT]\n", argv[0]);
        return EXIT_FAILURE;
    }
    signal(SIGPIPE, SIG_IGN);
    build_root = argv[1];
    first_port = atoi(argv[2]);
    seed = (uint32_t)strtoul(argv[3], NULL, 10);
    violated_invariant = argc > 4 ? argv[4] : NULL;
    char name[32];
    snprintf(name, sizeof(name), "seed %u", seed);
    const struct suite_test test = {name, run_seed};
    return suite_main("soak", &test, 1);
}
