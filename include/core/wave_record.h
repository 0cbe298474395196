/* One wave of maintenance as operators and controllers see it. */
#ifndef CORE_WAVE_RECORD_H
#define CORE_WAVE_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/findings.h"

/** enum wave_state - what operators ask of a wave, and its end */
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
 * struct wave_record - one wave
 * @number: key; of two waves that meet in a pool the lower goes first
 * @pools, @dcs: NULL-ended names selected; NULL for all
 * @older_than_s: only hosts last maintained longer than this before the start
 * @started_s: wall time
 * @started_by: operator who started it
 * @total, @done: hosts selected and hosts finished
 * @estimated_end_s: estimated end, 0 for unknown
 * @wait_reason: why nothing goes on, or NULL
 * @held_out: host name to reason, both owned
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

/** wave_state_name() - lower-case name as stored. */
const char *
wave_state_name(enum wave_state state);

/** wave_is_open() - whether it may still go on. */
bool
wave_is_open(const struct wave_record *wave);

/** wave_selects() - whether a host in @pool and @dc is meant. */
bool
wave_selects(const struct wave_record *wave, const char *pool, const char *dc);

/** wave_record_parse() - NULL and findings when it is damaged. */
struct wave_record *
wave_record_parse(const char *text, size_t size_bytes, const char *file,
                  struct findings *findings);

/** wave_record_serialise() - JSON text; free with g_free(). */
char *
wave_record_serialise(const struct wave_record *wave, size_t *size_bytes);

#endif
