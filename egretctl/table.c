#include "table.h"

#include <stdint.h>
#include <stdio.h>
#include <string.h>

#define NO_VALUE "-"

struct table {
    size_t n_columns;
    GPtrArray *rows;
};

static void
row_destroy(void *row)
{
    g_strfreev(row);
}

struct table *
table_create(size_t n_columns, const char *const *heading)
{
    struct table *table = g_new0(struct table, 1);
    table->n_columns = n_columns;
    table->rows = g_ptr_array_new_with_free_func(row_destroy);
    table_add(table, heading);
    return table;
}

void
table_destroy(struct table *table)
{
    g_ptr_array_unref(table->rows);
    g_free(table);
}

void
table_add(struct table *table, const char *const *cells)
{
    char **row = g_new0(char *, table->n_columns + 1);
    for (size_t i = 0; i < table->n_columns; i++) {
        row[i] = g_strdup(cells[i] == NULL || cells[i][0] == '\0' ? NO_VALUE
                                                                  : cells[i]);
    }
    g_ptr_array_add(table->rows, row);
}

static int
column_width(const struct table *table, size_t column)
{
    size_t width = 0;
    for (guint i = 0; i < table->rows->len; i++) {
        char *const *row = g_ptr_array_index(table->rows, i);
        width = MAX(width, strlen(row[column]));
    }
    return (int)width;
}

static void
print_columns(const struct table *table)
{
    for (guint i = 0; i < table->rows->len; i++) {
        char *const *row = g_ptr_array_index(table->rows, i);
        for (size_t column = 0; column + 1 < table->n_columns; column++) {
            printf("%-*s  ", column_width(table, column), row[column]);
        }
        printf("%s\n", row[table->n_columns - 1]);
    }
}

/* Spaces in a heading become underscores in the name of the JSON member. */
static void
add_name(JsonBuilder *builder, const char *heading)
{
    char *name = g_strdelimit(g_strdup(heading), " ", '_');
    json_builder_set_member_name(builder, name);
    g_free(name);
}

static void
add_cell(JsonBuilder *builder, const char *cell)
{
    gint64 number = 0;
    if (g_ascii_string_to_signed(cell, 10, INT64_MIN, INT64_MAX, &number,
                                 NULL)) {
        json_builder_add_int_value(builder, number);
    }
    else if (g_str_equal(cell, NO_VALUE)) {
        json_builder_add_null_value(builder);
    }
    else {
        json_builder_add_string_value(builder, cell);
    }
}

static void
print_objects(const struct table *table)
{
    char *const *heading = g_ptr_array_index(table->rows, 0);
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_array(builder);
    for (guint i = 1; i < table->rows->len; i++) {
        char *const *row = g_ptr_array_index(table->rows, i);
        json_builder_begin_object(builder);
        for (size_t column = 0; column < table->n_columns; column++) {
            add_name(builder, heading[column]);
            add_cell(builder, row[column]);
        }
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, TRUE);
    printf("%s\n", text);
    g_free(text);
    json_node_unref(root);
    g_object_unref(builder);
}

void
table_print(const struct table *table, bool json)
{
    if (json) {
        print_objects(table);
    }
    else {
        print_columns(table);
    }
}
