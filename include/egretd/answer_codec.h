/* Encodes answers, to retain them and to send them between gateways. */
#ifndef EGRETD_ANSWER_CODEC_H
#define EGRETD_ANSWER_CODEC_H

#include "egretd/answer.h"

/** answer_encode() - @answer as bytes; NULL if it has no body from a backend
 * server. */
GBytes *
answer_encode(const struct answer *answer);

/** answer_decode() - decode @bytes; NULL if they are malformed. */
struct answer *
answer_decode(GBytes *bytes);

#endif
