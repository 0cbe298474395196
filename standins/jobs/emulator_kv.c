/* HTTP interface of the store. */
#include "emulator.h"

#include <stdlib.h>
#include <string.h>

#include "common/text.h"
#include "platform/json_text.h"

enum {
    PAGE_ITEMS_MAX = 500,
    REFUSED_STATUS = 503,
};

/**
 * struct watch - a call that waits for changes of keys under @prefix
 * @after: revision after which changes count
 */
struct watch {
    struct http_exchange *exchange;
    char *prefix;
    int64_t after;
    int64_t until_ms;
};

static char *
query_value(const char *path, const char *name)
{
    const char *query = strchr(path, '?');
    char *start = g_strdup_printf("%s=", name);
    char *found = NULL;
    char **pairs = g_strsplit(query == NULL ? "" : query + 1, "&", 0);
    for (char **pair = pairs; *pair != NULL && found == NULL; pair++) {
        if (g_str_has_prefix(*pair, start)) {
            found = g_uri_unescape_string(*pair + strlen(start), NULL);
        }
    }
    g_strfreev(pairs);
    g_free(start);
    return found;
}

static void
add_row(GString *out, const struct kv_row *row)
{
    g_string_append(out, "{\"key\":");
    text_add_json(out, row->key);
    g_string_append_printf(out, ",\"revision\":%" G_GINT64_FORMAT,
                           row->revision);
    if (row->deleted) {
        g_string_append(out, ",\"deleted\":true}");
        return;
    }
    g_string_append_printf(out,
                           ",\"lease\":%" G_GINT64_FORMAT ",\"value\":\"%s\"}",
                           row->lease, row->value);
}

static void
reply_text(struct http_exchange *exchange, int status, GString *body)
{
    http_exchange_reply(exchange, status, body->str);
    g_string_free(body, TRUE);
}

static void
serve_key(struct emulator *emulator, struct http_exchange *exchange)
{
    char *key = query_value(http_exchange_path(exchange), "key");
    if (key != NULL && g_strcmp0(key, emulator->unreadable_key) == 0) {
        http_exchange_reply(exchange, REFUSED_STATUS, "{}");
        g_free(key);
        return;
    }
    const struct kv_row *row =
        key == NULL ? NULL : kv_model_get(&emulator->kv, key);
    g_free(key);
    GString *body = g_string_new(NULL);
    if (row == NULL) {
        g_string_append_printf(body, "{\"as_of\":%" G_GINT64_FORMAT "}",
                               emulator->kv.revision);
        reply_text(exchange, 404, body);
        return;
    }
    add_row(body, row);
    g_string_truncate(body, body->len - 1);
    g_string_append_printf(body, ",\"as_of\":%" G_GINT64_FORMAT "}",
                           emulator->kv.revision);
    reply_text(exchange, 200, body);
}

struct range {
    const char *prefix;
    const char *after;
    GString *out;
    uint32_t count;
    bool more;
};

static gboolean
add_to_range(void *key, void *value, void *data)
{
    struct range *range = data;
    if (!g_str_has_prefix(key, range->prefix) ||
        (range->after != NULL && strcmp(key, range->after) <= 0)) {
        return FALSE;
    }
    if (range->count == PAGE_ITEMS_MAX) {
        range->more = true;
        return TRUE;
    }
    if (range->count++ > 0) {
        g_string_append_c(range->out, ',');
    }
    add_row(range->out, value);
    return FALSE;
}

static void
serve_range(struct emulator *emulator, struct http_exchange *exchange)
{
    char *prefix = query_value(http_exchange_path(exchange), "prefix");
    char *after = query_value(http_exchange_path(exchange), "after");
    struct range range = {
        .prefix = prefix == NULL ? "" : prefix,
        .after = after,
        .out = g_string_new("{\"items\":["),
    };
    g_tree_foreach(emulator->kv.rows, add_to_range, &range);
    g_string_append_printf(
        range.out, "],\"has_more\":%s,\"as_of\":%" G_GINT64_FORMAT "}",
        range.more ? "true" : "false", emulator->kv.revision);
    reply_text(exchange, 200, range.out);
    g_free(prefix);
    g_free(after);
}

/* Answers a watch if there are changes or its wait is over; true if so. */
static bool
answer_watch(struct emulator *emulator, struct watch *watch, int64_t now_ms)
{
    GString *body = g_string_new("{\"events\":[");
    uint32_t count = 0;
    for (guint i = 0; i < emulator->kv.history->len; i++) {
        const struct kv_row *row = g_ptr_array_index(emulator->kv.history, i);
        if (row->revision > watch->after &&
            g_str_has_prefix(row->key, watch->prefix)) {
            g_string_append(body, count++ > 0 ? "," : "");
            add_row(body, row);
        }
    }
    if (count == 0 && now_ms < watch->until_ms) {
        g_string_free(body, TRUE);
        return false;
    }
    g_string_append_printf(body, "],\"as_of\":%" G_GINT64_FORMAT "}",
                           emulator->kv.revision);
    reply_text(watch->exchange, 200, body);
    g_free(watch->prefix);
    g_free(watch);
    return true;
}

void
emulator_kv_answer_watches(struct emulator *emulator, int64_t now_ms)
{
    for (guint i = emulator->watches->len; i > 0; i--) {
        struct watch *watch = g_ptr_array_index(emulator->watches, i - 1);
        if (answer_watch(emulator, watch, now_ms)) {
            g_ptr_array_remove_index_fast(emulator->watches, i - 1);
        }
    }
}

static void
serve_watch(struct emulator *emulator, struct http_exchange *exchange)
{
    const char *path = http_exchange_path(exchange);
    char *after = query_value(path, "after");
    char *wait = query_value(path, "wait_ms");
    struct watch *watch = g_new0(struct watch, 1);
    watch->exchange = exchange;
    watch->prefix = query_value(path, "prefix");
    watch->after = after == NULL ? 0 : g_ascii_strtoll(after, NULL, 10);
    watch->until_ms = emulator_now_ms() +
                      (wait == NULL ? 0 : g_ascii_strtoll(wait, NULL, 10));
    g_ptr_array_add(emulator->watches, watch);
    g_free(after);
    g_free(wait);
}

static bool
conditions_met(const struct emulator *emulator, const cJSON *conditions,
               GString *items)
{
    bool met = true;
    const cJSON *condition;
    cJSON_ArrayForEach(condition, conditions)
    {
        const char *key = json_text_get(condition, "key");
        const struct kv_row *row = kv_model_get(&emulator->kv, key);
        struct kv_row none = {.key = (char *)key, .value = (char *)""};
        met = met && (row == NULL ? 0 : row->revision) ==
                         json_int_get(condition, "revision", 0);
        g_string_append(items, items->len > 0 ? "," : "");
        add_row(items, row == NULL ? &none : row);
    }
    return met;
}

static void
apply_txn(struct emulator *emulator, const cJSON *body)
{
    kv_model_next_revision(&emulator->kv);
    const cJSON *row;
    cJSON_ArrayForEach(row, cJSON_GetObjectItemCaseSensitive(body, "puts"))
    {
        kv_model_put(&emulator->kv, json_text_get(row, "key"),
                     json_text_get(row, "value"),
                     json_int_get(row, "lease", 0));
    }
    cJSON_ArrayForEach(row, cJSON_GetObjectItemCaseSensitive(body, "deletes"))
    {
        kv_model_delete(&emulator->kv, cJSON_GetStringValue(row));
    }
}

static bool
values_too_long(const struct emulator *emulator, const cJSON *puts)
{
    const cJSON *row;
    cJSON_ArrayForEach(row, puts)
    {
        gsize bytes = 0;
        g_free(g_base64_decode(json_text_get(row, "value"), &bytes));
        if (bytes > emulator->value_bytes_max) {
            return true;
        }
    }
    return false;
}

static void
serve_txn(struct emulator *emulator, struct http_exchange *exchange)
{
    size_t bytes = 0;
    const char *text = http_exchange_body(exchange, &bytes);
    cJSON *body = json_document_read(text, bytes, NULL);
    if (values_too_long(emulator,
                        cJSON_GetObjectItemCaseSensitive(body, "puts"))) {
        emulator->rejected++;
        cJSON_Delete(body);
        http_exchange_reply(exchange, 400, "{}");
        return;
    }
    GString *items = g_string_new(NULL);
    bool met = conditions_met(
        emulator, cJSON_GetObjectItemCaseSensitive(body, "expected"), items);
    GString *answer = g_string_new(NULL);
    if (met) {
        apply_txn(emulator, body);
        g_string_append_printf(answer, "{\"revision\":%" G_GINT64_FORMAT "}",
                               emulator->kv.revision);
    }
    else {
        g_string_append_printf(answer, "{\"items\":[%s]}", items->str);
    }
    g_string_free(items, TRUE);
    cJSON_Delete(body);
    reply_text(exchange, met ? 200 : 412, answer);
}

static void
serve_lease(struct emulator *emulator, struct http_exchange *exchange)
{
    size_t bytes = 0;
    const char *text = http_exchange_body(exchange, &bytes);
    cJSON *body = json_document_read(text, bytes, NULL);
    const struct kv_lease *lease = kv_model_grant_lease(
        &emulator->kv, json_int_get(body, "ttl_ms", 1000), emulator_now_ms());
    cJSON_Delete(body);
    GString *answer = g_string_new(NULL);
    g_string_append_printf(answer,
                           "{\"lease\":%" G_GINT64_FORMAT
                           ",\"ttl_ms\":%" G_GINT64_FORMAT "}",
                           lease->id, lease->ttl_ms);
    reply_text(exchange, 200, answer);
}

static void
serve_lease_renewal(struct emulator *emulator, struct http_exchange *exchange,
                    int64_t id)
{
    struct kv_lease *lease = kv_model_find_lease(&emulator->kv, id);
    if (lease == NULL) {
        http_exchange_reply(exchange, 404, "{}");
        return;
    }
    lease->expires_ms = emulator_now_ms() + lease->ttl_ms;
    http_exchange_reply(exchange, 200, "{\"ttl_ms\":0}");
}

void
emulator_kv_request(void *ctx, struct http_exchange *exchange)
{
    struct emulator *emulator = ctx;
    const char *path = http_exchange_path(exchange);
    const char *last = strrchr(path, '/');
    int64_t id = g_ascii_strtoll(last + 1, NULL, 10);
    if (emulator->store_unresponsive) {
        g_ptr_array_add(emulator->withheld, exchange);
    }
    else if (emulator->store_down) {
        http_exchange_reply(exchange, REFUSED_STATUS, "{}");
    }
    else if (g_str_has_prefix(path, "/v1/kv-key?")) {
        emulator->reads++;
        serve_key(emulator, exchange);
    }
    else if (g_str_has_prefix(path, "/v1/kv-range?")) {
        serve_range(emulator, exchange);
    }
    else if (g_str_has_prefix(path, "/v1/kv-watch?")) {
        serve_watch(emulator, exchange);
    }
    else if (strcmp(path, "/v1/kv-txn") == 0) {
        serve_txn(emulator, exchange);
    }
    else if (strcmp(path, "/v1/kv-lease") == 0) {
        serve_lease(emulator, exchange);
    }
    else if (g_str_has_prefix(path, "/v1/kv-keep/")) {
        serve_lease_renewal(emulator, exchange, id);
    }
    else if (g_str_has_prefix(path, "/v1/kv-lease-end/")) {
        kv_model_revoke_lease(&emulator->kv, id);
        http_exchange_reply(exchange, 200, "{}");
    }
    else {
        http_exchange_reply(exchange, 404, "{}");
    }
}
