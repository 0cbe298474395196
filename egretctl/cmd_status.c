#include <inttypes.h>
#include <stdio.h>

#include "commands.h"
#include "gateways.h"
#include "pools.h"
#include "table.h"

static const char *
format_number(char *buffer, size_t size_bytes, int64_t number)
{
    if (number < 0) {
        return NULL;
    }
    g_snprintf(buffer, size_bytes, "%" PRId64, number);
    return buffer;
}

static struct table *
tabulate_gateways(const GPtrArray *gateways)
{
    static const char *const heading[] = {
        "gateway", "dc",       "state", "generation", "epoch",
        "peers",   "inflight", "work",  "problem",
    };
    struct table *table = table_create(G_N_ELEMENTS(heading), heading);
    for (guint i = 0; i < gateways->len; i++) {
        const struct gateway *gateway = g_ptr_array_index(gateways, i);
        char numbers[4][24];
        const char *work =
            gateway_response_bool(gateway, "standing") ? "starts" : "stopped";
        const char *const cells[] = {
            gateway->name,
            gateway->dc,
            gateway->state,
            format_number(numbers[0], sizeof(numbers[0]),
                          gateway_response_int(gateway, "generation")),
            format_number(numbers[1], sizeof(numbers[1]),
                          gateway_response_int(gateway, "epoch")),
            format_number(numbers[2], sizeof(numbers[2]),
                          gateway_response_int(gateway, "peers_linked")),
            format_number(numbers[3], sizeof(numbers[3]),
                          gateway_response_int(gateway, "inflight")),
            gateway->response == NULL ? NULL : work,
            gateway->error_text,
        };
        table_add(table, cells);
    }
    return table;
}

static struct table *
tabulate_dcs(const struct config *config)
{
    static const char *const heading[] = {"data centre", "region", "state"};
    struct table *table = table_create(G_N_ELEMENTS(heading), heading);
    for (size_t i = 0; i < config->n_dcs; i++) {
        const struct config_dc *dc = &config->dcs[i];
        const char *const cells[] = {
            dc->name,
            dc->region,
            dc->state == DC_OUT_OF_SERVICE ? "out" : "in",
        };
        table_add(table, cells);
    }
    return table;
}

static void
print_config(const struct ctl *ctl, const struct config_snapshot *snapshot,
             const struct table *pools)
{
    struct table *dcs = tabulate_dcs(snapshot->config);
    printf(ctl->options.json ? "\"generation\": %" PRIu64
                               ",\n\"data_centres\": "
                             : "\nconfiguration: generation %" PRIu64 "\n\n",
           snapshot->head->generation);
    table_print(dcs, ctl->options.json);
    printf(ctl->options.json ? ",\n\"pools\": " : "\n");
    table_print(pools, ctl->options.json);
    table_destroy(dcs);
}

static enum ctl_exit
print_status(struct ctl *ctl, GPtrArray *gateways,
             const struct config_snapshot *snapshot)
{
    struct table *pools = status_ok(&snapshot->status)
                              ? pools_tabulate(ctl, snapshot->config)
                              : NULL;
    struct table *table = tabulate_gateways(gateways);
    printf(ctl->options.json ? "{\"gateways\": " : "");
    table_print(table, ctl->options.json);
    if (pools != NULL) {
        printf(ctl->options.json ? ",\n" : "");
        print_config(ctl, snapshot, pools);
        table_destroy(pools);
    }
    printf(ctl->options.json ? "}\n" : "");
    table_destroy(table);
    if (snapshot->status.code == STATUS_NOT_FOUND) {
        return ctl_fail(CTL_OK, "no configuration has been applied yet");
    }
    return status_ok(&snapshot->status) ? CTL_OK
                                        : ctl_fail_status(&snapshot->status);
}

enum ctl_exit
command_status(struct ctl *ctl, int n_args, char **args)
{
    (void)n_args;
    (void)args;
    struct status status;
    GPtrArray *gateways = gateways_fetch(ctl, &status);
    if (gateways == NULL) {
        return ctl_fail_status(&status);
    }
    gateways_query(ctl, gateways, "/v1/status");
    struct config_snapshot snapshot = ctl_fetch(ctl);
    enum ctl_exit code = print_status(ctl, gateways, &snapshot);
    ctl_snapshot_clear(&snapshot);
    g_ptr_array_unref(gateways);
    return code;
}

enum ctl_exit
command_explain(struct ctl *ctl, int n_args, char **args)
{
    (void)n_args;
    static const char *const numbers[] = {
        "queued",        "running", "hosts",      "hosts_accepting",
        "hosts_ejected", "slots",   "slots_busy", "oldest_ms",
    };
    enum {
        N_NUMBERS = G_N_ELEMENTS(numbers),
    };
    const char *heading[N_NUMBERS + 2] = {"gateway"};
    struct status status;
    GPtrArray *gateways = gateways_fetch(ctl, &status);
    if (gateways == NULL) {
        return ctl_fail_status(&status);
    }
    char *escaped = g_uri_escape_string(args[0], NULL, FALSE);
    char *path = g_strconcat("/v1/explain/", escaped, NULL);
    gateways_query(ctl, gateways, path);
    memcpy(heading + 1, numbers, sizeof(numbers));
    heading[N_NUMBERS + 1] = "waits for";
    struct table *table = table_create(G_N_ELEMENTS(heading), heading);
    unsigned n_responses = 0;
    for (guint i = 0; i < gateways->len; i++) {
        const struct gateway *gateway = g_ptr_array_index(gateways, i);
        char texts[N_NUMBERS][24];
        const char *cells[N_NUMBERS + 2] = {gateway->name};
        for (size_t k = 0; k < N_NUMBERS; k++) {
            cells[k + 1] =
                format_number(texts[k], sizeof(texts[k]),
                              gateway_response_int(gateway, numbers[k]));
        }
        cells[N_NUMBERS + 1] =
            gateway->response == NULL
                ? gateway->error_text
                : gateway_response_string(gateway, "waits_for");
        n_responses += gateway->response != NULL;
        table_add(table, cells);
    }
    table_print(table, ctl->options.json);
    table_destroy(table);
    g_ptr_array_unref(gateways);
    g_free(escaped);
    g_free(path);
    return n_responses > 0
               ? CTL_OK
               : ctl_fail(CTL_REFUSED,
                          "no gateway has information on this queue");
}
