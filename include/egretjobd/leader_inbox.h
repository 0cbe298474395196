/* The leader's inbox: messages that other entry hosts leave in the store while
 * they can't reach it. */
#ifndef EGRETJOBD_LEADER_INBOX_H
#define EGRETJOBD_LEADER_INBOX_H

#include <glib.h>
#include <stdint.h>

struct leader;
struct leader_inbox;

/**
 * struct inbox_stats - how well the leader keeps up with its inbox
 * @age_ms: jobs that were accepted longer ago are known; -1: not yet read
 * @listing_ms: how long the last listing took
 * @messages: messages in it
 * @reads: jobs that messages name and that are still to be read
 * @oldest_ms: age of the oldest job that it found
 */
struct inbox_stats {
    int64_t age_ms;
    int64_t listing_ms;
    uint32_t messages;
    uint32_t reads;
    int64_t oldest_ms;
};

struct leader_inbox *
leader_inbox_create(struct leader *leader);
void
leader_inbox_destroy(struct leader_inbox *inbox);

/**
 * leader_inbox_start() - handle the messages that a new leader has read with
 *                        the other records, then begin to list the inbox
 * @items: struct kv_item
 * @jobs_requested_ms: when the records of jobs were requested
 * @requested_ms: when the messages were requested
 */
void
leader_inbox_start(struct leader_inbox *inbox, const GPtrArray *items,
                   int64_t jobs_requested_ms, int64_t requested_ms);

/** leader_inbox_job_added() - the scheduler knows job @id now; cancels it if a
 * message has said so before. */
void
leader_inbox_job_added(struct leader_inbox *inbox, const char *id);

/** leader_inbox_age_ms() - jobs that were accepted longer ago than this are
 * known; -1: the inbox hasn't been read since the takeover. */
int64_t
leader_inbox_age_ms(const struct leader_inbox *inbox);

void
leader_inbox_stats(const struct leader_inbox *inbox,
                   struct inbox_stats *stats);

#endif
