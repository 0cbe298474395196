/* Stored record of a maintenance wave. */
#ifndef CORE_WAVE_RECORD_H
#define CORE_WAVE_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/findings.h"

/** enum wave_state - state of a wave; operators set all but WAVE_DONE, which
 * the controllers set at the end */
enum wave_state {
    WAVE_RUNNING,
    WAVE_PAUSED,
    WAVE_STOPPED,
    WAVE_DONE,
};

enum {
    WAVE_STATE_COUNT = WAVE_DONE + 1
};

/**
 * struct wave_record - a maintenance wave: reboots the selected hosts
 * @number: number, also the key; where two waves select hosts of one pool,
 *          the lower number is processed first
 * @write_id: unique id of the last write, starts with the name of its writer,
 *            or NULL
 * @pools, @dcs: NULL-terminated names selected; NULL or empty for all
 * @older_than_s: selects hosts whose last maintenance was at least this long
 *                before the start
 * @started_s: wall time of the start
 * @started_by: operator who started it
 * @total, @done: count of selected hosts and of completed ones
 * @estimated_end_s: wall time of the estimated end, of the end itself once
 *                   done, 0 for unknown
 * @wait_reason: why the wave makes no progress, or NULL
 * @held_out: selected hosts that failed in the wave or are down: name to
 *            reason, both owned
 */
struct wave_record {
    uint64_t number;
    enum wave_state state;
    char *write_id;
    char **pools;
    char **dcs;
    int64_t older_than_s;
    int64_t started_s;
    char *started_by;
    uint32_t total;
    uint32_t done;
    int64_t estimated_end_s;
    char *wait_reason;
    GHashTable *held_out;
};

struct wave_record *
wave_record_create(void);
void
wave_record_destroy(struct wave_record *wave);
struct wave_record *
wave_record_copy(const struct wave_record *wave);

/** wave_state_name() - lower-case name, as stored. */
const char *
wave_state_name(enum wave_state state);

/** wave_is_open() - whether the wave is running or paused. */
bool
wave_is_open(const struct wave_record *wave);

/** wave_selects() - whether @wave selects hosts of @pool in @dc. */
bool
wave_selects(const struct wave_record *wave, const char *pool, const char *dc);

/**
 * wave_record_parse() - parse the JSON text of a wave
 * @file: store key, for findings
 *
 * Returns: the wave, or NULL with findings when any part is invalid.
 */
struct wave_record *
wave_record_parse(const char *text, size_t size_bytes, const char *file,
                  struct findings *findings);

/** wave_record_serialise() - JSON text of @wave; free with g_free(). */
char *
wave_record_serialise(const struct wave_record *wave, size_t *size_bytes);

#endif
