#include "common/config.h"
#include "common/json_write.h"

static void
begin_array(JsonBuilder *builder, const char *member)
{
    json_builder_set_member_name(builder, member);
    json_builder_begin_array(builder);
}

static void
add_dcs(JsonBuilder *builder, const struct config *config)
{
    begin_array(builder, "data_centres");
    for (size_t i = 0; i < config->n_dcs; i++) {
        const struct config_dc *dc = &config->dcs[i];
        json_builder_begin_object(builder);
        json_write_text(builder, "name", dc->name);
        json_write_text(builder, "region", dc->region);
        json_write_text(builder, "state",
                        dc->state == DC_OUT_OF_SERVICE ? "out" : "in");
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

static void
add_pools(JsonBuilder *builder, const struct config *config)
{
    begin_array(builder, "pools");
    for (size_t i = 0; i < config->n_pools; i++) {
        const struct config_pool *pool = &config->pools[i];
        json_builder_begin_object(builder);
        json_write_text(builder, "name", pool->name);
        json_write_bool(builder, "spare", pool->spare);
        json_write_int(builder, "min_available_hosts",
                       pool->min_available_hosts);
        json_write_int(builder, "min_available_per_dc_hosts",
                       pool->min_available_per_dc_hosts);
        json_write_int(builder, "host_slots", pool->host_slots);
        json_write_int(builder, "host_connections", pool->host_connections);
        json_write_int(builder, "min_hosts", pool->min_hosts);
        json_write_int(builder, "max_hosts", pool->max_hosts);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

static void
add_queues(JsonBuilder *builder, const struct config *config)
{
    begin_array(builder, "queues");
    for (size_t i = 0; i < config->n_queues; i++) {
        const struct config_queue *queue = &config->queues[i];
        json_builder_begin_object(builder);
        json_write_text(builder, "name", queue->name);
        json_write_text(builder, "pool", queue->pool);
        if (queue->open_team != NULL) {
            json_write_text(builder, "open_team", queue->open_team);
        }
        json_write_bool(builder, "urgent", queue->urgent);
        json_write_int(builder, "start_deadline_ms", queue->start_deadline_ms);
        json_write_int(builder, "max_run_ms", queue->max_run_ms);
        json_write_int(builder, "max_queued", queue->max_queued);
        json_write_int(builder, "max_body_bytes", queue->max_body_bytes);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

static void
add_keys(JsonBuilder *builder, const struct config_team *team)
{
    begin_array(builder, "keys");
    for (size_t i = 0; i < team->n_keys; i++) {
        const struct config_key *key = &team->keys[i];
        json_builder_begin_object(builder);
        json_write_text(builder, "id", key->id);
        json_write_text(builder, "sha256", key->hash_hex);
        json_write_int(builder, "expires_s", key->expires_s);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

static void
add_teams(JsonBuilder *builder, const struct config *config)
{
    begin_array(builder, "teams");
    for (size_t i = 0; i < config->n_teams; i++) {
        const struct config_team *team = &config->teams[i];
        json_builder_begin_object(builder);
        json_write_text(builder, "name", team->name);
        json_write_int(builder, "share_permille", team->share_permille);
        json_write_int(builder, "max_running", team->max_running);
        add_keys(builder, team);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

JsonNode *
config_to_json(const struct config *config)
{
    bool slot_time = config->unit == SERVICE_UNIT_SLOT_TIME;
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_write_text(builder, "service_unit", slot_time ? "slot_time" : "task");
    add_dcs(builder, config);
    add_pools(builder, config);
    add_queues(builder, config);
    add_teams(builder, config);
    json_builder_end_object(builder);
    JsonNode *root = json_builder_get_root(builder);
    g_object_unref(builder);
    return root;
}
