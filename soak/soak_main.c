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
    /* Every so many slices a job is cancelled soon after it is sent. */
    GIVE_UP_SLICES = 4,
    GIVE_UP_MAX_MS = 2500,
    /* Half of what the jobs would use at once. */
    MAXIMUM_MILLI = 8000,
    TIMED_JOB_COUNT = 2,
    OCCURRENCES = 25,
};

/**
 * struct process_faults - faults that end or stop an entry host; one at a time
 * @owner: fault in effect, or NULL
 */
static struct process_faults {
    const struct soak_fault *owner;
} process_faults[ENTRY_HOST_COUNT];

/* Jobs that callers give up. */
static struct caller_queue abandoned;

#define ALL_FEATURES                                                          \
    "{\"account_shares\":true,\"queue_priorities\":true,"                     \
    "\"reservations\":true,\"demand_forecast\":true}"

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

static bool
hits_process(enum soak_fault_kind kind)
{
    return kind == FAULT_KILL || kind == FAULT_PAUSE || kind == FAULT_LEAVE ||
           kind == FAULT_KILL_LEADER;
}

/* Entry host that the fault hits; -1: none, or another fault has it. */
static int
acquire_entry(const struct soak_fault *fault)
{
    int entry =
        fault->kind == FAULT_KILL_LEADER ? find_leader() : fault->target;
    if (entry < 0 || process_faults[entry].owner != NULL) {
        return -1;
    }
    process_faults[entry].owner = fault;
    return entry;
}

/* Entry host that the fault has hit, which is released; -1: none. */
static int
release_entry(const struct soak_fault *fault)
{
    for (int i = 0; i < ENTRY_HOST_COUNT; i++) {
        if (process_faults[i].owner == fault) {
            process_faults[i].owner = NULL;
            return i;
        }
    }
    return -1;
}

static void
begin_fault(const struct soak_fault *fault)
{
    char path[32];
    int target =
        hits_process(fault->kind) ? acquire_entry(fault) : fault->target;
    if (target < 0) {
        return;
    }
    switch (fault->kind) {
    case FAULT_KILL:
    case FAULT_KILL_LEADER:
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
    case FAULT_HANGUP:
        if (process_faults[target].owner == NULL) {
            kill(fixture.entry_pids[target], SIGHUP);
        }
        break;
    case FAULT_CONFIG:
        send_request(fixture.admin, "POST", "/config");
        break;
    case FAULT_RESTART_UNSEEN:
        g_snprintf(path, sizeof(path), "/restart-unseen/%d", target);
        send_request(fixture.admin, "POST", path);
        break;
    case FAULT_KIND_COUNT:
        break;
    }
}

static void
end_fault(const struct soak_fault *fault)
{
    int target =
        hits_process(fault->kind) ? release_entry(fault) : fault->target;
    if (target < 0) {
        return;
    }
    switch (fault->kind) {
    case FAULT_KILL:
    case FAULT_KILL_LEADER:
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
    case FAULT_HANGUP:
    case FAULT_CONFIG:
    case FAULT_RESTART_UNSEEN:
    case FAULT_KIND_COUNT:
        break;
    }
}

/* Gives up every so many jobs, some of which aren't accepted yet. */
static void
abandon_job(GRand *rng, uint32_t slice)
{
    if (slice % GIVE_UP_SLICES == 0) {
        job_caller_submit_to_give_up(fixture.caller, &abandoned, job_body,
                                     g_rand_int_range(rng, 0, GIVE_UP_MAX_MS));
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
    uint32_t slice = 0;
    GRand *rng = g_rand_new_with_seed(seed);
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
        if (now_ms < RUN_MS) {
            abandon_job(rng, slice++);
        }
        run_for(SLICE_MS * 3, now_ms < RUN_MS);
        now_ms = g_get_monotonic_time() / 1000 - start_ms;
    }
    g_rand_free(rng);
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

/* Jobs whose occurrences overlap, and are due faster than they end. */
static void
submit_timed_jobs(void)
{
    char *body = g_strdup_printf(
        "{\"spec\":\"\\u0000ms=300\\u0000\",\"times\":%d,\"interval_ms\":150,"
        "\"first_ms\":%" G_GINT64_FORMAT
        ",\"steps\":[{\"count\":2,\"cpu\":300,\"mem_mb\":10,"
        "\"estimate_ms\":300},{\"count\":1,\"cpu\":300,\"mem_mb\":10,"
        "\"estimate_ms\":300,\"after\":[0]}]}",
        OCCURRENCES, g_get_real_time() / 1000);
    for (int i = 0; i < TIMED_JOB_COUNT; i++) {
        job_caller_submit(fixture.caller, &fixture.quick, body);
    }
    g_free(body);
}

static void
run_seed(void)
{
    bool limited = seed % 2 == 1;
    /* Two of four seeds each with and without, of both kinds above. */
    fixture_set_scheduling(seed / 2 % 2 == 0 ? ALL_FEATURES : NULL);
    fixture_limit_teams(limited ? MAXIMUM_MILLI : 0);
    fixture_set_up(first_port, true);
    abandoned = fixture.quick;
    caller_queue_init(&abandoned);
    job_caller_report_cancels(fixture.caller, fixture.admin);
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
                                    i % 2 == 0 ? service_job_body
                                               : ending_service_body,
                                    4000 + 1500 * i);
    }
    submit_timed_jobs();
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
           "%u given up; %ld starts checked; logs in %s\n",
           fixture.quick.submitted, fixture.quick.accepted,
           fixture.quick.completed, fixture.quick.failed,
           fixture.quick.refused, abandoned.given_up,
           (long)emulator_stat("checks"), fixture.directory);
    CU_ASSERT_EQUAL(emulator_stat("violations"), 0);
    CU_ASSERT(emulator_stat("checks") > 0);
    CU_ASSERT_EQUAL(job_caller_pending(fixture.caller), 0);
    CU_ASSERT_EQUAL(fixture.quick.failed, 0);
    CU_ASSERT_EQUAL(fixture.quick.completed, fixture.quick.accepted);
    CU_ASSERT_EQUAL(fixture.service.cancelled, fixture.service.accepted);
    CU_ASSERT_EQUAL(fixture.service.completed, 0);
    check_refused();
    caller_queue_clear(&abandoned);
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
