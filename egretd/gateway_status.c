#include "egretd/gateway_status.h"

#include "common/json_write.h"

static bool
has_quorum_lease(const struct gateway_snapshot *snapshot)
{
    return snapshot->quorum_lease_expires_ms > snapshot->now_ms;
}

static void
add_members(const struct gateway_snapshot *snapshot, JsonBuilder *builder)
{
    json_builder_set_member_name(builder, "members");
    json_builder_begin_array(builder);
    for (size_t i = 0; i < snapshot->n_members; i++) {
        json_builder_begin_object(builder);
        json_write_text(builder, "incarnation",
                        snapshot->members[i].incarnation);
        json_write_text(builder, "name", snapshot->members[i].name);
        json_write_bool(builder, "live", snapshot->members[i].live);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

static void
add_usage(const struct gateway_snapshot *snapshot, struct dispatch *dispatch,
          JsonBuilder *builder)
{
    const struct dispatch_usage *usage;
    size_t n = dispatch_usage_get(dispatch, &usage, snapshot->now_ms);
    json_builder_set_member_name(builder, "usage");
    json_builder_begin_array(builder);
    for (size_t i = 0; i < n; i++) {
        json_builder_begin_object(builder);
        json_write_text(builder, "team", usage[i].team);
        json_write_text(builder, "pool", usage[i].pool);
        json_write_int(builder, "running", usage[i].running);
        json_write_int(builder, "queued", usage[i].queued);
        json_write_int(builder, "served_milli",
                       (int64_t)usage[i].served_milli);
        json_write_int(builder, "free_permits", usage[i].free_permits);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

void
gateway_status_build(const struct gateway_snapshot *snapshot,
                     struct dispatch *dispatch, JsonBuilder *builder)
{
    json_write_text(builder, "name", snapshot->settings->name);
    json_write_text(builder, "dc", snapshot->settings->dc);
    json_write_text(builder, "version", EGRET_VERSION);
    json_write_text(builder, "incarnation", snapshot->incarnation);
    json_write_int(builder, "generation", (int64_t)snapshot->generation);
    json_write_text(builder, "config_id", snapshot->config_id);
    json_write_int(builder, "epoch", (int64_t)snapshot->epoch);
    json_write_bool(builder, "standing", has_quorum_lease(snapshot));
    json_write_bool(builder, "draining", snapshot->draining);
    json_write_int(builder, "inflight", snapshot->inflight);
    json_write_int(builder, "peers_linked", snapshot->peers.linked);
    add_members(snapshot, builder);
    add_usage(snapshot, dispatch, builder);
}

void
gateway_status_set_metrics(const struct gateway_snapshot *snapshot,
                           struct counters *counters)
{
    counters_set(counters, "egret_config_generation", NULL,
                 (int64_t)snapshot->generation);
    counters_set(counters, "egret_standing", NULL, has_quorum_lease(snapshot));
    counters_set(counters, "egret_inflight", NULL, snapshot->inflight);
    counters_set(counters, "egret_peers_linked", NULL, snapshot->peers.linked);
    counters_set(counters, "egret_peer_bytes_in_total", NULL,
                 (int64_t)snapshot->peers.bytes_in);
    counters_set(counters, "egret_peer_bytes_out_total", NULL,
                 (int64_t)snapshot->peers.bytes_out);
    counters_set(counters, "egret_peer_rejected_total", NULL,
                 (int64_t)snapshot->peers.rejected);
    counters_set(counters, "egret_store_calls_total", NULL,
                 (int64_t)snapshot->store.calls);
    counters_set(counters, "egret_store_failures_total", NULL,
                 (int64_t)snapshot->store.failures);
    counters_set(counters, "egret_store_read_backs_total", NULL,
                 (int64_t)snapshot->store.read_backs);
    counters_set(counters, "egret_store_bytes_in_total", NULL,
                 (int64_t)snapshot->store.bytes_in);
    counters_set(counters, "egret_store_bytes_out_total", NULL,
                 (int64_t)snapshot->store.bytes_out);
}
