/* Load generator: callers of several teams, and checks of the outcomes of
 * their requests. */
#ifndef STANDINS_LOAD_H
#define STANDINS_LOAD_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

struct load_http;

/**
 * enum load_outcome - outcome of a request
 * @LOAD_PENDING: no response yet
 * @LOAD_DONE: "done"
 * @LOAD_NOT_RUN: "not-run"
 * @LOAD_UNKNOWN: "unknown"
 * @LOAD_LOST: no response, or one without a known outcome
 */
enum load_outcome {
    LOAD_PENDING,
    LOAD_DONE,
    LOAD_NOT_RUN,
    LOAD_UNKNOWN,
    LOAD_LOST,
};

/**
 * struct load_request - one request and its reported outcome
 * @reason: reason from the response, or error text
 * @status: HTTP status; 0 without a response
 * @response_valid: for LOAD_DONE: an error response, or exactly the body that
 *                  this request must produce
 * @start_ms, @end_ms: monotonic time
 * @latency_us: from sending to the complete response
 * @runs: runs of this request in the records of standin-backend
 */
struct load_request {
    struct load_team *team;
    char *tag;
    char *body;
    char *reason;
    bool idempotent;
    bool response_valid;
    enum load_outcome outcome;
    guint status;
    int64_t start_ms;
    int64_t end_ms;
    int64_t latency_us;
    uint32_t runs;
};

/**
 * struct load_team - callers of one team
 * @key: API key, or NULL
 * @queues: queue names, used in turn
 * @body: directives for standin-backend, see task_spec.h
 * @concurrency: callers that send the next request after the response to the
 *               last one (closed loop)
 * @rate_per_s: requests sent regardless of earlier responses (open loop)
 * @idempotent_permille: fraction of requests marked idempotent
 * @target: index of the only gateway to use, or -1 for all in turn
 * @send_ids: whether requests carry a request id
 * @competes: whether the team's share of the work is compared with its
 *            configured share
 * @backoff_ms: pause of a closed-loop caller after a request that was not done
 * @share_permille, @max_running: from the configuration; 0 when not known
 * @running_peak: highest number of running tasks seen by standin-backend
 * @due_requests: open-loop requests that are due, with their fraction
 */
struct load_team {
    struct load *load;
    char *name;
    char *key;
    char **queues;
    char *body;
    uint32_t concurrency;
    double rate_per_s;
    uint32_t idempotent_permille;
    int64_t target;
    bool send_ids;
    bool competes;
    int64_t backoff_ms;
    uint32_t share_permille;
    uint32_t max_running;
    uint32_t running_peak;
    uint64_t sent;
    double due_requests;
};

/**
 * struct load - one run of the load generator
 * @targets: "IP:port" of the gateways
 * @run_id: makes the tags of this run unique
 * @requests: struct load_request, in order of sending
 * @duration_ms: time during which requests are sent
 * @timeout_ms: longest wait for a response
 * @allow_lost: whether LOAD_LOST is a permitted outcome, as when a gateway is
 *              killed
 * @direct: the targets are backend servers or relays, not gateways
 */
struct load {
    char **targets;
    char *run_id;
    GPtrArray *teams;
    GPtrArray *requests;
    struct load_http *http;
    GMainLoop *loop;
    int64_t duration_ms;
    int64_t timeout_ms;
    int64_t start_ms;
    int64_t end_ms;
    uint64_t seed;
    uint64_t pending;
    uint64_t next_target;
    bool allow_lost;
    bool direct;
    bool stopping;
};

/** struct load_checks - number of checks made, and of those that failed */
struct load_checks {
    uint64_t checked;
    uint64_t violated;
};

/** load_now_ms() - monotonic time. */
int64_t
load_now_ms(void);

/** load_plan_read() - read a load plan into @load; on failure print an error
 * to stderr and return false. */
bool
load_plan_read(struct load *load, const char *file);

/** load_config_read() - read shares and limits of the teams from a
 * configuration; on failure print an error to stderr and return false. */
bool
load_config_read(struct load *load, const char *file);

/** load_run() - send for the duration of the plan and wait for all responses.
 */
void
load_run(struct load *load);

/**
 * load_check() - compare outcomes with the records of standin-backend
 * @admin: "IP:port" of its admin interface
 */
struct load_checks
load_check(struct load *load, const char *admin);

/** load_print_table() - print one line per team to stdout. */
void
load_print_table(const struct load *load);

/** load_write_results() - write the statistics of each team to @file as JSON.
 */
bool
load_write_results(const struct load *load, const struct load_checks *checks,
                   const char *file);

#endif
