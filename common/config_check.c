#include <inttypes.h>

#include "config_internal.h"

enum {
    SHARES_TOTAL_PERMILLE = 1000,
};

/**
 * struct check - a configuration check in progress
 * @names: names of the current kind of entry, with their location
 */
struct check {
    const struct config *config;
    const char *file;
    struct findings *findings;
    GHashTable *names;
};

static void
add_finding(const struct check *check, char *path, const char *reason)
{
    findings_add(check->findings, check->file, path, "%s", reason);
    g_free(path);
}

static void
check_unique(struct check *check, const char *name, char *path)
{
    const char *first =
        name == NULL ? NULL : g_hash_table_lookup(check->names, name);
    if (name == NULL) {
        g_free(path);
    }
    else if (first == NULL) {
        g_hash_table_insert(check->names, (char *)name, path);
    }
    else {
        findings_add(check->findings, check->file, path,
                     "duplicates \"%s\" at %s", name, first);
        g_free(path);
    }
}

static void
check_dcs(struct check *check)
{
    const struct config *config = check->config;
    g_hash_table_remove_all(check->names);
    for (size_t i = 0; i < config->n_dcs; i++) {
        check_unique(check, config->dcs[i].name,
                     g_strdup_printf("$.data_centres[%zu].name", i));
    }
    if (config->dcs != NULL && config->n_dcs == 0) {
        add_finding(check, g_strdup("$.data_centres"), "must not be empty");
    }
}

static size_t
count_dcs_in_service(const struct config *config)
{
    size_t n_in_service = 0;
    for (size_t i = 0; i < config->n_dcs; i++) {
        n_in_service += config->dcs[i].state == DC_IN_SERVICE;
    }
    return n_in_service;
}

static void
check_pool(struct check *check, size_t i)
{
    const struct config_pool *pool = &check->config->pools[i];
    uint64_t per_dc_total = (uint64_t)pool->min_available_per_dc_hosts *
                            count_dcs_in_service(check->config);
    if (pool->min_hosts > pool->max_hosts) {
        add_finding(check, g_strdup_printf("$.pools[%zu].min_hosts", i),
                    "must not be above max_hosts");
    }
    if (pool->min_available_hosts > pool->max_hosts) {
        add_finding(check,
                    g_strdup_printf("$.pools[%zu].min_available_hosts", i),
                    "can't be met: it is above max_hosts");
    }
    else if (!pool->spare && pool->min_available_hosts > pool->min_hosts) {
        add_finding(check,
                    g_strdup_printf("$.pools[%zu].min_available_hosts", i),
                    "can't be met: it is above min_hosts");
    }
    if (per_dc_total > pool->max_hosts) {
        add_finding(
            check,
            g_strdup_printf("$.pools[%zu].min_available_per_dc_hosts", i),
            "can't be met: the total of all data centres is above max_hosts");
    }
}

static void
check_pools(struct check *check)
{
    const struct config *config = check->config;
    g_hash_table_remove_all(check->names);
    for (size_t i = 0; i < config->n_pools; i++) {
        check_unique(check, config->pools[i].name,
                     g_strdup_printf("$.pools[%zu].name", i));
        check_pool(check, i);
    }
}

/* Name tables are built once, so that the check takes linear time. */
static GHashTable *
index_pools(const struct config *config)
{
    GHashTable *pools = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < config->n_pools; i++) {
        if (config->pools[i].name != NULL) {
            g_hash_table_insert(pools, config->pools[i].name,
                                &config->pools[i]);
        }
    }
    return pools;
}

static GHashTable *
index_teams(const struct config *config)
{
    GHashTable *teams = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < config->n_teams; i++) {
        if (config->teams[i].name != NULL) {
            g_hash_table_add(teams, config->teams[i].name);
        }
    }
    return teams;
}

static void
check_queues(struct check *check)
{
    const struct config *config = check->config;
    GHashTable *pools = index_pools(config);
    GHashTable *teams = index_teams(config);
    g_hash_table_remove_all(check->names);
    for (size_t i = 0; i < config->n_queues; i++) {
        const struct config_queue *queue = &config->queues[i];
        const struct config_pool *pool =
            queue->pool == NULL ? NULL
                                : g_hash_table_lookup(pools, queue->pool);
        check_unique(check, queue->name,
                     g_strdup_printf("$.queues[%zu].name", i));
        if (queue->pool != NULL && pool == NULL) {
            add_finding(check, g_strdup_printf("$.queues[%zu].pool", i),
                        "names an unknown pool");
        }
        if (pool != NULL && pool->spare) {
            add_finding(check, g_strdup_printf("$.queues[%zu].pool", i),
                        "names a spare pool, which can't have queues");
        }
        if (queue->open_team != NULL &&
            !g_hash_table_contains(teams, queue->open_team)) {
            add_finding(check, g_strdup_printf("$.queues[%zu].open_team", i),
                        "names an unknown team");
        }
    }
    g_hash_table_unref(pools);
    g_hash_table_unref(teams);
}

static void
check_teams(struct check *check)
{
    const struct config *config = check->config;
    uint64_t shares_permille = 0;
    g_hash_table_remove_all(check->names);
    for (size_t i = 0; i < config->n_teams; i++) {
        shares_permille += config->teams[i].share_permille;
        check_unique(check, config->teams[i].name,
                     g_strdup_printf("$.teams[%zu].name", i));
    }
    if (shares_permille > SHARES_TOTAL_PERMILLE) {
        findings_add(check->findings, check->file, "$.teams",
                     "shares total %" PRIu64 " permille, more than %d",
                     shares_permille, SHARES_TOTAL_PERMILLE);
    }
}

static void
check_keys(struct check *check)
{
    const struct config *config = check->config;
    g_hash_table_remove_all(check->names);
    for (size_t i = 0; i < config->n_teams; i++) {
        const struct config_team *team = &config->teams[i];
        for (size_t k = 0; k < team->n_keys; k++) {
            check_unique(check, team->keys[k].id,
                         g_strdup_printf("$.teams[%zu].keys[%zu].id", i, k));
        }
    }
}

void
config_check(const struct config *config, const char *file,
             struct findings *findings)
{
    struct check check = {
        .config = config,
        .file = file,
        .findings = findings,
        .names = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free),
    };
    check_dcs(&check);
    check_pools(&check);
    check_queues(&check);
    check_teams(&check);
    check_keys(&check);
    g_hash_table_unref(check.names);
}
