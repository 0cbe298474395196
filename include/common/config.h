/* The configuration that operators apply: data centres, pools, queues, teams
 * and their targets. */
#ifndef COMMON_CONFIG_H
#define COMMON_CONFIG_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/findings.h"

enum {
    CONFIG_NAME_MAX_BYTES = 63,
    CONFIG_HASH_HEX_BYTES = 64,
};

/** enum service_unit - unit in which the shares of teams are measured */
enum service_unit {
    SERVICE_UNIT_TASK,
    SERVICE_UNIT_SLOT_TIME,
};

/** enum dc_state - whether work may start in a data centre */
enum dc_state {
    DC_IN_SERVICE,
    DC_OUT_OF_SERVICE,
};

struct config_dc {
    char *name;
    char *region;
    enum dc_state state;
};

/**
 * struct config_pool - targets of a pool
 * @name: unique name
 * @spare: whether the pool only supplies hosts to other pools; no queue may
 *         use it
 * @min_available_hosts: available hosts that voluntary disruptions must leave
 * @min_available_per_dc_hosts: the same for each data centre in service
 * @host_slots: tasks one host runs concurrently
 * @host_connections: connections one host accepts
 * @min_hosts: smallest planned size of the pool
 * @max_hosts: largest planned size of the pool
 */
struct config_pool {
    char *name;
    bool spare;
    uint32_t min_available_hosts;
    uint32_t min_available_per_dc_hosts;
    uint32_t host_slots;
    uint32_t host_connections;
    uint32_t min_hosts;
    uint32_t max_hosts;
};

/**
 * struct config_queue - targets of a queue
 * @pool: pool whose hosts run its tasks
 * @open_team: team to which tasks submitted without a key are accounted; NULL
 *             when a key is required
 * @urgent: served before queues that are not urgent
 * @start_deadline_ms: time within which a task must start
 * @max_run_ms: longest run time; the lease granted to the backend server
 * @max_queued: limit of waiting tasks per team and gateway
 * @max_body_bytes: largest request body
 */
struct config_queue {
    char *name;
    char *pool;
    char *open_team;
    bool urgent;
    int64_t start_deadline_ms;
    int64_t max_run_ms;
    uint32_t max_queued;
    int64_t max_body_bytes;
};

/**
 * struct config_key - stored form of a team's API key
 * @id: public part of the key
 * @hash_hex: SHA-256 of the complete key text, lower-case hexadecimal
 * @expires_s: wall time in seconds since 1970 after which the key is rejected;
 *             0 for never
 */
struct config_key {
    char *id;
    char hash_hex[CONFIG_HASH_HEX_BYTES + 1];
    int64_t expires_s;
};

/**
 * struct config_team - targets of a team
 * @share_permille: share of all service that the team is entitled to when
 *                  demand exceeds capacity
 * @max_running: limit of its running tasks across the fleet
 */
struct config_team {
    char *name;
    uint32_t share_permille;
    uint32_t max_running;
    struct config_key *keys;
    size_t n_keys;
};

/** struct config_key_entry - a key and its team, for look-up by id */
struct config_key_entry {
    const struct config_key *key;
    const struct config_team *team;
};

/**
 * struct config - one generation of the configuration
 * @generation: generation number; increases with every published change
 * @dcs, @pools, @queues, @teams: sorted by name
 * @key_index: every key of every team, sorted by id
 */
struct config {
    uint64_t generation;
    enum service_unit unit;
    struct config_dc *dcs;
    size_t n_dcs;
    struct config_pool *pools;
    size_t n_pools;
    struct config_queue *queues;
    size_t n_queues;
    struct config_team *teams;
    size_t n_teams;
    struct config_key_entry *key_index;
    size_t n_keys;
};

/**
 * config_parse() - read and validate a complete configuration document
 * @root: the document
 * @file: document name for findings
 * @findings: receives every problem found
 *
 * Returns: the configuration, or NULL when findings were added.
 */
struct config *
config_parse(JsonNode *root, const char *file, struct findings *findings);

/** config_to_json() - the complete document, with a fixed member order. */
JsonNode *
config_to_json(const struct config *config);

void
config_destroy(struct config *config);

/** config_find_*() - entry by name, or NULL. */
const struct config_dc *
config_find_dc(const struct config *config, const char *name);
const struct config_pool *
config_find_pool(const struct config *config, const char *name);
const struct config_queue *
config_find_queue(const struct config *config, const char *name);
const struct config_team *
config_find_team(const struct config *config, const char *name);

/**
 * config_find_key() - key and its team by the key's public id
 * @team: set to the owner when found
 *
 * Returns: the key, or NULL.
 */
const struct config_key *
config_find_key(const struct config *config, const char *key_id,
                const struct config_team **team);

/** config_name_valid() - whether @name is 1 to 63 lower-case letters, digits
 * and inner hyphens. */
bool
config_name_valid(const char *name);

#endif
