/* The operator's configuration, as the job subsystem uses it. */
#ifndef CORE_JOBS_FLEET_CONFIG_H
#define CORE_JOBS_FLEET_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/jobs/job.h"

/**
 * struct team_config - a client account
 * @name: its name
 * @keys: its keys, NULL-terminated
 * @maximum: most resources that its tasks may use over all pools; 0 in a field
 *           means no limit
 * @weight: its share of a full pool, relative to the other accounts; 0: none
 */
struct team_config {
    char *name;
    char **keys;
    struct resources maximum;
    int64_t weight;
};

/**
 * struct queue_config - a class of work
 * @name: its name
 * @host: Host header that selects it, in lower case
 * @prefix: path prefix that selects it
 * @pool: pool whose backend servers run its tasks
 * @priority: 0 is the highest
 * @attempts: failed runs of a task after which its job fails
 * @deadline_factor: a job is to finish within this factor times its critical
 *                   path, plus @objective_ms
 * @objective_ms: added to @deadline_factor times the critical path
 * @timeout_ms: longest duration of one request to it
 * @open: needs no key
 * @needs_advice: a policy decides which backend servers may run each step, see
 *                step_advice.h
 */
struct queue_config {
    char *name;
    char *host;
    char *prefix;
    char *pool;
    int64_t priority;
    uint32_t attempts;
    double deadline_factor;
    int64_t objective_ms;
    int64_t timeout_ms;
    bool open;
    bool needs_advice;
};

/**
 * struct pool_config - a pool of hosts
 * @name: its name
 * @enforces_capacity: its backend servers refuse tasks that exceed their
 *                     capacity
 * @spare: its hosts are switched off and cost nothing
 */
struct pool_config {
    char *name;
    bool enforces_capacity;
    bool spare;
};

/** struct ingress_limits - limits of one client request; 0: no limit */
struct ingress_limits {
    int64_t header_bytes;
    int64_t body_bytes;
    int64_t header_timeout_ms;
    int64_t idle_timeout_ms;
};

/**
 * struct fleet_config - one version of the configuration
 * @version: number given by the operator
 * @revision: store revision that holds it; only increases
 * @teams: struct team_config
 * @queues: struct queue_config
 * @pools: struct pool_config
 * @queues_by_name: index of @queues, built on first use
 * @limits: limits of requests
 * @unusable: char *, what in the operator's record can't be used, each with
 *            its position
 */
struct fleet_config {
    int64_t version;
    int64_t revision;
    GPtrArray *teams;
    GPtrArray *queues;
    GPtrArray *pools;
    GHashTable *queues_by_name;
    struct ingress_limits limits;
    GPtrArray *unusable;
};

struct fleet_config *
fleet_config_create(void);
void
fleet_config_destroy(struct fleet_config *config);

/**
 * fleet_config_match() - queue on @host with the longest prefix of @path, or
 * NULL.
 */
const struct queue_config *
fleet_config_match(const struct fleet_config *config, const char *host,
                   const char *path);

/** fleet_config_queue() - queue with @name, or NULL. */
const struct queue_config *
fleet_config_queue(const struct fleet_config *config, const char *name);
const struct pool_config *
fleet_config_pool(const struct fleet_config *config, const char *name);
const struct team_config *
fleet_config_team(const struct fleet_config *config, const char *name);

/** fleet_config_key_owner() - team that @key belongs to, or NULL. */
const struct team_config *
fleet_config_key_owner(const struct fleet_config *config, const char *key);

/** fleet_config_spare() - the first spare pool, or NULL. */
const struct pool_config *
fleet_config_spare(const struct fleet_config *config);

#endif
