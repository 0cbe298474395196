#include <stdio.h>

#include "cmd_apply.h"
#include "commands.h"
#include "config_diff.h"

static void
print_diff(struct ctl *ctl, const struct config *before,
           const struct config *after)
{
    GPtrArray *lines = config_diff(before, after);
    if (ctl->options.json) {
        JsonArray *array = json_array_new();
        for (guint i = 0; i < lines->len; i++) {
            json_array_add_string_element(array, g_ptr_array_index(lines, i));
        }
        JsonNode *root = json_node_init_array(json_node_alloc(), array);
        ctl_print_json(root);
        json_node_unref(root);
        json_array_unref(array);
    }
    else {
        for (guint i = 0; i < lines->len; i++) {
            printf("%s\n", (char *)g_ptr_array_index(lines, i));
        }
    }
    g_ptr_array_unref(lines);
}

static enum ctl_exit
diff_file(struct ctl *ctl, const char *file,
          const struct config_snapshot *active)
{
    JsonNode *root = apply_read_file(file);
    if (root == NULL) {
        return CTL_REFUSED;
    }
    struct config *after = apply_merge(root, file, active->config);
    if (after != NULL) {
        print_diff(ctl, active->config, after);
    }
    enum ctl_exit code = after == NULL ? CTL_REFUSED : CTL_OK;
    config_destroy(after);
    json_node_unref(root);
    return code;
}

static enum ctl_exit
diff_generations(struct ctl *ctl, struct config_snapshot *before,
                 const struct config_snapshot *after)
{
    if (!status_ok(&before->status)) {
        return ctl_fail_status(&before->status);
    }
    if (!status_ok(&after->status)) {
        return ctl_fail_status(&after->status);
    }
    print_diff(ctl, before->config, after->config);
    return CTL_OK;
}

static bool
parse_generation(const char *text, uint64_t *generation)
{
    return g_ascii_string_to_unsigned(text, 10, 1, INT64_MAX, generation,
                                      NULL);
}

enum ctl_exit
command_diff(struct ctl *ctl, int n_args, char **args)
{
    uint64_t first = 0;
    uint64_t second = 0;
    bool numbers = parse_generation(args[0], &first);
    if (n_args == 2 && (!numbers || !parse_generation(args[1], &second))) {
        return ctl_fail(CTL_USAGE,
                        "with two arguments, both must be generation numbers");
    }
    struct config_snapshot now =
        n_args == 2 ? ctl_fetch_generation(ctl, second) : ctl_fetch(ctl);
    enum ctl_exit code = CTL_OK;
    if (numbers) {
        struct config_snapshot before = ctl_fetch_generation(ctl, first);
        code = diff_generations(ctl, &before, &now);
        ctl_snapshot_clear(&before);
    }
    else if (!status_ok(&now.status) && now.status.code != STATUS_NOT_FOUND) {
        code = ctl_fail_status(&now.status);
    }
    else {
        code = diff_file(ctl, args[0], &now);
    }
    ctl_snapshot_clear(&now);
    return code;
}
