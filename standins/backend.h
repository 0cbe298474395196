/* Emulates all backend servers of a fleet in one process. */
#ifndef STANDINS_BACKEND_H
#define STANDINS_BACKEND_H

#include <gio/gio.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct backend_faults - injected faults of one host, set at run time
 * @fail: every task that it runs fails
 * @leaving: refuses new tasks with the reason "leaving"
 * @full: refuses new tasks with the reason "full"
 * @hang: starts tasks that end only when their lease expires
 * @down: refuses connections
 * @extra_ms: added to the run time of every task
 */
struct backend_faults {
    bool fail;
    bool leaving;
    bool full;
    bool hang;
    bool down;
    int64_t extra_ms;
};

/**
 * struct backend_host - one backend server
 * @open_sockets: sockets of the open connections
 * @slots, @connections: limits on concurrent tasks and open connections
 * @running, @running_peak: running tasks: now, and the highest number so far
 * @open_peak: highest number of open connections so far
 * @refused_connections: connections closed because @connections was reached
 */
struct backend_host {
    struct backend *backend;
    char *name;
    char *dc;
    char *rack;
    char *pool;
    uint16_t port;
    uint32_t slots;
    uint32_t connections;
    struct backend_faults faults;
    SoupServer *server;
    GHashTable *open_sockets;
    uint32_t running;
    uint32_t running_peak;
    uint32_t open_peak;
    uint64_t refused_connections;
};

enum run_state {
    RUN_RUNNING,
    RUN_DONE,
    RUN_FAILED,
    RUN_STOPPED,
    RUN_LEASE_EXPIRED,
};

/**
 * struct run - record of one task that runs or has run
 * @start_ms, @end_ms: monotonic time; @end_ms is 0 while it runs
 */
struct run {
    char *task;
    char *team;
    char *queue;
    char *tag;
    struct backend_host *host;
    int64_t start_ms;
    int64_t end_ms;
    enum run_state state;
};

/** struct run_counts - runs counted per team, queue, data centre or host */
struct run_counts {
    uint32_t running;
    uint32_t running_peak;
    uint64_t started;
    uint64_t ended;
    int64_t last_start_ms;
};

/**
 * struct backend - state of the process
 * @hosts: struct backend_host
 * @runs: struct run, in order of start
 * @tasks: struct backend_task by id; NULL for ids cancelled before their start
 * @team_counts, @dc_counts, @queue_counts, @host_counts: struct run_counts by
 *                                                        name
 * @duplicates: requests whose task id had been used before
 * @refused: requests refused for any reason
 * @lease_expiries: tasks ended because their lease expired
 */
struct backend {
    SoupServer *admin;
    GPtrArray *hosts;
    GPtrArray *runs;
    GHashTable *tasks;
    GHashTable *team_counts;
    GHashTable *dc_counts;
    GHashTable *queue_counts;
    GHashTable *host_counts;
    uint64_t duplicates;
    uint64_t refused;
    uint64_t lease_expiries;
};

/** backend_now_ms() - monotonic time. */
int64_t
backend_now_ms(void);

/** struct backend_layout - hosts to create, from the command line */
struct backend_layout {
    const char *pools;
    const char *dcs;
    uint32_t rack_size;
    uint32_t slots;
    uint32_t connections;
    uint16_t port_base;
};

/** backend_layout_make() - create the hosts and listen on their ports; on
 * failure print an error to stderr and return false. */
bool
backend_layout_make(struct backend *backend,
                    const struct backend_layout *layout);

/** backend_hosts_json() - host list in the format of the platform. */
char *
backend_hosts_json(const struct backend *backend);

/** backend_host_listen() - start accepting connections; false when the port
 * is in use. */
bool
backend_host_listen(struct backend_host *host);

/** backend_host_close() - stop accepting and close every connection. */
void
backend_host_close(struct backend_host *host);

/** backend_run_start() - record the start of a task. */
struct run *
backend_run_start(struct backend *backend, struct backend_host *host,
                  const char *task, const char *team, const char *queue,
                  const char *tag);

/** backend_run_end() - record the end of @run. */
void
backend_run_end(struct backend *backend, struct run *run,
                enum run_state state);

/** backend_peaks_reset() - set every peak to its current value. */
void
backend_peaks_reset(struct backend *backend);

/** backend_tasks_serve() - handle task requests of the gateways to @host. */
void
backend_tasks_serve(struct backend_host *host);

/** backend_admin_serve() - handle requests to the admin interface. */
void
backend_admin_serve(struct backend *backend);

/** backend_runs_json(), backend_summary_json() - records of all runs, and
 * counts by team, queue, data centre and host, as JSON. */
char *
backend_runs_json(const struct backend *backend);
char *
backend_summary_json(const struct backend *backend);

#endif
