/* The operators' configuration: what egretglade is asked to keep true. */
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

/** enum service_unit - what a team's share is counted in */
enum service_unit {
    SERVICE_UNIT_TASK,
    SERVICE_UNIT_SLOT_TIME,
};

/** enum dc_state - whether operators let work start in a data centre */
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
 * @spare: whether the pool only feeds others; takes no queue
 * @min_available_hosts: hosts that no voluntary disruption may undercut
 * @min_available_per_dc_hosts: the same within each data centre that is in
 * @host_slots: tasks one host runs at a time
 * @host_connections: connections one host accepts
 * @min_hosts: size below which the pool is never planned
 * @max_hosts: size above which it is never planned
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
 * struct config_queue - targets of a class of work
 * @pool: pool whose hosts run it
 * @open_team: team that work without a key counts for; NULL when a key is
 *             required
 * @urgent: served before queues that are not
 * @start_deadline_ms: time within which work has to start
 * @max_run_ms: longest run; the lease handed to the backend server
 * @max_queued: waiting tasks of one team on one gateway
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
 * struct config_key - a team's key as it is stored
 * @id: public part of the key
 * @hash_hex: SHA-256 of the whole key text, lower-case hexadecimal
 * @expires_s: wall time in seconds since 1970 after which the key is
 *             refused; 0 for never
 */
struct config_key {
    char *id;
    char hash_hex[CONFIG_HASH_HEX_BYTES + 1];
    int64_t expires_s;
};

/**
 * struct config_team - targets of a team
 * @share_permille: part of all service the team is due when all is full
 * @max_running: most tasks it may have running across the fleet
 */
struct config_team {
    char *name;
    uint32_t share_permille;
    uint32_t max_running;
    struct config_key *keys;
    size_t n_keys;
};

/** struct config_key_entry - a key with its owner, for look-ups by id */
struct config_key_entry {
    const struct config_key *key;
    const struct config_team *team;
};

/**
 * struct config - one generation of the configuration
 * @generation: number given by the store's compare-and-swap; only rises
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
 * config_parse() - read and check a whole configuration document
 * @root: the document
 * @file: its name, for findings
 * @findings: receives every problem found
 *
 * Returns: the configuration, or NULL when findings were added.
 */
struct config *
config_parse(JsonNode *root, const char *file, struct findings *findings);

/** config_to_json() - the whole document, members in a fixed order. */
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
 * config_find_key() - team and key by the key's public id
 * @team: set to the owner when found
 *
 * Returns: the key, or NULL.
 */
const struct config_key *
config_find_key(const struct config *config, const char *key_id,
                const struct config_team **team);

/** config_name_valid() - lower-case letters, digits and inner hyphens. */
bool
config_name_valid(const char *name);

#endif
