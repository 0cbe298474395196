/* Parses the report of a gateway under STORE_KEY_DEMAND. */
#include "egretfleetd/gateway_report.h"

#include <string.h>

#include "common/json_read.h"

enum {
    COUNT_MAX = 1000000000,
};

static GHashTable *
table_create(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static double
read_number(const struct json_place *place, const char *member)
{
    JsonNode *node = json_object_get_member(place->object, member);
    if (node == NULL) {
        return 0;
    }
    double value =
        JSON_NODE_HOLDS_VALUE(node) ? json_node_get_double(node) : -1;
    if (!(value >= 0 && value <= COUNT_MAX)) {
        char *path = g_strdup_printf("%s.%s", place->path, member);
        findings_add(place->findings, place->file, path,
                     "must be a number from 0 to %d", COUNT_MAX);
        g_free(path);
        return 0;
    }
    return value;
}

/* Slots needed for the running tasks, and for the queued ones to start before
 * their deadline: a slot runs deadline_ms / run_ms queued tasks in turn. */
static double
slots_needed(const struct json_place *place)
{
    double busy = read_number(place, "busy_slots");
    double waiting = read_number(place, "queued");
    double run_ms = read_number(place, "run_ms");
    double deadline_ms = read_number(place, "deadline_ms");
    double slots_per_task = 1;
    if (run_ms > 0 && deadline_ms > run_ms) {
        slots_per_task = run_ms / deadline_ms;
    }
    return busy + waiting * slots_per_task;
}

static void
read_pools(struct gateway_report *report, const struct json_place *root)
{
    JsonObject *pools = json_read_object(root, "pools", true);
    GList *names = pools == NULL ? NULL : json_object_get_members(pools);
    for (GList *link = names; link != NULL; link = link->next) {
        struct json_place place = *root;
        char *path = g_strdup_printf("$.pools.%s", (char *)link->data);
        struct json_place parent = *root;
        parent.object = pools;
        parent.path = "$.pools";
        place.object = json_read_object(&parent, link->data, true);
        place.path = path;
        if (place.object != NULL) {
            double *slots = g_new(double, 1);
            *slots = slots_needed(&place);
            g_hash_table_insert(report->pools, g_strdup(link->data), slots);
        }
        g_free(path);
    }
    g_list_free(names);
}

static void
read_counts(GHashTable *table, const struct json_place *root,
            const char *member)
{
    struct json_place place = *root;
    char *path = g_strdup_printf("$.%s", member);
    place.object = json_read_object(root, member, false);
    place.path = path;
    GList *names =
        place.object == NULL ? NULL : json_object_get_members(place.object);
    for (GList *link = names; link != NULL; link = link->next) {
        int64_t count =
            json_read_int(&place, link->data, 0, COUNT_MAX, -1, true);
        if (count >= 0) {
            int64_t *value = g_new(int64_t, 1);
            *value = count;
            g_hash_table_insert(table, g_strdup(link->data), value);
        }
    }
    g_list_free(names);
    g_free(path);
}

static char *
read_incarnation(const struct json_place *root)
{
    const char *write = json_read_string(root, "write", true);
    if (write == NULL) {
        return NULL;
    }
    const char *colon = strrchr(write, ':');
    return colon == NULL ? g_strdup(write)
                         : g_strndup(write, (gsize)(colon - write));
}

struct gateway_report *
gateway_report_parse(const char *text, size_t size_bytes, const char *file,
                     struct findings *findings)
{
    JsonNode *root = json_read_text(text, (int64_t)size_bytes, file, findings);
    if (root == NULL) {
        return NULL;
    }
    struct json_place place = {
        .object = json_node_get_object(root),
        .file = file,
        .path = "$",
        .findings = findings,
    };
    struct gateway_report *report = g_new0(struct gateway_report, 1);
    report->incarnation = read_incarnation(&place);
    report->pools = table_create();
    report->draining = table_create();
    report->suspects = table_create();
    read_pools(report, &place);
    read_counts(report->draining, &place, "draining");
    read_counts(report->suspects, &place, "suspects");
    json_node_unref(root);
    return report;
}

void
gateway_report_destroy(struct gateway_report *report)
{
    if (report == NULL) {
        return;
    }
    g_free(report->incarnation);
    g_hash_table_destroy(report->pools);
    g_hash_table_destroy(report->draining);
    g_hash_table_destroy(report->suspects);
    g_free(report);
}
