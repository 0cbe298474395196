/* Authentication of HTTP requests between egretglade's own programs. */
#ifndef COMMON_REQUEST_AUTH_H
#define COMMON_REQUEST_AUTH_H

#include <stdbool.h>
#include <stddef.h>

/**
 * request_auth_sign() - value for the "Egret-Auth" header
 * @secret: shared secret
 * @method, @path: of the request
 * @extra: additional text to sign, or NULL
 *
 * Returns: "<nonce>:<hex HMAC-SHA-256>", to be freed with g_free(); an empty
 * text, which no receiver accepts, if the kernel returned no random bytes.
 */
char *
request_auth_sign(const char *secret, const char *method, const char *path,
                  const char *extra);

/** request_auth_verify() - whether @value was signed with the same secret and
 * texts; compares in constant time. */
bool
request_auth_verify(const char *secret, const char *method, const char *path,
                    const char *extra, const char *value);

/** constant_time_equal() - compares @size_bytes bytes in constant time. */
bool
constant_time_equal(const void *a, const void *b, size_t size_bytes);

#endif
