/* Keys and values of egretjobd in the key-value store. */
#ifndef EGRETJOBD_RECORDS_H
#define EGRETJOBD_RECORDS_H

#include <stddef.h>
#include <stdint.h>

#include "core/jobs/backend.h"
#include "core/jobs/job.h"
#include "core/jobs/scheduler.h"

#define RECORD_JOB_PREFIX "eg/job/"
#define RECORD_PROGRESS_PREFIX "eg/progress/"
#define RECORD_BACKEND_PREFIX "eg/backend/"
#define RECORD_INBOX_PREFIX "eg/inbox/"
#define RECORD_PEER_PREFIX "eg/peer/"
#define RECORD_WAVE_PREFIX "eg/wave/"
#define RECORD_HOSTS_PREFIX "eg/hosts/"
/* Hosts that the leader sent commands about recently, separated by spaces. */
#define RECORD_HOST_COMMANDS_KEY "eg/hosts/ordered"
#define RECORD_LEADER_KEY "eg/duty/scheduler"
#define RECORD_LEADERSHIP_PREFIX "eg/duty/"
/* Leases that the previous leader left open, as far as it could tell. */
#define RECORD_HANDOVER_KEY "eg/duty/handover"
#define RECORD_TERM_KEY "eg/duty/term"
/* Last term whose run numbers a leader has reserved beyond its own. */
#define RECORD_RUN_NUMBERS_KEY "eg/duty/run-numbers"

/* Values under RECORD_INBOX_PREFIX: messages for the scheduler. A new job is
 * told by its record, or by INBOX_JOB if that is long. */
#define INBOX_JOB "job"
#define INBOX_CANCEL "cancel"

/**
 * struct job_envelope - a job as it was accepted
 * @body: the job as the caller sent it
 */
struct job_envelope {
    const char *queue;
    const char *pool;
    const char *team;
    uint32_t attempts;
    int64_t accepted_unix_ms;
    const char *body;
    size_t body_bytes;
};

/** record_job_encode() - value of a job's record; g_free(). */
char *
record_job_encode(const struct job_envelope *envelope);

/**
 * record_tombstone_encode() - record in place of that of a job which was
 * cancelled before it was accepted; g_free().
 *
 * A request to store the job that is still on its way finds it and is refused.
 * It is deleted like the record of a finished job.
 */
char *
record_tombstone_encode(const char *queue, const char *pool, const char *team,
                        int64_t unix_ms);

/** record_is_tombstone() - whether a job's record is a tombstone. */
bool
record_is_tombstone(const char *value, size_t bytes);

/** record_job_decode() - job of a record, without its progress, or NULL; that
 * of a tombstone has no tasks. */
struct job *
record_job_decode(const char *id, const char *value, size_t bytes);

/**
 * record_progress_encode() - value of a job's progress; g_free().
 *
 * Omits what a job can do without if it would have more than @bytes_max bytes:
 * first checkpoints, then what crashes say, then numbers of failed runs.
 */
char *
record_progress_encode(const struct job *job, size_t bytes_max);

/** record_progress_bytes() - most bytes that the least record of the progress
 * of @n_open open occurrences takes. */
size_t
record_progress_bytes(const struct job *job, size_t n_open);

/** record_open_max() - most open occurrences whose progress fits into
 * @bytes_max bytes; 0: not even one does. */
uint32_t
record_open_max(const struct job *job, size_t bytes_max);

/**
 * record_progress_apply() - apply a stored progress record to @job
 *
 * Marks the job as changed if the record is of an earlier version and has
 * service tasks as done.
 *
 * Return: false if its state is not known.
 */
bool
record_progress_apply(struct job *job, const char *value, size_t bytes);

/** record_progress_state() - state in a progress record; false if it is not
 * known. */
bool
record_progress_state(const char *value, size_t bytes, enum job_state *state);

/** record_backend_encode() - value of a registered backend server;
 * g_free(). */
char *
record_backend_encode(const struct backend_entry *entry);

/** record_backend_decode() - backend server of a record; false if a field is
 * missing. Clear @entry afterwards. */
bool
record_backend_decode(const char *id, const char *value, size_t bytes,
                      struct backend_entry *entry);

/** record_leases_encode() - record of the leases that the leader with @token
 * leaves open; g_free(). */
char *
record_leases_encode(int64_t token, const struct open_leases *leases);

/**
 * record_leases_decode() - read such a record
 * @left_ms: gets the id of each silent backend server and an int64_t, in ms
 *
 * Return: token of the leader that wrote it; 0: none.
 */
int64_t
record_leases_decode(const char *value, int64_t *longest_ms,
                     GHashTable *left_ms);

/**
 * record_peer_encode() - record of an entry host: where its peers reach it,
 * and its processor capacity in cores; g_free().
 */
char *
record_peer_encode(const char *address, double cores);

/** record_peer_decode() - false if @value is no such record; g_free()
 * @address. @cores is 0 if the record doesn't name them. */
bool
record_peer_decode(const char *value, char **address, double *cores);

#endif
