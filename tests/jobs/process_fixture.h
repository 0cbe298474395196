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
};

/** job_body - two steps of short tasks */
extern const char job_body[];
/** service_job_body - three tasks that last, of which one may be away */
extern const char service_job_body[];

/**
 * struct fixture - the emulator, the entry hosts and a caller
 * @frontends: addresses of the entry hosts for callers, NULL-terminated
 * @admin: address at which the emulator takes faults
 * @proxy: process between each entry host and the store; 0: there is none
 * @proxy_admin: address at which it takes faults on its routes store-0, ...
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
 * struct scenario - a test by the name that the command line gives
 * @proxied: with a proxy before the store
 */
struct scenario {
    const char *name;
    void (*run)(void);
    bool proxied;
};

/** scenario_main() - run the one of @n_scenarios that is named. */
int
scenario_main(int argc, char **argv, const struct scenario *scenarios,
              size_t n_scenarios);

/** fixture_set_up() - start all on ports from @first_port on. */
void
fixture_set_up(int first_port, bool proxied);
void
fixture_tear_down(void);

/** end_process() - signal a process and wait for its end. */
void
end_process(pid_t *pid, int signal_number);

void
start_entry_host(int entry);

/** wait_ready() - until the entry host takes callers. */
void
wait_ready(int entry);

/** ask() - a call without a body; its HTTP status. */
int
send_request(const char *address, const char *method, const char *path);

/** post() - a job to the first entry host; its HTTP status. */
int
submit_job(const char *path, const char *key, const char *text, char **body);

/** figure() - a figure of the emulator, -1 if there is none. */
int64_t
emulator_stat(const char *name);

/** play() - lets callers and answers go on for @duration_ms. */
void
run_for(int64_t duration_ms, bool submit);

/** run_until_finished() - until every job has its end. */
void
run_until_finished(void);

/** check_invariants() - what most scenarios end with. */
void
check_invariants(void);

/** holder() - entry that holds the duty, or -1. */
int
find_leader(void);

#endif
