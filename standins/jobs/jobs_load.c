/*
 * Submits jobs of both deployments to entry hosts, polls them until they end
 * and prints a table; the last line sums up the checks of the emulator.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "job_caller.h"
#include "platform/json_text.h"

enum {
    FRONTENDS_MAX = 16,
    QUEUE_COUNT = 4,
    SECONDS_DEFAULT = 8,
    FINISH_TIMEOUT_MS = 15000,
};

struct arguments {
    const char *frontends[FRONTENDS_MAX + 1];
    int n_frontends;
    const char *admin;
    int seconds;
};

/**
 * struct queue_load - load of one queue
 * @per_second: jobs submitted per second
 * @cancel_ms: how long after its arrival a job is cancelled; 0: never
 */
struct queue_load {
    struct caller_queue queue;
    double per_second;
    const char *body;
    int64_t cancel_ms;
    uint32_t sent;
};

static struct queue_load loads[QUEUE_COUNT] = {
    {
        .queue = {.name = "draft-notice",
                  .host = "jobs.example",
                  .prefix = "/draft/",
                  .key = "key-skela",
                  .objective_ms = 2200},
        .per_second = 4,
        .body = "{\"spec\":\"ms=400\",\"steps\":[{\"count\":5,\"cpu\":800,"
                "\"mem_mb\":1700,\"estimate_ms\":400},{\"count\":3,"
                "\"cpu\":800,\"mem_mb\":1700,\"estimate_ms\":400,"
                "\"after\":[0]}]}",
    },
    {
        .queue = {.name = "archive-keeper",
                  .host = "jobs.example",
                  .prefix = "/archive/",
                  .objective_ms = 2500},
        .per_second = 0.3,
        .body = "{\"spec\":\"forever\",\"steps\":[{\"count\":3,\"cpu\":1300,"
                "\"mem_mb\":4500,\"long_running\":true,\"may_miss\":1,"
                "\"anti_affinity\":1}]}",
        .cancel_ms = 3000,
    },
    {
        .queue = {.name = "plan-render",
                  .host = "jobs.example",
                  .prefix = "/plan/",
                  .key = "key-skela",
                  .objective_ms = 4000},
        .per_second = 0.8,
        .body = "{\"spec\":\"ms=900\",\"steps\":[{\"count\":8,\"cpu\":1800,"
                "\"mem_mb\":6500,\"estimate_ms\":900,"
                "\"checkpointing\":true},{\"count\":4,\"cpu\":1800,"
                "\"mem_mb\":6500,\"estimate_ms\":900,\"after\":[0]}]}",
    },
    {
        .queue = {.name = "label-quick",
                  .host = "jobs.example",
                  .prefix = "/label/",
                  .key = "key-tresses",
                  .objective_ms = 1600},
        .per_second = 5,
        .body = "{\"spec\":\"ms=250\",\"steps\":[{\"count\":6,\"cpu\":1100,"
                "\"mem_mb\":2000,\"estimate_ms\":250,"
                "\"speculative\":true}]}",
    },
};

static void
print_table(void)
{
    printf("%-16s %6s %8s %10s %6s %8s %7s %9s %8s %8s\n", "queue", "jobs",
           "accepted", "on time", "late", "refused", "failed", "cancelled",
           "p50 ms", "p99 ms");
    for (size_t i = 0; i < QUEUE_COUNT; i++) {
        const struct caller_queue *q = &loads[i].queue;
        printf("%-16s %6u %8u %10u %6u %8u %7u %9u %8ld %8ld\n", q->name,
               q->submitted, q->accepted, q->within_objective,
               q->completed - q->within_objective, q->refused, q->failed,
               q->cancelled, (long)caller_queue_quantile_ms(q, 0.5),
               (long)caller_queue_quantile_ms(q, 0.99));
    }
}

static void
send_due(struct job_caller *caller, int64_t passed_ms)
{
    for (size_t i = 0; i < QUEUE_COUNT; i++) {
        struct queue_load *load = &loads[i];
        while (load->sent < load->per_second * (double)passed_ms / 1000) {
            load->sent++;
            job_caller_submit_to_cancel(caller, &load->queue, load->body,
                                        load->cancel_ms);
        }
    }
}

static uint32_t
print_invariants(struct event_base *base, const struct arguments *arguments,
                 uint32_t open_jobs)
{
    char *body = NULL;
    http_call_sync(base, arguments->admin, "GET", "/figures", NULL, NULL,
                   &body);
    cJSON *stats = json_document_read(body, strlen(body), NULL);
    uint32_t violated = (uint32_t)json_int_get(stats, "violations", 1);
    uint32_t checked = (uint32_t)json_int_get(stats, "checks", 0);
    cJSON_Delete(stats);
    g_free(body);
    /* Besides the starts: every accepted job must have ended. */
    for (size_t i = 0; i < QUEUE_COUNT; i++) {
        checked += loads[i].queue.accepted;
    }
    violated += open_jobs;
    printf("invariants: %u checked, %u violated\n", checked, violated);
    return violated;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct arguments *arguments = state->input;
    switch (key) {
    case 'a':
        arguments->admin = arg;
        return 0;
    case 's':
        arguments->seconds = atoi(arg);
        return 0;
    case ARGP_KEY_ARG:
        if (arguments->n_frontends == FRONTENDS_MAX) {
            argp_usage(state);
        }
        arguments->frontends[arguments->n_frontends++] = arg;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"admin", 'a', "ADDRESS", 0, "administration address of the emulator",
         0},
        {"seconds", 's', "N", 0, "how long to submit", 0},
        {0},
    };
    static const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .args_doc = "FRONTEND...",
        .doc = "Submits jobs to entry hosts and prints how they ended.",
    };
    struct arguments arguments = {.seconds = SECONDS_DEFAULT};
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    if (arguments.n_frontends == 0 || arguments.admin == NULL) {
        fprintf(stderr,
                "missing argument: FRONTEND and --admin are required\n");
        return EXIT_FAILURE;
    }
    signal(SIGPIPE, SIG_IGN);
    struct event_base *base = event_base_new();
    struct job_caller *caller = job_caller_create(base, arguments.frontends);
    for (size_t i = 0; i < QUEUE_COUNT; i++) {
        caller_queue_init(&loads[i].queue);
    }
    int64_t start_ms = g_get_monotonic_time() / 1000;
    int64_t passed_ms = 0;
    while (passed_ms < arguments.seconds * 1000 + FINISH_TIMEOUT_MS) {
        if (passed_ms < arguments.seconds * 1000) {
            send_due(caller, passed_ms);
        }
        else if (job_caller_pending(caller) == 0) {
            break;
        }
        event_base_loop(base, EVLOOP_NONBLOCK);
        g_usleep(2000);
        passed_ms = g_get_monotonic_time() / 1000 - start_ms;
    }
    print_table();
    uint32_t violated =
        print_invariants(base, &arguments, job_caller_pending(caller));
    job_caller_destroy(caller);
    for (size_t i = 0; i < QUEUE_COUNT; i++) {
        caller_queue_clear(&loads[i].queue);
    }
    return violated == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
