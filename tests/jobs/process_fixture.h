/*
 * Entry hosts as real processes against the emulator of the platform, for
 * scenarios in which something goes wrong while jobs are submitted.
 */
#ifndef TESTS_JOBS_PROCESS_FIXTURE_H
#define TESTS_JOBS_PROCESS_FIXTURE_H

#include <sys/types.h>

#include <glib.h>

#include "../suite.h"
#include "job_caller.h"

enum {
    ENTRY_HOST_COUNT = 3,
    /* Longest value of the emulated store; far below the platform's, so that
     * tests of it stay small. */
    STORE_VALUE_BYTES = 50000,
};

/** job_body - a job of two steps of short tasks */
extern const char job_body[];
/** service_job_body - a job of three service tasks, of which one may be
 * unavailable */
extern const char service_job_body[];
/** ending_service_body - the same, but each run ends by itself as done */
extern const char ending_service_body[];

/**
 * struct fixture - the emulator, the entry hosts and a caller
 * @frontends: addresses of the entry hosts for callers, NULL-terminated
 * @admin: administration address of the emulator, for faults
 * @proxy: process between the entry hosts and the store; 0: none
 * @proxy_admin: administration address of the proxy, for faults on its routes
 *               store-0, store-1, ...
 */
struct fixture {
    struct event_base *base;
    int first_port;
    char *directory;
    pid_t emulator;
    pid_t entry_pids[ENTRY_HOST_COUNT];
    char *frontends[ENTRY_HOST_COUNT + 1];
    char *admin;
    pid_t proxy;
    char *proxy_admin;
    struct job_caller *caller;
    struct caller_queue quick;
    struct caller_queue service;
};

extern struct fixture fixture;
extern const char *build_root;

/**
 * struct scenario - a test, chosen by name on the command line
 * @proxied: whether the entry hosts reach the store through a proxy
 */
struct scenario {
    const char *name;
    void (*run)(void);
    bool proxied;
};

/** scenario_main() - run the scenario that the command line names. */
int
scenario_main(int argc, char **argv, const struct scenario *scenarios,
              size_t n_scenarios);

/** fixture_limit_teams() - the next fixture_set_up() gives client accounts
 * this maximum, in thousandths of a core; 0: that of the configuration. */
void
fixture_limit_teams(int maximum_milli);

/** fixture_set_scheduling() - the entry hosts get this JSON object as their
 * setting "scheduling"; NULL: none. */
void
fixture_set_scheduling(const char *scheduling);

/** fixture_set_config() - the next fixture_set_up() uses this file as the
 * configuration; NULL: that of the examples. */
void
fixture_set_config(const char *path);

/**
 * fixture_limit_connections() - limits of the entry hosts of the next
 *                               fixture_set_up()
 * @limits: members to add to "limits", each with a comma before it
 * @connections: members to add to the settings, each with a comma before it
 */
void
fixture_limit_connections(const char *limits, const char *connections);

/** fixture_set_up() - start all processes on ports from @first_port on. */
void
fixture_set_up(int first_port, bool proxied);
void
fixture_tear_down(void);

/** end_process() - send a signal to a process and wait for its end. */
void
end_process(pid_t *pid, int signal_number);

void
start_entry_host(int entry);

/** wait_ready() - wait until the entry host accepts requests. */
void
wait_ready(int entry);

/** send_request() - send a request without a body; returns the HTTP status. */
int
send_request(const char *address, const char *method, const char *path);

/** submit_job() - send a job to the first entry host; returns the HTTP
 * status. */
int
submit_job(const char *path, const char *key, const char *text, char **body);

/** emulator_stat() - a statistic of the emulator by name, -1 if unknown. */
int64_t
emulator_stat(const char *name);

/** run_for() - run the event loop for @duration_ms; with @submit, jobs are
 * submitted all the while. */
void
run_for(int64_t duration_ms, bool submit);

/** run_until_finished() - run until every job has ended, or for
 * FINISH_TIMEOUT_MS. */
void
run_until_finished(void);

/** check_invariants() - final checks of most scenarios: the emulator saw no
 * violation, and every submitted job was accepted and has ended. */
void
check_invariants(void);

/** find_leader() - index of the entry host that leads, or -1. */
int
find_leader(void);

#endif
