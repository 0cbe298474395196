#include "egretjobd/operator_records.h"

#include <string.h>

#include "common/text.h"
#include "platform/json_text.h"
#include "platform/kv.h"

/* Values of any bytes; readable ones stay so, as earlier versions know no
 * other. */
static void
add_value(GString *text, const struct kv_item *item)
{
    if (item->value == NULL) {
        return;
    }
    if (memchr(item->value, '\0', item->value_bytes) == NULL &&
        g_utf8_validate_len(item->value, item->value_bytes, NULL)) {
        g_string_append(text, ",\"value\":");
        text_add_json(text, item->value);
        return;
    }
    char *base64 =
        g_base64_encode((const guchar *)item->value, item->value_bytes);
    g_string_append_printf(text, ",\"value_base64\":\"%s\"", base64);
    g_free(base64);
}

char *
operator_records_encode(const GPtrArray *items, int64_t age_ms, int64_t as_of)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(text,
                           "{\"age_ms\":%" G_GINT64_FORMAT
                           ",\"as_of\":%" G_GINT64_FORMAT ",\"items\":[",
                           age_ms, as_of);
    for (guint i = 0; i < items->len; i++) {
        const struct kv_item *item = g_ptr_array_index(items, i);
        g_string_append(text, i == 0 ? "{\"key\":" : ",{\"key\":");
        text_add_json(text, item->key);
        g_string_append_printf(text, ",\"revision\":%" G_GINT64_FORMAT,
                               item->revision);
        add_value(text, item);
        g_string_append_c(text, '}');
    }
    g_string_append(text, "]}");
    return g_string_free(text, FALSE);
}

static struct kv_item *
read_record(const cJSON *row)
{
    const char *key = json_text_get(row, "key");
    const char *value = json_text_get(row, "value");
    const char *base64 = json_text_get(row, "value_base64");
    if (key == NULL || (value == NULL && base64 == NULL)) {
        return NULL;
    }
    gsize bytes = value == NULL ? 0 : strlen(value);
    guchar *decoded = value == NULL ? g_base64_decode(base64, &bytes) : NULL;
    struct kv_item item = {
        .key = (char *)key,
        .value = value == NULL ? (char *)decoded : (char *)value,
        .value_bytes = bytes,
        .revision = json_int_get(row, "revision", 0),
    };
    struct kv_item *copy = kv_item_copy(&item);
    g_free(decoded);
    return copy;
}

bool
operator_records_decode(const char *text, size_t bytes, GPtrArray *items,
                        int64_t *age_ms, int64_t *as_of, char **error)
{
    cJSON *body = json_document_read(text, bytes, error);
    if (body == NULL) {
        return false;
    }
    *age_ms = json_int_get(body, "age_ms", -1);
    *as_of = json_int_get(body, "as_of", 0);
    const cJSON *rows = cJSON_GetObjectItemCaseSensitive(body, "items");
    if (*age_ms < 0 || !cJSON_IsArray(rows)) {
        *error = g_strdup("$: expected age_ms and the array items");
        cJSON_Delete(body);
        return false;
    }
    const cJSON *row;
    cJSON_ArrayForEach(row, rows)
    {
        struct kv_item *item = read_record(row);
        if (item != NULL) {
            g_ptr_array_add(items, item);
        }
    }
    cJSON_Delete(body);
    return true;
}
