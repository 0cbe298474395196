#include "pools.h"

#include <inttypes.h>
#include <stdio.h>

#include "common/json_read.h"
#include "store/store_keys.h"

static const char *const numbers[] = {
    "hosts", "available", "budget", "disrupted", "failed", "spare",
};
static const char *const texts[] = {"next_step", "waits_for", "finding"};

enum {
    N_NUMBERS = G_N_ELEMENTS(numbers),
    N_TEXTS = G_N_ELEMENTS(texts),
    NUMBER_BYTES = 24,
};

static void
add_row(struct table *table, const struct json_place *pools, const char *pool)
{
    char cells_text[N_NUMBERS][NUMBER_BYTES];
    const char *cells[1 + N_NUMBERS + N_TEXTS] = {pool};
    struct json_place place = *pools;
    place.object = json_read_object(pools, pool, false);
    for (size_t i = 0; i < N_NUMBERS && place.object != NULL; i++) {
        int64_t number =
            json_read_int(&place, numbers[i], 0, INT32_MAX, 0, true);
        g_snprintf(cells_text[i], NUMBER_BYTES, "%" PRId64, number);
        cells[1 + i] = cells_text[i];
    }
    for (size_t i = 0; i < N_TEXTS && place.object != NULL; i++) {
        cells[1 + N_NUMBERS + i] = json_object_get_string_member_with_default(
            place.object, texts[i], NULL);
    }
    table_add(table, cells);
}

static void
add_rows(struct table *table, const struct config *config,
         const struct json_place *root)
{
    struct json_place pools = *root;
    pools.object = json_read_object(root, "pools", true);
    pools.path = "$.pools";
    for (size_t i = 0; i < config->n_pools; i++) {
        add_row(table, &pools, config->pools[i].name);
    }
}

static void
add_record(struct table *table, const struct config *config,
           const struct ctl_entry *entry)
{
    struct findings *findings = findings_create();
    JsonNode *root =
        entry->value == NULL
            ? NULL
            : json_read_text(entry->value, -1, "fleet status", findings);
    struct json_place place = {
        .object = root == NULL ? NULL : json_node_get_object(root),
        .file = "fleet status",
        .path = "$",
        .findings = findings,
    };
    add_rows(table, config, &place);
    findings_print(findings, stderr);
    g_clear_pointer(&root, json_node_unref);
    findings_destroy(findings);
}

struct table *
pools_tabulate(struct ctl *ctl, const struct config *config)
{
    static const char *const heading[] = {
        "pool",   "hosts", "available", "budget",    "disrupted",
        "failed", "spare", "next step", "waits for", "finding",
    };
    struct table *table = table_create(G_N_ELEMENTS(heading), heading);
    struct ctl_entry entry = ctl_get(ctl, STORE_KEY_FLEET_STATUS);
    add_record(table, config, &entry);
    ctl_entry_clear(&entry);
    return table;
}
