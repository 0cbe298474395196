#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "common/json_read.h"
#include "store/store_keys.h"
#include "table.h"
#include "common/json_write.h"

static char *
wave_key(const char *number)
{
    return g_strconcat(STORE_KEY_WAVES, number, NULL);
}

static void
update_highest_number(void *ctx, const struct store_entry *entry)
{
    int64_t *highest = ctx;
    int64_t number =
        g_ascii_strtoll(entry->key + strlen(STORE_KEY_WAVES), NULL, 10);
    *highest = MAX(*highest, number);
}

static void
add_names(JsonBuilder *builder, const char *member, const GPtrArray *names)
{
    json_builder_set_member_name(builder, member);
    json_builder_begin_array(builder);
    for (guint i = 0; i < names->len; i++) {
        json_builder_add_string_value(builder, g_ptr_array_index(names, i));
    }
    json_builder_end_array(builder);
}

static char *
create_write_id(const struct ctl *ctl)
{
    return g_strdup_printf("%s:%" PRId64, ctl->author, g_get_real_time());
}

static char *
render_wave(const struct ctl *ctl, int64_t number)
{
    char *write = create_write_id(ctl);
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_write_text(builder, "write", write);
    json_write_int(builder, "number", number);
    json_write_text(builder, "state", "running");
    json_builder_set_member_name(builder, "select");
    json_builder_begin_object(builder);
    add_names(builder, "pools", ctl->options.pools);
    add_names(builder, "dcs", ctl->options.dcs);
    json_write_int(builder, "older_than_s", ctl->options.older_than_s);
    json_builder_end_object(builder);
    json_write_int(builder, "started_s", g_get_real_time() / G_USEC_PER_SEC);
    json_write_text(builder, "by", ctl->author);
    json_write_int(builder, "total", 0);
    json_write_int(builder, "done", 0);
    json_write_int(builder, "ends_s", 0);
    json_builder_set_member_name(builder, "held_out");
    json_builder_begin_object(builder);
    json_builder_end_object(builder);
    json_builder_end_object(builder);
    char *text = json_write_finish(builder, NULL);
    g_free(write);
    return text;
}

/* Refuses unknown pools and data centres: a wave for them would never reboot
 * any host. */
static enum ctl_exit
check_selection(struct ctl *ctl)
{
    struct config_snapshot snapshot = ctl_fetch(ctl);
    enum ctl_exit code = CTL_OK;
    if (!status_ok(&snapshot.status)) {
        code = ctl_fail_status(&snapshot.status);
        ctl_snapshot_clear(&snapshot);
        return code;
    }
    for (guint i = 0; i < ctl->options.pools->len; i++) {
        const char *name = g_ptr_array_index(ctl->options.pools, i);
        if (config_find_pool(snapshot.config, name) == NULL) {
            code = ctl_fail(CTL_REFUSED, "no pool is named %s", name);
        }
    }
    for (guint i = 0; i < ctl->options.dcs->len; i++) {
        const char *name = g_ptr_array_index(ctl->options.dcs, i);
        if (config_find_dc(snapshot.config, name) == NULL) {
            code = ctl_fail(CTL_REFUSED, "no data centre is named %s", name);
        }
    }
    ctl_snapshot_clear(&snapshot);
    return code;
}

enum ctl_exit
command_maintain_start(struct ctl *ctl, int n_args, char **args)
{
    (void)n_args;
    (void)args;
    enum ctl_exit code = check_selection(ctl);
    if (code != CTL_OK) {
        return code;
    }
    int64_t highest = 0;
    struct status status =
        ctl_list(ctl, STORE_KEY_WAVES, update_highest_number, &highest);
    if (!status_ok(&status)) {
        return ctl_fail_status(&status);
    }
    char number[24];
    g_snprintf(number, sizeof(number), "%" PRId64, highest + 1);
    char *key = wave_key(number);
    char *text = render_wave(ctl, highest + 1);
    struct ctl_entry written = ctl_cas(ctl, key, text, STORE_VERSION_ABSENT);
    if (status_ok(&written.status)) {
        printf(ctl->options.json ? "{\"wave\": %s}\n" : "wave %s\n", number);
    }
    else {
        code = ctl_fail_status(&written.status);
    }
    ctl_entry_clear(&written);
    g_free(key);
    g_free(text);
    return code;
}

static const char *
text_member(JsonObject *record, const char *member)
{
    return json_object_get_string_member_with_default(record, member, "");
}

/* The wave record with @state set; NULL if the record is malformed or the wave
 * has ended. */
static char *
edit_state(const struct ctl *ctl, const char *text, const char *state)
{
    struct findings *findings = findings_create();
    JsonNode *root = json_read_text(text, -1, "wave", findings);
    findings_print(findings, stderr);
    findings_destroy(findings);
    if (root == NULL) {
        return NULL;
    }
    JsonObject *record = json_node_get_object(root);
    const char *present = text_member(record, "state");
    char *edited = NULL;
    if (g_str_equal(present, "stopped") || g_str_equal(present, "done")) {
        ctl_fail(CTL_REFUSED, "the wave has already ended: %s", present);
    }
    else {
        char *write = create_write_id(ctl);
        json_object_set_string_member(record, "write", write);
        json_object_set_string_member(record, "state", state);
        edited = json_to_string(root, FALSE);
        g_free(write);
    }
    json_node_unref(root);
    return edited;
}

enum {
    STATE_ATTEMPTS = 8,
};

/* The fleet controllers write the wave's progress to the same record, so a
 * write that conflicts is retried. */
static enum ctl_exit
set_state(struct ctl *ctl, const char *number, const char *state)
{
    char *key = wave_key(number);
    enum ctl_exit code = CTL_CONFLICT;
    for (unsigned i = 0; i < STATE_ATTEMPTS && code == CTL_CONFLICT; i++) {
        struct ctl_entry entry = ctl_get(ctl, key);
        if (!status_ok(&entry.status)) {
            code = ctl_fail_status(&entry.status);
            break;
        }
        char *text = edit_state(ctl, entry.value, state);
        code = CTL_REFUSED;
        if (text != NULL) {
            struct ctl_entry written = ctl_cas(ctl, key, text, entry.version);
            code =
                written.status.code == STATUS_CONFLICT ? CTL_CONFLICT : CTL_OK;
            if (code == CTL_OK && !status_ok(&written.status)) {
                code = ctl_fail_status(&written.status);
            }
            ctl_entry_clear(&written);
        }
        g_free(text);
        ctl_entry_clear(&entry);
    }
    g_free(key);
    return code;
}

enum ctl_exit
command_maintain_pause(struct ctl *ctl, int n_args, char **args)
{
    (void)n_args;
    return set_state(ctl, args[0], "paused");
}

enum ctl_exit
command_maintain_resume(struct ctl *ctl, int n_args, char **args)
{
    (void)n_args;
    return set_state(ctl, args[0], "running");
}

enum ctl_exit
command_maintain_stop(struct ctl *ctl, int n_args, char **args)
{
    (void)n_args;
    return set_state(ctl, args[0], "stopped");
}

struct wave_rows {
    struct table *table;
    const char *wanted;
};

static char *
held_out_text(JsonObject *record)
{
    GString *text = g_string_new(NULL);
    JsonNode *node = json_object_get_member(record, "held_out");
    if (node == NULL || !JSON_NODE_HOLDS_OBJECT(node)) {
        return g_string_free(text, FALSE);
    }
    JsonObject *held_out = json_node_get_object(node);
    GList *hosts = json_object_get_members(held_out);
    for (GList *link = hosts; link != NULL; link = link->next) {
        g_string_append_printf(text, "%s%s (%s)", text->len == 0 ? "" : ", ",
                               (char *)link->data,
                               text_member(held_out, link->data));
    }
    g_list_free(hosts);
    return g_string_free(text, FALSE);
}

static char *
ends_text(int64_t ends_s)
{
    GDateTime *time =
        ends_s == 0 ? NULL : g_date_time_new_from_unix_utc(ends_s);
    char *text =
        time == NULL ? g_strdup("-") : g_date_time_format(time, "%FT%TZ");
    g_clear_pointer(&time, g_date_time_unref);
    return text;
}

static void
add_wave(void *ctx, const struct store_entry *entry)
{
    struct wave_rows *rows = ctx;
    const char *number = entry->key + strlen(STORE_KEY_WAVES);
    if (rows->wanted != NULL && !g_str_equal(rows->wanted, number)) {
        return;
    }
    struct findings *findings = findings_create();
    JsonNode *root = json_read_text(entry->value, (int64_t)entry->size_bytes,
                                    entry->key, findings);
    findings_print(findings, stderr);
    findings_destroy(findings);
    if (root == NULL) {
        return;
    }
    JsonObject *record = json_node_get_object(root);
    char *progress = g_strdup_printf(
        "%" PRId64 "/%" PRId64,
        json_object_get_int_member_with_default(record, "done", 0),
        json_object_get_int_member_with_default(record, "total", 0));
    char *ends = ends_text(
        json_object_get_int_member_with_default(record, "ends_s", 0));
    char *held_out = held_out_text(record);
    const char *const cells[] = {
        number,   text_member(record, "state"), progress,
        ends,     text_member(record, "by"),    text_member(record, "waits"),
        held_out,
    };
    table_add(rows->table, cells);
    g_free(progress);
    g_free(ends);
    g_free(held_out);
    json_node_unref(root);
}

enum ctl_exit
command_maintain_status(struct ctl *ctl, int n_args, char **args)
{
    static const char *const heading[] = {
        "wave", "state", "done", "ends", "by", "waits for", "held out",
    };
    struct wave_rows rows = {
        .table = table_create(G_N_ELEMENTS(heading), heading),
        .wanted = n_args == 1 ? args[0] : NULL,
    };
    struct status status = ctl_list(ctl, STORE_KEY_WAVES, add_wave, &rows);
    enum ctl_exit code = CTL_OK;
    if (status_ok(&status)) {
        table_print(rows.table, ctl->options.json);
    }
    else {
        code = ctl_fail_status(&status);
    }
    table_destroy(rows.table);
    return code;
}
