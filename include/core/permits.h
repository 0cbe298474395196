/* One team's permits on one gateway: what may run here, what to write. */
#ifndef CORE_PERMITS_H
#define CORE_PERMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** struct permits_holding - permits of one gateway incarnation */
struct permits_holding {
    char *incarnation;
    uint32_t held;
};

/**
 * struct permits_record - a team's record as stored
 * @write: names the write, so that a lost answer can be told by reading back
 * @generation: configuration generation that last changed @limit
 * @limit: most permits all holdings may add up to; they add up to more only
 *         while a lowered limit takes hold
 * @holdings: sorted by incarnation, none of them 0
 */
struct permits_record {
    char *write;
    uint64_t generation;
    uint32_t limit;
    struct permits_holding *holdings;
    size_t n_holdings;
};

struct permits_record *
permits_record_create(void);
struct permits_record *
permits_record_copy(const struct permits_record *record);
void
permits_record_destroy(struct permits_record *record);

/** permits_record_held() - permits of @incarnation, 0 for none. */
uint32_t
permits_record_held(const struct permits_record *record,
                    const char *incarnation);

/** permits_record_set() - change a holding; 0 removes it. */
void
permits_record_set(struct permits_record *record, const char *incarnation,
                   uint32_t held);

/** permits_record_sum() - all holdings. */
uint64_t
permits_record_sum(const struct permits_record *record);

/**
 * struct permits - a team's record as one gateway last saw it
 *
 * A holding is lowered here before the write that lowers it is sent, and
 * raised only when a write or a read confirms it. While the holdings add up
 * to more than the limit, nothing may start anywhere.
 */
struct permits;

struct permits *
permits_create(const char *self);
void
permits_destroy(struct permits *permits);

/** permits_set_limit() - limit in configuration @generation. */
void
permits_set_limit(struct permits *permits, uint32_t limit,
                  uint64_t generation);

/** permits_observe() - use of the team here, once each heartbeat. */
void
permits_observe(struct permits *permits, uint32_t running, uint32_t queued);

/** permits_read() - the record at @version; NULL and 0 when there is none.
 * Versions older than the one known are ignored. */
void
permits_read(struct permits *permits, const struct permits_record *record,
             uint64_t version);

/** permits_peer_request() - @peer asks for @permits; kept until the next plan.
 */
void
permits_peer_request(struct permits *permits, const char *peer,
                     uint32_t count);

/**
 * struct permits_fleet - facts about the fleet that a plan rests on
 * @n_live: registered gateways
 * @rank: place of this one among them
 * @is_live: whether an incarnation is registered
 * @reclaimable: whether a holding can be in use no more
 */
struct permits_fleet {
    uint32_t n_live;
    uint32_t rank;
    bool (*is_live)(void *ctx, const char *incarnation);
    bool (*reclaimable)(void *ctx, const char *incarnation);
    void *ctx;
};

/**
 * struct permits_write - a write to send: CAS of @record at @version
 * @record: valid until permits_written()
 */
struct permits_write {
    const struct permits_record *record;
    uint64_t version;
};

/**
 * permits_plan() - next write for the team
 * @running: attempts that count here now
 *
 * permits_usable() has to be applied after it and before the write is sent.
 * Returns: whether there is one; never while another is under way.
 */
bool
permits_plan(struct permits *permits, uint32_t running,
             const struct permits_fleet *fleet, struct permits_write *write);

/** enum permits_write_result - how a write ended */
enum permits_write_result {
    PERMITS_WRITTEN,
    PERMITS_REFUSED,
    PERMITS_NOT_SENT,
    PERMITS_UNKNOWN,
};

/** permits_written() - end of the write; @version is the new version for
 * PERMITS_WRITTEN. The present record, if known, goes to permits_read(). */
void
permits_written(struct permits *permits, enum permits_write_result answer,
                uint64_t version);

/** permits_record_deleted() - the record is not there any more. */
void
permits_record_deleted(struct permits *permits);

/** permits_usable() - attempts that may be counted here. */
uint32_t
permits_usable(const struct permits *permits);

/** permits_stale() - whether the record should be read (again). */
bool
permits_stale(const struct permits *permits);

/** permits_refresh() - the record may have changed; read it again. */
void
permits_refresh(struct permits *permits);

/** permits_shortage() - how many more this gateway would use, after what is
 * free has been taken. */
uint32_t
permits_shortage(const struct permits *permits,
                 const struct permits_fleet *fleet);

/** permits_incarnation_holds() - whether the last known record names
 * @incarnation. */
bool
permits_incarnation_holds(const struct permits *permits,
                          const char *incarnation);

/** permits_record() - last known record, or NULL. */
const struct permits_record *
permits_record(const struct permits *permits);

/** permits_release() - from now on give back whatever is not running. */
void
permits_release(struct permits *permits);

#endif
