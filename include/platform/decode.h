/* Decodes the platform's documents into types of the product, and encodes the
 * documents that it reads. */
#ifndef PLATFORM_DECODE_H
#define PLATFORM_DECODE_H

#include <stddef.h>
#include <stdint.h>

#include "core/jobs/backend.h"
#include "core/jobs/fleet_config.h"
#include "core/jobs/job.h"
#include "core/jobs/scheduler.h"

/* Store keys that the operator, the backend servers and the status of waves
 * use. */
#define PLATFORM_OPERATOR_PREFIX "op/"
#define PLATFORM_CONFIG_KEY "op/config"
#define PLATFORM_OUT_OF_SERVICE_PREFIX "op/evacuate/"
#define PLATFORM_WAVE_PREFIX "op/wave/"
#define PLATFORM_WAVE_STATUS_PREFIX "status/wave/"
#define PLATFORM_BACKEND_PREFIX "servers/"

/** PLATFORM_TIME_MAX_MS - start of the year 2100 in Unix time; no time that a
 * backend server states is later, whatever its clock counts from */
static const int64_t PLATFORM_TIME_MAX_MS = INT64_C(4102444800000);

/**
 * decode_config() - configuration; what of it can't be used is listed in it
 * @error: if NULL is returned because nothing can be read, receives a
 *         description with the position of the error; g_free(); NULL: not
 *         wanted
 */
struct fleet_config *
decode_config(const char *text, size_t bytes, int64_t revision, char **error);

/**
 * decode_backend() - entry of a backend server; backend_entry_clear()
 * @error: if false is returned because the entry describes no usable backend
 *         server, receives a description with the position of the error;
 *         g_free()
 */
bool
decode_backend(const char *id, const char *text, size_t bytes,
               struct backend_entry *entry, char **error);

/**
 * decode_wave() - maintenance wave; free the hosts with g_strfreev()
 * @error: if false is returned, receives a description with the position of
 *         the error; g_free(); NULL: not wanted
 */
bool
decode_wave(const char *text, size_t bytes, struct host_wave *wave,
            char **error);

/** encode_wave_status() - status of a wave for the operator; g_free(). */
char *
encode_wave_status(bool completed);

/**
 * decode_job() - a job as a caller sends it
 * @error: if NULL is returned, receives a description with the position of
 *         the error; g_free()
 */
struct job *
decode_job(const char *text, size_t bytes, char **error);

/** decode_stored_job() - a job of a record, also as earlier versions accepted
 * it; otherwise as decode_job() */
struct job *
decode_stored_job(const char *text, size_t bytes, char **error);

/** encode_job_state() - reply with a job's state; static text.
 * @started: whether any task has started */
const char *
encode_job_state(enum job_state state, bool started);

/** encode_queue_length() - reply with the number of waiting jobs of a queue;
 * g_free() */
char *
encode_queue_length(int64_t waiting);

#endif
