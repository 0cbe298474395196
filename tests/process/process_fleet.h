/* A small fleet of real processes whose connections go through a
 * fault-injecting proxy. */
#ifndef TESTS_PROCESS_PROCESS_FLEET_H
#define TESTS_PROCESS_PROCESS_FLEET_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    FLEET_GATEWAYS_MAX = 7
};

/**
 * struct fleet_options - what to start
 * @name: name of the run directory
 * @gateways: number of gateways
 * @layout: pools and their hosts, for the backend stand-in
 * @dcs: data centres of the hosts
 * @config: configuration as JSON text
 * @settings: further members of the settings of gateways and controllers as
 *            JSON text, each with a comma before it; NULL for none
 * @direct_backends: reach backend servers without the proxy
 * @routed_controllers: number of controllers, each with its own route to the
 *                      store through the proxy; 0 for one without the proxy
 */
struct fleet_options {
    const char *name;
    uint32_t gateways;
    const char *layout;
    const char *dcs;
    const char *config;
    const char *settings;
    bool direct_backends;
    uint32_t routed_controllers;
};

/** struct fleet_child - a child process and whether it may exit */
struct fleet_child {
    char *name;
    GSubprocess *child;
    bool exit_expected;
};

/**
 * struct fleet - the processes and their ports
 * @run_dir: directory of logs, settings and results
 * @processes: struct fleet_child
 * @hosts: the platform's host list
 * @gateways: children that run egretd
 * @controllers: children that run egretfleetd
 */
struct fleet {
    char *build_dir;
    char *run_dir;
    char *config_file;
    char *settings;
    JsonNode *hosts;
    GPtrArray *processes;
    struct fleet_child *gateways[FLEET_GATEWAYS_MAX];
    struct fleet_child *controllers[FLEET_GATEWAYS_MAX];
    uint32_t n_gateways;
    uint16_t store_port;
    uint16_t backend_port;
    uint16_t proxy_port;
    uint16_t http_ports[FLEET_GATEWAYS_MAX];
    uint16_t peer_ports[FLEET_GATEWAYS_MAX];
    uint16_t controller_ports[FLEET_GATEWAYS_MAX];
    SoupSession *session;
};

/**
 * fleet_start() - start all processes and wait until each gateway serves
 *
 * Ends the test program with a message when one of them does not start.
 */
struct fleet *
fleet_start(const struct fleet_options *options);

/** fleet_stop() - end all processes; false when one had exited unexpectedly.
 */
bool
fleet_stop(struct fleet *fleet);

/** fleet_signal() - send a signal to gateway @i; SIGKILL and SIGTERM make its
 * exit expected. */
void
fleet_signal(struct fleet *fleet, uint32_t i, int signal);

/** fleet_wait_exit() - wait for gateway @i to exit; its exit status, or -1. */
int
fleet_wait_exit(struct fleet *fleet, uint32_t i);

/** fleet_call() - send one HTTP request; returns the body (free with g_free())
 * or NULL, and in @status the HTTP status, 0 without a response. */
char *
fleet_call(struct fleet *fleet, const char *method, uint16_t port,
           const char *path, const char *body, guint *status);

/** fleet_call_json() - fleet_call() with the body parsed as JSON. */
JsonNode *
fleet_call_json(struct fleet *fleet, const char *method, uint16_t port,
                const char *path, const char *body);

/** fleet_ctl() - run egretctl with NULL-terminated arguments; its output when
 * it exits with 0, else NULL. */
char *
fleet_ctl(struct fleet *fleet, ...) G_GNUC_NULL_TERMINATED;

/** fleet_key() - issue a key for @team and wait until all gateways know it. */
char *
fleet_key(struct fleet *fleet, const char *team);

/** fleet_store_faults(), fleet_proxy_faults(), fleet_backend_mode() - set the
 * faults of a stand-in, as JSON text. */
void
fleet_store_faults(struct fleet *fleet, const char *faults);
void
fleet_proxy_faults(struct fleet *fleet, const char *faults);
void
fleet_backend_mode(struct fleet *fleet, const char *mode);

/** fleet_publish_leaving() - publish the host list with host @name leaving. */
void
fleet_publish_leaving(struct fleet *fleet, const char *name);

/** fleet_backend_stat() - statistic @member of @name, one of @kind ("teams",
 * "dcs", "hosts"), in the backend stand-in's summary; 0 when absent. */
int64_t
fleet_backend_stat(struct fleet *fleet, const char *kind, const char *name,
                   const char *member);

/** fleet_load_start() - start the load generator with a plan in JSON. */
GSubprocess *
fleet_load_start(struct fleet *fleet, const char *plan);

/** fleet_load_finish() - wait for the load generator; its results or NULL. */
JsonNode *
fleet_load_finish(struct fleet *fleet, GSubprocess *load);

/** fleet_load_run() - fleet_load_start() and fleet_load_finish(). */
JsonNode *
fleet_load_run(struct fleet *fleet, const char *plan);

/** fleet_load_run_at() - run the load against other targets, without checks
 * against the records of the backend stand-in. */
JsonNode *
fleet_load_run_at(struct fleet *fleet, const char *plan, const char *targets);

/** fleet_relay_start() - start a plain relay to @target; returns its address.
 */
char *
fleet_relay_start(struct fleet *fleet, const char *target,
                  bool new_connections);

/** fleet_result_double() - result @name of @team that is not an integer. */
double
fleet_result_double(JsonNode *results, const char *team, const char *name);

/** fleet_result() - result @name of @team, or of the whole run for a NULL
 * @team. */
int64_t
fleet_result(JsonNode *results, const char *team, const char *name);

/** fleet_reason_count() - how many of @team's requests ended for @reason. */
int64_t
fleet_reason_count(JsonNode *results, const char *team, const char *reason);

void
fleet_sleep_ms(int64_t ms);
int64_t
fleet_now_ms(void);

#endif
