#include "common/request_auth.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>
#include <sys/random.h>

enum {
    NONCE_BYTES = 16,
};

static char *
compute_mac(const char *secret, const char *nonce, const char *method,
            const char *path, const char *extra)
{
    GHmac *hmac =
        g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)secret, strlen(secret));
    const char *texts[] = {nonce, method, path, extra == NULL ? "" : extra};
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        /* The NUL is included to separate adjacent texts. */
        g_hmac_update(hmac, (const guchar *)texts[i],
                      (gssize)strlen(texts[i]) + 1);
    }
    char *mac = g_strdup(g_hmac_get_string(hmac));
    g_hmac_unref(hmac);
    return mac;
}

char *
request_auth_sign(const char *secret, const char *method, const char *path,
                  const char *extra)
{
    uint8_t bytes[NONCE_BYTES];
    char nonce[NONCE_BYTES * 2 + 1];
    if (getrandom(bytes, sizeof(bytes), 0) != (ssize_t)sizeof(bytes)) {
        return g_strdup("");
    }
    for (size_t i = 0; i < sizeof(bytes); i++) {
        g_snprintf(nonce + i * 2, 3, "%02x", bytes[i]);
    }
    char *mac = compute_mac(secret, nonce, method, path, extra);
    char *value = g_strdup_printf("%s:%s", nonce, mac);
    g_free(mac);
    return value;
}

bool
request_auth_verify(const char *secret, const char *method, const char *path,
                    const char *extra, const char *value)
{
    const char *colon = value == NULL ? NULL : strchr(value, ':');
    if (colon == NULL || colon - value != NONCE_BYTES * 2) {
        return false;
    }
    char *nonce = g_strndup(value, NONCE_BYTES * 2);
    char *mac = compute_mac(secret, nonce, method, path, extra);
    bool equal = strlen(mac) == strlen(colon + 1) &&
                 constant_time_equal(mac, colon + 1, strlen(mac));
    g_free(mac);
    g_free(nonce);
    return equal;
}

bool
constant_time_equal(const void *a, const void *b, size_t size_bytes)
{
    const volatile uint8_t *x = a;
    const volatile uint8_t *y = b;
    uint8_t difference = 0;
    for (size_t i = 0; i < size_bytes; i++) {
        difference |= x[i] ^ y[i];
    }
    return difference == 0;
}
