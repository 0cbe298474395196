/* Names of the platform's HTTP interface for callers and health checks. */
#ifndef PLATFORM_INGRESS_H
#define PLATFORM_INGRESS_H

#define PLATFORM_READY_PATH "/v1/readiness"
#define PLATFORM_KEY_HEADER "X-Credential"

#endif
