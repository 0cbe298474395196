/* The operator's configuration as the job subsystem uses it. */
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
 * @maximum: most that it may have running over all pools; 0 in a field
 *           means no limit
 */
struct team_config {
    char *name;
    char **keys;
    struct resources maximum;
};

/**
 * struct queue_config - a class of work
 * @name: its name
 * @host: Host header that selects it, in lower case
 * @prefix: path prefix that selects it
 * @pool: pool whose backend servers run its tasks
 * @priority: 0 comes first
 * @attempts: runs of a task that may fail before its job fails
 * @deadline_factor: share of the job's chain of work that its objective allows
 * @objective_ms: added to @deadline_factor times the chain
 * @timeout_ms: bound of one request on it
 * @open: needs no key
 * @needs_advice: a policy of its own names the backend servers of each step
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
 * @enforces_capacity: its backend servers refuse what does not fit
 * @spare: its hosts are off and cost nothing
 */
struct pool_config {
    char *name;
    bool enforces_capacity;
    bool spare;
};

/**
 * struct ingress_limits - bounds of one caller's request; 0: none set
 */
struct ingress_limits {
    int64_t header_bytes;
    int64_t body_bytes;
    int64_t header_timeout_ms;
    int64_t idle_timeout_ms;
};

/**
 * struct fleet_config - one version of the configuration
 * @version: number given by the operator
 * @revision: revision of the store that holds it; only ever rises
 * @teams: struct team_config
 * @queues: struct queue_config
 * @pools: struct pool_config
 * @queues_by_name: index of @queues, made when first needed
 * @limits: bounds of requests
 */
struct fleet_config {
    int64_t version;
    int64_t revision;
    GPtrArray *teams;
    GPtrArray *queues;
    GPtrArray *pools;
    GHashTable *queues_by_name;
    struct ingress_limits limits;
};

struct fleet_config *
fleet_config_create(void);
void
fleet_config_destroy(struct fleet_config *config);

/** fleet_config_match() - queue of the longest prefix of @path on @host. */
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
