/* Request ids of non-idempotent requests: one owner each, one run each. */
#ifndef CORE_REQUEST_IDS_H
#define CORE_REQUEST_IDS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/outcome.h"

enum {
    /* Times a request may be sent on between gateways to find its owner. */
    REQUEST_IDS_HOPS_MAX = 3,
    REQUEST_IDS_EARLIER_OWNERS_MAX = 16,
};

/**
 * struct request_ids_options - how to create a table
 * @self: this gateway's incarnation
 * @max_entries: ids kept at once; beyond it new ids are refused, since an
 *               entry within its retention must not be forgotten
 * @retention_ms: how long after its end the outcome of an id is known
 */
struct request_ids_options {
    const char *self;
    uint32_t max_entries;
    int64_t retention_ms;
};

/**
 * struct request_id - a request that names itself
 * @team, @id: together the name
 * @body_hash_hex: hash over queue and body; another hash under the same
 *                 name is a conflict
 * @task: number of the request on this gateway; waits until told
 * @first_attempt: the caller vouches that it never sent the id before
 * @hops: how often gateways have sent it on already
 */
struct request_id {
    const char *team;
    const char *id;
    const char *body_hash_hex;
    uint64_t task;
    bool first_attempt;
    uint32_t hops;
};

/**
 * enum request_verdict - what the shell does with a request
 * @REQUEST_RUN: submit it to the dispatcher, report its end with
 *               request_ids_finished()
 * @REQUEST_WAIT: another request with this id runs or is being asked about;
 *                this one is told with it
 * @REQUEST_QUERY: ask @peer what it knows, report with
 * request_ids_query_answered()
 * @REQUEST_FORWARD: pass the request to @peer, which owns the id
 * @REQUEST_ANSWER: answer with @outcome, @reason and, if kept, @answer
 */
enum request_verdict {
    REQUEST_RUN,
    REQUEST_WAIT,
    REQUEST_QUERY,
    REQUEST_FORWARD,
    REQUEST_ANSWER,
};

/**
 * struct request_decision - verdict and what goes with it; texts and @answer
 * are valid until the next call
 * @tasks, @n_tasks: the requests that the verdict holds for, in order of
 *                   arrival; for REQUEST_RUN only the first one is run and
 *                   the others go on waiting
 * @answer: whole answer of an earlier run, or NULL
 */
struct request_decision {
    enum request_verdict verdict;
    const char *peer;
    enum outcome outcome;
    enum reason reason;
    GBytes *answer;
    const uint64_t *tasks;
    size_t n_tasks;
};

/**
 * enum id_query_result - what a gateway answers when asked about an id
 * @ID_QUERY_ABSENT: never seen here, and closed here from now on
 * @ID_QUERY_RUNNING: runs here; join it by sending the request on
 * @ID_QUERY_FINISHED: outcome known here
 * @ID_QUERY_OWNER_GONE: an earlier owner is gone; an earlier run of the id
 *                      can't be ruled out, and is closed here from now on
 * @ID_QUERY_UNREACHABLE: the peer did not answer (never sent)
 */
enum id_query_result {
    ID_QUERY_ABSENT,
    ID_QUERY_RUNNING,
    ID_QUERY_FINISHED,
    ID_QUERY_OWNER_GONE,
    ID_QUERY_UNREACHABLE,
};

/**
 * struct id_query_reply - answer of a gateway that was asked
 * @earlier_owners, @n_earlier_owners: still registered gateways that owned the
 * id within the retention time, to be asked as well
 */
struct id_query_reply {
    enum id_query_result result;
    enum outcome outcome;
    enum reason reason;
    GBytes *answer;
    const char *earlier_owners[REQUEST_IDS_EARLIER_OWNERS_MAX];
    size_t n_earlier_owners;
};

struct request_ids;

struct request_ids *
request_ids_create(const struct request_ids_options *options);
void
request_ids_destroy(struct request_ids *ids);

/** request_ids_set_members() - registered incarnations, this one included.
 * Earlier sets are remembered for the retention time. */
void
request_ids_set_members(struct request_ids *ids, const char *const *members,
                        size_t n_members, uint64_t epoch, int64_t now_ms);

/** request_ids_owner() - owner of an id now; NULL without members. */
const char *
request_ids_owner(const struct request_ids *ids, const char *team,
                  const char *id);

/** request_ids_claim() - a request with an id came from a caller or was sent
 * on by a gateway. Not to be called without standing: a gateway that missed
 * the removal of a member could take an id for its own. */
void
request_ids_claim(struct request_ids *ids, const struct request_id *request,
                  int64_t now_ms, struct request_decision *decision);

/** request_ids_query_answered() - @peer answered REQUEST_QUERY (or could not
 * be reached); the decision holds for all requests that wait for the id. */
void
request_ids_query_answered(struct request_ids *ids, const char *team,
                           const char *id, const char *peer,
                           const struct id_query_reply *report, int64_t now_ms,
                           struct request_decision *decision);

/** request_ids_query() - @querier, which owns the id now, asks about it. What
 * is not known here is closed: later requests are sent on to @querier. */
void
request_ids_query(struct request_ids *ids, const char *team, const char *id,
                  const char *querier, int64_t now_ms,
                  struct id_query_reply *report);

/**
 * request_ids_finished() - the run of an id ended
 * @answer: whole answer to keep for repeated requests, or NULL
 *
 * The decision is REQUEST_ANSWER for every request that waited, the one that
 * ran included. After OUTCOME_NOT_RUN the id may be run anew.
 */
void
request_ids_finished(struct request_ids *ids, const char *team, const char *id,
                     enum outcome outcome, enum reason reason, GBytes *answer,
                     int64_t now_ms, struct request_decision *decision);

/** request_ids_stop_waiting() - the caller of @task gave up waiting; the run
 * goes on for the others. Returns whether somebody still waits. */
bool
request_ids_stop_waiting(struct request_ids *ids, const char *team,
                         const char *id, uint64_t task);

/** request_ids_count() - entries held now. */
uint32_t
request_ids_count(const struct request_ids *ids);

#endif
