/* Polls the gateways' reports and the list of registered gateways. */
#include "egretfleetd/fleet_demand.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "common/log.h"
#include "egretfleetd/gateway_report.h"
#include "store/store_keys.h"

enum {
    /* A gateway suspects a host after this many consecutive failures. */
    SUSPECT_MIN_FAILURES = 5,
    SUSPECT_MIN_GATEWAYS = 2,
};

/**
 * struct reporter - last report of a gateway
 * @report: NULL when it is invalid
 * @version: store version of the report
 * @changed_ms: time when this controller read that version
 */
struct reporter {
    struct gateway_report *report;
    uint64_t version;
    int64_t changed_ms;
};

/**
 * struct fleet_demand - polled reports
 * @reporters: gateway name to struct reporter
 * @members: set of the incarnations of registered gateways
 * @members_known: the last poll of @members succeeded
 * @pending_calls: store calls of the poll in progress
 */
struct fleet_demand {
    struct fleet_demand_options options;
    GHashTable *reporters;
    GHashTable *members;
    bool members_known;
    guint timer;
    unsigned pending_calls;
};

static void
reporter_free(void *data)
{
    struct reporter *reporter = data;
    gateway_report_destroy(reporter->report);
    g_free(reporter);
}

static bool
is_fresh(const struct fleet_demand *demand, const struct reporter *reporter)
{
    int64_t now_ms = ms_clock_now(&demand->options.clock);
    return reporter->report != NULL &&
           now_ms - reporter->changed_ms <=
               demand->options.timings.demand_stale_ms;
}

static struct gateway_report *
parse_report(const struct store_entry *entry)
{
    struct findings *findings = findings_create();
    struct gateway_report *report = gateway_report_parse(
        entry->value, entry->size_bytes, entry->key, findings);
    for (size_t i = 0; i < findings_count(findings); i++) {
        const struct finding *finding = findings_get(findings, i);
        log_line(LOG_LEVEL_WARN, "demand-damaged", "key=%s place=%s reason=%s",
                 log_quote(finding->file), log_quote(finding->path),
                 log_quote(finding->reason));
    }
    findings_destroy(findings);
    return report;
}

static void
update_report(struct fleet_demand *demand, const struct store_entry *entry)
{
    const char *name = entry->key + strlen(STORE_KEY_DEMAND);
    struct reporter *reporter = g_hash_table_lookup(demand->reporters, name);
    if (reporter == NULL) {
        reporter = g_new0(struct reporter, 1);
        g_hash_table_insert(demand->reporters, g_strdup(name), reporter);
    }
    if (reporter->version == entry->version) {
        return;
    }
    gateway_report_destroy(reporter->report);
    reporter->report = parse_report(entry);
    reporter->version = entry->version;
    reporter->changed_ms = ms_clock_now(&demand->options.clock);
}

static void
on_reports(void *ctx, const struct store_result *result)
{
    struct fleet_demand *demand = ctx;
    demand->pending_calls--;
    for (size_t i = 0; i < result->n_entries; i++) {
        update_report(demand, &result->entries[i]);
    }
}

static void
update_members(struct fleet_demand *demand, const struct store_entry *entry)
{
    struct findings *findings = findings_create();
    JsonNode *root = json_read_text(entry->value, (int64_t)entry->size_bytes,
                                    entry->key, findings);
    struct json_place place = {
        .object = root == NULL ? NULL : json_node_get_object(root),
        .file = entry->key,
        .path = "$",
        .findings = findings,
    };
    JsonObject *members = json_read_object(&place, "members", true);
    g_hash_table_remove_all(demand->members);
    GList *names = members == NULL ? NULL : json_object_get_members(members);
    for (GList *link = names; link != NULL; link = link->next) {
        g_hash_table_add(demand->members, g_strdup(link->data));
    }
    g_list_free(names);
    demand->members_known = members != NULL;
    g_clear_pointer(&root, json_node_unref);
    findings_destroy(findings);
}

static void
on_members(void *ctx, const struct store_result *result)
{
    struct fleet_demand *demand = ctx;
    demand->pending_calls--;
    demand->members_known = false;
    if (status_ok(&result->status) && result->n_entries > 0) {
        update_members(demand, &result->entries[0]);
    }
}

static gboolean
poll_reports(void *data)
{
    struct fleet_demand *demand = data;
    if (demand->pending_calls > 0) {
        return G_SOURCE_CONTINUE;
    }
    demand->pending_calls = 2;
    store_get(demand->options.store, STORE_KEY_DEMAND,
              (struct store_callback){.done = on_reports, .ctx = demand});
    store_get(demand->options.store, STORE_KEY_MEMBERS,
              (struct store_callback){.done = on_members, .ctx = demand});
    return G_SOURCE_CONTINUE;
}

struct fleet_demand *
fleet_demand_create(const struct fleet_demand_options *options)
{
    struct fleet_demand *demand = g_new0(struct fleet_demand, 1);
    demand->options = *options;
    demand->reporters =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, reporter_free);
    demand->members =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    demand->timer = g_timeout_add((guint)options->timings.demand_poll_ms,
                                  poll_reports, demand);
    poll_reports(demand);
    return demand;
}

void
fleet_demand_destroy(struct fleet_demand *demand)
{
    if (demand == NULL) {
        return;
    }
    g_source_remove(demand->timer);
    g_hash_table_destroy(demand->reporters);
    g_hash_table_destroy(demand->members);
    g_free(demand);
}

bool
fleet_demand_pool_slots(const struct fleet_demand *demand, const char *pool,
                        double *slots)
{
    bool known = false;
    *slots = 0;
    GHashTableIter iter;
    void *value = NULL;
    g_hash_table_iter_init(&iter, demand->reporters);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct reporter *reporter = value;
        if (!is_fresh(demand, reporter)) {
            continue;
        }
        const double *needed_slots =
            g_hash_table_lookup(reporter->report->pools, pool);
        known = true;
        *slots += needed_slots != NULL ? *needed_slots : 0;
    }
    return known;
}

static bool
reports_drained(const struct fleet_demand *demand, const char *incarnation,
                const char *host)
{
    GHashTableIter iter;
    void *value = NULL;
    g_hash_table_iter_init(&iter, demand->reporters);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct reporter *reporter = value;
        if (!is_fresh(demand, reporter) ||
            g_strcmp0(reporter->report->incarnation, incarnation) != 0) {
            continue;
        }
        const int64_t *running =
            g_hash_table_lookup(reporter->report->draining, host);
        return running != NULL && *running == 0;
    }
    return false;
}

bool
fleet_demand_drained(const struct fleet_demand *demand, const char *host)
{
    if (!demand->members_known || g_hash_table_size(demand->members) == 0) {
        return false;
    }
    GHashTableIter iter;
    void *incarnation = NULL;
    g_hash_table_iter_init(&iter, demand->members);
    while (g_hash_table_iter_next(&iter, &incarnation, NULL)) {
        if (!reports_drained(demand, incarnation, host)) {
            return false;
        }
    }
    return true;
}

bool
fleet_demand_suspect(const struct fleet_demand *demand, const char *host)
{
    unsigned reporting = 0;
    unsigned suspecting = 0;
    GHashTableIter iter;
    void *value = NULL;
    g_hash_table_iter_init(&iter, demand->reporters);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct reporter *reporter = value;
        if (!is_fresh(demand, reporter)) {
            continue;
        }
        reporting++;
        const int64_t *failed =
            g_hash_table_lookup(reporter->report->suspects, host);
        suspecting += failed != NULL && *failed >= SUSPECT_MIN_FAILURES;
    }
    return suspecting >= SUSPECT_MIN_GATEWAYS ||
           (reporting == 1 && suspecting == 1);
}
