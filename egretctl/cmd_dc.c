#include "change.h"
#include "commands.h"

struct dc_change {
    const char *name;
    enum dc_state state;
};

static enum ctl_exit
edit_dc(void *ctx, const struct config *active, struct config **config)
{
    const struct dc_change *wanted = ctx;
    struct config_dc *dc =
        active == NULL
            ? NULL
            : (struct config_dc *)config_find_dc(*config, wanted->name);
    if (dc == NULL) {
        return ctl_fail(CTL_REFUSED, "no data centre is named %s",
                        wanted->name);
    }
    dc->state = wanted->state;
    return CTL_OK;
}

static enum ctl_exit
change_dc(struct ctl *ctl, const char *name, enum dc_state state)
{
    struct dc_change wanted = {.name = name, .state = state};
    char *subject = g_strdup_printf("data_centres[%s]", name);
    char *summary = g_strdup_printf(
        "dc %s %s", state == DC_OUT_OF_SERVICE ? "out" : "in", name);
    enum ctl_exit code = change_publish(ctl, &(struct config_change){
                                                 .summary = summary,
                                                 .subject = subject,
                                                 .edit = edit_dc,
                                                 .ctx = &wanted,
                                             });
    g_free(subject);
    g_free(summary);
    return code;
}

enum ctl_exit
command_dc_in(struct ctl *ctl, int n_args, char **args)
{
    (void)n_args;
    return change_dc(ctl, args[0], DC_IN_SERVICE);
}

enum ctl_exit
command_dc_out(struct ctl *ctl, int n_args, char **args)
{
    (void)n_args;
    return change_dc(ctl, args[0], DC_OUT_OF_SERVICE);
}
