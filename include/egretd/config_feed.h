/* Keeps the newest configuration generation in force on a gateway. */
#ifndef EGRETD_CONFIG_FEED_H
#define EGRETD_CONFIG_FEED_H

#include "common/config.h"
#include "common/counters.h"
#include "common/ms_clock.h"
#include "store/store.h"
#include "wire/message.h"

/** struct config_feed_listener - told when a newer generation is in force */
struct config_feed_listener {
    void (*changed)(void *ctx, const struct config *config);
    void *ctx;
};

/**
 * struct config_feed_options - sources of generations
 * @poll_ms: interval of the plain reads that back up the watch
 */
struct config_feed_options {
    struct store *store;
    struct counters *counters;
    struct ms_clock clock;
    int64_t poll_ms;
    struct config_feed_listener listener;
};

struct config_feed;

struct config_feed *
config_feed_create(const struct config_feed_options *options);
void
config_feed_destroy(struct config_feed *feed);

/** config_feed_current() - configuration in force, or NULL at start. Valid
 * until the next @changed call has returned. */
const struct config *
config_feed_current(const struct config_feed *feed);

/** config_feed_generation() - its number, 0 for none. */
uint64_t
config_feed_generation(const struct config_feed *feed);

/** config_feed_refresh() - read the head now. */
void
config_feed_refresh(struct config_feed *feed);

/** config_feed_confirmed_ms() - when the newest read was sent that found
 * nothing newer than what is in force; INT64_MIN for none. */
int64_t
config_feed_confirmed_ms(const struct config_feed *feed);

/** config_feed_id() - id of the apply that wrote it, "" for none. */
const char *
config_feed_id(const struct config_feed *feed);

/** config_feed_offer() - a peer's generation; put in force if newer. */
void
config_feed_offer(struct config_feed *feed,
                  const struct message_config *offer);

/**
 * config_feed_make_message() - what is in force, as a message to a peer
 * @have_generation: generation that the peer has in force, 0 for none. Parts
 *                   that it holds already are left out, as long as that
 *                   generation is remembered here.
 *
 * Returns: false when there is none. The caller clears the message.
 */
bool
config_feed_make_message(const struct config_feed *feed,
                         uint64_t have_generation, struct message *message);

#endif
