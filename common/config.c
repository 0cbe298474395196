#include "common/config.h"

#include <stdlib.h>
#include <string.h>

#include "config_internal.h"

bool
config_name_valid(const char *name)
{
    size_t size = strlen(name);
    if (size == 0 || size > CONFIG_NAME_MAX_BYTES) {
        return false;
    }
    for (const char *c = name; *c != '\0'; c++) {
        if (!g_ascii_islower(*c) && !g_ascii_isdigit(*c) && *c != '-') {
            return false;
        }
    }
    return name[0] != '-' && name[size - 1] != '-';
}

static void
team_clear(struct config_team *team)
{
    for (size_t i = 0; i < team->n_keys; i++) {
        g_free(team->keys[i].id);
    }
    g_free(team->keys);
    g_free(team->name);
}

void
config_destroy(struct config *config)
{
    if (config == NULL) {
        return;
    }
    for (size_t i = 0; i < config->n_dcs; i++) {
        g_free(config->dcs[i].name);
        g_free(config->dcs[i].region);
    }
    for (size_t i = 0; i < config->n_pools; i++) {
        g_free(config->pools[i].name);
    }
    for (size_t i = 0; i < config->n_queues; i++) {
        g_free(config->queues[i].name);
        g_free(config->queues[i].pool);
        g_free(config->queues[i].open_team);
    }
    for (size_t i = 0; i < config->n_teams; i++) {
        team_clear(&config->teams[i]);
    }
    g_free(config->dcs);
    g_free(config->pools);
    g_free(config->queues);
    g_free(config->teams);
    g_free(config->key_index);
    g_free(config);
}

/* Every entry type has its name (or id) as first member. */
static int
compare_names(const void *a, const void *b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

static void
sort_entries(void *entries, size_t n_entries, size_t size_bytes)
{
    if (n_entries > 0) {
        qsort(entries, n_entries, size_bytes, compare_names);
    }
}

static const void *
find_entry(const void *entries, size_t n_entries, size_t size_bytes,
           const char *name)
{
    if (n_entries == 0) {
        return NULL;
    }
    return bsearch(&name, entries, n_entries, size_bytes, compare_names);
}

static int
compare_key_entries(const void *a, const void *b)
{
    const struct config_key_entry *x = a;
    const struct config_key_entry *y = b;
    return strcmp(x->key->id, y->key->id);
}

static void
build_key_index(struct config *config)
{
    size_t n_keys = 0;
    for (size_t i = 0; i < config->n_teams; i++) {
        n_keys += config->teams[i].n_keys;
    }
    config->key_index = g_new0(struct config_key_entry, n_keys);
    for (size_t i = 0; i < config->n_teams; i++) {
        struct config_team *team = &config->teams[i];
        for (size_t k = 0; k < team->n_keys; k++) {
            config->key_index[config->n_keys++] = (struct config_key_entry){
                .key = &team->keys[k],
                .team = team,
            };
        }
    }
    if (n_keys > 0) {
        qsort(config->key_index, n_keys, sizeof(*config->key_index),
              compare_key_entries);
    }
}

void
config_sort(struct config *config)
{
    sort_entries(config->dcs, config->n_dcs, sizeof(*config->dcs));
    sort_entries(config->pools, config->n_pools, sizeof(*config->pools));
    sort_entries(config->queues, config->n_queues, sizeof(*config->queues));
    sort_entries(config->teams, config->n_teams, sizeof(*config->teams));
    for (size_t i = 0; i < config->n_teams; i++) {
        struct config_team *team = &config->teams[i];
        sort_entries(team->keys, team->n_keys, sizeof(*team->keys));
    }
    build_key_index(config);
}

const struct config_dc *
config_find_dc(const struct config *config, const char *name)
{
    return find_entry(config->dcs, config->n_dcs, sizeof(*config->dcs), name);
}

const struct config_pool *
config_find_pool(const struct config *config, const char *name)
{
    return find_entry(config->pools, config->n_pools, sizeof(*config->pools),
                      name);
}

const struct config_queue *
config_find_queue(const struct config *config, const char *name)
{
    return find_entry(config->queues, config->n_queues,
                      sizeof(*config->queues), name);
}

const struct config_team *
config_find_team(const struct config *config, const char *name)
{
    return find_entry(config->teams, config->n_teams, sizeof(*config->teams),
                      name);
}

const struct config_key *
config_find_key(const struct config *config, const char *key_id,
                const struct config_team **team)
{
    const struct config_key wanted = {.id = (char *)key_id};
    const struct config_key_entry probe = {.key = &wanted};
    if (config->n_keys == 0) {
        return NULL;
    }
    const struct config_key_entry *found =
        bsearch(&probe, config->key_index, config->n_keys,
                sizeof(*config->key_index), compare_key_entries);
    if (found == NULL) {
        return NULL;
    }
    *team = found->team;
    return found->key;
}
