/* Names in callers' requests and in the platform's health check. */
#ifndef PLATFORM_INGRESS_H
#define PLATFORM_INGRESS_H

#define PLATFORM_READY_PATH "/v1/readiness"
#define PLATFORM_KEY_HEADER "X-Credential"

#endif
