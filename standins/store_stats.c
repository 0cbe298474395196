#include "store_stats.h"

#include <glib.h>
#include <inttypes.h>

void
store_stats_init(struct store_stats *stats)
{
    stats->started_us = g_get_monotonic_time();
}

void
store_stats_count(struct store_stats *stats, const char *method, bool hosts,
                  bool is_watch)
{
    if (hosts) {
        stats->hosts++;
    }
    else if (g_str_equal(method, "PUT")) {
        stats->puts++;
    }
    else if (g_str_equal(method, "DELETE")) {
        stats->deletes++;
    }
    else if (is_watch) {
        stats->watches++;
    }
    else {
        stats->gets++;
    }
}

char *
store_stats_render(const struct store_stats *stats)
{
    int64_t uptime_ms = (g_get_monotonic_time() - stats->started_us) / 1000;
    return g_strdup_printf(
        "{\"uptime_ms\":%" PRId64 ",\"gets\":%" PRIu64 ",\"watches\":%" PRIu64
        ",\"puts\":%" PRIu64 ",\"deletes\":%" PRIu64 ",\"hosts\":%" PRIu64
        ",\"bytes_in\":%" PRIu64 ",\"bytes_out\":%" PRIu64 "}",
        uptime_ms, stats->gets, stats->watches, stats->puts, stats->deletes,
        stats->hosts, stats->bytes_in, stats->bytes_out);
}
