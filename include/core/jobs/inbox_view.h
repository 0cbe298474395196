/*
 * How recent the leader's knowledge of the jobs is that other entry hosts
 * accept. They leave a message for each in the inbox, which the leader lists
 * again and again; a message may name a job that has to be read first. Jobs
 * count as known only up to a listing that was whole and all of whose reads
 * have found their job, so an answer can tell what it rests on.
 */
#ifndef CORE_JOBS_INBOX_VIEW_H
#define CORE_JOBS_INBOX_VIEW_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct inbox_view - listings and reads, times on the leader's clock
 * @serial: number of the last listing that was begun
 * @begun_ms: when it was begun
 * @listing: it is open
 * @missed: a read failed while it was open
 * @reads: reads without a result
 * @due_serial: listing that makes jobs known once its reads have found
 *              them; 0: none
 * @due_begun_ms: when it was begun
 * @due_reads: reads of it and of earlier ones without a result
 * @known_ms: jobs that were accepted before this time are known; 0: none
 */
struct inbox_view {
    uint32_t serial;
    int64_t begun_ms;
    bool listing;
    bool missed;
    uint32_t reads;
    uint32_t due_serial;
    int64_t due_begun_ms;
    uint32_t due_reads;
    int64_t known_ms;
};

/** inbox_view_loaded() - all jobs that were accepted before @requested_ms have
 * been read with the other records after a takeover. */
void
inbox_view_loaded(struct inbox_view *view, int64_t requested_ms);

/** inbox_view_begin() - a listing is requested at @now_ms. */
void
inbox_view_begin(struct inbox_view *view, int64_t now_ms);

/** inbox_view_read() - a message of the open listing names a job that has to
 * be read; returns the serial to hand back with the result. */
uint32_t
inbox_view_read(struct inbox_view *view);

/** inbox_view_read_done() - result of a read; @known: the job is known now, or
 * certainly not stored. */
void
inbox_view_read_done(struct inbox_view *view, uint32_t serial, bool known);

/** inbox_view_end() - the open listing has ended; @whole: all messages were
 * listed. */
void
inbox_view_end(struct inbox_view *view, bool whole);

/** inbox_view_age_ms() - how long before @now_ms a job must have been accepted
 * to be certainly known; -1: none is. */
int64_t
inbox_view_age_ms(const struct inbox_view *view, int64_t now_ms);

#endif
