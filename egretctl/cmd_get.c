#include <inttypes.h>
#include <stdio.h>

#include "commands.h"
#include "table.h"

enum ctl_exit
command_get(struct ctl *ctl, int n_args, char **args)
{
    uint64_t generation = 0;
    if (n_args == 1 && !g_ascii_string_to_unsigned(args[0], 10, 1, INT64_MAX,
                                                   &generation, NULL)) {
        return ctl_fail(CTL_USAGE, "expected a generation number, got: %s",
                        args[0]);
    }
    struct config_snapshot snapshot =
        n_args == 1 ? ctl_fetch_generation(ctl, generation) : ctl_fetch(ctl);
    enum ctl_exit code = CTL_OK;
    if (status_ok(&snapshot.status)) {
        JsonNode *root = config_to_json(snapshot.config);
        ctl_print_json(root);
        json_node_unref(root);
    }
    else {
        code = ctl_fail_status(&snapshot.status);
    }
    ctl_snapshot_clear(&snapshot);
    return code;
}

struct history_wait {
    struct ctl *ctl;
    struct table *table;
    struct status status;
};

static char *
format_time(int64_t wall_s)
{
    GDateTime *time = g_date_time_new_from_unix_utc(wall_s);
    char *text =
        time == NULL ? g_strdup("-") : g_date_time_format(time, "%FT%TZ");
    g_clear_pointer(&time, g_date_time_unref);
    return text;
}

static void
on_history(void *ctx, const struct config_history *history)
{
    struct history_wait *wait = ctx;
    wait->status = history->status;
    for (guint i = 0; i < history->heads->len; i++) {
        const struct config_head *head = g_ptr_array_index(history->heads, i);
        char generation[32];
        g_snprintf(generation, sizeof(generation), "%" PRIu64,
                   head->generation);
        char *written = format_time(head->written_s);
        const char *const cells[] = {
            generation, written, head->author, head->id, head->summary,
        };
        table_add(wait->table, cells);
        g_free(written);
    }
    g_main_loop_quit(wait->ctl->loop);
}

enum ctl_exit
command_history(struct ctl *ctl, int n_args, char **args)
{
    (void)n_args;
    (void)args;
    static const char *const heading[] = {
        "generation", "written", "author", "id", "summary",
    };
    struct history_wait wait = {
        .ctl = ctl,
        .table = table_create(G_N_ELEMENTS(heading), heading),
    };
    config_history_read(ctl->store, (struct config_history_callback){
                                        .done = on_history,
                                        .ctx = &wait,
                                    });
    g_main_loop_run(ctl->loop);
    enum ctl_exit code = CTL_OK;
    if (status_ok(&wait.status)) {
        table_print(wait.table, ctl->options.json);
    }
    else {
        code = ctl_fail_status(&wait.status);
    }
    table_destroy(wait.table);
    return code;
}
