#include <stdio.h>

#include "process_fleet.h"

static GSubprocess *
start_load(struct fleet *fleet, const char *plan, const char *targets,
           bool checked)
{
    char *plan_file = g_build_filename(fleet->run_dir, "plan.json", NULL);
    char *program =
        g_build_filename(fleet->build_dir, "standins/standin-load", NULL);
    char *targets_arg = g_strdup_printf("--targets=%s", targets);
    char *plan_arg = g_strdup_printf("--plan=%s", plan_file);
    char *config = g_strdup_printf("--config=%s", fleet->config_file);
    char *out = g_strdup_printf("--out=%s/results.json", fleet->run_dir);
    char *backend =
        g_strdup_printf("--backend=127.0.0.1:%u", fleet->backend_port);
    g_file_set_contents(plan_file, plan, -1, NULL);
    const char *argv[] = {program, targets_arg, plan_arg,
                          config,  out,         checked ? backend : NULL,
                          NULL};
    GSubprocess *load = g_subprocess_newv(
        argv,
        checked ? G_SUBPROCESS_FLAGS_NONE : G_SUBPROCESS_FLAGS_STDOUT_SILENCE,
        NULL);
    g_free(plan_file);
    g_free(program);
    g_free(targets_arg);
    g_free(plan_arg);
    g_free(config);
    g_free(out);
    g_free(backend);
    return load;
}

GSubprocess *
fleet_load_start(struct fleet *fleet, const char *plan)
{
    GString *targets = g_string_new(NULL);
    for (uint32_t i = 0; i < fleet->n_gateways; i++) {
        g_string_append_printf(targets, "%s127.0.0.1:%u", i == 0 ? "" : ",",
                               fleet->http_ports[i]);
    }
    GSubprocess *load = start_load(fleet, plan, targets->str, true);
    g_string_free(targets, TRUE);
    return load;
}

JsonNode *
fleet_load_run_at(struct fleet *fleet, const char *plan, const char *targets)
{
    return fleet_load_finish(fleet, start_load(fleet, plan, targets, false));
}

JsonNode *
fleet_load_finish(struct fleet *fleet, GSubprocess *load)
{
    char *path = g_build_filename(fleet->run_dir, "results.json", NULL);
    char *text = NULL;
    JsonNode *results = NULL;
    g_subprocess_wait(load, NULL, NULL);
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        results = json_from_string(text, NULL);
        remove(path);
    }
    g_object_unref(load);
    g_free(text);
    g_free(path);
    return results;
}

JsonNode *
fleet_load_run(struct fleet *fleet, const char *plan)
{
    return fleet_load_finish(fleet, fleet_load_start(fleet, plan));
}

static JsonObject *
team_results(JsonNode *results, const char *team)
{
    JsonObject *teams =
        json_object_get_object_member(json_node_get_object(results), "teams");
    return json_object_get_object_member(teams, team);
}

int64_t
fleet_result(JsonNode *results, const char *team, const char *name)
{
    if (team == NULL) {
        return json_object_get_int_member(json_node_get_object(results), name);
    }
    return json_object_get_int_member(team_results(results, team), name);
}

double
fleet_result_double(JsonNode *results, const char *team, const char *name)
{
    return json_object_get_double_member(team_results(results, team), name);
}

int64_t
fleet_reason_count(JsonNode *results, const char *team, const char *reason)
{
    JsonObject *reasons =
        json_object_get_object_member(team_results(results, team), "reasons");
    return json_object_get_int_member_with_default(reasons, reason, 0);
}
