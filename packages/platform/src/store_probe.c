#include "store_probe.h"

#include <glib.h>

#include "http_client.h"
#include "store.h"

enum {
	MAX_CONNECTIONS = 2, /* probes of the longest limit overlap */
	IDLE_LIMIT_MS = 10000,
	ANSWER_MAX_BYTES = 2 << 20
};

struct store_probe {
	struct net_loop *loop;
	struct http_client *client;
	void (*answered)(void *context, int64_t sent_us);
	void *context;
};

struct probe_call {
	struct store_probe *probe;
	int64_t sent_us;
};

struct store_probe *store_probe_new(struct net_loop *loop, const char *address,
				    void (*answered)(void *context, int64_t sent_us), void *context)
{
	const struct http_client_options options = {
		.address = address,
		.max_connections = MAX_CONNECTIONS,
		.idle_limit_ms = IDLE_LIMIT_MS,
		.response_max_bytes = ANSWER_MAX_BYTES,
		.close_idle_on_timeout = true,
	};
	struct store_probe *probe = g_new0(struct store_probe, 1);

	*probe = (struct store_probe){
		.loop = loop,
		.client = http_client_new(loop, &options),
		.answered = answered,
		.context = context,
	};
	return probe;
}

void store_probe_free(struct store_probe *probe)
{
	http_client_free(probe->client);
	g_free(probe);
}

static void on_done(void *context, const struct http_response *response)
{
	struct probe_call *call = context;

	if (response->status == STATUS_OK)
		call->probe->answered(call->probe->context, call->sent_us);
	g_free(call);
}

void store_probe_send(struct store_probe *probe, int64_t limit_ms)
{
	struct probe_call *call = g_new(struct probe_call, 1);

	*call = (struct probe_call){.probe = probe, .sent_us = probe->loop->now_us};
	http_client_call(probe->client,
			 &(struct http_call){
				 .method = "GET",
				 .path = "/greengagefront/log-read?topic=" STORE_TOPIC_OPERATOR
					 "&part=0&from=0&maxKb=1&waitMs=0",
				 .timeout_ms = limit_ms,
				 .callback = on_done,
				 .context = call,
			 });
}
