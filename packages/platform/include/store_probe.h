/* Probes whether the platform's store answers at all. It has connections of its own, so that a
 * probe does not wait for reads in progress. */
#ifndef GG_STORE_PROBE_H
#define GG_STORE_PROBE_H

#include "net.h"

struct store_probe;

/* Creates probes of the store at ADDRESS, "IP:port". ANSWERED is called for each answered probe
 * with the time at which it was sent, on the clock of LOOP. */
struct store_probe *store_probe_new(struct net_loop *loop, const char *address,
				    void (*answered)(void *context, int64_t sent_us),
				    void *context);
void store_probe_free(struct store_probe *probe);

/* Sends a small read. Any answer within LIMIT_MS counts. */
void store_probe_send(struct store_probe *probe, int64_t limit_ms);

#endif
