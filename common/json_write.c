#include "common/json_write.h"

#include <stdlib.h>

void
json_write_text(JsonBuilder *builder, const char *member, const char *text)
{
    if (text == NULL) {
        return;
    }
    json_builder_set_member_name(builder, member);
    json_builder_add_string_value(builder, text);
}

void
json_write_int(JsonBuilder *builder, const char *member, int64_t value)
{
    json_builder_set_member_name(builder, member);
    json_builder_add_int_value(builder, value);
}

void
json_write_nonzero(JsonBuilder *builder, const char *member, int64_t value)
{
    if (value != 0) {
        json_write_int(builder, member, value);
    }
}

void
json_write_bool(JsonBuilder *builder, const char *member, bool value)
{
    json_builder_set_member_name(builder, member);
    json_builder_add_boolean_value(builder, value);
}

char *
json_write_finish(JsonBuilder *builder, size_t *size_bytes)
{
    JsonNode *root = json_builder_get_root(builder);
    JsonGenerator *generator = json_generator_new();
    json_generator_set_root(generator, root);
    char *text = json_generator_to_data(generator, size_bytes);
    g_object_unref(generator);
    json_node_unref(root);
    g_object_unref(builder);
    return text;
}

static int
compare_names(const void *a, const void *b)
{
    return g_strcmp0(*(const char *const *)a, *(const char *const *)b);
}

char **
json_write_sorted_names(GHashTable *table)
{
    guint n = 0;
    char **names = (char **)g_hash_table_get_keys_as_array(table, &n);
    qsort(names, n, sizeof(names[0]), compare_names);
    return names;
}
